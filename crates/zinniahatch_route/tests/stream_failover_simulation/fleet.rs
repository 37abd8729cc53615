//! Nodes and their streams: what they know of replicas, and which connections they open and close.

use crate::stream_failover_simulation::checks::Totals;
use crate::stream_failover_simulation::schedule::DrawnStream;
use crate::stream_failover_simulation::schedule::Schedule;
use crate::stream_failover_simulation::world::Connection;
use crate::stream_failover_simulation::world::CrashKind;
use crate::stream_failover_simulation::world::LINK_TIME;
use crate::stream_failover_simulation::world::Place;
use crate::stream_failover_simulation::world::ResponsePart;
use rand::RngExt;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;
use zinniahatch_route::FailoverStep;
use zinniahatch_route::ReplicaHealth;
use zinniahatch_route::RetryBudget;
use zinniahatch_route::STREAM_SILENCE_LIMIT;
use zinniahatch_route::SendLedger;
use zinniahatch_route::StreamFailover;

const TICK: Duration = Duration::from_millis(10);
/// Probes and tries as entry nodes have them.
pub(crate) const PROBE_INTERVAL: Duration = Duration::from_millis(600);
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_UNSENT_TRIES: u32 = 4;
/// How often a node updates what it knows of its replicas.
const HEALTH_TICKS: u32 = 10;

/// What a mutant does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mutation {
    None,
    /// Closes the connection when it begins to look for another replica.
    ClosesFirst,
    NeverLooks,
    KeepsBoth,
    ChargesNone,
    KeepsPartial,
    BeginsAnew,
}

/// `StreamFailover`, with what a mutant alters.
pub(crate) struct FailoverDriver {
    pub(crate) inner: StreamFailover,
    mutation: Mutation,
}

impl FailoverDriver {
    pub(crate) fn on_time(&mut self, now: Instant) -> FailoverStep {
        let step = self.inner.on_time(now);
        match (step, self.mutation) {
            (FailoverStep::Seek, Mutation::ClosesFirst) => FailoverStep::Break,
            (FailoverStep::Seek, Mutation::NeverLooks) => {
                self.inner.on_no_place(now);
                FailoverStep::Wait
            }
            (FailoverStep::CloseCurrent, Mutation::KeepsBoth) => FailoverStep::Wait,
            _ => step,
        }
    }
}

/// A node and what it knows.
pub(crate) struct Node {
    pub(crate) region: usize,
    /// Time after which it learns of a change of the desired state.
    pub(crate) lag: Duration,
    pub(crate) health: BTreeMap<usize, ReplicaHealth>,
    pub(crate) budget: RetryBudget,
    probes: Vec<(usize, Instant, bool)>,
}

impl Node {
    pub(crate) fn new(region: usize, lag: Duration, budget: RetryBudget) -> Self {
        Self {
            region,
            lag,
            health: BTreeMap::new(),
            budget,
            probes: Vec::new(),
        }
    }

    pub(crate) fn note_probe(&mut self, replica: usize, is_alive: bool, now: Instant) {
        match self.health.get_mut(&replica) {
            Some(health) if is_alive => health.note_probe_success(now),
            Some(health) => health.note_unreachable(now),
            None => {}
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamEnd {
    Whole,
    CallerGone,
    Deadline,
    Broken,
    /// Nothing began it.
    Refused,
}

/// What a stream is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamWork {
    Arrived,
    /// Waits for the head of the only response.
    Sending(usize),
    Following(usize),
    /// Waits for a probe of the place.
    Seeking(usize, Place, Instant, bool),
    Moving(Option<usize>, usize),
    Ended(StreamEnd),
}

/// A stream of a caller at one node, or one forwarded to it.
pub(crate) struct Stream {
    pub(crate) node: usize,
    /// The connection of the node that forwarded it.
    pub(crate) caller: Option<usize>,
    pub(crate) deadline: Instant,
    pub(crate) leaves_at: Option<Instant>,
    pub(crate) drawn: Rc<DrawnStream>,
    pub(crate) max_sends: u32,
    pub(crate) tried: BTreeSet<Place>,
    pub(crate) sends: u32,
    pub(crate) unsent_tries: u32,
    pub(crate) ledger: SendLedger,
    pub(crate) next_event: u32,
    pub(crate) partial: Option<u32>,
    pub(crate) began: bool,
    pub(crate) work: StreamWork,
    pub(crate) failover: FailoverDriver,
    pub(crate) connections: Vec<usize>,
    /// The connection to the place that it was last at.
    pub(crate) last_at: Option<usize>,
    pub(crate) silence_limit: Duration,
    /// When two replicas began to work on it, and when a dead connection could have been left first.
    pub(crate) twice_since: Option<Instant>,
    pub(crate) stuck_since: Option<(Instant, BTreeSet<usize>)>,
    pub(crate) trace: Vec<String>,
}

impl Stream {
    fn new(node: usize, drawn: Rc<DrawnStream>, mutation: Mutation, now: Instant) -> Self {
        let inner = StreamFailover::new(drawn.expected, now);
        Self {
            node,
            caller: None,
            deadline: now + drawn.time_limit,
            leaves_at: drawn.leaves_after.map(|after| now + after),
            max_sends: drawn.max_sends,
            drawn,
            tried: BTreeSet::new(),
            sends: 0,
            unsent_tries: 0,
            ledger: SendLedger::default(),
            next_event: 0,
            partial: None,
            began: false,
            work: StreamWork::Arrived,
            failover: FailoverDriver { inner, mutation },
            connections: Vec::new(),
            last_at: None,
            silence_limit: STREAM_SILENCE_LIMIT,
            twice_since: None,
            stuck_since: None,
            trace: Vec::new(),
        }
    }

    pub(crate) fn has_ended(&self, end: StreamEnd) -> bool {
        self.work == StreamWork::Ended(end)
    }

    pub(crate) fn has_tries(&self) -> bool {
        self.sends < self.max_sends && self.unsent_tries < MAX_UNSENT_TRIES
    }
}

pub(crate) struct Fleet {
    pub(crate) schedule: Schedule,
    pub(crate) now: Instant,
    pub(crate) mutation: Mutation,
    pub(crate) nodes: Vec<Node>,
    pub(crate) connections: Vec<Connection>,
    pub(crate) streams: Vec<Stream>,
    active: Vec<usize>,
    pub(crate) totals: Totals,
}

impl Fleet {
    pub(crate) fn new(mut schedule: Schedule, mutation: Mutation) -> Self {
        let mut nodes = std::mem::take(&mut schedule.nodes);
        for node in &mut nodes {
            let replicas = 0..schedule.replicas.len();
            node.health = replicas
                .map(|id| (id, ReplicaHealth::new(schedule.start)))
                .collect();
        }
        Self {
            now: schedule.start,
            nodes,
            schedule,
            mutation,
            connections: Vec::new(),
            streams: Vec::new(),
            active: Vec::new(),
            totals: Totals::default(),
        }
    }

    pub(crate) fn play(mut self) -> Totals {
        let mut ticks = 0;
        while self.now < self.schedule.ends_at {
            self.now += TICK;
            ticks += 1;
            self.begin_streams();
            self.break_connections();
            for node in 0..self.nodes.len() {
                if ticks % HEALTH_TICKS == 0 && !self.is_paused(node) {
                    let probes = ticks % (HEALTH_TICKS * 6) == 0;
                    self.update_health(node, probes);
                }
            }
            for stream in self.active.clone() {
                if !self.is_paused(self.streams[stream].node) {
                    self.drive(stream);
                }
                self.check_twice(stream);
                self.check_stuck(stream);
            }
            let streams = &self.streams;
            let is_over = |id: &usize| matches!(streams[*id].work, StreamWork::Ended(_));
            self.active.retain(|id| !is_over(id));
        }
        self.sum_up();
        self.totals
    }

    pub(crate) fn is_paused(&self, node: usize) -> bool {
        self.schedule.pauses[node].contains(self.now)
    }

    fn begin_streams(&mut self) {
        let now = self.now;
        while let Some((at, node)) = self.schedule.arrivals.front().copied()
            && at <= now
        {
            self.schedule.arrivals.pop_front();
            // Callers do not reach a node that is paused.
            if self.is_paused(node) {
                continue;
            }
            self.nodes[node].budget.record_request(self.now);
            self.totals.requests.push(self.now);
            let drawn = Rc::new(self.schedule.draw_stream());
            self.add_stream(Stream::new(node, drawn, self.mutation, self.now));
        }
    }

    fn add_stream(&mut self, stream: Stream) -> usize {
        let id = self.streams.len();
        self.streams.push(stream);
        self.active.push(id);
        id
    }

    /// Lets the open connections to a replica or some of them fall silent for good.
    fn break_connections(&mut self) {
        let now = self.now;
        let due = self.schedule.dead_connections.iter();
        let due: Vec<_> = due.filter(|(at, ..)| *at <= now).copied().collect();
        self.schedule.dead_connections.retain(|(at, ..)| *at > now);
        for (_, place, share) in due {
            for connection in &mut self.connections {
                if connection.is_open
                    && !connection.is_dead
                    && connection.place == place
                    && self.schedule.random.random_bool(share)
                {
                    connection.die(now);
                }
            }
        }
    }

    fn update_health(&mut self, index: usize, probes: bool) {
        let now = self.now;
        let mut oldest: BTreeMap<usize, Instant> = BTreeMap::new();
        for id in &self.active {
            let stream = &self.streams[*id];
            for connection in stream.connections.iter().map(|id| &self.connections[*id]) {
                let Place::Replica(replica) = connection.place else {
                    continue;
                };
                if stream.node == index && connection.is_open {
                    let sent_at = oldest.entry(replica).or_insert(connection.sent_at);
                    *sent_at = connection.sent_at.min(*sent_at);
                }
            }
        }
        let node = &mut self.nodes[index];
        for (replica, done_at, is_alive) in std::mem::take(&mut node.probes) {
            if done_at > now {
                node.probes.push((replica, done_at, is_alive));
                continue;
            }
            node.note_probe(replica, is_alive, now);
        }
        for (replica, health) in &mut node.health {
            health.set_oldest_in_flight(oldest.get(replica).copied(), Duration::ZERO);
            let state = &self.schedule.replicas[*replica];
            if probes && state.region == node.region && health.is_suspect(now) {
                let (done_at, is_alive) = state.answer_probe(now, PROBE_TIMEOUT);
                node.probes.push((*replica, done_at, is_alive));
            }
        }
    }

    /// Returns the replicas of a node's region that may get new streams, as far as it knows.
    fn known_replicas(&self, node: &Node) -> Vec<usize> {
        let replicas = self.schedule.replicas.iter().enumerate();
        let known = replicas.filter(|(id, replica)| {
            let leaving = replica
                .drains_at
                .is_some_and(|at| at + node.lag <= self.now);
            let suspect = node
                .health
                .get(id)
                .is_some_and(|health| health.is_suspect(self.now));
            replica.region == node.region
                && replica.added_at + node.lag <= self.now
                && !leaving
                && !suspect
        });
        known.map(|(id, _)| id).collect()
    }

    /// Chooses a place that was not tried, or the one that may be tried again.
    pub(crate) fn choose_place(&mut self, id: usize, again: Option<Place>) -> Option<Place> {
        let stream = &self.streams[id];
        let node = &self.nodes[stream.node];
        let is_free = |place: &Place| again == Some(*place) || !stream.tried.contains(place);
        let local = self.known_replicas(node).into_iter().map(Place::Replica);
        let mut places: Vec<Place> = local.filter(is_free).collect();
        if places.is_empty() && stream.caller.is_none() {
            let others = self.nodes.iter().enumerate();
            let others = others.filter(|(_, other)| {
                other.region != node.region && !self.known_replicas(other).is_empty()
            });
            places = others
                .map(|(index, _)| Place::Node(index))
                .filter(is_free)
                .collect();
        }
        let count = places.len();
        (count > 0).then(|| places[self.schedule.random.random_range(0..count)])
    }

    /// Sends a stream from its next event on; returns the connection.
    pub(crate) fn send(&mut self, id: usize, place: Place) -> usize {
        let now = self.now;
        let from = match self.mutation {
            Mutation::BeginsAnew => 0,
            _ => self.streams[id].next_event,
        };
        let root = self.root(id);
        let mut had = self.replica_connections(root).into_iter();
        let is_repeat = had.any(|had| self.connections[had.number].arrives);
        let stream = &mut self.streams[id];
        stream.tried.insert(place);
        let drawn = Rc::clone(&stream.drawn);
        let deadline = stream.deadline;
        let number = self.connections.len();
        let connection = match place {
            Place::Replica(replica) => {
                let target = &self.schedule.replicas[replica];
                target.connect(id, place, from..drawn.events, drawn.prefill, now)
            }
            Place::Node(node) => {
                let mut forwarded = Stream::new(node, drawn, self.mutation, now);
                forwarded.caller = Some(number);
                forwarded.deadline = deadline;
                forwarded.leaves_at = None;
                forwarded.max_sends = 1;
                forwarded.next_event = from;
                let mut connection = Connection::new(id, place, now);
                connection.forwarded = Some(self.add_stream(forwarded));
                connection
            }
        };
        if connection.arrives && is_repeat {
            self.totals.retries.push(now);
        }
        self.connections.push(connection);
        let stream = &mut self.streams[id];
        stream.connections.push(number);
        stream.last_at = Some(number);
        stream.trace.push(format!(
            "{:?} sent to {place:?} from {from}",
            now - self.schedule.start
        ));
        number
    }

    /// Returns the stream of the caller that a forwarded stream belongs to.
    fn root(&self, mut id: usize) -> usize {
        while let Some(caller) = self.streams[id].caller {
            id = self.connections[caller].owner;
        }
        id
    }

    pub(crate) fn close(&mut self, number: usize) {
        let now = self.now;
        let connection = &mut self.connections[number];
        if !std::mem::replace(&mut connection.is_open, false) || connection.is_dead {
            return;
        }
        if let Place::Replica(replica) = connection.place {
            let read_at = self.schedule.replicas[replica]
                .still
                .release(now + LINK_TIME);
            connection.run = connection.run.map(|(from, to)| (from, to.min(read_at)));
        }
        if let Some(forwarded) = connection.forwarded {
            self.streams[forwarded].leaves_at = Some(now + LINK_TIME);
        }
    }

    pub(crate) fn finish(&mut self, id: usize, end: StreamEnd) {
        if end == StreamEnd::Broken {
            self.check_lost(id);
        }
        for number in self.streams[id].connections.clone() {
            self.close(number);
        }
        let now = self.now;
        let stream = &mut self.streams[id];
        stream.work = StreamWork::Ended(end);
        stream
            .trace
            .push(format!("{:?} ended {end:?}", now - self.schedule.start));
        stream
            .ledger
            .return_charge(&mut self.nodes[stream.node].budget);
        let part = match end {
            StreamEnd::Whole => ResponsePart::End,
            StreamEnd::Refused => ResponsePart::Refused(stream.ledger.uncharged()),
            _ => ResponsePart::Broken,
        };
        self.answer_caller(id, part);
    }

    /// Passes bytes on to the node that forwarded a stream.
    pub(crate) fn answer_caller(&mut self, id: usize, part: ResponsePart) {
        let now = self.now;
        if let Some(caller) = self.streams[id].caller {
            let connection = &mut self.connections[caller];
            if !connection.is_dead {
                connection.arrivals.push_back((now + LINK_TIME, part));
            }
        }
    }

    pub(crate) fn note_failure(&mut self, id: usize, number: usize) {
        let now = self.now;
        if let Place::Replica(replica) = self.connections[number].place {
            let node = &mut self.nodes[self.streams[id].node];
            if let Some(health) = node.health.get_mut(&replica) {
                health.note_failure(now);
                // A connection attempt tells whether the replica has ended.
                if self.schedule.replicas[replica]
                    .crash
                    .is_some_and(|(at, kind)| at <= now && kind == CrashKind::Closes)
                {
                    health.note_unreachable(now);
                }
            }
        }
    }

    pub(crate) fn read(&mut self, id: usize, number: usize) -> Option<ResponsePart> {
        let now = self.now;
        let part = self.connections[number].read(now)?;
        if let Place::Replica(replica) = self.connections[number].place
            && part != ResponsePart::Broken
        {
            let node = &mut self.nodes[self.streams[id].node];
            if let Some(health) = node.health.get_mut(&replica) {
                health.note_bytes(now);
            }
        }
        Some(part)
    }
}

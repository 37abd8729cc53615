//! Simulation of a region's nodes and of replicas that leave, request backoffs, state rate limits
//! and start cold.
//!
//! Faults of nodes, outages of the store, its restores from older backups and the notices of
//! replicas are drawn from a seed.

mod bound_checker;
mod injection;
mod mutations;
mod simulated_store;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use simulated_store::SimulatedStore;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;
use zinniahatch_route::BackoffNotice;
use zinniahatch_route::ColdLimiter;
use zinniahatch_route::DrainNotice;
use zinniahatch_route::RateLimitNotice;
use zinniahatch_route::RateLimitUpdate;
use zinniahatch_route::ReceivedNotice;
use zinniahatch_route::ReplicaEntry;
use zinniahatch_route::ReplicaIncarnation;
use zinniahatch_route::ReplicaNotice;
use zinniahatch_route::ReplicaTable;
use zinniahatch_route::ResponseAuth;
use zinniahatch_route::SendReservation;

pub(crate) use bound_checker::BoundChecker;
pub(crate) use bound_checker::ViolatedBound;
pub(crate) use mutations::BypassesRefusal;
pub(crate) use mutations::NoMutation;
pub(crate) use mutations::RevertsLeaving;
pub(crate) use mutations::SendMutation;
pub(crate) use mutations::ShortensBackoff;

const STEP: Duration = Duration::from_millis(5);
/// Time in which a node that has started learns of the others.
const DISCOVERY_TIME: Duration = Duration::from_secs(2);
/// Interval between the heartbeats of a node.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Requests per second that all nodes together may send a cold replica, with the operators' factor.
const COLD_RATE: f64 = 3.0;
/// Time for which a replica is cold after its start.
const WARMUP: Duration = Duration::from_secs(3);

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SimulationConfig {
    pub(crate) nodes: usize,
    pub(crate) replicas: usize,
    /// Mean number of requests per second that callers send to each node.
    pub(crate) demand: f64,
    /// Probability of each kind of fault per 50 ms.
    pub(crate) fault_chance: f64,
    /// Probability per 50 ms that a replica starts to leave, request backoffs or state a limit.
    pub(crate) notice_chance: f64,
}

/// How a request comes to be sent to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendKind {
    First,
    Retry,
    Forwarded,
    Probe,
}

/// Current incarnation of a replica.
struct SimulatedReplica {
    incarnation: u64,
    /// When it ends, if it is leaving.
    leaving: Option<Duration>,
    /// Time until which it refuses requests, and the longest backoff in seconds that it requests.
    backoff: Option<(Duration, f64)>,
    rate_limit: Option<f64>,
    limit_until: Duration,
    cold_until: Duration,
}

struct SimulatedNode<M> {
    table: ReplicaTable,
    cold_limiter: ColdLimiter,
    mutation: M,
    /// Number of this run of the node, different after each restart.
    incarnation: u64,
    started_at: Duration,
    dead_until: Duration,
    frozen_until: Duration,
    partitioned_until: Duration,
}

impl<M: SendMutation> SimulatedNode<M> {
    fn new(incarnation: u64, started_at: Duration) -> Self {
        Self {
            table: ReplicaTable::default(),
            cold_limiter: ColdLimiter::default(),
            mutation: M::default(),
            incarnation,
            started_at,
            dead_until: Duration::ZERO,
            frozen_until: Duration::ZERO,
            partitioned_until: Duration::ZERO,
        }
    }
}

/// Request that a node sends to a replica.
#[derive(Clone, Copy, Debug)]
struct SimulatedRequest {
    node: usize,
    incarnation: u64,
    replica: usize,
    tag: u32,
    kind: SendKind,
    sent_at: Duration,
}

enum Event {
    /// The connection for a request is open; a mutation may send the request without a reservation.
    Connected(SimulatedRequest, Option<SendReservation>),
    Arrival(SimulatedRequest),
    Response(SimulatedRequest, ReplicaNotice, bool),
    Entry(usize, ReplicaEntry),
    EntryRemoved(usize, usize, u64),
    ListEntries(usize),
    Limit(usize, RateLimitUpdate),
    Leaving(usize, ReplicaIncarnation),
    WriteEntry(usize, u64),
}

/// Simulation of the region.
pub(crate) struct NoticeSimulation<M> {
    config: SimulationConfig,
    rng: StdRng,
    start: Instant,
    time: Duration,
    nodes: Vec<SimulatedNode<M>>,
    replicas: Vec<SimulatedReplica>,
    store: SimulatedStore,
    run_count: u64,
    events: BTreeMap<(Duration, u64), Event>,
    event_count: u64,
    pub(crate) checker: BoundChecker,
}

fn replica_id(replica: usize) -> Box<str> {
    format!("r{replica}").into()
}

fn incarnation_of(replica: usize, started_ms: u64) -> ReplicaIncarnation {
    ReplicaIncarnation {
        id: replica_id(replica),
        started_ms,
    }
}

impl<M: SendMutation> NoticeSimulation<M> {
    pub(crate) fn new(seed: u64, config: SimulationConfig) -> Self {
        let replicas = (0..config.replicas).map(|_| SimulatedReplica {
            incarnation: 1,
            leaving: None,
            backoff: None,
            rate_limit: None,
            limit_until: Duration::ZERO,
            cold_until: Duration::ZERO,
        });
        let mut simulation = Self {
            config,
            rng: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            time: Duration::ZERO,
            nodes: (0..config.nodes)
                .map(|index| SimulatedNode::new(index as u64, Duration::ZERO))
                .collect(),
            replicas: replicas.collect(),
            store: SimulatedStore::default(),
            run_count: config.nodes as u64,
            events: BTreeMap::new(),
            event_count: 0,
            checker: BoundChecker::default(),
        };
        for replica in 0..config.replicas {
            simulation.write_entry(replica);
        }
        for node in 0..config.nodes {
            simulation.list_entries(node);
        }
        simulation
    }

    pub(crate) fn time(&self) -> Duration {
        self.time
    }

    fn now(&self) -> Instant {
        self.start + self.time
    }

    fn is_running(&self, node: usize) -> bool {
        let node = &self.nodes[node];
        node.dead_until <= self.time && node.frozen_until <= self.time
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.event_count += 1;
        self.events
            .insert((self.time + delay, self.event_count), event);
    }

    fn random_millis(&mut self, millis: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(millis))
    }

    fn chance(&mut self, chance: f64) -> bool {
        self.rng.random_bool(chance)
    }

    /// Advances the simulation by one step.
    pub(crate) fn step(&mut self) {
        self.time += STEP;
        if self.time.as_millis().is_multiple_of(50) {
            self.inject_faults();
            self.start_notices();
            self.run_store();
        }
        while let Some(first) = self.events.first_entry() {
            if first.key().0 > self.time {
                break;
            }
            let event = first.remove();
            self.handle_event(event);
        }
        self.generate_requests();
        if self.time.as_millis().is_multiple_of(200) {
            self.tick_nodes();
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Connected(request, reservation) => self.transmit(request, reservation),
            Event::Arrival(request) => self.on_arrival(request),
            Event::Response(request, notice, taken) => self.on_response(request, notice, taken),
            Event::Entry(node, entry) => {
                if self.nodes[node].partitioned_until <= self.time && self.is_running(node) {
                    self.nodes[node].mutation.note_entry(&entry);
                    self.nodes[node].table.upsert(entry, now);
                }
            }
            Event::EntryRemoved(node, replica, revision) => {
                if self.nodes[node].partitioned_until <= self.time && self.is_running(node) {
                    let revision = self.store.revision(revision);
                    let table = &mut self.nodes[node].table;
                    table.remove_entry(&replica_id(replica), revision, now);
                }
            }
            Event::ListEntries(node) => {
                if self.is_running(node) {
                    self.list_entries(node);
                } else {
                    let delay = self.random_millis(50..500);
                    self.schedule(delay, Event::ListEntries(node));
                }
            }
            Event::Limit(node, update) => {
                if self.is_running(node) {
                    self.nodes[node].table.apply_limit_update(&update, now);
                }
            }
            Event::Leaving(node, incarnation) => {
                if self.is_running(node) {
                    self.nodes[node].table.mark_leaving(&incarnation);
                }
            }
            Event::WriteEntry(replica, incarnation) => {
                if self.replicas[replica].incarnation == incarnation {
                    self.write_entry(replica);
                }
            }
        }
    }

    /// Generates the requests of callers, and probes.
    fn generate_requests(&mut self) {
        let mean = self.config.demand * self.nodes.len() as f64 * STEP.as_secs_f64();
        let count = mean as usize + usize::from(self.chance(mean.fract()));
        for _ in 0..count {
            let node = self.rng.random_range(0..self.nodes.len());
            let kind = match self.rng.random_range(0..20) {
                0 => SendKind::Probe,
                1..5 => SendKind::Forwarded,
                _ => SendKind::First,
            };
            self.send_request(node, kind);
        }
    }

    /// Sends a request to the first replica, from a random one on, that the node may send to.
    fn send_request(&mut self, node: usize, kind: SendKind) {
        if !self.is_running(node) {
            return;
        }
        let now = self.now();
        let first = self.rng.random_range(0..self.replicas.len());
        let knows_members = self.knows_members(node);
        let peers: BTreeSet<Box<str>> = (0..self.nodes.len()).map(node_id).collect();
        let bound = if knows_members { COLD_RATE } else { 0.0 };
        for offset in 0..self.replicas.len() {
            let replica = (first + offset) % self.replicas.len();
            let id = replica_id(replica);
            let share = ColdLimiter::share(bound, &id, &node_id(node), &peers);
            let state = &mut self.nodes[node];
            let Some(tag) = state.table.get(&id).map(|state| state.tag) else {
                continue;
            };
            let reservation = match state
                .table
                .reserve(&mut state.cold_limiter, &id, share, now)
            {
                Ok(reservation) => Some(reservation),
                Err(refusal) if state.mutation.overrides(kind, tag, refusal, now) => None,
                Err(_) => continue,
            };
            let request = SimulatedRequest {
                node,
                incarnation: state.incarnation,
                replica,
                tag,
                kind,
                sent_at: self.time,
            };
            // One request in five needs a new connection.
            let connect = if self.chance(0.2) {
                self.random_millis(1..60)
            } else {
                Duration::ZERO
            };
            self.schedule(connect, Event::Connected(request, reservation));
            return;
        }
    }

    fn knows_members(&self, node: usize) -> bool {
        let started_at = self.nodes[node].started_at;
        started_at.is_zero() || self.time >= started_at + DISCOVERY_TIME
    }

    fn transmit(&mut self, mut request: SimulatedRequest, reservation: Option<SendReservation>) {
        if self.nodes[request.node].incarnation != request.incarnation {
            return;
        }
        if !self.is_running(request.node) {
            let left = self.nodes[request.node]
                .frozen_until
                .saturating_sub(self.time);
            self.schedule(left.max(STEP), Event::Connected(request, reservation));
            return;
        }
        let now = self.now();
        if let Some(reservation) = reservation
            && let Err(refusal) = self.nodes[request.node].table.permit(reservation, now)
            && !self.nodes[request.node]
                .mutation
                .overrides(request.kind, request.tag, refusal, now)
        {
            return;
        }
        request.sent_at = self.time;
        let delay = self.random_millis(1..4);
        self.schedule(delay, Event::Arrival(request));
    }

    fn on_arrival(&mut self, request: SimulatedRequest) {
        if self.tag(request.replica) != request.tag {
            // Another incarnation rejects the request.
            return;
        }
        let probe = request.kind == SendKind::Probe;
        self.checker.note_arrival(
            request.tag,
            request.node,
            request.incarnation,
            probe,
            self.time,
        );
        let state = &self.replicas[request.replica];
        let mut notice = ReplicaNotice {
            rate_limit: state
                .rate_limit
                .map_or(RateLimitNotice::Absent, RateLimitNotice::PerSecond),
            cold_for: Some(state.cold_until.saturating_sub(self.time)).filter(|_| probe),
            ..ReplicaNotice::default()
        };
        if state.leaving.is_some() {
            notice.leaving = DrainNotice::Leaving;
        }
        if let Some((_, max_backoff)) = state.backoff.filter(|_| !probe) {
            // The requested backoffs vary, so that later ones may be shorter.
            let part = self.rng.random_range(0.2..1.0);
            let backoff = Duration::from_secs_f64(max_backoff * part);
            notice.backoff = BackoffNotice::For(backoff);
            self.checker.note_backoff(
                request.tag,
                request.node,
                request.incarnation,
                backoff,
                self.time,
            );
            let delay = self.random_millis(1..4);
            self.schedule(delay, Event::Response(request, notice, false));
            return;
        }
        let slow = self.chance(0.1);
        let delay = self.random_millis(if slow { 400..2_500 } else { 5..100 });
        self.schedule(delay, Event::Response(request, notice, !probe));
    }

    fn on_response(&mut self, request: SimulatedRequest, notice: ReplicaNotice, taken: bool) {
        if self.nodes[request.node].incarnation != request.incarnation {
            return;
        }
        if !self.is_running(request.node) {
            let left = self.nodes[request.node]
                .frozen_until
                .saturating_sub(self.time);
            self.schedule(left.max(STEP), Event::Response(request, notice, taken));
            return;
        }
        let now = self.now();
        let received = ReceivedNotice {
            replica: request.tag,
            notice: &notice,
            auth: ResponseAuth::Authenticated,
            taken,
            sent: self.start + request.sent_at,
            draw: self.rng.random(),
        };
        let state = &mut self.nodes[request.node];
        state
            .mutation
            .note_response(request.tag, &notice, taken, now);
        let effect = state.table.apply_notice(&received, now);
        let incarnation = state
            .table
            .get(&replica_id(request.replica))
            .map(|state| state.entry.incarnation());
        if notice.leaving == DrainNotice::Leaving && request.kind != SendKind::Probe {
            self.checker.note_leaving_received(
                request.tag,
                request.node,
                request.incarnation,
                self.time,
            );
        }
        if notice.rate_limit.rate().is_some() {
            self.checker.note_limit_received(
                request.tag,
                request.node,
                request.incarnation,
                self.time,
            );
        }
        if effect.leaving
            && let Some(incarnation) = incarnation
        {
            self.broadcast(request.node, |to| Event::Leaving(to, incarnation.clone()));
        }
        if !taken && request.kind == SendKind::First && self.chance(0.5) {
            self.send_request(request.node, SendKind::Retry);
        }
    }

    /// Sends a datagram to each other node; 2 in 100 are lost, and all between partitioned nodes.
    fn broadcast(&mut self, from: usize, event: impl Fn(usize) -> Event) {
        for to in (0..self.nodes.len()).filter(|to| *to != from) {
            let partitioned = self.nodes[from]
                .partitioned_until
                .max(self.nodes[to].partitioned_until)
                > self.time;
            if partitioned || self.chance(0.02) {
                continue;
            }
            let delay = self.random_millis(1..25);
            self.schedule(delay, event(to));
        }
    }

    fn tick_nodes(&mut self) {
        let now = self.now();
        let heartbeats = self
            .time
            .as_millis()
            .is_multiple_of(HEARTBEAT_INTERVAL.as_millis());
        for node in 0..self.nodes.len() {
            if !self.is_running(node) {
                continue;
            }
            let others: BTreeSet<u32> = (0..self.nodes.len())
                .filter(|other| *other != node)
                .map(|other| other as u32)
                .collect();
            let own = self.knows_members(node).then_some(node as u32);
            let table = &mut self.nodes[node].table;
            table.limits.set_sharers(own, others, now);
            table.tick(now);
            let mut updates = table.limits.take_updates(10);
            if heartbeats {
                // Stands in for the exchange after heartbeats with different digests.
                updates = table.limits.active_limits().collect();
                let leaving: Vec<ReplicaIncarnation> = table.announced_leaving().cloned().collect();
                for incarnation in leaving {
                    self.broadcast(node, |to| Event::Leaving(to, incarnation.clone()));
                }
            }
            for update in updates {
                self.broadcast(node, |to| Event::Limit(to, update));
            }
        }
    }
}

fn node_id(node: usize) -> Box<str> {
    format!("n{node}").into()
}

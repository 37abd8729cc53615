//! A region of nodes before replicas that leave, ask for rest, name rate limits and start cold, beside a store that is
//! silent or comes back older, with all of it drawn from a seed.

mod course;
mod judge;
mod mutants;
mod stand_store;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use stand_store::FleetStore;
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

pub(crate) use judge::BrokenBound;
pub(crate) use judge::FleetJudge;
pub(crate) use mutants::EndsRestByLater;
pub(crate) use mutants::GateRule;
pub(crate) use mutants::RealGate;
pub(crate) use mutants::SkipsGate;
pub(crate) use mutants::UndoesLeaving;

const STEP: Duration = Duration::from_millis(5);
/// Time in which a node gets to know the others, and its pause between cards.
const ACQUAINT: Duration = Duration::from_secs(2);
const CARD_PAUSE: Duration = Duration::from_millis(500);
/// Requests a second that a cold replica takes from all nodes together, with the operators' factor.
const COLD_BOUND: f64 = 3.0;
/// Time for which a replica is cold after its start.
const WARMUP: Duration = Duration::from_secs(3);

/// What is played.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NoticePlan {
    pub(crate) nodes: usize,
    pub(crate) replicas: usize,
    /// Requests a second that callers send to each node.
    pub(crate) demand: f64,
    /// Chance of each kind of fault in a step of 50 ms.
    pub(crate) faults: f64,
    /// Chance that a replica begins to say something in a step of 50 ms.
    pub(crate) words: f64,
}

/// The way on which a request comes to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendWay {
    First,
    Again,
    HandedOver,
    Probe,
}

/// One replica in its present life.
struct FleetReplica {
    born: u64,
    leaving: Option<Duration>,
    /// Until when it turns requests away, and the rest that it asks for then.
    rest: Option<(Duration, f64)>,
    limit: Option<f64>,
    limit_until: Duration,
    cold_until: Duration,
}

struct FleetNode<G> {
    table: ReplicaTable,
    gate: ColdLimiter,
    rule: G,
    /// A number for each start.
    start: u64,
    began: Duration,
    dead: Duration,
    frozen: Duration,
    cut: Duration,
}

impl<G: GateRule> FleetNode<G> {
    fn new(start: u64, began: Duration) -> Self {
        Self {
            table: ReplicaTable::default(),
            gate: ColdLimiter::default(),
            rule: G::default(),
            start,
            began,
            dead: Duration::ZERO,
            frozen: Duration::ZERO,
            cut: Duration::ZERO,
        }
    }
}

/// A request on its way.
#[derive(Clone, Copy, Debug)]
struct FleetCall {
    node: usize,
    start: u64,
    replica: usize,
    tag: u32,
    way: SendWay,
    sent: Duration,
}

enum FleetEvent {
    /// The channel for a request is connected; none is needed where a mutant sends without a claim.
    Connected(FleetCall, Option<SendReservation>),
    Arrival(FleetCall),
    Answer(FleetCall, ReplicaNotice, bool),
    Entry(usize, ReplicaEntry),
    Gone(usize, usize, u64),
    Relist(usize),
    Limit(usize, RateLimitUpdate),
    Leaving(usize, ReplicaIncarnation),
    Write(usize, u64),
}

/// The region.
pub(crate) struct NoticeFleet<G> {
    plan: NoticePlan,
    random: StdRng,
    start: Instant,
    time: Duration,
    nodes: Vec<FleetNode<G>>,
    replicas: Vec<FleetReplica>,
    store: FleetStore,
    starts: u64,
    events: BTreeMap<(Duration, u64), FleetEvent>,
    number: u64,
    pub(crate) judge: FleetJudge,
}

fn id_of(replica: usize) -> Box<str> {
    format!("r{replica}").into()
}

fn life_of(replica: usize, started_ms: u64) -> ReplicaIncarnation {
    ReplicaIncarnation {
        id: id_of(replica),
        started_ms,
    }
}

impl<G: GateRule> NoticeFleet<G> {
    pub(crate) fn new(seed: u64, plan: NoticePlan) -> Self {
        let replicas = (0..plan.replicas).map(|_| FleetReplica {
            born: 1,
            leaving: None,
            rest: None,
            limit: None,
            limit_until: Duration::ZERO,
            cold_until: Duration::ZERO,
        });
        let mut fleet = Self {
            plan,
            random: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            time: Duration::ZERO,
            nodes: (0..plan.nodes)
                .map(|number| FleetNode::new(number as u64, Duration::ZERO))
                .collect(),
            replicas: replicas.collect(),
            store: FleetStore::default(),
            starts: plan.nodes as u64,
            events: BTreeMap::new(),
            number: 0,
            judge: FleetJudge::default(),
        };
        for replica in 0..plan.replicas {
            fleet.write_entry(replica);
        }
        for node in 0..plan.nodes {
            fleet.relist(node);
        }
        fleet
    }

    pub(crate) fn time(&self) -> Duration {
        self.time
    }

    fn now(&self) -> Instant {
        self.start + self.time
    }

    fn runs(&self, node: usize) -> bool {
        let node = &self.nodes[node];
        node.dead <= self.time && node.frozen <= self.time
    }

    fn plan_event(&mut self, delay: Duration, event: FleetEvent) {
        self.number += 1;
        self.events.insert((self.time + delay, self.number), event);
    }

    fn draw(&mut self, millis: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(millis))
    }

    fn chance(&mut self, chance: f64) -> bool {
        self.random.random_bool(chance)
    }

    /// Plays one step.
    pub(crate) fn step(&mut self) {
        self.time += STEP;
        if self.time.as_millis().is_multiple_of(50) {
            self.break_things();
            self.say_things();
            self.run_store();
        }
        while let Some(first) = self.events.first_entry() {
            if first.key().0 > self.time {
                break;
            }
            let event = first.remove();
            self.take_event(event);
        }
        self.ask();
        if self.time.as_millis().is_multiple_of(200) {
            self.run_nodes();
        }
    }

    fn take_event(&mut self, event: FleetEvent) {
        let now = self.now();
        match event {
            FleetEvent::Connected(call, claim) => self.write(call, claim),
            FleetEvent::Arrival(call) => self.arrive(call),
            FleetEvent::Answer(call, notice, taken) => self.hear(call, notice, taken),
            FleetEvent::Entry(node, entry) => {
                if self.nodes[node].cut <= self.time && self.runs(node) {
                    self.nodes[node].rule.note_entry(&entry);
                    self.nodes[node].table.upsert(entry, now);
                }
            }
            FleetEvent::Gone(node, replica, revision) => {
                if self.nodes[node].cut <= self.time && self.runs(node) {
                    let revision = self.store.revision(revision);
                    let table = &mut self.nodes[node].table;
                    table.remove_entry(&id_of(replica), revision, now);
                }
            }
            FleetEvent::Relist(node) => {
                if self.runs(node) {
                    self.relist(node);
                } else {
                    let delay = self.draw(50..500);
                    self.plan_event(delay, FleetEvent::Relist(node));
                }
            }
            FleetEvent::Limit(node, news) => {
                if self.runs(node) {
                    self.nodes[node].table.apply_limit_update(&news, now);
                }
            }
            FleetEvent::Leaving(node, life) => {
                if self.runs(node) {
                    self.nodes[node].table.mark_leaving(&life);
                }
            }
            FleetEvent::Write(replica, born) => {
                if self.replicas[replica].born == born {
                    self.write_entry(replica);
                }
            }
        }
    }

    /// Draws the requests of callers, and probes.
    fn ask(&mut self) {
        let mean = self.plan.demand * self.nodes.len() as f64 * STEP.as_secs_f64();
        let count = mean as usize + usize::from(self.chance(mean.fract()));
        for _ in 0..count {
            let node = self.random.random_range(0..self.nodes.len());
            let way = match self.random.random_range(0..20) {
                0 => SendWay::Probe,
                1..5 => SendWay::HandedOver,
                _ => SendWay::First,
            };
            self.send(node, way);
        }
    }

    /// Sends a request to some replica that the gate lets pass.
    fn send(&mut self, node: usize, way: SendWay) {
        if !self.runs(node) {
            return;
        }
        let now = self.now();
        let first = self.random.random_range(0..self.replicas.len());
        let acquainted = self.acquainted(node);
        let peers: BTreeSet<Box<str>> = (0..self.nodes.len()).map(name_of).collect();
        let bound = if acquainted { COLD_BOUND } else { 0.0 };
        for offset in 0..self.replicas.len() {
            let replica = (first + offset) % self.replicas.len();
            let id = id_of(replica);
            let share = ColdLimiter::share(bound, &id, &name_of(node), &peers);
            let row = &mut self.nodes[node];
            let Some(tag) = row.table.get(&id).map(|belief| belief.tag) else {
                continue;
            };
            let claim = match row.table.reserve(&mut row.gate, &id, share, now) {
                Ok(claim) => Some(claim),
                Err(withheld) if row.rule.overrides(way, tag, withheld, now) => None,
                Err(_) => continue,
            };
            let call = FleetCall {
                node,
                start: row.start,
                replica,
                tag,
                way,
                sent: self.time,
            };
            // A new connection now and then.
            let connect = if self.chance(0.2) {
                self.draw(1..60)
            } else {
                Duration::ZERO
            };
            self.plan_event(connect, FleetEvent::Connected(call, claim));
            return;
        }
    }

    fn acquainted(&self, node: usize) -> bool {
        let began = self.nodes[node].began;
        began.is_zero() || self.time >= began + ACQUAINT
    }

    fn write(&mut self, mut call: FleetCall, claim: Option<SendReservation>) {
        if self.nodes[call.node].start != call.start {
            return;
        }
        if !self.runs(call.node) {
            let left = self.nodes[call.node].frozen.saturating_sub(self.time);
            self.plan_event(left.max(STEP), FleetEvent::Connected(call, claim));
            return;
        }
        let now = self.now();
        if let Some(claim) = claim
            && let Err(withheld) = self.nodes[call.node].table.permit(claim, now)
            && !self.nodes[call.node]
                .rule
                .overrides(call.way, call.tag, withheld, now)
        {
            return;
        }
        call.sent = self.time;
        let delay = self.draw(1..4);
        self.plan_event(delay, FleetEvent::Arrival(call));
    }

    fn arrive(&mut self, call: FleetCall) {
        if self.tag(call.replica) != call.tag {
            // Another life answers that it is not the one that was meant.
            return;
        }
        let probe = call.way == SendWay::Probe;
        self.judge
            .note_arrival(call.tag, call.node, call.start, probe, self.time);
        let row = &self.replicas[call.replica];
        let mut notice = ReplicaNotice {
            rate_limit: row
                .limit
                .map_or(RateLimitNotice::Absent, RateLimitNotice::PerSecond),
            cold_for: Some(row.cold_until.saturating_sub(self.time)).filter(|_| probe),
            ..ReplicaNotice::default()
        };
        if row.leaving.is_some() {
            notice.leaving = DrainNotice::Leaving;
        }
        if let Some((_, rest)) = row.rest.filter(|_| !probe) {
            // Some ask for less than they asked before.
            let part = self.random.random_range(0.2..1.0);
            let rest = Duration::from_secs_f64(rest * part);
            notice.backoff = BackoffNotice::For(rest);
            self.judge
                .note_rest(call.tag, call.node, call.start, rest, self.time);
            let delay = self.draw(1..4);
            self.plan_event(delay, FleetEvent::Answer(call, notice, false));
            return;
        }
        let slow = self.chance(0.1);
        let delay = self.draw(if slow { 400..2_500 } else { 5..100 });
        self.plan_event(delay, FleetEvent::Answer(call, notice, !probe));
    }

    fn hear(&mut self, call: FleetCall, notice: ReplicaNotice, taken: bool) {
        if self.nodes[call.node].start != call.start {
            return;
        }
        if !self.runs(call.node) {
            let left = self.nodes[call.node].frozen.saturating_sub(self.time);
            self.plan_event(left.max(STEP), FleetEvent::Answer(call, notice, taken));
            return;
        }
        let now = self.now();
        let heard = ReceivedNotice {
            replica: call.tag,
            notice: &notice,
            auth: ResponseAuth::Authenticated,
            taken,
            sent: self.start + call.sent,
            draw: self.random.random(),
        };
        let row = &mut self.nodes[call.node];
        row.rule.note_answer(call.tag, &notice, taken, now);
        let effect = row.table.apply_notice(&heard, now);
        let life = row
            .table
            .get(&id_of(call.replica))
            .map(|belief| belief.entry.incarnation());
        if notice.leaving == DrainNotice::Leaving && call.way != SendWay::Probe {
            self.judge
                .note_told_leaving(call.tag, call.node, call.start, self.time);
        }
        if notice.rate_limit.rate().is_some() {
            self.judge
                .note_told_limit(call.tag, call.node, call.start, self.time);
        }
        if effect.leaving
            && let Some(life) = life
        {
            self.tell(call.node, |to| FleetEvent::Leaving(to, life.clone()));
        }
        if !taken && call.way == SendWay::First && self.chance(0.5) {
            self.send(call.node, SendWay::Again);
        }
    }

    /// Sends a datagram to the other nodes, each of which may miss it.
    fn tell(&mut self, from: usize, event: impl Fn(usize) -> FleetEvent) {
        for to in (0..self.nodes.len()).filter(|to| *to != from) {
            let cut = self.nodes[from].cut.max(self.nodes[to].cut) > self.time;
            if cut || self.chance(0.02) {
                continue;
            }
            let delay = self.draw(1..25);
            self.plan_event(delay, event(to));
        }
    }

    fn run_nodes(&mut self) {
        let now = self.now();
        let cards = self.time.as_millis().is_multiple_of(CARD_PAUSE.as_millis());
        for node in 0..self.nodes.len() {
            if !self.runs(node) {
                continue;
            }
            let others: BTreeSet<u32> = (0..self.nodes.len())
                .filter(|other| *other != node)
                .map(|other| other as u32)
                .collect();
            let own = self.acquainted(node).then_some(node as u32);
            let table = &mut self.nodes[node].table;
            table.limits.set_sharers(own, others, now);
            table.tick(now);
            let mut news = table.limits.take_updates(10);
            if cards {
                // What a difference of digests would lead to.
                news = table.limits.active_limits().collect();
                let lives: Vec<ReplicaIncarnation> = table.announced_leaving().cloned().collect();
                for life in lives {
                    self.tell(node, |to| FleetEvent::Leaving(to, life.clone()));
                }
            }
            for one in news {
                self.tell(node, |to| FleetEvent::Limit(to, one));
            }
        }
    }
}

fn name_of(node: usize) -> Box<str> {
    format!("n{node}").into()
}

//! Simulation of a region's nodes and one replica that announces rate limits.
//!
//! Faults of nodes, lost datagrams and changes of the limit are drawn from a seed.

mod shared_bucket;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;
use zinniahatch_route::RateLimitNotice;
use zinniahatch_route::RateLimitTable;
use zinniahatch_route::RateLimitUpdate;

pub(crate) use shared_bucket::SharedBucket;

const REPLICA: u32 = 7;
const STEP: Duration = Duration::from_millis(5);
/// Bound set by the operators: a window, the factor on what the limit allows in it, and a number of
/// requests on top.
const WINDOW: Duration = Duration::from_secs(4);
const OVERRUN: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Time after the start of a limit, or after a fault of a node, for which the bound does not apply.
const SETTLING_TIME: Duration = Duration::from_secs(6);
/// Time after a node first learned of a limit from which its requests count.
const REACTION_TIME: Duration = Duration::from_millis(500);
/// Interval between the heartbeats of a node.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a heartbeat after which a node is removed from the members.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(30);
/// Time in which a node that has started learns of the others.
const DISCOVERY_TIME: Duration = Duration::from_secs(2);

/// Strategy by which the nodes of a region jointly keep to a rate limit.
pub(crate) trait LimitStrategy: Default {
    /// Update that nodes send each other.
    type Update: Clone;

    /// Applies the limit announced in a response to a request sent at `sent`.
    fn on_response(&mut self, notice: RateLimitNotice, sent: Instant, now: Instant);
    /// Applies an update of another node.
    fn on_update(&mut self, update: &Self::Update, now: Instant);
    /// Returns the updates that the other nodes have not been sent.
    fn drain_updates(&mut self) -> Vec<Self::Update>;
    /// Returns a digest of the known limits, and updates with all of them.
    fn snapshot(&self) -> (u64, Vec<Self::Update>);
    /// Sets the nodes that share the limit; `own` is `None` until this node knows the others.
    fn set_sharers(&mut self, own: Option<u32>, others: BTreeSet<u32>, now: Instant);
    /// Takes one token; returns whether a request may be sent.
    fn take(&mut self, now: Instant) -> bool;
    /// Returns whether this node knows of a limit in force.
    fn is_limited(&self) -> bool;
}

impl LimitStrategy for RateLimitTable {
    type Update = RateLimitUpdate;

    fn on_response(&mut self, notice: RateLimitNotice, sent: Instant, now: Instant) {
        self.note_response(REPLICA, notice, sent, now);
    }

    fn on_update(&mut self, update: &RateLimitUpdate, now: Instant) {
        self.apply_update(update, now);
    }

    fn drain_updates(&mut self) -> Vec<RateLimitUpdate> {
        self.take_updates(10)
    }

    fn snapshot(&self) -> (u64, Vec<RateLimitUpdate>) {
        (self.digest(), self.active_limits().collect())
    }

    fn set_sharers(&mut self, own: Option<u32>, others: BTreeSet<u32>, now: Instant) {
        self.set_sharers(own, others, now);
    }

    fn take(&mut self, now: Instant) -> bool {
        self.take(REPLICA, now)
    }

    fn is_limited(&self) -> bool {
        self.is_limited(REPLICA)
    }
}

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SimulationConfig {
    pub(crate) nodes: usize,
    /// Usual limit, in requests per second; some limits are three times or a third of it.
    pub(crate) rate: f64,
    /// Probability of each kind of fault per 50 ms.
    pub(crate) fault_chance: f64,
    /// Mean number of requests per second that callers send to each node.
    pub(crate) demand: f64,
    /// Whether one node gets nine tenths of the requests, and a part of the rest.
    pub(crate) skewed: bool,
}

struct SimulatedNode<S> {
    strategy: S,
    /// Number of this run of the node, different after each restart.
    incarnation: u64,
    started_at: Duration,
    /// When its restart, its freeze or its network partition ends.
    dead_until: Duration,
    frozen_until: Duration,
    partitioned_until: Duration,
    /// Time until which its requests are exempt from the bound.
    exempt_until: Duration,
    /// When it got its first response with a limit since its start.
    limit_learned_at: Option<Duration>,
    /// When the last heartbeat of each other node arrived.
    last_heartbeats: Vec<Option<Duration>>,
}

impl<S: LimitStrategy> SimulatedNode<S> {
    fn new(nodes: usize, incarnation: u64, started_at: Duration) -> Self {
        Self {
            strategy: S::default(),
            incarnation,
            started_at,
            dead_until: Duration::ZERO,
            frozen_until: Duration::ZERO,
            partitioned_until: Duration::ZERO,
            exempt_until: Duration::ZERO,
            limit_learned_at: None,
            last_heartbeats: vec![None; nodes],
        }
    }
}

enum Event<N> {
    /// A request reaches the replica; states whether its node knew of a limit when it sent the
    /// request, and whether the node was exempt from the bound.
    Arrival { knows_limit: bool, exempt: bool },
    /// The replica responds to a node, stating its current limit.
    Respond {
        node: usize,
        incarnation: u64,
        sent: Duration,
    },
    /// A response reaches the node, if that has not restarted since it sent the request.
    Response {
        node: usize,
        incarnation: u64,
        sent: Duration,
        notice: RateLimitNotice,
    },
    /// An update reaches a node.
    Update(usize, N),
    /// A heartbeat reaches a node, with a digest of the limits known to its sender.
    Heartbeat { to: usize, from: usize, digest: u64 },
}

/// Simulation of the region.
pub(crate) struct RateLimitSimulation<S: LimitStrategy> {
    config: SimulationConfig,
    rng: StdRng,
    start: Instant,
    time: Duration,
    nodes: Vec<SimulatedNode<S>>,
    run_count: u64,
    /// Future events by time and number.
    events: BTreeMap<(Duration, u64), Event<S::Update>>,
    event_count: u64,
    /// Limits announced so far, each with the time from which it applied.
    limits: Vec<(Duration, Option<f64>)>,
    /// Arrival times of the requests from nodes that knew of a limit, and whether they are exempt.
    arrivals: Vec<(Duration, bool)>,
    /// Number of all requests that arrived while a limit was in force.
    arrivals_under_limit: f64,
    /// Number of requests that the limits allowed.
    usable: f64,
    /// When the last limit ended, while some node still keeps to it.
    limit_ended_at: Option<Duration>,
    longest_end_delay: Duration,
    next_change: Duration,
}

impl<S: LimitStrategy> RateLimitSimulation<S> {
    pub(crate) fn new(seed: u64, config: SimulationConfig) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let next_change = Duration::from_millis(rng.random_range(500..4_000));
        let nodes = (0..config.nodes).map(|index| {
            let mut node = SimulatedNode::new(config.nodes, index as u64, Duration::ZERO);
            node.last_heartbeats = vec![Some(Duration::ZERO); config.nodes];
            node
        });
        Self {
            nodes: nodes.collect(),
            config,
            rng,
            start: Instant::now(),
            time: Duration::ZERO,
            run_count: config.nodes as u64,
            events: BTreeMap::new(),
            event_count: 0,
            limits: Vec::new(),
            arrivals: Vec::new(),
            arrivals_under_limit: 0.0,
            usable: 0.0,
            limit_ended_at: None,
            longest_end_delay: Duration::ZERO,
            next_change,
        }
    }

    pub(crate) fn time(&self) -> Duration {
        self.time
    }

    fn now(&self) -> Instant {
        self.start + self.time
    }

    fn rate(&self) -> Option<f64> {
        self.limits.last().and_then(|(_, rate)| *rate)
    }

    fn is_running(&self, node: usize) -> bool {
        let node = &self.nodes[node];
        node.dead_until <= self.time && node.frozen_until <= self.time
    }

    fn schedule(&mut self, delay: Duration, event: Event<S::Update>) {
        self.event_count += 1;
        self.events
            .insert((self.time + delay, self.event_count), event);
    }

    fn random_millis(&mut self, millis: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(millis))
    }

    /// Advances the simulation by one step.
    pub(crate) fn step(&mut self) {
        self.time += STEP;
        if self.time.as_millis().is_multiple_of(50) {
            self.inject_faults();
        }
        if self.time >= self.next_change {
            self.change_limit();
        }
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.time {
                break;
            }
            let event = entry.remove();
            self.handle_event(event);
        }
        self.generate_requests();
        for node in 0..self.nodes.len() {
            if self.is_running(node) {
                self.tick_node(node);
            }
        }
        self.check_limit_end();
    }

    fn change_limit(&mut self) {
        let rate = match self.rng.random_range(0..6) {
            0 if self.rate().is_some() => None,
            1 => Some(self.config.rate * 3.0),
            2 => Some(self.config.rate / 3.0),
            _ => Some(self.config.rate),
        };
        self.limit_ended_at = rate.is_none().then_some(self.time);
        self.limits.push((self.time, rate));
        self.next_change = self.time + self.random_millis(4_000..16_000);
    }

    fn inject_faults(&mut self) {
        let chance = self.config.fault_chance;
        let node = self.rng.random_range(0..self.nodes.len());
        if self.rng.random_bool(chance) {
            self.run_count += 1;
            let restart_at = self.time + self.random_millis(300..6_000);
            let nodes = self.config.nodes;
            self.nodes[node] = SimulatedNode::new(nodes, self.run_count, restart_at);
            self.nodes[node].dead_until = restart_at;
            self.nodes[node].exempt_until = restart_at + SETTLING_TIME;
        }
        if self.rng.random_bool(chance) {
            let until = self.time + self.random_millis(300..4_000);
            self.nodes[node].frozen_until = until;
            self.nodes[node].exempt_until =
                self.nodes[node].exempt_until.max(until + SETTLING_TIME);
        }
        if self.rng.random_bool(chance) {
            let until = self.time + self.random_millis(300..8_000);
            self.nodes[node].partitioned_until = until;
            self.nodes[node].exempt_until =
                self.nodes[node].exempt_until.max(until + SETTLING_TIME);
        }
    }

    fn handle_event(&mut self, event: Event<S::Update>) {
        let now = self.now();
        match event {
            Event::Arrival {
                knows_limit,
                exempt,
            } => {
                if knows_limit {
                    self.arrivals.push((self.time, exempt));
                }
                if self.rate().is_some() {
                    self.arrivals_under_limit += 1.0;
                }
            }
            Event::Respond {
                node,
                incarnation,
                sent,
            } => {
                let notice = self
                    .rate()
                    .map_or(RateLimitNotice::Absent, RateLimitNotice::PerSecond);
                let latency = self.random_millis(1..4);
                let response = Event::Response {
                    node,
                    incarnation,
                    sent,
                    notice,
                };
                self.schedule(latency, response);
            }
            Event::Response {
                node,
                incarnation,
                sent,
                notice,
            } => {
                if self.nodes[node].incarnation != incarnation
                    || self.nodes[node].dead_until > self.time
                {
                    return;
                }
                if self.nodes[node].frozen_until > self.time {
                    // A frozen node reads the response when the freeze ends.
                    let left = self.nodes[node].frozen_until.saturating_sub(self.time);
                    let event = Event::Response {
                        node,
                        incarnation,
                        sent,
                        notice,
                    };
                    self.schedule(left, event);
                    return;
                }
                if notice.rate().is_some() {
                    self.nodes[node].limit_learned_at.get_or_insert(self.time);
                }
                let sent = self.start + sent;
                self.nodes[node].strategy.on_response(notice, sent, now);
            }
            Event::Update(node, update) => {
                if self.is_running(node) {
                    self.nodes[node].strategy.on_update(&update, now);
                }
            }
            Event::Heartbeat { to, from, digest } => {
                if !self.is_running(to) {
                    return;
                }
                self.nodes[to].last_heartbeats[from] = Some(self.time);
                let (own, snapshot) = self.nodes[to].strategy.snapshot();
                if own == digest {
                    return;
                }
                for update in snapshot {
                    self.send_datagram(to, from, |_| Event::Update(from, update.clone()));
                }
            }
        }
    }

    /// Sends a datagram; 2 in 100 are lost, and all between partitioned nodes.
    fn send_datagram(
        &mut self,
        from: usize,
        to: usize,
        event: impl FnOnce(&Self) -> Event<S::Update>,
    ) {
        let partitioned = self.nodes[from]
            .partitioned_until
            .max(self.nodes[to].partitioned_until)
            > self.time;
        if partitioned || self.rng.random_bool(0.02) {
            return;
        }
        let delay = self.random_millis(1..25);
        let event = event(self);
        self.schedule(delay, event);
    }

    /// Generates the requests of callers in this step, each to one node.
    fn generate_requests(&mut self) {
        let wanted = self.config.demand * self.nodes.len() as f64;
        let seconds = STEP.as_secs_f64();
        let mean = wanted * seconds;
        let count = mean as usize + usize::from(self.rng.random_bool(mean.fract()));
        if let Some(rate) = self.rate() {
            self.usable += rate * seconds;
        }
        for _ in 0..count {
            let drawn = self.rng.random_range(0..self.nodes.len());
            let hot = self.config.skewed && self.rng.random_bool(0.9);
            let node = if hot { 0 } else { drawn };
            if self.is_running(node) {
                self.send_request(node);
            }
        }
    }

    fn send_request(&mut self, node: usize) {
        let now = self.now();
        if !self.nodes[node].strategy.take(now) {
            return;
        }
        let knows_limit = self.nodes[node]
            .limit_learned_at
            .is_some_and(|at| at + REACTION_TIME <= self.time);
        let exempt = self.nodes[node].exempt_until > self.time;
        let latency = self.random_millis(1..4);
        self.schedule(
            latency,
            Event::Arrival {
                knows_limit,
                exempt,
            },
        );
        let slow = self.rng.random_bool(0.05);
        let service_time = self.random_millis(if slow { 400..2_500 } else { 20..400 });
        let event = Event::Respond {
            node,
            incarnation: self.nodes[node].incarnation,
            sent: self.time,
        };
        self.schedule(latency + service_time, event);
    }

    fn tick_node(&mut self, node: usize) {
        let (now, count) = (self.now(), self.nodes.len());
        for update in self.nodes[node].strategy.drain_updates() {
            for to in (0..count).filter(|to| *to != node) {
                self.send_datagram(node, to, |_| Event::Update(to, update.clone()));
            }
        }
        let phase = Duration::from_millis(5 * (node as u64 % 40));
        let since = self.time.saturating_sub(phase);
        if !since
            .as_millis()
            .is_multiple_of(HEARTBEAT_INTERVAL.as_millis())
        {
            return;
        }
        let time = self.time;
        let state = &mut self.nodes[node];
        let others = state.last_heartbeats.iter().enumerate();
        let others = others.filter(|(other, at)| {
            *other != node && at.is_some_and(|at| time.saturating_sub(at) <= MEMBER_TIMEOUT)
        });
        let others: BTreeSet<u32> = others.map(|(other, _)| other as u32).collect();
        let knows_members = state.started_at.is_zero() || time >= state.started_at + DISCOVERY_TIME;
        state
            .strategy
            .set_sharers(knows_members.then_some(node as u32), others, now);
        let (digest, _) = self.nodes[node].strategy.snapshot();
        for to in (0..count).filter(|to| *to != node) {
            self.send_datagram(node, to, |_| Event::Heartbeat {
                to,
                from: node,
                digest,
            });
        }
    }

    fn check_limit_end(&mut self) {
        let Some(ended) = self.limit_ended_at else {
            return;
        };
        let limited = (0..self.nodes.len()).any(|node| {
            let healthy = self.nodes[node].exempt_until <= self.time;
            healthy && self.is_running(node) && self.nodes[node].strategy.is_limited()
        });
        if !limited {
            self.longest_end_delay = self.longest_end_delay.max(self.time.saturating_sub(ended));
            self.limit_ended_at = None;
        }
    }

    /// Returns the number of requests that arrived while a limit was in force.
    pub(crate) fn sent_under_limit(&self) -> f64 {
        self.arrivals_under_limit
    }

    /// Returns the number of requests that the limits allowed.
    pub(crate) fn usable(&self) -> f64 {
        self.usable
    }

    /// Returns the longest time from the end of a limit until no running, non-exempt node kept to
    /// it.
    pub(crate) fn longest_end_delay(&self) -> Duration {
        self.longest_end_delay
    }

    /// Returns the largest number of requests in any window, relative to the bound; with `all`,
    /// requests of exempt nodes count too.
    pub(crate) fn worst_window(&self, all: bool) -> f64 {
        let counted = self
            .arrivals
            .iter()
            .filter(|(_, exempt_until)| all || !exempt_until);
        let arrivals: Vec<Duration> = counted.map(|(at, _)| *at).collect();
        let mut worst = 0.0_f64;
        for (index, end) in arrivals.iter().enumerate() {
            let Some(first) = self.limited_since(*end) else {
                continue;
            };
            if *end < first + SETTLING_TIME {
                continue;
            }
            let start = end.saturating_sub(WINDOW);
            let before = arrivals[..index].iter().rev();
            let requests = 1 + before.take_while(|at| **at > start).count();
            let most = OVERRUN * self.allowed(start, *end) + SLACK;
            worst = worst.max(requests as f64 / most);
        }
        worst
    }

    /// Returns since when the replica has announced some limit without a break, as of a time.
    fn limited_since(&self, at: Duration) -> Option<Duration> {
        let mut since = None;
        for (from, rate) in self.limits.iter().take_while(|(from, _)| *from <= at) {
            since = rate.and(since.or(Some(*from)));
        }
        since
    }

    fn allowed(&self, start: Duration, end: Duration) -> f64 {
        let mut sum = 0.0;
        for (index, (from, rate)) in self.limits.iter().enumerate() {
            let until = self.limits.get(index + 1).map_or(end, |(at, _)| *at);
            let span = until.min(end).saturating_sub((*from).max(start));
            sum += rate.unwrap_or(0.0) * span.as_secs_f64();
        }
        sum
    }
}

//! Draws what happens in a schedule.

use crate::stream_failover_simulation::fleet::Node;
use crate::stream_failover_simulation::world::CrashKind;
use crate::stream_failover_simulation::world::HoldWindows;
use crate::stream_failover_simulation::world::Place;
use crate::stream_failover_simulation::world::Replica;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;
use zinniahatch_route::RetryBudget;

/// Time in which callers begin streams, and in which disturbances begin.
const BUSY_MS: std::ops::Range<u64> = 1_000..12_000;
/// Time limits of streams, in ms.
const LIMIT_MS: std::ops::Range<u64> = 8_000..15_000;
/// Time limits that are enough to begin anew after a silence, in ms.
const AMPLE_LIMIT_MS: std::ops::Range<u64> = 13_000..15_000;
const SILENCE_MS: std::ops::Range<u64> = 100..3_000;
const PAUSE_MS: std::ops::Range<u64> = 200..3_000;
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// What a caller asks for.
pub(crate) struct DrawnStream {
    pub(crate) time_limit: Duration,
    pub(crate) leaves_after: Option<Duration>,
    pub(crate) events: u32,
    pub(crate) prefill: Duration,
    pub(crate) expected: Duration,
    pub(crate) max_sends: u32,
}

/// What happens, and when.
pub(crate) struct Schedule {
    pub(crate) random: StdRng,
    pub(crate) start: Instant,
    pub(crate) ends_at: Instant,
    pub(crate) nodes: Vec<Node>,
    pub(crate) replicas: Vec<Replica>,
    pub(crate) pauses: Vec<HoldWindows>,
    /// Connections to a place that fall silent for good, and which share of them.
    pub(crate) dead_connections: Vec<(Instant, Place, f64)>,
    /// When callers come, and to which node.
    pub(crate) arrivals: VecDeque<(Instant, usize)>,
    limit_ms: std::ops::Range<u64>,
    pub(crate) retry_window: Duration,
    pub(crate) retry_ratio: f64,
    pub(crate) retry_slack: f64,
}

impl Schedule {
    /// Draws a schedule without disturbances.
    fn calm(seed: u64, regions: usize, nodes: usize, replicas: usize, streams: usize) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let retry_ratio = random.random_range(0.1..0.3);
        let retry_slack = random.random_range(10.0..30.0);
        let budget = RetryBudget::new(RETRY_WINDOW, retry_ratio, retry_slack, start);
        let mut lag = || Duration::from_millis(random.random_range(0..1_000));
        let drawn = (0..nodes).map(|index| {
            let mut budget = budget.clone();
            budget.note_nodes(nodes);
            Node::new(index % regions, lag(), budget)
        });
        let nodes: Vec<Node> = drawn.collect();
        let mut arrivals = Vec::new();
        for _ in 0..streams {
            let at = start + Duration::from_millis(random.random_range(0..BUSY_MS.end));
            arrivals.push((at, random.random_range(0..nodes.len())));
        }
        arrivals.sort_unstable();
        let drawn = 0..replicas;
        let drawn = drawn.map(|index| Replica::new(index % regions, start, &mut random));
        Self {
            replicas: drawn.collect(),
            start,
            ends_at: start + Duration::from_millis(BUSY_MS.end + LIMIT_MS.end + 1_000),
            pauses: vec![HoldWindows::default(); nodes.len()],
            nodes,
            dead_connections: Vec::new(),
            arrivals: arrivals.into(),
            limit_ms: LIMIT_MS,
            retry_window: RETRY_WINDOW,
            retry_ratio,
            retry_slack,
            random,
        }
    }

    /// Draws a schedule with all kinds of disturbances.
    pub(crate) fn disturbed(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let regions = random.random_range(1..3);
        let nodes = random.random_range(regions..5);
        let replicas = random.random_range(1..7);
        let streams = random.random_range(60..240);
        let mut schedule = Self::calm(seed, regions, nodes, replicas, streams);
        schedule.draw_silences();
        schedule.draw_ends();
        for _ in 0..schedule.random.random_range(0..3) {
            let (at, lasting) = (schedule.draw_time(), schedule.draw_span(PAUSE_MS));
            let node = schedule.random.random_range(0..schedule.pauses.len());
            schedule.pauses[node].add(at, lasting);
        }
        for _ in 0..schedule.random.random_range(0..3) {
            let at = schedule.draw_time();
            let place = if schedule.random.random_bool(0.7) {
                Place::Replica(schedule.draw_replica())
            } else {
                Place::Node(schedule.random.random_range(0..schedule.pauses.len()))
            };
            let share = if schedule.random.random_bool(0.5) {
                1.0
            } else {
                0.4
            };
            schedule.dead_connections.push((at, place, share));
        }
        schedule
    }

    /// Draws a schedule in which many nodes see one of six replicas silent for some seconds.
    pub(crate) fn one_silent(seed: u64) -> Self {
        let mut schedule = Self::calm(seed, 1, 4, 6, 400);
        schedule.limit_ms = AMPLE_LIMIT_MS;
        let at = schedule.start + Duration::from_secs(6);
        schedule.replicas[0]
            .still
            .add(at, Duration::from_millis(2_800));
        schedule
    }

    fn draw_time(&mut self) -> Instant {
        self.start + self.draw_span(BUSY_MS)
    }

    fn draw_span(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    fn draw_replica(&mut self) -> usize {
        self.random.random_range(0..self.replicas.len())
    }

    fn draw_silences(&mut self) {
        for _ in 0..self.random.random_range(0..4) {
            let (at, lasting) = (self.draw_time(), self.draw_span(SILENCE_MS));
            let only = self.draw_replica();
            let share = [0.0, 0.5, 1.0][self.random.random_range(0..3)];
            for (index, replica) in self.replicas.iter_mut().enumerate() {
                if index == only || self.random.random_bool(share) {
                    replica.still.add(at, lasting);
                }
            }
        }
    }

    /// Draws crashes, drains, new replicas and refusals.
    fn draw_ends(&mut self) {
        if self.random.random_bool(0.4) {
            let (at, index) = (self.draw_time(), self.draw_replica());
            let closes = self.random.random_bool(0.5);
            let kind = if closes {
                CrashKind::Closes
            } else {
                CrashKind::LosesPower
            };
            self.replicas[index].crash = Some((at, kind));
        }
        for _ in 0..self.random.random_range(0..3) {
            let (at, lasting) = (self.draw_time(), self.draw_span(SILENCE_MS));
            let index = self.draw_replica();
            self.replicas[index].refusing.add(at, lasting);
        }
        if self.random.random_bool(0.4) {
            let (at, index) = (self.draw_time(), self.draw_replica());
            self.replicas[index].drains_at = Some(at);
            let mut next = Replica::new(self.replicas[index].region, at, &mut self.random);
            next.added_at = at;
            self.replicas.push(next);
        }
    }

    pub(crate) fn draw_stream(&mut self) -> DrawnStream {
        let slow = self.random.random_bool(0.2);
        let prefill = self.draw_span(if slow { 500..1_500 } else { 50..300 });
        let leaves = self.random.random_bool(0.05);
        DrawnStream {
            time_limit: self.draw_span(self.limit_ms.clone()),
            leaves_after: leaves.then(|| self.draw_span(100..5_000)),
            events: self.random.random_range(20..120),
            prefill,
            expected: prefill.mul_f64(self.random.random_range(0.7..1.3)),
            max_sends: self.random.random_range(2..4),
        }
    }
}

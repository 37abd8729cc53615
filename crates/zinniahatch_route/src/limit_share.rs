//! One node's part of the rate that a replica takes from all nodes together.

use zinniahatch_base::prelude::*;

/// Requests that all nodes together may send at once beyond a second's worth of the rate.
const BURST: f64 = 2.0;
/// Rate at which a replica that takes less is sent requests all the same: only its answers show that its limit has
/// ended.
const LEAST_RATE: RequestRate = 0.1;

/// One node's part: a bucket that fills at its part of the rate.
///
/// The bursts of all nodes add up to the burst of the replica, so that few nodes take part where the rate is low.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitShare {
    rate: RequestRate,
    /// Nodes that take part; none where this one does not.
    nodes: Option<usize>,
    /// Requests that may be sent now.
    level: f64,
    at: Instant,
}

impl LimitShare {
    /// Starts empty: what was sent just before is not known.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            rate: LEAST_RATE,
            nodes: None,
            level: 0.0,
            at: now,
        }
    }

    /// Sets the rate, this node's place among those of its region, and how many these are.
    pub(crate) fn set(
        &mut self,
        rate: Option<RequestRate>,
        place: Option<usize>,
        nodes: usize,
        now: Instant,
    ) {
        self.level = self.level_at(now);
        self.at = self.at.max(now);
        self.rate = rate.map_or(self.rate, |rate| rate.max(LEAST_RATE));
        let part = (self.burst() as usize).min(nodes);
        self.nodes = place.filter(|place| *place < part).map(|_| part);
        self.level = self.level.min(self.most());
    }

    /// Gives the burst of all nodes together.
    fn burst(&self) -> f64 {
        BURST + self.rate
    }

    /// Gives the burst of this node.
    fn most(&self) -> f64 {
        self.nodes.map_or(0.0, |nodes| self.burst() / nodes as f64)
    }

    /// Gives the rate of this node.
    fn own_rate(&self) -> RequestRate {
        self.nodes.map_or(0.0, |nodes| self.rate / nodes as f64)
    }

    fn level_at(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        (self.level + self.own_rate() * passed).min(self.most())
    }

    /// Tells whether one more request may be sent.
    pub(crate) fn allows(&self, now: Instant) -> bool {
        self.level_at(now) >= 1.0
    }

    /// Takes one request; tells whether it may be sent.
    pub(crate) fn take(&mut self, now: Instant) -> bool {
        let level = self.level_at(now);
        if level < 1.0 {
            return false;
        }
        self.level = level - 1.0;
        self.at = self.at.max(now);
        true
    }

    /// Gives the time until one more request may be sent: by this node or, where it does not take part, by all.
    pub(crate) fn wait(&self, now: Instant) -> Duration {
        let seconds = if self.nodes.is_some() {
            (1.0 - self.level_at(now)).max(0.0) / self.own_rate()
        } else {
            1.0 / self.rate
        };
        Duration::from_secs_f64(seconds)
    }
}

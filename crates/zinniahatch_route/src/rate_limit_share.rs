//! One node's share of a replica's rate limit, which applies to all nodes together.

use zinniahatch_base::prelude::*;

/// Burst of all nodes together, in addition to one second's worth of the rate.
const BURST: f64 = 2.0;
/// Lowest rate at which requests are still sent: only responses of the replica show that its limit
/// has ended.
const MIN_RATE: RequestRate = 0.1;

/// Token bucket that fills at one node's share of the rate.
///
/// The bursts of all nodes add up to the burst of the replica, so that only a few nodes share a low
/// rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateLimitShare {
    rate: RequestRate,
    /// Number of nodes that share the rate; `None` if this node is not one of them.
    sharers: Option<usize>,
    /// Requests that may be sent now.
    tokens: f64,
    at: Instant,
}

impl RateLimitShare {
    /// Creates an empty bucket: what was sent just before is not known.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            rate: MIN_RATE,
            sharers: None,
            tokens: 0.0,
            at: now,
        }
    }

    /// Sets the rate, the rank of this node among the nodes of its region, and their number.
    pub(crate) fn set(
        &mut self,
        rate: Option<RequestRate>,
        rank: Option<usize>,
        sharers: usize,
        now: Instant,
    ) {
        self.tokens = self.tokens_at(now);
        self.at = self.at.max(now);
        self.rate = rate.map_or(self.rate, |rate| rate.max(MIN_RATE));
        let sharing = (self.burst() as usize).min(sharers);
        self.sharers = rank.filter(|rank| *rank < sharing).map(|_| sharing);
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Returns the burst of all nodes together.
    fn burst(&self) -> f64 {
        BURST + self.rate
    }

    /// Returns the burst of this node.
    fn capacity(&self) -> f64 {
        self.sharers
            .map_or(0.0, |sharers| self.burst() / sharers as f64)
    }

    /// Returns the rate of this node.
    fn own_rate(&self) -> RequestRate {
        self.sharers
            .map_or(0.0, |sharers| self.rate / sharers as f64)
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        (self.tokens + self.own_rate() * passed).min(self.capacity())
    }

    /// Returns whether one more request may be sent.
    pub(crate) fn allows(&self, now: Instant) -> bool {
        self.tokens_at(now) >= 1.0
    }

    /// Takes one token; returns whether a request may be sent.
    pub(crate) fn take(&mut self, now: Instant) -> bool {
        let tokens = self.tokens_at(now);
        if tokens < 1.0 {
            return false;
        }
        self.tokens = tokens - 1.0;
        self.at = self.at.max(now);
        true
    }

    /// Returns the time until one more request may be sent: by this node or, if it has no share, by
    /// all nodes together.
    pub(crate) fn wait(&self, now: Instant) -> Duration {
        let seconds = if self.sharers.is_some() {
            (1.0 - self.tokens_at(now)).max(0.0) / self.own_rate()
        } else {
            1.0 / self.rate
        };
        Duration::from_secs_f64(seconds)
    }
}

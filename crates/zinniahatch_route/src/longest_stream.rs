//! The longest time for which a stream that runs now may last.

use zinniahatch_base::prelude::*;

/// Longest time of streams, over all versions of the desired state under which one may have begun.
#[derive(Clone, Copy, Debug)]
pub struct LongestStream {
    limit: Duration,
    /// When streams could last begin under that limit.
    in_force_at: Instant,
}

impl LongestStream {
    /// Starts without streams.
    pub fn new(now: Instant) -> Self {
        Self {
            limit: Duration::ZERO,
            in_force_at: now,
        }
    }

    /// Records the limit in force. A lower one applies once streams of the former one have ended.
    pub fn update(&mut self, limit: Duration, now: Instant) {
        let former_ended = now.saturating_duration_since(self.in_force_at) >= self.limit;
        if limit >= self.limit || former_ended {
            self.limit = limit;
            self.in_force_at = now;
        }
    }

    /// Returns the limit.
    pub fn limit(&self) -> Duration {
        self.limit
    }
}

//! Spreads the retries of callers that were given a Retry-After time.
//!
//! If all were given the same time, they would return at once, and most of them would be refused
//! again.

use zinniahatch_base::prelude::*;

/// Maximum time by which a caller's retry is delayed further.
const MAX_QUEUE_DELAY: Duration = Duration::from_secs(2);

/// The queue of a service on one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryQueue {
    /// When the next caller may retry.
    next: Option<Instant>,
}

impl RetryQueue {
    /// Reserves the next slot and returns the delay until it. Slots are `step` apart, and the
    /// delay is at least `after`.
    pub fn next_delay(&mut self, after: Duration, step: Duration, now: Instant) -> Duration {
        let first = now + after;
        let slot = self.next.map_or(first, |next| next.max(first));
        let slot = slot.min(first + MAX_QUEUE_DELAY);
        self.next = Some(slot + step);
        slot.saturating_duration_since(now)
    }
}

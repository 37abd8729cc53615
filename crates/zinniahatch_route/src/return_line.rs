//! The line of callers that were told when to come back.
//!
//! Told the same moment, all would come back at once, and most of them in vain.

use zinniahatch_base::prelude::*;

/// Longest time that the line puts a caller's return off.
const LONGEST_LINE: Duration = Duration::from_secs(2);

/// The line of a service at one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnLine {
    /// When the next caller may come back.
    next: Option<Instant>,
}

impl ReturnLine {
    /// Takes the next place in the line, `step` apart; gives the time after which its caller may come back, no sooner
    /// than `after`.
    pub fn take(&mut self, after: Duration, step: Duration, now: Instant) -> Duration {
        let first = now + after;
        let place = self.next.map_or(first, |next| next.max(first));
        let place = place.min(first + LONGEST_LINE);
        self.next = Some(place + step);
        place.saturating_duration_since(now)
    }
}

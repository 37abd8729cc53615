//! Tells pauses of this node from silence of others.
//!
//! A node that was stopped or got no processor time for seconds has heard of nobody meanwhile. What
//! was sent to it is yet to be read, so the silence of the others counts from when it runs again.

use zinniahatch_base::prelude::*;

/// Time between ticks by which the node must have stood still. Ticks come every 200 ms, and may be late
/// under load.
const PAUSE_GAP: Duration = Duration::from_millis(700);

/// Pauses of this node, as they show in its own ticks.
#[derive(Clone, Copy, Debug, Default)]
pub struct PauseDetector {
    ticked_at: Option<Instant>,
    resumed_at: Option<Instant>,
}

impl PauseDetector {
    /// Records a tick.
    pub fn tick(&mut self, now: Instant) {
        if self.is_resuming(now) {
            self.resumed_at = Some(now);
        }
        self.ticked_at = Some(now);
    }

    /// Returns for how long another part that was last heard at `since` has been silent while this
    /// node could hear it.
    pub fn silence(&self, since: Instant, now: Instant) -> Duration {
        if self.is_resuming(now) {
            return Duration::ZERO;
        }
        let since = self.resumed_at.map_or(since, |at| at.max(since));
        now.saturating_duration_since(since)
    }

    /// Returns whether the node stood still at some time since `at`.
    pub fn has_paused_since(&self, at: Instant, now: Instant) -> bool {
        self.is_resuming(now) || self.resumed_at.is_some_and(|resumed| resumed > at)
    }

    /// Returns whether the node runs again after a pause and has not ticked since.
    fn is_resuming(&self, now: Instant) -> bool {
        self.ticked_at
            .is_some_and(|at| now.saturating_duration_since(at) > PAUSE_GAP)
    }
}

//! Admitting a request or turning it away at once.
//!
//! Load pattern: a regional peak or a burst brings more than the replicas can read in time. Every
//! request that joins the queue then makes all later ones late, so that nobody is served within
//! the goal although the replicas never idle. Turning away what would wait too long keeps the
//! queue short, and what is admitted is in time.

use zinniahatch_base::prelude::*;

/// Part of the time left that a caller may be told to wait at most; callers honour no more.
const RETRY_PART: f64 = 0.33;
/// Least time that a caller is told to wait, so that refused callers do not come back at once.
const LEAST_RETRY: Duration = Duration::from_millis(100);

/// What decides about a request.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRule {
    /// Time to the first event at which the answer earns its full worth.
    pub goal: Duration,
    /// Time that was spent since the request arrived.
    pub spent: Duration,
    /// Time until the caller gives up.
    pub left: Duration,
    /// How much more wait is allowed; 1 is the plain rule, urgent routes have more.
    pub favour: f64,
    /// Part of what is left of the goal up to which the expected time may go.
    pub goal_margin: f64,
    /// Wait that every request may have, as a part of its goal.
    pub least_wait: f64,
}

/// What was decided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It is admitted.
    Admit,
    /// It is turned away and may come back after this time.
    Refuse(Duration),
}

impl AdmissionRule {
    /// Decides by the expected time to the first event, and by the way there and back and the wait that are
    /// parts of it.
    ///
    /// The margin covers what is not known for certain. Time that has passed and a way that was measured are
    /// certain: with the margin on them too, a region without replicas of its own turned requests away that
    /// others had the capacity for (0.734 of what requests were worth to their callers was served, 0.738 without).
    pub fn judge(&self, expected: Duration, trip: Duration, wait: Duration) -> Verdict {
        if expected + self.spent > self.left {
            return Verdict::Refuse(self.retry_after(wait));
        }
        let goal = self.goal.mul_f64(self.favour);
        let in_time = self.is_in_time(expected, trip);
        let fair = wait <= goal.mul_f64(self.least_wait);
        if in_time || fair {
            return Verdict::Admit;
        }
        Verdict::Refuse(self.retry_after(wait.saturating_sub(goal.mul_f64(self.least_wait))))
    }

    /// Tells whether the first event is expected well within the goal.
    pub fn is_in_time(&self, expected: Duration, trip: Duration) -> bool {
        let goal = self.goal.mul_f64(self.favour);
        let left = goal.saturating_sub(self.spent + trip);
        expected.saturating_sub(trip) <= left.mul_f64(self.goal_margin)
    }

    /// Gives the time after which the request can probably be admitted.
    pub fn retry_after(&self, over: Duration) -> Duration {
        let most = self.left.mul_f64(RETRY_PART);
        over.max(LEAST_RETRY)
            .min(most.max(Duration::from_millis(1)))
    }
}

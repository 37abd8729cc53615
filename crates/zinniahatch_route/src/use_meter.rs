//! How much of an account a region uses: on average, and since all regions knew of it.

use zinniahatch_base::prelude::*;

/// Times over which the use of an account by a region is averaged: to go on from what was heard last, and to share
/// the allowance when regions lose each other, by what all of them know alike.
const LATE_TIME: Duration = Duration::from_secs(1);
const LONG_TIME: Duration = Duration::from_secs(5);
/// Age from which all regions know alike what one used: regions that lose each other show it only after a silence,
/// and what each used meanwhile is known to itself alone.
const SHOWN_TIME: Duration = Duration::from_secs(1);
/// Steps that are looked at: nodes step at different times, so that one goes by a step that is another's next or last.
pub(crate) const SHOWN_STEPS: usize = 3;
/// Steps of time over which recent use is summed.
const RECENT_STEP: Duration = Duration::from_millis(140);
const RECENT_STEPS: usize = 8;
/// Time for which the use of a region that falls silent may be unknown to the others: the silence that shows it, and the
/// age of the last news.
pub(crate) const RECENT_TIME: Duration = RECENT_STEP.saturating_mul(RECENT_STEPS as u32);

/// Units used in the last steps of time.
#[derive(Clone, Copy, Debug)]
struct RecentUse {
    steps: [f64; RECENT_STEPS],
    /// When the newest step began.
    at: Instant,
}

impl RecentUse {
    fn new(now: Instant) -> Self {
        Self {
            steps: [0.0; RECENT_STEPS],
            at: now,
        }
    }

    fn advance(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at);
        let count = (passed.as_millis() / RECENT_STEP.as_millis()) as usize;
        if count == 0 {
            return;
        }
        self.steps.rotate_right(count.min(RECENT_STEPS));
        self.steps[..count.min(RECENT_STEPS)].fill(0.0);
        self.at += RECENT_STEP * count as u32;
    }

    fn add(&mut self, units: f64, now: Instant) {
        self.advance(now);
        self.steps[0] += units;
    }

    fn sum(mut self, now: Instant) -> f64 {
        self.advance(now);
        self.steps.iter().sum()
    }
}

/// How much of an account a region uses, on average and lately.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UseMeter {
    late: f64,
    long: f64,
    recent: RecentUse,
    at: Instant,
    /// The long average as it was at the last steps of `SHOWN_TIME`, the newest first.
    pub(crate) shown: [f64; SHOWN_STEPS],
    step: Instant,
}

impl UseMeter {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            late: 0.0,
            long: 0.0,
            recent: RecentUse::new(now),
            at: now,
            shown: [0.0; SHOWN_STEPS],
            step: now,
        }
    }

    pub(crate) fn add(&mut self, units: f64, now: Instant) {
        let passed = now.saturating_duration_since(self.at);
        let mean = |rate: f64, time: Duration| {
            let kept = (-passed.as_secs_f64() / time.as_secs_f64()).exp();
            rate * kept + units / time.as_secs_f64()
        };
        self.late = mean(self.late, LATE_TIME);
        self.long = mean(self.long, LONG_TIME);
        self.recent.add(units, now);
        self.at = now;
        if now.saturating_duration_since(self.step) >= SHOWN_TIME {
            self.shown.rotate_right(1);
            self.shown[0] = self.long;
            self.step = now;
        }
    }

    /// Gives what was used since all regions knew alike what each had used.
    pub(crate) fn recent(&self, now: Instant) -> f64 {
        self.recent.sum(now)
    }

    /// Gives the rate at which it probably goes on.
    pub(crate) fn going_on(&self) -> f64 {
        self.late.max(self.long)
    }
}

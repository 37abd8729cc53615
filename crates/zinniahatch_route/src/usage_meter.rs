//! Measures how much of an account a region uses, on average and in a recent window.

use zinniahatch_base::prelude::*;

/// Averaging times of a region's usage: the short one extrapolates unreported usage, the long one
/// divides the allowance during a partition, from values that all regions know.
const SHORT_AVERAGE_TIME: Duration = Duration::from_secs(1);
const LONG_AVERAGE_TIME: Duration = Duration::from_secs(5);
/// Interval between samples of the long average. A sample of this age is known to all regions: a
/// partition is detected only after a silence, and the usage of each region in between is known to
/// itself alone.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of past averages considered. Nodes take them at different times, so that one node's
/// latest may be another's previous or next one.
pub(crate) const SAMPLE_COUNT: usize = 3;
/// Length and number of the intervals over which recent usage is summed.
const RECENT_STEP: Duration = Duration::from_millis(140);
const RECENT_STEPS: usize = 8;
/// Time for which the usage of a region that falls silent may be unknown to the others: the
/// silence that reveals it, plus the age of the last update.
pub(crate) const RECENT_TIME: Duration = RECENT_STEP.saturating_mul(RECENT_STEPS as u32);

/// Units used in the most recent intervals.
#[derive(Clone, Copy, Debug)]
struct RecentUsage {
    steps: [f64; RECENT_STEPS],
    /// When the newest interval began.
    at: Instant,
}

impl RecentUsage {
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

/// Usage of an account by a region, on average and in the recent window.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UsageMeter {
    short_average: f64,
    long_average: f64,
    recent: RecentUsage,
    at: Instant,
    /// The latest samples of the long average, newest first.
    pub(crate) samples: [f64; SAMPLE_COUNT],
    step: Instant,
}

impl UsageMeter {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            short_average: 0.0,
            long_average: 0.0,
            recent: RecentUsage::new(now),
            at: now,
            samples: [0.0; SAMPLE_COUNT],
            step: now,
        }
    }

    pub(crate) fn add(&mut self, units: f64, now: Instant) {
        let passed = now.saturating_duration_since(self.at);
        let mean = |rate: f64, time: Duration| {
            let decay = (-passed.as_secs_f64() / time.as_secs_f64()).exp();
            rate * decay + units / time.as_secs_f64()
        };
        self.short_average = mean(self.short_average, SHORT_AVERAGE_TIME);
        self.long_average = mean(self.long_average, LONG_AVERAGE_TIME);
        self.recent.add(units, now);
        self.at = now;
        if now.saturating_duration_since(self.step) >= SAMPLE_INTERVAL {
            self.samples.rotate_right(1);
            self.samples[0] = self.long_average;
            self.step = now;
        }
    }

    /// Returns the usage since all regions last knew the usage of each.
    pub(crate) fn recent(&self, now: Instant) -> f64 {
        self.recent.sum(now)
    }

    /// Returns the rate at which the usage is expected to continue.
    pub(crate) fn expected_rate(&self) -> f64 {
        self.short_average.max(self.long_average)
    }
}

//! Round-trip times to one node: their mean, and how far the last one exceeds the least.

use zinniahatch_base::prelude::*;

/// Weight of a new measurement in the smoothed round-trip time.
const SMOOTHING_GAIN: f64 = 0.2;
/// Age up to which the last measurement counts.
const SAMPLE_TIME: Duration = Duration::from_secs(2);

/// Measured round-trip times to one node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoundTrips {
    smoothed: Duration,
    least: Duration,
    last: Duration,
    at: Instant,
}

impl RoundTrips {
    /// Starts with a first measurement.
    pub(crate) fn new(round_trip: Duration, now: Instant) -> Self {
        Self {
            smoothed: round_trip,
            least: round_trip,
            last: round_trip,
            at: now,
        }
    }

    /// Adds a measurement.
    pub(crate) fn note(&mut self, round_trip: Duration, now: Instant) {
        let kept = self.smoothed.mul_f64(1.0 - SMOOTHING_GAIN);
        self.smoothed = kept + round_trip.mul_f64(SMOOTHING_GAIN);
        self.least = self.least.min(round_trip);
        self.last = round_trip;
        self.at = now;
    }

    /// Returns the smoothed time.
    pub(crate) fn smoothed(&self) -> Duration {
        self.smoothed
    }

    /// Returns by how much the last measurement exceeds the least; `None` if it is old.
    pub(crate) fn excess(&self, now: Instant) -> Option<Duration> {
        let is_recent = now.saturating_duration_since(self.at) <= SAMPLE_TIME;
        is_recent.then(|| self.last.saturating_sub(self.least))
    }
}

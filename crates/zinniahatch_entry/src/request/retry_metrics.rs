//! Metrics of retries.

use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;

/// Metrics of retries.
#[derive(Debug)]
pub(crate) struct RetryMetrics {
    granted: IntCounterVec,
    denied: IntCounterVec,
    uncharged: IntCounterVec,
}

impl RetryMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// A metric name is invalid or already registered.
    pub(crate) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let vec = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(vec.clone()))?;
            Ok::<_, prometheus::Error>(vec)
        };
        Ok(Self {
            granted: counter(
                "zinniahatch_repeats_total",
                "Requests sent once more, by service and reason.",
                &["service", "reason"],
            )?,
            denied: counter(
                "zinniahatch_repeats_denied_total",
                "Requests not sent once more because the retry budget was used up, by service and reason.",
                &["service", "reason"],
            )?,
            uncharged: counter(
                "zinniahatch_uncharged_sends_total",
                "Sends beyond the first of a request that no retry budget was charged for, by service.",
                &["service"],
            )?,
        })
    }

    /// Counts a request that is sent again, or is not because the retry budget is used up.
    pub(crate) fn note_retry(&self, service: &str, reason: &str, granted: bool) {
        let counter = if granted { &self.granted } else { &self.denied };
        counter.with_label_values(&[service, reason]).inc();
    }

    /// Counts sends beyond the first of a request that no retry budget was charged for.
    pub(crate) fn note_uncharged(&self, service: &str, sends: u32) {
        let counter = self.uncharged.with_label_values(&[service]);
        counter.inc_by(u64::from(sends));
    }
}

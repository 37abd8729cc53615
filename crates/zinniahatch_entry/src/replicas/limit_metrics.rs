//! Metrics of the rate limits that replicas announce.

use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;

/// Metrics of the rate limits that replicas announce.
#[derive(Debug)]
pub(crate) struct LimitMetrics {
    events: IntCounterVec,
    limited: IntGauge,
}

impl LimitMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// A metric name is invalid or already registered.
    pub(crate) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let events = Opts::new(
            "zinniahatch_rate_limits_total",
            "What became of the rate limits that replicas name, by event.",
        );
        let events = IntCounterVec::new(events, &["event"])?;
        registry.register(Box::new(events.clone()))?;
        let limited = IntGauge::new(
            "zinniahatch_limited_replicas",
            "Replicas of the region whose rate limit is in force.",
        )?;
        registry.register(Box::new(limited.clone()))?;
        Ok(Self { events, limited })
    }

    /// Counts an event.
    pub(crate) fn note(&self, event: &str) {
        self.events.with_label_values(&[event]).inc();
    }

    /// Sets the number of replicas with a rate limit in force.
    pub(crate) fn set_limited(&self, count: usize) {
        self.limited.set(count as i64);
    }
}

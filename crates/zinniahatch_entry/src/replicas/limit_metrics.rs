//! Counters of the rate limits that replicas name.

use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;

/// Counters of the rate limits that replicas name.
#[derive(Debug)]
pub(crate) struct LimitMetrics {
    events: IntCounterVec,
    limited: IntGauge,
}

impl LimitMetrics {
    /// Makes and registers them.
    ///
    /// # Errors
    ///
    /// A name is taken or wrong.
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

    /// Sets how many replicas are limited.
    pub(crate) fn set_limited(&self, count: usize) {
        self.limited.set(count as i64);
    }
}

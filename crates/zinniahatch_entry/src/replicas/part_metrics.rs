//! Metrics of suspect prompt parts and their quarantine.

use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;

/// Counters of suspect prompt parts, and how many are quarantined.
#[derive(Debug)]
pub(crate) struct PartMetrics {
    events: IntCounterVec,
    quarantined: IntGauge,
}

impl PartMetrics {
    /// Creates and registers the metrics.
    pub(crate) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let opts = Opts::new(
            "zinniahatch_part_suspects_total",
            "What was learned of prompt parts on replicas that crashed, by event.",
        );
        let events = IntCounterVec::new(opts, &["event"])?;
        registry.register(Box::new(events.clone()))?;
        let quarantined = IntGauge::new(
            "zinniahatch_quarantined_parts",
            "Prompt parts whose requests are refused because replicas crashed under them.",
        )?;
        registry.register(Box::new(quarantined.clone()))?;
        Ok(Self {
            events,
            quarantined,
        })
    }

    /// Counts an event of some parts.
    pub(crate) fn note(&self, event: &str, parts: usize) {
        let counter = self.events.with_label_values(&[event]);
        counter.inc_by(parts as u64);
    }

    /// Sets the number of quarantined parts.
    pub(crate) fn set_quarantined(&self, parts: usize) {
        self.quarantined.set(parts as i64);
    }
}

//! Metrics of the memory that a node holds for others.

use crate::request::held_memory::MemoryUse;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;

/// Gauges of held bytes and counters of what found no memory.
#[derive(Debug)]
pub(crate) struct MemoryMetrics {
    held: IntGaugeVec,
    limits: IntGaugeVec,
    refused: IntCounterVec,
}

impl MemoryMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// A metric name is already registered.
    pub(crate) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let gauge = |name: &str, help: &str| {
            let gauge = IntGaugeVec::new(Opts::new(name, help), &["use"])?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let refused = IntCounterVec::new(
            Opts::new(
                "zinniahatch_memory_full_total",
                "Reservations of memory that failed, by use.",
            ),
            &["use"],
        )?;
        registry.register(Box::new(refused.clone()))?;
        Ok(Self {
            held: gauge("zinniahatch_held_bytes", "Bytes reserved, by use.")?,
            limits: gauge(
                "zinniahatch_held_bytes_limit",
                "Bytes that may be reserved, by use.",
            )?,
            refused,
        })
    }

    /// Returns the gauge of the bytes held for a use.
    pub(crate) fn held(&self, purpose: MemoryUse) -> IntGauge {
        self.held.with_label_values(&[purpose.name()])
    }

    /// Returns the counter of the reservations that failed for a use.
    pub(crate) fn refused(&self, purpose: MemoryUse) -> IntCounter {
        self.refused.with_label_values(&[purpose.name()])
    }

    /// Sets the bytes that may be held for a use.
    pub(crate) fn set_limit(&self, purpose: MemoryUse, bytes: usize) {
        self.limits
            .with_label_values(&[purpose.name()])
            .set(bytes as i64);
    }
}

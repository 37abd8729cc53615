//! Metrics of the process itself.

use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;

/// Counters of what keeps the process from its work.
#[derive(Debug)]
pub(crate) struct ProcessMetrics {
    listen_retries: IntCounterVec,
}

impl ProcessMetrics {
    /// Creates and registers the counters.
    ///
    /// # Errors
    ///
    /// A metric name is already registered.
    pub(crate) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let listen_retries = IntCounterVec::new(
            Opts::new(
                "zinniahatch_listen_retries_total",
                "Tries to listen at an address that could not be used yet, by settings key.",
            ),
            &["key"],
        )?;
        registry.register(Box::new(listen_retries.clone()))?;
        Ok(Self { listen_retries })
    }

    /// Counts a listen address that cannot be used yet.
    pub(crate) fn note_listen_retry(&self, key: &str) {
        self.listen_retries.with_label_values(&[key]).inc();
    }
}

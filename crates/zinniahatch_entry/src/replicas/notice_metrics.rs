//! Counters of what replicas say of themselves, and of what they were not sent for it.

use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;

/// Counters of what replicas say of themselves.
#[derive(Debug)]
pub(crate) struct NoticeMetrics {
    withheld: IntCounterVec,
}

impl NoticeMetrics {
    /// Makes and registers them.
    ///
    /// # Errors
    ///
    /// A name is taken or wrong.
    pub(crate) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let withheld = Opts::new(
            "zinniahatch_withheld_sends_total",
            "Requests and probes that were not written to a replica, by reason.",
        );
        let withheld = IntCounterVec::new(withheld, &["reason"])?;
        registry.register(Box::new(withheld.clone()))?;
        Ok(Self { withheld })
    }

    /// Counts a request or probe that was not written.
    pub(crate) fn note_withheld(&self, reason: &str) {
        self.withheld.with_label_values(&[reason]).inc();
    }
}

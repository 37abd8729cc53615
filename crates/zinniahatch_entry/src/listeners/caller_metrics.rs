//! Metrics of the connections of callers and other nodes.

use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;
use zinniahatch_route::CloseReason;
use zinniahatch_route::LingerEnd;

/// Counters of connections that this node closed.
#[derive(Debug)]
pub(crate) struct CallerMetrics {
    closed: IntCounterVec,
    lingered: IntCounterVec,
    full: IntCounterVec,
}

impl CallerMetrics {
    /// Creates and registers the counters.
    ///
    /// # Errors
    ///
    /// A metric name is already registered.
    pub(crate) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let closed = IntCounterVec::new(
            Opts::new(
                "zinniahatch_closed_connections_total",
                "Connections of callers and other nodes that this node closed without being asked to, by reason.",
            ),
            &["reason"],
        )?;
        registry.register(Box::new(closed.clone()))?;
        let lingered = IntCounterVec::new(
            Opts::new(
                "zinniahatch_lingered_connections_total",
                "Connections of callers and other nodes that this node kept after their last answer, by why it closed them and what ended it.",
            ),
            &["reason", "end"],
        )?;
        registry.register(Box::new(lingered.clone()))?;
        let full = IntCounterVec::new(
            Opts::new(
                "zinniahatch_connections_full_total",
                "Times that a listener had to wait since it had all the connections that it may have.",
            ),
            &["listener"],
        )?;
        registry.register(Box::new(full.clone()))?;
        Ok(Self {
            closed,
            lingered,
            full,
        })
    }

    /// Counts a listener that has all the connections that it may have.
    pub(crate) fn note_full(&self, listener: &str) {
        self.full.with_label_values(&[listener]).inc();
    }

    /// Counts a connection that this node closed.
    pub(crate) fn note_closed(&self, reason: CloseReason) {
        self.closed.with_label_values(&[reason.as_str()]).inc();
    }

    /// Counts a connection that was kept after its last answer.
    pub(crate) fn note_lingered(&self, reason: &str, end: LingerEnd) {
        let labels = [reason, end.as_str()];
        self.lingered.with_label_values(&labels).inc();
    }
}

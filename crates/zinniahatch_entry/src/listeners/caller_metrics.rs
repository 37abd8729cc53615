//! Metrics of the connections of callers and other nodes.

use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;
use zinniahatch_route::CloseReason;

/// Counters of connections that this node closed.
#[derive(Debug)]
pub(crate) struct CallerMetrics {
    closed: IntCounterVec,
    unread: IntCounterVec,
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
        let unread = IntCounterVec::new(
            Opts::new(
                "zinniahatch_unread_connections_total",
                "Connections of callers and other nodes that this node closed while bytes on them were unread, by reason.",
            ),
            &["reason"],
        )?;
        registry.register(Box::new(unread.clone()))?;
        Ok(Self { closed, unread })
    }

    /// Counts a connection that this node closed.
    pub(crate) fn note_closed(&self, reason: CloseReason) {
        self.closed.with_label_values(&[reason.as_str()]).inc();
    }

    /// Counts a connection that this node closed while bytes on it were unread.
    pub(crate) fn note_unread(&self, reason: &str) {
        self.unread.with_label_values(&[reason]).inc();
    }
}

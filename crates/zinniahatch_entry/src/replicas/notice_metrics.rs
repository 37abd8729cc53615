//! Metrics of replica notices, and of the sends withheld because of them.

use crate::replicas::unknown_headers::UnknownHeaders;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;

/// Metrics of replica notices.
#[derive(Debug)]
pub(crate) struct NoticeMetrics {
    withheld: IntCounterVec,
    events: IntCounterVec,
    leaving: IntGauge,
    in_backoff: IntGauge,
    /// Response headers that the gateway does not know.
    pub(crate) unknown_headers: UnknownHeaders,
}

impl NoticeMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// A metric name is invalid or already registered.
    pub(crate) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let counter = |name: &str, help: &str, label: &str| {
            let vec = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(vec.clone()))?;
            Ok::<_, prometheus::Error>(vec)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        Ok(Self {
            unknown_headers: UnknownHeaders::new(registry)?,
            withheld: counter(
                "zinniahatch_withheld_sends_total",
                "Requests and probes that were not written to a replica, by reason.",
                "reason",
            )?,
            events: counter(
                "zinniahatch_replica_notices_total",
                "What became of what replicas say of their leaving and of rests, by event.",
                "event",
            )?,
            leaving: gauge(
                "zinniahatch_leaving_replicas",
                "Replicas that said in an answer that they leave, and have not ended.",
            )?,
            in_backoff: gauge(
                "zinniahatch_resting_replicas",
                "Replicas that wanted a rest from this node, and have not served it since.",
            )?,
        })
    }

    /// Counts a request or probe that was not sent.
    pub(crate) fn note_withheld(&self, reason: &str) {
        self.withheld.with_label_values(&[reason]).inc();
    }

    /// Counts an event.
    pub(crate) fn note(&self, event: &str) {
        self.events.with_label_values(&[event]).inc();
    }

    /// Sets the number of leaving replicas and of those in backoff.
    pub(crate) fn set_counts(&self, leaving: usize, in_backoff: usize) {
        self.leaving.set(leaving as i64);
        self.in_backoff.set(in_backoff as i64);
    }
}

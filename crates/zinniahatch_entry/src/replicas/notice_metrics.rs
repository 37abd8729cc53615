//! Counters of what replicas say of themselves, and of what they were not sent for it.

use crate::replicas::unread_headers::UnreadHeaders;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;

/// Counters of what replicas say of themselves.
#[derive(Debug)]
pub(crate) struct NoticeMetrics {
    withheld: IntCounterVec,
    events: IntCounterVec,
    leaving: IntGauge,
    resting: IntGauge,
    /// The headers that nobody reads.
    pub(crate) unread: UnreadHeaders,
}

impl NoticeMetrics {
    /// Makes and registers them.
    ///
    /// # Errors
    ///
    /// A name is taken or wrong.
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
            unread: UnreadHeaders::new(registry)?,
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
            resting: gauge(
                "zinniahatch_resting_replicas",
                "Replicas that wanted a rest from this node, and have not served it since.",
            )?,
        })
    }

    /// Counts a request or probe that was not written.
    pub(crate) fn note_withheld(&self, reason: &str) {
        self.withheld.with_label_values(&[reason]).inc();
    }

    /// Counts an event.
    pub(crate) fn note(&self, event: &str) {
        self.events.with_label_values(&[event]).inc();
    }

    /// Sets how many replicas leave and rest.
    pub(crate) fn set_counts(&self, leaving: usize, resting: usize) {
        self.leaving.set(leaving as i64);
        self.resting.set(resting as i64);
    }
}

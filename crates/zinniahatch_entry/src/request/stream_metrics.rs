//! Metrics of answers that end early, and of streams that callers take up.

use crate::request::truncation::Truncation;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;

/// Counters of truncated answers and of streams that are taken up.
#[derive(Debug)]
pub(crate) struct StreamMetrics {
    truncated: IntCounterVec,
    taken_up: IntCounterVec,
    silences: IntCounterVec,
    stays: IntCounterVec,
    abandoned: IntCounterVec,
    unrecorded: IntCounter,
}

impl StreamMetrics {
    /// Creates and registers the counters.
    ///
    /// # Errors
    ///
    /// A metric name is already registered.
    pub(crate) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let truncated = IntCounterVec::new(
            Opts::new(
                "zinniahatch_truncated_answers_total",
                "Answers of replicas that ended early, by service and what showed it.",
            ),
            &["service", "reason"],
        )?;
        registry.register(Box::new(truncated.clone()))?;
        let taken_up = IntCounterVec::new(
            Opts::new(
                "zinniahatch_streams_taken_up_total",
                "Requests that take up a stream, by service and how the version that began it was found.",
            ),
            &["service", "source"],
        )?;
        registry.register(Box::new(taken_up.clone()))?;
        let silences = IntCounterVec::new(
            Opts::new(
                "zinniahatch_silences_total",
                "Silences of connections under a request, by service and whether the replica was heard elsewhere meanwhile.",
            ),
            &["service", "replica"],
        )?;
        registry.register(Box::new(silences.clone()))?;
        let stays = IntCounterVec::new(
            Opts::new(
                "zinniahatch_silences_stayed_total",
                "Requests that stay on a silent connection, by service and why they have no other place.",
            ),
            &["service", "reason"],
        )?;
        registry.register(Box::new(stays.clone()))?;
        let abandoned = IntCounterVec::new(
            Opts::new(
                "zinniahatch_streams_abandoned_total",
                "Broken streams that do not go on, by service and why.",
            ),
            &["service", "reason"],
        )?;
        registry.register(Box::new(abandoned.clone()))?;
        let unrecorded = IntCounter::new(
            "zinniahatch_streams_unrecorded_total",
            "Streams that waited in vain until the store had the version that is to begin them.",
        )?;
        registry.register(Box::new(unrecorded.clone()))?;
        Ok(Self {
            truncated,
            taken_up,
            silences,
            stays,
            abandoned,
            unrecorded,
        })
    }

    /// Counts an answer of a replica that ended early.
    pub(crate) fn note_truncated(&self, service: &str, truncation: &Truncation) {
        self.truncated
            .with_label_values(&[service, truncation.name()])
            .inc();
    }

    /// Counts a broken stream that does not go on.
    pub(crate) fn note_abandoned(&self, service: &str, reason: &str) {
        self.abandoned.with_label_values(&[service, reason]).inc();
    }

    /// Counts a silence of a connection under a request.
    pub(crate) fn note_silence(&self, service: &str, replica_heard: bool) {
        let replica = if replica_heard { "heard" } else { "silent" };
        self.silences.with_label_values(&[service, replica]).inc();
    }

    /// Counts a request that stays on a silent connection.
    pub(crate) fn note_stay(&self, service: &str, reason: &str) {
        self.stays.with_label_values(&[service, reason]).inc();
    }

    /// Counts a stream that waited in vain for the record of a version.
    pub(crate) fn note_unrecorded(&self) {
        self.unrecorded.inc();
    }

    /// Counts a request that takes up a stream.
    pub(crate) fn note_taken_up(&self, service: &str, source: &str) {
        self.taken_up.with_label_values(&[service, source]).inc();
    }
}

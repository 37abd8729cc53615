//! Metrics of retries and of sends that are withheld.

use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;
use zinniahatch_route::ReadBound;

/// Metrics of retries and of sends that are withheld.
#[derive(Debug)]
pub(crate) struct RetryMetrics {
    granted: IntCounterVec,
    denied: IntCounterVec,
    uncharged: IntCounterVec,
    given_up: IntCounterVec,
    excess: IntCounterVec,
    late: IntCounterVec,
}

impl RetryMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// A metric name is invalid or already registered.
    pub(crate) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let vec = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(vec.clone()))?;
            Ok::<_, prometheus::Error>(vec)
        };
        Ok(Self {
            granted: counter(
                "zinniahatch_repeats_total",
                "Requests sent once more, by service and reason.",
                &["service", "reason"],
            )?,
            denied: counter(
                "zinniahatch_repeats_denied_total",
                "Requests not sent once more because the retry budget was used up, by service and reason.",
                &["service", "reason"],
            )?,
            uncharged: counter(
                "zinniahatch_uncharged_sends_total",
                "Sends beyond the first of a request that no retry budget was charged for, by service.",
                &["service"],
            )?,
            given_up: counter(
                "zinniahatch_given_up_total",
                "Requests whose connection was closed before the end of the response, by receiver.",
                &["receiver"],
            )?,
            excess: counter(
                "zinniahatch_excess_responses_total",
                "Responses that were given up because more was received than is read, by bound.",
                &["bound"],
            )?,
            late: counter(
                "zinniahatch_late_refusals_total",
                "Requests, or answers, withheld because this node stops before the answers end, by service and reason.",
                &["service", "reason"],
            )?,
        })
    }

    /// Counts a request that is sent again, or is not because the retry budget is used up.
    pub(crate) fn note_retry(&self, service: &str, reason: &str, granted: bool) {
        let counter = if granted { &self.granted } else { &self.denied };
        counter.with_label_values(&[service, reason]).inc();
    }

    /// Counts a request whose connection is closed before the end of the response.
    pub(crate) fn note_given_up(&self, receiver: &str) {
        self.given_up.with_label_values(&[receiver]).inc();
    }

    /// Counts a response that exceeded a bound on what is read.
    pub(crate) fn note_excess(&self, bound: ReadBound) {
        self.excess.with_label_values(&[bound.name()]).inc();
    }

    /// Counts a request, or an answer, that is withheld because this node stops before the answer ends.
    pub(crate) fn note_late(&self, service: &str, reason: &str) {
        self.late.with_label_values(&[service, reason]).inc();
    }

    /// Counts sends beyond the first of a request that no retry budget was charged for.
    pub(crate) fn note_uncharged(&self, service: &str, sends: u32) {
        let counter = self.uncharged.with_label_values(&[service]);
        counter.inc_by(u64::from(sends));
    }
}

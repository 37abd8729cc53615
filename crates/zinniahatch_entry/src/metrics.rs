//! Metrics of an entry VM.

use crate::listeners::CallerMetrics;
use crate::nodes::message_metrics::MessageMetrics;
use crate::process_metrics::ProcessMetrics;
use crate::replicas::limit_metrics::LimitMetrics;
use crate::replicas::notice_metrics::NoticeMetrics;
use crate::replicas::part_metrics::PartMetrics;
use crate::request::retry_metrics::RetryMetrics;
use crate::request::stream_metrics::StreamMetrics;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use zinniahatch_base::prelude::*;

/// Upper bounds of the latency buckets, in seconds: from a look-up to the longest stream.
const BUCKETS: [f64; 11] = [0.01, 0.03, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 2.0, 5.0, 15.0];

/// All metrics.
#[derive(Debug)]
pub(crate) struct EntryMetrics {
    registry: Registry,
    responses: IntCounterVec,
    remote_sends: IntCounterVec,
    store_calls: IntCounterVec,
    first_event: HistogramVec,
    replica_crashes: IntCounter,
    suspects: IntCounterVec,
    quarantined: IntGauge,
    /// Metrics of the rate limits that replicas announce.
    pub(crate) limits: LimitMetrics,
    /// Metrics of retries.
    pub(crate) retries: RetryMetrics,
    /// Metrics of streams that end early or are taken up.
    pub(crate) streams: StreamMetrics,
    /// Metrics of connections of callers and other nodes.
    pub(crate) callers: CallerMetrics,
    /// Metrics of replica notices.
    pub(crate) notices: NoticeMetrics,
    /// Suspect prompt parts.
    pub(crate) parts: PartMetrics,
    /// Metrics of the messages between nodes.
    pub(crate) messages: MessageMetrics,
    /// Metrics of the process itself.
    pub(crate) process: ProcessMetrics,
    refused_keys: IntCounterVec,
    over_allowance: IntCounter,
    proof_age: IntGauge,
    store_restores: IntCounter,
    connections: IntGauge,
    dropped_sheets: IntGauge,
}

impl EntryMetrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// A metric name is invalid or already registered.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let vec = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(vec.clone()))?;
            Ok::<_, prometheus::Error>(vec)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let responses = counter(
            "zinniahatch_answers_total",
            "Answers to callers and other nodes, by service and result.",
            &["service", "result"],
        )?;
        let remote_sends = counter(
            "zinniahatch_away_total",
            "Requests sent to a node of another region, by service and region.",
            &["service", "region"],
        )?;
        let store_calls = counter(
            "zinniahatch_store_calls_total",
            "Calls to the platform's store, by call and outcome.",
            &["call", "outcome"],
        )?;
        let suspects = counter(
            "zinniahatch_suspects_total",
            "What was learned of requests under which replicas ended, by event.",
            &["event"],
        )?;
        let replica_crashes = IntCounter::new(
            "zinniahatch_replica_ends_total",
            "Replicas that ended while this node had requests there.",
        )?;
        registry.register(Box::new(replica_crashes.clone()))?;
        let quarantined = gauge(
            "zinniahatch_quarantined_requests",
            "Contents of requests that are held because replicas ended under them.",
        )?;
        let first_event = HistogramVec::new(
            HistogramOpts::new(
                "zinniahatch_first_event_seconds",
                "Time from the arrival of a request to the first event of its answer.",
            )
            .buckets(BUCKETS.to_vec()),
            &["service"],
        )?;
        registry.register(Box::new(first_event.clone()))?;
        let refused_keys = counter(
            "zinniahatch_refused_keys_total",
            "Requests refused for their key, by reason.",
            &["reason"],
        )?;
        let over_allowance = IntCounter::new(
            "zinniahatch_over_allowance_total",
            "Requests refused because their account had used up its allowance.",
        )?;
        registry.register(Box::new(over_allowance.clone()))?;
        let proof_age = gauge(
            "zinniahatch_proof_age_milliseconds",
            "Age of the newest proof that this node knows of all keys that were taken away; -1 where it has none.",
        )?;
        let store_restores = IntCounter::new(
            "zinniahatch_store_returns_total",
            "Times that the platform's store came back from an older copy.",
        )?;
        registry.register(Box::new(store_restores.clone()))?;
        let connections = gauge(
            "zinniahatch_backend_channels",
            "Open channels to backend servers and other nodes.",
        )?;
        let dropped_sheets = gauge(
            "zinniahatch_dropped_sheets",
            "Sheets of counts dropped because the store was out of reach for too long.",
        )?;
        Ok(Self {
            limits: LimitMetrics::new(&registry)?,
            retries: RetryMetrics::new(&registry)?,
            streams: StreamMetrics::new(&registry)?,
            callers: CallerMetrics::new(&registry)?,
            notices: NoticeMetrics::new(&registry)?,
            parts: PartMetrics::new(&registry)?,
            messages: MessageMetrics::new(&registry)?,
            process: ProcessMetrics::new(&registry)?,
            registry,
            responses,
            remote_sends,
            store_calls,
            first_event,
            replica_crashes,
            suspects,
            quarantined,
            refused_keys,
            over_allowance,
            proof_age,
            store_restores,
            connections,
            dropped_sheets,
        })
    }

    /// Counts a response to a caller or another node.
    pub(crate) fn note_response(&self, service: &str, result: &str) {
        self.responses.with_label_values(&[service, result]).inc();
    }

    /// Counts a request that is sent to another region.
    pub(crate) fn note_remote(&self, service: &str, region: &str) {
        self.remote_sends
            .with_label_values(&[service, region])
            .inc();
    }

    /// Counts a call to the store.
    pub(crate) fn note_store(&self, call: &str, outcome: &str) {
        self.store_calls.with_label_values(&[call, outcome]).inc();
    }

    /// Counts a replica that crashed.
    pub(crate) fn note_replica_crash(&self) {
        self.replica_crashes.inc();
    }

    /// Counts an event of a suspect request.
    pub(crate) fn note_suspect(&self, event: &str) {
        self.suspects.with_label_values(&[event]).inc();
    }

    /// Sets the number of quarantined request contents.
    pub(crate) fn set_quarantined(&self, count: usize) {
        self.quarantined.set(count as i64);
    }

    /// Records the time to the first event of a response.
    pub(crate) fn note_first_event(&self, service: &str, took: Duration) {
        self.first_event
            .with_label_values(&[service])
            .observe(took.as_secs_f64());
    }

    /// Counts a request that is refused because of its key.
    pub(crate) fn note_refused_key(&self, reason: &str) {
        self.refused_keys.with_label_values(&[reason]).inc();
    }

    /// Counts a request that is refused because its account has used up its allowance.
    pub(crate) fn note_over_allowance(&self) {
        self.over_allowance.inc();
    }

    /// Counts a restore of the store from an older backup.
    pub(crate) fn note_store_restore(&self) {
        self.store_restores.inc();
    }

    /// Sets the age of the newest proof.
    pub(crate) fn set_proof_age(&self, age: Option<Duration>) {
        let millis = age.map_or(-1, |age| age.as_millis() as i64);
        self.proof_age.set(millis);
    }

    /// Sets the number of batches of counts dropped since the start.
    pub(crate) fn set_dropped_sheets(&self, count: u64) {
        self.dropped_sheets.set(count as i64);
    }

    /// Encodes all metrics in the text format.
    pub(crate) fn text(&self, open_connections: usize) -> String {
        self.connections.set(open_connections as i64);
        self.process.update();
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }
}

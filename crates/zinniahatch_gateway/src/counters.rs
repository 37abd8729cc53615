//! Counters and gauges of one node.

use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use zinniahatch_base::prelude::*;

/// All counters and gauges; `docs/OPERATIONS.md` explains how to read them.
pub struct CounterSet {
    registry: Registry,
    /// Requests by result code.
    pub results: IntCounterVec,
    /// Retries by reason.
    pub retries: IntCounterVec,
    /// Retries denied by the retry budget, the attempt limit or the deadline, by reason.
    pub retries_denied: IntCounterVec,
    /// Hedges by outcome.
    pub hedges: IntCounterVec,
    /// Streams resumed, by reason.
    pub resumes: IntCounterVec,
    /// Requests sent to other data centres, by outcome.
    pub away: IntCounterVec,
    /// Cancellations sent to engines, by reason.
    pub cancels: IntCounterVec,
    /// Orders to engines, by outcome.
    pub orders: IntCounterVec,
    /// Store calls, by kind and outcome.
    pub store_calls: IntCounterVec,
    /// Frames from other nodes that were refused, by reason.
    pub frames_refused: IntCounterVec,
    /// Frames between nodes, by direction.
    pub frames: IntCounterVec,
    /// Bytes between nodes, by direction.
    pub frame_bytes: IntCounterVec,
    /// Tries to open the listen addresses that failed at the start.
    pub listen_retries: IntCounter,
    /// Tasks that panicked, by task.
    pub task_panics: IntCounterVec,
    /// Connections to nodes that were reopened.
    pub redials: IntCounter,
    /// Configuration changes requested at this node, by verdict.
    pub changes: IntCounterVec,
    /// Requests received from other data centres, by outcome (taken or refused).
    pub guests: IntCounterVec,
    /// Forwarded requests refused because of a missing or invalid proof.
    pub proofs_refused: IntCounter,
    /// Expired leases on slots.
    pub lease_lapses: IntGauge,
    /// Requests waiting, by service.
    pub waiting: IntGaugeVec,
    /// Requests running, by service.
    pub running: IntGaugeVec,
    /// Slots held, by service.
    pub slots: IntGaugeVec,
    /// The configuration revision in force.
    pub revision: IntGauge,
    /// Live members of the data centre, this node included.
    pub members: IntGauge,
    /// Whether the last store call succeeded.
    pub store_reached: IntGauge,
    /// Number of times that the store returned an older revision than the one in force.
    pub store_behind: IntCounter,
    /// Received batches of counts that are not yet in the store.
    pub sheets_waiting: IntGauge,
    /// Own batches of counts, by state.
    pub own_sheets: IntGaugeVec,
    /// Age in minutes of the oldest sealed batch of this node that is not yet in the store.
    pub sheet_age: IntGauge,
    /// Merges of counts into the store, by outcome.
    pub merges: IntCounterVec,
    /// Messages between nodes that were dropped, by reason.
    pub messages_dropped: IntCounterVec,
    /// Idempotency keys issued.
    pub keys_made: IntCounter,
    /// Nanoseconds spent in control ticks.
    pub control_nanos: IntCounter,
}

impl CounterSet {
    /// Registers all metrics of a node.
    ///
    /// # Panics
    ///
    /// Panics if two metrics have the same name; the first start would show this.
    #[expect(clippy::too_many_lines, reason = "one line for each counter")]
    pub fn new(node: &str, data_centre: &str) -> Self {
        let labels = [
            ("node".to_owned(), node.to_owned()),
            ("data_centre".to_owned(), data_centre.to_owned()),
        ];
        let registry = Registry::new_custom(Some("zinnia".to_owned()), Some(labels.into()))
            .unwrap_or_default();
        let set = Self {
            results: register_counter_vec(
                &registry,
                "results_total",
                "Requests by result code.",
                &["code", "name"],
            ),
            retries: register_counter_vec(
                &registry,
                "retries_total",
                "Retries by reason.",
                &["reason"],
            ),
            retries_denied: register_counter_vec(
                &registry,
                "retries_denied_total",
                "Retries not made for want of budget, by reason.",
                &["reason"],
            ),
            hedges: register_counter_vec(
                &registry,
                "hedges_total",
                "Hedges by outcome.",
                &["outcome"],
            ),
            resumes: register_counter_vec(
                &registry,
                "resumes_total",
                "Streams resumed, by reason.",
                &["reason"],
            ),
            away: register_counter_vec(
                &registry,
                "away_total",
                "Requests sent away, by outcome.",
                &["outcome"],
            ),
            cancels: register_counter_vec(
                &registry,
                "cancels_total",
                "Cancels sent to engines, by reason.",
                &["reason"],
            ),
            orders: register_counter_vec(
                &registry,
                "orders_total",
                "Orders to engines, by outcome.",
                &["outcome"],
            ),
            store_calls: register_counter_vec(
                &registry,
                "store_calls_total",
                "Calls of the store.",
                &["kind", "outcome"],
            ),
            frames_refused: register_counter_vec(
                &registry,
                "frames_refused_total",
                "Frames of other nodes refused, by reason.",
                &["reason"],
            ),
            frames: register_counter_vec(
                &registry,
                "frames_total",
                "Frames between nodes.",
                &["direction"],
            ),
            frame_bytes: register_counter_vec(
                &registry,
                "frame_bytes_total",
                "Bytes between nodes.",
                &["direction"],
            ),
            listen_retries: register_counter(
                &registry,
                "listen_retries_total",
                "Tries to open the listen addresses that failed at the start.",
            ),
            task_panics: register_counter_vec(
                &registry,
                "task_panics_total",
                "Tasks that panicked, by task.",
                &["task"],
            ),
            redials: register_counter(
                &registry,
                "redials_total",
                "Connections to nodes opened anew.",
            ),
            changes: register_counter_vec(
                &registry,
                "changes_total",
                "Configuration changes by verdict.",
                &["verdict"],
            ),
            guests: register_counter_vec(
                &registry,
                "guests_total",
                "Forwarded requests received, by outcome.",
                &["outcome"],
            ),
            proofs_refused: register_counter(
                &registry,
                "proofs_refused_total",
                "Forwarded requests with a wrong proof.",
            ),
            lease_lapses: register_gauge(
                &registry,
                "lease_lapses",
                "Leases on slots that lapsed since the start.",
            ),
            waiting: register_service_gauge(&registry, "waiting", "Requests waiting, by service."),
            running: register_service_gauge(&registry, "running", "Requests running, by service."),
            slots: register_service_gauge(&registry, "slots", "Slots held, by service."),
            revision: register_gauge(&registry, "revision", "The revision in force."),
            members: register_gauge(&registry, "members", "Live members of the data centre."),
            store_reached: register_gauge(
                &registry,
                "store_reached",
                "Whether the store was reached at the last try.",
            ),
            store_behind: register_counter(
                &registry,
                "store_behind_total",
                "Times that the store showed an older revision.",
            ),
            sheets_waiting: register_gauge(
                &registry,
                "sheets_waiting",
                "Sheets of counts that wait for the store.",
            ),
            own_sheets: register_gauge_vec(
                &registry,
                "own_sheets",
                "Own sheets of counts, by how far they are.",
                "state",
            ),
            sheet_age: register_gauge(
                &registry,
                "sheet_age_minutes",
                "Minutes since the oldest own sheet that is not in the store was sealed.",
            ),
            merges: register_counter_vec(
                &registry,
                "merges_total",
                "Merges of counts into the store, by outcome.",
                &["outcome"],
            ),
            messages_dropped: register_counter_vec(
                &registry,
                "messages_dropped_total",
                "Messages between nodes that were dropped, by reason.",
                &["reason"],
            ),
            keys_made: register_counter(&registry, "keys_made_total", "Idempotency keys made."),
            control_nanos: register_counter(
                &registry,
                "control_nanos_total",
                "Nanoseconds spent in control ticks.",
            ),
            registry,
        };
        for code in ResultCode::ALL {
            set.results
                .with_label_values(&[code.number().to_string().as_str(), code.name()]);
        }
        set
    }

    /// Counts a request by its result code.
    pub fn count_result(&self, code: ResultCode) {
        self.results
            .with_label_values(&[code.number().to_string().as_str(), code.name()])
            .inc();
    }

    /// Renders all values in the Prometheus text format.
    pub fn render(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }
}

fn register_counter_vec(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> IntCounterVec {
    let counter =
        IntCounterVec::new(Opts::new(name, help), labels).expect("the metric name is valid");
    registry
        .register(Box::new(counter.clone()))
        .expect("the metric name is unique");
    counter
}

fn register_counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::new(name, help).expect("the metric name is valid");
    registry
        .register(Box::new(counter.clone()))
        .expect("the metric name is unique");
    counter
}

fn register_gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help).expect("the metric name is valid");
    registry
        .register(Box::new(gauge.clone()))
        .expect("the metric name is unique");
    gauge
}

fn register_service_gauge(registry: &Registry, name: &str, help: &str) -> IntGaugeVec {
    register_gauge_vec(registry, name, help, "service")
}

fn register_gauge_vec(registry: &Registry, name: &str, help: &str, label: &str) -> IntGaugeVec {
    let gauge =
        IntGaugeVec::new(Opts::new(name, help), &[label]).expect("the metric name is valid");
    registry
        .register(Box::new(gauge.clone()))
        .expect("the metric name is unique");
    gauge
}

//! Metrics of the messages between nodes.

use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::core::Collector;
use std::cell::Cell;
use zinniahatch_base::prelude::*;

/// Counters of messages between nodes.
#[derive(Debug)]
pub(crate) struct MessageMetrics {
    datagrams: IntCounterVec,
    bytes: IntCounterVec,
    received_bytes: IntCounterVec,
    stream_bytes: IntCounterVec,
    link_wait: IntGauge,
    /// Longest time that a request took to be written since it was last asked for.
    send_wait: Cell<Duration>,
    rosters_missed: IntCounter,
    snapshots: IntCounterVec,
    withheld: IntCounterVec,
}

impl MessageMetrics {
    /// Creates and registers the counters.
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
        let rosters_missed = IntCounter::new(
            "zinniahatch_rosters_missed_total",
            "Times that no relay sent the roster of the region in time, so that heartbeats went to all its nodes.",
        )?;
        registry.register(Box::new(rosters_missed.clone()))?;
        let link_wait = IntGauge::new(
            "zinniahatch_link_wait_ms",
            "Time that datagrams wait on this node's link, in ms, estimated from round-trip times.",
        )?;
        registry.register(Box::new(link_wait.clone()))?;
        Ok(Self {
            datagrams: counter(
                "zinniahatch_datagrams_total",
                "Datagrams sent to other nodes, by kind of message.",
                "kind",
            )?,
            bytes: counter(
                "zinniahatch_datagram_bytes_total",
                "Bytes of the datagrams sent to other nodes, without headers, by kind of message.",
                "kind",
            )?,
            received_bytes: counter(
                "zinniahatch_received_datagram_bytes_total",
                "Bytes of the datagrams received from other nodes, without headers, by kind of message.",
                "kind",
            )?,
            stream_bytes: counter(
                "zinniahatch_node_stream_bytes_total",
                "Bytes sent to other nodes over connections, by what they carry.",
                "kind",
            )?,
            link_wait,
            send_wait: Cell::default(),
            rosters_missed,
            withheld: counter(
                "zinniahatch_updates_withheld_total",
                "Times that updates for other nodes waited or were left out, since this node had sent too many bytes, by kind of message.",
                "kind",
            )?,
            snapshots: counter(
                "zinniahatch_snapshots_total",
                "Requests of other nodes for a snapshot, by outcome.",
                "outcome",
            )?,
        })
    }

    /// Counts a datagram that is sent.
    pub(crate) fn note_datagram(&self, kind: &str, bytes: usize) {
        self.datagrams.with_label_values(&[kind]).inc();
        self.bytes.with_label_values(&[kind]).inc_by(bytes as u64);
    }

    /// Counts a datagram that was received.
    pub(crate) fn note_received(&self, kind: &str, bytes: usize) {
        let counter = self.received_bytes.with_label_values(&[kind]);
        counter.inc_by(bytes as u64);
    }

    /// Counts bytes sent to another node over a connection.
    pub(crate) fn note_stream(&self, kind: &str, bytes: usize) {
        let counter = self.stream_bytes.with_label_values(&[kind]);
        counter.inc_by(bytes as u64);
    }

    /// Records the time that a request took to be written to its connection.
    pub(crate) fn note_send_wait(&self, wait: Duration) {
        self.send_wait.set(wait.max(self.send_wait.get()));
    }

    /// Returns the longest of these times since the last call.
    pub(crate) fn take_send_wait(&self) -> Duration {
        self.send_wait.take()
    }

    /// Sets the time that datagrams wait on this node's link.
    pub(crate) fn set_link_wait(&self, wait: Duration) {
        let millis = i64::try_from(wait.as_millis()).unwrap_or(i64::MAX);
        self.link_wait.set(millis);
    }

    /// Returns the bytes sent to other nodes so far, by kind of message.
    pub(crate) fn sent_bytes(&self) -> BTreeMap<Box<str>, u64> {
        totals(&self.bytes)
            .chain(totals(&self.stream_bytes))
            .collect()
    }

    /// Returns the bytes of datagrams received from other nodes so far, by kind of message.
    pub(crate) fn received_bytes(&self) -> BTreeMap<Box<str>, u64> {
        totals(&self.received_bytes).collect()
    }

    /// Counts a heartbeat to all nodes of the region because no roster arrived.
    pub(crate) fn note_roster_missed(&self) {
        self.rosters_missed.inc();
    }

    /// Counts updates that were not sent because too many bytes had been.
    pub(crate) fn note_withheld(&self, kind: &str) {
        self.withheld.with_label_values(&[kind]).inc();
    }

    /// Counts a request for a snapshot.
    pub(crate) fn note_snapshot(&self, outcome: &str) {
        self.snapshots.with_label_values(&[outcome]).inc();
    }
}

/// Returns the value of a counter for each of its labels.
fn totals(counter: &IntCounterVec) -> impl Iterator<Item = (Box<str>, u64)> {
    let families = counter.collect();
    families.into_iter().flat_map(|family| {
        let metrics = family.get_metric().iter().filter_map(|metric| {
            let label = metric.get_label().first()?.value().into();
            Some((label, metric.get_counter().get_value() as u64))
        });
        metrics.collect::<Vec<_>>()
    })
}

//! Metrics of the messages between nodes.

use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;

/// Counters of messages between nodes.
#[derive(Debug)]
pub(crate) struct MessageMetrics {
    datagrams: IntCounterVec,
    bytes: IntCounterVec,
    rosters_missed: IntCounter,
    snapshots: IntCounterVec,
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
            rosters_missed,
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

    /// Counts a heartbeat to all nodes of the region because no roster arrived.
    pub(crate) fn note_roster_missed(&self) {
        self.rosters_missed.inc();
    }

    /// Counts a request for a snapshot.
    pub(crate) fn note_snapshot(&self, outcome: &str) {
        self.snapshots.with_label_values(&[outcome]).inc();
    }
}

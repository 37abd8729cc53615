//! Memory for what a node holds for others: bodies of requests in progress, and answers.
//!
//! A body is kept until its request ends, since another replica may be sent it. A process that exceeds its
//! memory is killed with all requests that it has, so that a body is refused before it is read.

use crate::memory_metrics::MemoryMetrics;
use bytes::Bytes;
use prometheus::IntCounter;
use prometheus::IntGauge;

const BYTES_PER_MIB: usize = 1 << 20;
/// Part of a node's memory that bodies of requests may fill. The rest is for buffers of the kernel that
/// count as the process's, for responses, and for what the node knows.
const BODY_PART: f64 = 0.4;

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MemoryUse {
    /// Bodies of requests.
    Bodies,
    /// Answers that were read whole, until they are sent.
    Answers,
}

impl MemoryUse {
    /// Returns the name used in log lines and as a metric label.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Bodies => "bodies",
            Self::Answers => "answers",
        }
    }
}

/// The bytes that a node holds for one use.
#[derive(Debug)]
pub(crate) struct HeldMemory {
    purpose: MemoryUse,
    limit: usize,
    held: IntGauge,
    refused: IntCounter,
}

impl HeldMemory {
    /// Creates the record of the bodies of requests, for a node with this memory.
    pub(crate) fn for_bodies(memory_mib: u32, metrics: &MemoryMetrics) -> Self {
        Self::new(MemoryUse::Bodies, memory_mib, BODY_PART, metrics)
    }

    /// Creates the record of answers.
    pub(crate) fn for_answers(memory_mib: u32, metrics: &MemoryMetrics) -> Self {
        Self::new(MemoryUse::Answers, memory_mib, 1.0, metrics)
    }

    fn new(purpose: MemoryUse, memory_mib: u32, part: f64, metrics: &MemoryMetrics) -> Self {
        let memory = memory_mib as usize * BYTES_PER_MIB;
        let limit = (memory as f64 * part) as usize;
        metrics.set_limit(purpose, limit);
        Self {
            purpose,
            limit,
            held: metrics.held(purpose),
            refused: metrics.refused(purpose),
        }
    }

    /// Returns what the memory is for.
    pub(crate) fn purpose(&self) -> MemoryUse {
        self.purpose
    }

    /// Returns how many bytes are held.
    pub(crate) fn held(&self) -> usize {
        usize::try_from(self.held.get()).unwrap_or_default()
    }

    /// Returns how many bytes may be held.
    pub(crate) fn limit(&self) -> usize {
        self.limit
    }

    /// Reserves memory; returns `None` if there is too little left.
    pub(crate) fn reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        if self.held().saturating_add(bytes) > self.limit {
            self.refused.inc();
            return None;
        }
        Some(self.hold(bytes))
    }

    /// Records bytes as held, whatever is left.
    pub(crate) fn hold(&self, bytes: usize) -> MemoryReservation {
        self.held.add(bytes as i64);
        MemoryReservation {
            held: self.held.clone(),
            bytes,
        }
    }
}

/// Memory reserved until this is dropped.
#[derive(Debug)]
pub(crate) struct MemoryReservation {
    held: IntGauge,
    bytes: usize,
}

impl MemoryReservation {
    /// Gives back what a body of this length does not need.
    pub(crate) fn shrink_to(&mut self, bytes: usize) {
        let spare = self.bytes.saturating_sub(bytes);
        self.held.sub(spare as i64);
        self.bytes -= spare;
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.held.sub(self.bytes as i64);
    }
}

/// Bytes whose memory is reserved until the last reference to them is dropped.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    bytes: Vec<u8>,
    _reservation: MemoryReservation,
}

impl HeldBytes {
    /// Joins bytes with the reservation of their memory.
    pub(crate) fn new(bytes: Vec<u8>, reservation: MemoryReservation) -> Self {
        Self {
            bytes,
            _reservation: reservation,
        }
    }
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl From<HeldBytes> for Bytes {
    fn from(held: HeldBytes) -> Self {
        Self::from_owner(held)
    }
}

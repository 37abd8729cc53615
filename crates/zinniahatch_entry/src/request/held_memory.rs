//! Memory for what a node holds for others: bodies of requests in progress, and answers.
//!
//! A body is kept until its request ends, since another replica may be sent it. A process that exceeds its
//! memory is killed with all requests that it has, so that a body is refused before it is read.

use crate::memory_metrics::MemoryMetrics;
use bytes::Bytes;
use prometheus::IntCounter;
use prometheus::IntGauge;

const BYTES_PER_MIB: usize = 1 << 20;
/// Part of a node's memory that bodies of requests may fill. What neither they nor answers fill is for
/// buffers of the kernel that count as the process's, and for what the node knows.
const BODY_PART: f64 = 0.4;
/// Part of a node's memory that whole answers may fill.
const ANSWER_PART: f64 = 0.2;

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

    /// Creates the record of answers that are read whole.
    pub(crate) fn for_answers(memory_mib: u32, metrics: &MemoryMetrics) -> Self {
        Self::new(MemoryUse::Answers, memory_mib, ANSWER_PART, metrics)
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
        self.held.add(bytes as i64);
        Some(MemoryReservation {
            held: self.held.clone(),
            bytes,
        })
    }
}

/// Memory reserved until this is dropped.
#[derive(Debug)]
pub(crate) struct MemoryReservation {
    held: IntGauge,
    bytes: usize,
}

impl MemoryReservation {
    /// Adds another reservation of the same memory.
    fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

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

/// Bytes whose memory is reserved, as `Bytes` until the last reference to them is dropped.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    bytes: Vec<u8>,
    reservation: MemoryReservation,
}

impl HeldBytes {
    /// Reserves memory for a number of bytes; returns `None` if there is too little left.
    pub(crate) fn with_capacity(memory: &HeldMemory, bytes: usize) -> Option<Self> {
        let reservation = memory.reserve(bytes)?;
        Some(Self {
            bytes: Vec::with_capacity(bytes),
            reservation,
        })
    }

    /// Adds bytes; returns whether there is memory for them.
    pub(crate) fn push(&mut self, memory: &HeldMemory, bytes: &[u8]) -> bool {
        let needed = self.bytes.len() + bytes.len();
        let capacity = self.bytes.capacity();
        if needed > capacity {
            let grown = needed.max(capacity * 2);
            let Some(more) = memory.reserve(grown - capacity) else {
                return false;
            };
            self.reservation.merge(more);
            self.bytes.reserve_exact(grown - self.bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
        true
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

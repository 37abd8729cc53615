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
    /// Reserves more, up to a number of bytes in all; returns whether there is memory for that.
    pub(crate) fn grow_to(&mut self, memory: &HeldMemory, bytes: usize) -> bool {
        let missing = bytes.saturating_sub(self.bytes);
        if missing == 0 {
            return true;
        }
        let Some(mut more) = memory.reserve(missing) else {
            return false;
        };
        self.bytes += std::mem::take(&mut more.bytes);
        true
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
pub(crate) struct HeldBytes<B = Vec<u8>> {
    bytes: B,
    reservation: MemoryReservation,
}

impl HeldBytes<Bytes> {
    /// Joins bytes with the reservation of their memory.
    pub(crate) fn new(bytes: Bytes, reservation: MemoryReservation) -> Self {
        Self { bytes, reservation }
    }
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
            if !self.reservation.grow_to(memory, grown) {
                return false;
            }
            self.bytes.reserve_exact(grown - self.bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
        true
    }
}

impl<B: AsRef<[u8]>> AsRef<[u8]> for HeldBytes<B> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

impl<B: AsRef<[u8]> + Send + 'static> From<HeldBytes<B>> for Bytes {
    fn from(held: HeldBytes<B>) -> Self {
        Self::from_owner(held)
    }
}

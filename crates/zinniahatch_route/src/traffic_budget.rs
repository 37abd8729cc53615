//! Limits the bytes of the updates that a node sends to others and that may wait.

use zinniahatch_base::prelude::*;

/// Bytes per second, a fortieth of a link of 10 Mbit/s.
const BYTES_PER_SECOND: f64 = 32_768.0;
/// Bytes that may be sent at once, a tenth of a second of such a link.
const BURST_BYTES: f64 = 131_072.0;

/// Token bucket of bytes.
///
/// The updates of many nodes meet on the links of all, and requests wait behind them. What is left
/// over waits at its sender, where a later update takes its place.
#[derive(Clone, Copy, Debug)]
pub struct TrafficBudget {
    /// Below zero after a broadcast that was larger than what was left.
    available: f64,
    updated: Instant,
}

impl TrafficBudget {
    /// Creates a full budget.
    pub fn new(now: Instant) -> Self {
        Self {
            available: BURST_BYTES,
            updated: now,
        }
    }

    /// Returns whether anything may be sent now.
    pub fn is_open(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.updated);
        let refilled = self.available + elapsed.as_secs_f64() * BYTES_PER_SECOND;
        self.available = refilled.min(BURST_BYTES);
        self.updated = now.max(self.updated);
        self.available > 0.0
    }

    /// Records bytes that were sent.
    pub fn charge(&mut self, bytes: usize) {
        self.available -= bytes as f64;
    }
}

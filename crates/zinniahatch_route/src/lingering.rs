//! Decides for how long a node reads what a caller still sends after the last answer on a connection.
//!
//! Closing a connection with unread bytes resets it, and the reset discards what of the answer has not yet
//! reached the caller (RFC 9112, section 9.6).

use zinniahatch_base::prelude::*;

/// Maximum time of reading after the last answer.
pub const LINGER_TIME: Duration = Duration::from_secs(10);
/// Time without bytes after which the connection is closed.
pub const LINGER_QUIET_TIME: Duration = Duration::from_secs(1);
/// Maximum bytes that are read after the last answer.
pub const LINGER_BYTES: usize = 64 << 20;
/// Maximum number of connections that linger at once; each needs a file descriptor.
pub const MAX_LINGERING: usize = 512;

string_enum! {
    /// Why a node stops reading a connection after its last answer.
    pub enum LingerEnd {
        /// The caller closed it.
        Closed = "closed",
        /// The connection broke.
        Broken = "broken",
        /// The caller sent nothing for a while.
        Quiet = "quiet",
        /// The caller sent for too long.
        Time = "time",
        /// The caller sent too much.
        Bytes = "bytes",
        /// Too many connections linger.
        Crowded = "crowded",
    }
}

/// What a caller may still send.
#[derive(Clone, Debug)]
pub struct LingerBudget {
    ends_at: Instant,
    quiet_at: Instant,
    received: usize,
}

impl LingerBudget {
    /// Starts when the last answer has been written.
    pub fn new(now: Instant) -> Self {
        Self {
            ends_at: now + LINGER_TIME,
            quiet_at: now + LINGER_QUIET_TIME,
            received: 0,
        }
    }

    /// Records bytes that were read and dropped; returns the reason if they are to be the last.
    pub fn on_bytes(&mut self, count: usize, now: Instant) -> Option<LingerEnd> {
        self.received += count;
        self.quiet_at = now + LINGER_QUIET_TIME;
        (self.received >= LINGER_BYTES).then_some(LingerEnd::Bytes)
    }

    /// Returns the bytes that were read and dropped.
    pub fn received(&self) -> usize {
        self.received
    }

    /// Returns when the connection is closed if nothing more arrives, and why.
    pub fn due(&self) -> (Instant, LingerEnd) {
        if self.quiet_at < self.ends_at {
            (self.quiet_at, LingerEnd::Quiet)
        } else {
            (self.ends_at, LingerEnd::Time)
        }
    }
}

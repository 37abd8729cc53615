//! How long a process waits for a listen address that it cannot have yet.
//!
//! A former process of the node holds its addresses for its grace period, and the system keeps the
//! address of an outgoing connection for some time after its end.

use std::io::ErrorKind;
use zinniahatch_base::prelude::*;

/// Time for which the system keeps the address of a connection that was closed (TIME-WAIT).
const CLOSED_CONNECTION_TIME: Duration = Duration::from_secs(60);
/// Pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The wait of a process that starts for all its listen addresses.
#[derive(Clone, Copy, Debug)]
pub struct ListenWait {
    began: Instant,
    bound: Duration,
}

impl ListenWait {
    /// Begins the wait of a node whose processes have this grace period.
    pub fn new(grace: Duration, now: Instant) -> Self {
        Self {
            began: now,
            bound: grace + CLOSED_CONNECTION_TIME,
        }
    }

    /// Returns the pause before the next try; `None` if another try is of no use.
    pub fn next_pause(&self, error: ErrorKind, now: Instant) -> Option<Duration> {
        // An address may be assigned to the machine after the start of its processes.
        let may_pass = matches!(error, ErrorKind::AddrInUse | ErrorKind::AddrNotAvailable);
        let left = self.bound.saturating_sub(self.elapsed(now));
        (may_pass && !left.is_zero()).then(|| RETRY_PAUSE.min(left))
    }

    /// Returns how long the wait has lasted.
    pub fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.began)
    }
}

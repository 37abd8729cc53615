//! When orders may be given to engines: one giver a data centre, under a store lease.

use zinniahatch_base::prelude::*;

/// How long before the lease could have lapsed the giver stops.
const STOP_EARLY: Duration = Duration::from_secs(2);
/// How long a new giver waits before it orders an engine that ignores fencing numbers.
///
/// The giver before it stopped [`STOP_EARLY`] before its lease lapsed, and an order that it had
/// already sent arrives within an order's timeout, which is shorter than this.
const TAKE_OVER_WAIT: Duration = Duration::from_secs(3);

/// The lease under which orders are given.
#[derive(Clone, Debug, Default)]
pub struct OrderGate {
    held: Option<HeldLease>,
}

#[derive(Clone, Debug)]
struct HeldLease {
    fence: u64,
    since: Instant,
    renewed: Instant,
    ttl: Duration,
}

impl OrderGate {
    /// Notes a lease; the times are those at which the request was sent, not answered.
    pub fn acquired(&mut self, sent: Instant, fence: u64, ttl: Duration) {
        self.held = Some(HeldLease {
            fence,
            since: sent,
            renewed: sent,
            ttl,
        });
    }

    /// Notes a renewal that was sent at this time and confirmed.
    pub fn renewed(&mut self, sent: Instant) {
        if let Some(lease) = &mut self.held {
            lease.renewed = lease.renewed.max(sent);
        }
    }

    /// Notes that the lease is lost or given up.
    pub fn lost(&mut self) {
        self.held = None;
    }

    /// Says whether a lease is held, whatever its age.
    pub fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// Gives the fencing number if an order may be sent now.
    ///
    /// A giver that was paused finds on waking that too much time has passed since its last
    /// renewal and stops by itself. For engines that ignore fencing numbers the time is the only
    /// guard, so a new giver also waits until the one before it has stopped.
    pub fn permit(&self, now: Instant, engine_checks: bool) -> Option<u64> {
        let lease = self.held.as_ref()?;
        if now.duration_since(lease.renewed) + STOP_EARLY >= lease.ttl {
            return None;
        }
        if !engine_checks && now.duration_since(lease.since) < TAKE_OVER_WAIT {
            return None;
        }
        Some(lease.fence)
    }
}

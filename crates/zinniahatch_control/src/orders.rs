//! Lease for engine orders: at most one node per data centre sends orders to engines.

use zinniahatch_base::prelude::*;

/// Time before the earliest expiry of the lease at which the lease holder stops sending orders.
const EXPIRY_MARGIN: Duration = Duration::from_secs(2);
/// Delay before a new lease holder sends orders to an engine that ignores fencing tokens.
///
/// The previous holder stopped [`EXPIRY_MARGIN`] before its lease expired, and an order that it
/// had already sent arrives within the order timeout, which is shorter than this delay.
const TAKEOVER_DELAY: Duration = Duration::from_secs(3);

/// The store lease that permits a node to send orders to engines.
#[derive(Clone, Debug, Default)]
pub struct OrderLease {
    held: Option<HeldLease>,
}

#[derive(Clone, Debug)]
struct HeldLease {
    fencing_token: u64,
    acquired_at: Instant,
    renewed: Instant,
    ttl: Duration,
}

impl OrderLease {
    /// Records an acquired lease; `sent` is when the request was sent, not when it was answered.
    pub fn acquired(&mut self, sent: Instant, fencing_token: u64, ttl: Duration) {
        self.held = Some(HeldLease {
            fencing_token,
            acquired_at: sent,
            renewed: sent,
            ttl,
        });
    }

    /// Records a confirmed renewal by the time at which it was sent.
    pub fn renewed(&mut self, sent: Instant) {
        if let Some(lease) = &mut self.held {
            lease.renewed = lease.renewed.max(sent);
        }
    }

    /// Records that the lease was lost or released.
    pub fn lost(&mut self) {
        self.held = None;
    }

    /// Returns whether a lease is held, regardless of its age.
    pub fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// Returns the fencing token if an order may be sent now.
    ///
    /// A lease holder that was paused finds on resuming that too much time has passed since its
    /// last renewal, and stops. For engines that ignore fencing tokens this is the only protection,
    /// so a new holder also waits until the previous one has stopped.
    pub fn permit(&self, now: Instant, engine_checks: bool) -> Option<u64> {
        let lease = self.held.as_ref()?;
        if now.duration_since(lease.renewed) + EXPIRY_MARGIN >= lease.ttl {
            return None;
        }
        if !engine_checks && now.duration_since(lease.acquired_at) < TAKEOVER_DELAY {
            return None;
        }
        Some(lease.fencing_token)
    }
}

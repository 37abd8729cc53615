//! Permits that every request needs before it leaves this node.
//!
//! A connection writes nothing without a permit, and permits are created only here: for a replica
//! by the table of replicas, which knows its notices, for another node by the table of nodes. A new
//! path to a replica therefore cannot ignore the replica's notices; it would not compile. A permit
//! is consumed by the request it was issued for:
//!
//! ```compile_fail
//! fn send_twice(permit: zinniahatch_route::ReplicaPermit) {
//!     drop(permit.clone());
//! }
//! ```

use crate::ColdLimiter;
use crate::LeaveReason;
use crate::MemberTable;
use crate::ReplicaTable;
use std::net::SocketAddrV4;
use zinniahatch_base::prelude::*;

/// Why a replica is sent nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendRefusal {
    /// This incarnation of it has ended.
    Gone,
    /// It is leaving.
    Leaving,
    /// It asked for a backoff, or its window after one is full.
    Resting,
    /// This node's share of its rate limit is used up.
    Limited,
    /// It is cold, and this node's share of its rate limit while cold is used up.
    Cold,
}

impl SendRefusal {
    /// Returns the name used in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::Gone => "gone",
            Self::Leaving => "leaving",
            Self::Resting => "resting",
            Self::Limited => "limited",
            Self::Cold => "cold",
        }
    }
}

/// Reservation to send one request to one replica incarnation.
///
/// It is taken before a connection is opened, and exchanged for a permit when the request is
/// written, since the replica may have stopped accepting requests in the meantime.
#[derive(Debug)]
#[must_use]
pub struct SendReservation {
    id: ReplicaId,
    tag: ShortTag,
    version: Option<ShortTag>,
    address: SocketAddrV4,
}

impl SendReservation {
    /// Returns the tag of the version of the replica's software, if it is known.
    pub fn version(&self) -> Option<ShortTag> {
        self.version
    }

    /// Returns the address of the replica.
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }
}

mod sealed {
    /// Prevents other crates from creating permits.
    pub trait Sealed {}

    impl Sealed for super::ReplicaPermit {}
    impl Sealed for super::NodePermit {}
}

/// Permit to write one request on a connection to an address.
pub trait SendPermit: sealed::Sealed {
    /// Returns the address.
    fn address(&self) -> SocketAddrV4;
}

/// Permit to write one request to one replica incarnation.
#[derive(Debug)]
#[must_use]
pub struct ReplicaPermit {
    address: SocketAddrV4,
}

impl SendPermit for ReplicaPermit {
    fn address(&self) -> SocketAddrV4 {
        self.address
    }
}

/// Permit to write one request to another node, which places it itself.
#[derive(Debug)]
#[must_use]
pub struct NodePermit {
    address: SocketAddrV4,
}

impl SendPermit for NodePermit {
    fn address(&self) -> SocketAddrV4 {
        self.address
    }
}

impl ReplicaTable {
    /// Reserves one request to a replica; `cold_share` is the number of requests per second that
    /// this node may send it while it is cold.
    ///
    /// # Errors
    ///
    /// Returns why the replica is sent nothing now.
    pub fn reserve(
        &mut self,
        limiter: &mut ColdLimiter,
        id: &str,
        cold_share: usize,
        now: Instant,
    ) -> Result<SendReservation, SendRefusal> {
        let state = self.rows.get(id).ok_or(SendRefusal::Gone)?;
        if let Some(refusal) = refusal_for(state.leaving) {
            return Err(refusal);
        }
        if !self.backoffs.allows(state.tag, now) {
            return Err(SendRefusal::Resting);
        }
        let cold = state.is_cold(now);
        if cold && !limiter.allows(id, cold_share, now) {
            return Err(SendRefusal::Cold);
        }
        if !self.limits.take(state.tag, now) {
            return Err(SendRefusal::Limited);
        }
        self.backoffs.take(state.tag, now);
        if cold {
            limiter.note(&state.entry.id, now);
        }
        Ok(SendReservation {
            id: state.entry.id.clone(),
            tag: state.tag,
            version: state.version,
            address: state.entry.address,
        })
    }

    /// Returns the permit to write a health check to a replica that leaves or has left, to which nothing
    /// else is sent; `None` for others, whose health checks need a reservation.
    pub fn permit_leaving_check(&self, id: &str, address: SocketAddrV4) -> Option<ReplicaPermit> {
        let serves = self
            .rows
            .get(id)
            .is_some_and(|state| state.leaving.is_none());
        (!serves).then_some(ReplicaPermit { address })
    }

    /// Exchanges a reservation for the permit to write the request.
    ///
    /// # Errors
    ///
    /// Returns why the replica is no longer sent anything.
    pub fn permit(
        &self,
        reservation: SendReservation,
        now: Instant,
    ) -> Result<ReplicaPermit, SendRefusal> {
        let row = self.rows.get(&reservation.id);
        let state = row
            .filter(|state| state.tag == reservation.tag && state.version == reservation.version)
            .ok_or(SendRefusal::Gone)?;
        if let Some(refusal) = refusal_for(state.leaving) {
            return Err(refusal);
        }
        if self.backoffs.is_backing_off(reservation.tag, now) {
            return Err(SendRefusal::Resting);
        }
        Ok(ReplicaPermit {
            address: reservation.address,
        })
    }
}

fn refusal_for(leaving: Option<LeaveReason>) -> Option<SendRefusal> {
    match leaving? {
        LeaveReason::Draining => Some(SendRefusal::Leaving),
        LeaveReason::EntryGone | LeaveReason::Replaced => Some(SendRefusal::Gone),
    }
}

impl MemberTable {
    /// Returns a permit to write one request to another node; `None` if the node is unknown.
    pub fn permit(&self, node: &str) -> Option<NodePermit> {
        let info = self.get(node)?;
        Some(NodePermit { address: info.peer })
    }
}

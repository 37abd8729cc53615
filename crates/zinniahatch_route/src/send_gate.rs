//! The gate that every request passes on its way out of this node.
//!
//! A channel writes nothing without a permit, and permits are made here alone: for a replica by the table that knows
//! what it said of itself, for another node by the table of the nodes. So a new way to a replica cannot go past what
//! the replica asked for; it does not compile. A permit is spent by the request that it is for:
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
pub enum Withheld {
    /// This life of it has ended.
    Gone,
    /// It leaves.
    Leaving,
    /// It wants a rest, or has been sent what it may be after one.
    Resting,
    /// Its rate limit is used up.
    Limited,
    /// It is cold, and this node's part of what it bears is used up.
    Cold,
}

impl Withheld {
    /// Gives its name in logs and counters.
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

/// A place for one request to one life of a replica: taken before a channel is connected, and turned into a permit
/// when the request is written, since the replica may say meanwhile that it wants none.
#[derive(Debug)]
#[must_use]
pub struct SendClaim {
    id: ReplicaId,
    tag: ShortTag,
    address: SocketAddrV4,
}

impl SendClaim {
    /// Gives where the replica listens.
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }
}

mod sealed {
    /// Keeps other crates from making permits of their own.
    pub trait Sealed {}

    impl Sealed for super::ReplicaPermit {}
    impl Sealed for super::NodePermit {}
}

/// Leave to write one request on a channel to an address.
pub trait SendPermit: sealed::Sealed {
    /// Gives the address.
    fn address(&self) -> SocketAddrV4;
}

/// Leave to write one request to one life of a replica.
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

/// Leave to write one request to another node, which places it by itself.
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
    /// Takes a place for one request to a replica; `cold_share` is what this node may send it in a second while it
    /// is cold.
    ///
    /// # Errors
    ///
    /// Says why the replica is sent nothing now.
    pub fn claim(
        &mut self,
        gate: &mut ColdLimiter,
        id: &str,
        cold_share: usize,
        now: Instant,
    ) -> Result<SendClaim, Withheld> {
        let belief = self.rows.get(id).ok_or(Withheld::Gone)?;
        if let Some(withheld) = withheld_for(belief.leaving) {
            return Err(withheld);
        }
        if !self.rests.allows(belief.tag, now) {
            return Err(Withheld::Resting);
        }
        let cold = belief.is_cold(now);
        if cold && !gate.allows(id, cold_share, now) {
            return Err(Withheld::Cold);
        }
        if !self.limits.take(belief.tag, now) {
            return Err(Withheld::Limited);
        }
        self.rests.take(belief.tag, now);
        if cold {
            gate.note(&belief.entry.id, now);
        }
        Ok(SendClaim {
            id: belief.entry.id.clone(),
            tag: belief.tag,
            address: belief.entry.address,
        })
    }

    /// Gives leave to write the request that a place was taken for.
    ///
    /// # Errors
    ///
    /// Says why the replica is sent nothing any more.
    pub fn permit(&self, claim: SendClaim, now: Instant) -> Result<ReplicaPermit, Withheld> {
        let row = self.rows.get(&claim.id);
        let belief = row
            .filter(|belief| belief.tag == claim.tag)
            .ok_or(Withheld::Gone)?;
        if let Some(withheld) = withheld_for(belief.leaving) {
            return Err(withheld);
        }
        if self.rests.is_resting(claim.tag, now) {
            return Err(Withheld::Resting);
        }
        Ok(ReplicaPermit {
            address: claim.address,
        })
    }
}

fn withheld_for(leaving: Option<LeaveReason>) -> Option<Withheld> {
    match leaving? {
        LeaveReason::Draining => Some(Withheld::Leaving),
        LeaveReason::EntryGone | LeaveReason::Replaced => Some(Withheld::Gone),
    }
}

impl MemberTable {
    /// Gives leave to write one request to another node; none where this node does not know it.
    pub fn permit(&self, node: &str) -> Option<NodePermit> {
        let card = self.get(node)?;
        Some(NodePermit { address: card.peer })
    }
}

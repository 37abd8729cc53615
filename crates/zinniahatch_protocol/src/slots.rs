//! Slot leases: a node's report of its slots, and the grant of the pool coordinator.
//!
//! A pool is the set of slots of one service in one data centre; a slot is capacity for one running
//! request on a backend server. Reports and grants carry full state instead of deltas, so a lost
//! message only delays convergence.

use zinniahatch_base::prelude::*;

domain! {
    /// Slots that a node holds on one backend server.
    #[derive(Copy, Eq)]
    pub struct ReplicaSlots {
        /// The backend server.
        pub replica: ShortTag,
        /// Slots that the node may use.
        pub limit: u16,
        /// Requests that the node runs there.
        pub running: u16,
    }

    /// Running and queued requests of one tenant (an account and a kind of work) on a node.
    #[derive(Copy, Eq)]
    pub struct TenantLoad {
        /// The tenant.
        pub tenant: ShortTag,
        /// The tenant's weight in thousandths.
        pub weight: u32,
        /// Running requests.
        pub running: u16,
        /// Queued requests.
        pub waiting: u16,
    }

    /// Slots that a node holds and needs of one pool.
    pub struct SlotReport {
        /// The service.
        pub service: ServiceId,
        /// The number of the newest grant that the node has applied.
        pub applied: u64,
        /// Slots held on each backend server.
        pub slots: Vec<ReplicaSlots>,
        /// Load per tenant; empty while no request is queued and the pool is not contended.
        pub tenants: Vec<TenantLoad>,
        /// Expected time that one request holds a slot, in milliseconds; 0 if not measured.
        pub hold_ms: u32,
        /// Backend servers that refused work or could not be reached.
        pub refused: Vec<ShortTag>,
    }

    /// Slots that a pool coordinator leases to a node.
    pub struct SlotGrant {
        /// The service.
        pub service: ServiceId,
        /// Increases with each grant of this coordinator to this node.
        pub number: u64,
        /// Slot limit per backend server; a backend server that is not listed has the limit 0.
        pub limits: Vec<(ShortTag, u16)>,
        /// Whether the pool is contended; the quotas are enforced only then.
        pub contended: bool,
        /// Maximum running requests for each tenant of this node.
        pub quotas: Vec<(ShortTag, u16)>,
    }
}

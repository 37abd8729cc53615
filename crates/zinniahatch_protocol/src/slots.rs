//! Leases on slots: a node's report of what it holds, and the keeper's grant.
//!
//! Both carry whole states and not changes, so a lost message costs a delay and nothing else.

use zinniahatch_base::prelude::*;

domain! {
    /// What a node holds of one backend server.
    #[derive(Copy, Eq)]
    pub struct SlotLine {
        /// The backend server.
        pub replica: ShortTag,
        /// Slots that the node may use.
        pub limit: u16,
        /// Requests that it runs there.
        pub running: u16,
    }

    /// What a node runs and has waiting for one tenant, an account's one kind of work.
    #[derive(Copy, Eq)]
    pub struct TenantLine {
        /// The tenant.
        pub tenant: ShortTag,
        /// The tenant's weight in thousandths.
        pub weight: u32,
        /// Requests running.
        pub running: u16,
        /// Requests waiting.
        pub waiting: u16,
    }

    /// What a node holds and needs of one pool.
    pub struct SlotReport {
        /// The service.
        pub service: ServiceId,
        /// The number of the newest grant that the node obeys.
        pub applied: u64,
        /// What it holds of each backend server.
        pub slots: Vec<SlotLine>,
        /// Who runs and waits; left empty while nobody waits and the pool is not contended.
        pub tenants: Vec<TenantLine>,
        /// Expected time that one request holds a slot, in milliseconds; 0 where not measured.
        pub hold_ms: u32,
        /// Backend servers that refused work or could not be reached.
        pub refused: Vec<ShortTag>,
    }

    /// What a keeper lets a node hold of one pool.
    pub struct SlotGrant {
        /// The service.
        pub service: ServiceId,
        /// Rises with each grant of this keeper to this node.
        pub number: u64,
        /// Limit for each backend server; one not named has the limit 0.
        pub limits: Vec<(ShortTag, u16)>,
        /// Whether the pool is contended, so that the quotas bind.
        pub contended: bool,
        /// Running requests allowed for each tenant that waits on this node.
        pub quotas: Vec<(ShortTag, u16)>,
    }
}

//! Inputs and results of placement decisions.

use zinniahatch_base::prelude::*;
use zinniahatch_config::WorkKind;
use zinniahatch_protocol::EntryAddress;

/// Where a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlacementScope {
    /// Only in this data centre; prevents forwarded requests from being forwarded again.
    Local,
    /// In any data centre of this region.
    Region,
    /// In any data centre that the preset allows.
    Anywhere,
}

/// Placement policy; all but the first are baselines for experiments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutePolicy {
    /// The lowest score.
    Score,
    /// Always the local data centre, regardless of the wait.
    AlwaysHome,
    /// The data centre with the largest fraction of free capacity.
    LeastLoaded,
    /// The less loaded of two randomly drawn data centres.
    RandomTwo,
}

/// A request that needs a slot.
#[derive(Clone, Debug)]
pub struct PlacementQuery {
    /// Identifies the request on this node.
    pub number: u64,
    /// The service.
    pub service: ServiceId,
    /// The client account.
    pub account: AccountId,
    /// The account's class.
    pub class: Box<str>,
    /// The kind of work, which determines the priority.
    pub work: WorkKind,
    /// When the response must be complete.
    pub deadline: Instant,
    /// Tag of the prompt's prefix, for cache affinity.
    pub prefix: Option<ShortTag>,
    /// Estimated number of prompt tokens.
    pub prompt: u64,
    /// Where the request may run.
    pub scope: PlacementScope,
    /// Whether the request was forwarded from another region.
    pub guest: bool,
    /// Backend servers that already failed to serve it.
    pub avoid: BTreeSet<ShortTag>,
    /// Data centres that already refused it.
    pub avoid_data_centres: BTreeSet<DataCentreId>,
}

/// Permit to run one request on one slot; must be released exactly once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotPermit {
    /// The service.
    pub service: ServiceId,
    /// The backend server.
    pub replica: ReplicaId,
    /// The tenant of the request.
    pub tenant: ShortTag,
    /// When the permit was issued.
    pub issued_at: Instant,
    /// Whether the request was forwarded from another region.
    pub guest: bool,
}

/// Result of a placement decision.
#[derive(Clone, Debug, PartialEq)]
pub enum Placement {
    /// Run it on this slot.
    Run(SlotPermit),
    /// Forward it to one of these nodes of another data centre.
    Remote(DataCentreId, Vec<EntryAddress>),
    /// It is queued; [`crate::ControlNode::take_placements`] returns its placement later.
    Wait,
    /// Refuse it; the caller may retry after this time.
    Refuse(ResultCode, Duration),
}

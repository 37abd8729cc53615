//! What is asked of the routing tables, and what they answer.

use zinniahatch_base::prelude::*;
use zinniahatch_config::WorkKind;
use zinniahatch_protocol::EntryAddress;

/// Where a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AskScope {
    /// In this data centre alone; a forwarded request has this scope, so it cannot go on.
    Here,
    /// In any data centre of this region.
    Region,
    /// Anywhere the preset allows.
    Anywhere,
}

/// How a place is chosen; all but the first are baselines for experiments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutePolicy {
    /// By the score.
    Score,
    /// At home, whatever the wait.
    AlwaysHome,
    /// Where the largest part of the capacity is free.
    LeastLoaded,
    /// The better of two places drawn at random.
    RandomTwo,
}

/// One request that needs a slot.
#[derive(Clone, Debug)]
pub struct PlaceAsk {
    /// Names the request in this node.
    pub number: u64,
    /// The service.
    pub service: ServiceId,
    /// The account.
    pub account: AccountId,
    /// The account's class.
    pub class: Box<str>,
    /// How urgent it is.
    pub work: WorkKind,
    /// When its answer must be complete.
    pub deadline: Instant,
    /// The prompt's prefix, for cache affinity.
    pub prefix: Option<ShortTag>,
    /// Estimated prompt tokens.
    pub prompt: u64,
    /// Where it may run.
    pub scope: AskScope,
    /// Whether another region's node sent it.
    pub guest: bool,
    /// Backend servers that already failed it.
    pub avoid: BTreeSet<ShortTag>,
    /// Data centres that already refused it.
    pub avoid_centres: BTreeSet<DataCentreId>,
}

/// The right to run one request on one slot; must be given back exactly once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlaceTicket {
    /// The service.
    pub service: ServiceId,
    /// The backend server.
    pub replica: ReplicaId,
    /// The tenant that runs on it.
    pub tenant: ShortTag,
    /// When it was given.
    pub since: Instant,
    /// Whether a guest runs on it.
    pub guest: bool,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Placement {
    /// It runs on this slot.
    Run(PlaceTicket),
    /// It goes to one of these nodes of another data centre.
    Away(DataCentreId, Vec<EntryAddress>),
    /// It waits; the answer comes from [`crate::ControlNode::take_decisions`].
    Wait,
    /// It is refused; the caller may come back after this time.
    Refuse(ResultCode, Duration),
}

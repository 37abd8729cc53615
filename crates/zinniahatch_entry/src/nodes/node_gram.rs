//! Datagrams between nodes.

use crate::nodes::replica_news::ReplicaNews;
use serde::Deserialize;
use serde::Serialize;
use std::net::SocketAddrV4;
use zinniahatch_base::prelude::*;
use zinniahatch_route::MemberCard;
use zinniahatch_route::RateLimitUpdate;
use zinniahatch_route::RegionSpends;
use zinniahatch_route::SuspectUpdate;
use zinniahatch_route::WorkPart;

/// A datagram.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum NodeGram {
    /// Who a node is and what its region can take.
    Card(CardGram),
    /// What a node of the region has open and had read.
    Work(WorkGram),
    /// What a node of the region learned of replicas.
    News(ReplicaNews),
    /// Requests under which replicas ended.
    Suspects(Vec<SuspectUpdate>),
    /// Rate limits of the region's replicas.
    Limits(Vec<RateLimitUpdate>),
    /// What the accounts use in another region, to be passed on in this one.
    Spends(RegionSpends),
}

/// Who a node is.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct CardGram {
    /// Who sends.
    pub(crate) card: MemberCard,
    /// Its clock, to measure the way there and back.
    pub(crate) stamp: u64,
    /// The receiver's last clock and how long it was held.
    pub(crate) echo: Option<(u64, u64)>,
    /// Whether the receiver should send its own card back.
    pub(crate) asks: bool,
    /// Where some other nodes listen, and their regions.
    pub(crate) hints: Vec<(SocketAddrV4, RegionId)>,
    /// Digest of the requests under which several replicas ended.
    pub(crate) suspects: u64,
    /// Digest of the rate limits in force and the replicas that leave in the sender's region.
    pub(crate) notices: u64,
}

/// News of open work.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WorkGram {
    /// The news, by process.
    pub(crate) parts: Vec<WorkPart>,
    /// What the accounts use, by region.
    pub(crate) spends: Vec<RegionSpends>,
    /// Whether the receiver should tell them to all nodes of the region.
    pub(crate) gather: bool,
}

impl WorkGram {
    /// Makes the datagram of what one node has to tell.
    pub(crate) fn of(part: Option<WorkPart>, spends: Vec<RegionSpends>, gather: bool) -> NodeGram {
        NodeGram::Work(Self {
            parts: part.into_iter().collect(),
            spends,
            gather,
        })
    }
}

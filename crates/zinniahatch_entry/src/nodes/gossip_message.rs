//! Messages exchanged between nodes as UDP datagrams.

use crate::nodes::stream_origins::OriginQuery;
use crate::replicas::warmth_checks::ColdReport;
use serde::Deserialize;
use serde::Serialize;
use std::net::SocketAddrV4;
use zinniahatch_base::prelude::*;
use zinniahatch_route::MemberInfo;
use zinniahatch_route::OriginRecord;
use zinniahatch_route::PartUpdate;
use zinniahatch_route::RateLimitUpdate;
use zinniahatch_route::RegionUsage;
use zinniahatch_route::ReplicaUpdates;
use zinniahatch_route::RosterPart;
use zinniahatch_route::SuspectUpdate;
use zinniahatch_route::WorkUpdate;

/// A datagram between nodes.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum GossipMessage {
    /// Identity of a node and capacity of its region.
    Heartbeat(Heartbeat),
    /// In-flight work of nodes of the region and prompt prefixes that their replicas cache.
    Work(WorkReport),
    /// Replica changes learned by a node of the region.
    Replicas(ReplicaUpdates),
    /// Suspect requests: those during which replicas crashed.
    Suspects(Vec<SuspectUpdate>),
    /// Rate limits of the region's replicas.
    RateLimits(Vec<RateLimitUpdate>),
    /// Account usage in another region, to be passed on within this one.
    AccountUsage(RegionUsage),
    /// Request for the roster of the region.
    RosterRequest,
    /// Part of the roster of the region.
    Roster(RosterPart),
    /// Request for what the nodes with these tags announced.
    MembersRequest(Vec<ShortTag>),
    /// What nodes of the region announced, without the capacity of their region.
    Members(Vec<MemberInfo>),
    /// What began streams of the region.
    StreamOrigins(Vec<OriginRecord>),
    /// The same of another region, to be passed on to one more node of this region.
    RemoteOrigins(Vec<OriginRecord>),
    /// Question for what began a stream.
    OriginQuery(OriginQuery),
    /// Suspect prompt parts: those on replicas that crashed. Nodes of earlier versions reject it.
    PartSuspects(PartReport),
    /// What began streams of the region, for the node that writes it to the store. Nodes of earlier
    /// versions reject it.
    StreamsToRecord(Vec<OriginRecord>),
    /// Replicas of the region that are cold, while no node reads their entries. Nodes of earlier versions
    /// reject it.
    ColdReplicas(Vec<ColdReport>),
}

impl GossipMessage {
    /// Returns the kind of message as a metric label.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeat",
            Self::Work(_) => "work",
            Self::Replicas(_) => "replicas",
            Self::Suspects(_) => "suspects",
            Self::RateLimits(_) => "rate-limits",
            Self::AccountUsage(_) => "account-usage",
            Self::RosterRequest => "roster-request",
            Self::Roster(_) => ROSTER_KIND,
            Self::MembersRequest(_) => "members-request",
            Self::Members(_) => "members",
            Self::StreamOrigins(_) => "stream-origins",
            Self::RemoteOrigins(_) => "remote-origins",
            Self::OriginQuery(_) => "origin-query",
            Self::PartSuspects(_) => "part-suspects",
            Self::StreamsToRecord(_) => "streams-to-record",
            Self::ColdReplicas(_) => "cold-replicas",
        }
    }
}

/// Kind of the message with a roster, which is encoded once for several receivers.
pub(crate) const ROSTER_KIND: &str = "roster";

/// Report of suspect prompt parts.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct PartReport {
    /// The updates, one per part.
    pub(crate) updates: Vec<PartUpdate>,
    /// Whether a receiver in another region should relay them within it.
    pub(crate) relay: bool,
}

/// Periodic message with a node's identity and state.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    /// Identity and state of the sender.
    pub(crate) member: MemberInfo,
    /// The sender's clock, for the round-trip time.
    pub(crate) stamp: u64,
    /// The receiver's last timestamp and how long the sender held it, in microseconds.
    pub(crate) echo: Option<(u64, u64)>,
    /// Whether the receiver should reply with its own heartbeat.
    pub(crate) wants_reply: bool,
    /// Addresses and regions of some other nodes.
    pub(crate) peers: Vec<(SocketAddrV4, RegionId)>,
    /// Digest of the requests during which several replicas crashed.
    pub(crate) suspects: u64,
    /// Digest of the rate limits in force and of the leaving replicas in the sender's region.
    pub(crate) notices: u64,
}

/// What follows a heartbeat in its datagram, before the software versions of the sender's region.
/// Nodes of earlier versions neither send nor read one or both.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct HeartbeatTail {
    /// Number of nodes that the sender knows in its region, itself included.
    pub(crate) region_nodes: u32,
}

/// Report of in-flight work.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WorkReport {
    /// The updates, one per process.
    pub(crate) updates: Vec<WorkUpdate>,
    /// Account usage per region.
    pub(crate) usage: Vec<RegionUsage>,
    /// Whether the receiver should aggregate the reports and relay them to all nodes of the region.
    pub(crate) relay: bool,
}

impl WorkReport {
    /// Builds the datagram for the report of one node.
    pub(crate) fn of(
        update: Option<WorkUpdate>,
        usage: Vec<RegionUsage>,
        relay: bool,
    ) -> GossipMessage {
        GossipMessage::Work(Self {
            updates: update.into_iter().collect(),
            usage,
            relay,
        })
    }
}

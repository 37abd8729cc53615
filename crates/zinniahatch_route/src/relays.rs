//! Selection of the relays of a region, to which its nodes send their heartbeats in place of all.
//!
//! Alternatives considered, for the 330 nodes of one region:
//!
//! - Every node to every other, twice a second: 220,000 datagrams/s in the region, and each node
//!   receives 660/s whatever its machine can carry. The cost of a node grows with the region.
//! - Probes of a few random nodes, with changes carried along: the lowest cost on every node, but a
//!   loss is suspected, refuted and spread in several rounds, and a node that starts knows the
//!   region only after many exchanges.
//! - A few relays that receive all heartbeats and return rosters (chosen): a node sends and
//!   receives the same few datagrams whatever the size of the region, the time to detect a loss
//!   stays that of direct heartbeats, and only the relays' cost grows, in proportion to the nodes
//!   that they serve. Large machines are preferred as relays.
//!
//! Nodes need not agree on the relays: any node answers a request for a roster, and rosters carry
//! the ages of what other relays received. If no roster arrives in time, for instance after all
//! relays failed at once, heartbeats go to all nodes again.

use crate::MemberInfo;
use crate::MemberStage;
use crate::MemberTable;
use std::cmp::Reverse;
use std::net::SocketAddrV4;
use zinniahatch_base::prelude::*;
use zinniahatch_base::rendezvous_rank;

/// Number of other nodes of the region up to which heartbeats go to all of them.
pub const MAX_MESH_NODES: usize = 48;
/// Relays per data centre of the region, so that the loss of one data centre and one more relay
/// leaves one.
const RELAYS_PER_DATA_CENTRE: usize = 2;
/// Relays of a region with a single data centre.
const MIN_RELAYS: usize = 3;
/// Age of its last heartbeat up to which a node is used as a relay. Shorter than the time after
/// which it no longer counts as live, so that another one takes over before nodes are missed.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time without an answer to requests for rosters after which heartbeats go to all nodes; they have
/// to arrive before the last roster is so old that nodes no longer count as live.
const ROSTER_TIMEOUT: Duration = Duration::from_millis(200);
/// Role name that is hashed to rank the relays.
const RELAY_ROLE: &str = "relay";

/// Where a node sends its heartbeats within its region.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelaySet {
    /// The relays.
    pub all: BTreeSet<SocketAddrV4>,
    /// Those of them that are asked for rosters: the ones in the own data centre, if there are any.
    pub roster_sources: BTreeSet<SocketAddrV4>,
}

/// Tracks whether relays answer requests for rosters.
#[derive(Clone, Copy, Debug, Default)]
pub struct RosterWait {
    /// Since when requests have had no answer.
    since: Option<Instant>,
}

impl RosterWait {
    /// Records a request.
    pub fn note_requested(&mut self, now: Instant) {
        self.since.get_or_insert(now);
    }

    /// Records the arrival of a roster.
    pub fn note_received(&mut self) {
        self.since = None;
    }

    /// Returns when the answer is overdue, if one is awaited.
    pub fn due(&self) -> Option<Instant> {
        Some(self.since? + ROSTER_TIMEOUT)
    }

    /// Returns whether rosters fail to arrive, so that heartbeats have to go to all nodes.
    pub fn is_overdue(&self, now: Instant) -> bool {
        self.due().is_some_and(|due| now >= due)
    }
}

/// Chooses the relays for a node; `None` if heartbeats go to all nodes, because the region is small
/// or no other node is known to be alive.
pub fn choose_relays(members: &MemberTable, own: &MemberInfo, now: Instant) -> Option<RelaySet> {
    let mut ranked: BTreeMap<&DataCentreId, Vec<_>> = BTreeMap::new();
    let mut known = 0;
    for (info, age) in members.recent_in(&own.region, now) {
        known += 1;
        if age <= RELAY_TIMEOUT && info.stage <= MemberStage::Ready {
            ranked.entry(&info.data_centre).or_default().push(info);
        }
    }
    if known <= MAX_MESH_NODES {
        return None;
    }
    ranked.entry(&own.data_centre).or_default().push(own);
    let per_data_centre = RELAYS_PER_DATA_CENTRE.max(MIN_RELAYS.div_ceil(ranked.len()));
    let mut relays = RelaySet::default();
    for (data_centre, mut nodes) in ranked {
        nodes.sort_by_cached_key(|info| {
            let rank = rendezvous_rank(RELAY_ROLE, &info.node);
            (Reverse(info.cpu_share), Reverse(rank))
        });
        let chosen = nodes.into_iter().take(per_data_centre);
        for info in chosen.filter(|info| info.node != own.node) {
            relays.all.insert(info.peer);
            if *data_centre == own.data_centre {
                relays.roster_sources.insert(info.peer);
            }
        }
    }
    if relays.roster_sources.is_empty() {
        relays.roster_sources.clone_from(&relays.all);
    }
    (!relays.all.is_empty()).then_some(relays)
}

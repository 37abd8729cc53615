//! Selection of the entry VMs that the directory returns to a caller.
//!
//! Failure mode: all nodes of a region are stopped one after the other, and each takes seconds to
//! finish its streams, so that for a while none of them is ready. Callers directed elsewhere would
//! then send their region-bound requests outside the permitted homes; callers that get an empty
//! answer keep the addresses that they have.

use crate::MemberInfo;
use crate::MemberStage;
use crate::MemberTable;
use std::net::SocketAddrV4;
use zinniahatch_base::prelude::*;

/// A caller's query together with the state of the node that answers it.
#[derive(Clone, Debug)]
pub struct DirectoryQuery<'a> {
    /// The caller's region.
    pub region: &'a str,
    /// Homes of the region-bound routes of the queried host; `None` if the desired state is
    /// unknown, empty if no route is bound to regions.
    pub homes: Option<BTreeSet<RegionId>>,
    /// Maximum age of a node's key freshness proof; `None` if callers need no key.
    pub max_proof_age: Option<Duration>,
    /// Whether the answering node has such a proof.
    pub own_proof_fresh: bool,
    /// The region of the answering node.
    pub own_region: &'a RegionId,
    /// The address at which the answering node accepts callers.
    pub own_front: SocketAddrV4,
    /// The lifecycle stage of the answering node.
    pub own_stage: MemberStage,
}

/// The answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryAnswer {
    /// Nodes of the caller's own region.
    Local(Vec<SocketAddrV4>),
    /// Nodes of other regions, because no node of the caller's region is serving.
    Remote(Vec<SocketAddrV4>),
}

impl DirectoryAnswer {
    /// Returns the addresses.
    pub fn addresses(self) -> Vec<SocketAddrV4> {
        match self {
            Self::Local(addresses) | Self::Remote(addresses) => addresses,
        }
    }
}

/// Selects the entry VMs for a caller.
///
/// The first non-empty group is returned:
///
/// 1. live nodes of the caller's region with a current key freshness proof, if one is required;
/// 2. all live nodes of the region;
/// 3. nodes that are leaving and still serve;
/// 4. nodes that were silent for a moment;
/// 5. nodes of other regions;
/// 6. nodes of the caller's region that take only plain requests.
///
/// In other regions, only homes are returned if the host has region-bound routes: the body of a
/// request sent to a node outside them has left its region, whatever that node does with it. An
/// empty answer is preferred to such a node, and the caller keeps the addresses that it has.
/// Without this rule, 45 of 620 bound requests went to a third region while the nodes of both
/// homes were stopped in turn.
pub fn select_nodes(
    members: &MemberTable,
    query: &DirectoryQuery<'_>,
    now: Instant,
) -> DirectoryAnswer {
    let region = query.region;
    let own =
        |at| (**query.own_region == *region && query.own_stage == at).then_some(query.own_front);
    if let Some(bound) = query.max_proof_age {
        let own = own(MemberStage::Ready).filter(|_| query.own_proof_fresh);
        let local = caller_addresses(members.proven_in(region, bound, now), own);
        if !local.is_empty() {
            return DirectoryAnswer::Local(local);
        }
    }
    let steps = [
        (members.live_in(region, now), own(MemberStage::Ready)),
        (members.leaving_in(region, now), own(MemberStage::Leaving)),
        (members.recently_live_in(region, now), None),
    ];
    for (nodes, own) in steps {
        let local = caller_addresses(nodes, own);
        if !local.is_empty() {
            return DirectoryAnswer::Local(local);
        }
    }
    let remote = nodes_elsewhere(members, query, now);
    if !remote.is_empty() {
        return DirectoryAnswer::Remote(remote);
    }
    let last = members.plain_only_in(region, now);
    DirectoryAnswer::Local(caller_addresses(last, own(MemberStage::PlainOnly)))
}

fn caller_addresses(nodes: Vec<&MemberInfo>, own: Option<SocketAddrV4>) -> Vec<SocketAddrV4> {
    let others = nodes.into_iter().map(|node| node.front);
    others.chain(own).collect()
}

fn nodes_elsewhere(
    members: &MemberTable,
    query: &DirectoryQuery<'_>,
    now: Instant,
) -> Vec<SocketAddrV4> {
    let Some(homes) = &query.homes else {
        return Vec::new();
    };
    let mut regions: BTreeMap<RegionId, Vec<SocketAddrV4>> = BTreeMap::new();
    for (region, nodes) in members.live_elsewhere(query.region, MemberStage::Ready, now) {
        regions.insert(region, caller_addresses(nodes, None));
    }
    if query.own_stage == MemberStage::Ready {
        let own = regions.entry(query.own_region.clone()).or_default();
        own.push(query.own_front);
    }
    if !homes.is_empty() {
        regions.retain(|region, _| homes.contains(region));
    }
    regions.into_values().flatten().collect()
}

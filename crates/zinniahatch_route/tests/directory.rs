//! Which entry VMs callers are told to use while nodes come and go.

mod common;

use common::address;
use common::card;
use std::net::SocketAddrV4;
use test_case::test_case;
use zinniahatch_base::prelude::*;
use zinniahatch_route::DirectoryAnswer;
use zinniahatch_route::DirectoryQuery;
use zinniahatch_route::MemberStage;
use zinniahatch_route::MemberTable;
use zinniahatch_route::select_nodes;

/// Nodes as `(name, region, stage, last digits of the front address)`.
type NodeRows<'a> = &'a [(&'a str, &'a str, MemberStage, u8)];

fn members(nodes: NodeRows<'_>, now: Instant) -> MemberTable {
    let mut members = MemberTable::default();
    for (name, region, stage, last) in nodes {
        let mut card = card(name, region, 0, 1);
        card.stage = *stage;
        card.front = address(*last);
        card.peer = address(100 + *last);
        members.update(card, false, now);
    }
    members
}

fn named(nodes: NodeRows<'_>, region: &str, homes: Option<&[&str]>) -> Vec<SocketAddrV4> {
    let now = Instant::now();
    let own_region: RegionId = "west".into();
    let ask = DirectoryQuery {
        region,
        homes: homes.map(|homes| homes.iter().map(|home| (*home).into()).collect()),
        max_proof_age: None,
        own_proof_fresh: true,
        own_region: &own_region,
        own_front: address(50),
        own_stage: MemberStage::Ready,
    };
    select_nodes(&members(nodes, now), &ask, now).addresses()
}

/// Surveyors of the north had a bound query read by a node in the west: the nodes of both homes were stopped
/// one after the other, each took seconds to end its streams, and the directory named the only region
/// that had a ready node. Cause: it preferred homes, but fell back to any region.
#[test]
fn name_nodes_both_homes_are_stopping() {
    let nodes: NodeRows<'_> = &[
        ("n1", "north", MemberStage::Closing, 1),
        ("n2", "north", MemberStage::Leaving, 2),
        ("s1", "south", MemberStage::Closing, 3),
    ];
    let homes: &[&str] = &["north", "south"];
    assert_eq!(named(nodes, "north", Some(homes)), [address(2)]);
    assert_eq!(named(nodes, "south", Some(homes)), []);
}

/// While the last node of a region takes only what ends soon, streams are served elsewhere; where there is
/// no home elsewhere, it is all that is left.
#[test_case(MemberStage::Ready, &[3]; "another_home")]
#[test_case(MemberStage::Closing, &[1]; "no_other_home")]
fn name_nodes_last_of_a_region(south: MemberStage, expected: &[u8]) {
    let nodes: NodeRows<'_> = &[
        ("n1", "north", MemberStage::PlainOnly, 1),
        ("s1", "south", south, 3),
    ];
    let expected: Vec<SocketAddrV4> = expected.iter().map(|last| address(*last)).collect();
    assert_eq!(named(nodes, "north", Some(&["north", "south"])), expected);
}

#[test_case(&[("n1", "north", MemberStage::Ready, 1), ("n2", "north", MemberStage::Leaving, 2)], &[1]; "ready_before_leaving")]
#[test_case(&[("n1", "north", MemberStage::Leaving, 1), ("s1", "south", MemberStage::Ready, 3)], &[1]; "leaving_before_elsewhere")]
#[test_case(&[("n1", "north", MemberStage::Closing, 1), ("s1", "south", MemberStage::Ready, 3)], &[3]; "home_elsewhere")]
#[test_case(&[("n1", "north", MemberStage::Starting, 1)], &[]; "nobody_rather_than_no_home")]
fn name_nodes_bound_host(nodes: NodeRows<'_>, expected: &[u8]) {
    let expected: Vec<SocketAddrV4> = expected.iter().map(|last| address(*last)).collect();
    assert_eq!(named(nodes, "north", Some(&["north", "south"])), expected);
}

#[test]
fn name_nodes_unbound_host_any_region() {
    let nodes: NodeRows<'_> = &[("s1", "south", MemberStage::Ready, 3)];
    let mut found = named(nodes, "north", Some(&[]));
    found.sort_unstable();
    assert_eq!(found, [address(3), address(50)]);
}

/// A node that has just started knows no routes and so no homes: it must not send anybody elsewhere.
#[test]
fn name_nodes_unknown_state_stays_near() {
    let nodes: NodeRows<'_> = &[("s1", "south", MemberStage::Ready, 3)];
    assert_eq!(named(nodes, "north", None), []);
    assert_eq!(named(nodes, "south", None), [address(3)]);
}

#[test]
fn name_nodes_own_region_names_itself() {
    let now = Instant::now();
    let own_region: RegionId = "west".into();
    let ask = DirectoryQuery {
        region: "west",
        homes: Some(BTreeSet::new()),
        max_proof_age: None,
        own_proof_fresh: true,
        own_region: &own_region,
        own_front: address(50),
        own_stage: MemberStage::Leaving,
    };
    let named = select_nodes(&MemberTable::default(), &ask, now);
    assert_eq!(named, DirectoryAnswer::Local(vec![address(50)]));
}

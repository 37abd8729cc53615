//! Route of a request, and the regions that the directory prefers for a host.

mod common;

use common::desired_state;
use common::route;
use test_case::test_case;
use zinniahatch_base::prelude::*;
use zinniahatch_route::RouteTable;
use zinniahatch_route::WeightedTarget;

fn table() -> RouteTable {
    RouteTable::new(&desired_state(
        3,
        vec![
            route("short", "h.example", "/a/", "s"),
            route("long", "h.example", "/a/b/", "s"),
            route("other", "o.example", "/a/", "s"),
        ],
    ))
}

#[test_case("h.example", "/a/x", Some("short"); "short_prefix")]
#[test_case("h.example", "/a/b/x?q=/a/", Some("long"); "longest_prefix_wins")]
#[test_case("h.example", "/a/bc", Some("short"); "prefix_ends_at_a_slash")]
#[test_case("h.example", "/a", None; "no_slash_no_match")]
#[test_case("H.Example:80", "/a/b/", Some("long"); "host_case_and_port")]
#[test_case("o.example", "/a/b/", Some("other"); "hosts_are_apart")]
#[test_case("x.example", "/a/b/", None; "unknown_host")]
fn find_route(host: &str, path: &str, expected: Option<&str>) {
    let found = table().find(host, path);
    assert_eq!(found.as_ref().map(|route| &*route.name), expected);
}

#[test]
fn target_follows_weights() {
    let mut split = route("r", "h", "/", "s");
    split.targets = vec![
        WeightedTarget {
            service: "s".into(),
            weight: 90,
        },
        WeightedTarget {
            service: "t".into(),
            weight: 10,
        },
    ];
    let to_t = (0..10_000)
        .filter(|id| {
            let target = split.target(&format!("{id}"));
            target.is_some_and(|target| &*target.service == "t")
        })
        .count();
    assert!((800..1_200).contains(&to_t), "{to_t} of 10000");
    // Every node picks the same target for a request.
    assert_eq!(split.target("x"), split.target("x"));
}

/// Guards against a host whose bound routes have different homes: their intersection was empty and
/// was taken to allow any region, so callers were directed to a region that is no home while all
/// nodes of their own region were being stopped in turn.
#[test]
fn homes_of_host_with_differing_homes() {
    let mut first = route("first", "h", "/a/", "s");
    first.homes = ["north".into(), "south".into()].into();
    let mut second = route("second", "h", "/b/", "s");
    second.homes = ["south".into()].into();
    let mut third = route("third", "h", "/c/", "s");
    third.homes = ["west".into()].into();
    let table = RouteTable::new(&desired_state(1, vec![first, second, third]));
    let expected: BTreeSet<RegionId> = ["south".into()].into();
    assert_eq!(table.homes_of("h"), expected);
    assert!(table.homes_of("unknown").is_empty());
}

/// Guards against an overflow of the engine rank: it was the sum of two small numbers and wrapped
/// around after 255, so that engines processed requests of the lowest priority before all others.
#[test_case(0, 3; "most_urgent")]
#[test_case(1, 4; "next")]
#[test_case(2, 5; "common")]
#[test_case(9, 5; "less_urgent")]
#[test_case(253, 5; "beyond_the_number")]
#[test_case(255, 5; "last")]
fn engine_rank_by_priority(priority: u8, rank: u8) {
    assert_eq!(zinniahatch_route::engine_rank(priority), rank);
}

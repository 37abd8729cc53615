//! Placement in large regions, where it looks at one group of replicas.

mod common;

use common::QueryParts;
use common::regions;
use common::table_of;
use test_case::test_case;
use zinniahatch_base::prelude::*;
use zinniahatch_route::ColdLimiter;
use zinniahatch_route::PlacementQuery;
use zinniahatch_route::PromptSize;
use zinniahatch_route::ReplicaTable;
use zinniahatch_route::choose_local;

/// Returns how many of `requests` requests each replica gets, each while all are idle.
fn placements(table: &ReplicaTable, requests: u64, session: bool, now: Instant) -> Vec<usize> {
    let mut counts: BTreeMap<ReplicaId, usize> = BTreeMap::new();
    for number in 0..requests {
        let size = if session {
            common::prompt(number, number)
        } else {
            PromptSize::default()
        };
        let parts = QueryParts::new(size);
        let query = PlacementQuery {
            draw: number.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            ..parts.query()
        };
        let choice = choose_local(table, &ColdLimiter::default(), &regions(), &query, now);
        let choice = choice.expect("an idle replica");
        *counts.entry(choice.replica).or_default() += 1;
    }
    counts.into_values().collect()
}

/// Guards against replicas that get no request or many times the mean: placement looks at one group
/// of replicas, and every replica has to be in one.
#[test_case(40; "one group")]
#[test_case(300; "few groups")]
#[test_case(3_000; "many groups")]
fn sessions_spread_over_all_replicas(count: usize) {
    let now = Instant::now();
    let table = table_of(count, now);
    let counts = placements(&table, count as u64 * 12, true, now);
    // With 12 requests each on average, a replica without any is one in 160,000.
    assert!(
        counts.len() * 100 >= count * 99,
        "{} of {count}",
        counts.len()
    );
    assert!(counts.iter().all(|count| *count <= 40), "{counts:?}");
}

/// Guards against plain requests that all go to the few replicas whose short response times a node
/// knows: of 192 replicas 124 got no request all day.
#[test]
fn plain_requests_spread_over_all_replicas() {
    let now = Instant::now();
    let mut table = table_of(62, now);
    for id in ["replica-3", "replica-40"] {
        let state = table.get_mut(id).expect("a replica");
        state.slowness = 0.9;
    }
    let counts = placements(&table, 62 * 20, false, now);
    assert!(counts.len() >= 60, "{} of 62", counts.len());
    assert!(counts.iter().all(|count| *count <= 200), "{counts:?}");
}

//! The bytes of updates that a node sends, whatever it has to tell.

use std::time::Duration;
use std::time::Instant;
use test_case::test_case;
use zinniahatch_route::CrashWitness;
use zinniahatch_route::PartSuspectTable;
use zinniahatch_route::ScopedPart;
use zinniahatch_route::TrafficBudget;

const STEP: Duration = Duration::from_millis(20);
const SIMULATED: Duration = Duration::from_secs(10);
/// Bytes that updates may take on a link of 10 Mbit/s in that time: a twentieth of it.
const MAX_BYTES: usize = 10_000_000 / 8 * 10 / 20;

/// Updates that are ready in each step.
const MAX_DATAGRAMS: usize = 20;

/// Guards against links that are full of updates: a node always has more of them than it may send.
#[test_case(1_400, 6; "small_fleet")]
#[test_case(1_400, 70; "fleet_of_71_nodes")]
#[test_case(1_400, 330; "region_of_330_nodes")]
fn bytes_are_bounded(datagram: usize, receivers: usize) {
    let start = Instant::now();
    let mut budget = TrafficBudget::new(start);
    let (mut now, mut sent) = (start, 0);
    while now < start + SIMULATED {
        now += STEP;
        for _ in 0..MAX_DATAGRAMS {
            if !budget.is_open(now) {
                break;
            }
            budget.charge(datagram * receivers);
            sent += datagram * receivers;
        }
    }
    // The last broadcast may go beyond what is left.
    let bound = MAX_BYTES + datagram * receivers;
    assert!(sent <= bound, "{sent} bytes");
}

/// Guards against a part that goes on crashing replicas while the news of it waits behind those of
/// parts that were on one crashed replica.
#[test]
fn updates_for_all_nodes_go_first() {
    let start = Instant::now();
    let mut table = PartSuspectTable::new(start);
    let now = start + Duration::from_secs(60);
    let part = |id| ScopedPart { id, scope: 1 };
    let witness = |replica| CrashWitness {
        replica,
        answered: None,
        caller: 1,
    };
    for id in 0..100 {
        table.note_crash(&[part(id)], witness(1), now);
    }
    for replica in 2..4 {
        table.note_crash(&[part(500)], witness(replica), now);
    }
    let first = table.take_updates(false, 1, now);
    assert_eq!(first.broadcast.len(), 1);
    assert_eq!(first.broadcast[0].part, part(500));
}

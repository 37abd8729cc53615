//! Ways to other regions that carry one direction alone.

use test_case::test_case;
use zinniahatch_base::prelude::*;
use zinniahatch_route::RegionPaths;

fn after(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

/// Requests no longer reached the other region, whose cards went on arriving and called it idle. For five
/// seconds a third of the streams went there and were heard of no more. Cause: only the way back was
/// watched. The cards stop bearing an echo of what was sent since.
#[test]
fn broken_one_way_cut() {
    let start = Instant::now();
    let south: RegionId = "south".into();
    let mut ways = RegionPaths::default();
    ways.note_delivered(&south, start);
    ways.note_sent(&south, 1, after(start, 100));
    assert!(ways.unreachable(after(start, 900)).is_empty());
    assert!(ways.unreachable(after(start, 1_100)).contains("south"));
    // The caller gave up; there is still no proof that the way is whole.
    ways.note_abandoned(&south, 1);
    assert!(ways.unreachable(after(start, 1_900)).contains("south"));
    ways.note_delivered(&south, after(start, 6_000));
    assert!(ways.unreachable(after(start, 6_200)).is_empty());
}

/// A region that is merely slow, or from which nothing was heard yet, is not cut off.
#[test_case(Some(900), Some(950); "answers_go_on")]
#[test_case(Some(900), None; "echoes_go_on")]
#[test_case(None, Some(950); "never_proven")]
fn broken_whole_way(proof: Option<u64>, answer: Option<u64>) {
    let start = Instant::now();
    let south: RegionId = "south".into();
    let mut ways = RegionPaths::default();
    ways.note_sent(&south, 1, start);
    ways.note_sent(&south, 2, start);
    if let Some(sent) = proof {
        ways.note_delivered(&south, after(start, sent));
    }
    if let Some(at) = answer {
        ways.note_response(&south, 2, after(start, at));
    }
    assert!(ways.unreachable(after(start, 1_500)).is_empty());
}

/// An older echo that arrives late must not take back a newer proof.
#[test]
fn note_proof_late_echo() {
    let start = Instant::now();
    let south: RegionId = "south".into();
    let mut ways = RegionPaths::default();
    ways.note_delivered(&south, after(start, 1_000));
    ways.note_delivered(&south, start);
    assert!(ways.unreachable(after(start, 2_500)).is_empty());
}

//! Detection of paths to other regions that work in only one direction.

use test_case::test_case;
use zinniahatch_base::prelude::*;
use zinniahatch_route::RegionPaths;

fn after(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

/// Guards against a partition that cuts only the requests to a region: its heartbeats kept arriving
/// and showed it as idle, so for five seconds a third of the streams were sent there and lost. The
/// heartbeats stop acknowledging what was sent after the partition began.
#[test]
fn unreachable_after_one_way_partition() {
    let start = Instant::now();
    let south: RegionId = "south".into();
    let mut paths = RegionPaths::default();
    paths.note_delivered(&south, start);
    paths.note_sent(&south, 1, after(start, 100));
    assert!(paths.unreachable(after(start, 900)).is_empty());
    assert!(paths.unreachable(after(start, 1_100)).contains("south"));
    // The caller gave up; that does not show that the path works.
    paths.note_abandoned(&south, 1);
    assert!(paths.unreachable(after(start, 1_900)).contains("south"));
    paths.note_delivered(&south, after(start, 6_000));
    assert!(paths.unreachable(after(start, 6_200)).is_empty());
}

/// A region that is merely slow, or that was never heard from, does not count as unreachable.
#[test_case(Some(900), Some(950); "answers_go_on")]
#[test_case(Some(900), None; "echoes_go_on")]
#[test_case(None, Some(950); "never_proven")]
fn unreachable_excludes_working_paths(delivered: Option<u64>, answered: Option<u64>) {
    let start = Instant::now();
    let south: RegionId = "south".into();
    let mut paths = RegionPaths::default();
    paths.note_sent(&south, 1, start);
    paths.note_sent(&south, 2, start);
    if let Some(sent) = delivered {
        paths.note_delivered(&south, after(start, sent));
    }
    if let Some(at) = answered {
        paths.note_response(&south, 2, after(start, at));
    }
    assert!(paths.unreachable(after(start, 1_500)).is_empty());
}

/// An older acknowledgement that arrives late must not undo a newer one.
#[test]
fn note_delivered_ignores_late_acknowledgement() {
    let start = Instant::now();
    let south: RegionId = "south".into();
    let mut paths = RegionPaths::default();
    paths.note_delivered(&south, after(start, 1_000));
    paths.note_delivered(&south, start);
    assert!(paths.unreachable(after(start, 2_500)).is_empty());
}

/// Guards against a node that takes its own pause for a partition and sends nothing to other regions
/// until one of them has confirmed a heartbeat that was sent after it.
#[test_case(false; "before_the_first_tick")]
#[test_case(true; "after_the_first_tick")]
fn pause_of_node_is_no_partition(ticked: bool) {
    let start = Instant::now();
    let south: RegionId = "south".into();
    let mut paths = RegionPaths::default();
    paths.note_delivered(&south, start);
    paths.note_sent(&south, 1, start);
    paths.tick(start);
    let resumed = after(start, 4_000);
    if ticked {
        paths.tick(resumed);
    }
    assert!(paths.unreachable(resumed).is_empty());
    for millis in (4_000..=6_000).step_by(200) {
        paths.tick(after(start, millis));
    }
    let later = after(start, 6_000);
    assert!(paths.unreachable(later).contains("south"));
}

//! Reliance of a node on the store readers of its region.

mod common;

use common::entry;
use common::regions;
use common::table;
use test_case::test_case;
use zinniahatch_base::prelude::*;
use zinniahatch_route::CoverageState;
use zinniahatch_route::ReaderCoverage;
use zinniahatch_route::ReplicaEntry;

#[test_case(&[], CoverageState::NoReaders; "nobody_reads")]
#[test_case(&[7], CoverageState::Current; "same")]
#[test_case(&[3, 7], CoverageState::Current; "same_as_one")]
#[test_case(&[3], CoverageState::Behind; "missed")]
fn check_after_max_divergence(announced: &[u64], expected: CoverageState) {
    let start = Instant::now();
    let mut coverage = ReaderCoverage::default();
    coverage.check(7, announced.iter().copied(), start);
    let later = start + Duration::from_millis(1_500);
    assert_eq!(
        coverage.check(7, announced.iter().copied(), later),
        expected
    );
}

/// Guards against lost datagrams from the readers: a node did not learn that a replica was leaving,
/// its own watch was paused, and it sent requests there until the replica was gone. The digest in
/// the readers' heartbeats shows that it missed an update.
#[test]
fn check_lost_update_of_leaving_replica() {
    let now = Instant::now();
    let reader = {
        let mut reader = table(&["r1", "r2"], now);
        reader.upsert(
            ReplicaEntry {
                leaving: true,
                revision: 5.into(),
                ..entry("r2", "a")
            },
            now,
        );
        reader.entries_digest(&regions(), &"north".into())
    };
    let mut node = table(&["r1", "r2"], now);
    let mut coverage = ReaderCoverage::default();
    let region: RegionId = "north".into();
    coverage.check(node.entries_digest(&regions(), &region), [reader], now);
    let later = now + Duration::from_secs(2);
    let own = node.entries_digest(&regions(), &region);
    assert_eq!(coverage.check(own, [reader], later), CoverageState::Behind);
    node.remove_entry("r2", 5.into(), later);
    let own = node.entries_digest(&regions(), &region);
    assert_eq!(coverage.check(own, [reader], later), CoverageState::Behind);
}

/// State that a node learned from responses, and replicas of other regions, must not make the
/// digests of nodes differ.
#[test]
fn entries_digest_covers_only_store_state() {
    let now = Instant::now();
    let mut one = table(&["r1", "r2"], now);
    let mut two = table(&["r2", "r1"], now);
    two.upsert(entry("far", "b"), now);
    if let Some(replica) = one.get_mut("r1") {
        replica.health.note_unreachable(now);
        replica.leaving = Some(zinniahatch_route::LeaveReason::Replaced);
    }
    let region: RegionId = "north".into();
    let digest = one.entries_digest(&regions(), &region);
    assert_eq!(digest, two.entries_digest(&regions(), &region));
    two.remove_entry("r1", 1.into(), now);
    assert_ne!(digest, two.entries_digest(&regions(), &region));
}

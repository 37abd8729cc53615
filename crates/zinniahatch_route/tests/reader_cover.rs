//! Leaving the reading of replicas to a few nodes of the region.

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
fn judge_after_a_while(told: &[u64], expected: CoverageState) {
    let start = Instant::now();
    let mut cover = ReaderCoverage::default();
    cover.check(7, told.iter().copied(), start);
    let later = start + Duration::from_millis(1_500);
    assert_eq!(cover.check(7, told.iter().copied(), later), expected);
}

/// A replica said that it was leaving. The datagrams that told a node so were lost, its own watch rested,
/// and it sent there until the replica was gone. The digest of the readers' cards shows that it missed something.
#[test]
fn judge_lost_news_of_leaving() {
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
    let mut cover = ReaderCoverage::default();
    let region: RegionId = "north".into();
    cover.check(node.entries_digest(&regions(), &region), [reader], now);
    let later = now + Duration::from_secs(2);
    let own = node.entries_digest(&regions(), &region);
    assert_eq!(cover.check(own, [reader], later), CoverageState::Behind);
    node.remove_entry("r2", 5.into(), later);
    let own = node.entries_digest(&regions(), &region);
    assert_eq!(cover.check(own, [reader], later), CoverageState::Behind);
}

/// Beliefs that answers taught, and replicas of other regions, must not make nodes disagree.
#[test]
fn entries_digest_store_facts_alone() {
    let now = Instant::now();
    let mut one = table(&["r1", "r2"], now);
    let mut two = table(&["r2", "r1"], now);
    two.upsert(entry("far", "b"), now);
    if let Some(belief) = one.get_mut("r1") {
        belief.health.note_unreachable(now);
        belief.leaving = Some(zinniahatch_route::LeaveReason::Replaced);
    }
    let region: RegionId = "north".into();
    let digest = one.entries_digest(&regions(), &region);
    assert_eq!(digest, two.entries_digest(&regions(), &region));
    two.remove_entry("r1", 1.into(), now);
    assert_ne!(digest, two.entries_digest(&regions(), &region));
}

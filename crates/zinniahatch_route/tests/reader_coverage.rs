//! Reliance of a node on the store readers of its region.

mod common;

use common::entry;
use common::regions;
use common::table;
use test_case::test_case;
use zinniahatch_base::prelude::*;
use zinniahatch_route::CoverageClaim;
use zinniahatch_route::CoverageState;
use zinniahatch_route::ReadRange;
use zinniahatch_route::ReadScope;
use zinniahatch_route::ReaderCoverage;
use zinniahatch_route::ReaderReport;
use zinniahatch_route::ReplicaEntry;

const OWN: u64 = 7;
const OTHER: u64 = 3;
/// Time after which a node that lacks something counts as behind.
const LATER: Duration = Duration::from_millis(1_500);

fn north() -> ReadScope {
    ReadScope::Region("north".into())
}

fn claim(upto: u64) -> CoverageClaim {
    CoverageClaim::new(north(), upto.into())
}

fn report(digest: u64, read_at: u64) -> ReaderReport {
    ReaderReport {
        digest,
        claim: Some(claim(read_at)),
    }
}

/// A report of a node of an earlier version.
fn bare_report(digest: u64) -> ReaderReport {
    ReaderReport {
        digest,
        claim: None,
    }
}

#[test_case(&[], CoverageState::NoReaders; "nobody_reads")]
#[test_case(&[report(OWN, 5)], CoverageState::Current; "same")]
#[test_case(&[report(OTHER, 4), report(OWN, 5)], CoverageState::Current; "same_as_the_furthest")]
#[test_case(&[report(OWN, 4), report(OTHER, 5)], CoverageState::Behind; "same_as_one_that_is_behind")]
#[test_case(&[report(OTHER, 5)], CoverageState::Behind; "missed")]
#[test_case(&[bare_report(OTHER), bare_report(OWN)], CoverageState::Current; "same_as_one_of_earlier_versions")]
#[test_case(&[bare_report(OTHER)], CoverageState::Behind; "missed_from_earlier_version")]
fn check_after_max_divergence(reports: &[ReaderReport], expected: CoverageState) {
    let start = Instant::now();
    let mut coverage = ReaderCoverage::new(north());
    coverage.check(OWN, reports.iter().cloned(), start);
    let state = coverage.check(OWN, reports.iter().cloned(), start + LATER);
    assert_eq!(state, expected);
}

/// Guards against a node that takes what a reader of another region has read for what it has itself, and
/// reads on from there.
#[test]
fn note_covered_by_reader_of_another_region() {
    let now = Instant::now();
    let south = ReadScope::Region("south".into());
    let range = ReadRange {
        after: 5.into(),
        upto: 9.into(),
    };
    let mut coverage = ReaderCoverage::new(north());
    let foreign = CoverageClaim::new(south.clone(), 9.into());
    assert!(!coverage.note_covered(&foreign));
    coverage.note_range(&south, range, now);
    let reports = [ReaderReport {
        digest: OWN,
        claim: Some(foreign),
    }];
    assert_eq!(coverage.check(OWN, reports, now), CoverageState::NoReaders);
    assert_eq!(coverage.covered(), None);
    assert!(coverage.note_covered(&claim(5)));
    assert_eq!(coverage.covered(), Some(5.into()));
}

/// Guards against a node that has received some changes and takes them for all that there is.
#[test]
fn note_range_before_first_claim() {
    let now = Instant::now();
    let range = ReadRange {
        after: 0.into(),
        upto: 9.into(),
    };
    let mut coverage = ReaderCoverage::new(north());
    coverage.note_range(&north(), range, now);
    assert_eq!(coverage.covered(), None);
}

/// Guards against a node that takes itself for behind while replicas come and go, so that its digest
/// never is that of any reader: it goes by the revisions that datagrams cover.
#[test_case(0, CoverageState::Current; "all_received")]
#[test_case(3, CoverageState::Behind; "one_lost")]
fn check_while_changes_go_on(lost: u64, expected: CoverageState) {
    let start = Instant::now();
    let mut coverage = ReaderCoverage::new(north());
    coverage.note_covered(&claim(10));
    let mut state = CoverageState::Current;
    for step in 1..=8 {
        let now = start + Duration::from_millis(300) * step as u32;
        let range = ReadRange {
            after: (step + 9).into(),
            upto: (step + 10).into(),
        };
        if step != lost {
            coverage.note_range(&north(), range, now);
        }
        state = coverage.check(100 + step, [report(200 + step, step + 10)], now);
    }
    assert_eq!(state, expected);
    coverage.note_covered(&claim(18));
    let now = start + Duration::from_secs(3);
    let state = coverage.check(109, [report(209, 18)], now);
    assert_eq!(state, CoverageState::Current);
}

/// Guards against a row that only this node has: no datagram names it, and only the digests tell.
#[test]
fn check_lasting_mismatch() {
    let start = Instant::now();
    let mut coverage = ReaderCoverage::new(north());
    coverage.note_covered(&claim(10));
    assert_eq!(
        coverage.check(OWN, [report(OTHER, 10)], start),
        CoverageState::Current
    );
    let state = coverage.check(OWN, [report(OTHER, 10)], start + LATER);
    assert_eq!(state, CoverageState::Behind);
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
    let mut coverage = ReaderCoverage::new(north());
    let region: RegionId = "north".into();
    let reader = report(reader, 5);
    coverage.check(
        node.entries_digest(&regions(), &region),
        [reader.clone()],
        now,
    );
    let later = now + Duration::from_secs(2);
    let own = node.entries_digest(&regions(), &region);
    assert_eq!(
        coverage.check(own, [reader.clone()], later),
        CoverageState::Behind
    );
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

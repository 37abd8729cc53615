//! Which software version began a stream: what nodes remember and tell each other, and what they may
//! conclude without being told.

mod common;

use common::QueryParts;
use common::entry;
use common::regions;
use std::time::Duration;
use std::time::Instant;
use test_case::test_case;
use zinniahatch_base::prelude::*;
use zinniahatch_route::ColdLimiter;
use zinniahatch_route::EntryChange;
use zinniahatch_route::OriginRecord;
use zinniahatch_route::PromptSize;
use zinniahatch_route::ReplicaEntry;
use zinniahatch_route::ReplicaTable;
use zinniahatch_route::SendRefusal;
use zinniahatch_route::StreamOrigin;
use zinniahatch_route::StreamOriginTable;
use zinniahatch_route::VersionCount;
use zinniahatch_route::VersionRecord;
use zinniahatch_route::VersionReport;
use zinniahatch_route::VersionTable;
use zinniahatch_route::choose_local;
use zinniahatch_route::sole_recorded;

/// Longest time of a stream.
const KEEP: Duration = Duration::from_secs(10);
/// Interval at which a node takes over its replicas.
const TICK: Duration = Duration::from_millis(200);

fn versioned(id: &str, version: Option<&str>) -> ReplicaEntry {
    ReplicaEntry {
        version: version.map(Box::from),
        ..entry(id, "a")
    }
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin::new("s", Some(tag_of(version)))
}

fn report(complete: bool, versions: &[&str]) -> VersionReport {
    let versions = versions.iter().map(|version| VersionCount {
        origin: origin(version),
        ready: 1,
    });
    VersionReport {
        complete,
        versions: versions.collect(),
    }
}

/// Lets a node follow its region without a pause.
fn follow(versions: &mut VersionTable, replicas: &ReplicaTable, from: Instant, to: Instant) {
    let mut now = from;
    while now < to {
        versions.update(replicas, true, Some(KEEP), now);
        now += TICK;
    }
    versions.update(replicas, true, Some(KEEP), to);
}

/// Guards against a stream that goes on at another version, or at one that is not known.
#[test]
fn choose_local_keeps_to_the_version() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    for (id, version) in [("r1", Some("v1")), ("r2", Some("v1.1")), ("r3", None)] {
        table.upsert(versioned(id, version), now);
    }
    let parts = QueryParts::new(PromptSize::default());
    let choose = |version: &str| {
        let mut query = parts.query();
        query.version = Some(tag_of(version));
        let limiter = ColdLimiter::default();
        choose_local(&table, &limiter, &regions(), &query, now).map(|choice| choice.replica)
    };
    assert_eq!(choose("v1").as_deref(), Some("r1"));
    assert_eq!(choose("v1.1").as_deref(), Some("r2"));
    assert_eq!(choose("v2"), None);
}

/// Guards against a request that reaches another version because its replica came back under the same
/// id between choice and send.
#[test]
fn permit_is_not_granted_for_another_version() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(versioned("r1", Some("v1")), now);
    let reserved = table.reserve(&mut ColdLimiter::default(), "r1", 0, now);
    let reservation = reserved.unwrap();
    assert_eq!(reservation.version(), Some(tag_of("v1")));
    let change = table.upsert(versioned("r1", Some("v1.1")), now);
    assert!(matches!(change, EntryChange::Restarted(_)));
    let refused = table.permit(reservation, now).unwrap_err();
    assert_eq!(refused, SendRefusal::Gone);
}

/// Guards against a version that is forgotten when the entry comes again without it.
#[test]
fn upsert_keeps_the_version_of_an_entry_without_it() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(versioned("r1", Some("v1")), now);
    assert_eq!(table.upsert(versioned("r1", None), now), EntryChange::None);
    assert_eq!(table.get("r1").unwrap().version, Some(tag_of("v1")));
}

/// Guards against a conclusion that nothing proves: that a service has had a single version.
#[test_case(KEEP, &[(true, &["v1"])], true; "single_version_everywhere")]
#[test_case(KEEP, &[(true, &[])], true; "no_replica_elsewhere")]
#[test_case(KEEP, &[(true, &["v1.1"])], false; "other_version_elsewhere")]
#[test_case(KEEP, &[(true, &["v1", "v1.1"])], false; "two_versions_elsewhere")]
#[test_case(KEEP, &[(false, &["v1"])], false; "other_region_followed_too_short")]
#[test_case(KEEP, &[], false; "other_region_unheard")]
#[test_case(KEEP / 2, &[(true, &["v1"])], false; "own_region_followed_too_short")]
#[test_case(KEEP, &[(true, &["v1"]), (false, &["v1.1"])], false; "newer_node_saw_another")]
fn sole_version_is_proven(followed: Duration, reports: &[(bool, &[&str])], proven: bool) {
    let start = Instant::now();
    let now = start + followed;
    let mut replicas = ReplicaTable::default();
    replicas.upsert(versioned("r1", Some("v1")), start);
    let mut versions = VersionTable::default();
    follow(&mut versions, &replicas, start, now);
    let south = RegionId::from("south");
    for (complete, seen) in reports {
        versions.apply(&south, report(*complete, seen), now);
    }
    let north = RegionId::from("north");
    let sole = versions.sole_version(tag_of("s"), &north, [&south].into_iter(), Some(KEEP), now);
    assert_eq!(sole, proven.then(|| origin("v1")));
}

/// Guards against a process that takes the versions it sees for all that have served: one that lost
/// the store, or has just started, adds what the store says, and concludes nothing without it.
#[test]
fn stored_versions_count_until_the_region_was_followed() {
    let start = Instant::now();
    let mut replicas = ReplicaTable::default();
    replicas.upsert(versioned("r1", Some("v1.1")), start);
    let mut versions = VersionTable::default();
    let north = RegionId::from("north");
    let sole = |versions: &VersionTable, now: Instant| {
        versions.sole_version(tag_of("s"), &north, std::iter::empty(), Some(KEEP), now)
    };
    versions.update(&replicas, true, Some(KEEP), start);
    assert!(versions.wants_stored(Some(KEEP), start));
    assert_eq!(sole(&versions, start), None);
    versions.note_stored(Some(vec![origin("v1"), origin("v1.1")]));
    assert_eq!(sole(&versions, start), None, "v1 has served lately");
    versions.note_stored(Some(vec![origin("v1.1")]));
    assert_eq!(sole(&versions, start), Some(origin("v1.1")));
    // The store was lost for a moment, in which a version may have come and gone.
    versions.update(&replicas, false, Some(KEEP), start);
    assert_eq!(sole(&versions, start), None);
    versions.update(&replicas, true, Some(KEEP), start);
    assert!(versions.wants_stored(Some(KEEP), start));
    versions.note_stored(None);
    assert_eq!(sole(&versions, start), None, "the store has none");
    let later = start + KEEP;
    follow(&mut versions, &replicas, start, later);
    assert_eq!(sole(&versions, later), Some(origin("v1.1")));
}

/// Guards against a version that counts as gone because a node that has just started, and knows no
/// replicas yet, does not report it; and against reports of nodes that know less taking the place of
/// others.
#[test]
fn ready_in_needs_a_complete_report() {
    let now = Instant::now();
    let south = RegionId::from("south");
    let mut versions = VersionTable::default();
    versions.apply(&south, report(false, &["v1.1"]), now);
    assert_eq!(versions.ready_in("south", origin("v1"), now), None);
    versions.apply(&south, report(true, &["v1"]), now);
    versions.apply(&south, report(true, &["v1.1"]), now);
    assert_eq!(versions.ready_in("south", origin("v1"), now), Some(1));
    assert_eq!(versions.ready_in("south", origin("v2"), now), Some(0));
}

/// Guards against a version that counts as gone while its streams may still be taken up.
#[test]
fn version_is_reported_for_as_long_as_its_streams_last() {
    let start = Instant::now();
    let mut replicas = ReplicaTable::default();
    replicas.upsert(versioned("r1", Some("v1")), start);
    let mut versions = VersionTable::default();
    versions.update(&replicas, true, Some(KEEP), start);
    let empty = ReplicaTable::default();
    versions.update(&empty, true, Some(KEEP), start + KEEP);
    let left = versions.report(Some(KEEP), start + KEEP).versions;
    assert_eq!(left.len(), 1);
    assert_eq!((left[0].origin, left[0].ready), (origin("v1"), 0));
    let later = start + KEEP + Duration::from_millis(1);
    versions.update(&empty, true, Some(KEEP), later);
    assert!(versions.report(Some(KEEP), later).versions.is_empty());
}

/// Guards against streams that no other node is told of while the record still names a version that has
/// left: whoever is asked for them sees several versions.
#[test]
fn version_that_left_shows_for_as_long_as_its_record() {
    let start = Instant::now();
    let mut replicas = ReplicaTable::default();
    replicas.upsert(versioned("r1", Some("v1")), start);
    replicas.upsert(versioned("r2", Some("v1.1")), start);
    let mut versions = VersionTable::default();
    versions.update(&replicas, true, Some(KEEP), start);
    let mut left = ReplicaTable::default();
    left.upsert(versioned("r2", Some("v1.1")), start);
    let service = origin("v1").service;
    let shows_after = |versions: &mut VersionTable, seconds| {
        let now = start + KEEP + Duration::from_secs(seconds);
        versions.update(&left, true, Some(KEEP), now);
        versions.shows_several(service, now)
    };
    assert!(shows_after(&mut versions, 15));
    assert!(!shows_after(&mut versions, 25));

    let now = start + KEEP + Duration::from_secs(25);
    versions.apply_recorded(&"west".into(), [origin("v1")].into_iter(), now);
    assert!(versions.shows_several(service, now));
}

/// Guards against a record that a later one contradicts, and against one that outlives its stream.
#[test]
fn first_origin_of_a_stream_stands() {
    let now = Instant::now();
    let mut origins = StreamOriginTable::default();
    origins.note_begun(7, origin("v1"), now + KEEP);
    let later = OriginRecord {
        stream: 7,
        origin: origin("v1.1"),
        left_ms: 20_000,
    };
    origins.apply(&later, now);
    assert_eq!(origins.get(7, now), Some(origin("v1")));
    let end = now + Duration::from_secs(20);
    assert_eq!(origins.get(7, end), None);
    origins.tick(end);
    assert!(origins.is_empty());
}

/// Guards against memory that grows with the streams of others: those that expire first are evicted.
#[test]
fn streams_are_remembered_up_to_a_number() {
    const STREAMS: u32 = 40_000;
    let now = Instant::now();
    let mut origins = StreamOriginTable::default();
    for number in 0..STREAMS {
        let until = now + Duration::from_millis(u64::from(1_000 + number));
        origins.note_begun(u64::from(number), origin("v1"), until);
    }
    assert_eq!(origins.len(), 32_768);
    assert_eq!(origins.get(0, now), None);
    assert!(origins.get(u64::from(STREAMS - 1), now).is_some());
}

/// Guards against telling other nodes of streams whose version all can tell, and of any twice.
#[test]
fn streams_are_told_once_and_only_where_it_matters() {
    let now = Instant::now();
    let mut origins = StreamOriginTable::default();
    origins.note_begun(1, origin("v1"), now + KEEP);
    assert!(origins.take_unshared(|_| false, now).is_empty());
    assert_eq!(origins.take_unshared(|_| true, now).len(), 1);
    assert!(origins.take_unshared(|_| true, now).is_empty());
    assert_eq!(origins.take_record(1, now), None);
}

fn record(complete: bool, era: u64, versions: &[&str]) -> VersionRecord {
    VersionRecord {
        era,
        versions: versions.iter().map(|version| origin(version)).collect(),
        complete,
    }
}

/// Guards against a conclusion from a record that does not name all versions: one that is missing, not
/// complete, or of a store that was restored since.
#[test_case(Some(record(true, 1, &["v1"])), true; "same_version")]
#[test_case(Some(record(true, 1, &[])), true; "no_version")]
#[test_case(Some(record(true, 1, &["v1.1"])), false; "other_version")]
#[test_case(Some(record(false, 1, &["v1"])), false; "not_complete")]
#[test_case(Some(record(true, 0, &["v1"])), false; "earlier_era")]
#[test_case(None, false; "missing")]
fn sole_recorded_is_proven(elsewhere: Option<VersionRecord>, proven: bool) {
    let regions = ["north", "south"].map(RegionId::from);
    let mut records = BTreeMap::from([(regions[0].clone(), record(true, 1, &["v1"]))]);
    if let Some(elsewhere) = elsewhere {
        records.insert(regions[1].clone(), elsewhere);
    }
    let sole = sole_recorded(&records, regions.iter(), tag_of("s"), 1);
    assert_eq!(sole, proven.then(|| origin("v1")));
}

/// Guards against a record that is trusted though code that does not say whether it is complete wrote
/// it.
#[test]
fn record_without_the_flag_is_not_complete() {
    let text = r#"{"era":0,"versions":[{"service":1,"version":2}]}"#;
    let record: VersionRecord = serde_json::from_str(text).expect("it can be read");
    assert!(!record.complete);
    assert_eq!(record.versions.len(), 1);
}

/// Guards against a version that a node strikes from the record though its streams may run: one that it
/// has not followed for long enough, since it read the record or since it stood still.
#[test]
fn version_is_removable_only_after_its_streams() {
    let start = Instant::now();
    let mut replicas = ReplicaTable::default();
    replicas.upsert(versioned("r1", Some("v1.1")), start);
    let mut versions = VersionTable::default();
    versions.update(&replicas, true, Some(KEEP), start);
    let stored = record(true, 0, &["v1", "v1.1"]);
    let read_at = start + KEEP / 2;
    follow(&mut versions, &replicas, start, read_at);
    versions.note_read(&stored, read_at);
    let soon = start + KEEP;
    follow(&mut versions, &replicas, read_at, soon);
    assert!(versions.has_followed(Some(KEEP), soon));
    assert!(versions.removable(Some(KEEP), soon).is_empty());
    let later = read_at + KEEP;
    follow(&mut versions, &replicas, soon, later);
    let removable = versions.removable(Some(KEEP), later);
    assert_eq!(removable, BTreeSet::from([origin("v1")]));
    assert!(versions.removable(None, later).is_empty());
    let resumed = later + Duration::from_secs(3);
    versions.update(&replicas, true, Some(KEEP), resumed);
    assert!(!versions.has_followed(Some(KEEP), resumed));
    assert!(versions.removable(Some(KEEP), resumed).is_empty());
    assert_eq!(
        versions.recorded().1.len(),
        1,
        "v1.1 has served all the time"
    );
}

/// Guards against a stream that begins at a version which the record may not name any more: after a
/// pause in which it can have been struck, or after the store was restored.
#[test]
fn recorded_versions_are_forgotten_after_a_long_pause_or_a_restore() {
    let start = Instant::now();
    let mut replicas = ReplicaTable::default();
    replicas.upsert(versioned("r1", Some("v1")), start);
    let mut versions = VersionTable::default();
    versions.update(&replicas, true, Some(KEEP), start);
    assert!(versions.lacks_record());
    versions.note_recorded(0, [origin("v1")].into_iter());
    assert!(!versions.lacks_record());
    versions.update(&replicas, true, Some(KEEP), start + KEEP);
    assert!(versions.lacks_record());
    versions.note_recorded(0, [origin("v1")].into_iter());
    versions.note_era(1);
    assert!(versions.lacks_record());
    versions.note_recorded(0, [origin("v1")].into_iter());
    assert!(versions.lacks_record(), "news of the era before");
}

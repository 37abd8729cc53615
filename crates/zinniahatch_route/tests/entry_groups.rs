//! Comparison of replica entries by digests of groups.

mod common;

use common::entry;
use common::regions;
use common::table_of;
use test_case::test_case;
use zinniahatch_base::prelude::*;
use zinniahatch_route::ENTRY_GROUPS;
use zinniahatch_route::ReplicaEntry;
use zinniahatch_route::ReplicaTable;
use zinniahatch_route::differing_groups;

/// Guards against a node that fetches all entries of a large region after it missed one update.
#[test]
fn missed_update_costs_one_group() {
    let now = Instant::now();
    let (mut reader, mut other) = (table_of(2_000, now), table_of(2_000, now));
    let mut gone = entry("replica-7", "a");
    gone.leaving = true;
    gone.revision = StoreRevision::from(9);
    reader.upsert(gone, now);
    reader.remove_entry("replica-8", StoreRevision::from(10), now);
    reader.tick(now);
    let digests = |table: &ReplicaTable| table.group_digests(&regions(), &"north".into());
    assert_eq!(digests(&reader).len(), ENTRY_GROUPS);
    let groups = differing_groups(&digests(&reader), &digests(&other));
    assert!((1..=2).contains(&groups.len()), "{groups:?}");
    let entries: Vec<_> = reader
        .rows_in(&groups)
        .map(|row| row.entry.clone())
        .collect();
    assert!(entries.len() < 150, "{}", entries.len());
    other.merge_reader_groups(entries, &groups, StoreRevision::from(10), now);
    assert_eq!(digests(&reader), digests(&other));
    assert!(
        other
            .get("replica-8")
            .is_some_and(|row| row.leaving.is_some())
    );
}

/// Guards against a node that missed that a replica is cold, or about to terminate, and takes itself for current since it
/// has the same replicas as the reader.
#[test_case(false, |entry| entry.cold_for = Duration::from_secs(60); "cold")]
#[test_case(true, |entry| entry.gone_in = Some(Duration::from_secs(60)); "terminates")]
fn missed_time_of_a_replica_is_fetched(leaving: bool, change: fn(&mut ReplicaEntry)) {
    let now = Instant::now();
    let (mut reader, mut other) = (table_of(5, now), table_of(5, now));
    let mut changed = entry("replica-4", "a");
    changed.leaving = leaving;
    changed.revision = StoreRevision::from(8);
    for table in [&mut reader, &mut other] {
        table.upsert(changed.clone(), now);
    }
    change(&mut changed);
    changed.revision = StoreRevision::from(9);
    reader.upsert(changed, now);
    let north = RegionId::from("north");
    let digests = |table: &ReplicaTable| table.group_digests(&regions(), &north);
    let groups = differing_groups(&digests(&reader), &digests(&other));
    assert_eq!(groups.len(), 1);
    let entries = reader.rows_in(&groups).map(|row| row.entry.clone());
    other.merge_reader_groups(entries.collect(), &groups, StoreRevision::from(9), now);
    assert_eq!(digests(&reader), digests(&other));
    let states = [&reader, &other].map(|table| table.get("replica-4").expect("it is known"));
    let [expected, state] = states.map(|state| (state.cold_until, state.terminates_at));
    assert_eq!(state, expected);
}

/// Guards against entries that are dropped because the reader had not seen them yet.
#[test]
fn groups_of_an_older_reader_remove_nothing_newer() {
    let now = Instant::now();
    let (reader, mut other) = (table_of(5, now), table_of(5, now));
    let mut added = entry("replica-new", "a");
    added.revision = StoreRevision::from(20);
    other.upsert(added, now);
    let all: BTreeSet<usize> = (0..ENTRY_GROUPS).collect();
    let entries = reader.rows().map(|row| row.entry.clone()).collect();
    other.merge_reader_groups(entries, &all, StoreRevision::from(10), now);
    assert!(
        other
            .get("replica-new")
            .is_some_and(|row| row.leaving.is_none())
    );
}

/// Guards against a node that never learns a software version because it got the entry from a node
/// that does not know versions: the entries are the same, so that it would ask for none.
#[test]
fn wanted_digests_ask_for_unknown_versions() {
    let now = Instant::now();
    let (reader, mut other) = (table_of(5, now), table_of(4, now));
    let mut unversioned = entry("replica-4", "a");
    unversioned.version = None;
    other.upsert(unversioned.clone(), now);
    let north = RegionId::from("north");
    let own = reader.group_digests(&regions(), &north);
    let wanted = other.wanted_digests(&regions(), &north);
    let groups = differing_groups(&own, &wanted);
    assert_eq!(groups, other.groups_without_version());
    let entries = reader.rows_in(&groups).map(|row| row.entry.clone());
    other.merge_reader_groups(entries.collect(), &groups, StoreRevision::from(1), now);
    assert!(other.groups_without_version().is_empty());
    // The same entry from a node without versions does not take the version away.
    other.upsert(unversioned, now);
    assert!(other.groups_without_version().is_empty());
    assert_eq!(other.wanted_digests(&regions(), &north), own);
}

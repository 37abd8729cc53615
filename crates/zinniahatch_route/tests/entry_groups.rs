//! Comparison of replica entries by digests of groups.

mod common;

use common::entry;
use common::regions;
use common::table_of;
use zinniahatch_base::prelude::*;
use zinniahatch_route::ENTRY_GROUPS;
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

//! Replicas that may have become cold without having said so.

mod common;

use common::entry;
use zinniahatch_base::prelude::*;
use zinniahatch_route::ReplicaEntry;
use zinniahatch_route::ReplicaTable;

const REVISION: Revision = 20;

/// Returns a table with a replica in each of two data centres, the first of which is back in use.
fn table_back_in_use(now: Instant) -> ReplicaTable {
    let mut table = ReplicaTable::default();
    table.upsert(entry("r", "a"), now);
    table.upsert(entry("other", "b"), now);
    assert_eq!(
        table.doubt_warmth(&"a".into(), |_| true, REVISION.into(), now),
        1
    );
    table
}

fn is_cold(table: &ReplicaTable, id: &str, now: Instant) -> bool {
    table.get(id).is_some_and(|state| state.is_cold(now))
}

/// Guards against replicas that count as warm because nobody has heard of them since their data centre
/// was evacuated.
#[test]
fn doubt_warmth_until_time_has_passed() {
    let now = Instant::now();
    let table = table_back_in_use(now);
    assert!(is_cold(&table, "r", now));
    assert!(!is_cold(&table, "other", now));
    assert!(is_cold(&table, "r", now + Duration::from_secs(3)));
    assert!(!is_cold(&table, "r", now + Duration::from_secs(5)));
}

#[test]
fn doubt_warmth_without_warm_up() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(entry("r", "a"), now);
    assert_eq!(
        table.doubt_warmth(&"a".into(), |_| false, REVISION.into(), now),
        0
    );
    assert!(!is_cold(&table, "r", now));
}

#[test]
fn doubt_warmth_ends_with_later_entry() {
    let now = Instant::now();
    let mut table = table_back_in_use(now);
    let written_at = |revision: Revision| ReplicaEntry {
        revision: revision.into(),
        ..entry("r", "a")
    };
    table.upsert(written_at(REVISION - 1), now);
    assert!(is_cold(&table, "r", now));
    table.upsert(written_at(REVISION + 1), now);
    assert!(!is_cold(&table, "r", now));
}

#[test]
fn doubt_warmth_ends_with_health_response() {
    let before = Instant::now();
    let now = before + Duration::from_millis(1);
    let mut table = table_back_in_use(now);
    let incarnation = entry("r", "a").incarnation();
    table.note_warm(&incarnation, before);
    assert!(is_cold(&table, "r", now));
    table.note_warm(&incarnation, now);
    assert!(!is_cold(&table, "r", now));
}

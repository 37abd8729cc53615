//! Replicas that restart under the same id, and stores that are restored from an older backup.

mod common;

use common::entry;
use common::prompt;
use test_case::test_case;
use zinniahatch_base::prelude::*;
use zinniahatch_route::CachedPrefix;
use zinniahatch_route::EntryChange;
use zinniahatch_route::InFlightWork;
use zinniahatch_route::LeaveReason;
use zinniahatch_route::RESTORE_HOLD;
use zinniahatch_route::ReplicaEntry;
use zinniahatch_route::ReplicaIncarnation;
use zinniahatch_route::ReplicaTable;

const WORK: InFlightWork = InFlightWork {
    requests: 1,
    urgent_requests: 0,
    tokens: 500,
    urgent_tokens: 0,
};
const CAPACITY: u64 = 100_000;

fn incarnation_entry(started_ms: u64, revision: Revision) -> ReplicaEntry {
    ReplicaEntry {
        started_ms,
        revision: revision.into(),
        ..entry("r", "a")
    }
}

/// Guards against a replica that drains, restarts under its id and never gets requests again,
/// because its two incarnations count as one and a leaving notice is never withdrawn.
#[test]
fn upsert_restarted_after_drain() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(incarnation_entry(1, 10), now);
    table.upsert(
        ReplicaEntry {
            leaving: true,
            ..incarnation_entry(1, 11)
        },
        now,
    );
    let change = table.upsert(incarnation_entry(2, 12), now);
    assert_eq!(change, EntryChange::Restarted(entry("r", "a").address));
    assert_eq!(table.get("r").and_then(|state| state.leaving), None);
}

/// Guards against in-flight work and cached prefixes that outlive the incarnation of which they
/// were learned: a replica crashes, restarts under its id before its entry expires, and nodes count
/// lost requests and place sessions there for prompts that it no longer caches.
#[test]
fn upsert_restarted_discards_previous_state() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(incarnation_entry(1, 10), now);
    let size = prompt(1, 1);
    table.note_sent("r", 7, &size, WORK, CAPACITY, now);
    let peer = tag_of("n2@1");
    let previous_tag = table.get("r").map(|state| state.tag).unwrap_or_default();
    table.apply_peer_work(peer, 1, &[(previous_tag, WORK)], now);
    if let Some(state) = table.get_mut("r") {
        state.health.note_unreachable(now);
        state.note_latency(Duration::from_millis(10), Duration::from_millis(80));
    }
    table.upsert(incarnation_entry(2, 11), now);

    // Late updates on the previous incarnation do not change this one.
    table.apply_peer_work(peer, 2, &[(previous_tag, WORK)], now);
    let prefix = CachedPrefix {
        replica: incarnation_entry(1, 10).incarnation().tag(),
        parts: size.parts.clone(),
    };
    table.apply_cached_prefixes(&[prefix], |_| CAPACITY);
    table.note_sent("r", 8, &prompt(2, 2), WORK, CAPACITY, now);
    table.note_ended("r", 7, WORK, false);
    let state = table.get("r").expect("the replica is known");
    assert_eq!(state.total_work(now), WORK);
    assert_eq!(state.prefix_cache.cached_prefix(&size.parts[1..]), 0);
    assert!(!state.health.is_suspect(now));
    assert!((state.slowness - 1.0).abs() < f64::EPSILON);
    assert!(table.replica_for_ticket("r", 7).is_none());
}

/// Guards against late updates on the previous incarnation that end the next one.
#[test]
fn upsert_restarted_ignores_late_updates() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(incarnation_entry(1, 10), now);
    table.upsert(incarnation_entry(2, 12), now);
    table.remove_entry("r", 11.into(), now);
    assert_eq!(
        table.upsert(incarnation_entry(1, 10), now),
        EntryChange::None
    );
    let state = table.get("r").expect("the replica is known");
    assert_eq!((state.entry.started_ms, state.leaving), (2, None));
}

/// Guards against a peer's report of a removed incarnation that ends the next one, which the node
/// knows already.
#[test]
fn merge_peer_snapshot_other_incarnation_removed() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(incarnation_entry(2, 12), now);
    let removed = |started_ms| ReplicaIncarnation {
        id: "r".into(),
        started_ms,
    };
    table.merge_peer_snapshot(Vec::new(), &[removed(1)], now);
    assert_eq!(table.get("r").and_then(|state| state.leaving), None);
    table.merge_peer_snapshot(Vec::new(), &[removed(2)], now);
    let reason = table.get("r").and_then(|state| state.leaving);
    assert_eq!(reason, Some(LeaveReason::EntryGone));
}

/// Guards against a node without the store that saw one incarnation end and ignores a peer's report
/// of the next one.
#[test]
fn merge_peer_snapshot_next_incarnation() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(incarnation_entry(1, 10), now);
    table.remove_entry("r", 11.into(), now);
    table.tick(now);
    table.note_store_failure(now);
    table.merge_peer_snapshot(vec![incarnation_entry(1, 10)], &[], now);
    assert!(table.get("r").is_none());
    table.merge_peer_snapshot(vec![incarnation_entry(2, 12)], &[], now);
    assert_eq!(table.get("r").map(|state| state.entry.started_ms), Some(2));
}

/// Guards against the failed probe of a previous incarnation that marks the next one as suspect: a
/// replica crashed and restarted within the half second that the probe waited, and got no requests
/// for 1.5 s.
#[test]
fn note_probe_other_incarnation() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(incarnation_entry(2, 12), now);
    table.note_probe(&incarnation_entry(1, 10).incarnation(), false, now);
    let suspect = |table: &ReplicaTable| table.get("r").map(|state| state.health.is_suspect(now));
    assert_eq!(suspect(&table), Some(false));
    table.note_probe(&incarnation_entry(2, 12).incarnation(), false, now);
    assert_eq!(suspect(&table), Some(true));
    table.note_probe(&incarnation_entry(1, 10).incarnation(), true, now);
    assert_eq!(
        suspect(&table),
        Some(true),
        "a successful probe of the earlier incarnation does not clear it either"
    );
    table.note_probe(&incarnation_entry(2, 12).incarnation(), true, now);
    assert_eq!(suspect(&table), Some(false));
}

fn entry_in_era(started_ms: u64, era: u64, number: u64) -> ReplicaEntry {
    ReplicaEntry {
        revision: StoreRevision { era, number },
        ..incarnation_entry(started_ms, number)
    }
}

/// Guards against entries that are dropped as outdated after a restore of the store from an older
/// backup, where revisions are lower than before: a healthy replica that wrote its entry again got
/// no requests.
#[test]
fn upsert_later_era() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(entry_in_era(1, 0, 500), now);
    let mut leaving_entry = entry_in_era(1, 1, 20);
    leaving_entry.leaving = true;
    table.upsert(leaving_entry, now);
    let state = table.get("r").expect("the replica is known");
    assert!(state.leaving.is_some());
    // Updates of a node that has not read the store since the restore.
    table.remove_entry(
        "r",
        StoreRevision {
            era: 0,
            number: 600,
        },
        now,
    );
    assert_eq!(table.get("r").map(|state| state.removed_at.era), Some(0));
    table.upsert(entry_in_era(2, 0, 700), now);
    assert_eq!(table.get("r").map(|state| state.entry.started_ms), Some(1));
}

/// Guards against requests to an ended replica whose entry a restored backup still contains. Only a
/// running replica writes its entry again.
#[test]
fn apply_listing_ended_replica_in_restored_store() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(entry_in_era(1, 0, 10), now);
    table.remove_entry("r", StoreRevision { era: 0, number: 12 }, now);
    table.tick(now);
    assert!(table.get("r").is_none());
    table.apply_listing(
        vec![entry_in_era(1, 1, 9)],
        StoreRevision { era: 1, number: 9 },
        now,
    );
    table.apply_listing(
        vec![entry_in_era(1, 1, 9)],
        StoreRevision { era: 1, number: 11 },
        now,
    );
    assert!(table.get("r").is_none());
    table.upsert(entry_in_era(1, 1, 13), now);
    assert!(table.get("r").is_some());
}

/// Guards against an evacuation that a restore from an older backup undoes at once. Nothing is sent
/// to the data centre until the operators had time to request the evacuation again; after that the
/// store decides.
#[test]
fn set_evacuated_restored_store_keeps_evacuation() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    let (none, data_centre) = (BTreeSet::new(), "west-a".into());
    table.note_evacuation(&data_centre, true, StoreRevision { era: 0, number: 40 });
    table.note_store_restored(now);
    let restored = StoreRevision { era: 1, number: 30 };
    assert!(table.set_evacuated(&none, restored, now).is_empty());
    assert!(table.evacuated().contains("west-a"));
    let later = now + RESTORE_HOLD;
    assert_eq!(table.set_evacuated(&none, restored, later), [data_centre]);
    assert!(table.evacuated().is_empty());
}

/// Guards against the end of an evacuation that is ignored because, after a restore, its revision
/// is lower than that of the request.
#[test]
fn note_evacuation_end_in_later_era() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    let data_centre = "west-a".into();
    table.note_evacuation(&data_centre, true, StoreRevision { era: 0, number: 40 });
    table.note_store_restored(now);
    assert!(table.note_evacuation(&data_centre, false, StoreRevision { era: 1, number: 31 }));
    assert!(!table.note_evacuation(&data_centre, true, StoreRevision { era: 0, number: 50 }));
    assert!(table.evacuated().is_empty());
}

/// Guards against rows that are never removed, of replicas that announced that they leave and then
/// ended.
#[test]
fn tick_removes_drained_replica() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(incarnation_entry(1, 10), now);
    let drained = ReplicaEntry {
        leaving: true,
        ..incarnation_entry(1, 11)
    };
    table.upsert(drained, now);
    assert_eq!(table.tick(now).len(), 0);
    table.remove_entry("r", 12.into(), now);
    assert_eq!(table.tick(now).len(), 1);
    assert_eq!(table.rows().count(), 0);
}

/// Guards against a leaving notice that is undone when the entry of the same incarnation expires
/// and is written again.
#[test_case(1, Some(LeaveReason::Draining); "same_life")]
#[test_case(2, None; "next_life")]
fn upsert_after_drained_entry_expired(started_ms: u64, expected: Option<LeaveReason>) {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(incarnation_entry(1, 10), now);
    let drained = ReplicaEntry {
        leaving: true,
        ..incarnation_entry(1, 11)
    };
    table.upsert(drained, now);
    table.remove_entry("r", 12.into(), now);
    table.tick(now);
    table.upsert(incarnation_entry(started_ms, 13), now);
    assert_eq!(table.get("r").and_then(|state| state.leaving), expected);
}

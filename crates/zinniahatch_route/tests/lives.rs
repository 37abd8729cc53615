//! A replica that starts again under its id.

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

fn life(started_ms: u64, revision: Revision) -> ReplicaEntry {
    ReplicaEntry {
        started_ms,
        revision: revision.into(),
        ..entry("r", "a")
    }
}

/// A replica said that it was leaving, ended and started again under its id. It was back in the store and got
/// nothing for good, since what leaves never takes that back. Cause: its two lives counted as one.
#[test]
fn upsert_drained_and_reborn() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(life(1, 10), now);
    table.upsert(
        ReplicaEntry {
            leaving: true,
            ..life(1, 11)
        },
        now,
    );
    let change = table.upsert(life(2, 12), now);
    assert_eq!(change, EntryChange::Restarted(entry("r", "a").address));
    assert_eq!(table.get("r").and_then(|belief| belief.leaving), None);
}

/// A replica crashed with requests open and prompts kept, and was back under its id before its entry
/// lapsed. What had been open stayed on its books, and nodes placed sessions there for prompts that it had
/// lost. Cause: nothing that was learned was tied to the life that it was learned of.
#[test]
fn upsert_reborn_holds_nothing_of_before() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(life(1, 10), now);
    let size = prompt(1, 1);
    table.note_sent("r", 7, &size, WORK, CAPACITY, now);
    let peer = tag_of("n2@1");
    let before = table.get("r").map(|belief| belief.tag).unwrap_or_default();
    table.apply_peer_work(peer, 1, &[(before, WORK)], now);
    if let Some(belief) = table.get_mut("r") {
        belief.health.note_unreachable(now);
        belief.note_latency(Duration::from_millis(10), Duration::from_millis(80));
    }
    table.upsert(life(2, 11), now);

    // What still comes of the life before changes nothing of this one.
    table.apply_peer_work(peer, 2, &[(before, WORK)], now);
    let read = CachedPrefix {
        replica: life(1, 10).incarnation().tag(),
        parts: size.parts.clone(),
    };
    table.apply_cached_prefixes(&[read], |_| CAPACITY);
    table.note_sent("r", 8, &prompt(2, 2), WORK, CAPACITY, now);
    table.note_ended("r", 7, WORK, false);
    let belief = table.get("r").expect("the replica is known");
    assert_eq!(belief.total_work(now), WORK);
    assert_eq!(belief.prefix_cache.cached_prefix(&size.parts[1..]), 0);
    assert!(!belief.health.is_suspect(now));
    assert!((belief.slowness - 1.0).abs() < f64::EPSILON);
    assert!(table.replica_for_ticket("r", 7).is_none());
}

/// News of the earlier life that was on its way when the next one registered must not end that one.
#[test]
fn upsert_reborn_late_news_of_before() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(life(1, 10), now);
    table.upsert(life(2, 12), now);
    table.remove_entry("r", 11.into(), now);
    assert_eq!(table.upsert(life(1, 10), now), EntryChange::None);
    let belief = table.get("r").expect("the replica is known");
    assert_eq!((belief.entry.started_ms, belief.leaving), (2, None));
}

/// A node that the store does not serve learns from another that the first life is gone; the second life,
/// which it knows, goes on.
#[test]
fn learn_gone_of_another_life() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(life(2, 12), now);
    let gone = |started_ms| ReplicaIncarnation {
        id: "r".into(),
        started_ms,
    };
    table.merge_peer_snapshot(Vec::new(), &[gone(1)], now);
    assert_eq!(table.get("r").and_then(|belief| belief.leaving), None);
    table.merge_peer_snapshot(Vec::new(), &[gone(2)], now);
    let reason = table.get("r").and_then(|belief| belief.leaving);
    assert_eq!(reason, Some(LeaveReason::EntryGone));
}

/// The same the other way round: the node saw the first life end and learns of the second.
#[test]
fn learn_next_life_of_one_that_ended() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(life(1, 10), now);
    table.remove_entry("r", 11.into(), now);
    table.tick(now);
    table.note_store_failure(now);
    table.merge_peer_snapshot(vec![life(1, 10)], &[], now);
    assert!(table.get("r").is_none());
    table.merge_peer_snapshot(vec![life(2, 12)], &[], now);
    assert_eq!(
        table.get("r").map(|belief| belief.entry.started_ms),
        Some(2)
    );
}

/// A replica was probed just before it crashed and was back under its id within the half second that the
/// probe waited; its failure then kept requests from the new life for a second and a half.
#[test]
fn note_probe_of_another_life() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(life(2, 12), now);
    table.note_probe(&life(1, 10).incarnation(), false, now);
    let suspect = |table: &ReplicaTable| table.get("r").map(|belief| belief.health.is_suspect(now));
    assert_eq!(suspect(&table), Some(false));
    table.note_probe(&life(2, 12).incarnation(), false, now);
    assert_eq!(suspect(&table), Some(true));
    table.note_probe(&life(1, 10).incarnation(), true, now);
    assert_eq!(
        suspect(&table),
        Some(true),
        "nor does the earlier life clear it"
    );
    table.note_probe(&life(2, 12).incarnation(), true, now);
    assert_eq!(suspect(&table), Some(false));
}

fn written(started_ms: u64, era: u64, number: u64) -> ReplicaEntry {
    ReplicaEntry {
        revision: StoreRevision { era, number },
        ..life(started_ms, number)
    }
}

/// The store came back from a copy, at lower revisions. A replica writes its entry again, with one that is lower than
/// all that were seen before; it was dropped as old news, and a sound replica got no requests.
#[test]
fn upsert_believes_a_later_era() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(written(1, 0, 500), now);
    let mut leaves = written(1, 1, 20);
    leaves.leaving = true;
    table.upsert(leaves, now);
    let belief = table.get("r").expect("it is known");
    assert!(belief.leaving.is_some());
    // What a node tells that has not met the store since.
    table.remove_entry(
        "r",
        StoreRevision {
            era: 0,
            number: 600,
        },
        now,
    );
    assert_eq!(table.get("r").map(|belief| belief.removed_at.era), Some(0));
    table.upsert(written(2, 0, 700), now);
    assert_eq!(
        table.get("r").map(|belief| belief.entry.started_ms),
        Some(1)
    );
}

/// A replica had ended, and the copy still names it. It writes nothing, and must not get requests; one that lives
/// writes its entry again.
#[test]
fn upsert_takes_no_dead_replica_from_a_copy() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(written(1, 0, 10), now);
    table.remove_entry("r", StoreRevision { era: 0, number: 12 }, now);
    table.tick(now);
    assert!(table.get("r").is_none());
    table.apply_listing(
        vec![written(1, 1, 9)],
        StoreRevision { era: 1, number: 9 },
        now,
    );
    table.apply_listing(
        vec![written(1, 1, 9)],
        StoreRevision { era: 1, number: 11 },
        now,
    );
    assert!(table.get("r").is_none());
    table.upsert(written(1, 1, 13), now);
    assert!(table.get("r").is_some());
}

/// A data centre is evacuated, and the store comes back from a copy that is older than the request. Until the
/// operators have had time to write it again, nothing is sent there; then what the store says counts.
#[test]
fn evacuation_outlives_an_older_copy() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    let (none, place) = (BTreeSet::new(), "west-a".into());
    table.note_evacuation(&place, true, StoreRevision { era: 0, number: 40 });
    table.note_store_restored(now);
    let copy = StoreRevision { era: 1, number: 30 };
    assert!(table.set_evacuated(&none, copy, now).is_empty());
    assert!(table.evacuated().contains("west-a"));
    let later = now + RESTORE_HOLD;
    assert_eq!(table.set_evacuated(&none, copy, later), [place]);
    assert!(table.evacuated().is_empty());
}

/// The operators take a data centre back just after the return; its end is believed at once, though its revision is
/// lower than that of the request.
#[test]
fn evacuation_ends_in_a_later_era() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    let place = "west-a".into();
    table.note_evacuation(&place, true, StoreRevision { era: 0, number: 40 });
    table.note_store_restored(now);
    assert!(table.note_evacuation(&place, false, StoreRevision { era: 1, number: 31 }));
    assert!(!table.note_evacuation(&place, true, StoreRevision { era: 0, number: 50 }));
    assert!(table.evacuated().is_empty());
}

/// Guards against rows that stay for good of replicas that said that they leave and then left.
#[test]
fn tick_drops_what_drained_and_left() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(life(1, 10), now);
    let drained = ReplicaEntry {
        leaving: true,
        ..life(1, 11)
    };
    table.upsert(drained, now);
    assert_eq!(table.tick(now).len(), 0);
    table.remove_entry("r", 12.into(), now);
    assert_eq!(table.tick(now).len(), 1);
    assert_eq!(table.rows().count(), 0);
}

/// Guards against a leaving that is undone where the entry of the same life lapses and is written again.
#[test_case(1, Some(LeaveReason::Draining); "same_life")]
#[test_case(2, None; "next_life")]
fn upsert_after_drained_entry_lapsed(started_ms: u64, expected: Option<LeaveReason>) {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(life(1, 10), now);
    let drained = ReplicaEntry {
        leaving: true,
        ..life(1, 11)
    };
    table.upsert(drained, now);
    table.remove_entry("r", 12.into(), now);
    table.tick(now);
    table.upsert(life(started_ms, 13), now);
    assert_eq!(table.get("r").and_then(|belief| belief.leaving), expected);
}

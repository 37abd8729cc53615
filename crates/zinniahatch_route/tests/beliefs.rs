//! What a node believes of replicas when entries lapse, replicas go silent, answers fail.

mod common;

use common::entry;
use common::table;
use test_case::test_case;
use zinniahatch_base::prelude::*;
use zinniahatch_route::EntryChange;
use zinniahatch_route::PrefixCache;
use zinniahatch_route::PromptPart;
use zinniahatch_route::ReplicaHealth;

/// The store was away for some seconds, all entries of replicas lapsed, and callers were refused
/// although every replica lived. Entries that vanish around an outage count for a little longer.
#[test]
fn vanish_around_an_outage() {
    let now = Instant::now();
    let mut table = table(&["r1"], now);
    table.note_store_failure(now);
    table.remove_entry("r1", 0.into(), now + Duration::from_secs(1));
    assert_eq!(table.get("r1").unwrap().leaving, None);
    table.tick(now + Duration::from_secs(3));
    assert!(table.get("r1").is_some(), "within the grace");
    table.tick(now + Duration::from_millis(3_600));
    assert!(table.get("r1").is_none(), "it did not come back");
}

#[test]
fn vanish_and_return() {
    let now = Instant::now();
    let mut table = table(&["r1"], now);
    table.note_store_failure(now);
    table.remove_entry("r1", 0.into(), now);
    let change = table.upsert(entry("r1", "a"), now + Duration::from_secs(2));
    assert_eq!(change, EntryChange::Updated);
    table.tick(now + Duration::from_secs(9));
    assert_eq!(table.get("r1").unwrap().leaving, None);
}

#[test]
fn vanish_on_a_calm_day() {
    let now = Instant::now();
    let mut table = table(&["r1"], now);
    table.remove_entry("r1", 0.into(), now);
    assert!(table.get("r1").unwrap().leaving.is_some());
}

/// A replica that said it was leaving and then lost its entry in an outage looked sound again when
/// a late copy of its first entry arrived. What has been acknowledged as leaving stays so.
#[test]
fn update_keeps_leaving() {
    let now = Instant::now();
    let mut table = table(&["r1"], now);
    let mut leaving = entry("r1", "a");
    leaving.leaving = true;
    table.upsert(leaving, now);
    table.upsert(entry("r1", "a"), now);
    assert!(table.get("r1").unwrap().leaving.is_some());
}

/// A replica left, this node dropped it, and five seconds later sent requests there again: another
/// node that was behind had told of the replica in a snapshot. What has left does not come back.
#[test]
fn learn_does_not_revive_what_left() {
    let now = Instant::now();
    let mut table = table(&["r1", "r2"], now);
    table.remove_entry("r1", 0.into(), now);
    table.tick(now);
    assert!(table.get("r1").is_none());
    table.note_store_failure(now);
    table.merge_peer_snapshot(vec![entry("r1", "a")], &[], now + Duration::from_secs(1));
    assert!(table.get("r1").is_none());
}

#[test]
fn learn_only_while_blind() {
    let now = Instant::now();
    let mut table = table(&["r1"], now);
    table.merge_peer_snapshot(vec![entry("r2", "a")], &[], now);
    assert!(table.get("r2").is_none(), "this node has news of its own");
    let mut leaving = entry("r1", "a");
    leaving.leaving = true;
    table.merge_peer_snapshot(vec![leaving], &[], now);
    assert!(table.get("r1").unwrap().leaving.is_some());
    table.note_store_failure(now);
    table.merge_peer_snapshot(vec![entry("r2", "a")], &[], now);
    assert!(table.get("r2").is_some());
    table.merge_peer_snapshot(Vec::new(), &[entry("r2", "a").incarnation()], now);
    assert!(
        table.get("r2").unwrap().leaving.is_some(),
        "it left elsewhere"
    );
}

#[test_case(0, false; "no_failure")]
#[test_case(1, false; "one_failure_is_no_verdict")]
#[test_case(12, true; "many_failures")]
fn failure_share_after(failures: u32, grey: bool) {
    let now = Instant::now();
    let mut record = ReplicaHealth::new(now);
    for _ in 0..failures {
        record.note_failure(now);
    }
    assert_eq!(record.failure_rate(now) > 0.5, grey);
    assert!(
        record.failure_rate(now + Duration::from_secs(20)) < 0.1,
        "it fades"
    );
}

/// A replica went dark: its connections stayed open and nothing came. Requests were sent there
/// until their callers gave up. Silence while requests are open makes a suspect.
#[test]
fn is_suspect_when_silent() {
    let now = Instant::now();
    let mut record = ReplicaHealth::new(now);
    assert!(
        !record.is_suspect(now + Duration::from_secs(60)),
        "idle is not silent"
    );
    record.set_oldest_in_flight(Some(now), Duration::ZERO);
    assert!(!record.is_suspect(now + Duration::from_millis(500)));
    assert!(record.is_suspect(now + Duration::from_secs(1)));
    record.set_oldest_in_flight(Some(now), Duration::from_secs(2));
    assert!(
        !record.is_suspect(now + Duration::from_secs(1)),
        "it reads a long prompt"
    );
    record.set_oldest_in_flight(Some(now), Duration::ZERO);
    record.note_bytes(now + Duration::from_millis(900));
    assert!(!record.is_suspect(now + Duration::from_secs(1)));
}

#[test]
fn leading_counts_from_the_front() {
    let part = |tag, tokens| PromptPart { tag, tokens };
    let mut kept = PrefixCache::default();
    kept.record(&[part(1, 100), part(2, 100)], 1_000);
    assert_eq!(
        kept.cached_prefix(&[part(1, 100), part(2, 100), part(3, 9)]),
        2
    );
    assert_eq!(kept.cached_prefix(&[part(9, 100), part(2, 100)]), 0);
    kept.record(&[part(4, 950)], 1_000);
    assert_eq!(kept.cached_prefix(&[part(1, 100)]), 0, "the oldest yields");
    assert_eq!(kept.cached_prefix(&[part(4, 950)]), 1);
}

/// A node heard from another one that a replica had left, and its own watch brought the older entry a
/// moment later. The replica came back to life and got requests until the next news.
#[test]
fn upsert_ignores_what_is_older_than_a_removal() {
    let now = Instant::now();
    let mut table = table(&["r1"], now);
    table.remove_entry("r1", 9.into(), now);
    let mut old = entry("r1", "a");
    old.revision = 5.into();
    assert_eq!(table.upsert(old.clone(), now), EntryChange::None);
    table.tick(now);
    assert_eq!(table.upsert(old.clone(), now), EntryChange::None);
    assert!(table.get("r1").is_none());
    old.revision = 10.into();
    assert_eq!(table.upsert(old, now), EntryChange::Updated);
}

/// The news that a replica is cold for two seconds came a second time, two seconds later, from the own
/// watch. The replica was spared for four seconds, and its region refused callers.
#[test]
fn update_counts_cold_time_from_the_first_news() {
    let now = Instant::now();
    let mut table = table(&["r1"], now);
    let mut cold = entry("r1", "a");
    cold.revision = 5.into();
    cold.cold_for = Duration::from_secs(2);
    table.upsert(cold.clone(), now);
    let later = now + Duration::from_millis(1_900);
    table.upsert(cold, later);
    let warm = now + Duration::from_millis(2_100);
    assert!(table.get("r1").unwrap().is_cold(later));
    assert!(!table.get("r1").unwrap().is_cold(warm));
}

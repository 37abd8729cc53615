//! State of replicas on a node when entries expire, replicas stop responding or requests fail.

mod common;

use common::entry;
use common::table;
use test_case::test_case;
use zinniahatch_base::prelude::*;
use zinniahatch_route::EntryChange;
use zinniahatch_route::InFlightWork;
use zinniahatch_route::PrefixCache;
use zinniahatch_route::PromptPart;
use zinniahatch_route::PromptSize;
use zinniahatch_route::ReplicaHealth;
use zinniahatch_route::ReplicaTable;

/// Guards against an outage of the store for some seconds in which all entries expire and callers
/// are refused although every replica runs. Entries removed around an outage stay valid for a grace
/// period.
#[test]
fn remove_entry_during_outage() {
    let now = Instant::now();
    let mut table = table(&["r1"], now);
    table.note_store_failure(now);
    table.remove_entry("r1", 0.into(), now + Duration::from_secs(1));
    assert_eq!(table.get("r1").unwrap().leaving, None);
    table.tick(now + Duration::from_secs(3));
    assert!(table.get("r1").is_some(), "within the grace period");
    table.tick(now + Duration::from_millis(3_600));
    assert!(table.get("r1").is_none(), "the grace period is over");
}

/// Guards against nodes that stop reading the store for their region because it discarded its
/// history: no reader was left, and each node listed all replicas itself.
#[test]
fn lost_history_is_no_failure_of_the_store() {
    let now = Instant::now();
    let mut table = table(&["r1"], now);
    table.note_history_lost(now);
    assert!(!table.store_failed_recently(now));
    table.remove_entry("r1", 0.into(), now);
    assert_eq!(table.get("r1").unwrap().leaving, None);
    table.tick(now + Duration::from_millis(2_600));
    assert!(table.get("r1").is_none(), "the grace period is over");
}

#[test]
fn remove_entry_then_return() {
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
fn remove_entry_without_outage() {
    let now = Instant::now();
    let mut table = table(&["r1"], now);
    table.remove_entry("r1", 0.into(), now);
    assert!(table.get("r1").unwrap().leaving.is_some());
}

/// Guards against a leaving mark that a late copy of an earlier entry undoes, after an outage in
/// which the replica lost its entry.
#[test]
fn upsert_keeps_leaving() {
    let now = Instant::now();
    let mut table = table(&["r1"], now);
    let mut leaving = entry("r1", "a");
    leaving.leaving = true;
    table.upsert(leaving, now);
    table.upsert(entry("r1", "a"), now);
    assert!(table.get("r1").unwrap().leaving.is_some());
}

/// Guards against a removed replica that comes back through the snapshot of a peer with older
/// state; it was sent requests again 5 s after its removal.
#[test]
fn merge_peer_snapshot_keeps_removal() {
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
fn merge_peer_snapshot_only_during_outage() {
    let now = Instant::now();
    let mut table = table(&["r1"], now);
    table.merge_peer_snapshot(vec![entry("r2", "a")], &[], now);
    assert!(table.get("r2").is_none(), "this node has the store itself");
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
        "a peer reported its removal"
    );
}

#[test_case(0, false; "no_failure")]
#[test_case(1, false; "one_failure_is_no_verdict")]
#[test_case(12, true; "many_failures")]
fn failure_rate_after(failures: u32, failing: bool) {
    let now = Instant::now();
    let mut health = ReplicaHealth::new(now);
    for _ in 0..failures {
        health.note_failure(now);
    }
    assert_eq!(health.failure_rate(now) > 0.5, failing);
    assert!(
        health.failure_rate(now + Duration::from_secs(20)) < 0.1,
        "failures decay"
    );
}

/// Guards against requests to a replica whose connections stay open while nothing arrives, until
/// their callers give up. A replica without any bytes while requests are in flight is suspect.
#[test]
fn is_suspect_without_bytes() {
    let now = Instant::now();
    let mut health = ReplicaHealth::new(now);
    assert!(
        !health.is_suspect(now + Duration::from_secs(60)),
        "nothing is in flight"
    );
    health.set_oldest_in_flight(Some(now), Duration::ZERO);
    assert!(!health.is_suspect(now + Duration::from_millis(500)));
    assert!(health.is_suspect(now + Duration::from_secs(1)));
    health.set_oldest_in_flight(Some(now), Duration::from_secs(2));
    assert!(
        !health.is_suspect(now + Duration::from_secs(1)),
        "prefill of a long prompt"
    );
    health.set_oldest_in_flight(Some(now), Duration::ZERO);
    health.note_bytes(now + Duration::from_millis(900));
    assert!(!health.is_suspect(now + Duration::from_secs(1)));
}

/// Guards against replicas that go on after a silence and stay out of use because probes had no answer
/// during it.
#[test_case(100, 300; "bytes_after_the_probe")]
#[test_case(300, 100; "bytes_before_its_time_is_over")]
fn bytes_refute_unanswered_probe(verdict: u64, bytes: u64) {
    let sent = Instant::now();
    let after = |millis| sent + Duration::from_millis(millis);
    let mut health = ReplicaHealth::new(sent);
    for millis in [100, 300] {
        if millis == bytes {
            health.note_bytes(after(millis));
        }
        if millis == verdict {
            health.note_unanswered_probe(sent, after(millis));
            assert_eq!(health.is_suspect(after(millis)), bytes > verdict);
        }
    }
    assert!(!health.is_suspect(after(400)));
    health.note_unreachable(after(500));
    health.note_bytes(after(600));
    assert!(health.is_suspect(after(700)), "it refuses connections");
}

/// Guards against a request that waits on a dead connection as if it were queued at its replica, because
/// an answered probe was taken for a response to another request.
#[test]
fn answered_probe_is_no_response() {
    let start = Instant::now();
    let later = start + Duration::from_secs(1);
    let mut health = ReplicaHealth::new(start);
    health.note_unanswered_probe(start, start);
    health.note_probe_success(later);
    assert!(!health.is_suspect(later));
    assert_eq!(health.last_heard(), later);
    assert_eq!(health.last_responded(), start);
    health.note_success(later);
    assert_eq!(health.last_responded(), later);
}

/// Guards against a probe whose time passes while the node itself stands still, and which keeps a sound
/// replica out of use afterwards.
#[test_case(false; "before_the_first_tick")]
#[test_case(true; "after_the_first_tick")]
fn pause_of_node_is_no_unanswered_probe(ticked: bool) {
    let sent = Instant::now();
    let mut health = ReplicaHealth::new(sent);
    health.tick(sent);
    let resumed = sent + Duration::from_secs(3);
    if ticked {
        health.tick(resumed);
    }
    health.note_unanswered_probe(sent, resumed);
    assert!(!health.is_suspect(resumed));
    health.tick(resumed);
    let later = resumed + Duration::from_millis(600);
    health.note_unanswered_probe(resumed, later);
    assert!(
        health.is_suspect(later),
        "a probe sent after the pause counts"
    );
}

/// Guards against a node that takes its own pause for a silence of its replicas and refuses requests
/// until it has read what they sent meanwhile.
#[test_case(None; "before_the_first_tick")]
#[test_case(Some(0); "after_the_first_tick")]
#[test_case(Some(800); "until_a_silence_has_passed")]
fn pause_of_node_is_no_silence(ticking_for: Option<u64>) {
    const STEP: u64 = 200;
    let start = Instant::now();
    let mut table = table(&["r1"], start);
    let work = InFlightWork {
        requests: 1,
        ..InFlightWork::default()
    };
    table.note_sent("r1", 1, &PromptSize::default(), work, 0, start);
    table.tick(start);
    let resumed = start + Duration::from_secs(3);
    let ticks = ticking_for.map_or(0, |time| time / STEP + 1);
    let mut now = resumed;
    for tick in 0..ticks {
        now = resumed + Duration::from_millis(tick * STEP);
        table.tick(now);
    }
    let is_suspect = |table: &ReplicaTable, now| table.get("r1").unwrap().health.is_suspect(now);
    assert!(!is_suspect(&table, now));
    for tick in ticks..=ticks + 5 {
        now = resumed + Duration::from_millis(tick * STEP);
        table.tick(now);
    }
    assert!(is_suspect(&table, now), "silence counts again");
}

#[test]
fn cached_prefix_counts_from_first_part() {
    let part = |tag, tokens| PromptPart { tag, tokens };
    let mut cache = PrefixCache::default();
    cache.record(&[part(1, 100), part(2, 100)], 1_000);
    assert_eq!(
        cache.cached_prefix(&[part(1, 100), part(2, 100), part(3, 9)]),
        2
    );
    assert_eq!(cache.cached_prefix(&[part(9, 100), part(2, 100)]), 0);
    cache.record(&[part(4, 950)], 1_000);
    assert_eq!(
        cache.cached_prefix(&[part(1, 100)]),
        0,
        "the oldest part is evicted"
    );
    assert_eq!(cache.cached_prefix(&[part(4, 950)]), 1);
}

/// Guards against an older entry that restores a removed replica: a peer reported the removal, and
/// the node's own watch then delivered the entry from before, so the replica got requests until the
/// next update.
#[test]
fn upsert_older_than_removal() {
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

/// Guards against a repeated entry that restarts the cold time: an entry with a cold time of 2 s
/// arrived again from the own watch 2 s later, the replica counted as cold for 4 s, and its region
/// refused callers.
#[test]
fn upsert_repeated_keeps_cold_time() {
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

/// Guards against a panic where replicas or other nodes report more work than a sum holds.
#[test]
fn total_work_of_countless_requests() {
    let now = Instant::now();
    let mut table = table(&["r1"], now);
    let mut state = table.get("r1").unwrap().clone();
    state.reported_load = Some((u32::MAX, 1, now));
    assert_eq!(state.total_work(now).requests, u32::MAX);
    let work = InFlightWork {
        requests: u32::MAX,
        urgent_requests: u32::MAX,
        ..InFlightWork::default()
    };
    state.peer_work.insert(1, (work, now));
    state.peer_work.insert(2, (work, now));
    assert_eq!(state.total_work(now).urgent_requests, u32::MAX);
    table.tick(now);
}

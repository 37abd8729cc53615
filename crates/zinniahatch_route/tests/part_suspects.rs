//! Suspect prompt parts: which requests are refused after replica crashes, and which updates nodes
//! exchange.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;
use test_case::test_case;
use zinniahatch_route::CrashWitness;
use zinniahatch_route::PartSuspectTable;
use zinniahatch_route::PartUpdate;
use zinniahatch_route::ScopedPart;
use zinniahatch_route::SuspectUpdateEffect;

const CALLER: u32 = 1;
const OTHER_CALLER: u32 = 2;
const SCOPE: u32 = 7;
const OTHER_SCOPE: u32 = 8;
const EVERYBODY: u64 = 1;
const CRASHING: u64 = 2;
const INNOCENT: u64 = 3;
/// How long an answer on the crashing part has been written when its replica crashes.
const PROMPT: Option<Duration> = Some(Duration::from_millis(80));
/// Time after a crash by which it counts.
const DECISION_TIME: Duration = Duration::from_millis(150);
const MAX_UPDATES: usize = 1_000;

fn part(id: u64) -> ScopedPart {
    ScopedPart { id, scope: SCOPE }
}

fn parts(ids: &[u64]) -> Vec<ScopedPart> {
    ids.iter().map(|id| part(*id)).collect()
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn witness(replica: u32, answered: Option<Duration>) -> CrashWitness {
    CrashWitness {
        replica,
        answered,
        caller: CALLER,
    }
}

/// Creates the table of a node that has been running for a while, and the time by then.
fn running_table() -> (PartSuspectTable, Instant) {
    let start = Instant::now();
    (PartSuspectTable::new(start), start + seconds(60))
}

/// Records crashes under requests with these parts and one of their own each, one per second; returns
/// the time of the last one.
fn crash(
    table: &mut PartSuspectTable,
    ids: &[u64],
    replicas: std::ops::Range<u32>,
    start: Instant,
) -> Instant {
    let mut now = start;
    for replica in replicas {
        now += seconds(1);
        let own = 700 + u64::from(replica);
        let ids: Vec<u64> = ids.iter().copied().chain([own]).collect();
        table.note_crash(&parts(&ids), witness(replica, PROMPT), now);
    }
    now
}

fn refuses_for(table: &mut PartSuspectTable, ids: &[u64], caller: u32, now: Instant) -> bool {
    table.review(&BTreeSet::new(), now);
    table.quarantine(&parts(ids), caller, now).is_some()
}

fn refuses(table: &mut PartSuspectTable, ids: &[u64], now: Instant) -> bool {
    refuses_for(table, ids, CALLER, now)
}

fn take_all(table: &mut PartSuspectTable, again: bool, now: Instant) -> Vec<PartUpdate> {
    let batch = table.take_updates(again, MAX_UPDATES, now);
    [batch.broadcast, batch.local, batch.relayed].concat()
}

#[test_case(2, false; "two_happen_to_bystanders")]
#[test_case(3, true; "three")]
#[test_case(20, true; "many")]
fn quarantined_after_crashes(crashes: u32, expected: bool) {
    let (mut table, start) = running_table();
    let now = crash(&mut table, &[CRASHING], 0..crashes, start) + DECISION_TIME;
    assert_eq!(refuses(&mut table, &[10, CRASHING, 12], now), expected);
    assert!(!refuses(&mut table, &[20, INNOCENT, 12], now));
}

/// Guards against refusing everybody for a part that the crashing requests have in common with all
/// others: an answer on it that a replica outlived clears it.
#[test]
fn lasting_answer_clears_the_shared_part() {
    let (mut table, start) = running_table();
    let mut now = start;
    for replica in 0..3 {
        now = crash(
            &mut table,
            &[EVERYBODY, CRASHING],
            replica..replica + 1,
            now,
        );
        table.note_sound(
            &parts(&[EVERYBODY, INNOCENT]),
            now + DECISION_TIME / 2,
            now + seconds(1),
        );
    }
    now += seconds(2);
    assert!(!refuses(&mut table, &[EVERYBODY, INNOCENT, 60], now));
    assert!(refuses(&mut table, &[EVERYBODY, CRASHING, 61], now));
}

/// Guards against a choice between two parts that never came apart: only requests with both are
/// refused, and the first with one of them tells which it is.
#[test_case(EVERYBODY, INNOCENT; "first_crashes")]
#[test_case(INNOCENT, EVERYBODY; "second_crashes")]
fn inseparable_parts_are_refused_together(crashing: u64, sound: u64) {
    let (mut table, start) = running_table();
    let both = [EVERYBODY, INNOCENT];
    let mut now = crash(&mut table, &both, 0..3, start) + DECISION_TIME;
    assert!(refuses(&mut table, &both, now));
    assert!(!refuses(&mut table, &[crashing, 40], now));
    assert!(!refuses(&mut table, &[sound, 41], now));
    now = crash(&mut table, &[crashing, 40], 3..4, now) + DECISION_TIME;
    assert!(refuses(&mut table, &[crashing, 42], now));
    assert!(!refuses(&mut table, &[sound, 43], now));
}

/// Guards against blaming the requests beside a deadly one, which are resumed with it on the next
/// replicas: their answers had begun at any time before the crash.
#[test]
fn crashes_of_any_age_point_to_bystanders() {
    let (mut table, start) = running_table();
    let mut now = start;
    for replica in 0..3 {
        now = crash(&mut table, &[CRASHING], replica..replica + 1, now);
        let age = [None, Some(Duration::from_millis(400)), PROMPT][replica as usize];
        table.note_crash(&parts(&[20, INNOCENT]), witness(replica, age), now);
    }
    now += DECISION_TIME;
    assert!(refuses(&mut table, &[CRASHING], now));
    assert!(!refuses(&mut table, &[20, INNOCENT], now));
}

/// Guards against blaming a part that was in flight on all replicas of a region when that was lost.
#[test]
fn crashes_at_one_moment_have_another_cause() {
    let (mut table, start) = running_table();
    for replica in 0..4 {
        table.note_crash(&parts(&[INNOCENT, 40]), witness(replica, PROMPT), start);
    }
    assert!(!refuses(&mut table, &[INNOCENT, 41], start + DECISION_TIME));
}

/// Guards against blaming a part on which a replica had been writing an answer for long.
#[test]
fn outlived_part_is_not_suspect() {
    let (mut table, start) = running_table();
    for replica in 0..3 {
        let now = start + seconds(u64::from(replica));
        table.note_crash(&parts(&[INNOCENT, 40]), witness(replica, PROMPT), now);
        table.note_crash(
            &parts(&[INNOCENT, 41]),
            witness(replica, Some(seconds(2))),
            now,
        );
    }
    assert!(!refuses(&mut table, &[INNOCENT, 42], start + seconds(3)));
}

/// A part that was sound a moment ago may crash replicas from now on: it is spared for two seconds,
/// in which a sound one would show that it still is.
#[test]
fn sound_part_turns_deadly() {
    let (mut table, start) = running_table();
    table.note_sound(&parts(&[CRASHING]), start, start + seconds(1));
    let now = crash(&mut table, &[CRASHING], 0..3, start) + DECISION_TIME;
    assert!(!refuses(&mut table, &[CRASHING], now));
    assert!(refuses(&mut table, &[CRASHING], now + seconds(2)));
}

/// Guards against blaming parts for a request that crashes replicas by itself, again and again: its
/// content is quarantined, and others with its parts go on.
#[test]
fn quarantined_request_explains_its_crashes() {
    let (mut table, start) = running_table();
    let now = crash(&mut table, &[INNOCENT], 0..4, start) + DECISION_TIME;
    let explained: BTreeSet<u32> = (0..4).collect();
    table.review(&explained, now);
    assert_eq!(table.quarantine(&parts(&[INNOCENT]), CALLER, now), None);
    let now = crash(&mut table, &[INNOCENT], 4..5, now) + DECISION_TIME;
    table.review(&explained, now);
    assert!(
        table
            .quarantine(&parts(&[12, INNOCENT]), CALLER, now)
            .is_some()
    );
}

/// Guards against a caller that has the parts of others quarantined: crashes under its requests hold
/// for it alone, and those under two callers' requests for all.
#[test]
fn one_caller_cannot_quarantine_for_others() {
    let (mut table, start) = running_table();
    let now = crash(&mut table, &[CRASHING], 0..3, start) + DECISION_TIME;
    assert!(refuses_for(&mut table, &[CRASHING], CALLER, now));
    assert!(!refuses_for(&mut table, &[CRASHING], OTHER_CALLER, now));
    let other = CrashWitness {
        caller: OTHER_CALLER,
        ..witness(3, PROMPT)
    };
    table.note_crash(&parts(&[20, CRASHING]), other, now);
    let now = now + DECISION_TIME;
    assert!(refuses_for(&mut table, &[CRASHING], OTHER_CALLER, now));
    assert!(refuses_for(&mut table, &[CRASHING], 99, now));
}

/// A part in quarantine for one model is quarantined for another after its first crash there, and
/// not before: it may be sound there.
#[test]
fn first_crash_suffices_for_another_model() {
    let (mut table, start) = running_table();
    let now = crash(&mut table, &[CRASHING], 0..3, start) + DECISION_TIME;
    assert!(refuses(&mut table, &[CRASHING], now));
    let elsewhere = [ScopedPart {
        id: CRASHING,
        scope: OTHER_SCOPE,
    }];
    assert_eq!(table.quarantine(&elsewhere, CALLER, now), None);
    table.note_crash(&elsewhere, witness(9, PROMPT), now);
    let now = now + DECISION_TIME;
    table.review(&BTreeSet::new(), now);
    assert!(table.quarantine(&elsewhere, CALLER, now).is_some());
}

/// Guards against a part that an operator has freed and other nodes quarantine again from their own
/// records.
#[test]
fn release_outlives_the_records_of_others() {
    let (mut table, start) = running_table();
    let (mut other, _) = running_table();
    let now = crash(&mut table, &[CRASHING], 0..3, start) + DECISION_TIME;
    for update in take_all(&mut table, false, now) {
        other.apply_update(&update, false, now);
    }
    assert!(refuses(&mut other, &[CRASHING], now));
    assert!(table.release(CRASHING));
    assert!(!table.release(CRASHING));
    for update in other.accused_updates(part(0), MAX_UPDATES, now) {
        let effect = table.apply_update(&update, false, now);
        assert_eq!(effect, SuspectUpdateEffect::Outdated);
    }
    assert!(!refuses(&mut table, &[CRASHING], now));
    for update in take_all(&mut table, true, now) {
        other.apply_update(&update, false, now);
    }
    assert!(!refuses(&mut other, &[CRASHING], now));
    assert_eq!(table.accused_digest(), other.accused_digest());
}

/// Guards against a quarantine that is lost when all nodes restart: the updates of parts in
/// quarantine, which the store keeps, restore it.
#[test]
fn persisted_part_is_quarantined_after_a_restart() {
    let (mut table, start) = running_table();
    let now = crash(&mut table, &[CRASHING], 0..3, start) + DECISION_TIME;
    assert!(refuses(&mut table, &[CRASHING], now));
    let (update, _) = table.unpersisted(now).expect("this node saw the crashes");
    table.note_persisted(update.part);
    assert_eq!(table.unpersisted(now), None);
    let now = now + seconds(5);
    let mut restarted = PartSuspectTable::new(now);
    restarted.apply_update(&update, false, now);
    assert!(refuses(&mut restarted, &[CRASHING], now + seconds(2)));
}

/// Guards against updates that are sent on without end between nodes that know the same: the number
/// of datagrams of a crash would grow with the square of the fleet.
#[test]
fn updates_come_to_rest() {
    let (mut first, start) = running_table();
    let mut now = crash(&mut first, &[CRASHING], 0..5, start);
    let mut nodes = [first, running_table().0, running_table().0];
    nodes[1].note_sound(&parts(&[INNOCENT]), start, now);
    let mut sent = 0;
    for _ in 0..50 {
        now += Duration::from_millis(100);
        for sender in 0..nodes.len() {
            for update in take_all(&mut nodes[sender], true, now) {
                sent += 1;
                for receiver in (0..nodes.len()).filter(|other| *other != sender) {
                    nodes[receiver].apply_update(&update, true, now);
                }
            }
        }
    }
    assert!(sent <= 24, "{sent} updates");
    let digests: BTreeSet<u64> = nodes.iter().map(PartSuspectTable::accused_digest).collect();
    assert_eq!(digests.len(), 1);
}

/// Guards against memory and updates that grow with the losses: 400 replicas with 30 requests each,
/// and a caller that sends lists of a thousand parts.
#[test]
fn suspect_parts_are_bounded() {
    let (mut table, start) = running_table();
    let now = crash(&mut table, &[CRASHING], 0..3, start) + DECISION_TIME;
    assert!(refuses(&mut table, &[CRASHING], now));
    for request in 0..12_000 {
        let ids = [100_000 + request % 50, 200_000 + request];
        let replica = 500 + (request / 30) as u32;
        table.note_crash(&parts(&ids), witness(replica, None), now);
    }
    let long: Vec<u64> = (0..1_000).map(|id| 900_000 + id).collect();
    let suspects = table.note_crash(&parts(&long), witness(9, PROMPT), now);
    assert!(
        suspects.len() <= 32,
        "{} parts of one request",
        suspects.len()
    );
    assert!(refuses(&mut table, &[CRASHING], now + DECISION_TIME));
    // The number of parts that are remembered is not exposed, so it is counted in the debug output.
    let rows = format!("{table:?}").matches("PartRow").count();
    assert!(rows <= 4_096, "{rows} parts are remembered");
    let announced = take_all(&mut table, false, now).len();
    assert!(announced <= 300, "{announced} parts are announced");
}

//! Notices of replicas about themselves in their responses, and how far they are accepted.

mod common;

use common::entry;
use test_case::test_case;
use zinniahatch_base::prelude::*;
use zinniahatch_route::BackoffChange;
use zinniahatch_route::BackoffNotice;
use zinniahatch_route::ColdLimiter;
use zinniahatch_route::DrainNotice;
use zinniahatch_route::NoticeEffect;
use zinniahatch_route::RateLimitNotice;
use zinniahatch_route::ReceivedNotice;
use zinniahatch_route::ReplicaEntry;
use zinniahatch_route::ReplicaNotice;
use zinniahatch_route::ReplicaTable;
use zinniahatch_route::ResponseAuth;
use zinniahatch_route::SendRefusal;

const LEAVING: ReplicaNotice = ReplicaNotice {
    leaving: DrainNotice::Leaving,
    backoff: BackoffNotice::Absent,
    rate_limit: RateLimitNotice::Absent,
    load: None,
    cold_for: None,
};

fn incarnation_entry(started_ms: u64, revision: Revision) -> ReplicaEntry {
    ReplicaEntry {
        started_ms,
        revision: revision.into(),
        ..entry("r", "a")
    }
}

fn apply(
    table: &mut ReplicaTable,
    notice: &ReplicaNotice,
    auth: ResponseAuth,
    now: Instant,
) -> NoticeEffect {
    let received = ReceivedNotice {
        replica: incarnation_entry(1, 0).incarnation().tag(),
        notice,
        auth,
        taken: false,
        sent: now,
        draw: 0,
    };
    table.apply_notice(&received, now)
}

fn refusal(table: &mut ReplicaTable, now: Instant) -> Option<SendRefusal> {
    let reservation = table.reserve(&mut ColdLimiter::default(), "r", 0, now);
    reservation
        .and_then(|reservation| table.permit(reservation, now))
        .err()
}

/// Later update of the store or a peer on a replica that announced its leaving.
#[derive(Clone, Copy, Debug)]
enum LaterUpdate {
    Ready,
    Expired,
    Listed,
    RestoredStore,
    Peer,
}

/// Guards against a later update that undoes a leaving notice within the same incarnation.
#[test_case(LaterUpdate::Ready; "ready")]
#[test_case(LaterUpdate::Expired; "lapsed_and_written_again")]
#[test_case(LaterUpdate::Listed; "listed")]
#[test_case(LaterUpdate::RestoredStore; "store_came_back_older")]
#[test_case(LaterUpdate::Peer; "neighbour_that_is_behind")]
fn leaving_lasts_for_incarnation(update: LaterUpdate) {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(incarnation_entry(1, 10), now);
    assert!(apply(&mut table, &LEAVING, ResponseAuth::Authenticated, now).leaving);
    assert!(!apply(&mut table, &LEAVING, ResponseAuth::Authenticated, now).leaving);
    match update {
        LaterUpdate::Ready => {
            table.upsert(incarnation_entry(1, 11), now);
        }
        LaterUpdate::Expired => {
            table.remove_entry("r", 11.into(), now);
            table.tick(now);
            assert_eq!(table.rows().count(), 0);
            table.upsert(incarnation_entry(1, 12), now);
        }
        LaterUpdate::Listed => {
            table.apply_listing(vec![incarnation_entry(1, 10)], 12.into(), now);
        }
        LaterUpdate::RestoredStore => {
            let revision = StoreRevision { era: 1, number: 3 };
            table.upsert(
                ReplicaEntry {
                    revision,
                    ..incarnation_entry(1, 0)
                },
                now,
            );
        }
        LaterUpdate::Peer => {
            table.note_store_failure(now);
            table.merge_peer_snapshot(vec![incarnation_entry(1, 10)], &[], now);
        }
    }
    assert_eq!(refusal(&mut table, now), Some(SendRefusal::Leaving));
}

/// Guards against a new incarnation that gets no requests because the previous one announced its
/// leaving.
#[test]
fn leaving_not_inherited() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(incarnation_entry(1, 10), now);
    apply(&mut table, &LEAVING, ResponseAuth::Authenticated, now);
    table.upsert(incarnation_entry(2, 11), now);
    assert_eq!(refusal(&mut table, now), None);
    // A late response of the previous incarnation.
    let effect = apply(&mut table, &LEAVING, ResponseAuth::Authenticated, now);
    assert_eq!(effect, NoticeEffect::default());
    assert!(!table.mark_leaving(&incarnation_entry(1, 0).incarnation()));
    assert_eq!(refusal(&mut table, now), None);
}

/// Guards against a reservation that is still exchanged for a permit after the replica announced
/// its leaving.
#[test]
fn permit_after_leaving_notice() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(incarnation_entry(1, 10), now);
    let reservation = table
        .reserve(&mut ColdLimiter::default(), "r", 0, now)
        .unwrap();
    apply(&mut table, &LEAVING, ResponseAuth::Identified, now);
    assert_eq!(
        table.permit(reservation, now).unwrap_err(),
        SendRefusal::Leaving
    );
}

/// Guards against nodes that keep sending to a replica that announced its leaving to another node.
#[test]
fn mark_leaving_from_peer() {
    let now = Instant::now();
    let mut informed = ReplicaTable::default();
    informed.upsert(incarnation_entry(1, 10), now);
    apply(&mut informed, &LEAVING, ResponseAuth::Authenticated, now);
    let mut peer = ReplicaTable::default();
    peer.upsert(incarnation_entry(1, 10), now);
    assert_ne!(informed.leaving_digest(), peer.leaving_digest());
    for incarnation in informed.announced_leaving() {
        assert!(peer.mark_leaving(incarnation));
    }
    assert_eq!(informed.leaving_digest(), peer.leaving_digest());
    assert_eq!(refusal(&mut peer, now), Some(SendRefusal::Leaving));
}

/// Returns a notice that requests a backoff of this duration.
fn backoff_notice(seconds: f64) -> ReplicaNotice {
    ReplicaNotice {
        backoff: BackoffNotice::For(Duration::from_secs_f64(seconds)),
        ..ReplicaNotice::default()
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Applies the response to a request that the replica accepted.
fn apply_accepted(table: &mut ReplicaTable, sent: Instant, now: Instant) -> NoticeEffect {
    let received = ReceivedNotice {
        replica: incarnation_entry(1, 0).incarnation().tag(),
        notice: &ReplicaNotice::default(),
        auth: ResponseAuth::Authenticated,
        taken: true,
        sent,
        draw: 0,
    };
    table.apply_notice(&received, now)
}

/// Guards against a backoff that ends early because of a shorter one, a probe or the response to an
/// earlier request.
#[test]
fn backoff_lasts_until_latest_end() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(incarnation_entry(1, 10), now);
    let effect = apply(
        &mut table,
        &backoff_notice(3.0),
        ResponseAuth::Identified,
        now,
    );
    assert_eq!(effect.backoff, Some(BackoffChange::Began(seconds(3.0))));
    let later = now + seconds(1.0);
    let effect = apply(
        &mut table,
        &backoff_notice(0.5),
        ResponseAuth::Identified,
        later,
    );
    assert_eq!(effect.backoff, Some(BackoffChange::Covered));
    assert!(!apply_accepted(&mut table, now, later).recovered);
    assert_eq!(
        refusal(&mut table, now + seconds(2.9)),
        Some(SendRefusal::Resting)
    );
    let effect = apply(
        &mut table,
        &backoff_notice(3.0),
        ResponseAuth::Identified,
        later,
    );
    assert_eq!(
        effect.backoff,
        Some(BackoffChange::Lengthened(seconds(3.0)))
    );
    assert_eq!(
        refusal(&mut table, now + seconds(3.9)),
        Some(SendRefusal::Resting)
    );
    assert_eq!(refusal(&mut table, now + seconds(4.0)), None);
}

/// Guards against all waiting requests being sent at once when a backoff ends. One request is sent
/// first, and each accepted one allows more.
#[test]
fn backoff_end_ramps_up() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(incarnation_entry(1, 10), now);
    apply(
        &mut table,
        &backoff_notice(1.0),
        ResponseAuth::Identified,
        now,
    );
    let end = now + seconds(1.0);
    assert_eq!(refusal(&mut table, end), None);
    assert_eq!(refusal(&mut table, end), Some(SendRefusal::Resting));
    assert_eq!(
        refusal(&mut table, end + seconds(0.9)),
        Some(SendRefusal::Resting)
    );
    assert_eq!(refusal(&mut table, end + seconds(1.0)), None);
    // Each accepted request widens the window.
    let (mut now, mut sent) = (end + seconds(1.1), 1);
    for round in 1..6 {
        for response in 0..sent {
            let effect = apply_accepted(&mut table, now, now);
            assert_eq!(effect.recovered, round == 1 && response == 0);
        }
        sent = (0..100)
            .take_while(|_| refusal(&mut table, now).is_none())
            .count();
        assert!(sent > 0 && sent <= 1 + round * 2, "{sent} in round {round}");
        now += seconds(0.1);
    }
}

/// Guards against a reservation that is still exchanged for a permit after the replica requested a
/// backoff.
#[test]
fn permit_after_backoff_notice() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(incarnation_entry(1, 10), now);
    let reservation = table
        .reserve(&mut ColdLimiter::default(), "r", 0, now)
        .unwrap();
    apply(
        &mut table,
        &backoff_notice(1.0),
        ResponseAuth::Identified,
        now,
    );
    assert_eq!(
        table.permit(reservation, now).unwrap_err(),
        SendRefusal::Resting
    );
}

/// Guards against backoffs that last for ever, and against zero or malformed values that take
/// effect.
#[test_case(BackoffNotice::For(Duration::ZERO), ResponseAuth::Authenticated, 0.0; "zero")]
#[test_case(BackoffNotice::Malformed, ResponseAuth::Authenticated, 0.0; "malformed")]
#[test_case(BackoffNotice::For(Duration::from_millis(250)), ResponseAuth::Identified, 0.25; "fraction")]
#[test_case(BackoffNotice::For(Duration::from_secs(36_000)), ResponseAuth::Authenticated, 600.0; "hours")]
#[test_case(BackoffNotice::For(Duration::from_secs(36_000)), ResponseAuth::Unverified, 30.0; "unproven")]
fn backoff_is_bounded(requested: BackoffNotice, auth: ResponseAuth, expected: f64) {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(incarnation_entry(1, 10), now);
    let notice = ReplicaNotice {
        backoff: requested,
        ..ReplicaNotice::default()
    };
    let effect = apply(&mut table, &notice, auth, now);
    assert_eq!(
        effect.rejected.is_empty(),
        requested != BackoffNotice::Malformed
    );
    assert_eq!(
        effect.unverified.is_empty(),
        auth != ResponseAuth::Unverified
    );
    let tag = incarnation_entry(1, 0).incarnation().tag();
    assert_eq!(table.backoffs.wait(tag, now), seconds(expected));
}

/// Guards against a response of an unverified sender that takes a replica out of use for good.
#[test]
fn leaving_unverified_is_temporary() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(incarnation_entry(1, 10), now);
    let effect = apply(&mut table, &LEAVING, ResponseAuth::Unverified, now);
    assert!(!effect.leaving);
    assert_eq!(table.announced_leaving().count(), 0);
    assert_eq!(
        refusal(&mut table, now + seconds(29.0)),
        Some(SendRefusal::Resting)
    );
    assert_eq!(refusal(&mut table, now + seconds(30.0)), None);
}

/// Guards against a new incarnation that inherits the backoff of the previous one.
#[test]
fn backoff_not_inherited() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(incarnation_entry(1, 10), now);
    apply(
        &mut table,
        &backoff_notice(60.0),
        ResponseAuth::Authenticated,
        now,
    );
    table.upsert(incarnation_entry(2, 11), now);
    assert_eq!(refusal(&mut table, now), None);
}

/// Guards against the usual load on a replica that announces that it is cold again.
#[test_case(ResponseAuth::Identified, Some(SendRefusal::Cold); "its_own")]
#[test_case(ResponseAuth::Unverified, None; "of_somebody")]
fn cold_notice_applies(auth: ResponseAuth, expected: Option<SendRefusal>) {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(incarnation_entry(1, 10), now);
    let notice = ReplicaNotice {
        cold_for: Some(seconds(2.0)),
        ..ReplicaNotice::default()
    };
    apply(&mut table, &notice, auth, now);
    assert_eq!(refusal(&mut table, now + seconds(1.9)), expected);
    assert_eq!(refusal(&mut table, now + seconds(2.0)), None);
}

/// Guards against a leaving notice that is lost because it arrives after the entry of the replica
/// was removed.
#[test]
fn leaving_of_removed_incarnation_is_kept() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(incarnation_entry(1, 10), now);
    table.remove_entry("r", 11.into(), now);
    table.tick(now);
    apply(&mut table, &LEAVING, ResponseAuth::Identified, now);
    table.upsert(incarnation_entry(1, 12), now);
    assert_eq!(refusal(&mut table, now), Some(SendRefusal::Leaving));
}

/// Guards against a backoff that is forgotten when the entry of the replica is removed and written
/// again.
#[test]
fn backoff_outlives_expired_entry() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(incarnation_entry(1, 10), now);
    apply(
        &mut table,
        &backoff_notice(3.0),
        ResponseAuth::Identified,
        now,
    );
    table.remove_entry("r", 11.into(), now);
    table.tick(now);
    table.upsert(incarnation_entry(1, 12), now);
    table.tick(now);
    assert_eq!(
        refusal(&mut table, now + seconds(2.9)),
        Some(SendRefusal::Resting)
    );
}

/// Guards against a rate limit that is forgotten when the entry of the replica is removed and
/// written again.
#[test]
fn limit_outlives_expired_entry() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(incarnation_entry(1, 10), now);
    let notice = ReplicaNotice {
        rate_limit: RateLimitNotice::PerSecond(1.0),
        ..ReplicaNotice::default()
    };
    apply(&mut table, &notice, ResponseAuth::Authenticated, now);
    table.remove_entry("r", 11.into(), now);
    table.tick(now);
    let later = now + seconds(20.0);
    table.upsert(incarnation_entry(1, 12), later);
    table.tick(later);
    let tag = incarnation_entry(1, 0).incarnation().tag();
    assert_eq!(table.limits.rate(tag), Some(1.0));
    table.remove_entry("r", 13.into(), later);
    table.tick(later + seconds(31.0));
    assert_eq!(table.limits.rate(tag), None);
}

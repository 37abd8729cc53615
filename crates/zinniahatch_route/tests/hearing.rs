//! What replicas say of themselves in their answers, and what of it is believed.

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

fn life(started_ms: u64, revision: Revision) -> ReplicaEntry {
    ReplicaEntry {
        started_ms,
        revision: revision.into(),
        ..entry("r", "a")
    }
}

fn hear(
    table: &mut ReplicaTable,
    notice: &ReplicaNotice,
    auth: ResponseAuth,
    now: Instant,
) -> NoticeEffect {
    let heard = ReceivedNotice {
        replica: life(1, 0).incarnation().tag(),
        notice,
        auth,
        taken: false,
        sent: now,
        draw: 0,
    };
    table.apply_notice(&heard, now)
}

fn withheld(table: &mut ReplicaTable, now: Instant) -> Option<SendRefusal> {
    let claim = table.reserve(&mut ColdLimiter::default(), "r", 0, now);
    claim.and_then(|claim| table.permit(claim, now)).err()
}

/// What the store or another node says after a replica has said that it leaves.
#[derive(Clone, Copy, Debug)]
enum LaterWord {
    Ready,
    Lapsed,
    Listed,
    OlderEra,
    Neighbour,
}

/// Guards against a leaving that something undoes in the life that said so.
#[test_case(LaterWord::Ready; "ready")]
#[test_case(LaterWord::Lapsed; "lapsed_and_written_again")]
#[test_case(LaterWord::Listed; "listed")]
#[test_case(LaterWord::OlderEra; "store_came_back_older")]
#[test_case(LaterWord::Neighbour; "neighbour_that_is_behind")]
fn leaving_is_for_the_life(word: LaterWord) {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(life(1, 10), now);
    assert!(hear(&mut table, &LEAVING, ResponseAuth::Authenticated, now).leaving);
    assert!(!hear(&mut table, &LEAVING, ResponseAuth::Authenticated, now).leaving);
    match word {
        LaterWord::Ready => {
            table.upsert(life(1, 11), now);
        }
        LaterWord::Lapsed => {
            table.remove_entry("r", 11.into(), now);
            table.tick(now);
            assert_eq!(table.rows().count(), 0);
            table.upsert(life(1, 12), now);
        }
        LaterWord::Listed => {
            table.apply_listing(vec![life(1, 10)], 12.into(), now);
        }
        LaterWord::OlderEra => {
            let revision = StoreRevision { era: 1, number: 3 };
            table.upsert(
                ReplicaEntry {
                    revision,
                    ..life(1, 0)
                },
                now,
            );
        }
        LaterWord::Neighbour => {
            table.note_store_failure(now);
            table.merge_peer_snapshot(vec![life(1, 10)], &[], now);
        }
    }
    assert_eq!(withheld(&mut table, now), Some(SendRefusal::Leaving));
}

/// Guards against a new life that is left alone for what the one before it said.
#[test]
fn next_life_does_not_leave() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(life(1, 10), now);
    hear(&mut table, &LEAVING, ResponseAuth::Authenticated, now);
    table.upsert(life(2, 11), now);
    assert_eq!(withheld(&mut table, now), None);
    // An answer of the life before that was late.
    let effect = hear(&mut table, &LEAVING, ResponseAuth::Authenticated, now);
    assert_eq!(effect, NoticeEffect::default());
    assert!(!table.mark_leaving(&life(1, 0).incarnation()));
    assert_eq!(withheld(&mut table, now), None);
}

/// Guards against a claim that outlives what it was taken for.
#[test]
fn claim_lapses_where_the_replica_says_that_it_leaves() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(life(1, 10), now);
    let claim = table
        .reserve(&mut ColdLimiter::default(), "r", 0, now)
        .unwrap();
    hear(&mut table, &LEAVING, ResponseAuth::Identified, now);
    assert_eq!(table.permit(claim, now).unwrap_err(), SendRefusal::Leaving);
}

/// Guards against nodes that go on sending to a replica which told another one that it leaves.
#[test]
fn news_of_a_neighbour_count() {
    let now = Instant::now();
    let mut told = ReplicaTable::default();
    told.upsert(life(1, 10), now);
    hear(&mut told, &LEAVING, ResponseAuth::Authenticated, now);
    let mut other = ReplicaTable::default();
    other.upsert(life(1, 10), now);
    assert_ne!(told.leaving_digest(), other.leaving_digest());
    for life in told.announced_leaving() {
        assert!(other.mark_leaving(life));
    }
    assert_eq!(told.leaving_digest(), other.leaving_digest());
    assert_eq!(withheld(&mut other, now), Some(SendRefusal::Leaving));
}

/// Gives what a replica says that turns a request away for a while.
fn rest(seconds: f64) -> ReplicaNotice {
    ReplicaNotice {
        backoff: BackoffNotice::For(Duration::from_secs_f64(seconds)),
        ..ReplicaNotice::default()
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Takes an answer to a request that the replica took.
fn hear_taken(table: &mut ReplicaTable, sent: Instant, now: Instant) -> NoticeEffect {
    let heard = ReceivedNotice {
        replica: life(1, 0).incarnation().tag(),
        notice: &ReplicaNotice::default(),
        auth: ResponseAuth::Authenticated,
        taken: true,
        sent,
        draw: 0,
    };
    table.apply_notice(&heard, now)
}

/// Guards against a rest that something ends early: a shorter one, an answer to a request sent before, a probe.
#[test]
fn rest_goes_on_to_the_later_end() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(life(1, 10), now);
    let effect = hear(&mut table, &rest(3.0), ResponseAuth::Identified, now);
    assert_eq!(effect.backoff, Some(BackoffChange::Began(seconds(3.0))));
    let later = now + seconds(1.0);
    let effect = hear(&mut table, &rest(0.5), ResponseAuth::Identified, later);
    assert_eq!(effect.backoff, Some(BackoffChange::Covered));
    assert!(!hear_taken(&mut table, now, later).recovered);
    assert_eq!(
        withheld(&mut table, now + seconds(2.9)),
        Some(SendRefusal::Resting)
    );
    let effect = hear(&mut table, &rest(3.0), ResponseAuth::Identified, later);
    assert_eq!(
        effect.backoff,
        Some(BackoffChange::Lengthened(seconds(3.0)))
    );
    assert_eq!(
        withheld(&mut table, now + seconds(3.9)),
        Some(SendRefusal::Resting)
    );
    assert_eq!(withheld(&mut table, now + seconds(4.0)), None);
}

/// Guards against all that waited for a replica coming at once when its rest ends.
#[test]
fn first_request_after_a_rest_finds_out() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(life(1, 10), now);
    hear(&mut table, &rest(1.0), ResponseAuth::Identified, now);
    let end = now + seconds(1.0);
    assert_eq!(withheld(&mut table, end), None);
    assert_eq!(withheld(&mut table, end), Some(SendRefusal::Resting));
    assert_eq!(
        withheld(&mut table, end + seconds(0.9)),
        Some(SendRefusal::Resting)
    );
    assert_eq!(withheld(&mut table, end + seconds(1.0)), None);
    // Each request that it takes lets one more follow.
    let (mut now, mut sent) = (end + seconds(1.1), 1);
    for round in 1..6 {
        for answer in 0..sent {
            let effect = hear_taken(&mut table, now, now);
            assert_eq!(effect.recovered, round == 1 && answer == 0);
        }
        sent = (0..100)
            .take_while(|_| withheld(&mut table, now).is_none())
            .count();
        assert!(sent > 0 && sent <= 1 + round * 2, "{sent} in round {round}");
        now += seconds(0.1);
    }
}

/// Guards against a claim that was taken before the replica asked for its rest.
#[test]
fn claim_lapses_where_the_replica_asks_for_rest() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(life(1, 10), now);
    let claim = table
        .reserve(&mut ColdLimiter::default(), "r", 0, now)
        .unwrap();
    hear(&mut table, &rest(1.0), ResponseAuth::Identified, now);
    assert_eq!(table.permit(claim, now).unwrap_err(), SendRefusal::Resting);
}

/// Guards against values that keep a replica out for ever, or that are heeded though they say nothing.
#[test_case(BackoffNotice::For(Duration::ZERO), ResponseAuth::Authenticated, 0.0; "zero")]
#[test_case(BackoffNotice::Malformed, ResponseAuth::Authenticated, 0.0; "malformed")]
#[test_case(BackoffNotice::For(Duration::from_millis(250)), ResponseAuth::Identified, 0.25; "fraction")]
#[test_case(BackoffNotice::For(Duration::from_secs(36_000)), ResponseAuth::Authenticated, 600.0; "hours")]
#[test_case(BackoffNotice::For(Duration::from_secs(36_000)), ResponseAuth::Unverified, 30.0; "unproven")]
fn rest_is_bounded(named: BackoffNotice, auth: ResponseAuth, expected: f64) {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(life(1, 10), now);
    let notice = ReplicaNotice {
        backoff: named,
        ..ReplicaNotice::default()
    };
    let effect = hear(&mut table, &notice, auth, now);
    assert_eq!(
        effect.rejected.is_empty(),
        named != BackoffNotice::Malformed
    );
    assert_eq!(
        effect.unverified.is_empty(),
        auth != ResponseAuth::Unverified
    );
    let tag = life(1, 0).incarnation().tag();
    assert_eq!(table.backoffs.wait(tag, now), seconds(expected));
}

/// Guards against an answer of somebody else that takes a replica out of use for good.
#[test]
fn unproven_leaving_counts_for_a_while() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(life(1, 10), now);
    let effect = hear(&mut table, &LEAVING, ResponseAuth::Unverified, now);
    assert!(!effect.leaving);
    assert_eq!(table.announced_leaving().count(), 0);
    assert_eq!(
        withheld(&mut table, now + seconds(29.0)),
        Some(SendRefusal::Resting)
    );
    assert_eq!(withheld(&mut table, now + seconds(30.0)), None);
}

/// Guards against a new life that rests for what the one before it asked.
#[test]
fn next_life_does_not_rest() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(life(1, 10), now);
    hear(&mut table, &rest(60.0), ResponseAuth::Authenticated, now);
    table.upsert(life(2, 11), now);
    assert_eq!(withheld(&mut table, now), None);
}

/// Guards against the usual load for a replica that says that it is cold again.
#[test_case(ResponseAuth::Identified, Some(SendRefusal::Cold); "its_own")]
#[test_case(ResponseAuth::Unverified, None; "of_somebody")]
fn cold_replica_is_believed(auth: ResponseAuth, expected: Option<SendRefusal>) {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(life(1, 10), now);
    let notice = ReplicaNotice {
        cold_for: Some(seconds(2.0)),
        ..ReplicaNotice::default()
    };
    hear(&mut table, &notice, auth, now);
    assert_eq!(withheld(&mut table, now + seconds(1.9)), expected);
    assert_eq!(withheld(&mut table, now + seconds(2.0)), None);
}

/// Guards against a leaving that is heard after the entry of the replica has vanished, and lost with it.
#[test]
fn leaving_of_a_dropped_life_is_remembered() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(life(1, 10), now);
    table.remove_entry("r", 11.into(), now);
    table.tick(now);
    hear(&mut table, &LEAVING, ResponseAuth::Identified, now);
    table.upsert(life(1, 12), now);
    assert_eq!(withheld(&mut table, now), Some(SendRefusal::Leaving));
}

/// Guards against a rest that is forgotten where the entry of the replica vanishes and comes back.
#[test]
fn rest_outlives_a_lapsed_entry() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(life(1, 10), now);
    hear(&mut table, &rest(3.0), ResponseAuth::Identified, now);
    table.remove_entry("r", 11.into(), now);
    table.tick(now);
    table.upsert(life(1, 12), now);
    table.tick(now);
    assert_eq!(
        withheld(&mut table, now + seconds(2.9)),
        Some(SendRefusal::Resting)
    );
}

/// Guards against a rate limit that is forgotten where the entry of the replica vanishes and comes back.
#[test]
fn limit_outlives_a_lapsed_entry() {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    table.upsert(life(1, 10), now);
    let notice = ReplicaNotice {
        rate_limit: RateLimitNotice::PerSecond(1.0),
        ..ReplicaNotice::default()
    };
    hear(&mut table, &notice, ResponseAuth::Authenticated, now);
    table.remove_entry("r", 11.into(), now);
    table.tick(now);
    let later = now + seconds(20.0);
    table.upsert(life(1, 12), later);
    table.tick(later);
    let tag = life(1, 0).incarnation().tag();
    assert_eq!(table.limits.rate(tag), Some(1.0));
    table.remove_entry("r", 13.into(), later);
    table.tick(later + seconds(31.0));
    assert_eq!(table.limits.rate(tag), None);
}

//! Steps of a stream whose connection falls silent, through all phases.

use proptest::prelude::*;
use std::time::Duration;
use std::time::Instant;
use test_case::test_case;
use zinniahatch_route::FailoverStep;
use zinniahatch_route::PinReason;
use zinniahatch_route::SEEK_INTERVAL;
use zinniahatch_route::STREAM_SILENCE_LIMIT;
use zinniahatch_route::StreamFailover;
use zinniahatch_route::first_event_limit;

/// Longest time for which two replicas may work on a stream.
const TWICE_LIMIT: Duration = Duration::from_millis(400);
const SHORT: Duration = Duration::from_millis(10);

/// A stream that looks for another replica, and the time.
fn seeking() -> (StreamFailover, Instant) {
    let start = Instant::now();
    let mut failover = StreamFailover::new(Duration::ZERO, start);
    let now = start + STREAM_SILENCE_LIMIT;
    assert_eq!(failover.on_time(now), FailoverStep::Seek);
    (failover, now)
}

/// A stream of which the next replica was sent the rest.
fn overlapping() -> (StreamFailover, Instant) {
    let (mut failover, now) = seeking();
    failover.on_sent(now);
    (failover, now)
}

/// A stream that has only the connection to the next replica.
fn waiting() -> (StreamFailover, Instant) {
    let (mut failover, _) = overlapping();
    let due = failover.due_at().unwrap();
    assert_eq!(failover.on_time(due), FailoverStep::CloseCurrent);
    (failover, due)
}

/// Guards against leaving a replica that is silent during a prefill, and against waiting for ever.
#[test_case(0, 1_500; "between_events")]
#[test_case(400, 1_500; "short_prefill")]
#[test_case(2_000, 6_000; "long_prefill")]
fn silence_is_borne_up_to_the_limit(expected_ms: u64, limit_ms: u64) {
    let (expected, limit) = (
        Duration::from_millis(expected_ms),
        Duration::from_millis(limit_ms),
    );
    let start = Instant::now();
    let mut failover = StreamFailover::new(expected, start);
    assert_eq!(first_event_limit(expected), limit);
    assert_eq!(failover.due_at(), Some(start + limit));
    let early = start + limit.saturating_sub(SHORT);
    assert_eq!(failover.on_time(early), FailoverStep::Wait);
    assert_eq!(failover.on_time(start + limit), FailoverStep::Seek);
    assert_eq!(failover.due_at(), None);
}

/// Guards against counting the prefill of the first event for later silences.
#[test]
fn bytes_begin_the_silence_anew() {
    let start = Instant::now();
    let mut failover = StreamFailover::new(Duration::from_secs(2), start);
    let heard = start + SHORT;
    assert_eq!(failover.on_bytes(heard), FailoverStep::Wait);
    assert_eq!(failover.due_at(), Some(heard + STREAM_SILENCE_LIMIT));
}

/// Guards against taking a pause of this node for a silence of its replicas.
#[test_case(499, FailoverStep::Seek; "late_timer")]
#[test_case(500, FailoverStep::Wait; "pause")]
fn late_timer_shows_a_pause(late_ms: u64, step: FailoverStep) {
    let start = Instant::now();
    let mut failover = StreamFailover::new(Duration::ZERO, start);
    let now = start + STREAM_SILENCE_LIMIT + Duration::from_millis(late_ms);
    assert_eq!(failover.on_time(now), step);
    let next = (step == FailoverStep::Wait).then_some(now + STREAM_SILENCE_LIMIT);
    assert_eq!(failover.due_at(), next);
}

/// Guards against looking only once, and against a look that never ends.
#[test]
fn looks_again_after_an_interval() {
    let (mut failover, now) = seeking();
    failover.on_no_place(now);
    assert_eq!(failover.due_at(), Some(now + SEEK_INTERVAL));
    let later = now + SEEK_INTERVAL;
    assert_eq!(failover.on_time(later), FailoverStep::Seek);
    failover.on_no_place(later);
    assert_eq!(failover.due_at(), Some(later + SEEK_INTERVAL));
}

/// Guards against leaving a replica that goes on before the next one has answered.
#[test_case(seeking(); "seeking")]
#[test_case(overlapping(); "overlapping")]
fn bytes_keep_the_connection((mut failover, now): (StreamFailover, Instant)) {
    let heard = now + SHORT;
    assert_eq!(failover.on_bytes(heard), FailoverStep::KeepCurrent);
    assert_eq!(failover.due_at(), Some(heard + STREAM_SILENCE_LIMIT));
}

/// Guards against two replicas that both work on a stream for longer than they may.
#[test]
fn overlap_ends_in_time() {
    let (mut failover, now) = overlapping();
    let due = failover.due_at().unwrap();
    let lasting = due - now;
    assert!(lasting > SHORT && lasting < TWICE_LIMIT);
    let early = now + lasting.saturating_sub(SHORT);
    assert_eq!(failover.on_time(early), FailoverStep::Wait);
    assert_eq!(failover.on_time(due), FailoverStep::CloseCurrent);
    assert_eq!(failover.due_at(), None);
}

/// Guards against closing the connection for a replica that refuses, and against looking on without
/// any connection.
#[test_case(overlapping(), FailoverStep::KeepCurrent; "during_the_overlap")]
#[test_case(waiting(), FailoverStep::Break; "after_the_overlap")]
fn refusal_of_the_next_replica(state: (StreamFailover, Instant), step: FailoverStep) {
    let (mut failover, now) = state;
    assert_eq!(failover.on_refused(now), step);
    let next = (step == FailoverStep::KeepCurrent).then_some(now + SEEK_INTERVAL);
    assert_eq!(failover.due_at(), next);
}

/// Guards against giving a stream up while the next replica may still answer.
#[test_case(StreamFailover::new(Duration::ZERO, Instant::now()), FailoverStep::Break; "following")]
#[test_case(seeking().0, FailoverStep::Break; "seeking")]
#[test_case(overlapping().0, FailoverStep::CloseCurrent; "overlapping")]
#[test_case(waiting().0, FailoverStep::Break; "waiting")]
fn break_of_a_connection(mut failover: StreamFailover, step: FailoverStep) {
    assert_eq!(failover.on_break(), step);
}

/// Guards against a refusal that is taken for one of two connections after the other broke.
#[test]
fn refusal_after_a_break_leaves_nothing() {
    let (mut failover, now) = overlapping();
    assert_eq!(failover.on_break(), FailoverStep::CloseCurrent);
    assert_eq!(failover.due_at(), None);
    assert_eq!(failover.on_refused(now), FailoverStep::Break);
}

/// Guards against a stream that is watched no longer once it has moved.
#[test_case(overlapping(); "during_the_overlap")]
#[test_case(waiting(); "after_the_overlap")]
fn answer_begins_at_the_next_replica((mut failover, now): (StreamFailover, Instant)) {
    let expected = Duration::from_secs(1);
    assert_eq!(failover.on_answered(expected, now), FailoverStep::Switch);
    assert_eq!(failover.due_at(), Some(now + first_event_limit(expected)));
    assert_eq!(failover.on_bytes(now), FailoverStep::Wait);
}

/// Guards against a request that may not be repeated and runs twice, since bytes that arrived gave it a
/// new limit.
#[test_case(&[]; "nothing_arrives")]
#[test_case(&[100]; "bytes_arrive_once")]
#[test_case(&[100, 400, 2_000, 9_000]; "bytes_arrive_again")]
fn pinned_request_never_seeks(arrivals_ms: &[u64]) {
    let start = Instant::now();
    let mut failover = StreamFailover::pinned(PinReason::NotRepeatable, Duration::ZERO, start);
    for step in 0..2_000 {
        let elapsed = step * 10;
        let now = start + Duration::from_millis(elapsed);
        if arrivals_ms.contains(&elapsed) {
            assert_eq!(failover.on_bytes(now), FailoverStep::Wait);
        }
        assert_eq!(failover.due_at(), None);
        assert_eq!(failover.on_time(now), FailoverStep::Wait);
    }
    failover.on_no_place(start);
    assert_eq!(failover.due_at(), None);
    assert_eq!(failover.on_break(), FailoverStep::Break);
}

/// What happens to a request, each at a time after the event before.
#[derive(Clone, Copy, Debug)]
enum FailoverEvent {
    Bytes,
    Time,
    NoPlace,
    Sent,
    Refused,
    Answered(Duration),
    Broke,
}

fn failover_event() -> impl Strategy<Value = (FailoverEvent, Duration)> {
    let time = (0_u64..20_000).prop_map(Duration::from_millis);
    let event = prop_oneof![
        Just(FailoverEvent::Bytes),
        Just(FailoverEvent::Time),
        Just(FailoverEvent::NoPlace),
        Just(FailoverEvent::Sent),
        Just(FailoverEvent::Refused),
        time.clone().prop_map(FailoverEvent::Answered),
        Just(FailoverEvent::Broke),
    ];
    (event, time)
}

fn pin_reason() -> impl Strategy<Value = PinReason> {
    prop_oneof![Just(PinReason::NotRepeatable), Just(PinReason::LastSend)]
}

proptest! {
    /// Guards against a request that may have one connection only and gets a second one after some order of
    /// events.
    #[test]
    fn pin_holds_through_all_events(
        reason in pin_reason(),
        pinned_later in any::<bool>(),
        events in prop::collection::vec(failover_event(), 1..40),
    ) {
        let mut now = Instant::now();
        let mut failover = if pinned_later {
            let mut failover = StreamFailover::with_limit(now, now);
            failover.on_time(now);
            failover.on_sent(now);
            failover.on_answered(Duration::ZERO, now);
            failover.pin(reason);
            failover
        } else {
            StreamFailover::pinned(reason, Duration::ZERO, now)
        };
        for (event, later) in events {
            now += later;
            let step = match event {
                FailoverEvent::Bytes => failover.on_bytes(now),
                FailoverEvent::Time => failover.on_time(now),
                FailoverEvent::NoPlace => {
                    failover.on_no_place(now);
                    FailoverStep::Wait
                }
                FailoverEvent::Sent => {
                    failover.on_sent(now);
                    FailoverStep::Wait
                }
                FailoverEvent::Refused => failover.on_refused(now),
                FailoverEvent::Answered(expected) => failover.on_answered(expected, now),
                FailoverEvent::Broke => failover.on_break(),
            };
            prop_assert_ne!(step, FailoverStep::Seek);
            prop_assert_ne!(step, FailoverStep::CloseCurrent);
            prop_assert_eq!(failover.pin_reason(), Some(reason));
            prop_assert_eq!(failover.due_at(), None);
        }
    }
}

//! The pace of a store reader against a store that returns a part of the changes at once and keeps
//! them for some time.

use std::time::Duration;
use test_case::test_case;
use zinniahatch_route::read_pause;

/// Changes that the store returns at most.
const MAX_CHANGES: f64 = 500.0;
/// Time of a call from another region, with a response of that size.
const CALL_TIME: Duration = Duration::from_millis(600);
const LONGEST_PAUSE: Duration = Duration::from_millis(1_200);
/// Time for which changes may wait to be read.
const MAX_LAG: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(10);
const SIMULATED: Duration = Duration::from_secs(60);

/// Reads for a while at a rate of changes a second; returns the most that waited and the calls.
fn read_for_a_while(rate: f64) -> (f64, u32) {
    let (mut waiting, mut most, mut calls) = (0.0_f64, 0.0_f64, 0);
    let (mut now, mut next) = (Duration::ZERO, Duration::ZERO);
    while now < SIMULATED {
        now += STEP;
        waiting += rate * STEP.as_secs_f64();
        most = most.max(waiting);
        if now < next || waiting < 1.0 {
            continue;
        }
        let changes = waiting.min(MAX_CHANGES);
        waiting -= changes;
        calls += 1;
        next = now + CALL_TIME + read_pause(changes as usize, LONGEST_PAUSE);
    }
    (most, calls)
}

/// Guards against a reader that falls behind while thousands of replicas start, loses the history and
/// learns for seconds of no replica that leaves.
#[test_case(50.0; "some_changes")]
#[test_case(300.0; "many_changes")]
#[test_case(700.0; "changes_near_the_limit")]
fn reader_keeps_up(rate: f64) {
    let (most, _) = read_for_a_while(rate);
    let lag = Duration::from_secs_f64(most / rate);
    assert!(lag <= MAX_LAG, "{lag:?}");
}

/// Guards against a call for each of a few changes.
#[test]
fn few_changes_share_calls() {
    let (_, calls) = read_for_a_while(20.0);
    let most = SIMULATED.as_secs_f64() / (CALL_TIME + LONGEST_PAUSE).as_secs_f64() * 1.2;
    assert!(f64::from(calls) <= most, "{calls} calls");
}

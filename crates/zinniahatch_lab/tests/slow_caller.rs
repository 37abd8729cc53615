//! Tests of callers that read slowly, with real entry VMs.

use std::time::Duration;
use test_case::test_case;
use tokio::time::sleep;
use zinniahatch_lab::site::SiteCluster;
use zinniahatch_lab::site::SiteRegion;
use zinniahatch_lab::slow_reading::SlowReading;
use zinniahatch_lab::test_doubles::replica::StreamShape;

/// More than the buffers between replica and caller hold, and longer than the time of the caller.
const SHAPE: StreamShape = StreamShape {
    events: 20_000,
    pause: Duration::from_millis(1),
};
/// More than the kernel buffers of a connection whose caller has a small buffer.
const LARGE_BYTES: usize = 16 << 20;
/// Number of pauses while such an answer is read: 5 s in all, within the grace period of 8 s.
const READ_PAUSES: usize = 100;
/// Remaining time that the caller states in its request.
const CALLER_TIME: Duration = Duration::from_secs(3);
/// Length of the attempt's id, which each event repeats.
const ID_BYTES: usize = 8_000;

/// Guards against a truncated stream that looks complete, when the deadline passed while the caller
/// was not reading.
#[tokio::test(flavor = "multi_thread")]
async fn stream_cut_off_does_not_look_whole() {
    let site = SiteCluster::start(&[SiteRegion::new("north", 1, 1)], SHAPE).await;
    let attempt = "a".repeat(ID_BYTES);
    let request = site.request_with_timeout(0, "/stream/look", &attempt, CALLER_TIME);
    let response = request.send().await.expect("the stream starts");
    sleep(CALLER_TIME + Duration::from_secs(1)).await;
    assert!(
        response.bytes().await.is_err(),
        "the truncated stream looks complete"
    );
}

/// Guards against a planned stop that ends the process while a caller still reads its answer.
#[test_case("once"; "once")]
#[test_case("plain"; "idempotent")]
#[tokio::test(flavor = "multi_thread")]
async fn answer_is_read_to_its_end_beside_a_stop(route: &str) {
    let site = SiteCluster::start(&[SiteRegion::new("north", 2, 1)], SHAPE).await;
    let front = &site.entries[0].addresses[0];
    let begun = SlowReading::begin(front, route, "large", LARGE_BYTES).await;
    let mut reading = begun.expect("the answer begins");
    site.terminate(0);
    let read = reading.read_to(LARGE_BYTES, READ_PAUSES).await;
    let answer = &reading.answer;
    assert!(read.is_ok(), "{read:?} after {} bytes", answer.len());
    reading.read_rest().await.expect("the answer ends");
    let answer = &reading.answer;
    let head = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    let body = &answer[head.expect("the answer has a head") + 4..];
    assert_eq!(body.len(), LARGE_BYTES);
}

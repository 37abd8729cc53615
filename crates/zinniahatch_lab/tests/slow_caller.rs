//! Tests of callers that read slowly, with real entry VMs.

use std::time::Duration;
use tokio::time::sleep;
use zinniahatch_lab::site::SiteCluster;
use zinniahatch_lab::site::SiteRegion;
use zinniahatch_lab::test_doubles::replica::StreamShape;

/// More than the buffers between replica and caller hold, and longer than the time of the caller.
const SHAPE: StreamShape = StreamShape {
    events: 20_000,
    pause: Duration::from_millis(1),
};
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

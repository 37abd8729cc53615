//! Tests of the bound on retries: entry VM processes before replicas that refuse, and the checker.

use reqwest::Client;
use reqwest::StatusCode;
use std::time::Duration;
use std::time::Instant;
use test_case::test_case;
use zinniahatch_lab::retry_bound::RetryBound;
use zinniahatch_lab::retry_bound::RetryRecord;
use zinniahatch_lab::site::HOST;
use zinniahatch_lab::site::SiteCluster;
use zinniahatch_lab::site::SiteRegion;
use zinniahatch_lab::test_doubles::replica::ReplicaBehaviour;
use zinniahatch_lab::test_doubles::replica::StreamShape;

const SHAPE: StreamShape = StreamShape {
    events: 12,
    pause: Duration::from_millis(5),
};
/// The users' bound.
const BOUND: RetryBound = RetryBound::with_slack(54.0);

/// Starts a site whose replicas refuse every request.
async fn start_refusing(regions: &[SiteRegion]) -> SiteCluster {
    let site = SiteCluster::start_with_retry_slack(regions, SHAPE, BOUND.slack).await;
    for (replica, _) in &site.replicas {
        replica.set_behaviour(ReplicaBehaviour::Shed);
    }
    site
}

/// Sends `calls` requests, to each entry VM in turn, and records when.
async fn send_calls(site: &SiteCluster, path: &str, calls: usize) -> RetryRecord {
    let mut record = RetryRecord::default();
    for number in 0..calls {
        record.record_request(Instant::now());
        let attempt = format!("r{number}");
        let entry = number % site.entries.len();
        let response = site.request(entry, path, &attempt).send().await.unwrap();
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    }
    for (at, attempt) in site.arrivals() {
        record.record_arrival(&attempt, at);
    }
    record
}

/// Guards against free retries after another node's refusal when one of its replicas had refused.
#[test_case("/plain/x"; "idempotent")]
#[test_case("/once/x"; "non_idempotent")]
#[test_case("/stream/x"; "stream")]
#[tokio::test(flavor = "multi_thread")]
async fn retry_after_remote_refusal_is_charged(path: &str) {
    let site = start_refusing(&[
        SiteRegion::new("north", 1, 1),
        SiteRegion::new("south", 2, 0),
        SiteRegion::new("west", 1, 1),
    ])
    .await;
    let record = send_calls(&site, path, 400).await;
    assert_eq!(record.exceeded_window(&BOUND), None);
}

/// Guards against charging a caller's retry for a send that no replica received, and against missing one
/// that a replica refused.
#[test_case("/plain/x", "1"; "replica_refused")]
#[test_case("/nowhere/x", "0"; "no_replica_asked")]
#[tokio::test(flavor = "multi_thread")]
async fn refusal_reports_uncharged_sends(path: &str, uncharged: &str) {
    let site = start_refusing(&[SiteRegion::new("north", 1, 1)]).await;
    let peer = &site.entries[0].addresses[4];
    let request = Client::new().get(format!("http://{peer}{path}"));
    let request = request.header("host", HOST).header("x-attempt-id", "f1");
    let response = request.send().await.unwrap();
    assert_eq!(response.headers()["x-zinnia-uncharged-sends"], uncharged);
    assert_eq!(response.headers()["x-zinnia-execution"], "not-run");
}

/// Checks when the bound of a fifth and 2 holds, given the times in ms of requests and of retries.
#[test_case(&[0, 1, 2, 3, 4, 5, 6, 7, 8, 9], &[10, 11, 12, 13], true; "four_retries_of_ten")]
#[test_case(&[0, 1, 2, 3, 4, 5, 6, 7, 8, 9], &[10, 11, 12, 13, 14], false; "five_retries_of_ten")]
#[test_case(&[0, 1, 2, 3, 4, 5, 6, 7, 8, 9], &[10, 11, 9_990, 10_020, 10_021], true; "windows_slide")]
#[test_case(&[0, 1, 2, 3, 4, 5, 6, 7, 8, 9], &[9_900, 9_901, 9_902, 9_903], true; "window_before_counts")]
#[test_case(&[0, 1, 2, 3, 4, 5, 6, 7, 8, 9], &[29_000, 29_001, 29_002], false; "older_window_does_not")]
fn exceeded_window(requests: &[u64], retries: &[u64], holds: bool) {
    let bound = RetryBound {
        ratio: 0.2,
        slack: 2.0,
        window: Duration::from_secs(10),
    };
    let start = Instant::now() + Duration::from_secs(20);
    let mut record = RetryRecord::default();
    for (number, at) in requests.iter().enumerate() {
        let at = start + Duration::from_millis(*at);
        record.record_request(at);
        record.record_arrival(&number.to_string(), at);
    }
    for (number, at) in retries.iter().enumerate() {
        let at = start + Duration::from_millis(*at);
        record.record_arrival(&number.to_string(), at);
    }
    assert_eq!(record.exceeded_window(&bound).is_none(), holds);
}

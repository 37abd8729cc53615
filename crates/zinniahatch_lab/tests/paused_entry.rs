//! Requests to an entry VM that was paused, with real processes.

use futures_util::future::join_all;
use reqwest::StatusCode;
use std::time::Duration;
use test_case::test_case;
use tokio::time::sleep;
use zinniahatch_lab::site::SiteCluster;
use zinniahatch_lab::site::SiteRegion;
use zinniahatch_lab::test_doubles::replica::StreamShape;

const SHAPE: StreamShape = StreamShape {
    events: 3,
    pause: Duration::from_millis(10),
};
/// Number of requests that wait when the entry VM runs again.
const REQUESTS: usize = 24;
/// Longer than a node may be silent before it no longer counts as live.
const PAUSE: Duration = Duration::from_secs(3);
/// Part of the pause after which the requests are sent.
const SEND_AFTER: Duration = Duration::from_secs(2);

/// Guards against an entry VM that takes its own pause for a silence of all others and refuses the
/// requests that it finds when it runs again.
#[test_case(2, 0; "own_replicas")]
#[test_case(0, 2; "replicas_elsewhere")]
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_after_pause(here: usize, elsewhere: usize) {
    let regions = [
        SiteRegion::new("north", 1, here),
        SiteRegion::new("south", 1, elsewhere),
    ];
    let site = SiteCluster::start(&regions, SHAPE).await;
    let warm = site.request(0, "/plain/t", "warm").send().await;
    assert_eq!(warm.expect("the node answers").status(), StatusCode::OK);
    site.signal(0, "-STOP");
    let attempts: Vec<String> = (0..REQUESTS).map(|number| format!("p-{number}")).collect();
    let requests = attempts.iter().map(async |attempt| {
        sleep(SEND_AFTER).await;
        let response = site.request(0, "/plain/t", attempt).send().await;
        response.expect("the node answers").status()
    });
    let resume = async {
        sleep(PAUSE).await;
        site.signal(0, "-CONT");
    };
    let (statuses, ()) = tokio::join!(join_all(requests), resume);
    let served = statuses.iter().filter(|status| status.is_success());
    assert_eq!(served.count(), REQUESTS);
}

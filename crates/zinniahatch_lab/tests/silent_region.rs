//! New requests while and after all replicas of a region are silent, with a real entry VM.

use futures_util::future::join_all;
use reqwest::StatusCode;
use std::time::Duration;
use test_case::test_case;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use zinniahatch_lab::site::SiteCluster;
use zinniahatch_lab::site::SiteRegion;
use zinniahatch_lab::test_doubles::replica::StreamShape;

/// Streams that outlast the silences.
const SHAPE: StreamShape = StreamShape {
    events: 200,
    pause: Duration::from_millis(40),
};
const REPLICAS: usize = 2;
const STREAMS: usize = 6;
/// Interval between new requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Number of new requests after the end of a silence.
const REQUESTS: u32 = 30;
/// Time after the end of a silence in which what the replicas sent meanwhile is read.
const SETTLE_TIME: Duration = Duration::from_millis(250);

/// Reads a stream until its caller leaves, reporting its first event.
async fn read_stream(site: &SiteCluster, attempt: String, began: mpsc::UnboundedSender<()>) {
    let mut response = site
        .request(0, "/stream/t", &attempt)
        .send()
        .await
        .expect("the node answers");
    let mut seen = false;
    while let Ok(Some(_)) = response.chunk().await {
        if !seen {
            began.send(()).expect("the test waits for every stream");
        }
        seen = true;
    }
}

/// Returns the status of a new request sent at a time.
async fn status_at(site: &SiteCluster, at: Instant) -> StatusCode {
    sleep_until(at).await;
    let request = site.request(0, "/plain/t", &format!("p-{at:?}"));
    request.send().await.expect("the node answers").status()
}

/// Guards against requests that are refused although the replicas, which were silent for a while, go
/// on: probes that had no answer in time kept them out of use.
#[test_case(1_200; "for_a_second")]
#[test_case(2_400; "for_two_seconds")]
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_once_silence_ends(silence: u64) {
    let silence = Duration::from_millis(silence);
    let site = SiteCluster::start(&[SiteRegion::new("north", 1, REPLICAS)], SHAPE).await;
    let (began, mut beginnings) = mpsc::unbounded_channel();
    let streams =
        (0..STREAMS).map(|number| read_stream(&site, format!("s-{number}"), began.clone()));
    let requests = async {
        for _ in 0..STREAMS {
            beginnings.recv().await;
        }
        for index in 0..REPLICAS {
            site.link(index).slow(silence);
        }
        let restore = async {
            sleep(silence).await;
            for index in 0..REPLICAS {
                site.link(index).restore();
            }
        };
        restore.await;
        let start = Instant::now() + SETTLE_TIME;
        let times = (0..REQUESTS).map(|number| start + REQUEST_INTERVAL * number);
        let statuses = times.map(|at| status_at(&site, at));
        let statuses = join_all(statuses).await;
        let served = statuses.iter().filter(|status| status.is_success());
        served.count()
    };
    let served = tokio::select! {
        served = requests => served,
        _ = join_all(streams) => panic!("the streams end before the requests"),
    };
    assert_eq!(served, REQUESTS as usize);
}

//! Requests that end each replica which begins them, and crashes that no request caused.

use reqwest::StatusCode;
use std::time::Duration;
use zinniahatch_lab::site::SiteCluster;
use zinniahatch_lab::site::SiteRegion;
use zinniahatch_lab::site::wait_until;
use zinniahatch_lab::stand::fatal::CallContent;
use zinniahatch_lab::stand::replica::StreamShape;

/// Replicas that may end under one request before it is known everywhere, and tries that may follow.
const MOST_ENDS: u32 = 3 + 3;
const SHAPE: StreamShape = StreamShape {
    events: 12,
    pause: Duration::from_millis(20),
};

async fn start_site() -> SiteCluster {
    let regions = [("north", 3), ("south", 2), ("west", 2)].map(|(name, replicas)| SiteRegion {
        name,
        entries: 2,
        replicas,
    });
    SiteCluster::start(&regions, SHAPE).await
}

/// Waits until a node serves, by its own region's replicas or others.
async fn wait_serves(site: &SiteCluster, node: usize, tag: &str) {
    let mut tries = 0;
    wait_until("the node serves", async || {
        tries += 1;
        let attempt = format!("{tag}-{node}-{tries}");
        let answer = site.call(node, "/plain/look", &attempt).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    })
    .await;
}

/// Sends a request and gives the status of an answer that arrived whole.
async fn send(site: &SiteCluster, node: usize, path: &str, attempt: &str) -> Option<StatusCode> {
    let answer = site.call(node, path, attempt).send().await.ok()?;
    let status = answer.status();
    answer.bytes().await.ok()?;
    Some(status)
}

/// Callers saw streams of all kinds break off, many times in a row, and were refused because hardly a
/// replica was left. One caller's query ended each replica that began it; it came again under a new id at
/// other nodes and in other regions, and each took it for a fresh one. The log showed one digest of path,
/// caller and body on every crash, as `channel-broke ... replica=i-bad67beeee ran_ms=83 began=true`, while
/// no attempt's id stood on more than two. What ran beside it must go on being served.
#[tokio::test(flavor = "multi_thread")]
async fn fatal_request_ends_few_replicas() {
    const REPEATS: usize = 12;
    let mut site = start_site().await;
    let fatal = CallContent::of_path("/stream/fatal");
    site.fatal.add(fatal.clone());
    let nodes = site.entries.len();
    for repeat in 0..REPEATS {
        let node = repeat % nodes;
        wait_serves(&site, node, &format!("look-{repeat}")).await;
        let beside = [0, 1].map(|number| format!("/stream/beside-{node}-{number}"));
        let [one, two] = &beside;
        let (first, second) = (format!("one-{repeat}"), format!("two-{repeat}"));
        let attempt = format!("fatal-{repeat}");
        tokio::join!(
            send(&site, node, one, &first),
            send(&site, node, two, &second),
            send(&site, node, &fatal.path, &attempt),
        );
        site.replace_crashed().await;
    }
    let ends = site.fatal.ends(&fatal);
    assert!(ends <= MOST_ENDS, "{ends} replicas ended under one request");
    for node in 0..nodes {
        wait_serves(&site, node, "after").await;
        for number in [0, 1] {
            let path = format!("/stream/beside-{node}-{number}");
            let status = send(&site, node, &path, &format!("after-{node}-{number}")).await;
            assert_eq!(status, Some(StatusCode::OK), "{path} at node {node}");
        }
    }
}

/// A region lost all its replicas at once, four times. Callers' requests were on them each time, and one
/// that all callers make stood on every one of them; all were served as soon as replicas were back. None of
/// them was the cause, and none may be taken for it.
#[tokio::test(flavor = "multi_thread")]
async fn losses_of_other_cause_harm_no_request() {
    const LOSSES: usize = 4;
    let mut site = start_site().await;
    for loss in 0..LOSSES {
        wait_serves(&site, 0, &format!("look-{loss}")).await;
        let paths = ["/stream/same", "/stream/one", "/stream/two"];
        let attempts = paths.map(|path| format!("{}-{loss}", path.replace('/', "")));
        let calls = [0, 1, 2].map(|index| send(&site, index % 2, paths[index], &attempts[index]));
        let crash = async {
            wait_until("every request has begun", async || {
                attempts.iter().all(|attempt| site.runs(attempt) > 0)
            })
            .await;
            for (replica, region) in &site.replicas {
                if *region == "north" {
                    replica.crash();
                }
            }
        };
        let (_, ()) = tokio::join!(futures_util::future::join_all(calls), crash);
        site.replace_crashed().await;
        wait_serves(&site, 0, &format!("back-{loss}")).await;
        for (number, path) in paths.iter().enumerate() {
            let status = send(&site, 0, path, &format!("again-{loss}-{number}")).await;
            assert_eq!(status, Some(StatusCode::OK), "{path} after loss {loss}");
        }
    }
}

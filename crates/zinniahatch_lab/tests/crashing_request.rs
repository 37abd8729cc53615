//! Requests that crash each replica that runs them, and crashes with other causes.

use reqwest::StatusCode;
use std::time::Duration;
use test_case::test_case;
use zinniahatch_lab::relay::LinkState;
use zinniahatch_lab::relay::TcpRelay;
use zinniahatch_lab::site::AMPLE_RETRY_SLACK;
use zinniahatch_lab::site::SiteCluster;
use zinniahatch_lab::site::SiteRegion;
use zinniahatch_lab::site::wait_until;
use zinniahatch_lab::test_doubles::crashing::RequestContent;
use zinniahatch_lab::test_doubles::replica::StreamShape;

/// Replicas that a request may crash: three before all nodes know of it, and three by attempts
/// already under way.
const MAX_CRASHES: u32 = 3 + 3;
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

/// Waits until a node serves requests, with replicas of its own region or others.
async fn wait_serves(site: &SiteCluster, node: usize, tag: &str) {
    let mut tries = 0;
    wait_until("the node serves", async || {
        tries += 1;
        let attempt = format!("{tag}-{node}-{tries}");
        let response = site.request(node, "/plain/look", &attempt).send().await;
        response.is_ok_and(|response| response.status().is_success())
    })
    .await;
}

/// Sends a request and returns the status of a complete response.
async fn send(site: &SiteCluster, node: usize, path: &str, attempt: &str) -> Option<StatusCode> {
    let response = site.request(node, path, attempt).send().await.ok()?;
    let status = response.status();
    response.bytes().await.ok()?;
    Some(status)
}

/// Guards against a request that crashes replica after replica. Its caller repeats it under new ids
/// at other nodes and regions, so that no attempt id is seen on more than two crashes; only the
/// digest of path, caller and body recurs in the `channel-broke` lines of the log, such as one with
/// `replica=i-bad67beeee ran_ms=83 began=true`. Other callers lose their streams and are refused
/// because hardly any replica is left. The request must be quarantined, and those that ran beside
/// it must still be served.
#[tokio::test(flavor = "multi_thread")]
async fn fatal_request_ends_few_replicas() {
    const REPEATS: usize = 12;
    let mut site = start_site().await;
    let crashing = RequestContent::from_path("/stream/fatal");
    site.crashing_requests.add(crashing.clone());
    let nodes = site.entries.len();
    for repeat in 0..REPEATS {
        let node = repeat % nodes;
        wait_serves(&site, node, &format!("look-{repeat}")).await;
        let others = [0, 1].map(|number| format!("/stream/beside-{node}-{number}"));
        let [one, two] = &others;
        let (first, second) = (format!("one-{repeat}"), format!("two-{repeat}"));
        let attempt = format!("fatal-{repeat}");
        tokio::join!(
            send(&site, node, one, &first),
            send(&site, node, two, &second),
            send(&site, node, &crashing.path, &attempt),
        );
        site.replace_crashed().await;
    }
    let crashes = site.crashing_requests.crashes(&crashing);
    assert!(
        crashes <= MAX_CRASHES,
        "{crashes} replicas crashed by one request"
    );
    for node in 0..nodes {
        wait_serves(&site, node, "after").await;
        for number in [0, 1] {
            let path = format!("/stream/beside-{node}-{number}");
            let status = send(&site, node, &path, &format!("after-{node}-{number}")).await;
            assert_eq!(status, Some(StatusCode::OK), "{path} at node {node}");
        }
    }
}

/// Sends a crashing request to nodes in turn until one responds that it is quarantined.
async fn provoke_quarantine(site: &mut SiteCluster, content: &RequestContent, nodes: &[usize]) {
    site.crashing_requests.add(content.clone());
    let mut repeat = 0;
    loop {
        let node = nodes[repeat % nodes.len()];
        wait_serves(site, node, &format!("look-{repeat}")).await;
        let attempt = format!("fatal-{repeat}");
        let status = send(site, node, &content.path, &attempt).await;
        if status == Some(StatusCode::TOO_MANY_REQUESTS) {
            return;
        }
        site.replace_crashed().await;
        repeat += 1;
    }
}

/// Waits until a node's log, from line `from` on (the start of its current process), shows a
/// quarantined request.
async fn wait_quarantined(site: &SiteCluster, node: usize, from: usize) {
    wait_until("the node knows the quarantined request", async || {
        let log = site.log(node);
        let lines = log.lines().skip(from);
        lines
            .into_iter()
            .any(|line| line.contains("\"quarantined\""))
    })
    .await;
}

/// Checks that a node refuses a quarantined request at once, with a Retry-After, and that no
/// replica runs it.
async fn check_quarantined(site: &SiteCluster, node: usize, content: &RequestContent) {
    let before = site.crashing_requests.crashes(content);
    let attempt = format!("held-{node}");
    let response = site
        .request(node, &content.path, &attempt)
        .send()
        .await
        .unwrap();
    assert_eq!(response.status(), StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(response.headers()["x-zinnia-code"], "228");
    assert_eq!(response.headers()["x-zinnia-execution"], "not-run");
    let after = response.headers()["retry-after"].to_str().unwrap();
    let seconds: f64 = after.parse().unwrap();
    assert!(
        seconds > 60.0,
        "a caller is told to come back after {after} s"
    );
    assert_eq!(site.crashing_requests.crashes(content), before);
    assert_eq!(site.runs(&attempt), 0);
}

/// Guards against losing quarantines when all nodes lose power, after which a repeat of the request
/// would crash three more replicas. They are persisted in the store.
#[tokio::test(flavor = "multi_thread")]
async fn hold_outlives_all_nodes() {
    let mut site = start_site().await;
    let crashing = RequestContent::from_path("/stream/fatal");
    provoke_quarantine(&mut site, &crashing, &[0, 2]).await;
    wait_until("the quarantine is persisted in the store", async || {
        (0..site.entries.len()).any(|node| site.log(node).contains("quarantine-kept"))
    })
    .await;
    let nodes = site.entries.len();
    let lines: Vec<usize> = (0..nodes)
        .map(|node| {
            site.kill(node);
            site.log(node).lines().count()
        })
        .collect();
    for node in 0..nodes {
        site.spawn(node);
    }
    for (node, from) in lines.into_iter().enumerate() {
        site.wait_ready(node).await;
        wait_quarantined(&site, node, from).await;
        check_quarantined(&site, node, &crashing).await;
    }
}

/// Guards against a node that was frozen while the others learned of a crashing request and so
/// received no datagram about it. The heartbeats of its neighbours show that their state differs.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_node_learns_of_the_quarantine() {
    const SLEEPER: usize = 5;
    let mut site = start_site().await;
    let crashing = RequestContent::from_path("/stream/fatal");
    site.signal(SLEEPER, "-STOP");
    provoke_quarantine(&mut site, &crashing, &[0, 1, 2]).await;
    site.signal(SLEEPER, "-CONT");
    wait_quarantined(&site, SLEEPER, 0).await;
    check_quarantined(&site, SLEEPER, &crashing).await;
    let other = site
        .request(SLEEPER, "/stream/other", "other")
        .send()
        .await
        .unwrap();
    assert_eq!(other.status(), StatusCode::OK);
}

/// Guards against crashing requests on every kind of route. A request that may run once is never
/// retried by a node, and each repeat by its caller crashes one replica; a plain one is tried
/// twice; a bound one crashes replicas of its home region only. Every node must refuse each of them
/// at once as not run.
#[test_case("/plain/fatal"; "plain")]
#[test_case("/once/fatal"; "once")]
#[test_case("/bound/fatal"; "bound")]
#[tokio::test(flavor = "multi_thread")]
async fn fatal_request_is_held_on_every_route(path: &str) {
    let mut site = start_site().await;
    let crashing = RequestContent::from_path(path);
    provoke_quarantine(&mut site, &crashing, &[0, 3, 4, 1]).await;
    let crashes = site.crashing_requests.crashes(&crashing);
    assert!(
        crashes <= MAX_CRASHES,
        "{crashes} replicas crashed by one request"
    );
    for node in 0..site.entries.len() {
        wait_quarantined(&site, node, 0).await;
        check_quarantined(&site, node, &crashing).await;
    }
}

/// Guards against crashing requests that are forwarded by a region without replicas. The node that
/// serves sees the replica crash, while the node that received the request from the caller forwards
/// it to the next region.
#[tokio::test(flavor = "multi_thread")]
async fn fatal_request_is_held_where_it_is_handed_over() {
    let regions = [("north", 2), ("south", 0), ("west", 2)].map(|(name, replicas)| SiteRegion {
        name,
        entries: 2,
        replicas,
    });
    let mut site = SiteCluster::start(&regions, SHAPE).await;
    let crashing = RequestContent::from_path("/stream/fatal");
    provoke_quarantine(&mut site, &crashing, &[2, 3]).await;
    let crashes = site.crashing_requests.crashes(&crashing);
    assert!(
        crashes <= MAX_CRASHES,
        "{crashes} replicas crashed by one request"
    );
    for node in 0..site.entries.len() {
        wait_quarantined(&site, node, 0).await;
        check_quarantined(&site, node, &crashing).await;
    }
}

/// Guards against quarantining the request of another caller. Two callers send the same body to the
/// same path, and it crashes replicas for one of them only, as when an engine fails on its cached
/// state of one session. The other caller must be served.
#[tokio::test(flavor = "multi_thread")]
async fn quarantine_applies_to_one_caller() {
    let mut site = start_site().await;
    let crashing = RequestContent::from_path("/stream/same");
    provoke_quarantine(&mut site, &crashing, &[0, 2, 4]).await;
    let request = site.request(0, "/stream/same", "other-caller");
    let response = request
        .header("authorization", "Token other")
        .send()
        .await
        .unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    check_quarantined(&site, 0, &crashing).await;
}

/// Guards against quarantining requests for crashes that they did not cause. A region loses all its
/// replicas at once, four times, each time while the same requests run on them. All must be served
/// once replicas are back.
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
            wait_until("every request is running", async || {
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

/// Guards against a crash that is not counted, since the process still accepted connections for a moment after
/// it had closed those of its requests. Another request's crashes would outnumber it.
#[tokio::test(flavor = "multi_thread")]
async fn crash_counts_where_the_listener_closes_last() {
    const LATE_CONNECTIONS: u32 = 2;
    let site = SiteCluster::prepare(&[SiteRegion::new("north", 1, 1)], SHAPE).await;
    let (replica, _) = &site.replicas[0];
    let to = replica.address.to_string();
    let ended = replica.ended().clone();
    let link = LinkState::default();
    let relay =
        TcpRelay::start_until_refused(&to, Duration::ZERO, link, ended, LATE_CONNECTIONS).await;
    let entry = replica.entry_at(&relay.address, "desk", "north-a", "ready");
    site.store.write(&format!("servers/{}", replica.id), &entry);
    let site = site.start_prepared(AMPLE_RETRY_SLACK).await;
    let crashing = RequestContent::from_path("/stream/fatal");
    site.crashing_requests.add(crashing.clone());
    wait_serves(&site, 0, "before").await;
    send(&site, 0, &crashing.path, "fatal").await;
    assert_eq!(site.crashing_requests.crashes(&crashing), 1);
    let log = site.log(0);
    assert!(log.contains("\"replica-ended\""), "{log}");
}

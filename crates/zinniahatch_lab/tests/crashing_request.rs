//! Requests that end each replica which begins them, and crashes that no request caused.

use reqwest::StatusCode;
use std::time::Duration;
use test_case::test_case;
use zinniahatch_lab::site::SiteCluster;
use zinniahatch_lab::site::SiteRegion;
use zinniahatch_lab::site::wait_until;
use zinniahatch_lab::test_doubles::crashing::RequestContent;
use zinniahatch_lab::test_doubles::replica::StreamShape;

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
/// replica was left. One caller's query ended each replica that began it; it came again under a new id
/// at other nodes and in other regions, and each took it for a fresh one. The log showed one digest of
/// path, caller and body on every crash, as `channel-broke ... replica=i-bad67beeee ran_ms=83
/// began=true`, while no attempt's id stood on more than two. What ran beside it must go on being
/// served.
#[tokio::test(flavor = "multi_thread")]
async fn fatal_request_ends_few_replicas() {
    const REPEATS: usize = 12;
    let mut site = start_site().await;
    let fatal = RequestContent::from_path("/stream/fatal");
    site.crashing_requests.add(fatal.clone());
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
    let ends = site.crashing_requests.crashes(&fatal);
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

/// Sends a request to nodes in turn until the first of them tells that it is held.
async fn make_held(site: &mut SiteCluster, content: &RequestContent, nodes: &[usize]) {
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

/// Waits until a node believes that some request is held, from the line on which a start of its begins.
async fn wait_believes(site: &SiteCluster, node: usize, from: usize) {
    wait_until("the node knows the request", async || {
        let log = site.log(node);
        let lines = log.lines().skip(from);
        lines
            .into_iter()
            .any(|line| line.contains("\"quarantined\""))
    })
    .await;
}

/// Checks that a node tells at once that a request is held, and for how long, and that no replica ends.
async fn check_held(site: &SiteCluster, node: usize, content: &RequestContent) {
    let before = site.crashing_requests.crashes(content);
    let attempt = format!("held-{node}");
    let answer = site
        .call(node, &content.path, &attempt)
        .send()
        .await
        .unwrap();
    assert_eq!(answer.status(), StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(answer.headers()["x-zinnia-code"], "228");
    assert_eq!(answer.headers()["x-zinnia-execution"], "not-run");
    let after = answer.headers()["retry-after"].to_str().unwrap();
    let seconds: f64 = after.parse().unwrap();
    assert!(
        seconds > 60.0,
        "a caller is told to come back after {after} s"
    );
    assert_eq!(site.crashing_requests.crashes(content), before);
    assert_eq!(site.runs(&attempt), 0);
}

/// All nodes lost power after a request had ended three replicas, and with them what they knew of it.
/// The caller came again, and three more replicas would have ended. The store keeps what must last.
#[tokio::test(flavor = "multi_thread")]
async fn hold_outlives_all_nodes() {
    let mut site = start_site().await;
    let fatal = RequestContent::from_path("/stream/fatal");
    make_held(&mut site, &fatal, &[0, 2]).await;
    wait_until("the store keeps the request", async || {
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
        wait_believes(&site, node, from).await;
        check_held(&site, node, &fatal).await;
    }
}

/// A node slept while the others learned of a request that ends replicas; no datagram reached it. Its
/// neighbours' cards tell that they know something else.
#[tokio::test(flavor = "multi_thread")]
async fn node_that_slept_learns_of_the_hold() {
    const SLEEPER: usize = 5;
    let mut site = start_site().await;
    let fatal = RequestContent::from_path("/stream/fatal");
    site.signal(SLEEPER, "-STOP");
    make_held(&mut site, &fatal, &[0, 1, 2]).await;
    site.signal(SLEEPER, "-CONT");
    wait_believes(&site, SLEEPER, 0).await;
    check_held(&site, SLEEPER, &fatal).await;
    let other = site
        .call(SLEEPER, "/stream/other", "other")
        .send()
        .await
        .unwrap();
    assert_eq!(other.status(), StatusCode::OK);
}

/// A request ends replicas whatever its route promises: one that may run once is never sent again by a
/// node, and its caller's repeats end one replica each; a plain one is tried twice; a bound one ends
/// those of its home alone. Every node tells each of them at once, and none ran in vain.
#[test_case("/plain/fatal"; "plain")]
#[test_case("/once/fatal"; "once")]
#[test_case("/bound/fatal"; "bound")]
#[tokio::test(flavor = "multi_thread")]
async fn fatal_request_is_held_on_every_route(path: &str) {
    let mut site = start_site().await;
    let fatal = RequestContent::from_path(path);
    make_held(&mut site, &fatal, &[0, 3, 4, 1]).await;
    let ends = site.crashing_requests.crashes(&fatal);
    assert!(ends <= MOST_ENDS, "{ends} replicas ended under one request");
    for node in 0..site.entries.len() {
        wait_believes(&site, node, 0).await;
        check_held(&site, node, &fatal).await;
    }
}

/// A region without replicas hands every request to others. The node that serves sees the replica end,
/// and the node that the caller asks hands the request on to the next region.
#[tokio::test(flavor = "multi_thread")]
async fn fatal_request_is_held_where_it_is_handed_over() {
    let regions = [("north", 2), ("south", 0), ("west", 2)].map(|(name, replicas)| SiteRegion {
        name,
        entries: 2,
        replicas,
    });
    let mut site = SiteCluster::start(&regions, SHAPE).await;
    let fatal = RequestContent::from_path("/stream/fatal");
    make_held(&mut site, &fatal, &[2, 3]).await;
    let ends = site.crashing_requests.crashes(&fatal);
    assert!(ends <= MOST_ENDS, "{ends} replicas ended under one request");
    for node in 0..site.entries.len() {
        wait_believes(&site, node, 0).await;
        check_held(&site, node, &fatal).await;
    }
}

/// Two callers send the same body to the same path, and it ends replicas for one of them alone, as when
/// an engine fails on what it keeps of the one's session. The other is served.
#[tokio::test(flavor = "multi_thread")]
async fn hold_is_of_one_caller() {
    let mut site = start_site().await;
    let fatal = RequestContent::from_path("/stream/same");
    make_held(&mut site, &fatal, &[0, 2, 4]).await;
    let call = site.call(0, "/stream/same", "other-caller");
    let answer = call
        .header("authorization", "Token other")
        .send()
        .await
        .unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    check_held(&site, 0, &fatal).await;
}

/// A region lost all its replicas at once, four times. Callers' requests were on them each time, and
/// one that all callers make stood on every one of them; all were served as soon as replicas were back.
/// None of them was the cause, and none may be taken for it.
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

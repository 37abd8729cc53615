//! Tests of replicas that announce a rate limit, with real entry VMs.

use reqwest::Response;
use reqwest::StatusCode;
use std::time::Duration;
use std::time::Instant;
use test_case::test_case;
use zinniahatch_lab::site::SiteCluster;
use zinniahatch_lab::site::SiteLoad;
use zinniahatch_lab::site::SiteRegion;
use zinniahatch_lab::site::wait_until;
use zinniahatch_lab::test_doubles::replica::ReplicaBehaviour;
use zinniahatch_lab::test_doubles::replica::StreamShape;

/// Time within which the nodes must apply an announced limit.
const GRACE: Duration = Duration::from_secs(6);
/// Duration of the load.
const TIME: Duration = Duration::from_secs(10);
/// Interval between requests to one node.
const PAUSE: Duration = Duration::from_millis(100);
/// How long a caller waits.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const SHAPE: StreamShape = StreamShape {
    events: 3,
    pause: Duration::from_millis(10),
};

/// Sends requests to every node for a time and returns the responses received.
async fn load(site: &SiteCluster, path: &str, tag: &str, time: Duration) -> Vec<Response> {
    let callers = SiteLoad {
        path,
        pause: PAUSE,
        timeout: CALL_TIMEOUT,
    };
    site.load(&callers, tag, time).await
}

fn check_limits(site: &SiteCluster) {
    for (replica, _) in &site.replicas {
        let limits = replica.observations().limits;
        let broken = limits.broken_window(GRACE, |_, _| false);
        assert_eq!(broken, None, "{}", replica.id);
    }
}

/// Guards against nodes that together exceed the rate limit of a replica.
#[tokio::test(flavor = "multi_thread")]
async fn limited_replica_is_sent_no_more() {
    let site = SiteCluster::start(&[SiteRegion::new("north", 3, 2)], SHAPE).await;
    site.replicas[0].0.set_rate_limit(Some(1.0));
    let responses = load(&site, "/plain/look", "look", TIME).await;
    check_limits(&site);
    let served = responses
        .iter()
        .filter(|response| response.status().is_success());
    assert_eq!(served.count(), responses.len());
}

/// Guards against a path on which requests bypass the limit of a replica: retried, resumed, or
/// forwarded by a region without replicas.
#[test_case("/plain/look", ReplicaBehaviour::Fail; "sent_once_more")]
#[test_case("/stream/look", ReplicaBehaviour::BreakAfter(1); "resumed")]
#[test_case("/stream/look", ReplicaBehaviour::Serve; "handed_over")]
#[tokio::test(flavor = "multi_thread")]
async fn limit_holds_on_every_way(path: &str, other: ReplicaBehaviour) {
    let regions = [
        SiteRegion::new("north", 2, 2),
        SiteRegion::new("south", 2, 0),
    ];
    let site = SiteCluster::start(&regions, SHAPE).await;
    site.replicas[0].0.set_rate_limit(Some(1.0));
    site.replicas[1].0.set_behaviour(other);
    load(&site, path, "look", TIME).await;
    check_limits(&site);
}

/// Guards against probes by all nodes at once of a rate-limited replica that has gone silent.
#[tokio::test(flavor = "multi_thread")]
async fn limit_holds_for_probes() {
    let site = SiteCluster::start(&[SiteRegion::new("north", 4, 2)], SHAPE).await;
    let replica = &site.replicas[0].0;
    replica.set_rate_limit(Some(1.0));
    load(&site, "/plain/look", "known", TIME / 4).await;
    replica.set_behaviour(ReplicaBehaviour::Mute);
    load(&site, "/plain/look", "silent", TIME).await;
    check_limits(&site);
}

/// Fault of an entry VM while a limit is in force.
#[derive(Clone, Copy, Debug)]
enum NodeFault {
    Stop,
    Kill,
    Freeze,
}

/// Guards against a process that starts or resumes and uses the share of a limit that belongs to
/// others, and against losing a limit together with a process that knew it.
#[test_case(NodeFault::Stop; "stopped")]
#[test_case(NodeFault::Kill; "killed")]
#[test_case(NodeFault::Freeze; "frozen")]
#[tokio::test(flavor = "multi_thread")]
async fn limit_outlives_nodes(fault: NodeFault) {
    let mut site = SiteCluster::start(&[SiteRegion::new("north", 3, 2)], SHAPE).await;
    site.replicas[0].0.set_rate_limit(Some(1.0));
    for node in 0..3 {
        match fault {
            NodeFault::Stop => site.terminate(node),
            NodeFault::Kill => site.kill(node),
            NodeFault::Freeze => site.signal(node, "-STOP"),
        }
        load(&site, "/plain/look", &format!("before-{node}"), TIME / 4).await;
        match fault {
            NodeFault::Stop => {
                wait_until("the entry VM ends", async || site.ended(node).is_some()).await;
                site.spawn(node);
            }
            NodeFault::Kill => site.spawn(node),
            NodeFault::Freeze => site.signal(node, "-CONT"),
        }
        load(&site, "/plain/look", &format!("after-{node}"), TIME / 4).await;
    }
    check_limits(&site);
}

/// Guards against requests that wait for replicas which will not accept them, and against refusals
/// without a Retry-After.
#[tokio::test(flavor = "multi_thread")]
async fn limited_replicas_refuse_at_once() {
    let site = SiteCluster::start(&[SiteRegion::new("north", 2, 2)], SHAPE).await;
    for (replica, _) in &site.replicas {
        replica.set_rate_limit(Some(2.0));
    }
    let responses = load(&site, "/plain/look", "look", TIME).await;
    check_limits(&site);
    let served = responses
        .iter()
        .filter(|response| response.status().is_success());
    assert!(served.count() > 0);
    for response in responses
        .iter()
        .filter(|response| !response.status().is_success())
    {
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
        let header = |name: &str| response.headers()[name].to_str().unwrap().to_owned();
        assert_eq!(header("x-zinnia-code"), "232");
        assert_eq!(header("x-zinnia-execution"), "not-run");
        let after: f64 = header("retry-after").parse().unwrap();
        assert!(after > 0.0);
    }
}

/// Guards against a limit that is still applied after the replica has stopped announcing it.
#[tokio::test(flavor = "multi_thread")]
async fn limit_ends_when_responses_no_longer_announce_it() {
    let site = SiteCluster::start(&[SiteRegion::new("north", 3, 2)], SHAPE).await;
    let replica = &site.replicas[0].0;
    replica.set_rate_limit(Some(1.0));
    load(&site, "/plain/look", "limited", TIME / 4).await;
    replica.set_rate_limit(None);
    wait_until(
        "the replica receives as much as the other one",
        async || {
            let from = Instant::now();
            load(&site, "/plain/look", "free", Duration::from_secs(1)).await;
            replica.observations().limits.arrivals_since(from) > 8
        },
    )
    .await;
    for node in 0..3 {
        wait_until("the node logs the end of the limit", async || {
            let log = site.log(node);
            let ends = |line: &str| {
                line.contains("\"rate-limit\"") && line.contains("\"per_second\":null")
            };
            log.lines().any(ends)
        })
        .await;
    }
}

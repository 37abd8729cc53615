//! Callers that leave while an entry VM waits for something, at the region of the replicas and at one that
//! forwards to it.

use reqwest::Response;
use serde_json::Value;
use std::time::Duration;
use std::time::Instant;
use test_case::test_matrix;
use zinniahatch_lab::site::SiteCluster;
use zinniahatch_lab::site::SiteRegion;
use zinniahatch_lab::site::wait_until;
use zinniahatch_lab::test_doubles::replica::ReplicaBehaviour;
use zinniahatch_lab::test_doubles::replica::StreamShape;

const REGIONS: [SiteRegion; 2] = [
    SiteRegion::new("north", 1, 3),
    SiteRegion::new("south", 1, 0),
];
/// The entry VM at the region of the replicas.
const NORTH: usize = 0;
/// The replica that a request reaches first, the one that it moves to, and a further one.
const FIRST: usize = 0;
const SECOND: usize = 1;
const THIRD: usize = 2;
const SHAPE: StreamShape = StreamShape {
    events: 400,
    pause: Duration::from_millis(40),
};
const ATTEMPT: &str = "left";
/// Time that the caller states, which the route allows.
const TIME_LIMIT: Duration = Duration::from_secs(20);

/// What the entry VM waits for when the caller leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallWait {
    /// The head of the first answer.
    FirstHead,
    /// The head of the answer of another replica, after the first one has crashed.
    HeadAfterCrash,
    /// The same, after the first one has fallen silent.
    HeadAfterSilence,
    /// A replica that can go on, after the only one has crashed.
    Place,
}

/// Registers a replica, and waits until the entry VMs of its region know it.
async fn add_replica(site: &SiteCluster, index: usize) {
    site.register(index, "ready");
    let id = &site.replicas[index].0.id;
    wait_until("the replica is known", async || {
        let log = site.log(NORTH);
        let mut lines = log.lines().rev();
        let line = lines.find(|line| line.contains(&format!("\"replica\":\"{id}\"")));
        line.is_some_and(|line| line.contains("\"kind\":\"replica\""))
    })
    .await;
}

async fn remove_replica(site: &SiteCluster, index: usize) {
    site.unregister(index);
    let id = &site.replicas[index].0.id;
    wait_until("the replica is gone", async || {
        let log = site.log(NORTH);
        let mut lines = log.lines();
        lines.any(|line| line.contains("replica-entry-gone") && line.contains(&**id))
    })
    .await;
}

/// Waits until an entry VM has ended its stream for a caller that has left; returns how often it was sent.
async fn sends_until_left(site: &SiteCluster, node: usize) -> u64 {
    let mut sends = None;
    wait_until("the stream has ended", async || {
        let log = site.log(node);
        let mut lines = log
            .lines()
            .rev()
            .filter_map(|line| line.parse::<Value>().ok());
        let end = lines.find(|line| line["kind"] == "stream-end");
        sends = end.and_then(|end| (end["end"] == "CallerGone").then(|| end["sends"].as_u64())?);
        sends.is_some()
    })
    .await;
    sends.unwrap_or_default()
}

fn has_arrived(site: &SiteCluster, index: usize) -> bool {
    let arrivals = site.replicas[index].0.observations().arrivals;
    arrivals.iter().any(|(_, attempt)| &**attempt == ATTEMPT)
}

/// Waits until the entry VM of the caller waits as described; returns the answer that has begun.
async fn reach_wait(site: &SiteCluster, node: usize, path: &str, wait: CallWait) -> impl Sized {
    let sending = site.request_with_timeout(node, path, ATTEMPT, TIME_LIMIT);
    let mut sending = Box::pin(sending.send());
    if wait == CallWait::FirstHead {
        site.replicas[FIRST].0.set_behaviour(ReplicaBehaviour::Mute);
        let arrived = wait_until("the request has arrived", async || has_arrived(site, FIRST));
        tokio::select! {
            _ = &mut sending => panic!("a mute replica has answered"),
            () = arrived => return (Some(sending), None::<Response>),
        }
    }
    let mut answer = sending.await.expect("the entry VM answers");
    answer.chunk().await.expect("the stream has begun");
    if wait != CallWait::Place {
        site.replicas[SECOND]
            .0
            .set_behaviour(ReplicaBehaviour::Mute);
        add_replica(site, SECOND).await;
    }
    if wait == CallWait::HeadAfterSilence {
        site.link(FIRST).hold(TIME_LIMIT);
    } else {
        site.replicas[FIRST].0.crash();
    }
    wait_until("the stream is to go on elsewhere", async || match wait {
        CallWait::Place => site.log(NORTH).contains("replica-ended"),
        _ => has_arrived(site, SECOND),
    })
    .await;
    (None, Some(answer))
}

/// Guards against replicas that work on for callers that have left, and against sending their requests to
/// further replicas.
#[test_matrix(
    [0, 1],
    [
        ("/plain/x", CallWait::FirstHead),
        ("/stream/x", CallWait::FirstHead),
        ("/stream/x", CallWait::HeadAfterCrash),
        ("/stream/x", CallWait::HeadAfterSilence),
        ("/stream/x", CallWait::Place),
    ]
)]
#[tokio::test(flavor = "multi_thread")]
async fn caller_leaves_while_something_is_awaited(node: usize, (path, wait): (&str, CallWait)) {
    let site = SiteCluster::start(&REGIONS, SHAPE).await;
    remove_replica(&site, SECOND).await;
    remove_replica(&site, THIRD).await;
    let sent = Instant::now();
    let call = reach_wait(&site, node, path, wait).await;
    drop(call);
    let waiting = match wait {
        CallWait::FirstHead => Some(FIRST),
        CallWait::HeadAfterCrash | CallWait::HeadAfterSilence => Some(SECOND),
        CallWait::Place => None,
    };
    wait_until("the request has ended", async || match waiting {
        Some(index) => {
            let observations = site.replicas[index].0.observations();
            observations.closed_unanswered.contains(ATTEMPT)
        }
        None => site.log(node).contains("stream-end"),
    })
    .await;
    if wait != CallWait::FirstHead {
        // What was written before the caller left counts as sent.
        assert_eq!(
            sends_until_left(&site, node).await,
            1 + u64::from(waiting.is_some())
        );
    }
    let took = sent.elapsed();
    assert!(took < TIME_LIMIT, "it ended at its deadline only: {took:?}");
    add_replica(&site, THIRD).await;
    let response = site.request(NORTH, "/plain/next", "next").send();
    let response = response.await.expect("the entry VM answers");
    assert!(response.status().is_success());
    assert!(!has_arrived(&site, THIRD), "it was sent on");
}

//! Replicas that say that they leave, or ask for rest, in their answers, with real entry VMs.

use reqwest::Response;
use reqwest::StatusCode;
use std::time::Duration;
use test_case::test_case;
use zinniahatch_lab::site::SiteCluster;
use zinniahatch_lab::site::SiteLoad;
use zinniahatch_lab::site::SiteRegion;
use zinniahatch_lab::site::wait_until;
use zinniahatch_lab::test_doubles::faults::ServiceMode;
use zinniahatch_lab::test_doubles::replica::ReplicaBehaviour;
use zinniahatch_lab::test_doubles::replica::StreamShape;

/// Time after which a replica that leaves must get nothing more.
const DRAIN_TIME: Duration = Duration::from_secs(4);
/// Time for which callers come.
const TIME: Duration = Duration::from_secs(8);
/// Pause between the requests to one node.
const PAUSE: Duration = Duration::from_millis(60);
/// How long a caller waits.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The rest that replicas ask for, in seconds.
const REST: &str = "2.5";
const SHAPE: StreamShape = StreamShape {
    events: 3,
    pause: Duration::from_millis(10),
};

/// Calls every node again and again until a time has passed; gives the answers that came.
async fn load(site: &SiteCluster, path: &str, tag: &str, time: Duration) -> Vec<Response> {
    let callers = SiteLoad {
        path,
        pause: PAUSE,
        timeout: CALL_TIMEOUT,
    };
    site.load(&callers, tag, time).await
}

/// What the store says while a replica leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StoreWord {
    /// It answers nothing.
    Silent,
    /// That the replica is ready, again and again.
    Ready,
    /// That the replica is gone, and then that it is ready.
    Lapsed,
}

/// Guards against requests to a replica that has said in an answer that it leaves, whatever the store
/// says and on whichever way they come.
#[test_case("/plain/look", ReplicaBehaviour::Serve, StoreWord::Silent; "store_silent")]
#[test_case("/plain/look", ReplicaBehaviour::Serve, StoreWord::Ready; "store_says_ready")]
#[test_case("/plain/look", ReplicaBehaviour::Serve, StoreWord::Lapsed; "entry_lapsed")]
#[test_case("/plain/look", ReplicaBehaviour::Fail, StoreWord::Silent; "sent_once_more")]
#[test_case("/stream/look", ReplicaBehaviour::BreakAfter(1), StoreWord::Silent; "resumed")]
#[tokio::test(flavor = "multi_thread")]
async fn leaving_replica_is_sent_nothing(path: &str, other: ReplicaBehaviour, word: StoreWord) {
    let regions = [
        SiteRegion::new("north", 2, 2),
        SiteRegion::new("south", 1, 0),
    ];
    let site = SiteCluster::start(&regions, SHAPE).await;
    let replica = &site.replicas[0].0;
    site.replicas[1].0.set_behaviour(other);
    if word == StoreWord::Silent {
        site.store_faults.set(ServiceMode::Silent);
    }
    replica.announce_leaving();
    load(&site, path, "first", TIME / 8).await;
    match word {
        StoreWord::Silent => {}
        StoreWord::Ready => site.register(0, "ready"),
        StoreWord::Lapsed => {
            site.unregister(0);
            load(&site, path, "lapsed", TIME / 8).await;
            site.register(0, "ready");
        }
    }
    load(&site, path, "then", TIME).await;
    let notices = replica.observations().notices;
    let broken = notices.leaving_violation(DRAIN_TIME, |_| Some(0), |_, _, _| false);
    assert_eq!(broken, None);
}

/// Guards against requests to a replica in the time for which it wants none from this node, on
/// whichever way they come.
#[test_case("/plain/look", ReplicaBehaviour::Serve; "first_sends")]
#[test_case("/plain/look", ReplicaBehaviour::Fail; "sent_once_more")]
#[test_case("/stream/look", ReplicaBehaviour::BreakAfter(1); "resumed")]
#[test_case("/plain/look", ReplicaBehaviour::Shed; "all_rest")]
#[tokio::test(flavor = "multi_thread")]
async fn resting_replica_is_sent_little(path: &str, other: ReplicaBehaviour) {
    let regions = [
        SiteRegion::new("north", 1, 2),
        SiteRegion::new("south", 1, 0),
    ];
    let site = SiteCluster::start(&regions, SHAPE).await;
    for (replica, _) in &site.replicas {
        replica.request_backoff(Some(REST));
    }
    site.replicas[0].0.set_behaviour(ReplicaBehaviour::Shed);
    site.replicas[1].0.set_behaviour(other);
    load(&site, path, "look", TIME).await;
    let mut rests = 0;
    for (replica, _) in &site.replicas {
        let notices = replica.observations().notices;
        rests += notices.backoffs();
        let broken = notices.backoff_violation(|_| Some(0), |_, _, _| false);
        assert_eq!(broken, None, "{}", replica.id);
    }
    assert!(rests > 0);
}

/// Guards against requests that wait for replicas which want none, and against a time to come back that
/// is not theirs.
#[tokio::test(flavor = "multi_thread")]
async fn resting_replicas_refuse_at_once() {
    let site = SiteCluster::start(&[SiteRegion::new("north", 1, 2)], SHAPE).await;
    for (replica, _) in &site.replicas {
        replica.request_backoff(Some(REST));
        replica.set_behaviour(ReplicaBehaviour::Shed);
    }
    let rest: f64 = REST.parse().unwrap();
    let answers = load(&site, "/plain/look", "look", TIME / 2).await;
    let mut resting = 0;
    for answer in &answers {
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(header(answer, "x-zinnia-execution"), "not-run");
        if header(answer, "x-zinnia-code") != "233" {
            continue;
        }
        resting += 1;
        let after: f64 = header(answer, "retry-after").parse().unwrap();
        assert!(after > 0.0 && after < rest + 3.0, "{after}");
    }
    assert!(
        resting > answers.len() / 2,
        "{resting} of {}",
        answers.len()
    );
    for (replica, _) in &site.replicas {
        replica.set_behaviour(ReplicaBehaviour::Serve);
    }
    wait_until("the replicas serve again", async || {
        let answers = load(&site, "/plain/look", "back", PAUSE * 10).await;
        answers.iter().all(|answer| answer.status().is_success())
    })
    .await;
}

/// Guards against a refusal that does not say that all replicas leave.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_replicas_refuse_by_reason() {
    let site = SiteCluster::start(&[SiteRegion::new("north", 1, 2)], SHAPE).await;
    for (replica, _) in &site.replicas {
        replica.announce_leaving();
    }
    wait_until("the replicas are believed to leave", async || {
        let answers = load(&site, "/plain/look", "look", PAUSE * 10).await;
        answers
            .iter()
            .all(|answer| header(answer, "x-zinnia-code") == "234")
    })
    .await;
}

/// Guards against a new word of replicas that nobody notices.
#[tokio::test(flavor = "multi_thread")]
async fn unread_headers_are_listed() {
    let site = SiteCluster::start(&[SiteRegion::new("north", 1, 1)], SHAPE).await;
    site.replicas[0].0.add_header("Server-Mood");
    wait_until("the header is logged", async || {
        load(&site, "/plain/look", "look", PAUSE * 4).await;
        site.log(0).contains("server-mood")
    })
    .await;
    let log = site.log(0);
    let lines = log.lines().filter(|line| line.contains("unread-header"));
    assert_eq!(lines.count(), 1);
}

fn header<'a>(answer: &'a Response, name: &str) -> &'a str {
    let value = answer.headers().get(name);
    value.map_or("", |value| value.to_str().unwrap())
}

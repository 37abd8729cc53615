//! Replicas that name a rate limit, with real entry VMs.

use reqwest::StatusCode;
use std::time::Duration;
use std::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use zinniahatch_lab::site::SiteCluster;
use zinniahatch_lab::site::SiteRegion;
use zinniahatch_lab::stand::replica::StreamShape;

/// Time after which the nodes must keep to a limit that was named.
const GRACE: Duration = Duration::from_secs(6);
/// Pause between the requests to one node.
const PAUSE: Duration = Duration::from_millis(100);
const SHAPE: StreamShape = StreamShape {
    events: 3,
    pause: Duration::from_millis(10),
};

/// Calls every node in turn until a time has passed; gives the statuses of the answers.
async fn load(site: &SiteCluster, path: &str, tag: &str, time: Duration) -> Vec<StatusCode> {
    let mut ticks = interval(PAUSE);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let began = Instant::now();
    let mut statuses = Vec::new();
    let mut number = 0;
    while began.elapsed() < time {
        ticks.tick().await;
        let calls = (0..site.entries.len()).map(|node| async move {
            let attempt = format!("{tag}-{node}-{number}");
            let answer = site.call(node, path, &attempt).send().await;
            let answer = answer.expect("the node answers");
            answer.status()
        });
        statuses.extend(futures_util::future::join_all(calls).await);
        number += 1;
    }
    statuses
}

/// Guards against nodes that do not keep to the rate limit of a replica together.
#[ignore = "known and open: see KNOWN-RED.txt"]
#[tokio::test(flavor = "multi_thread")]
async fn limited_replica_is_sent_no_more() {
    let site = SiteCluster::start(&[SiteRegion::new("north", 3, 2)], SHAPE).await;
    let (limited, _) = &site.replicas[0];
    limited.name_limit(Some(1.0));
    let statuses = load(&site, "/plain/look", "look", GRACE + Duration::from_secs(4)).await;
    assert_eq!(limited.sight().limits.broken_window(GRACE), None);
    let served = statuses.iter().filter(|status| status.is_success());
    assert_eq!(served.count(), statuses.len());
}

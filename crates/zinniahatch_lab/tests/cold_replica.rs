//! Tests of cold replicas, with real entry VMs.

use futures_util::future::join_all;
use std::time::Duration;
use std::time::Instant;
use tokio::time::sleep;
use zinniahatch_lab::site::SiteCluster;
use zinniahatch_lab::site::SiteRegion;
use zinniahatch_lab::site::wait_until;
use zinniahatch_lab::test_doubles::replica::ReplicaBehaviour;
use zinniahatch_lab::test_doubles::replica::StreamShape;

/// Requests per second to a cold replica that the desired state allows all nodes together.
const MAX_REQUESTS: usize = 3;
const NODES: usize = 10;
const SHAPE: StreamShape = StreamShape {
    events: 3,
    pause: Duration::from_millis(10),
};

/// Guards against probes by all nodes at once of a replica that returns cold.
#[tokio::test(flavor = "multi_thread")]
async fn cold_replica_is_probed_by_few() {
    let site = SiteCluster::start(&[SiteRegion::new("north", NODES, 1)], SHAPE).await;
    let replica = &site.replicas[0].0;
    replica.set_behaviour(ReplicaBehaviour::Mute);
    let calls = (0..NODES).map(|node| {
        let request = site.request(node, "/once/look", &format!("look-{node}"));
        request.send()
    });
    let measured = async {
        for node in 0..NODES {
            wait_until("the node probes the replica", async || {
                site.log(node).contains("\"probe\"")
            })
            .await;
        }
        site.register_cold(0, Duration::from_secs(60));
        // Requests in flight when the entry was written have ended by then.
        sleep(Duration::from_secs(1)).await;
        let from = Instant::now();
        sleep(Duration::from_secs(5)).await;
        let limits = replica.observations().limits;
        limits.max_within(Duration::from_secs(1), from)
    };
    let most = tokio::select! {
        _ = join_all(calls) => panic!("the silent replica answered"),
        most = measured => most,
    };
    assert!(most <= MAX_REQUESTS, "{most} requests in a second");
}

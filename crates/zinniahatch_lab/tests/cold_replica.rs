//! Tests of cold replicas, with real entry VMs.

use futures_util::future::join_all;
use serde_json::Value;
use std::time::Duration;
use std::time::Instant;
use test_case::test_case;
use tokio::time::sleep;
use zinniahatch_lab::site::SiteCluster;
use zinniahatch_lab::site::SiteRegion;
use zinniahatch_lab::site::wait_until;
use zinniahatch_lab::test_doubles::replica::ReplicaBehaviour;
use zinniahatch_lab::test_doubles::replica::StreamShape;

/// Requests per second to a cold replica that the desired state allows all nodes together.
const MAX_REQUESTS: usize = 3;
/// Time after which the entry of a replica whose health answers are cut says that it is cold.
const ENTRY_DELAY: Duration = Duration::from_millis(2_500);
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

/// Guards against the whole load of a data centre at replicas that became cold during its evacuation,
/// before their entries say so, also where the line that tells it is lost from their health answers.
#[test_case(true, ReplicaBehaviour::Serve; "cold")]
#[test_case(true, ReplicaBehaviour::CutHealth; "cold_with_cut_health_answers")]
#[test_case(false, ReplicaBehaviour::Serve; "warm")]
#[tokio::test(flavor = "multi_thread")]
async fn replica_that_is_back_in_use(cold: bool, behaviour: ReplicaBehaviour) {
    const CALLS: usize = 40;
    let site = SiteCluster::start(&[SiteRegion::new("north", 2, 1)], SHAPE).await;
    let mut state = site.desired_state(2);
    state["services"][0]["warmup_s"] = Value::from(3);
    state["services"][0]["cold_per_s"] = Value::from(MAX_REQUESTS);
    site.write_desired_state(&state);
    site.store.write("op/evacuate/north-a", "{}");
    for node in 0..2 {
        wait_until("the data centre is evacuated", async || {
            let log = site.log(node);
            log.contains("\"to\":2") && log.contains("\"on\":true")
        })
        .await;
    }
    let replica = &site.replicas[0].0;
    replica.set_behaviour(behaviour);
    if cold {
        replica.set_cold(Duration::from_secs(60));
    }
    site.store.remove("op/evacuate/north-a");
    for node in 0..2 {
        wait_until("the data centre is back in use", async || {
            site.log(node).contains("\"on\":false")
        })
        .await;
    }
    let from = Instant::now();
    let mut answered = 0;
    let mut round = 0;
    let mut told = behaviour != ReplicaBehaviour::CutHealth;
    while answered < CALLS && !(cold && from.elapsed() > Duration::from_secs(6)) {
        round += 1;
        if !told && from.elapsed() > ENTRY_DELAY {
            told = true;
            site.register_cold(0, Duration::from_secs(60));
        }
        let calls = (0..2).map(|node| {
            let request = site.request(node, "/plain/look", &format!("look-{round}-{node}"));
            request.send()
        });
        for response in join_all(calls).await {
            let response = response.expect("the node answers");
            answered += usize::from(response.status().is_success());
        }
    }
    let limits = replica.observations().limits;
    let most = limits.max_within(Duration::from_secs(1), from);
    if cold {
        assert!(most <= MAX_REQUESTS, "{most} requests in a second");
    }
}

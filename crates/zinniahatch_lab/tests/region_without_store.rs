//! Replicas that change while the store turns the entry VMs of their region away.

use futures_util::future::join_all;
use serde_json::Value;
use std::time::Duration;
use std::time::Instant;
use test_case::test_case;
use tokio::time::sleep;
use zinniahatch_lab::site::SiteCluster;
use zinniahatch_lab::site::SiteLoad;
use zinniahatch_lab::site::SiteRegion;
use zinniahatch_lab::site::wait_until;
use zinniahatch_lab::test_doubles::replica::FakeReplica;
use zinniahatch_lab::test_doubles::replica::StreamShape;

const REGIONS: [SiteRegion; 2] = [
    SiteRegion::new("north", 1, 1),
    SiteRegion::new("south", 2, 2),
];
/// The entry VMs of the region that is turned away.
const SOUTH: [usize; 2] = [1, 2];
/// The replica of the other region, and the one that changes.
const NORTH_REPLICA: usize = 0;
const CHANGED: usize = 1;
const SHAPE: StreamShape = StreamShape {
    events: 3,
    pause: Duration::from_millis(5),
};
/// Requests to each entry VM that are sent at once.
const CALLS: usize = 10;
/// Duration of a load.
const LOAD_TIME: Duration = Duration::from_secs(3);
/// Requests per second to a cold replica that the desired state allows all nodes together.
const COLD_RATE: usize = 3;
/// Requests in one second that a cold replica of such a rate bears, half as much again and three more.
const MAX_COLD_REQUESTS: usize = 7;
/// Interval between requests to one entry VM: twice as many as a cold replica bears, for each replica.
const PACED_INTERVAL: Duration = Duration::from_millis(62);

/// Waits until an entry VM has logged a text.
async fn wait_logged(site: &SiteCluster, node: usize, text: &str) {
    wait_until(text, async || site.log(node).contains(text)).await;
}

async fn configure(site: &SiteCluster, version: u64) {
    let mut state = site.desired_state(version);
    state["services"][0]["warmup_s"] = Value::from(3);
    state["services"][0]["cold_per_s"] = Value::from(COLD_RATE);
    site.write_desired_state(&state);
    for node in 0..site.entries.len() {
        wait_logged(site, node, &format!("\"to\":{version}")).await;
    }
}

/// Cuts the region off from the store, and waits until its entry VMs have noticed.
async fn turn_away(site: &SiteCluster) {
    site.store_link("south").cut();
    for node in SOUTH {
        wait_logged(site, node, "store-lost").await;
    }
}

/// Returns the replicas of the region that is turned away.
fn south_replicas(site: &SiteCluster) -> impl Iterator<Item = &FakeReplica> {
    let replicas = site.replicas.iter();
    replicas
        .filter(|(_, region)| *region == "south")
        .map(|(replica, _)| replica)
}

/// Makes the replicas of the region cold, which their health answers alone say.
fn cool_replicas(site: &SiteCluster) {
    for replica in south_replicas(site) {
        replica.set_cold(Duration::from_secs(60));
    }
}

/// Checks that no replica of the region got more requests than `most` in any second since `from`.
fn check_rate(site: &SiteCluster, most: usize, from: Instant) {
    for replica in south_replicas(site) {
        let limits = replica.observations().limits;
        let got = limits.max_within(Duration::from_secs(1), from);
        assert!(got <= most, "{got} requests in a second at {}", replica.id);
    }
}

/// Sends some requests to each entry VM of the region, and returns how many the replica got.
async fn count_arrivals(site: &SiteCluster, round: usize) -> usize {
    let arrived = || site.replicas[CHANGED].0.observations().arrivals.len();
    let before = arrived();
    let calls = SOUTH.into_iter().flat_map(|node| {
        (0..CALLS).map(move |call| {
            let attempt = format!("look-{round}-{node}-{call}");
            site.request(node, "/plain/look", &attempt).send()
        })
    });
    join_all(calls).await;
    arrived() - before
}

/// Guards against entry VMs that never learn what became of a replica while the store turned them away,
/// since a node of another region told them how far it had read.
#[test_case(|site| site.register(CHANGED, "draining"), 0..1; "drains")]
#[test_case(|site| site.unregister(CHANGED), 0..1; "leaves")]
#[test_case(|site| site.register_cold(CHANGED, Duration::from_secs(60)), 0..COLD_RATE + 1; "becomes_cold")]
#[test_case(|site| site.register(CHANGED, "ready"), 1..usize::MAX; "registers")]
#[tokio::test(flavor = "multi_thread")]
async fn replica_changes_while_its_region_is_turned_away(
    change: fn(&SiteCluster),
    expected: std::ops::Range<usize>,
) {
    let site = SiteCluster::start(&REGIONS, SHAPE).await;
    configure(&site, 2).await;
    if expected.start > 0 {
        site.unregister(CHANGED);
        for node in SOUTH {
            wait_logged(&site, node, "replica-entry-gone").await;
        }
    }
    turn_away(&site).await;
    change(&site);
    // The other region has read the change once it knows of a later one.
    site.register(NORTH_REPLICA, "draining");
    wait_logged(&site, 0, "\"leaving\":true").await;
    configure(&site, 3).await;
    site.store_link("south").heal();
    let mut round = 0;
    wait_until("the change is known", async || {
        round += 1;
        expected.contains(&count_arrivals(&site, round).await)
    })
    .await;
}

/// Guards against the whole load at cold replicas, since their region heard by a snapshot that the evacuation of their
/// data centre had ended.
#[tokio::test(flavor = "multi_thread")]
async fn evacuation_ends_while_its_region_is_turned_away() {
    let site = SiteCluster::start(&REGIONS, SHAPE).await;
    configure(&site, 2).await;
    site.store.write("op/evacuate/south-a", "{}");
    for node in 0..site.entries.len() {
        wait_logged(&site, node, "\"on\":true").await;
    }
    turn_away(&site).await;
    cool_replicas(&site);
    site.store.remove("op/evacuate/south-a");
    wait_logged(&site, 0, "\"on\":false").await;
    configure(&site, 3).await;
    let from = Instant::now();
    for round in 0.. {
        if from.elapsed() > LOAD_TIME {
            break;
        }
        count_arrivals(&site, round).await;
    }
    check_rate(&site, COLD_RATE, from);
}

/// Guards against the whole load at replicas that become cold while their region is turned away: nothing but their
/// health answers tells it.
#[tokio::test(flavor = "multi_thread")]
async fn replicas_become_cold_unseen() {
    let site = SiteCluster::start(&REGIONS, SHAPE).await;
    configure(&site, 2).await;
    turn_away(&site).await;
    let callers = SiteLoad {
        path: "/plain/look",
        pause: PACED_INTERVAL,
        timeout: Duration::from_secs(1),
    };
    let cooling = async {
        sleep(LOAD_TIME / 2).await;
        cool_replicas(&site);
        Instant::now()
    };
    let loading = site.load(&callers, "look", LOAD_TIME * 2);
    let (_, from) = tokio::join!(loading, cooling);
    check_rate(&site, MAX_COLD_REQUESTS, from);
}

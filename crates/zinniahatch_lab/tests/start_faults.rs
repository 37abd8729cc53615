//! Entry VMs that start while something that they need is missing.

use reqwest::Client;
use reqwest::StatusCode;
use std::io::ErrorKind;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::os::fd::OwnedFd;
use std::time::Duration;
use test_case::test_case;
use zinniahatch_lab::cluster::ClusterOptions;
use zinniahatch_lab::cluster::LabCluster;
use zinniahatch_lab::cluster::NodeHandle;
use zinniahatch_lab::cluster::is_ready;
use zinniahatch_lab::settings_gate::SettingsGate;
use zinniahatch_lab::site::AMPLE_RETRY_SLACK;
use zinniahatch_lab::site::LIMITED_FILE_BYTES;
use zinniahatch_lab::site::SiteCluster;
use zinniahatch_lab::site::SiteRegion;
use zinniahatch_lab::site::wait_until;
use zinniahatch_lab::test_doubles::faults::ServiceMode;
use zinniahatch_lab::test_doubles::replica::StreamShape;
use zinniahatch_lab::users;

const SHAPE: StreamShape = StreamShape {
    events: 3,
    pause: Duration::from_millis(5),
};
const REGIONS: [SiteRegion; 1] = [SiteRegion::new("north", 1, 1)];
/// Positions in the listening addresses of an entry VM.
const FRONT: usize = 0;
const READINESS: usize = 1;
const CONTROL: usize = 2;
const DIRECTORY: usize = 3;
const PEER: usize = 4;

/// Sets up a node of the first interface.
async fn prepare_daemon() -> LabCluster {
    let mut plan = users::aqsu();
    plan.regions.truncate(1);
    plan.regions[0].entries = 1;
    LabCluster::prepare(plan, &ClusterOptions::default()).await
}

/// Binds an address until the socket is dropped.
fn hold_tcp(address: &str) -> OwnedFd {
    TcpListener::bind(address)
        .expect("the address is free")
        .into()
}

fn hold_udp(address: &str) -> OwnedFd {
    UdpSocket::bind(address)
        .expect("the address is free")
        .into()
}

/// Waits until the entry VM has found an address taken.
async fn wait_awaited(site: &mut SiteCluster) {
    wait_until("the address is awaited", async || {
        assert_eq!(site.ended(0), None, "the process ended by itself");
        site.log(0).contains("listen-retry")
    })
    .await;
}

/// Guards against a process that ends at its start because a listen address is taken for a moment.
#[test_case(FRONT, hold_tcp; "front")]
#[test_case(READINESS, hold_tcp; "readiness")]
#[test_case(CONTROL, hold_tcp; "control")]
#[test_case(DIRECTORY, hold_tcp; "directory")]
#[test_case(PEER, hold_tcp; "peer_requests")]
#[test_case(PEER, hold_udp; "peer_datagrams")]
#[tokio::test(flavor = "multi_thread")]
async fn listen_address_taken_for_a_moment_ends_the_process(
    position: usize,
    hold: fn(&str) -> OwnedFd,
) {
    let mut site = SiteCluster::prepare(&REGIONS, SHAPE).await;
    let held = hold(&site.entries[0].addresses[position]);
    site.spawn(0);
    wait_awaited(&mut site).await;
    drop(held);
    site.wait_ready(0).await;
    let response = site.request(0, "/plain/x", "a1").send().await;
    assert_eq!(response.expect("the node answers").status(), StatusCode::OK);
}

/// Guards against a node that takes connections and does not serve them while one of its addresses is
/// missing.
#[test_case(FRONT; "front")]
#[test_case(READINESS; "readiness")]
#[test_case(CONTROL; "control")]
#[test_case(DIRECTORY; "directory")]
#[tokio::test(flavor = "multi_thread")]
async fn node_is_reached_while_a_listen_address_is_missing(position: usize) {
    let mut site = SiteCluster::prepare(&REGIONS, SHAPE).await;
    let held = hold_udp(&site.entries[0].addresses[PEER]);
    site.spawn(0);
    wait_awaited(&mut site).await;
    let addresses = site.entries[0].addresses.clone();
    let refused = TcpStream::connect(&*addresses[position]).map_err(|error| error.kind());
    assert_eq!(refused.err(), Some(ErrorKind::ConnectionRefused));
    assert!(site.log(0).contains("\"key\":\"peer\""));
    drop(held);
    site.wait_ready(0).await;
    let metrics = format!("http://{}/metrics", addresses[CONTROL]);
    let response = reqwest::get(metrics).await.expect("the node answers");
    let text = response.text().await.expect("the answer is complete");
    assert!(
        text.contains("zinniahatch_listen_retries_total{key=\"peer\"}"),
        "{text}"
    );
}

/// Guards against a process that cannot be stopped while it waits for an address.
#[tokio::test(flavor = "multi_thread")]
async fn stop_signal_is_lost_while_a_listen_address_is_awaited() {
    let mut site = SiteCluster::prepare(&REGIONS, SHAPE).await;
    let _held = hold_tcp(&site.entries[0].addresses[FRONT]);
    site.spawn(0);
    wait_awaited(&mut site).await;
    site.terminate(0);
    wait_until("the process ends", async || site.ended(0).is_some()).await;
    assert_eq!(site.ended(0), Some(true), "it ends without an error");
    assert!(site.log(0).contains("\"stopped\""));
}

/// Guards against a node without a process: its new one ends because the former still runs out its grace
/// period.
#[tokio::test(flavor = "multi_thread")]
async fn start_beside_the_former_process_ends_the_new_one() {
    let site = SiteCluster::prepare(&REGIONS, SHAPE).await;
    let mut site = site.start_prepared(AMPLE_RETRY_SLACK).await;
    site.terminate(0);
    wait_until("the former process stops", async || {
        site.log(0).contains("\"kind\":\"stop\"")
    })
    .await;
    site.spawn(0);
    wait_awaited(&mut site).await;
    site.wait_ready(0).await;
    assert_eq!(
        site.ended(0),
        None,
        "the new process is the one that serves"
    );
}

/// Guards against a node of the first interface that ends at its start because a listen address is taken for a
/// moment.
#[test_case(|node| &node.http; "callers")]
#[test_case(|node| &node.peer; "peers")]
#[tokio::test(flavor = "multi_thread")]
async fn listen_address_taken_for_a_moment_ends_the_daemon(address: fn(&NodeHandle) -> &str) {
    let mut cluster = prepare_daemon().await;
    let held = hold_tcp(address(&cluster.nodes[0]));
    cluster.spawn(0);
    wait_until("the address is awaited", async || {
        assert_eq!(cluster.ended(0), None, "the process ended by itself");
        let log = std::fs::read_to_string(&cluster.nodes[0].log);
        log.is_ok_and(|log| log.contains("cannot listen yet"))
    })
    .await;
    drop(held);
    cluster.wait_ready().await;
}

/// Guards against an entry VM that a change of its settings ends while it starts.
#[tokio::test(flavor = "multi_thread")]
async fn settings_change_at_the_start_ends_the_process() {
    let mut site = SiteCluster::prepare(&REGIONS, SHAPE).await;
    site.place_settings(0);
    let gate = SettingsGate::close(&site.settings_path(0));
    site.spawn_process(0);
    let held = gate.wait_reached().await;
    site.signal(0, "-HUP");
    held.release().await;
    let client = Client::new();
    wait_until("the entry VM is ready", async || {
        site.signal(0, "-HUP");
        assert_eq!(site.ended(0), None, "the process ended by itself");
        site.is_ready(0, &client).await
    })
    .await;
    wait_until("the settings are read again", async || {
        site.log(0).contains("\"reload\"")
    })
    .await;
}

/// Guards against an entry VM that goes on with its start although it was told to stop.
#[test_case(&["-TERM"]; "stop")]
#[test_case(&["-HUP", "-TERM"]; "change_and_stop")]
#[tokio::test(flavor = "multi_thread")]
async fn stop_signal_is_lost_while_the_settings_are_read(signals: &[&str]) {
    let mut site = SiteCluster::prepare(&REGIONS, SHAPE).await;
    site.place_settings(0);
    let gate = SettingsGate::close(&site.settings_path(0));
    site.spawn_process(0);
    let held = gate.wait_reached().await;
    for signal in signals {
        site.signal(0, signal);
    }
    held.release().await;
    wait_until("the process ends", async || site.ended(0).is_some()).await;
}

/// Guards against a node of the first interface that a change of its settings ends while it starts.
#[tokio::test(flavor = "multi_thread")]
async fn settings_change_at_the_start_ends_the_daemon() {
    let mut cluster = prepare_daemon().await;
    let gate = SettingsGate::close(&cluster.nodes[0].settings);
    cluster.spawn(0);
    let held = gate.wait_reached().await;
    cluster.hang_up(0);
    held.release().await;
    wait_ready_under_changes(&mut cluster).await;
}

/// Guards against a node of the first interface that a change of its settings ends.
#[tokio::test(flavor = "multi_thread")]
async fn settings_change_ends_the_daemon() {
    let mut cluster = prepare_daemon().await;
    cluster.spawn(0);
    cluster.wait_ready().await;
    cluster.hang_up(0);
    wait_ready_under_changes(&mut cluster).await;
}

/// Waits until a node of the first interface is ready and has read its settings again, and tells it of a
/// change again and again meanwhile.
async fn wait_ready_under_changes(cluster: &mut LabCluster) {
    let client = Client::new();
    wait_until("the node is ready", async || {
        cluster.hang_up(0);
        assert_eq!(cluster.ended(0), None, "the process ended by itself");
        let log = std::fs::read_to_string(&cluster.nodes[0].log).unwrap_or_default();
        log.contains("settings read again") && is_ready(&client, &cluster.nodes[0].http).await
    })
    .await;
}

/// Guards against a node of the first interface that goes on with its start although it was told to stop.
#[tokio::test(flavor = "multi_thread")]
async fn stop_signal_is_lost_while_the_daemon_reads_its_settings() {
    let mut cluster = prepare_daemon().await;
    let gate = SettingsGate::close(&cluster.nodes[0].settings);
    cluster.spawn(0);
    let held = gate.wait_reached().await;
    cluster.terminate(0);
    held.release().await;
    wait_until("the process ends", async || cluster.ended(0).is_some()).await;
}

/// Writes a part of an entry VM's settings and starts it; waits until it names what is wrong with them.
async fn start_with_part_of_settings(site: &mut SiteCluster, part: fn(&str) -> Option<&str>) {
    site.place_settings(0);
    let path = site.settings_path(0);
    let text = std::fs::read_to_string(&path).expect("the settings were written");
    match part(&text) {
        Some(part) => std::fs::write(&path, part).expect("the settings can be written"),
        None => std::fs::remove_file(&path).expect("the settings can be removed"),
    }
    site.spawn_process(0);
    wait_until("the error is named", async || {
        site.errors(0).contains(&*path.to_string_lossy())
    })
    .await;
}

/// Guards against a process that ends at its start because its settings are just being placed.
#[test_case(|_| None; "missing")]
#[test_case(|_| Some(""); "empty")]
#[test_case(|text| text.split("[listen]").next(); "cut_before_the_addresses")]
#[test_case(|text| text.split("[store]").next(); "cut_before_the_store")]
#[tokio::test(flavor = "multi_thread")]
async fn settings_that_are_being_placed_end_the_process(part: fn(&str) -> Option<&str>) {
    let mut site = SiteCluster::prepare(&REGIONS, SHAPE).await;
    start_with_part_of_settings(&mut site, part).await;
    site.place_settings(0);
    let client = Client::new();
    wait_until("the entry VM is ready", async || {
        assert_eq!(site.ended(0), None, "the process ended by itself");
        site.is_ready(0, &client).await
    })
    .await;
}

/// Guards against a process that waits for right settings without end, or cannot be stopped meanwhile.
#[test_case(&[]; "given_up")]
#[test_case(&["-TERM"]; "stopped")]
#[tokio::test(flavor = "multi_thread")]
async fn wrong_settings_keep_a_process(signals: &[&str]) {
    let mut site = SiteCluster::prepare(&REGIONS, SHAPE).await;
    start_with_part_of_settings(&mut site, |_| Some("")).await;
    for signal in signals {
        site.signal(0, signal);
    }
    wait_until("the process ends", async || site.ended(0).is_some()).await;
    assert_eq!(site.ended(0), Some(false), "it ends with an error");
    assert_eq!(site.log(0), "", "it served nobody");
}

/// Guards against a process that the system ends because its log may not grow any more.
#[tokio::test(flavor = "multi_thread")]
async fn log_at_its_size_limit_ends_the_process() {
    let mut site = SiteCluster::prepare(&REGIONS, SHAPE).await;
    site.spawn_with_file_limit(0);
    site.wait_ready(0).await;
    wait_until("the log reaches its limit", async || {
        site.signal(0, "-HUP");
        site.log(0).len() >= LIMITED_FILE_BYTES
    })
    .await;
    let response = site.request(0, "/plain/x", "a1").send().await;
    assert_eq!(response.expect("the node answers").status(), StatusCode::OK);
    site.terminate(0);
    wait_until("the process ends", async || site.ended(0).is_some()).await;
    assert_eq!(site.ended(0), Some(true), "it ends by its stop");
}

/// Guards against a node of the first interface that stands still because nobody reads its log.
#[tokio::test(flavor = "multi_thread")]
async fn unread_log_holds_the_daemon() {
    let mut cluster = prepare_daemon().await;
    let _reader = cluster.spawn_unread(0).await;
    cluster.wait_ready().await;
}

/// Waits until an entry VM that starts has heard from another one, and its listing of replicas has failed.
async fn wait_listed_in_vain(site: &SiteCluster, node: usize) {
    wait_until("it lists in vain", async || {
        let log = site.log(node);
        log.contains("\"source\":\"peer\"")
            && log.contains("\"topic\":\"Replicas\"")
            && log.contains("\"store-lost\"")
    })
    .await;
}

/// Guards against an entry VM that never lists the replicas, since a node of another region told it how far that one had
/// read while the store was silent.
#[tokio::test(flavor = "multi_thread")]
async fn start_beside_a_silent_store() {
    let regions = [
        SiteRegion::new("north", 1, 1),
        SiteRegion::new("south", 1, 1),
    ];
    let mut site = SiteCluster::start(&regions, SHAPE).await;
    site.kill(1);
    site.store_faults.set(ServiceMode::Silent);
    site.spawn(1);
    wait_listed_in_vain(&site, 1).await;
    site.store_faults.set(ServiceMode::Up);
    site.wait_ready(1).await;
}

/// Guards against an entry VM that is never ready since its region has no replica, which it learned while the store
/// was silent.
#[tokio::test(flavor = "multi_thread")]
async fn start_in_a_region_without_replicas() {
    let regions = [
        SiteRegion::new("north", 1, 1),
        SiteRegion::new("south", 2, 0),
    ];
    let mut site = SiteCluster::start(&regions, SHAPE).await;
    wait_until("the other node reads for its region", async || {
        site.register(0, "ready");
        site.log(1).contains("replicas-read")
    })
    .await;
    site.kill(2);
    site.store_faults.set(ServiceMode::Silent);
    site.spawn(2);
    wait_listed_in_vain(&site, 2).await;
    site.store_faults.set(ServiceMode::Up);
    site.wait_ready(2).await;
}

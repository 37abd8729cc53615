//! Tests of the addresses that the lab assigns to processes, which bind them later.

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::net::UdpSocket;
use zinniahatch_lab::cluster::ClusterOptions;
use zinniahatch_lab::cluster::LabCluster;
use zinniahatch_lab::cluster::free_addresses;
use zinniahatch_lab::cluster::host_of;
use zinniahatch_lab::site::SiteCluster;
use zinniahatch_lab::site::SiteRegion;
use zinniahatch_lab::site::wait_until;
use zinniahatch_lab::test_doubles::replica::StreamShape;
use zinniahatch_lab::users;

/// Number of sockets bound to the wildcard address, with ephemeral ports.
const SOCKETS: usize = 200;

/// Guards against a node that cannot start because another process was given its port between the
/// choice of the address and the start.
#[test]
fn free_addresses_avoid_wildcard_sockets() {
    let mut sockets = Vec::new();
    let mut system: Vec<u16> = Vec::new();
    for _ in 0..SOCKETS {
        let socket = UdpSocket::bind("0.0.0.0:0").unwrap();
        system.push(socket.local_addr().unwrap().port());
        sockets.push(socket);
    }
    let least = system.iter().min().unwrap();
    let most = system.iter().max().unwrap();
    for address in free_addresses(50) {
        let (_, port) = address.rsplit_once(':').unwrap();
        let port: u16 = port.parse().unwrap();
        assert!(port < *least || port > *most, "{port} of {least} to {most}");
        UdpSocket::bind(&*address).unwrap();
    }
}

/// Guards against taking another process that listens at the address of a node for the node.
#[tokio::test(flavor = "multi_thread")]
#[should_panic(expected = "does not serve")]
async fn other_process_is_not_taken_for_a_node() {
    let mut plan = users::aqsu();
    plan.regions.truncate(1);
    plan.regions[0].entries = 1;
    let mut cluster = LabCluster::prepare(plan, &ClusterOptions::default()).await;
    let _listener = TcpListener::bind(&*cluster.nodes[0].http).unwrap();
    cluster.spawn(0);
    cluster.wait_ready().await;
}

/// Guards against an entry VM that keeps running although one of its addresses is taken for good.
#[tokio::test(flavor = "multi_thread")]
async fn taken_address_ends_an_entry_vm() {
    let shape = StreamShape {
        events: 1,
        pause: std::time::Duration::ZERO,
    };
    let mut site = SiteCluster::prepare(&[SiteRegion::new("north", 1, 0)], shape).await;
    let address = site.entries[0].addresses[0].to_string();
    let _listener = TcpListener::bind(&address).unwrap();
    site.spawn(0);
    wait_until("the entry VM waits for its address", async || {
        site.log(0).contains("\"listen-retry\"")
    })
    .await;
    assert_eq!(site.ended(0), None);
    // It waits for the grace period and a minute, longer than a condition is awaited.
    wait_until("the entry VM has tried for a while", async || {
        site.log(0).matches("\"listen-retry\"").count() > 100
    })
    .await;
    assert_eq!(site.ended(0), None);
    wait_until("the entry VM ends", async || site.ended(0).is_some()).await;
    assert_eq!(site.ended(0), Some(false));
}

/// Guards against two test processes that take each other's ports: those whose ids ended in the bytes
/// 0 and 1 had the same host, and one was served by the entry VMs of the other.
#[test]
fn host_of_differs_between_processes() {
    let hosts: BTreeSet<Box<str>> = (0..=u32::from(u16::MAX)).map(|id| host_of(id, 0)).collect();
    assert_eq!(hosts.len(), 1 << 16);
}

//! Preparation of a cluster before its daemons start: test doubles, configuration, addresses, settings
//! files.

use super::ClusterOptions;
use super::NEXT_ADDRESS;
use super::NodeHandle;
use super::SECRET;
use super::config_of;
use crate::history::HistoryLog;
use crate::relay::LinkState;
use crate::relay::TcpRelay;
use crate::test_doubles::backend::FakeBackend;
use crate::test_doubles::directory::FakeDirectory;
use crate::test_doubles::engine::FakeEngine;
use crate::test_doubles::plain::start_plain;
use crate::test_doubles::scripted_plain::start_scripted_plain;
use crate::test_doubles::serve::FakeServer;
use crate::users::UserPlan;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use zinniahatch_base::prelude::*;
use zinniahatch_change::ChangeOutcome;
use zinniahatch_change::ChangeRequest;
use zinniahatch_change::ConfigUpdater;
use zinniahatch_config::ClusterConfig;
use zinniahatch_config::FencingRule;
use zinniahatch_config::ServiceKind;
use zinniahatch_platform::KvClient;
use zinniahatch_platform::ListedVm;
use zinniahatch_platform::VmKind;
use zinniahatch_platform::VmState;

/// Allocation of loopback addresses within one process: calls rotate through `HOSTS` hosts; on each
/// host, the search for free ports starts at `FIRST_PORT`, `PORT_STRIDE` ports higher in each round,
/// and wraps after `STRIDES` rounds.
const HOSTS: u64 = 100;
const FIRST_PORT: u16 = 20_000;
const PORT_STRIDE: u16 = 100;
const STRIDES: u64 = 100;
/// First ephemeral port, assumed if the kernel does not report its range.
const DEFAULT_EPHEMERAL_START: u16 = 32_768;

type StartedBackends = (
    BTreeMap<ReplicaId, Arc<FakeEngine>>,
    BTreeMap<ReplicaId, Arc<FakeBackend>>,
    BTreeMap<ReplicaId, FakeServer>,
);

/// Starts a test double of each backend server and writes its address into the plan.
pub(super) async fn start_backends(
    plan: &mut UserPlan,
    options: &ClusterOptions,
    history: &HistoryLog,
    directory: &FakeDirectory,
) -> StartedBackends {
    let config = config_of(plan);
    let mut engines = BTreeMap::new();
    let mut backends = BTreeMap::new();
    let mut servers = BTreeMap::new();
    let mut text = String::new();
    let mut shared_url: Option<String> = None;
    for (name, entry) in &config.backends {
        let region = config
            .topology
            .region_of(&entry.data_centre)
            .expect("the topology lists the data centre");
        let backend = FakeBackend::new(name, region, entry.slots, history.clone());
        let shared = shared_url.as_ref().filter(|_| options.shared_backends);
        let url = if let Some(url) = shared {
            url.clone()
        } else {
            let server = match config.services[&entry.service].kind {
                ServiceKind::Engine => {
                    let engine = FakeEngine::new(
                        Arc::clone(&backend),
                        options.speed,
                        entry.fencing == FencingRule::Checked,
                    );
                    engines.insert(name.clone(), Arc::clone(&engine));
                    engine.start().await
                }
                ServiceKind::Plain => match options.plain_rest {
                    Some(rest) => start_scripted_plain(entry.slots, rest).await,
                    None => start_plain(Arc::clone(&backend), options.plain_time).await,
                },
            };
            let url = server.url();
            servers.insert(name.clone(), server);
            url
        };
        shared_url = Some(url.clone());
        text.push_str(&format!(
            "[backend {name}]\nservice = {}\ndata_centre = {}\naddress = {}\nslots = {}\nfencing = {}\n",
            entry.service, entry.data_centre, url, entry.slots, entry.fencing.as_str()
        ));
        directory.list_vm(ListedVm {
            name: name.clone(),
            kind: VmKind::Backend,
            data_centre: entry.data_centre.clone(),
            state: VmState::Live,
        });
        backends.insert(name.clone(), backend);
    }
    plan.parts.insert("backends".into(), text.into());
    (engines, backends, servers)
}

pub(super) async fn bootstrap(plan: &UserPlan, store: &str) {
    let request = ChangeRequest {
        change: "bootstrap".into(),
        expect_revision: 0,
        preset: Some(plan.preset.into()),
        parts: plan
            .parts
            .iter()
            .map(|(name, text)| (name.clone(), Some(text.clone())))
            .collect(),
        check: false,
    };
    let outcome = ConfigUpdater::new(KvClient::new(store))
        .apply(&request, "lab", |_| None)
        .await;
    assert_eq!(
        outcome,
        Ok(ChangeOutcome::Accepted(1)),
        "the first configuration is accepted"
    );
}

pub(super) fn make_nodes(plan: &UserPlan, folder: &std::path::Path) -> Vec<NodeHandle> {
    let count: usize = plan.regions.iter().map(|region| region.entries).sum();
    let mut ports = free_addresses(count * 2).into_iter();
    let mut nodes = Vec::new();
    for region in &plan.regions {
        for number in 1..=region.entries {
            let name: NodeId = format!("{}-{number}", region.data_centre).into();
            nodes.push(NodeHandle {
                settings: folder.join(format!("{name}.ini")),
                log: folder.join(format!("{name}.log")),
                name,
                region: region.region.clone(),
                data_centre: region.data_centre.clone(),
                http: ports.next().expect("enough addresses were found"),
                peer: ports.next().expect("enough addresses were found"),
                child: None,
            });
        }
    }
    nodes
}

/// Finds `count` unused loopback addresses, with ports below the ephemeral range.
///
/// A node binds its addresses long after they were chosen, and again after a restart. In the meantime,
/// a socket bound to the wildcard address, such as one for outgoing datagrams, may take any port of the
/// ephemeral range.
///
/// # Panics
///
/// Panics if too few ports are free.
pub fn free_addresses(count: usize) -> Vec<Box<str>> {
    let number = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
    let host = host_of(std::process::id(), number);
    let first = FIRST_PORT + (number / HOSTS % STRIDES) as u16 * PORT_STRIDE;
    let free = (first..ephemeral_port_start()).filter(|port| is_free(&host, *port));
    let found: Vec<Box<str>> = free
        .take(count)
        .map(|port| format!("{host}:{port}").into())
        .collect();
    assert_eq!(found.len(), count, "enough ports are free");
    found
}

/// Returns the loopback host of a process's call with a number.
///
/// Processes whose ids differ in the lower 16 bits never share one: between the choice of a port and
/// its use, one of two that did would take the other's.
pub fn host_of(process: u32, number: u64) -> Box<str> {
    let [.., high, low] = process.to_be_bytes();
    format!("127.{}.{high}.{low}", 100 + number % HOSTS).into()
}

/// Returns whether a port is unused for both TCP and UDP.
fn is_free(host: &str, port: u16) -> bool {
    TcpListener::bind((host, port)).is_ok() && UdpSocket::bind((host, port)).is_ok()
}

/// Returns the first port of the kernel's ephemeral range.
fn ephemeral_port_start() -> u16 {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range");
    let first = range
        .ok()
        .and_then(|range| range.split_whitespace().next()?.parse().ok());
    first.unwrap_or(DEFAULT_EPHEMERAL_START)
}

/// Starts the relays through which a node reaches the nodes of other regions; returns the address
/// translations.
pub(super) async fn make_relays(
    config: &ClusterConfig,
    plan: &UserPlan,
    nodes: &[NodeHandle],
    node: &NodeHandle,
    links: &mut BTreeMap<(RegionId, RegionId), LinkState>,
    relays: &mut Vec<TcpRelay>,
) -> Vec<(Box<str>, Box<str>)> {
    let mut translate = Vec::new();
    if plan.regions.len() < 2 {
        return translate;
    }
    for other in nodes.iter().filter(|other| other.region != node.region) {
        let mut pair = [node.region.clone(), other.region.clone()];
        pair.sort();
        let [one, two] = pair;
        let link = links.entry((one, two)).or_default().clone();
        let delay = config.topology.delay(&node.region, &other.region);
        for address in [&other.http, &other.peer] {
            let relay = TcpRelay::start(address, delay, link.clone()).await;
            translate.push((address.clone(), relay.address.clone()));
            relays.push(relay);
        }
    }
    translate
}

pub(super) fn settings_text(
    node: &NodeHandle,
    nodes: &[NodeHandle],
    store: &str,
    directory: &str,
    translate: &[(Box<str>, Box<str>)],
    options: &ClusterOptions,
) -> String {
    let seeds: Vec<&str> = nodes
        .iter()
        .filter(|other| other.data_centre == node.data_centre)
        .map(|other| &*other.peer)
        .collect();
    let mut text = format!(
        "[node]\nname = {}\ndata_centre = {}\nregion = {}\nlisten = {}\npeer_listen = {}\nsecret = {SECRET}\nseeds = {}\n\n[platform]\nstore = {store}\ndirectory = {directory}\nvm_list = {directory}\n\n[limits]\nbody_timeout = {}\n\n[routing]\nrule = {}\n\n[reports]\nseal_interval = {}\nmerge_interval = {}\n\n[log]\nlevel = {}\n",
        node.name,
        node.data_centre,
        node.region,
        node.http,
        node.peer,
        seeds.join(", "),
        zinniahatch_config::format_duration(options.body_timeout),
        options.route.as_str(),
        zinniahatch_config::format_duration(options.seal),
        zinniahatch_config::format_duration(options.merge),
        options.log_level
    );
    if !translate.is_empty() {
        text.push_str("\n[translate]\n");
        for (index, (from, to)) in translate.iter().enumerate() {
            text.push_str(&format!("{index} = {from} {to}\n"));
        }
    }
    text
}

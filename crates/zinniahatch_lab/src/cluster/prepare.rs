//! What a system needs before its daemons start: stand-ins, configuration, addresses, settings.

use super::ClusterOptions;
use super::NEXT_ADDRESS;
use super::NodeHandle;
use super::SECRET;
use super::config_of;
use crate::history::HistoryLog;
use crate::relay::LinkState;
use crate::relay::TcpRelay;
use crate::stand::backend::StandBackend;
use crate::stand::directory::StandDirectory;
use crate::stand::engine::StandEngine;
use crate::stand::plain::start_plain;
use crate::stand::serve::StandServer;
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

/// Loopback hosts that a process uses in turn, and the ports on each: where they begin, how far apart those of two turns
/// are, and turns before they come again.
const HOSTS: u64 = 100;
const FIRST_PORT: u16 = 20_000;
const PORTS_APART: u16 = 100;
const ROUNDS: u64 = 100;
/// The first of the ports that the system gives out by itself, where it does not say.
const USUAL_SYSTEM_PORTS: u16 = 32_768;

type StartedBackends = (
    BTreeMap<ReplicaId, Arc<StandEngine>>,
    BTreeMap<ReplicaId, Arc<StandBackend>>,
    BTreeMap<ReplicaId, StandServer>,
);

/// Starts a stand-in for each backend server and writes its address into the plan.
pub(super) async fn start_backends(
    plan: &mut UserPlan,
    options: &ClusterOptions,
    history: &HistoryLog,
    directory: &StandDirectory,
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
            .expect("the plan is checked");
        let backend = StandBackend::new(name, region, entry.slots, history.clone());
        let shared = shared_url.as_ref().filter(|_| options.shared_backends);
        let url = if let Some(url) = shared {
            url.clone()
        } else {
            let server = match config.services[&entry.service].kind {
                ServiceKind::Engine => {
                    let engine = StandEngine::new(
                        Arc::clone(&backend),
                        options.speed,
                        entry.fencing == FencingRule::Checked,
                    );
                    engines.insert(name.clone(), Arc::clone(&engine));
                    engine.start().await
                }
                ServiceKind::Plain => start_plain(Arc::clone(&backend), options.plain_time).await,
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
    let ask = ChangeRequest {
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
    let verdict = ConfigUpdater::new(KvClient::new(store))
        .apply(&ask, "lab", |_| None)
        .await;
    assert_eq!(
        verdict,
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
                http: ports.next().expect("enough ports were taken"),
                peer: ports.next().expect("enough ports were taken"),
                child: None,
            });
        }
    }
    nodes
}

/// Finds so many addresses of this machine on which nobody listens, with ports that the system gives to nobody by itself.
///
/// A node is started long after its addresses were found, and again after it was stopped. A socket that is open to all
/// addresses of the machine, as those of outgoing datagrams are, would take a port of the system's own range meanwhile.
///
/// # Panics
///
/// Where no port is free.
pub fn free_addresses(count: usize) -> Vec<Box<str>> {
    let process = std::process::id();
    let number = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
    let host = format!(
        "127.{}.{}.{}",
        100 + number % HOSTS,
        (process >> 8) & 0xff,
        (process & 0xff).max(1)
    );
    let first = FIRST_PORT + (number / HOSTS % ROUNDS) as u16 * PORTS_APART;
    let free = (first..system_ports()).filter(|port| is_free(&host, *port));
    let found: Vec<Box<str>> = free
        .take(count)
        .map(|port| format!("{host}:{port}").into())
        .collect();
    assert_eq!(found.len(), count, "ports are free");
    found
}

/// Tells whether nobody has a port, for connections or datagrams.
fn is_free(host: &str, port: u16) -> bool {
    TcpListener::bind((host, port)).is_ok() && UdpSocket::bind((host, port)).is_ok()
}

/// Gives the first of the ports that the system gives out by itself.
fn system_ports() -> u16 {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range");
    let first = range
        .ok()
        .and_then(|range| range.split_whitespace().next()?.parse().ok());
    first.unwrap_or(USUAL_SYSTEM_PORTS)
}

/// Starts the relays through which a node reaches those of other regions.
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
        options.log_level,
    );
    if !translate.is_empty() {
        text.push_str("\n[translate]\n");
        for (index, (from, to)) in translate.iter().enumerate() {
            text.push_str(&format!("{index} = {from} {to}\n"));
        }
    }
    text
}

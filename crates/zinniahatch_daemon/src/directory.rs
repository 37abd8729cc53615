//! The directory for clients and the list of VMs.

use log::info;
use rand::RngExt;
use std::sync::Arc;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;
use zinniahatch_gateway::GatewayCore;
use zinniahatch_platform::DirectoryClient;
use zinniahatch_platform::DirectoryEntry;
use zinniahatch_platform::HttpDirectory;
use zinniahatch_platform::HttpVmList;
use zinniahatch_platform::VmKind;
use zinniahatch_platform::VmListClient;
use zinniahatch_platform::VmState;
use zinniahatch_protocol::EntryAddress;

/// Interval at which this node's entry is published again.
const PUBLISH_EVERY: Duration = Duration::from_secs(10);
/// Interval of readings of the whole directory, once every data centre is known.
const READ_EVERY: Duration = Duration::from_secs(60);
/// Interval at which is looked whether something is due.
const LOOK_EVERY: Duration = Duration::from_millis(700);
/// Interval of readings of the VM list, by the two nodes of a data centre that have this duty.
const VMS_EVERY: Duration = Duration::from_secs(2);
const VM_DUTY: &str = "vm list";
const VM_NODES: usize = 2;

/// Publishes this node while it serves, and learns other data centres' entry VMs.
pub(crate) async fn run_directory(core: Arc<GatewayCore>) {
    let directory = HttpDirectory::new(&core.settings.directory);
    let mut published: Option<Instant> = None;
    let mut read: Option<Instant> = None;
    loop {
        if core.control().is_leaving() {
            return;
        }
        let is_due =
            |last: Option<Instant>, every: Duration| last.is_none_or(|at| at.elapsed() >= every);
        if core.control().is_ready()
            && is_due(published, PUBLISH_EVERY)
            && directory.publish(&entry_of(&core)).await.is_ok()
        {
            published = Some(Instant::now());
        }
        let read_every = if knows_all_centres(&core) {
            READ_EVERY
        } else {
            LOOK_EVERY
        };
        if is_due(read, read_every)
            && let Ok(entries) = directory.list().await
        {
            read = Some(Instant::now());
            take_entries(&core, entries);
        }
        let jitter = rand::rng().random_range(0..300);
        sleep(LOOK_EVERY + Duration::from_millis(jitter)).await;
    }
}

/// Says whether an entry VM of every other data centre is known; once one is, summaries of that
/// data centre bring fresher addresses than the directory.
fn knows_all_centres(core: &GatewayCore) -> bool {
    let control = core.control();
    let config = control.config();
    config
        .topology
        .regions
        .values()
        .flat_map(|region| &region.data_centres)
        .filter(|name| **name != core.identity.data_centre)
        .all(|name| !control.remotes().entries(name).is_empty())
}

/// Withdraws this node, for a planned stop.
pub(crate) async fn withdraw(core: &GatewayCore) {
    let directory = HttpDirectory::new(&core.settings.directory);
    if directory.withdraw(&core.identity.node).await.is_err() {
        info!("the directory is not reached; this node's entry lapses by itself");
    }
}

/// Reads which backend servers are leaving, on the nodes with this duty.
pub(crate) async fn run_vm_list(core: Arc<GatewayCore>) {
    let list = HttpVmList::new(&core.settings.vm_list);
    loop {
        sleep(VMS_EVERY).await;
        if !core.control().holds_role(Instant::now(), VM_DUTY, VM_NODES) {
            core.control()
                .backends_mut()
                .set_listed_leaving(BTreeSet::new());
            continue;
        }
        let Ok(vms) = list.list(&core.identity.data_centre).await else {
            continue;
        };
        let leaving = vms
            .iter()
            .filter(|vm| vm.kind == VmKind::Backend && vm.state == VmState::Leaving)
            .map(|vm| tag_of(&vm.name))
            .collect();
        core.control().backends_mut().set_listed_leaving(leaving);
    }
}

fn entry_of(core: &GatewayCore) -> DirectoryEntry {
    let identity = &core.identity;
    DirectoryEntry {
        node: identity.node.clone(),
        region: identity.region.clone(),
        data_centre: identity.data_centre.clone(),
        http: identity.http.clone(),
        peer: identity.peer.clone(),
    }
}

fn take_entries(core: &GatewayCore, entries: Vec<DirectoryEntry>) {
    let mut remote: BTreeMap<DataCentreId, Vec<EntryAddress>> = BTreeMap::new();
    let mut control = core.control();
    for entry in entries {
        if entry.data_centre == core.identity.data_centre {
            control.add_contact(&entry.peer);
            continue;
        }
        let address = EntryAddress {
            node: entry.node,
            http: entry.http,
            peer: entry.peer,
        };
        remote.entry(entry.data_centre).or_default().push(address);
    }
    let now = Instant::now();
    for (data_centre, addresses) in remote {
        control
            .remotes_mut()
            .set_directory_entries(now, &data_centre, addresses);
    }
}

//! The directory that clients query for entry VMs, and the platform's VM list.

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
const PUBLISH_INTERVAL: Duration = Duration::from_secs(10);
/// Interval between reads of the whole directory, once an entry VM of every data centre is known.
const READ_INTERVAL: Duration = Duration::from_secs(60);
/// Interval between checks whether a publication or a read is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(700);
/// Interval between reads of the VM list, by the two nodes of a data centre that hold this role.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(2);
const VM_LIST_ROLE: &str = "vm list";
const VM_LIST_NODES: usize = 2;

/// Publishes this node while it serves, and reads the entry VMs of other data centres.
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
            && is_due(published, PUBLISH_INTERVAL)
            && directory.publish(&own_entry(&core)).await.is_ok()
        {
            published = Some(Instant::now());
        }
        let read_interval = if knows_all_data_centres(&core) {
            READ_INTERVAL
        } else {
            CHECK_INTERVAL
        };
        if is_due(read, read_interval)
            && let Ok(entries) = directory.list().await
        {
            read = Some(Instant::now());
            apply_entries(&core, entries);
        }
        let jitter = rand::rng().random_range(0..300);
        sleep(CHECK_INTERVAL + Duration::from_millis(jitter)).await;
    }
}

/// Whether an entry VM of every other data centre is known.
///
/// Once one is known, the summaries of that data centre bring fresher addresses than the directory.
fn knows_all_data_centres(core: &GatewayCore) -> bool {
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

/// Removes this node from the directory, for a planned shutdown.
pub(crate) async fn withdraw(core: &GatewayCore) {
    let directory = HttpDirectory::new(&core.settings.directory);
    if directory.withdraw(&core.identity.node).await.is_err() {
        info!("the directory is unreachable; this node's entry will expire by itself");
    }
}

/// Reads which backend servers are leaving, while this node holds the role.
pub(crate) async fn run_vm_list(core: Arc<GatewayCore>) {
    let list = HttpVmList::new(&core.settings.vm_list);
    loop {
        sleep(VM_LIST_INTERVAL).await;
        if !core
            .control()
            .holds_role(Instant::now(), VM_LIST_ROLE, VM_LIST_NODES)
        {
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

fn own_entry(core: &GatewayCore) -> DirectoryEntry {
    let identity = &core.identity;
    DirectoryEntry {
        node: identity.node.clone(),
        region: identity.region.clone(),
        data_centre: identity.data_centre.clone(),
        http: identity.http.clone(),
        peer: identity.peer.clone(),
    }
}

fn apply_entries(core: &GatewayCore, entries: Vec<DirectoryEntry>) {
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

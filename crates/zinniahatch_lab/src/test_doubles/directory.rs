//! Test double of the directory for clients and of the platform's lagging VM list.

use crate::test_doubles::faults::FaultEffect;
use crate::test_doubles::faults::FaultSwitch;
use crate::test_doubles::serve::FakeServer;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::handler;
use salvo::http::StatusCode;
use salvo::writing::Json;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::DirectoryEntry;
use zinniahatch_platform::ListedVm;
use zinniahatch_platform::VmState;

/// Time after which an entry expires unless it is published again.
const ENTRY_TTL: Duration = Duration::from_secs(40);

type StoredEntries = BTreeMap<NodeId, (Instant, DirectoryEntry)>;

/// The directory and the VM list.
#[derive(Clone, Default)]
pub struct FakeDirectory {
    entries: Arc<Mutex<StoredEntries>>,
    vms: Arc<Mutex<BTreeMap<Box<str>, ListedVm>>>,
    /// Faults of both services.
    pub faults: FaultSwitch,
}

impl FakeDirectory {
    /// Starts serving.
    pub async fn start(&self) -> FakeServer {
        let router = Router::new()
            .push(Router::with_path("entries").get(ListHandler(self.clone())))
            .push(
                Router::with_path("entries/{node}")
                    .put(PublishHandler(self.clone()))
                    .delete(WithdrawHandler(self.clone())),
            )
            .push(Router::with_path("vms").get(VmsHandler(self.clone())));
        FakeServer::start(router).await
    }

    /// Adds a VM to the list.
    pub fn list_vm(&self, vm: ListedVm) {
        lock(&self.vms).insert(vm.name.clone(), vm);
    }

    /// Changes the state of a VM on the list.
    pub fn set_state(&self, name: &str, state: VmState) {
        if let Some(vm) = lock(&self.vms).get_mut(name) {
            vm.state = state;
        }
    }

    /// Returns the entries that have not expired.
    pub fn entries(&self) -> Vec<DirectoryEntry> {
        lock(&self.entries)
            .values()
            .filter(|(at, _)| at.elapsed() < ENTRY_TTL)
            .map(|(_, entry)| entry.clone())
            .collect()
    }

    async fn refused(&self, response: &mut Response) -> bool {
        let refused = self.faults.effect(false).await != FaultEffect::Answer;
        if refused {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
        }
        refused
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

struct ListHandler(FakeDirectory);

#[handler]
impl ListHandler {
    async fn handle(&self, response: &mut Response) {
        if !self.0.refused(response).await {
            response.render(Json(self.0.entries()));
        }
    }
}

struct PublishHandler(FakeDirectory);

#[handler]
impl PublishHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        if self.0.refused(response).await {
            return;
        }
        let Ok(entry) = request.parse_json::<DirectoryEntry>().await else {
            response.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        lock(&self.0.entries).insert(entry.node.clone(), (Instant::now(), entry));
    }
}

struct WithdrawHandler(FakeDirectory);

#[handler]
impl WithdrawHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        if self.0.refused(response).await {
            return;
        }
        let node = request.param::<String>("node").unwrap_or_default();
        lock(&self.0.entries).remove(node.as_str());
    }
}

struct VmsHandler(FakeDirectory);

#[handler]
impl VmsHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        if self.0.refused(response).await {
            return;
        }
        let data_centre = request.query::<String>("data_centre").unwrap_or_default();
        let vms: Vec<ListedVm> = lock(&self.0.vms)
            .values()
            .filter(|vm| *vm.data_centre == *data_centre)
            .cloned()
            .collect();
        response.render(Json(vms));
    }
}

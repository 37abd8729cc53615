//! Polls of the load of backend servers; each is polled only by the coordinator of its pool.

use std::sync::Arc;
use tokio::task::JoinSet;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;
use zinniahatch_control::BackendStatus;
use zinniahatch_gateway::GatewayCore;
use zinniahatch_platform::EngineClient;
use zinniahatch_platform::EngineLoad;
use zinniahatch_platform::HttpCallError;

/// Interval between polls of a backend server.
const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Consecutive failed polls after which a backend server is marked as unreachable.
const MAX_FAILED_POLLS: u32 = 2;
/// Minimum time for which used idempotency keys are retained.
const KEY_RETENTION: Duration = Duration::from_secs(3_600);

/// Polls the load of the replicas whose pools this node coordinates until the process ends.
pub(crate) async fn run(core: Arc<GatewayCore>) {
    let mut failed_polls: BTreeMap<ReplicaId, u32> = BTreeMap::new();
    loop {
        sleep(POLL_INTERVAL).await;
        core.keys().sweep(Instant::now(), KEY_RETENTION);
        let mut polls = JoinSet::new();
        for (replica, address) in coordinated_replicas(&core) {
            let engine = core.engine.clone();
            polls.spawn(async move { (replica, engine.load(&address).await) });
        }
        while let Some(Ok((replica, result))) = polls.join_next().await {
            apply_load(&core, &mut failed_polls, replica, result);
        }
        core.wake.notify_one();
    }
}

fn coordinated_replicas(core: &GatewayCore) -> Vec<(ReplicaId, Box<str>)> {
    let control = core.control();
    let config = control.config();
    let now = Instant::now();
    let mut replicas = Vec::new();
    for service in config.services.keys() {
        if !control.coordinates(now, service) {
            continue;
        }
        for (name, backend) in config.backends_in(service, &core.identity.data_centre) {
            replicas.push((name.clone(), backend.address.clone()));
        }
    }
    replicas
}

fn apply_load(
    core: &GatewayCore,
    failed_polls: &mut BTreeMap<ReplicaId, u32>,
    replica: ReplicaId,
    result: Result<EngineLoad, HttpCallError>,
) {
    let now = Instant::now();
    let tag = tag_of(&replica);
    let mut control = core.control();
    let backends = control.backends_mut();
    if let Ok(load) = result {
        failed_polls.remove(&replica);
        let status = if load.leaving {
            BackendStatus::Leaving
        } else {
            BackendStatus::Live
        };
        backends.set_status(now, tag, status);
        backends.report_slots(tag, load.slots);
    } else {
        let count = failed_polls.entry(replica).or_default();
        *count += 1;
        if *count >= MAX_FAILED_POLLS {
            backends.set_status(now, tag, BackendStatus::Unreached);
        }
    }
}

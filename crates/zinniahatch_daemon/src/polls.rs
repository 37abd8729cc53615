//! Reading the load of backend servers, by the keeper of their pool alone.

use std::sync::Arc;
use tokio::task::JoinSet;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;
use zinniahatch_control::BackendStatus;
use zinniahatch_gateway::GatewayCore;
use zinniahatch_platform::EngineClient;
use zinniahatch_platform::EngineLoad;
use zinniahatch_platform::HttpCallError;

/// Interval of polls of one backend server.
const POLL_EVERY: Duration = Duration::from_secs(2);
/// Failed polls in a row after which a backend server counts as not reached.
const MOST_MISSES: u32 = 2;
/// Time for which used keys are remembered at least.
const SWEEP_KEEP: Duration = Duration::from_secs(3_600);

/// Polls until the process ends.
pub(crate) async fn run(core: Arc<GatewayCore>) {
    let mut misses: BTreeMap<ReplicaId, u32> = BTreeMap::new();
    loop {
        sleep(POLL_EVERY).await;
        core.keys().sweep(Instant::now(), SWEEP_KEEP);
        let mut polls = JoinSet::new();
        for (replica, address) in kept_replicas(&core) {
            let engine = core.engine.clone();
            polls.spawn(async move { (replica, engine.load(&address).await) });
        }
        while let Some(Ok((replica, result))) = polls.join_next().await {
            take(&core, &mut misses, replica, result);
        }
        core.wake.notify_one();
    }
}

fn kept_replicas(core: &GatewayCore) -> Vec<(ReplicaId, Box<str>)> {
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

fn take(
    core: &GatewayCore,
    misses: &mut BTreeMap<ReplicaId, u32>,
    replica: ReplicaId,
    result: Result<EngineLoad, HttpCallError>,
) {
    let now = Instant::now();
    let tag = tag_of(&replica);
    let mut control = core.control();
    let backends = control.backends_mut();
    if let Ok(load) = result {
        misses.remove(&replica);
        let mark = if load.leaving {
            BackendStatus::Leaving
        } else {
            BackendStatus::Live
        };
        backends.set_status(now, tag, mark);
        backends.report_slots(tag, load.slots);
    } else {
        let count = misses.entry(replica).or_default();
        *count += 1;
        if *count >= MOST_MISSES {
            backends.set_status(now, tag, BackendStatus::Unreached);
        }
    }
}

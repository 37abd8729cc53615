//! Probing the replicas that are suspected, and only those: each probe has its price.

use crate::core::EntryCore;
use crate::replicas::rate_limit::note_probed_limit;
use crate::replicas::rate_limit::take_limit;
use crate::request::channel::BackendChannel;
use http::Method;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::time::sleep;
use tokio::time::timeout;
use zinniahatch_base::prelude::*;
use zinniahatch_route::ColdGate;
use zinniahatch_route::NamedLimit;
use zinniahatch_route::ReplicaLife;

/// Pause between probes of one replica.
const PROBE_PAUSE: Duration = Duration::from_millis(600);
/// Time for a probe; a health check takes a millisecond.
const PROBE_TIME: Duration = Duration::from_millis(500);

/// Probes suspects until the process ends.
pub(crate) async fn run_probes(core: Rc<EntryCore>) {
    loop {
        sleep(PROBE_PAUSE).await;
        for (life, address, path) in suspects(&core) {
            if !may_probe(&core, &life.id, Instant::now()) {
                continue;
            }
            tokio::task::spawn_local(probe(Rc::clone(&core), life, address, path));
        }
    }
}

fn suspects(core: &EntryCore) -> Vec<(ReplicaLife, SocketAddrV4, Box<str>)> {
    let now = Instant::now();
    let replicas = core.replicas.borrow();
    replicas
        .rows()
        .filter(|belief| belief.leaving.is_none() && belief.health.is_suspect(now))
        .filter(|belief| {
            core.settings.regions.get(&belief.entry.data_centre) == Some(&core.settings.region)
        })
        .map(|belief| {
            let path = core
                .service(&belief.entry.service)
                .map(|service| service.health_path)
                .unwrap_or_default();
            (belief.entry.life(), belief.entry.address, path)
        })
        .collect()
}

/// Tells whether this node may probe a replica now, and counts the probe where its replica is cold or limited. All
/// nodes that had requests there suspect a replica that has gone silent.
fn may_probe(core: &EntryCore, replica: &ReplicaId, now: Instant) -> bool {
    let cold = {
        let replicas = core.replicas.borrow();
        let belief = replicas.get(replica).filter(|belief| belief.is_cold(now));
        belief.map(|belief| belief.entry.service.clone())
    };
    if let Some(service) = &cold {
        let rate = core.service(service).map_or(0.0, |spec| spec.cold_rate);
        let peers = core.members.borrow().names_in(&core.settings.region);
        let node = &core.settings.name;
        let share = ColdGate::share(core.cold_bound(rate), replica, node, &peers);
        if !core.gate.borrow().allows(replica, share, now) {
            return false;
        }
    }
    if !take_limit(core, replica, now) {
        return false;
    }
    if cold.is_some() {
        core.gate.borrow_mut().note(replica, now);
    }
    true
}

async fn probe(core: Rc<EntryCore>, life: ReplicaLife, address: SocketAddrV4, path: Box<str>) {
    let sent = Instant::now();
    let named = timeout(PROBE_TIME, ask_sign_of_life(address, &path))
        .await
        .unwrap_or(None);
    let sound = named.is_some();
    note_probed_limit(&core, life.tag(), named.unwrap_or_default(), sent);
    let mut replicas = core.replicas.borrow_mut();
    replicas.note_probe(&life, sound, Instant::now());
    drop(replicas);
    core.log.write(
        "probe",
        serde_json::json!({"replica": life.id, "born_ms": life.born, "sound": sound}),
    );
}

/// Asks a replica for an answer; gives the rate limit that it names, none where it does not answer.
async fn ask_sign_of_life(address: SocketAddrV4, path: &str) -> Option<NamedLimit> {
    let mut channel = BackendChannel::connect(address, PROBE_TIME).await.ok()?;
    let head = format!("GET {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
    channel.send(head.as_bytes(), &[]).await.ok()?;
    // Any answer shows that the replica lives. What it says of its health may be false either way,
    // so whether it serves is judged by its answers to requests.
    let head = channel.read_head(&Method::GET, "").await.ok()?;
    Some(head.marks.notice.rate_limit)
}

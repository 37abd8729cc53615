//! Probing the replicas that are suspected, and only those: each probe has its price.

use crate::core::EntryCore;
use crate::replicas::gate::claim_send;
use crate::replicas::gate::permit_send;
use crate::replicas::notice::hear_probe;
use crate::request::channel::AnswerHead;
use crate::request::channel::BackendChannel;
use http::Method;
use std::rc::Rc;
use tokio::time::sleep;
use tokio::time::timeout;
use zinniahatch_base::prelude::*;
use zinniahatch_route::ReplicaIncarnation;
use zinniahatch_route::SendReservation;

/// Pause between probes of one replica.
const PROBE_PAUSE: Duration = Duration::from_millis(600);
/// Time for a probe; a health check takes a millisecond.
const PROBE_TIME: Duration = Duration::from_millis(500);

/// Probes suspects until the process ends.
pub(crate) async fn run_probes(core: Rc<EntryCore>) {
    loop {
        sleep(PROBE_PAUSE).await;
        for (life, path) in suspects(&core) {
            // All nodes that had requests there suspect a replica that has gone silent.
            let Ok(claim) = claim_send(&core, &life.id, Instant::now()) else {
                continue;
            };
            tokio::task::spawn_local(probe(Rc::clone(&core), life, claim, path));
        }
    }
}

fn suspects(core: &EntryCore) -> Vec<(ReplicaIncarnation, Box<str>)> {
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
            (belief.entry.incarnation(), path)
        })
        .collect()
}

async fn probe(
    core: Rc<EntryCore>,
    life: ReplicaIncarnation,
    claim: SendReservation,
    path: Box<str>,
) {
    let sent = Instant::now();
    let answer = timeout(PROBE_TIME, ask_sign_of_life(&core, claim, &path))
        .await
        .unwrap_or(None);
    let sound = answer.is_some();
    if let Some(head) = answer {
        hear_probe(&core, &life, &head, sent);
    }
    let mut replicas = core.replicas.borrow_mut();
    replicas.note_probe(&life, sound, Instant::now());
    drop(replicas);
    core.log.write(
        "probe",
        serde_json::json!({"replica": life.id, "born_ms": life.started_ms, "sound": sound}),
    );
}

/// Asks a replica for an answer; gives what that says, none where there is none.
async fn ask_sign_of_life(
    core: &EntryCore,
    claim: SendReservation,
    path: &str,
) -> Option<AnswerHead> {
    let address = claim.address();
    let mut channel = BackendChannel::connect(address, PROBE_TIME).await.ok()?;
    let head = format!("GET {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
    let permit = permit_send(core, claim).ok()?;
    channel.send(permit, head.as_bytes(), &[]).await.ok()?;
    // Any answer shows that the replica lives. What it says of its health may be false either way,
    // so whether it serves is judged by its answers to requests.
    let head = channel.read_head(&Method::GET, "").await.ok()?;
    Some(head)
}

//! What a node hands to another that the store does not serve.

use crate::core::EntryCore;
use crate::who::proofs::hear_proof;
use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use std::rc::Rc;
use tokio::time::timeout;
use zinniahatch_base::prelude::*;
use zinniahatch_route::DesiredState;
use zinniahatch_route::NodePermit;
use zinniahatch_route::ReplicaEntry;
use zinniahatch_route::ReplicaIncarnation;
use zinniahatch_route::SendPermit;
use zinniahatch_route::ServingPreset;
use zinniahatch_route::ToldProof;

/// Path of the snapshot on the listener for other nodes.
pub(crate) const SNAPSHOT_PATH: &str = "/zinnia/snapshot";
/// Time for a snapshot to arrive.
const FETCH_TIME: Duration = Duration::from_secs(2);
/// The id that a snapshot call goes by; it is no request of a caller.
const FETCH_ID: &str = "snapshot";

/// The beliefs that a node can take over.
#[derive(Debug, Serialize, Deserialize)]
struct NodeSnapshot {
    desired: Option<DesiredState>,
    preset: ServingPreset,
    replicas: Vec<ReplicaEntry>,
    gone: Vec<ReplicaIncarnation>,
    evacuated: BTreeSet<DataCentreId>,
    proof: Option<ToldProof>,
}

/// Encodes this node's beliefs.
pub(crate) fn encode_snapshot(core: &EntryCore) -> Vec<u8> {
    let desired = core.desired.borrow().as_deref().cloned();
    let replicas = core.replicas.borrow();
    let entries = replicas.rows().map(|belief| {
        let mut entry = belief.entry.clone();
        entry.leaving |= belief.leaving.is_some();
        entry
    });
    let snapshot = NodeSnapshot {
        desired,
        preset: core.preset.borrow().clone(),
        replicas: entries.collect(),
        gone: replicas.ended_incarnations().collect(),
        evacuated: replicas.evacuated().clone(),
        proof: core.proofs.borrow().told(core.clock.now()),
    };
    // An empty answer is taken as no snapshot by the reader.
    postcard::to_allocvec(&snapshot).unwrap_or_default()
}

/// Fetches and takes over the beliefs of another node; tells whether that worked.
pub(crate) async fn fetch_snapshot(core: &Rc<EntryCore>, peer: NodePermit) -> bool {
    let asked = core.clock.now();
    let address = peer.address();
    let fetched = timeout(FETCH_TIME, read_snapshot(core, peer)).await;
    let Ok(Some(snapshot)) = fetched else {
        core.log.write(
            "snapshot-failed",
            serde_json::json!({"peer": address.to_string()}),
        );
        return false;
    };
    let now = Instant::now();
    if let Some(desired) = snapshot.desired {
        core.adopt(desired, "peer");
    }
    if let Some(told) = snapshot.proof {
        hear_proof(core, told, asked);
    }
    core.adopt_preset(snapshot.preset, "peer");
    let mut replicas = core.replicas.borrow_mut();
    let first = !core.is_listed();
    replicas.merge_peer_snapshot(snapshot.replicas, &snapshot.gone, now);
    if first {
        // News of the store that this node reads or hears itself goes before those of a peer.
        replicas.set_evacuated(&snapshot.evacuated, StoreRevision::default(), now);
    }
    let any = replicas.rows().next().is_some();
    drop(replicas);
    if any {
        core.note_listed();
    }
    true
}

async fn read_snapshot(core: &Rc<EntryCore>, peer: NodePermit) -> Option<NodeSnapshot> {
    let body = exchange(core, peer, "GET", SNAPSHOT_PATH, &[]).await?;
    postcard::from_bytes(&body).ok()
}

/// Posts a body to another node and gives the answer's; none where that did not work.
pub(crate) async fn ask_peer(
    core: &Rc<EntryCore>,
    peer: NodePermit,
    path: &str,
    body: &[u8],
) -> Option<Vec<u8>> {
    let asked = exchange(core, peer, "POST", path, body);
    timeout(FETCH_TIME, asked).await.ok().flatten()
}

async fn exchange(
    core: &Rc<EntryCore>,
    peer: NodePermit,
    method: &str,
    path: &str,
    body: &[u8],
) -> Option<Vec<u8>> {
    let address = peer.address();
    let mut channel = core
        .pool
        .take(address, usize::MAX, Instant::now())
        .await
        .ok()?;
    let length = body.len();
    let head =
        format!("{method} {path} HTTP/1.1\r\nhost: {address}\r\ncontent-length: {length}\r\n\r\n");
    let mut answer = Vec::new();
    let read = async {
        channel.send(peer, head.as_bytes(), body).await.ok()?;
        let head = channel.read_head(&Method::GET, FETCH_ID).await.ok()?;
        while let Some(piece) = channel.read_body().await.ok()? {
            answer.extend_from_slice(&piece);
        }
        Some(head.status)
    };
    let status = read.await;
    core.pool.give(address, channel, Instant::now());
    (status? == StatusCode::OK).then_some(answer)
}

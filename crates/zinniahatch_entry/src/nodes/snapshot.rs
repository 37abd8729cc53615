//! State snapshot that a node serves to a peer that cannot reach the store.

use crate::auth::proofs::apply_proof;
use crate::core::EntryCore;
use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use std::rc::Rc;
use tokio::time::timeout;
use zinniahatch_base::prelude::*;
use zinniahatch_route::DesiredState;
use zinniahatch_route::FreshnessProof;
use zinniahatch_route::NodePermit;
use zinniahatch_route::ReplicaEntry;
use zinniahatch_route::ReplicaIncarnation;
use zinniahatch_route::SendPermit;
use zinniahatch_route::ServingPreset;

/// Path of the snapshot on the peer listener.
pub(crate) const SNAPSHOT_PATH: &str = "/zinnia/snapshot";
/// Time limit for fetching a snapshot.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Request id of internal exchanges, which belong to no caller's request.
const EXCHANGE_ID: &str = "snapshot";

/// The state that a peer can adopt.
#[derive(Debug, Serialize, Deserialize)]
struct NodeSnapshot {
    desired: Option<DesiredState>,
    preset: ServingPreset,
    replicas: Vec<ReplicaEntry>,
    ended: Vec<ReplicaIncarnation>,
    evacuated: BTreeSet<DataCentreId>,
    proof: Option<FreshnessProof>,
}

/// Encodes the state of this node.
pub(crate) fn encode_snapshot(core: &EntryCore) -> Vec<u8> {
    let desired = core.desired.borrow().as_deref().cloned();
    let replicas = core.replicas.borrow();
    let entries = replicas.rows().map(|state| {
        let mut entry = state.entry.clone();
        entry.leaving |= state.leaving.is_some();
        entry
    });
    let snapshot = NodeSnapshot {
        desired,
        preset: core.preset.borrow().clone(),
        replicas: entries.collect(),
        ended: replicas.ended_incarnations().collect(),
        evacuated: replicas.evacuated().clone(),
        proof: core.key_freshness.borrow().to_share(core.clock.now()),
    };
    // The reader treats an empty body as a failed fetch.
    postcard::to_allocvec(&snapshot).unwrap_or_default()
}

/// Fetches and adopts the state of a peer; returns whether that succeeded.
pub(crate) async fn fetch_snapshot(core: &Rc<EntryCore>, peer: NodePermit) -> bool {
    let sent = core.clock.now();
    let address = peer.address();
    let fetched = timeout(FETCH_TIMEOUT, read_snapshot(core, peer)).await;
    let Ok(Some(snapshot)) = fetched else {
        core.log.write(
            "snapshot-failed",
            serde_json::json!({"peer": address.to_string()}),
        );
        return false;
    };
    let now = Instant::now();
    if let Some(desired) = snapshot.desired {
        core.apply_desired_state(desired, "peer");
    }
    if let Some(proof) = snapshot.proof {
        apply_proof(core, proof, sent);
    }
    core.apply_preset(snapshot.preset, "peer");
    let mut replicas = core.replicas.borrow_mut();
    let first_listing = !core.has_listed_replicas();
    replicas.merge_peer_snapshot(snapshot.replicas, &snapshot.ended, now);
    if first_listing {
        // Evacuations that this node learned from the store or its region take precedence over
        // those of a peer.
        replicas.set_evacuated(&snapshot.evacuated, StoreRevision::default(), now);
    }
    let has_replicas = replicas.rows().next().is_some();
    drop(replicas);
    if has_replicas {
        core.mark_replicas_listed();
    }
    true
}

async fn read_snapshot(core: &Rc<EntryCore>, peer: NodePermit) -> Option<NodeSnapshot> {
    let body = exchange(core, peer, "GET", SNAPSHOT_PATH, &[]).await?;
    postcard::from_bytes(&body).ok()
}

/// Posts a body to a peer and returns the body of the response, or `None` on failure.
pub(crate) async fn post_to_peer(
    core: &Rc<EntryCore>,
    peer: NodePermit,
    path: &str,
    body: &[u8],
) -> Option<Vec<u8>> {
    let response = exchange(core, peer, "POST", path, body);
    timeout(FETCH_TIMEOUT, response).await.ok().flatten()
}

async fn exchange(
    core: &Rc<EntryCore>,
    peer: NodePermit,
    method: &str,
    path: &str,
    body: &[u8],
) -> Option<Vec<u8>> {
    let address = peer.address();
    let mut connection = core
        .pool
        .acquire(address, usize::MAX, Instant::now())
        .await
        .ok()?;
    let length = body.len();
    let head =
        format!("{method} {path} HTTP/1.1\r\nhost: {address}\r\ncontent-length: {length}\r\n\r\n");
    let mut response_body = Vec::new();
    let read = async {
        connection.send(peer, head.as_bytes(), body).await.ok()?;
        let head = connection.read_head(&Method::GET, EXCHANGE_ID).await.ok()?;
        while let Some(chunk) = connection.read_body().await.ok()? {
            response_body.extend_from_slice(&chunk);
        }
        Some(head.status)
    };
    let status = read.await;
    core.pool.release(address, connection, Instant::now());
    (status? == StatusCode::OK).then_some(response_body)
}

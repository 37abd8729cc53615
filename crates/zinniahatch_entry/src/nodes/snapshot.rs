//! State snapshot that a node serves to its peers, so that a start or a missed update does not cost
//! calls to the store.
//!
//! The request names what the peer has: the version of its desired state and digests of its replica
//! entries by group. Only what differs is sent, since all entries of a large region take hundreds of
//! kilobytes.

use crate::auth::proofs::apply_proof;
use crate::core::EntryCore;
use crate::nodes::datagrams::region_of;
use crate::nodes::own_info::is_store_reader;
use crate::nodes::replica_updates::attach_versions;
use crate::nodes::replica_updates::versions_of;
use crate::store::updates::apply_evacuations;
use crate::store::updates::handle_entry_change;
use crate::store::updates::is_in_region;
use crate::store::watch_topic::WatchTopic;
use bytes::Bytes;
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
use zinniahatch_route::StoreProgress;
use zinniahatch_route::differing_groups;

/// Path of the snapshot on the peer listener.
pub(crate) const SNAPSHOT_PATH: &str = "/zinnia/snapshot";
/// Time limit for fetching a snapshot.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of the response to an exchange. The state of a region of thousands of replicas with the largest
/// desired state takes a few megabytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Size from which a snapshot counts as large.
const LARGE_SNAPSHOT_BYTES: usize = 64 << 10;
/// Time in which the number of large snapshots that a node sends is limited, and the hundredths of
/// a CPU core per snapshot: a machine with little CPU also has a slow link, and nodes that start
/// together find more sources with each one that is ready.
const LARGE_SNAPSHOT_WINDOW: Duration = Duration::from_millis(500);
const CPU_PER_LARGE_SNAPSHOT: u32 = 6;
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

/// What the peer that requests a snapshot has already.
#[derive(Debug, Default, Serialize, Deserialize)]
struct SnapshotRequest {
    /// Its region; replicas are sent only within a region.
    region: RegionId,
    /// The version of its desired state.
    version: u64,
    /// Digests of its replica entries by group.
    groups: Vec<u64>,
}

/// What the replicas of a snapshot cover. It follows the snapshot in the body, and the software
/// versions of the replicas follow it; nodes of earlier versions neither send nor read them.
#[derive(Debug, Serialize, Deserialize)]
struct SnapshotScope {
    /// The groups that are sent; the others are the same as the peer's.
    groups: BTreeSet<usize>,
    /// The revisions up to which the sender has read the replicas and the operators' keys; `None`
    /// if it does not read them for its region.
    read_at: Option<StoreProgress>,
}

/// Large snapshots that this node sent a short time ago.
#[derive(Debug, Default)]
pub(crate) struct SnapshotLimiter {
    sent: Vec<Instant>,
}

impl SnapshotLimiter {
    /// Records a large snapshot, unless `most` were sent within the window.
    fn try_take(&mut self, most: usize, now: Instant) -> bool {
        self.sent
            .retain(|at| now.saturating_duration_since(*at) < LARGE_SNAPSHOT_WINDOW);
        let allowed = self.sent.len() < most;
        if allowed {
            self.sent.push(now);
        }
        allowed
    }
}

/// Encodes the state of this node for a peer, as far as its request shows that it lacks it; `None`
/// if this node has sent too many large snapshots.
pub(crate) fn encode_snapshot(core: &EntryCore, request: &[u8], now: Instant) -> Option<Vec<u8>> {
    // A request of an earlier version is empty and asks for everything.
    let request: SnapshotRequest = postcard::from_bytes(request).unwrap_or_default();
    let desired = core.desired.borrow();
    let newer = desired
        .as_deref()
        .filter(|state| state.version > request.version);
    let replicas = core.replicas.borrow();
    let settings = &core.settings;
    let own = replicas.group_digests(&settings.regions, &settings.region);
    let wants_replicas = request.region.is_empty() || request.region == settings.region;
    let groups = if wants_replicas {
        differing_groups(&own, &request.groups)
    } else {
        BTreeSet::new()
    };
    let entries = replicas.rows_in(&groups).map(|state| {
        let mut entry = state.entry.clone();
        entry.leaving |= state.leaving.is_some();
        entry
    });
    let snapshot = NodeSnapshot {
        desired: newer.cloned(),
        preset: core.preset.borrow().clone(),
        replicas: entries.collect(),
        ended: replicas.ended_in(&groups).collect(),
        evacuated: replicas.evacuated().clone(),
        proof: core.key_freshness.borrow().to_share(core.clock.now()),
    };
    let scope = SnapshotScope {
        groups,
        read_at: is_store_reader(core, now)
            .then(|| core.store_progress())
            .flatten(),
    };
    let mut bytes = postcard::to_allocvec(&snapshot).ok()?;
    bytes.extend(postcard::to_allocvec(&scope).ok()?);
    bytes.extend(postcard::to_allocvec(&versions_of(&snapshot.replicas)).ok()?);
    let most = (settings.cpu_share / CPU_PER_LARGE_SNAPSHOT).max(1) as usize;
    let mut limiter = core.snapshot_limiter.borrow_mut();
    let allowed = bytes.len() < LARGE_SNAPSHOT_BYTES || limiter.try_take(most, now);
    let outcome = if allowed { "sent" } else { "refused" };
    core.metrics.messages.note_snapshot(outcome);
    if allowed {
        core.metrics.messages.note_stream("snapshot", bytes.len());
    }
    allowed.then_some(bytes)
}

/// Fetches and adopts the state of a peer; returns whether that succeeded.
pub(crate) async fn fetch_snapshot(core: &Rc<EntryCore>, peer: NodePermit) -> bool {
    let sent = core.clock.now();
    let address = peer.address();
    let region = region_of(core, address);
    let fetched = timeout(FETCH_TIMEOUT, read_snapshot(core, peer)).await;
    let (Ok(Some((snapshot, scope))), Some(region)) = (fetched, region) else {
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
    // Nodes of earlier versions send the replicas of all regions.
    let mut entries = snapshot.replicas;
    entries.retain(|entry| is_in_region(core, &entry.data_centre));
    let (groups, read_at) =
        scope.map_or_else(Default::default, |scope| (scope.groups, scope.read_at));
    let first_listing = !core.has_listed_replicas();
    let covers_replicas = read_at
        .is_some_and(|read_at| core.note_covered(WatchTopic::Replicas, &region, read_at.replicas));
    let mut replicas = core.replicas.borrow_mut();
    let mut changes = Vec::new();
    match read_at.filter(|_| covers_replicas) {
        Some(read_at) => {
            changes = replicas.merge_reader_groups(entries, &groups, read_at.replicas, now);
            replicas.merge_peer_snapshot(Vec::new(), &snapshot.ended, now);
        }
        None => replicas.merge_peer_snapshot(entries, &snapshot.ended, now),
    }
    let has_replicas = replicas.rows().next().is_some();
    drop(replicas);
    if let Some(read_at) = read_at {
        apply_evacuations(core, &snapshot.evacuated, read_at.rules);
        core.note_covered(WatchTopic::Operator, &region, read_at.rules);
    } else if first_listing {
        // Evacuations that this node learned from the store or its region take precedence over those
        // of a peer.
        apply_evacuations(core, &snapshot.evacuated, StoreRevision::default());
    }
    core.log.write(
        "snapshot-adopted",
        serde_json::json!({"peer": address.to_string(), "region": region, "groups": groups.len(),
            "read_at": read_at, "covers_replicas": covers_replicas}),
    );
    for (entry, change) in changes {
        handle_entry_change(core, &entry, change);
    }
    // A region may have no replica, which its readers know as well.
    if has_replicas || covers_replicas {
        core.mark_replicas_listed();
    }
    true
}

async fn read_snapshot(
    core: &Rc<EntryCore>,
    peer: NodePermit,
) -> Option<(NodeSnapshot, Option<SnapshotScope>)> {
    let settings = &core.settings;
    let request = SnapshotRequest {
        region: settings.region.clone(),
        version: core.version(),
        groups: core
            .replicas
            .borrow()
            .wanted_digests(&settings.regions, &settings.region),
    };
    let request = postcard::to_allocvec(&request).ok()?;
    let body = exchange(core, peer, "POST", SNAPSHOT_PATH, &request).await?;
    let (mut snapshot, rest): (NodeSnapshot, _) = postcard::take_from_bytes(&body).ok()?;
    let Ok((scope, rest)) = postcard::take_from_bytes(rest) else {
        return Some((snapshot, None));
    };
    attach_versions(
        &mut snapshot.replicas,
        postcard::from_bytes(rest).unwrap_or_default(),
    );
    Some((snapshot, Some(scope)))
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
    let mut lease = core.pool.lease(address, usize::MAX).await.ok()?;
    let connection = lease.get()?;
    let length = body.len();
    let head =
        format!("{method} {path} HTTP/1.1\r\nhost: {address}\r\ncontent-length: {length}\r\n\r\n");
    let read = async {
        let body = Bytes::copy_from_slice(body);
        connection.send(peer, head.as_bytes(), &body).await?;
        let head = connection.read_head(&Method::GET, EXCHANGE_ID).await?;
        let status = head.framed()?.status;
        Ok((
            status,
            connection.read_whole_body(MAX_RESPONSE_BYTES).await?,
        ))
    };
    let read = read.await;
    lease.release();
    let read = read.inspect_err(|error| core.note_excess(address, None, error));
    let (status, response_body) = read.ok()?;
    (status == StatusCode::OK).then_some(response_body)
}

//! Broadcasts of what this node learned about replicas and suspect requests.

use crate::core::EntryCore;
use crate::nodes::datagrams::broadcast;
use crate::nodes::datagrams::broadcast_with_tail;
use crate::nodes::datagrams::in_own_region;
use crate::nodes::datagrams::send_message;
use crate::nodes::datagrams::send_to_matching;
use crate::nodes::gossip_message::GossipMessage;
use crate::nodes::gossip_message::PartReport;
use crate::nodes::replica_updates::versions_of;
use std::net::SocketAddrV4;
use tokio::net::UdpSocket;
use zinniahatch_base::prelude::*;
use zinniahatch_route::MemberInfo;
use zinniahatch_route::RateLimitUpdate;
use zinniahatch_route::ReplicaIncarnation;
use zinniahatch_route::ReplicaUpdates;
use zinniahatch_route::ScopedPart;
use zinniahatch_route::UpdateBatch;

/// Maximum replica updates per datagram: about 60 bytes each, so that they fit in one packet.
const MAX_REPLICA_UPDATES: usize = 16;
/// Maximum suspect requests per datagram: about 50 bytes each, so that they fit in one packet.
const MAX_SUSPECTS: usize = 24;
/// Maximum suspect prompt parts per datagram: up to 150 bytes each, so that they fit in one packet.
const MAX_PART_SUSPECTS: usize = 9;
/// Maximum rate limits per datagram: about 16 bytes each, so that they fit in one packet.
const MAX_RATE_LIMITS: usize = 64;
/// Maximum cold replicas per datagram: at most 15 bytes each, so that they fit in one packet.
const MAX_COLD_REPORTS: usize = 64;

/// Broadcasts pending replica updates to the region in batches.
pub(crate) async fn broadcast_replica_updates(core: &EntryCore, socket: &UdpSocket) {
    loop {
        let batch = core
            .replica_updates
            .borrow_mut()
            .take_batch(MAX_REPLICA_UPDATES);
        let Some((updates, range)) = batch else {
            return;
        };
        let tail = (versions_of(&updates.written), range);
        broadcast_with_tail(core, socket, &GossipMessage::Replicas(updates), &tail).await;
    }
}

/// Returns whether updates that may wait may be sent now, and counts those that may not.
fn may_send_updates(core: &EntryCore, kind: &str) -> bool {
    let open = core.update_budget.borrow_mut().is_open(Instant::now());
    if !open {
        core.metrics.messages.note_withheld(kind);
    }
    open
}

/// Broadcasts what this node learned about suspect requests.
///
/// `again` repeats recent updates that already went to all nodes, since datagrams may be lost.
pub(crate) async fn broadcast_suspects(core: &EntryCore, socket: &UdpSocket, again: bool) {
    if !core.suspects.borrow().has_updates(again) || !may_send_updates(core, "suspects") {
        return;
    }
    let now = Instant::now();
    let batch = core
        .suspects
        .borrow_mut()
        .take_updates(again, MAX_SUSPECTS, now);
    send_batch(core, socket, batch, |updates, _| {
        GossipMessage::Suspects(updates)
    })
    .await;
}

/// Broadcasts what this node learned about suspect prompt parts.
///
/// `again` repeats recent updates that already went to all nodes.
pub(crate) async fn broadcast_parts(core: &EntryCore, socket: &UdpSocket, again: bool) {
    while core.part_suspects.borrow().has_updates(again) && may_send_updates(core, "part-suspects")
    {
        let now = Instant::now();
        let batch = core
            .part_suspects
            .borrow_mut()
            .take_updates(again, MAX_PART_SUSPECTS, now);
        send_batch(core, socket, batch, |updates, relay| {
            GossipMessage::PartSuspects(PartReport { updates, relay })
        })
        .await;
        if again {
            return;
        }
    }
}

/// Sends updates to their recipients; `message_of` returns the message with some of them, and whether
/// a receiver in another region is to relay it.
async fn send_batch<U>(
    core: &EntryCore,
    socket: &UdpSocket,
    batch: UpdateBatch<U>,
    message_of: impl Fn(Vec<U>, bool) -> GossipMessage,
) {
    let mut sent = 0;
    if !batch.broadcast.is_empty() {
        let message = message_of(batch.broadcast, false);
        sent += send_to_matching(core, socket, &message, |_| true).await;
    }
    if !batch.local.is_empty() {
        let message = message_of(batch.local, true);
        sent += send_with_relays(core, socket, &message, Instant::now()).await;
    }
    if !batch.relayed.is_empty() {
        sent += broadcast(core, socket, &message_of(batch.relayed, false)).await;
    }
    core.update_budget.borrow_mut().charge(sent);
}

/// Sends a message to the own region and to one node of each other region; returns the bytes sent.
async fn send_with_relays(
    core: &EntryCore,
    socket: &UdpSocket,
    message: &GossipMessage,
    now: Instant,
) -> usize {
    let relays = core
        .members
        .borrow()
        .one_per_region(&core.settings.name, now);
    let filter = |member: &MemberInfo| in_own_region(core, member) || relays.contains(&member.peer);
    send_to_matching(core, socket, message, filter).await
}

/// Sends updates to one node that lacks them, unless too much was sent a short time ago: it is told
/// again as long as it lacks them.
pub(crate) async fn send_reply(
    core: &EntryCore,
    socket: &UdpSocket,
    message: &GossipMessage,
    to: SocketAddrV4,
) {
    if !may_send_updates(core, message.kind()) {
        return;
    }
    let sent = send_message(core, socket, message, to).await;
    core.update_budget.borrow_mut().charge(sent);
}

/// Broadcasts pending rate limit updates to the region.
pub(crate) async fn broadcast_rate_limits(core: &EntryCore, socket: &UdpSocket) {
    loop {
        let updates = core
            .replicas
            .borrow_mut()
            .limits
            .take_updates(MAX_RATE_LIMITS);
        if updates.is_empty() {
            return;
        }
        broadcast(core, socket, &GossipMessage::RateLimits(updates)).await;
    }
}

/// Broadcasts pending reports of cold replicas to the region.
pub(crate) async fn broadcast_cold_reports(core: &EntryCore, socket: &UdpSocket) {
    let reports = core.cold_reports.take();
    for part in reports.chunks(MAX_COLD_REPORTS) {
        broadcast(core, socket, &GossipMessage::ColdReplicas(part.to_vec())).await;
    }
}

/// Sends all known rate limits and leaving replicas to a node of the region whose digest differs.
pub(crate) async fn send_known_notices(core: &EntryCore, socket: &UdpSocket, to: SocketAddrV4) {
    let leaving: Vec<ReplicaIncarnation> = core
        .replicas
        .borrow()
        .announced_leaving()
        .cloned()
        .collect();
    for part in leaving.chunks(MAX_REPLICA_UPDATES) {
        let updates = ReplicaUpdates {
            leaving: part.to_vec(),
            ..ReplicaUpdates::default()
        };
        send_reply(core, socket, &GossipMessage::Replicas(updates), to).await;
    }
    let known: Vec<RateLimitUpdate> = core.replicas.borrow().limits.active_limits().collect();
    for part in known.chunks(MAX_RATE_LIMITS) {
        send_reply(core, socket, &GossipMessage::RateLimits(part.to_vec()), to).await;
    }
}

/// Sends the known suspect requests to a node whose digest differs.
///
/// A node that was cut off or has just started learns them this way with the first heartbeats.
pub(crate) async fn send_known_suspects(core: &EntryCore, socket: &UdpSocket, to: SocketAddrV4) {
    let now = Instant::now();
    let draw = rand::random();
    let updates = core
        .suspects
        .borrow()
        .accused_updates(draw, MAX_SUSPECTS, now);
    if updates.is_empty() {
        return;
    }
    send_reply(core, socket, &GossipMessage::Suspects(updates), to).await;
}

/// Sends the known suspect prompt parts to a node whose digest differs.
pub(crate) async fn send_known_parts(core: &EntryCore, socket: &UdpSocket, to: SocketAddrV4) {
    let now = Instant::now();
    let start = ScopedPart {
        id: rand::random(),
        scope: 0,
    };
    let updates = core
        .part_suspects
        .borrow()
        .accused_updates(start, MAX_PART_SUSPECTS, now);
    if updates.is_empty() {
        return;
    }
    let report = PartReport {
        updates,
        relay: false,
    };
    send_reply(core, socket, &GossipMessage::PartSuspects(report), to).await;
}

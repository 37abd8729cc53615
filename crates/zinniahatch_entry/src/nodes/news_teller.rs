//! Telling the other nodes what this one learned: of replicas, and of requests under which they ended.

use crate::core::EntryCore;
use crate::nodes::datagrams::is_near;
use crate::nodes::datagrams::tell_near;
use crate::nodes::datagrams::tell_where;
use crate::nodes::node_gram::NodeGram;
use crate::nodes::replica_news::ReplicaNews;
use std::net::SocketAddrV4;
use tokio::net::UdpSocket;
use zinniahatch_base::prelude::*;
use zinniahatch_route::MemberCard;
use zinniahatch_route::RateLimitUpdate;
use zinniahatch_route::ReplicaIncarnation;

/// News in a datagram at most: about 60 bytes each, within one packet.
const MOST_NEWS: usize = 16;
/// Requests under which replicas ended in a datagram at most: about 50 bytes each, within one packet.
const MOST_SUSPECTS: usize = 24;
/// Rate limits in a datagram at most: about 16 bytes each, within one packet.
const MOST_LIMITS: usize = 64;

/// Tells the nodes of the region what this one learned of replicas, a few at a time.
pub(crate) async fn tell_news(core: &EntryCore, socket: &UdpSocket) {
    loop {
        let part = core.replica_news.borrow_mut().take_part(MOST_NEWS);
        if part == ReplicaNews::default() {
            return;
        }
        tell_near(core, socket, &NodeGram::News(part)).await;
    }
}

/// Tells what this node learned of requests under which replicas ended; `again` tells once more what all
/// nodes were told a moment ago, since datagrams are lost.
pub(crate) async fn tell_suspects(core: &EntryCore, socket: &UdpSocket, again: bool) {
    let now = Instant::now();
    let batch = core
        .suspects
        .borrow_mut()
        .take_updates(again, MOST_SUSPECTS, now);
    if !batch.broadcast.is_empty() {
        tell_where(core, socket, &NodeGram::Suspects(batch.broadcast), |_| true).await;
    }
    if !batch.local.is_empty() {
        let passers = core.members.borrow().one_each(&core.settings.name, now);
        let meant = |card: &MemberCard| is_near(core, card) || passers.contains(&card.peer);
        tell_where(core, socket, &NodeGram::Suspects(batch.local), meant).await;
    }
    if !batch.relayed.is_empty() {
        tell_near(core, socket, &NodeGram::Suspects(batch.relayed)).await;
    }
}

/// Tells the nodes of the region what this one learned of rate limits.
pub(crate) async fn tell_limits(core: &EntryCore, socket: &UdpSocket) {
    loop {
        let news = core.replicas.borrow_mut().limits.take_updates(MOST_LIMITS);
        if news.is_empty() {
            return;
        }
        tell_near(core, socket, &NodeGram::Limits(news)).await;
    }
}

/// Tells a node of the region which limits and leaving replicas are known here, because it knows others.
pub(crate) async fn tell_known_notices(core: &EntryCore, socket: &UdpSocket, to: SocketAddrV4) {
    let leaving: Vec<ReplicaIncarnation> = core
        .replicas
        .borrow()
        .announced_leaving()
        .cloned()
        .collect();
    for part in leaving.chunks(MOST_NEWS) {
        let news = ReplicaNews {
            leaving: part.to_vec(),
            ..ReplicaNews::default()
        };
        send_again(socket, &NodeGram::News(news), to).await;
    }
    let known: Vec<RateLimitUpdate> = core.replicas.borrow().limits.active_limits().collect();
    for part in known.chunks(MOST_LIMITS) {
        send_again(socket, &NodeGram::Limits(part.to_vec()), to).await;
    }
}

/// Sends what is known here to a node that knows otherwise.
async fn send_again(socket: &UdpSocket, gram: &NodeGram, to: SocketAddrV4) {
    if let Ok(bytes) = postcard::to_allocvec(gram) {
        // A datagram that cannot be sent is as good as lost; the next card shows the difference again.
        let _ = socket.send_to(&bytes, to).await;
    }
}

/// Tells a node which requests are known here, because it knows others. A node that was cut off, or has just
/// started, learns them so with the first cards.
pub(crate) async fn tell_known_suspects(core: &EntryCore, socket: &UdpSocket, to: SocketAddrV4) {
    let now = Instant::now();
    let draw = rand::random();
    let news = core
        .suspects
        .borrow()
        .accused_updates(draw, MOST_SUSPECTS, now);
    if news.is_empty() {
        return;
    }
    send_again(socket, &NodeGram::Suspects(news), to).await;
}

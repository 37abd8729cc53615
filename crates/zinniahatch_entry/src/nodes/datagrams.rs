//! Sending datagrams to known nodes.

use crate::core::EntryCore;
use crate::nodes::gossip_message::GossipMessage;
use serde::Serialize;
use std::net::SocketAddrV4;
use tokio::net::UdpSocket;
use zinniahatch_base::prelude::*;
use zinniahatch_route::MemberInfo;

/// Returns whether a node belongs to this node's region.
pub(crate) fn in_own_region(core: &EntryCore, member: &MemberInfo) -> bool {
    member.region == core.settings.region
}

/// Returns the region of the node at an address; `None` if it is not known.
pub(crate) fn region_of(core: &EntryCore, address: SocketAddrV4) -> Option<RegionId> {
    let members = core.members.borrow();
    Some(members.at_address(address)?.region.clone())
}

/// Returns whether an address belongs to a known node of this node's region.
pub(crate) fn is_from_own_region(core: &EntryCore, from: SocketAddrV4) -> bool {
    let members = core.members.borrow();
    members
        .at_address(from)
        .is_some_and(|member| in_own_region(core, member))
}

/// Sends a datagram to all known nodes of the region; returns the bytes sent.
pub(crate) async fn broadcast(
    core: &EntryCore,
    socket: &UdpSocket,
    message: &GossipMessage,
) -> usize {
    send_to_matching(core, socket, message, |member| in_own_region(core, member)).await
}

/// Sends a datagram to all known nodes of the region, with a tail that nodes of earlier versions do
/// not read.
pub(crate) async fn broadcast_with_tail(
    core: &EntryCore,
    socket: &UdpSocket,
    message: &GossipMessage,
    tail: &impl Serialize,
) {
    let encoded = (postcard::to_allocvec(message), postcard::to_allocvec(tail));
    let (Ok(mut bytes), Ok(tail)) = encoded else {
        return;
    };
    bytes.extend(tail);
    let own_region = |member: &MemberInfo| in_own_region(core, member);
    send_bytes_to_matching(core, socket, message.kind(), &bytes, own_region).await;
}

/// Sends a datagram to the known nodes that match a filter; returns the bytes sent.
pub(crate) async fn send_to_matching(
    core: &EntryCore,
    socket: &UdpSocket,
    message: &GossipMessage,
    filter: impl Fn(&MemberInfo) -> bool,
) -> usize {
    let Ok(bytes) = postcard::to_allocvec(message) else {
        return 0;
    };
    send_bytes_to_matching(core, socket, message.kind(), &bytes, filter).await
}

async fn send_bytes_to_matching(
    core: &EntryCore,
    socket: &UdpSocket,
    kind: &str,
    bytes: &[u8],
    filter: impl Fn(&MemberInfo) -> bool,
) -> usize {
    let addresses: Vec<SocketAddrV4> = {
        let members = core.members.borrow();
        members
            .known()
            .filter(|member| filter(member))
            .map(|member| member.peer)
            .collect()
    };
    for address in &addresses {
        send_bytes(core, socket, kind, bytes, *address).await;
    }
    addresses.len() * bytes.len()
}

/// Sends a datagram to one node; returns the bytes sent.
pub(crate) async fn send_message(
    core: &EntryCore,
    socket: &UdpSocket,
    message: &GossipMessage,
    to: SocketAddrV4,
) -> usize {
    let Ok(bytes) = postcard::to_allocvec(message) else {
        return 0;
    };
    send_bytes(core, socket, message.kind(), &bytes, to).await;
    bytes.len()
}

/// Sends the bytes of a message of some kind to one node.
pub(crate) async fn send_bytes(
    core: &EntryCore,
    socket: &UdpSocket,
    kind: &str,
    bytes: &[u8],
    to: SocketAddrV4,
) {
    core.metrics.messages.note_datagram(kind, bytes.len());
    // A failed send counts as a lost datagram; what it carries is sent or requested again.
    let _ = socket.send_to(bytes, to).await;
}

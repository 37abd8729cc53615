//! Sending datagrams to known nodes.

use crate::core::EntryCore;
use crate::nodes::gossip_message::GossipMessage;
use std::net::SocketAddrV4;
use tokio::net::UdpSocket;
use zinniahatch_route::MemberInfo;

/// Returns whether a node belongs to this node's region.
pub(crate) fn in_own_region(core: &EntryCore, member: &MemberInfo) -> bool {
    member.region == core.settings.region
}

/// Returns whether an address belongs to a known node of this node's region.
pub(crate) fn is_from_own_region(core: &EntryCore, from: SocketAddrV4) -> bool {
    let members = core.members.borrow();
    members
        .at_address(from)
        .is_some_and(|member| in_own_region(core, member))
}

/// Sends a datagram to all known nodes of the region.
pub(crate) async fn broadcast(core: &EntryCore, socket: &UdpSocket, message: &GossipMessage) {
    send_to_matching(core, socket, message, |member| in_own_region(core, member)).await;
}

/// Sends a datagram to the known nodes that match a filter.
pub(crate) async fn send_to_matching(
    core: &EntryCore,
    socket: &UdpSocket,
    message: &GossipMessage,
    filter: impl Fn(&MemberInfo) -> bool,
) {
    let Ok(bytes) = postcard::to_allocvec(message) else {
        return;
    };
    let addresses: Vec<SocketAddrV4> = {
        let members = core.members.borrow();
        members
            .known()
            .filter(|member| filter(member))
            .map(|member| member.peer)
            .collect()
    };
    for address in addresses {
        // A failed send counts as a lost datagram; later datagrams make up for it.
        let _ = socket.send_to(&bytes, address).await;
    }
}

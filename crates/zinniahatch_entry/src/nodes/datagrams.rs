//! Sending datagrams to the nodes that this one knows.

use crate::core::EntryCore;
use crate::nodes::node_gram::NodeGram;
use std::net::SocketAddrV4;
use tokio::net::UdpSocket;
use zinniahatch_route::MemberInfo;

/// Tells whether a node is of this one's region.
pub(crate) fn is_near(core: &EntryCore, card: &MemberInfo) -> bool {
    card.region == core.settings.region
}

/// Tells whether a known node of this one's region speaks from an address.
pub(crate) fn speaks_near(core: &EntryCore, from: SocketAddrV4) -> bool {
    let members = core.members.borrow();
    members
        .at_address(from)
        .is_some_and(|card| is_near(core, card))
}

/// Sends a datagram to all nodes of the region.
pub(crate) async fn tell_near(core: &EntryCore, socket: &UdpSocket, gram: &NodeGram) {
    tell_where(core, socket, gram, |card| is_near(core, card)).await;
}

/// Sends a datagram to those of the known nodes that are meant.
pub(crate) async fn tell_where(
    core: &EntryCore,
    socket: &UdpSocket,
    gram: &NodeGram,
    meant: impl Fn(&MemberInfo) -> bool,
) {
    let Ok(bytes) = postcard::to_allocvec(gram) else {
        return;
    };
    let addresses: Vec<SocketAddrV4> = {
        let members = core.members.borrow();
        members
            .known()
            .filter(|card| meant(card))
            .map(|card| card.peer)
            .collect()
    };
    for address in addresses {
        // A datagram that cannot be sent is as good as lost; the next one follows.
        let _ = socket.send_to(&bytes, address).await;
    }
}

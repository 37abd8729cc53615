//! Sending datagrams to the nodes that this one knows.

use crate::core::EntryCore;
use crate::node_gram::NodeGram;
use std::net::SocketAddrV4;
use tokio::net::UdpSocket;
use zinniahatch_route::MemberCard;

/// Sends a datagram to all nodes of the region.
pub(crate) async fn tell_near(core: &EntryCore, socket: &UdpSocket, gram: &NodeGram) {
    tell_where(core, socket, gram, |card| {
        card.region == core.settings.region
    })
    .await;
}

/// Sends a datagram to those of the known nodes that are meant.
pub(crate) async fn tell_where(
    core: &EntryCore,
    socket: &UdpSocket,
    gram: &NodeGram,
    meant: impl Fn(&MemberCard) -> bool,
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

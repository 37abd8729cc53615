//! The addresses that the lab gives to processes which bind them later.

use std::net::UdpSocket;
use zinniahatch_lab::cluster::free_addresses;

/// Sockets that are open to all addresses of the machine, with ports from the system.
const SOCKETS: usize = 200;

/// Guards against a node that cannot start, since somebody was given its port between the choice and the start.
#[test]
fn free_addresses_stay_free_beside_sockets_open_to_all() {
    let mut held = Vec::new();
    let mut system: Vec<u16> = Vec::new();
    for _ in 0..SOCKETS {
        let socket = UdpSocket::bind("0.0.0.0:0").unwrap();
        system.push(socket.local_addr().unwrap().port());
        held.push(socket);
    }
    let least = system.iter().min().unwrap();
    let most = system.iter().max().unwrap();
    for address in free_addresses(50) {
        let (_, port) = address.rsplit_once(':').unwrap();
        let port: u16 = port.parse().unwrap();
        assert!(port < *least || port > *most, "{port} of {least} to {most}");
        UdpSocket::bind(&*address).unwrap();
    }
}

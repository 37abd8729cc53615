//! Opening of the listen addresses at the start.

use super::ListenerKind;
use crate::decision_log::DecisionLog;
use crate::process_metrics::ProcessMetrics;
use crate::request::ingress::RequestSource;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::UdpSocket;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;
use zinniahatch_config::EntrySettings;
use zinniahatch_config::ListenSettings;
use zinniahatch_route::ListenWait;

/// Length of the accept queue. In a burst beyond it, connections are delayed by a retransmitted
/// SYN.
const BACKLOG: u32 = 1024;

/// A listen address that cannot be used.
#[derive(Debug, Error)]
#[error("[listen] {key} = {address}: {error}; choose a free address of this machine")]
pub struct ListenError {
    /// The settings key.
    key: &'static str,
    /// The address.
    address: SocketAddrV4,
    /// The system's error.
    error: std::io::Error,
}

impl ListenError {
    fn new(key: &'static str, address: SocketAddrV4) -> impl Fn(std::io::Error) -> Self {
        move |error| Self {
            key,
            address,
            error,
        }
    }
}

/// The sockets of all listen addresses.
pub(crate) struct OpenSockets {
    /// The listeners, and what each serves.
    pub(crate) listeners: Vec<(TcpListener, ListenerKind)>,
    /// The socket for datagrams of other nodes.
    pub(crate) datagrams: UdpSocket,
}

/// Opens all listen addresses, again and again while one that is missing may become free.
///
/// # Errors
///
/// An address cannot be used, or not in time.
pub(crate) async fn open_sockets(
    settings: &EntrySettings,
    log: &DecisionLog,
    metrics: &ProcessMetrics,
) -> Result<OpenSockets, ListenError> {
    let wait = ListenWait::new(settings.bounds.grace, Instant::now());
    loop {
        let failure = match try_open(&settings.listen).await {
            Ok(sockets) => return Ok(sockets),
            Err(failure) => failure,
        };
        let now = Instant::now();
        let pause = wait.next_pause(failure.error.kind(), now);
        let kind = if pause.is_some() {
            "listen-retry"
        } else {
            "listen-failed"
        };
        log.write(
            kind,
            serde_json::json!({"key": failure.key, "address": failure.address.to_string(),
                "error": failure.error.to_string(), "waited_ms": wait.elapsed(now).as_millis() as u64}),
        );
        let Some(pause) = pause else {
            return Err(failure);
        };
        metrics.note_listen_retry(failure.key);
        sleep(pause).await;
    }
}

/// Opens all listen addresses or none.
///
/// No address accepts connections before all are bound, so that nobody waits for a node that does. Of two
/// processes that try at once, the first to listen at the first address gets all of them.
async fn try_open(listen: &ListenSettings) -> Result<OpenSockets, ListenError> {
    let kinds = [
        (
            "front",
            listen.front,
            ListenerKind::Calls(RequestSource::Front),
        ),
        (
            "peer",
            listen.peer,
            ListenerKind::Calls(RequestSource::Peer),
        ),
        ("directory", listen.directory, ListenerKind::Directory),
        ("readiness", listen.readiness, ListenerKind::Readiness),
        ("control", listen.control, ListenerKind::Control),
    ];
    let mut bound = Vec::new();
    for (key, address, kind) in kinds {
        let socket = bind(address).map_err(ListenError::new(key, address))?;
        bound.push((socket, key, address, kind));
    }
    let datagrams = UdpSocket::bind(SocketAddr::from(listen.peer))
        .await
        .map_err(ListenError::new("peer", listen.peer))?;
    let mut listeners = Vec::new();
    for (socket, key, address, kind) in bound {
        let listener = socket
            .listen(BACKLOG)
            .map_err(ListenError::new(key, address))?;
        listeners.push((listener, kind));
    }
    Ok(OpenSockets {
        listeners,
        datagrams,
    })
}

fn bind(address: SocketAddrV4) -> std::io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address.into())?;
    Ok(socket)
}

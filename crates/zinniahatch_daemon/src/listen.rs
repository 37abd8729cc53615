//! Opening of the listen addresses at the start.

use crate::transport;
use anng::Socket;
use anng::protocols::pipeline0::Pull0;
use log::warn;
use salvo::Listener;
use salvo::conn::TcpListener;
use salvo::conn::tcp::TcpAcceptor;
use std::io::ErrorKind;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;
use zinniahatch_config::NodeSettings;
use zinniahatch_route::ListenWait;

/// The sockets of all listen addresses.
pub(crate) struct OpenSockets {
    /// For control messages of other nodes.
    pub(crate) frames: Socket<Pull0>,
    /// For callers, operators and forwarded requests.
    pub(crate) acceptor: TcpAcceptor,
    /// Tries that failed before.
    pub(crate) retries: u64,
}

/// Opens all listen addresses, again and again while one that is missing may become free.
///
/// # Errors
///
/// An address cannot be used, or not in time.
pub(crate) async fn open_sockets(settings: &NodeSettings) -> Result<OpenSockets, String> {
    let wait = ListenWait::new(settings.stop_timeout, Instant::now());
    let mut retries = 0;
    loop {
        let (kind, error) = match try_open(settings).await {
            Ok((frames, acceptor)) => {
                return Ok(OpenSockets {
                    frames,
                    acceptor,
                    retries,
                });
            }
            Err(failure) => failure,
        };
        let now = Instant::now();
        let Some(pause) = wait.next_pause(kind, now) else {
            return Err(error);
        };
        retries += 1;
        let waited = wait.elapsed(now).as_millis();
        warn!("cannot listen yet, waited {waited} ms: {error}");
        sleep(pause).await;
    }
}

/// Opens all listen addresses or none; callers come last, so that they reach no node with an address
/// missing.
async fn try_open(
    settings: &NodeSettings,
) -> Result<(Socket<Pull0>, TcpAcceptor), (ErrorKind, String)> {
    let peer = &settings.peer_listen;
    let frames = transport::open(peer)
        .await
        .map_err(|error| (error.kind(), format!("[node] peer_listen: {peer}: {error}")))?;
    let listen = &settings.listen;
    let acceptor = TcpListener::new(listen.to_string())
        .try_bind()
        .await
        .map_err(|error| {
            let kind = match &error {
                salvo::Error::Io(error) => error.kind(),
                _ => ErrorKind::Other,
            };
            (kind, format!("[node] listen: {listen}: {error}"))
        })?;
    Ok((frames, acceptor))
}

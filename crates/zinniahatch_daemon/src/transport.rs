//! Frames between nodes over nng: one listening pull socket, and one push socket for each peer.
//!
//! The pipeline protocol fits, since every message is one-way and may be lost: its content is sent
//! again later. nng's request protocol, which retransmits by itself, is not used.

use crate::tasks::report_panic;
use anng::Message;
use anng::Socket;
use anng::protocols::pipeline0::Pull0;
use anng::protocols::pipeline0::Push0;
use std::ffi::CString;
use std::io::Write;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio::time::timeout;
use zinniahatch_base::prelude::*;
use zinniahatch_control::OutboundFrame;
use zinniahatch_entry::catch_panic;
use zinniahatch_gateway::GatewayCore;
use zinniahatch_protocol::FrameCodec;

/// Limit of the frames queued for one peer. Further frames are dropped; later ones carry the same
/// state.
const PEER_QUEUE: usize = 64;
/// Time-out for opening a connection, and for sending one frame.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failed connection.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Time without a frame after which the sender task of a peer ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);

enum PeerCommand {
    Send(Vec<u8>),
    Redial,
}

/// The sender tasks of all peers.
pub(crate) struct PeerTransport {
    codec: FrameCodec,
    peers: BTreeMap<Box<str>, mpsc::Sender<PeerCommand>>,
}

impl PeerTransport {
    pub(crate) fn new(codec: FrameCodec) -> Self {
        Self {
            codec,
            peers: BTreeMap::new(),
        }
    }

    /// Queues a frame for its peer, or drops it if the queue is full.
    pub(crate) fn send(&mut self, core: &GatewayCore, outbound: &OutboundFrame) {
        let bytes = match self.codec.encode(&outbound.frame) {
            Ok(bytes) => bytes,
            Err(error) => {
                core.counters
                    .frames_refused
                    .with_label_values(&[error.to_string().as_str()])
                    .inc();
                return;
            }
        };
        core.counters.frames.with_label_values(&["out"]).inc();
        core.counters
            .frame_bytes
            .with_label_values(&["out"])
            .inc_by(bytes.len() as u64);
        if !self.enqueue(
            core.translate_address(&outbound.to),
            PeerCommand::Send(bytes),
        ) {
            let dropped = &core.counters.messages_dropped;
            dropped.with_label_values(&["queue-full"]).inc();
        }
    }

    /// Opens a new connection to a peer from which nothing was received for some time.
    pub(crate) fn redial(&mut self, core: &GatewayCore, peer: &str) {
        core.counters.redials.inc();
        self.enqueue(core.translate_address(peer), PeerCommand::Redial);
    }

    /// Queues a command for the sender task of a peer; returns whether the queue had room.
    fn enqueue(&mut self, peer: &str, command: PeerCommand) -> bool {
        if self.peers.get(peer).is_none_or(mpsc::Sender::is_closed) {
            // Hundreds of VMs are replaced per day, so entries of ended senders are removed.
            self.peers.retain(|_, sender| !sender.is_closed());
            let (sender, receiver) = mpsc::channel(PEER_QUEUE);
            tokio::spawn(run_sender(peer.into(), receiver));
            self.peers.insert(peer.into(), sender);
        }
        let sender = self.peers.get(peer);
        sender.is_some_and(|sender| sender.try_send(command).is_ok())
    }
}

/// Opens the socket for frames of other nodes.
///
/// # Errors
///
/// The address cannot be used.
pub(crate) async fn open(address: &str) -> std::io::Result<Socket<Pull0>> {
    Pull0::listen(tcp_url(address).as_c_str()).await
}

/// Receives frames until the process ends.
pub(crate) async fn receive(core: Arc<GatewayCore>, codec: FrameCodec, mut socket: Socket<Pull0>) {
    loop {
        match socket.pull().await {
            Ok(message) => {
                let receiving = async { receive_frame(&core, &codec, message.as_slice()) };
                if let Err(panic) = catch_panic("frames", receiving).await {
                    report_panic(&core, &panic);
                }
            }
            Err(_) => sleep(RETRY_PAUSE).await,
        }
    }
}

fn receive_frame(core: &GatewayCore, codec: &FrameCodec, bytes: &[u8]) {
    core.counters.frames.with_label_values(&["in"]).inc();
    core.counters
        .frame_bytes
        .with_label_values(&["in"])
        .inc_by(bytes.len() as u64);
    match codec.decode(bytes) {
        Ok(frame) => {
            if core.control().receive(Instant::now(), frame) {
                core.wake.notify_one();
            }
        }
        Err(error) => core
            .counters
            .frames_refused
            .with_label_values(&[error.to_string().as_str()])
            .inc(),
    }
}

/// Sends the queued frames of one peer, over a new connection after each failure or redial.
async fn run_sender(peer: Box<str>, mut receiver: mpsc::Receiver<PeerCommand>) {
    let url = tcp_url(&peer);
    loop {
        let Ok(Ok(mut socket)) = timeout(SEND_TIMEOUT, Push0::dial(url.as_c_str())).await else {
            // The queued frames would be outdated by the time the peer is back.
            while receiver.try_recv().is_ok() {}
            if receiver.is_closed() {
                return;
            }
            sleep(RETRY_PAUSE).await;
            match timeout(IDLE_TIMEOUT, receiver.recv()).await {
                Ok(Some(_)) => continue,
                Ok(None) | Err(_) => return,
            }
        };
        loop {
            match timeout(IDLE_TIMEOUT, receiver.recv()).await {
                Ok(Some(PeerCommand::Send(bytes))) => {
                    let mut message = Message::with_capacity(bytes.len());
                    if message.write_all(&bytes).is_err() {
                        continue;
                    }
                    if !matches!(
                        timeout(SEND_TIMEOUT, socket.push(message)).await,
                        Ok(Ok(()))
                    ) {
                        break;
                    }
                }
                Ok(Some(PeerCommand::Redial)) => break,
                Ok(None) | Err(_) => return,
            }
        }
    }
}

fn tcp_url(address: &str) -> CString {
    CString::new(format!("tcp://{address}")).unwrap_or_default()
}

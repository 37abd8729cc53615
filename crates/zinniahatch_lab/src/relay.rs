//! TCP relay that emulates a wide-area link and its faults: added delay, loss in one or both
//! directions, resets, connections that go silent, and silences after which everything arrives.

use socket2::SockRef;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::ReadHalf;
use tokio::io::WriteHalf;
use tokio::io::split;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;
use zinniahatch_base::prelude::*;

const CHUNK_BYTES: usize = 16 << 10;
/// Maximum number of chunks in flight in one direction of one connection.
const MAX_IN_FLIGHT_CHUNKS: usize = 256;
const CUT_EPOCH: u64 = u64::MAX;

/// The state of a link, shared by its relays.
///
/// Connections are numbered in the order in which they are opened. Those numbered below `silent_below`
/// are silent: raising it beyond the latest number silences the open connections for good, and a cut
/// silences all connections while it lasts.
#[derive(Clone, Debug, Default)]
pub struct LinkState {
    silent_below: Arc<AtomicU64>,
    opened: Arc<AtomicU64>,
    /// Direction in which bytes are dropped: a `LinkDirection`, or 0 for none.
    lossy_direction: Arc<AtomicU64>,
    /// Delay added to the link's own, in ms.
    extra_delay_ms: Arc<AtomicU64>,
    /// When each silence of the link began and ends.
    holds: Arc<Mutex<Vec<(Instant, Instant)>>>,
    reset: Arc<Notify>,
}

/// A direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkDirection {
    /// From the side that connects.
    Forward = 1,
    /// To the side that connects.
    Return = 2,
}

impl LinkState {
    /// Cuts the link: bytes are dropped silently in both directions.
    pub fn cut(&self) {
        self.silent_below.store(CUT_EPOCH, Ordering::SeqCst);
    }

    /// Ends a cut for connections opened from now on; those opened before stay silent.
    pub fn heal(&self) {
        self.silence_open();
    }

    /// Silences the connections that are open now for good.
    pub fn silence_open(&self) {
        let next = self.opened.load(Ordering::SeqCst) + 1;
        self.silent_below.store(next, Ordering::SeqCst);
    }

    /// Drops all bytes in one direction, on open and new connections.
    pub fn lose(&self, direction: LinkDirection) {
        self.lossy_direction
            .store(direction as u64, Ordering::SeqCst);
    }

    /// Adds a delay to the link's own.
    pub fn slow(&self, delay: Duration) {
        let millis = delay.as_millis() as u64;
        self.extra_delay_ms.store(millis, Ordering::SeqCst);
    }

    /// Holds what is sent in both directions for a time, on open and new connections, and delivers it
    /// afterwards in order. Closes are held too; nothing is lost.
    pub fn hold(&self, time: Duration) {
        let now = Instant::now();
        self.lock_holds().push((now, now + time));
    }

    /// Returns when each silence began and ends.
    pub fn holds(&self) -> Vec<(Instant, Instant)> {
        self.lock_holds().clone()
    }

    /// Resets the connections that are open now.
    pub fn reset_open(&self) {
        self.reset.notify_waiters();
    }

    /// Ends losses and delays.
    ///
    /// If the link was dropping bytes, its open connections are closed; otherwise the receiver would
    /// take the bytes after the gap for the continuation of those before it.
    pub fn restore(&self) {
        self.extra_delay_ms.store(0, Ordering::SeqCst);
        if self.lossy_direction.swap(0, Ordering::SeqCst) != 0 {
            self.reset_open();
        }
    }

    fn lock_holds(&self) -> MutexGuard<'_, Vec<(Instant, Instant)>> {
        self.holds.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the link is not held.
    async fn wait_unheld(&self) {
        loop {
            let ends = self.lock_holds().iter().map(|(_, until)| *until).max();
            let Some(until) = ends.filter(|until| *until > Instant::now()) else {
                return;
            };
            sleep_until(until.into()).await;
        }
    }

    fn is_silent(&self, number: u64) -> bool {
        number < self.silent_below.load(Ordering::SeqCst)
    }

    fn loses(&self, number: u64, direction: LinkDirection) -> bool {
        self.is_silent(number) || self.lossy_direction.load(Ordering::SeqCst) == direction as u64
    }
}

/// A relay to one address.
pub struct TcpRelay {
    /// Where it listens.
    pub address: Box<str>,
    task: JoinHandle<()>,
}

impl TcpRelay {
    /// Starts a relay to an address with the given one-way delay.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub async fn start(to: &str, delay: Duration, link: LinkState) -> Self {
        Self::start_until(to, delay, link, CancellationToken::new()).await
    }

    /// Starts a relay that stops when `ended` is cancelled.
    ///
    /// Open connections are closed and new ones refused then, as a host does after the process that
    /// listened has ended.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub async fn start_until(
        to: &str,
        delay: Duration,
        link: LinkState,
        ended: CancellationToken,
    ) -> Self {
        Self::start_until_refused(to, delay, link, ended, 0).await
    }

    /// Starts a relay that closes its open connections when `ended` is cancelled, and refuses new ones
    /// after it has accepted and closed `late` of them, as a process does whose connections close before
    /// its listener.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub async fn start_until_refused(
        to: &str,
        delay: Duration,
        link: LinkState,
        ended: CancellationToken,
        late: u32,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address")
            .to_string();
        let to: Box<str> = to.into();
        let task = tokio::spawn(async move {
            let accept = async {
                while let Ok((inbound, _)) = listener.accept().await {
                    let relayed = relay(inbound, to.clone(), delay, link.clone());
                    tokio::spawn(ended.clone().run_until_cancelled_owned(relayed));
                }
            };
            ended.run_until_cancelled(accept).await;
            for _ in 0..late {
                // Dropping a connection closes it.
                let _ = listener.accept().await;
            }
        });
        Self {
            address: address.into(),
            task,
        }
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn relay(inbound: TcpStream, to: Box<str>, delay: Duration, link: LinkState) {
    let number = link.opened.fetch_add(1, Ordering::SeqCst) + 1;
    // The TCP handshake takes one round trip over the link.
    sleep(delay * 2).await;
    let Ok(outbound) = TcpStream::connect(&*to).await else {
        return;
    };
    let _ = inbound.set_nodelay(true);
    let _ = outbound.set_nodelay(true);
    let sockets = [&inbound, &outbound].map(|stream| SockRef::from(stream).try_clone());
    let (in_read, in_write) = split(inbound);
    let (out_read, out_write) = split(outbound);
    let outgoing = ConnectionFlow {
        link: link.clone(),
        number,
        direction: LinkDirection::Forward,
    };
    let returning = ConnectionFlow {
        direction: LinkDirection::Return,
        ..outgoing.clone()
    };
    let mut outgoing = tokio::spawn(forward(in_read, out_write, delay, outgoing));
    let mut returning = tokio::spawn(forward(out_read, in_write, delay, returning));
    let _guard = AbortOnDrop([outgoing.abort_handle(), returning.abort_handle()]);
    // The tasks fail only if `_guard` aborts them, which happens after this.
    let ended = async {
        let (first, other) = tokio::select! {
            end = &mut outgoing => (end, &mut returning),
            end = &mut returning => (end, &mut outgoing),
        };
        match first {
            Ok(FlowEnd::Closed) => other.await,
            reset => reset,
        }
    };
    let end = tokio::select! {
        end = ended => end.unwrap_or(FlowEnd::Reset),
        () = link.reset.notified() => FlowEnd::Reset,
    };
    if end == FlowEnd::Reset {
        for socket in sockets.iter().flatten() {
            // A close in order would look like the end of a response that is framed by it.
            let _ = socket.set_linger(Some(Duration::ZERO));
        }
    }
}

/// How one direction of a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FlowEnd {
    /// Its sender closed it.
    Closed,
    /// It was reset, or bytes of it were lost.
    Reset,
}

/// Aborts the tasks of both directions of a connection when dropped.
struct AbortOnDrop([AbortHandle; 2]);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        for handle in &self.0 {
            handle.abort();
        }
    }
}

/// One direction of one connection.
#[derive(Clone)]
struct ConnectionFlow {
    link: LinkState,
    number: u64,
    direction: LinkDirection,
}

async fn forward(
    mut from: ReadHalf<TcpStream>,
    mut to: WriteHalf<TcpStream>,
    delay: Duration,
    flow: ConnectionFlow,
) -> FlowEnd {
    let (sender, mut receiver) =
        mpsc::channel::<(tokio::time::Instant, Vec<u8>)>(MAX_IN_FLIGHT_CHUNKS);
    let ConnectionFlow {
        link,
        number,
        direction,
    } = flow;
    let writer_link = link.clone();
    let writer = tokio::spawn(async move {
        // TCP never delivers data after a gap, so that a connection that lost bytes stays silent.
        let mut lost_bytes = false;
        while let Some((due, bytes)) = receiver.recv().await {
            sleep_until(due).await;
            writer_link.wait_unheld().await;
            lost_bytes |= writer_link.loses(number, direction);
            if lost_bytes {
                continue;
            }
            if to.write_all(&bytes).await.is_err() {
                return (to, FlowEnd::Reset);
            }
        }
        writer_link.wait_unheld().await;
        // The close of a silent connection is not passed on either.
        while writer_link.is_silent(number) {
            sleep(Duration::from_secs(5)).await;
            if writer_link.silent_below.load(Ordering::SeqCst) != CUT_EPOCH {
                return (to, FlowEnd::Reset);
            }
        }
        let end = if lost_bytes {
            FlowEnd::Reset
        } else {
            FlowEnd::Closed
        };
        (to, end)
    });
    let mut buffer = vec![0_u8; CHUNK_BYTES];
    let read_end = loop {
        let size = match from.read(&mut buffer).await {
            Ok(0) => break FlowEnd::Closed,
            Ok(size) => size,
            Err(_) => break FlowEnd::Reset,
        };
        let extra_delay = Duration::from_millis(link.extra_delay_ms.load(Ordering::SeqCst));
        let due = tokio::time::Instant::now() + delay + extra_delay;
        if sender.send((due, buffer[..size].to_vec())).await.is_err() {
            break FlowEnd::Closed;
        }
    };
    drop(sender);
    let Ok((mut to, write_end)) = writer.await else {
        return FlowEnd::Reset;
    };
    if read_end == FlowEnd::Reset || write_end == FlowEnd::Reset {
        return FlowEnd::Reset;
    }
    // The other side may be gone already.
    let _ = to.shutdown().await;
    FlowEnd::Closed
}

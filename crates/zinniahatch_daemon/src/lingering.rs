//! Connections that are read for a while after their last answer, so that no reset discards it.

use salvo::conn::Accepted;
use salvo::conn::Acceptor;
use salvo::conn::Holding;
use salvo::conn::tcp::TcpAcceptor;
use salvo::conn::tcp::TcpCoupler;
use salvo::fuse::ArcFusePolicy;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::io::ReadBuf;
use tokio::runtime::Handle;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio::time::timeout_at;
use zinniahatch_base::prelude::*;
use zinniahatch_route::LINGER_QUIET_TIME;
use zinniahatch_route::LingerBudget;
use zinniahatch_route::MAX_LINGERING;

/// Bytes per read.
const READ_BYTES: usize = 16 << 10;

/// The connections that may linger at once.
#[derive(Clone, Debug)]
pub(crate) struct LingerSlots(Arc<Semaphore>);

impl Default for LingerSlots {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(MAX_LINGERING)))
    }
}

impl LingerSlots {
    /// Waits for a short time until none lingers.
    pub(crate) async fn wait_free(&self) {
        let all = self.0.acquire_many(MAX_LINGERING as u32);
        // What lingers for longer is closed with the process.
        let _ = timeout(LINGER_QUIET_TIME, all).await;
    }
}

/// Accepts connections that linger.
pub(crate) struct LingeringAcceptor {
    acceptor: TcpAcceptor,
    slots: LingerSlots,
}

impl LingeringAcceptor {
    pub(crate) fn new(acceptor: TcpAcceptor, slots: LingerSlots) -> Self {
        Self { acceptor, slots }
    }
}

impl Acceptor for LingeringAcceptor {
    type Coupler = TcpCoupler<Self::Stream>;
    type Stream = LingeringStream<<TcpAcceptor as Acceptor>::Stream>;

    fn holdings(&self) -> &[Holding] {
        self.acceptor.holdings()
    }

    async fn accept(
        &mut self,
        policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        let accepted = self.acceptor.accept(policy).await?;
        let slots = self.slots.clone();
        Ok(accepted.map_into(
            |_| TcpCoupler::new(),
            |stream| LingeringStream {
                stream: Some(stream),
                slots,
            },
        ))
    }
}

/// A stream that is closed for writing when dropped, and read on for a bounded time.
pub(crate) struct LingeringStream<S: AsyncRead + AsyncWrite + Unpin + Send + 'static> {
    /// Present until it is dropped.
    stream: Option<S>,
    slots: LingerSlots,
}

impl<S: AsyncRead + AsyncWrite + Unpin + Send + 'static> LingeringStream<S> {
    fn stream(&mut self) -> io::Result<Pin<&mut S>> {
        let stream = self.stream.as_mut().map(Pin::new);
        stream.ok_or_else(|| io::ErrorKind::NotConnected.into())
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin + Send + 'static> Drop for LingeringStream<S> {
    fn drop(&mut self) {
        let slot = Arc::clone(&self.slots.0).try_acquire_owned();
        // There is no runtime once the process ends.
        if let (Some(stream), Ok(slot), Ok(runtime)) =
            (self.stream.take(), slot, Handle::try_current())
        {
            runtime.spawn(async move {
                drop_rest(stream).await;
                drop(slot);
            });
        }
    }
}

/// Closes a stream for writing, then reads and drops what still comes.
async fn drop_rest(mut stream: impl AsyncRead + AsyncWrite + Unpin) {
    let mut budget = LingerBudget::new(Instant::now());
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut bytes = vec![0; READ_BYTES];
    loop {
        let (due_at, _) = budget.due();
        let count = match timeout_at(due_at.into(), stream.read(&mut bytes)).await {
            Ok(Ok(count)) if count > 0 => count,
            _ => return,
        };
        if budget.on_bytes(count, Instant::now()).is_some() {
            return;
        }
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin + Send + 'static> AsyncRead for LingeringStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.stream()?.poll_read(context, buffer)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin + Send + 'static> AsyncWrite for LingeringStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.stream()?.poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.stream()?.poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.as_ref().is_some_and(S::is_write_vectored)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream()?.poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream()?.poll_shutdown(context)
    }
}

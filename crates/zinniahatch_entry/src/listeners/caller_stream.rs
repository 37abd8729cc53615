//! The stream and the bodies of a caller's connection, which record its progress.

use crate::request::held_memory::HeldMemory;
use crate::request::held_memory::MemoryReservation;
use crate::request::response_body::ResponseBody;
use crate::request::response_body::TruncatedBody;
use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use socket2::SockRef;
use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::io::IoSlice;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::io::Take;
use tokio::net::TcpStream;
use zinniahatch_base::prelude::*;
use zinniahatch_route::CallerConnection;

/// Bytes per read. The HTTP library grows its buffer as long as reads fill it.
const READ_BYTES: u64 = 16 << 10;

/// Size of an incomplete head up to which its memory is not reserved.
const MAX_UNRESERVED_HEAD_BYTES: usize = 8 << 10;

/// The progress of a connection, shared by its stream and its answers.
#[derive(Debug)]
pub(super) struct ConnectionRecord {
    pub(super) connection: RefCell<CallerConnection>,
    /// Maximum size of a head in force.
    pub(super) max_head_bytes: Cell<usize>,
    /// Memory of a large head that is not complete.
    pub(super) head_memory: RefCell<Option<MemoryReservation>>,
    /// Whether to ask the kernel for bytes that the runtime has not announced yet.
    pub(super) confirms_idle: Cell<bool>,
}

impl ConnectionRecord {
    /// Starts with a connection on which nothing has arrived.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            connection: RefCell::new(CallerConnection::new(now)),
            max_head_bytes: Cell::new(0),
            head_memory: RefCell::default(),
            confirms_idle: Cell::new(false),
        }
    }

    /// Gives back the memory of a head that is not complete.
    pub(super) fn release_head(&self) {
        *self.head_memory.borrow_mut() = None;
    }

    /// Reserves memory for the part of a head that has arrived; returns whether there is enough.
    pub(super) fn reserve_head(&self, memory: &HeldMemory) -> bool {
        let head_bytes = self.connection.borrow().head_bytes();
        let mut reservation = self.head_memory.borrow_mut();
        let Some(bytes) = head_bytes.filter(|bytes| *bytes > MAX_UNRESERVED_HEAD_BYTES) else {
            *reservation = None;
            return true;
        };
        match &mut *reservation {
            Some(reservation) => reservation.grow_to(memory, bytes),
            none => {
                *none = memory.reserve(bytes);
                none.is_some()
            }
        }
    }
}

/// The stream of a caller's connection.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: Take<TcpStream>,
    record: Rc<ConnectionRecord>,
}

impl CallerStream {
    pub(super) fn new(stream: TcpStream, record: Rc<ConnectionRecord>) -> Self {
        Self {
            stream: stream.take(READ_BYTES),
            record,
        }
    }

    pub(super) fn into_inner(self) -> TcpStream {
        self.stream.into_inner()
    }

    fn note_sent(&self) {
        let mut connection = self.record.connection.borrow_mut();
        connection.on_sent(Instant::now());
    }

    fn has_bytes(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(self.stream.get_ref()).peek(&mut byte);
        peeked.is_ok_and(|count| count > 0)
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let limit = self.record.max_head_bytes.get();
        if self.record.connection.borrow().has_large_head(limit) {
            // The connection is closed after this poll, so that nothing has to wake its task.
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        self.stream.set_limit(READ_BYTES);
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let count = buffer.filled().len() - before;
        let waits = read.is_pending() && self.record.confirms_idle.get() && self.has_bytes();
        if count > 0 || waits {
            let mut connection = self.record.connection.borrow_mut();
            connection.on_bytes(count, Instant::now());
        }
        read
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(self.stream.get_mut()).poll_write(context, bytes));
        self.note_sent();
        Poll::Ready(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let stream = Pin::new(self.stream.get_mut());
        let written = ready!(stream.poll_write_vectored(context, slices));
        self.note_sent();
        Poll::Ready(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }

    /// The HTTP library calls this once its own buffers are empty.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(self.stream.get_mut()).poll_flush(context))?;
        let mut connection = self.record.connection.borrow_mut();
        connection.on_flushed(Instant::now());
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_shutdown(context)
    }
}

/// The body of an answer; the answer is complete once it is dropped.
#[derive(Debug)]
pub(super) struct AnswerBody {
    body: ResponseBody,
    record: Rc<ConnectionRecord>,
}

impl AnswerBody {
    pub(super) fn new(body: ResponseBody, record: Rc<ConnectionRecord>) -> Self {
        Self { body, record }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        let mut connection = self.record.connection.borrow_mut();
        connection.on_answered(Instant::now());
    }
}

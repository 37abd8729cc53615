//! The stream and the bodies of a caller's connection, which record its progress.

use crate::request::response_body::ResponseBody;
use crate::request::response_body::TruncatedBody;
use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use std::cell::RefCell;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use zinniahatch_base::prelude::*;
use zinniahatch_route::CallerConnection;

/// The progress of a connection, shared by its stream and its answers.
pub(super) type SharedConnection = Rc<RefCell<CallerConnection>>;

/// The stream of a caller's connection.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: TcpStream,
    connection: SharedConnection,
}

impl CallerStream {
    pub(super) fn new(stream: TcpStream, connection: SharedConnection) -> Self {
        Self { stream, connection }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if buffer.filled().len() > before {
            self.connection.borrow_mut().on_bytes();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The HTTP library calls this once its own buffers are empty.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.connection.borrow_mut().on_flushed(Instant::now());
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// The body of an answer; the answer is complete once it is dropped.
#[derive(Debug)]
pub(super) struct AnswerBody {
    body: ResponseBody,
    connection: SharedConnection,
}

impl AnswerBody {
    pub(super) fn new(body: ResponseBody, connection: SharedConnection) -> Self {
        Self { body, connection }
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
        self.connection.borrow_mut().on_answered();
    }
}

//! The body of a response to a caller.

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use thiserror::Error;
use tokio::sync::mpsc::Receiver;

/// The stream ended early.
///
/// This error closes the connection to the caller, so that the response does not look complete.
#[derive(Clone, Copy, Debug, Error)]
#[error("the response was truncated")]
pub(crate) struct TruncatedBody;

/// A body that is forwarded as it arrives.
#[derive(Debug)]
pub(crate) struct StreamBody {
    pub(crate) chunks: Receiver<Bytes>,
    /// Length of the body, if known.
    pub(crate) length: Option<u64>,
    /// Whether the chunks sent so far form the complete body. If the sender is dropped while this
    /// is false, the response is truncated.
    pub(crate) complete: Rc<Cell<bool>>,
}

/// The body of a response.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// A complete body, which is taken once.
    Whole(Option<Bytes>),
    /// A body that is forwarded as it arrives.
    Stream(StreamBody),
}

impl ResponseBody {
    /// Creates a complete body.
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(body) => match ready!(body.chunks.poll_recv(context)) {
                Some(chunk) => Poll::Ready(Some(Ok(Frame::data(chunk)))),
                None if body.complete.get() => Poll::Ready(None),
                None => Poll::Ready(Some(Err(TruncatedBody))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream(body) => body
                .length
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

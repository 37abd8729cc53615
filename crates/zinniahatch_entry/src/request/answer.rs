//! The body of an answer to a caller.

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

/// The stream ended early; the channel to the caller is broken off, so that the answer does not look complete.
#[derive(Clone, Copy, Debug, Error)]
#[error("the answer was cut off")]
pub(crate) struct CutOff;

/// A body that is passed on as it arrives.
#[derive(Debug)]
pub(crate) struct StreamBody {
    pub(crate) pieces: Receiver<Bytes>,
    /// Its length, where that is known.
    pub(crate) length: Option<u64>,
    /// Whether the pieces that were sent are all. However else their sender ends, the answer is cut off.
    pub(crate) whole: Rc<Cell<bool>>,
}

/// The body of an answer.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// A whole body, taken once.
    Whole(Option<Bytes>),
    /// A body that is passed on as it arrives.
    Stream(StreamBody),
}

impl AnswerBody {
    /// Makes a whole body.
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = CutOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutOff>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(body) => match ready!(body.pieces.poll_recv(context)) {
                Some(piece) => Poll::Ready(Some(Ok(Frame::data(piece)))),
                None if body.whole.get() => Poll::Ready(None),
                None => Poll::Ready(Some(Err(CutOff))),
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

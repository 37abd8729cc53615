//! The body of an answer to a caller.

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use thiserror::Error;
use tokio::sync::mpsc::Receiver;

/// The stream ended before its end; the channel to the caller is broken off, so that the answer
/// does not look complete.
#[derive(Clone, Copy, Debug, Error)]
#[error("the answer was cut off")]
pub(crate) struct CutOff;

/// The body of an answer.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// A whole body, taken once.
    Whole(Option<Bytes>),
    /// A body that is passed on as it arrives, with its length where that is known.
    Stream(Receiver<Result<Bytes, CutOff>>, Option<u64>),
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
            Self::Stream(receiver, _) => receiver
                .poll_recv(context)
                .map(|piece| piece.map(|piece| piece.map(Frame::data))),
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
            Self::Stream(_, Some(length)) => SizeHint::with_exact(*length),
            Self::Stream(_, None) => SizeHint::default(),
        }
    }
}

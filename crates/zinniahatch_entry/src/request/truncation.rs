//! How it is noticed that a response ended early.

use crate::core::EntryCore;
use crate::replicas::crash_detection::find_crash;
use crate::request::connection::BodyEnd;
use crate::request::connection::ConnectionError;
use crate::request::in_flight::InFlightRequest;
use http::HeaderMap;
use http::header;
use std::rc::Rc;
use thiserror::Error;

/// Media type of a stream of server-sent events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// What shows that a response ended early.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum Truncation {
    /// Its connection broke, or closed before the end that its framing announced.
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    /// Its stream ended inside an event.
    #[error("the stream ended inside an event")]
    InsideEvent,
    /// Only the end of its connection marked its end, and its replica ended as well.
    #[error("the replica ended with the connection")]
    ReplicaCrashed,
    /// Its replica has restarted.
    #[error("the replica restarted")]
    ReplicaRestarted,
    /// Its connection went silent, and the replica that was to go on failed.
    #[error("the connection went silent")]
    Silent,
}

impl Truncation {
    /// Returns the name used as a metric label.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Connection(_) => "connection",
            Self::InsideEvent => "inside_event",
            Self::ReplicaCrashed => "replica_crashed",
            Self::ReplicaRestarted => "replica_restarted",
            Self::Silent => "silent",
        }
    }
}

/// Returns whether a response is a stream of events, as far as its headers say.
pub(crate) fn is_event_stream(headers: &HeaderMap) -> bool {
    headers.get(header::CONTENT_TYPE).is_none_or(|value| {
        let media_type = value.as_bytes().get(..EVENT_STREAM.len());
        media_type.is_some_and(|media_type| media_type.eq_ignore_ascii_case(EVENT_STREAM))
    })
}

/// Checks a response that has ended as its framing says.
///
/// A process that crashes closes its connections in order, as one does that has sent its whole
/// response. Where the end of the connection alone marks the end of the body, the state of the
/// replica is what tells them apart.
pub(crate) async fn check_end(
    core: &Rc<EntryCore>,
    in_flight: &InFlightRequest,
    inside_event: bool,
) -> Result<(), Truncation> {
    if inside_event {
        return Err(Truncation::InsideEvent);
    }
    if in_flight.body_end() == Some(BodyEnd::ConnectionClose)
        && find_crash(core, in_flight).await.is_some()
    {
        return Err(Truncation::ReplicaCrashed);
    }
    Ok(())
}

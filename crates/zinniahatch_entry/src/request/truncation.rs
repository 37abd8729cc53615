//! How it is noticed that a response ended early.

use crate::core::EntryCore;
use crate::replicas::crash_detection::ListenerState;
use crate::replicas::crash_detection::check_after_end;
use crate::request::connection::BodyEnd;
use crate::request::connection::ConnectionError;
use crate::request::in_flight::InFlightRequest;
use crate::request::plan::RequestPlan;
use crate::request::received::ReceivedRequest;
use http::HeaderMap;
use http::header;
use thiserror::Error;
use zinniahatch_base::prelude::*;

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
    /// The same, and nothing shows whether its replica runs.
    #[error("the connection ended, and the replica cannot be reached")]
    ReplicaUnreached,
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
            Self::ReplicaUnreached => "replica_unreached",
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
/// A process that ends closes its connections in order, as one does that has sent its whole response.
/// Where the end of the connection alone marks the end of the body, the response counts as complete
/// only if its replica is shown to run on, by an answer that names it.
pub(crate) async fn check_end(
    core: &EntryCore,
    request: &ReceivedRequest,
    plan: &RequestPlan,
    in_flight: &InFlightRequest,
    inside_event: bool,
) -> Result<(), Truncation> {
    if inside_event {
        return Err(Truncation::InsideEvent);
    }
    if in_flight.body_end() != Some(BodyEnd::ConnectionClose) {
        return Ok(());
    }
    let began = Instant::now();
    let limit = plan.deadline.saturating_duration_since(began);
    let state = check_after_end(core, in_flight, &plan.service, limit).await;
    core.log.write(
        "unframed-end",
        serde_json::json!({"request": request.attempt, "replica": in_flight.replica(),
            "listener": state.name(), "took_ms": began.elapsed().as_millis() as u64}),
    );
    match state {
        ListenerState::Listening => Ok(()),
        ListenerState::Ended => Err(Truncation::ReplicaCrashed),
        ListenerState::Unknown => Err(Truncation::ReplicaUnreached),
    }
}

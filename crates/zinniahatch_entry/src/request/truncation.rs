//! How it is noticed that a response ended early.

use crate::core::EntryCore;
use crate::replicas::crash_detection::ListenerState;
use crate::replicas::crash_detection::check_after_end;
use crate::request::body_position::BodyPosition;
use crate::request::connection::ConnectionError;
use crate::request::framing::BodyEnd;
use crate::request::in_flight::InFlightRequest;
use crate::request::plan::RequestPlan;
use crate::request::received::ReceivedRequest;
use http::HeaderMap;
use http::StatusCode;
use http::header;
use thiserror::Error;
use zinniahatch_base::prelude::*;

/// Media type of a stream of server-sent events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// What shows that a response ended early.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Truncation {
    /// Its connection broke, or closed before the end that its framing announced.
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    /// Its stream ended inside an event.
    #[error("the stream ended inside an event")]
    InsideEvent,
    /// Only the end of its connection marked its end, and nothing of its body had arrived.
    #[error("the connection ended before the body began")]
    BeforeBody,
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
    /// Returns whether the end of the replica may be the reason.
    pub(crate) fn may_be_crash(&self) -> bool {
        !matches!(
            self,
            Self::ReplicaRestarted | Self::Connection(ConnectionError::Excess(_))
        )
    }

    /// Returns the name used as a metric label.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Connection(_) => "connection",
            Self::InsideEvent => "inside_event",
            Self::BeforeBody => "before_body",
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

/// Returns whether a response of a status may have an empty body that nothing marks as such. A success
/// that stopped just after its head looks the same; a failure is one whatever its body.
pub(crate) fn may_be_empty(status: StatusCode) -> bool {
    !status.is_success() || status == StatusCode::RESET_CONTENT
}

/// What proves that a response is whole, apart from its framing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndProof {
    /// Nothing else has to: its framing marks its end.
    Framing,
    /// Its replica runs on, since a process that ends closes its connections in order, as one does that
    /// has sent its whole response.
    RunningReplica,
}

/// Returns what proves that a response is whole which has ended as its framing says.
///
/// # Errors
///
/// Nothing does: it is truncated.
pub fn required_proof(body_end: BodyEnd, position: BodyPosition) -> Result<EndProof, Truncation> {
    match (body_end, position) {
        (_, BodyPosition::InsideEvent) => Err(Truncation::InsideEvent),
        (BodyEnd::Length | BodyEnd::LastChunk, _) => Ok(EndProof::Framing),
        (BodyEnd::ConnectionClose, BodyPosition::Start) => Err(Truncation::BeforeBody),
        (BodyEnd::ConnectionClose, BodyPosition::Further) => Ok(EndProof::RunningReplica),
    }
}

/// Checks a response that has ended as its framing says.
///
/// Where its replica has to run on, that is shown by an answer that names it.
pub(crate) async fn check_end(
    core: &EntryCore,
    request: &ReceivedRequest,
    plan: &RequestPlan,
    in_flight: &InFlightRequest,
    position: BodyPosition,
) -> Result<(), Truncation> {
    let body_end = in_flight.body_end().unwrap_or(BodyEnd::ConnectionClose);
    if required_proof(body_end, position)? == EndProof::Framing {
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

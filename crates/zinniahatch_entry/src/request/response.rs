//! Responses to callers: a replica's buffered response, the start of a stream, or a refusal.

use crate::core::EntryCore;
use crate::counts::counting::record_request;
use crate::replicas::crash_detection::handle_connection_break;
use crate::replicas::part_quarantine::note_sound_answer;
use crate::replicas::quarantine::note_complete_response;
use crate::request::body_position::BodyPosition;
use crate::request::connection::ResponseHead;
use crate::request::events::EventSplitter;
use crate::request::gateway_response::gateway_response;
use crate::request::gateway_response::report_uncharged;
use crate::request::in_flight::BufferedBody;
use crate::request::in_flight::InFlightRequest;
use crate::request::late_stop::note_answer_time;
use crate::request::late_stop::withhold_late;
use crate::request::plan::InFlightGuard;
use crate::request::plan::RequestPlan;
use crate::request::plan::RequestProgress;
use crate::request::received::ReceivedRequest;
use crate::request::relay::StreamRelay;
use crate::request::response_body::ResponseBody;
use crate::request::response_body::StreamBody;
use crate::request::send::SERVED_SOFTWARE;
use crate::request::truncation::Truncation;
use crate::request::truncation::check_end;
use crate::request::truncation::is_event_stream;
use crate::request::truncation::may_be_empty;
use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::time::timeout_at;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::filter_response_headers;
use zinniahatch_route::BodyPace;
use zinniahatch_route::RepeatKind;

/// Number of chunks of a stream that are queued for a caller that reads slowly.
const STREAM_QUEUE: usize = 8;

/// Builds the response to a request that this node gives up on.
pub(crate) fn refuse(
    core: &EntryCore,
    request: &ReceivedRequest,
    plan: &RequestPlan,
    progress: &RequestProgress,
    code: ResultCode,
    retry: Option<Duration>,
) -> Response<ResponseBody> {
    // Once a request may have run, the response must not claim that it did not.
    let code = if progress.may_have_run && code.execution() == Execution::NotRun {
        ResultCode::OutcomeUnknown
    } else {
        code
    };
    core.metrics.note_response(&plan.service, code.name());
    record_request(core, request, plan, &core.settings.region, code, None);
    core.log.write(
        "refused",
        serde_json::json!({"request": request.attempt, "content": request.content_text(),
            "parts": request.parts_text(), "direct": request.is_direct(), "route": plan.route.name, "tokens_in": request.size.tokens_in,
            "service": plan.service, "result": code.number(), "sends": progress.sends,
            "uncharged": progress.ledger.uncharged(),
            "connects": progress.unsent_tries, "retry_ms": retry.map(|after| after.as_millis() as u64),
            "age_ms": request.arrived.elapsed().as_millis() as u64, "version": plan.version})
    );
    let mut response = gateway_response(code, Some(&request.attempt), retry);
    report_uncharged(response.headers_mut(), progress.ledger.uncharged());
    response
}

fn build_response(head: &ResponseHead, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = filter_response_headers(&head.headers);
    response.headers_mut().remove(SERVED_SOFTWARE);
    response
}

/// A response that was to be read whole.
pub(crate) enum BufferedResponse {
    /// It was.
    Whole {
        response: Response<ResponseBody>,
        /// Whether it is final, i.e. not a server error that should be retried.
        is_final: bool,
    },
    /// There is no memory for all of it. It has to be forwarded as it arrives.
    Begun(Box<BegunResponse>),
}

/// A response that is forwarded as it arrives.
pub(crate) struct BegunResponse {
    pub(crate) head: ResponseHead,
    pub(crate) in_flight: InFlightRequest,
    /// What was read of its body.
    pub(crate) begun: Vec<Bytes>,
}

/// Buffers the whole response of a replica, so that another replica can be tried if the connection
/// breaks before the end.
pub(crate) async fn buffer_response(
    core: &Rc<EntryCore>,
    request: &ReceivedRequest,
    plan: &RequestPlan,
    served: &RegionId,
    head: ResponseHead,
    mut in_flight: InFlightRequest,
) -> Result<BufferedResponse, Box<str>> {
    let reading_since = Instant::now();
    let reading = read_complete(core, request, plan, &head, &mut in_flight);
    let body = match timeout_at(plan.deadline_tokio(), reading).await {
        Ok(Ok(BufferedBody::Whole(body))) => body,
        Ok(Ok(BufferedBody::Begun(begun))) => {
            let wanted = head.length.unwrap_or_default() as usize;
            core.log_memory_full(&core.answer_memory, &request.attempt, wanted);
            // A caller of HTTP/1.0 sees only by the length that an answer was truncated.
            if !request.accepts_chunks && relayed_length(plan, &head).is_none() {
                return Err("no memory for the answer".into());
            }
            let pace = BodyPace {
                read: begun.iter().map(|part| part.len() as u64).sum(),
                length: head.length,
                elapsed: reading_since.elapsed(),
            };
            if withhold_late(core, request, plan, &pace) {
                return Err("no time for the answer".into());
            }
            return Ok(BufferedResponse::Begun(Box::new(BegunResponse {
                head,
                in_flight,
                begun,
            })));
        }
        Ok(Err(truncation)) => {
            core.metrics
                .streams
                .note_truncated(&plan.service, &truncation);
            let reason = truncation.to_string();
            in_flight.record_failure();
            if truncation.may_be_crash() {
                handle_connection_break(core, request, plan, &in_flight, &reason).await;
            }
            return Err(reason.into());
        }
        Err(_) => return Err("response not complete in time".into()),
    };
    let failed = head.status.is_server_error();
    let replica = in_flight.replica().cloned();
    let began = in_flight.answer_began();
    note_answer_time(core, plan, &in_flight);
    in_flight.finish(!failed);
    note_complete_response(core, request);
    if let Some(began) = began {
        note_sound_answer(core, request, plan, began);
    }
    let took = request.arrived.elapsed();
    core.metrics.note_first_event(&plan.service, took);
    let result = if failed {
        ResultCode::BackendError
    } else {
        ResultCode::Answered
    };
    core.metrics.note_response(&plan.service, result.name());
    record_request(core, request, plan, served, result, Some(took));
    core.log.write(
        "answered",
        serde_json::json!({"request": request.attempt, "content": request.content_text(),
            "direct": request.is_direct(), "route": plan.route.name, "status": head.status.as_u16(), "framing": head.body_end.name(), "replica": replica,
            "took_ms": took.as_millis() as u64, "goal_ms": plan.route.goal.as_millis() as u64})
    );
    let retry = failed && plan.route.may_repeat() && head.status != StatusCode::GATEWAY_TIMEOUT;
    Ok(BufferedResponse::Whole {
        response: build_response(&head, ResponseBody::whole(body)),
        is_final: !retry,
    })
}

/// Returns whether a response is a stream of events.
fn has_events(plan: &RequestPlan, head: &ResponseHead) -> bool {
    plan.route.repeat == RepeatKind::Streaming
        && head.status.is_success()
        && is_event_stream(&head.headers)
}

/// Returns the length that a response states if it is forwarded as it arrives.
///
/// The end of a stream of events shows only when all of it has been forwarded. If its length were
/// stated, a stream that ends inside an event would look complete by then.
fn relayed_length(plan: &RequestPlan, head: &ResponseHead) -> Option<u64> {
    head.length.filter(|_| !has_events(plan, head))
}

/// Reads the whole body of a response, if there is memory for it, and checks that it is complete.
async fn read_complete(
    core: &EntryCore,
    request: &ReceivedRequest,
    plan: &RequestPlan,
    head: &ResponseHead,
    in_flight: &mut InFlightRequest,
) -> Result<BufferedBody, Truncation> {
    let body = in_flight.read_whole(head.length).await?;
    let BufferedBody::Whole(whole) = &body else {
        return Ok(body);
    };
    let position = if has_events(plan, head) {
        let mut events = EventSplitter::default();
        events.follow(whole);
        events.position()
    } else if may_be_empty(head.status) {
        BodyPosition::Further
    } else {
        in_flight.plain_position()
    };
    check_end(core, request, plan, in_flight, position).await?;
    Ok(body)
}

/// Forwards a response as it arrives, in a task of its own.
pub(crate) fn start_stream(
    core: &Rc<EntryCore>,
    request: &Rc<ReceivedRequest>,
    plan: &Rc<RequestPlan>,
    progress: RequestProgress,
    response: BegunResponse,
    guard: InFlightGuard,
) -> Response<ResponseBody> {
    let BegunResponse {
        head,
        in_flight,
        begun,
    } = response;
    let (sender, receiver) = mpsc::channel(STREAM_QUEUE);
    let complete = Rc::new(Cell::new(false));
    let failover = plan.stream_failover(&progress, in_flight.expected);
    let relay = StreamRelay {
        core: Rc::clone(core),
        request: Rc::clone(request),
        plan: Rc::clone(plan),
        progress,
        sender,
        complete: Rc::clone(&complete),
        guard,
        first_event: None,
        longest_gap: Duration::ZERO,
        last_event_at: None,
        events: 0,
        has_events: has_events(plan, &head),
        failed: head.status.is_server_error(),
        splitter: EventSplitter::after(request.last_event.clone()),
        event_memory: None,
        split_event: false,
        body_end: None,
        failover,
    };
    let software = in_flight.software;
    core.spawn_task("relay", relay.run(in_flight, begun));
    let body = StreamBody {
        chunks: receiver,
        length: relayed_length(plan, &head),
        complete,
    };
    let mut response = build_response(&head, ResponseBody::Stream(body));
    if let Some(software) = software.filter(|_| !request.is_direct()) {
        let headers = response.headers_mut();
        headers.insert(SERVED_SOFTWARE, HeaderValue::from(software));
    }
    response
}

//! Answers to callers: a replica's whole answer, a stream that begins, or a refusal.

use crate::core::EntryCore;
use crate::counts::counting::record_request;
use crate::replicas::crash_detection::handle_channel_break;
use crate::replicas::quarantine::note_complete_answer;
use crate::request::answer::AnswerBody;
use crate::request::answer::StreamBody;
use crate::request::channel::AnswerHead;
use crate::request::open_call::OpenCall;
use crate::request::plan::CallCount;
use crate::request::plan::CallCourse;
use crate::request::plan::CallPlan;
use crate::request::received::ReceivedCall;
use crate::request::refusal::own_answer;
use crate::request::relay::StreamRelay;
use http::Response;
use http::StatusCode;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::time::timeout_at;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::returned;

/// Pieces of a stream that wait for a caller who reads slowly.
const STREAM_PIECES: usize = 8;

/// Answers a request that this node gives up on.
pub(crate) fn refuse(
    core: &EntryCore,
    call: &ReceivedCall,
    plan: &CallPlan,
    course: &CallCourse,
    code: ResultCode,
    retry: Option<Duration>,
) -> Response<AnswerBody> {
    // Once a request may have run, no answer may promise that it did not.
    let code = if course.maybe_ran && code.execution() == Execution::NotRun {
        ResultCode::OutcomeUnknown
    } else {
        code
    };
    core.metrics.note_answer(&plan.service, code.name());
    record_request(core, call, plan, &core.settings.region, code, None);
    core.log.write(
        "refused",
        serde_json::json!({"request": call.attempt, "content": call.content_text(),
            "direct": call.is_direct(), "route": plan.route.name, "tokens_in": call.size.tokens_in,
            "service": plan.service, "result": code.number(), "sends": course.sends,
            "connects": course.connects, "retry_ms": retry.map(|after| after.as_millis() as u64),
            "age_ms": call.arrived.elapsed().as_millis() as u64, "version": plan.version}),
    );
    own_answer(code, Some(&call.attempt), retry)
}

fn build_answer(head: &AnswerHead, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = returned(&head.headers);
    response
}

/// Reads the whole answer before any of it goes to the caller, so that one that breaks off can be
/// replaced; says whether it is good.
pub(crate) async fn finish_whole(
    core: &Rc<EntryCore>,
    call: &ReceivedCall,
    plan: &CallPlan,
    course: &CallCourse,
    limit: Instant,
    head: AnswerHead,
    mut open: OpenCall,
) -> Result<(Response<AnswerBody>, bool), Box<str>> {
    let body = match timeout_at(limit.into(), open.read_whole()).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => {
            open.fail();
            handle_channel_break(core, call, &open, &error.to_string()).await;
            return Err(error.to_string().into());
        }
        Err(_) => return Err("no whole answer in time".into()),
    };
    let failed = head.status.is_server_error();
    let at = open.replica().cloned();
    open.finish(!failed);
    note_complete_answer(core, call);
    let took = call.arrived.elapsed();
    core.metrics.note_first_event(&plan.service, took);
    let result = if failed {
        ResultCode::BackendError
    } else {
        ResultCode::Answered
    };
    core.metrics.note_answer(&plan.service, result.name());
    record_request(core, call, plan, &course.served(core), result, Some(took));
    core.log.write(
        "answered",
        serde_json::json!({"request": call.attempt, "content": call.content_text(),
            "direct": call.is_direct(), "route": plan.route.name, "status": head.status.as_u16(), "replica": at,
            "took_ms": took.as_millis() as u64, "goal_ms": plan.route.goal.as_millis() as u64}),
    );
    let again = failed && plan.route.may_repeat() && head.status != StatusCode::GATEWAY_TIMEOUT;
    Ok((build_answer(&head, AnswerBody::whole(body)), !again))
}

/// Passes a stream on as it arrives, in a task of its own.
pub(crate) fn start_stream(
    core: &Rc<EntryCore>,
    call: &Rc<ReceivedCall>,
    plan: &Rc<CallPlan>,
    course: CallCourse,
    head: &AnswerHead,
    open: OpenCall,
    guard: CallCount,
) -> Response<AnswerBody> {
    let (sender, receiver) = mpsc::channel(STREAM_PIECES);
    let whole = Rc::new(Cell::new(false));
    let relay = StreamRelay {
        core: Rc::clone(core),
        call: Rc::clone(call),
        plan: Rc::clone(plan),
        course,
        sender,
        whole: Rc::clone(&whole),
        guard,
        first: None,
        pause: Duration::ZERO,
        last: None,
        events: 0,
    };
    let length = if plan.route.resumable {
        None
    } else {
        head.length
    };
    tokio::task::spawn_local(relay.run(open));
    let body = StreamBody {
        pieces: receiver,
        length,
        whole,
    };
    build_answer(head, AnswerBody::Stream(body))
}

//! The way of a request: route, place or refuse, send, answer.

use crate::accounts::count;
use crate::answer::AnswerBody;
use crate::call::OpenCall;
use crate::call::SendFailure;
use crate::call::send_away;
use crate::call::send_local;
use crate::channel::AnswerHead;
use crate::core::EntryCore;
use crate::core::StopPhase;
use crate::received::ReceivedCall;
use crate::received::RequestHop;
use crate::refusal::own_answer;
use crate::relay::StreamRelay;
use http::Response;
use http::StatusCode;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::time::timeout_at;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::returned;
use zinniahatch_route::AdmissionRule;
use zinniahatch_route::AwayChoice;
use zinniahatch_route::AwayTried;
use zinniahatch_route::DesiredRoute;
use zinniahatch_route::DesiredService;
use zinniahatch_route::LocalChoice;
use zinniahatch_route::PlaceAsk;
use zinniahatch_route::RepeatKind;
use zinniahatch_route::Verdict;
use zinniahatch_route::choose_away;
use zinniahatch_route::choose_local;

/// Connections that are tried for one request at most; each may cost its connect time.
const MOST_CONNECTS: u32 = 4;
/// Pieces of a stream that wait for a caller who reads slowly.
const STREAM_PIECES: usize = 8;
/// Engine rank of the most urgent routes; 5 is what the engines take without one.
const URGENT_RANK: u8 = 3;
/// Engine rank of all other routes.
const COMMON_RANK: u8 = 5;
/// Time that a caller is told to wait where no replica can be used.
const NO_BACKEND_RETRY: Duration = Duration::from_millis(700);
/// Time that a caller is told to wait where this node does not know the desired state. A start
/// beside a running store takes under half a second; where it takes longer, the store is away.
const STARTING_RETRY: Duration = Duration::from_secs(2);
/// Time for a repeatable request before it is sent elsewhere, as a multiple of its goal.
const TRY_PART: f64 = 0.8;

/// What is fixed about a request before the first try.
#[derive(Debug)]
pub(crate) struct CallPlan {
    pub(crate) route: Rc<DesiredRoute>,
    pub(crate) service: ServiceId,
    pub(crate) spec: DesiredService,
    pub(crate) version: u64,
    /// When the final answer is due.
    pub(crate) deadline: Instant,
    /// Rank in the engine, for services that are engines.
    pub(crate) rank: Option<u8>,
    /// Whether it goes before the common requests in the engine.
    pub(crate) urgent: bool,
    /// Bound of a cold replica over all nodes, requests a second.
    pub(crate) cold_bound: f64,
    /// Replicas that this node may send the request to. One for a forwarded request: the first
    /// node counts its tries, and two nodes that both went to the route's limit would pass it.
    pub(crate) most_sends: u32,
}

impl CallPlan {
    pub(crate) fn deadline_tokio(&self) -> tokio::time::Instant {
        self.deadline.into()
    }
}

/// What happened to a request so far.
#[derive(Debug, Default)]
pub(crate) struct CallCourse {
    tried: BTreeSet<ReplicaId>,
    away: AwayTried,
    /// Replicas that it was sent to.
    pub(crate) sends: u32,
    connects: u32,
    maybe_ran: bool,
    retry_hint: Option<Duration>,
    /// The region that the last try went to.
    region: Option<RegionId>,
}

impl CallCourse {
    /// Gives the region that served, or that refused.
    pub(crate) fn served(&self, core: &EntryCore) -> RegionId {
        let own = &core.settings.region;
        self.region.clone().unwrap_or_else(|| own.clone())
    }
}

/// Counts a request as long as it lives.
#[derive(Debug)]
pub(crate) struct CallCount {
    core: Rc<EntryCore>,
}

impl CallCount {
    fn new(core: &Rc<EntryCore>) -> Self {
        core.open_calls.set(core.open_calls.get() + 1);
        Self {
            core: Rc::clone(core),
        }
    }
}

impl Drop for CallCount {
    fn drop(&mut self) {
        self.core.open_calls.set(self.core.open_calls.get() - 1);
    }
}

/// Where the next try goes.
#[derive(Debug)]
enum NextPlace {
    Local(LocalChoice),
    Away(AwayChoice),
    Refuse(ResultCode, Duration),
}

/// Serves a request.
pub(crate) async fn serve(core: &Rc<EntryCore>, call: ReceivedCall) -> Response<AnswerBody> {
    let plan = match plan_call(core, &call) {
        Ok(plan) => Rc::new(plan),
        Err(code) => {
            core.metrics.note_answer("", code.name());
            core.log.write(
                "unrouted",
                serde_json::json!({"request": call.attempt, "result": code.number(),
                    "version": core.version()}),
            );
            let retry = (code.status() == 503).then(|| start_retry(&call));
            return own_answer(code, Some(&call.attempt), retry);
        }
    };
    core.with_budget(&plan.service, |budget| {
        if call.is_direct() {
            budget.note_first(Instant::now());
        }
    });
    let guard = CallCount::new(core);
    let call = Rc::new(call);
    let mut course = CallCourse::default();
    let response = run_tries(core, &call, &plan, &mut course, guard).await;
    response.unwrap_or_else(|(code, retry)| refuse(core, &call, &plan, &course, code, retry))
}

/// Gives the wait before a node that has no desired state yet is asked again: about the time that
/// an outage of the store takes to pass, as far as callers heed it.
fn start_retry(call: &ReceivedCall) -> Duration {
    let left = call.time_left.unwrap_or(STARTING_RETRY * 3);
    STARTING_RETRY.min(left / 3)
}

fn refuse(
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
    count(core, call, plan, &core.settings.region, code, None);
    core.log.write(
        "refused",
        serde_json::json!({"request": call.attempt, "route": plan.route.name,
            "service": plan.service, "result": code.number(), "sends": course.sends,
            "connects": course.connects, "retry_ms": retry.map(|after| after.as_millis() as u64),
            "age_ms": call.arrived.elapsed().as_millis() as u64, "version": plan.version}),
    );
    own_answer(code, Some(&call.attempt), retry)
}

fn plan_call(core: &EntryCore, call: &ReceivedCall) -> Result<CallPlan, ResultCode> {
    if core.phase() == StopPhase::Closing {
        return Err(ResultCode::NodeLeaving);
    }
    let desired = core.desired.borrow().clone();
    let desired = desired.ok_or(ResultCode::NodeStarting)?;
    let routes = core.routes.borrow().clone();
    let route = routes
        .find(&call.host, &call.path)
        .ok_or(ResultCode::NoRoute)?;
    let service = match &call.hop {
        // A node with newer rules decides by them; one that is behind trusts the node before.
        RequestHop::Forwarded(note) if note.version > routes.version() => note.service.clone(),
        _ => route
            .target(&call.attempt)
            .map(|target| target.service.clone())
            .ok_or(ResultCode::NoBackend)?,
    };
    let spec = desired.services.get(&service).cloned();
    let spec = spec.ok_or(ResultCode::NoBackend)?;
    let timeout = route.timeout.saturating_sub(call.spent_before());
    let left = call.time_left.map_or(timeout, |left| left.min(timeout));
    let engine = spec.kv_tokens > 0;
    let urgent = engine && route.priority == 0;
    let most_sends = if call.is_direct() {
        route.max_attempts
    } else {
        1
    };
    Ok(CallPlan {
        most_sends,
        version: routes.version(),
        deadline: call.arrived + left,
        rank: engine.then_some(if urgent { URGENT_RANK } else { COMMON_RANK }),
        urgent,
        cold_bound: core.settings.cold_bound(spec.cold_rate),
        route,
        service,
        spec,
    })
}

type TryResult = Result<Response<AnswerBody>, (ResultCode, Option<Duration>)>;

async fn run_tries(
    core: &Rc<EntryCore>,
    call: &Rc<ReceivedCall>,
    plan: &Rc<CallPlan>,
    course: &mut CallCourse,
    guard: CallCount,
) -> TryResult {
    let mut spare: Option<Response<AnswerBody>> = None;
    loop {
        let place = next_place(core, call, plan, course, course.sends == 0);
        let last = call.last_event.as_deref();
        let (limit, sent) = match &place {
            NextPlace::Refuse(code, after) => {
                if let Some(answer) = spare {
                    return Ok(answer);
                }
                let hint = course.retry_hint.unwrap_or(*after);
                return Err((*code, Some(cap_retry(plan, hint))));
            }
            NextPlace::Local(choice) => {
                let limit = try_limit(plan, course, choice.expected);
                let sending = send_local(core, call, plan, choice, last);
                (limit, timeout_at(limit.into(), sending).await)
            }
            NextPlace::Away(choice) => {
                core.metrics.note_away(&plan.service, &choice.region);
                let limit = try_limit(plan, course, choice.expected);
                let sending = send_away(core, call, plan, choice, last);
                (limit, timeout_at(limit.into(), sending).await)
            }
        };
        note_tried(core, call, plan, course, &place);
        let failure = match sent {
            Ok(Ok((head, open))) => {
                course.sends += 1;
                if plan.route.repeat == RepeatKind::Streaming && head.status.is_success() {
                    return Ok(start_stream(core, call, plan, course, head, open, guard));
                }
                match finish_whole(core, call, plan, course, limit, head, open).await {
                    Ok((answer, good)) if good || !may_go_on(core, plan, course, "status") => {
                        return Ok(answer);
                    }
                    Ok((answer, _)) => {
                        course.maybe_ran = true;
                        spare = Some(answer);
                        continue;
                    }
                    Err(reason) => SendFailure::Unknown(reason),
                }
            }
            Ok(Err(failure)) => {
                if matches!(failure, SendFailure::NotRun(_) | SendFailure::Unknown(_)) {
                    course.sends += 1;
                }
                failure
            }
            Err(_) => {
                course.sends += 1;
                SendFailure::Unknown("no answer in time".into())
            }
        };
        note_failure(core, call, plan, course, &place, &failure);
        if Instant::now() >= plan.deadline {
            let code = if course.maybe_ran {
                ResultCode::DeadlineRunning
            } else {
                ResultCode::DeadlinePassed
            };
            return Err((code, None));
        }
        match failure {
            SendFailure::NotSent(_) | SendFailure::WrongReplica => {
                course.connects += 1;
                if course.connects >= MOST_CONNECTS {
                    return Err((
                        ResultCode::NoBackend,
                        Some(cap_retry(plan, NO_BACKEND_RETRY)),
                    ));
                }
            }
            SendFailure::NotRun(hint) => {
                course.retry_hint = hint.or(course.retry_hint);
                // A refusal of another node cost no replica anything.
                if let NextPlace::Away(choice) = &place {
                    course.away.regions.insert(choice.region.clone());
                    course.sends -= 1;
                    continue;
                }
                if !may_go_on(core, plan, course, "refused") {
                    let after = hint.unwrap_or(NO_BACKEND_RETRY);
                    return Err((ResultCode::BackendRefused, Some(cap_retry(plan, after))));
                }
            }
            SendFailure::Unknown(_) => {
                course.maybe_ran = true;
                if !plan.route.may_repeat() || !may_go_on(core, plan, course, "broken") {
                    if let Some(answer) = spare {
                        return Ok(answer);
                    }
                    return Err((ResultCode::OutcomeUnknown, None));
                }
            }
        }
    }
}

/// Gives the time until which one try may take.
///
/// A request that may be repeated leaves a replica that hangs while there is time for another;
/// all others wait until the end, since a second run is not allowed.
fn try_limit(plan: &CallPlan, course: &CallCourse, expected: Duration) -> Instant {
    let once_more =
        plan.route.repeat == RepeatKind::Idempotent && course.sends + 1 < plan.most_sends;
    if !once_more {
        return plan.deadline;
    }
    let part = plan.route.goal.mul_f64(TRY_PART).max(expected * 3);
    plan.deadline.min(Instant::now() + part)
}

fn note_tried(
    core: &EntryCore,
    call: &ReceivedCall,
    plan: &CallPlan,
    course: &mut CallCourse,
    place: &NextPlace,
) {
    match place {
        NextPlace::Local(choice) => {
            course.tried.insert(choice.replica.clone());
            course.region = None;
            core.log.write(
                "placed",
                serde_json::json!({"request": call.attempt, "route": plan.route.name,
                    "service": plan.service, "replica": choice.replica, "version": plan.version,
                    "expected_ms": choice.expected.as_millis() as u64,
                    "wait_ms": choice.wait.as_millis() as u64,
                    "tokens": choice.tokens, "copy_from": choice.copy_from, "cold": choice.cold, "sends": course.sends}),
            );
        }
        NextPlace::Away(choice) => {
            course.away.nodes.insert(choice.node.clone());
            course.region = Some(choice.region.clone());
            core.log.write(
                "away",
                serde_json::json!({"request": call.attempt, "route": plan.route.name,
                    "service": plan.service, "node": choice.node, "region": choice.region,
                    "expected_ms": choice.expected.as_millis() as u64,
                    "version": plan.version, "sends": course.sends}),
            );
        }
        NextPlace::Refuse(..) => {}
    }
}

fn note_failure(
    core: &EntryCore,
    call: &ReceivedCall,
    plan: &CallPlan,
    course: &CallCourse,
    place: &NextPlace,
    failure: &SendFailure,
) {
    let target = match place {
        NextPlace::Local(choice) => &choice.replica,
        NextPlace::Away(choice) => &choice.node,
        NextPlace::Refuse(..) => return,
    };
    core.log.write(
        "try-failed",
        serde_json::json!({"request": call.attempt, "service": plan.service, "at": target,
            "failure": format!("{failure:?}"), "sends": course.sends,
            "age_ms": call.arrived.elapsed().as_millis() as u64}),
    );
}

/// Tells whether a request may be sent once more, and takes it from the budget.
fn may_go_on(core: &EntryCore, plan: &CallPlan, course: &CallCourse, reason: &'static str) -> bool {
    if course.sends >= plan.most_sends {
        return false;
    }
    let granted = core.with_budget(&plan.service, |budget| budget.take(Instant::now()));
    if granted {
        core.metrics.note_repeat(&plan.service, reason);
    }
    granted
}

fn cap_retry(plan: &CallPlan, after: Duration) -> Duration {
    let left = plan.deadline.saturating_duration_since(Instant::now());
    after.min(left / 3)
}

/// Chooses where the next try goes, or that there is none.
fn next_place(
    core: &EntryCore,
    call: &ReceivedCall,
    plan: &CallPlan,
    course: &CallCourse,
    judged: bool,
) -> NextPlace {
    let now = Instant::now();
    let preset = core.preset.borrow().clone();
    let rule = AdmissionRule {
        goal: plan.route.goal,
        spent: now.saturating_duration_since(call.arrived) + call.spent_before(),
        left: plan.deadline.saturating_duration_since(call.arrived) + call.spent_before(),
        favour: if plan.urgent {
            preset.urgent_favour
        } else {
            1.0
        },
        goal_margin: preset.goal_margin,
        least_wait: preset.least_wait,
    };
    let peers = core.members.borrow().names_in(&core.settings.region);
    let ask = PlaceAsk {
        service: &plan.service,
        region: &core.settings.region,
        size: &call.size,
        urgent: plan.urgent,
        tried: &course.tried,
        deadline: plan.deadline.saturating_duration_since(now),
        copy_token: plan.spec.copy_token,
        cold_bound: plan.cold_bound,
        node: &core.settings.name,
        peers: &peers,
    };
    let local = if plan.route.allows(&core.settings.region) {
        let replicas = core.replicas.borrow();
        let gate = core.gate.borrow();
        choose_local(&replicas, &gate, &core.settings.regions, &ask, now)
    } else {
        None
    };
    let verdict = local
        .as_ref()
        .map(|choice| rule.judge(choice.expected, choice.wait));
    let late = local
        .as_ref()
        .is_some_and(|choice| choice.expected + rule.spent > plan.route.goal);
    let admitted = !judged || verdict == Some(Verdict::Admit);
    if let Some(choice) = &local
        && admitted
        && !late
    {
        return NextPlace::Local(choice.clone());
    }
    let mut slow_away = None;
    if call.is_direct()
        && let Some(away) = find_away(core, plan, course, &ask, now)
    {
        let better = local.as_ref().is_none_or(|choice| {
            !admitted || away.expected < choice.expected.mul_f64(preset.away_gain)
        });
        match rule.judge(away.expected, away.wait) {
            Verdict::Admit if better => return NextPlace::Away(away),
            Verdict::Admit => {}
            Verdict::Refuse(after) => slow_away = Some(after),
        }
    }
    match (local, verdict) {
        (Some(choice), _) if admitted => NextPlace::Local(choice),
        (_, Some(Verdict::Refuse(after))) => NextPlace::Refuse(ResultCode::WaitTooLong, after),
        _ if slow_away.is_some() => {
            NextPlace::Refuse(ResultCode::WaitTooLong, slow_away.unwrap_or_default())
        }
        _ => NextPlace::Refuse(ResultCode::NoBackend, NO_BACKEND_RETRY),
    }
}

fn find_away(
    core: &EntryCore,
    plan: &CallPlan,
    course: &CallCourse,
    ask: &PlaceAsk<'_>,
    now: Instant,
) -> Option<AwayChoice> {
    let members = core.members.borrow();
    let replicas = core.replicas.borrow();
    choose_away(
        &members,
        &replicas,
        ask,
        &plan.route.homes,
        &course.away,
        core.ticket(),
        now,
    )
}

fn build_answer(head: &AnswerHead, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = returned(&head.headers);
    response
}

/// Reads the whole answer before any of it goes to the caller, so that one that breaks off can be
/// replaced; says whether it is good.
async fn finish_whole(
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
            return Err(error.to_string().into());
        }
        Err(_) => return Err("no whole answer in time".into()),
    };
    let failed = head.status.is_server_error();
    let at = open.replica().cloned();
    open.finish(!failed);
    let took = call.arrived.elapsed();
    core.metrics.note_first_event(&plan.service, took);
    let result = if failed {
        ResultCode::BackendError
    } else {
        ResultCode::Answered
    };
    core.metrics.note_answer(&plan.service, result.name());
    count(core, call, plan, &course.served(core), result, Some(took));
    core.log.write(
        "answered",
        serde_json::json!({"request": call.attempt, "status": head.status.as_u16(),
            "replica": at, "took_ms": took.as_millis() as u64}),
    );
    let again = failed && plan.route.may_repeat() && head.status != StatusCode::GATEWAY_TIMEOUT;
    Ok((build_answer(&head, AnswerBody::whole(body)), !again))
}

fn start_stream(
    core: &Rc<EntryCore>,
    call: &Rc<ReceivedCall>,
    plan: &Rc<CallPlan>,
    course: &mut CallCourse,
    head: AnswerHead,
    open: OpenCall,
    guard: CallCount,
) -> Response<AnswerBody> {
    let (sender, receiver) = mpsc::channel(STREAM_PIECES);
    let relay = StreamRelay {
        core: Rc::clone(core),
        call: Rc::clone(call),
        plan: Rc::clone(plan),
        course: std::mem::take(course),
        sender,
        guard,
        first: None,
        pause: Duration::ZERO,
        last: None,
    };
    let length = if plan.route.resumable {
        None
    } else {
        head.length
    };
    tokio::task::spawn_local(relay.run(open));
    build_answer(&head, AnswerBody::Stream(receiver, length))
}

/// Goes on with a broken stream at another replica, after the last event that the caller has.
pub(crate) async fn resume(
    core: &Rc<EntryCore>,
    call: &ReceivedCall,
    plan: &CallPlan,
    course: &mut CallCourse,
    last_event: Option<&str>,
    reason: &str,
) -> Option<OpenCall> {
    loop {
        if Instant::now() >= plan.deadline || course.connects >= MOST_CONNECTS {
            return None;
        }
        let place = next_place(core, call, plan, course, false);
        if matches!(place, NextPlace::Refuse(..)) || !may_go_on(core, plan, course, "resumed") {
            return None;
        }
        core.log.write(
            "resume",
            serde_json::json!({"request": call.attempt, "after_event": last_event,
                "reason": reason, "sends": course.sends}),
        );
        let limit = plan.deadline_tokio();
        let sent = match &place {
            NextPlace::Local(choice) => {
                timeout_at(limit, send_local(core, call, plan, choice, last_event)).await
            }
            NextPlace::Away(choice) => {
                timeout_at(limit, send_away(core, call, plan, choice, last_event)).await
            }
            NextPlace::Refuse(..) => return None,
        };
        note_tried(core, call, plan, course, &place);
        match sent {
            Ok(Ok((head, open))) if head.status.is_success() => {
                course.sends += 1;
                return Some(open);
            }
            Ok(Err(failure)) => {
                note_failure(core, call, plan, course, &place, &failure);
                course.connects += 1;
                if matches!(failure, SendFailure::Unknown(_)) {
                    course.sends += 1;
                }
            }
            _ => return None,
        }
    }
}

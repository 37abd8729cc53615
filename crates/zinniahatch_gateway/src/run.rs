//! Running a request: attempts, retries and hedges until an answer begins.

use crate::GatewayCore;
use crate::answer::KeptAnswer;
use crate::answer::TokenUsage;
use crate::dispatch::RunCall;
use crate::dispatch::SendFailure;
use crate::dispatch::send_away;
use crate::dispatch::send_replica;
use crate::headers;
use crate::placing::CallPlace;
use crate::placing::SlotGuard;
use crate::placing::find_now;
use crate::placing::find_place;
use crate::refusal::CallRefusal;
use bytes::Bytes;
use bytes::BytesMut;
use reqwest::Response;
use std::sync::Arc;
use tokio::time::Instant as TokioInstant;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio::time::timeout_at;
use zinniahatch_base::prelude::*;
use zinniahatch_control::BackendStatus;
use zinniahatch_control::PlacementScope;

/// Attempts for one request, the first included.
const MOST_ATTEMPTS: u32 = 6;
/// Bytes of an answer that is passed on whole.
const ANSWER_LIMIT: usize = 32 << 20;

/// Where an answer comes from; the slot is held until this is dropped.
pub(crate) enum AnswerSource {
    /// A backend server of this data centre: its slot, its address, the id it knows.
    Slot(SlotGuard, Box<str>, Box<str>),
    /// A node of another data centre.
    Away(DataCentreId),
}

/// An answer that has begun.
pub(crate) struct OpenAnswer {
    pub(crate) response: Response,
    pub(crate) source: AnswerSource,
}

/// What an attempt learns for the next one.
#[derive(Default)]
pub(crate) struct AttemptState {
    pub(crate) avoid: BTreeSet<ShortTag>,
    pub(crate) avoid_centres: BTreeSet<DataCentreId>,
    attempts: u32,
}

/// Gets an answer to begin, within the deadline.
pub(crate) async fn open_answer(
    core: &Arc<GatewayCore>,
    call: &RunCall,
    state: &mut AttemptState,
    resume: u64,
) -> Result<OpenAnswer, Box<CallRefusal>> {
    let deadline = TokioInstant::from_std(call.deadline);
    match timeout_at(deadline, try_open(core, call, state, resume)).await {
        Ok(Err(mut refusal))
            if refusal.code.execution() == Execution::NotRun && call.was_sent() =>
        {
            // An attempt before this refusal may have run.
            refusal.code = ResultCode::OutcomeUnknown;
            Err(refusal)
        }
        Ok(result) => result,
        Err(_) if call.was_sent() => Err(Box::new(CallRefusal::new(ResultCode::DeadlineRunning))),
        Err(_) => Err(Box::new(CallRefusal::new(ResultCode::DeadlinePassed))),
    }
}

/// Runs a plain service's request and reads its whole answer.
pub(crate) async fn run_plain(
    core: &Arc<GatewayCore>,
    call: &RunCall,
) -> Result<KeptAnswer, Box<CallRefusal>> {
    let mut state = AttemptState::default();
    let started = Instant::now();
    loop {
        let open = open_answer(core, call, &mut state, 0).await?;
        let first_byte = started.elapsed();
        let deadline = TokioInstant::from_std(call.deadline);
        let served = served_region(core, &open.response);
        let status = open.response.status().as_u16();
        let headers = kept_headers(&open.response);
        let body = match timeout_at(deadline, read_whole(core, call, open.response)).await {
            Ok(Ok(body)) => body,
            Ok(Err(reason)) => {
                // The answer began, so the request ran; only a repeatable one is sent again.
                if call.once {
                    return Err(Box::new(CallRefusal::new(ResultCode::OutcomeUnknown)));
                }
                avoid_source(&mut state, &open.source);
                drop(open.source);
                spend_retry(core, call, &mut state, reason, ResultCode::AnswerCutOff)?;
                continue;
            }
            Err(_) => return Err(Box::new(CallRefusal::new(ResultCode::DeadlineRunning))),
        };
        let code = if status >= 500 {
            ResultCode::BackendError
        } else {
            ResultCode::Answered
        };
        return Ok(KeptAnswer {
            request: call.id.clone(),
            status,
            headers,
            body,
            code,
            revision: call.config.revision,
            served,
            usage: TokenUsage::default(),
            first_byte,
        });
    }
}

/// Gives the region that served an answer.
pub(crate) fn served_region(core: &GatewayCore, response: &Response) -> RegionId {
    headers::text(response.headers(), headers::REGION)
        .map_or_else(|| core.identity.region.clone(), Box::from)
}

/// Notes that the source of a broken answer shall not be tried again.
pub(crate) fn avoid_source(state: &mut AttemptState, source: &AnswerSource) {
    match source {
        AnswerSource::Slot(guard, _, _) => {
            state.avoid.insert(tag_of(guard.replica()));
        }
        AnswerSource::Away(data_centre) => {
            state.avoid_centres.insert(data_centre.clone());
        }
    }
}

/// Takes a retry from the budget, or gives the refusal that ends the request.
pub(crate) fn spend_retry(
    core: &GatewayCore,
    call: &RunCall,
    state: &mut AttemptState,
    reason: &str,
    otherwise: ResultCode,
) -> Result<(), Box<CallRefusal>> {
    state.attempts += 1;
    let allowed = state.attempts < MOST_ATTEMPTS
        && Instant::now() < call.deadline
        && core.retry_budget().spend();
    if allowed {
        core.counters.retries.with_label_values(&[reason]).inc();
        return Ok(());
    }
    core.counters
        .retries_denied
        .with_label_values(&[reason])
        .inc();
    Err(Box::new(CallRefusal::retry_after(
        otherwise,
        Duration::from_secs(1),
    )))
}

/// Sends a cancel without waiting for its answer.
pub(crate) fn cancel(core: &Arc<GatewayCore>, address: &str, id: &str, reason: &str) {
    core.counters.cancels.with_label_values(&[reason]).inc();
    let engine = core.engine.clone();
    let (address, id) = (address.to_owned(), id.to_owned());
    tokio::spawn(async move {
        let _ = zinniahatch_platform::EngineClient::cancel(&engine, &address, &id).await;
    });
}

async fn try_open(
    core: &Arc<GatewayCore>,
    call: &RunCall,
    state: &mut AttemptState,
    resume: u64,
) -> Result<OpenAnswer, Box<CallRefusal>> {
    core.retry_budget().earn(call.config.preset().retry_budget);
    loop {
        let ask = call.ask(core, &state.avoid, &state.avoid_centres);
        match find_place(core, ask).await? {
            CallPlace::Slot(guard) => {
                if let Some(open) = try_slot(core, call, state, guard, resume).await? {
                    return Ok(open);
                }
            }
            CallPlace::Away(data_centre, entries) => {
                if let Some(open) =
                    try_away(core, call, state, &data_centre, &entries, resume).await?
                {
                    return Ok(open);
                }
            }
        }
    }
}

/// Tries a slot; `None` means that another place may be tried.
async fn try_slot(
    core: &Arc<GatewayCore>,
    call: &RunCall,
    state: &mut AttemptState,
    mut guard: SlotGuard,
    resume: u64,
) -> Result<Option<OpenAnswer>, Box<CallRefusal>> {
    let tag = tag_of(guard.replica());
    let Some(address) = call
        .config
        .backends
        .get(guard.replica())
        .map(|backend| backend.address.clone())
    else {
        state.avoid.insert(tag);
        return Ok(None);
    };
    let id = attempt_id(call, state);
    let failure = match send_hedged(core, call, state, &address, &id, resume).await {
        HedgedEnd::Second(open) => return Ok(Some(open)),
        HedgedEnd::First(Ok(response)) => {
            let source = AnswerSource::Slot(guard, address, id.into());
            return Ok(Some(OpenAnswer { response, source }));
        }
        HedgedEnd::First(Err(failure)) => failure,
    };
    state.avoid.insert(tag);
    let now = Instant::now();
    let (reason, otherwise) = match failure {
        SendFailure::NotSent => {
            core.control()
                .backends_mut()
                .set_status(now, tag, BackendStatus::Unreached);
            guard.mark_refused();
            ("unreached", ResultCode::NoBackend)
        }
        SendFailure::Refused { leaving } => {
            let mark = if leaving {
                BackendStatus::Leaving
            } else {
                BackendStatus::Unreached
            };
            core.control().backends_mut().set_status(now, tag, mark);
            guard.mark_refused();
            (
                if leaving { "leaving" } else { "refused" },
                ResultCode::BackendRefused,
            )
        }
        SendFailure::Broken => {
            core.control()
                .backends_mut()
                .set_status(now, tag, BackendStatus::Unreached);
            if call.once {
                return Err(Box::new(CallRefusal::new(ResultCode::OutcomeUnknown)));
            }
            ("broken", ResultCode::OutcomeUnknown)
        }
    };
    drop(guard);
    spend_retry(core, call, state, reason, otherwise)?;
    Ok(None)
}

/// Which of two sends ended the race.
enum HedgedEnd {
    First(Result<Response, SendFailure>),
    Second(OpenAnswer),
}

/// Sends to a slot, and to a second one when the first does not answer in time.
async fn send_hedged(
    core: &Arc<GatewayCore>,
    call: &RunCall,
    state: &AttemptState,
    address: &str,
    id: &str,
    resume: u64,
) -> HedgedEnd {
    let preset = call.config.preset();
    let first = send_replica(core, call, address, id, resume);
    if call.once || preset.hedge_after.is_zero() || preset.hedge_budget <= 0.0 {
        return HedgedEnd::First(first.await);
    }
    core.hedge_budget().earn(preset.hedge_budget);
    tokio::pin!(first);
    tokio::select! {
        result = &mut first => return HedgedEnd::First(result),
        () = sleep(preset.hedge_after) => {}
    }
    let Some((guard, second_address)) = hedge_slot(core, call, state, address) else {
        return HedgedEnd::First(first.await);
    };
    let second_id = format!("{id}-h");
    let second = send_replica(core, call, &second_address, &second_id, resume);
    tokio::pin!(second);
    tokio::select! {
        result = &mut first => {
            core.counters.hedges.with_label_values(&["lost"]).inc();
            cancel(core, &second_address, &second_id, "hedge");
            HedgedEnd::First(result)
        }
        result = &mut second => {
            let Ok(response) = result else {
                core.counters.hedges.with_label_values(&["failed"]).inc();
                return HedgedEnd::First(first.await);
            };
            core.counters.hedges.with_label_values(&["won"]).inc();
            cancel(core, address, id, "hedge");
            let source = AnswerSource::Slot(guard, second_address.clone(), second_id.as_str().into());
            HedgedEnd::Second(OpenAnswer { response, source })
        }
    }
}

fn hedge_slot(
    core: &Arc<GatewayCore>,
    call: &RunCall,
    state: &AttemptState,
    first: &str,
) -> Option<(SlotGuard, Box<str>)> {
    let mut avoid = state.avoid.clone();
    for (name, backend) in &call.config.backends {
        if &*backend.address == first {
            avoid.insert(tag_of(name));
        }
    }
    let mut ask = call.ask(core, &avoid, &state.avoid_centres);
    ask.scope = PlacementScope::Local;
    if !core.hedge_budget().spend() {
        core.counters.hedges.with_label_values(&["no budget"]).inc();
        return None;
    }
    let guard = find_now(core, &ask)?;
    let address = call.config.backends.get(guard.replica())?.address.clone();
    Some((guard, address))
}

/// Tries the nodes of another data centre; `None` means that another place may be tried.
async fn try_away(
    core: &Arc<GatewayCore>,
    call: &RunCall,
    state: &mut AttemptState,
    data_centre: &DataCentreId,
    entries: &[zinniahatch_protocol::EntryAddress],
    resume: u64,
) -> Result<Option<OpenAnswer>, Box<CallRefusal>> {
    for entry in entries {
        match send_away(core, call, entry, resume).await {
            Ok(response) => {
                core.counters.away.with_label_values(&["taken"]).inc();
                return Ok(Some(OpenAnswer {
                    response,
                    source: AnswerSource::Away(data_centre.clone()),
                }));
            }
            Err(SendFailure::NotSent) => core.counters.away.with_label_values(&["unreached"]).inc(),
            Err(SendFailure::Refused { .. }) => {
                core.counters.away.with_label_values(&["refused"]).inc();
                break;
            }
            Err(SendFailure::Broken) => {
                core.counters.away.with_label_values(&["broken"]).inc();
                if call.once {
                    return Err(Box::new(CallRefusal::new(ResultCode::OutcomeUnknown)));
                }
                break;
            }
        }
    }
    state.avoid_centres.insert(data_centre.clone());
    core.control()
        .record_remote_refusal(Instant::now(), data_centre, &call.service_name);
    Ok(None)
}

/// Reads a whole answer; a repeatable one that stays silent for too long counts as broken.
async fn read_whole(
    core: &GatewayCore,
    call: &RunCall,
    mut response: Response,
) -> Result<Bytes, &'static str> {
    let stall = call.config.preset().stall_after;
    let mut body = BytesMut::new();
    loop {
        let next = if call.once {
            Ok(response.chunk().await)
        } else {
            timeout(stall, response.chunk()).await
        };
        match next {
            Ok(Ok(Some(chunk))) => body.extend_from_slice(&chunk),
            Ok(Ok(None)) => return Ok(body.freeze()),
            Ok(Err(_)) => return Err("cut off"),
            Err(_) => {
                core.counters.resumes.with_label_values(&["silent"]).inc();
                return Err("silent");
            }
        }
        if body.len() > ANSWER_LIMIT {
            return Err("too large");
        }
    }
}

fn kept_headers(response: &Response) -> Vec<(Box<str>, Box<str>)> {
    response
        .headers()
        .iter()
        .filter(|(name, _)| headers::passes_answer(name))
        .filter_map(|(name, value)| Some((name.as_str().into(), value.to_str().ok()?.into())))
        .collect()
}

/// Gives the id under which a backend server knows an attempt.
fn attempt_id(call: &RunCall, state: &AttemptState) -> String {
    if state.attempts == 0 {
        return call.id.to_string();
    }
    format!("{}-r{}", call.id, state.attempts)
}

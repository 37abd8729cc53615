//! Runs requests: attempts, retries and hedges until a response begins.

use crate::GatewayCore;
use crate::dispatch::OutboundRequest;
use crate::dispatch::SendFailure;
use crate::dispatch::send_remote;
use crate::dispatch::send_replica;
use crate::framing::is_framed;
use crate::headers;
use crate::placement::Assignment;
use crate::placement::SlotGuard;
use crate::placement::try_assign_now;
use crate::placement::wait_for_assignment;
use crate::refusal::Refusal;
use crate::response::CachedResponse;
use crate::response::TokenUsage;
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

/// Maximum number of attempts for one request, the first included.
const MAX_ATTEMPTS: u32 = 6;
/// Maximum size in bytes of a response that is buffered completely.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// Source of a response; the slot is held until this is dropped.
pub(crate) enum ResponseSource {
    /// A backend server of this data centre: its slot, its address and its id of the attempt.
    Slot(SlotGuard, Box<str>, Box<str>),
    /// A node of another data centre.
    Remote(DataCentreId),
}

/// A response that has begun.
pub(crate) struct OpenResponse {
    pub(crate) response: Response,
    pub(crate) source: ResponseSource,
}

/// Outcome of the earlier attempts, as far as it affects the next one.
#[derive(Default)]
pub(crate) struct AttemptState {
    pub(crate) avoid: BTreeSet<ShortTag>,
    pub(crate) avoid_data_centres: BTreeSet<DataCentreId>,
    attempts: u32,
}

/// Runs attempts until a response begins, within the deadline.
pub(crate) async fn open_response(
    core: &Arc<GatewayCore>,
    outbound: &OutboundRequest,
    state: &mut AttemptState,
    resume: u64,
) -> Result<OpenResponse, Box<Refusal>> {
    let deadline = TokioInstant::from_std(outbound.deadline);
    match timeout_at(deadline, try_open(core, outbound, state, resume)).await {
        Ok(Err(mut refusal))
            if refusal.code.execution() == Execution::NotRun && outbound.was_sent() =>
        {
            // An earlier attempt may have run.
            refusal.code = ResultCode::OutcomeUnknown;
            Err(refusal)
        }
        Ok(result) => result,
        Err(_) if outbound.was_sent() => Err(Box::new(Refusal::new(ResultCode::DeadlineRunning))),
        Err(_) => Err(Box::new(Refusal::new(ResultCode::DeadlinePassed))),
    }
}

/// Runs a request of a plain service and reads its complete response.
pub(crate) async fn run_plain(
    core: &Arc<GatewayCore>,
    outbound: &OutboundRequest,
) -> Result<CachedResponse, Box<Refusal>> {
    let mut state = AttemptState::default();
    let started = Instant::now();
    loop {
        let open = open_response(core, outbound, &mut state, 0).await?;
        let first_byte = started.elapsed();
        let deadline = TokioInstant::from_std(outbound.deadline);
        let served = served_region(core, &open.response);
        let status = open.response.status().as_u16();
        let headers = response_headers(&open.response);
        let body = match timeout_at(deadline, read_complete(core, outbound, open.response)).await {
            Ok(Ok(body)) => body,
            Ok(Err(reason)) => {
                // The response has begun, so the request ran; only a repeatable request is sent
                // again.
                if outbound.at_most_once {
                    return Err(Box::new(Refusal::new(ResultCode::OutcomeUnknown)));
                }
                avoid_source(&mut state, &open.source);
                drop(open.source);
                take_retry(core, outbound, &mut state, reason, ResultCode::AnswerCutOff)?;
                continue;
            }
            Err(_) => return Err(Box::new(Refusal::new(ResultCode::DeadlineRunning))),
        };
        let code = if status >= 500 {
            ResultCode::BackendError
        } else {
            ResultCode::Answered
        };
        return Ok(CachedResponse {
            request: outbound.id.clone(),
            status,
            headers,
            body,
            code,
            revision: outbound.config.revision,
            served,
            usage: TokenUsage::default(),
            first_byte,
        });
    }
}

/// Returns the region that served a response.
pub(crate) fn served_region(core: &GatewayCore, response: &Response) -> RegionId {
    headers::text(response.headers(), headers::REGION)
        .map_or_else(|| core.identity.region.clone(), Box::from)
}

/// Excludes the source of a failed response from further attempts.
pub(crate) fn avoid_source(state: &mut AttemptState, source: &ResponseSource) -> AvoidedSource {
    match source {
        ResponseSource::Slot(guard, _, _) => {
            let tag = tag_of(guard.replica());
            state.avoid.insert(tag);
            AvoidedSource::Replica(tag)
        }
        ResponseSource::Remote(data_centre) => {
            state.avoid_data_centres.insert(data_centre.clone());
            AvoidedSource::DataCentre(data_centre.clone())
        }
    }
}

/// A source that was excluded from further attempts.
pub(crate) enum AvoidedSource {
    Replica(ShortTag),
    DataCentre(DataCentreId),
}

impl AvoidedSource {
    /// Allows it again.
    pub(crate) fn allow(&self, state: &mut AttemptState) {
        match self {
            Self::Replica(tag) => state.avoid.remove(tag),
            Self::DataCentre(data_centre) => state.avoid_data_centres.remove(data_centre),
        };
    }
}

/// Takes a retry from the budget, or returns the refusal that ends the request.
pub(crate) fn take_retry(
    core: &GatewayCore,
    outbound: &OutboundRequest,
    state: &mut AttemptState,
    reason: &str,
    exhausted_code: ResultCode,
) -> Result<(), Box<Refusal>> {
    state.attempts += 1;
    let allowed = state.attempts < MAX_ATTEMPTS
        && Instant::now() < outbound.deadline
        && core.retry_budget().spend();
    if allowed {
        core.counters.retries.with_label_values(&[reason]).inc();
        return Ok(());
    }
    core.counters
        .retries_denied
        .with_label_values(&[reason])
        .inc();
    Err(Box::new(Refusal::retry_after(
        exhausted_code,
        Duration::from_secs(1),
    )))
}

/// Sends a cancellation without waiting for the reply.
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
    outbound: &OutboundRequest,
    state: &mut AttemptState,
    resume: u64,
) -> Result<OpenResponse, Box<Refusal>> {
    core.retry_budget()
        .earn(outbound.config.preset().retry_budget);
    loop {
        let query = outbound.placement_query(core, &state.avoid, &state.avoid_data_centres);
        match wait_for_assignment(core, query).await? {
            Assignment::Slot(guard) => {
                if let Some(open) = try_slot(core, outbound, state, guard, resume).await? {
                    return Ok(open);
                }
            }
            Assignment::Remote(data_centre, entries) => {
                if let Some(open) =
                    try_remote(core, outbound, state, &data_centre, &entries, resume).await?
                {
                    return Ok(open);
                }
            }
        }
    }
}

/// Tries a slot; returns `None` if another placement may be tried.
async fn try_slot(
    core: &Arc<GatewayCore>,
    outbound: &OutboundRequest,
    state: &mut AttemptState,
    mut guard: SlotGuard,
    resume: u64,
) -> Result<Option<OpenResponse>, Box<Refusal>> {
    let tag = tag_of(guard.replica());
    let Some(address) = outbound
        .config
        .backends
        .get(guard.replica())
        .map(|backend| backend.address.clone())
    else {
        state.avoid.insert(tag);
        return Ok(None);
    };
    let id = attempt_id(outbound, state);
    let failure = match send_hedged(core, outbound, state, &address, &id, resume).await {
        HedgeResult::Second(open) => return Ok(Some(open)),
        HedgeResult::First(Ok(response)) => {
            let source = ResponseSource::Slot(guard, address, id.into());
            return Ok(Some(OpenResponse { response, source }));
        }
        HedgeResult::First(Err(failure)) => failure,
    };
    state.avoid.insert(tag);
    let now = Instant::now();
    let (reason, exhausted_code) = match failure {
        SendFailure::NotSent => {
            core.control()
                .backends_mut()
                .set_status(now, tag, BackendStatus::Unreached);
            guard.mark_refused();
            ("unreached", ResultCode::NoBackend)
        }
        SendFailure::Refused { leaving } => {
            let backend_status = if leaving {
                BackendStatus::Leaving
            } else {
                BackendStatus::Unreached
            };
            core.control()
                .backends_mut()
                .set_status(now, tag, backend_status);
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
            if outbound.at_most_once {
                return Err(Box::new(Refusal::new(ResultCode::OutcomeUnknown)));
            }
            ("broken", ResultCode::OutcomeUnknown)
        }
    };
    drop(guard);
    take_retry(core, outbound, state, reason, exhausted_code)?;
    Ok(None)
}

/// Result of a hedged send: which of the two sends completed first.
enum HedgeResult {
    First(Result<Response, SendFailure>),
    Second(OpenResponse),
}

/// Sends to a slot, and hedges to a second one if the first does not respond in time.
async fn send_hedged(
    core: &Arc<GatewayCore>,
    outbound: &OutboundRequest,
    state: &AttemptState,
    address: &str,
    id: &str,
    resume: u64,
) -> HedgeResult {
    let preset = outbound.config.preset();
    let first = send_replica(core, outbound, address, id, resume);
    if outbound.at_most_once || preset.hedge_after.is_zero() || preset.hedge_budget <= 0.0 {
        return HedgeResult::First(first.await);
    }
    core.hedge_budget().earn(preset.hedge_budget);
    tokio::pin!(first);
    tokio::select! {
        result = &mut first => return HedgeResult::First(result),
        () = sleep(preset.hedge_after) => {}
    }
    let Some((guard, second_address)) = assign_hedge(core, outbound, state, address) else {
        return HedgeResult::First(first.await);
    };
    let second_id = format!("{id}-h");
    let second = send_replica(core, outbound, &second_address, &second_id, resume);
    tokio::pin!(second);
    tokio::select! {
        result = &mut first => {
            core.counters.hedges.with_label_values(&["lost"]).inc();
            cancel(core, &second_address, &second_id, "hedge");
            HedgeResult::First(result)
        }
        result = &mut second => {
            let Ok(response) = result else {
                core.counters.hedges.with_label_values(&["failed"]).inc();
                return HedgeResult::First(first.await);
            };
            core.counters.hedges.with_label_values(&["won"]).inc();
            cancel(core, address, id, "hedge");
            let source = ResponseSource::Slot(guard, second_address.clone(), second_id.as_str().into());
            HedgeResult::Second(OpenResponse { response, source })
        }
    }
}

fn assign_hedge(
    core: &Arc<GatewayCore>,
    outbound: &OutboundRequest,
    state: &AttemptState,
    first: &str,
) -> Option<(SlotGuard, Box<str>)> {
    let mut avoid = state.avoid.clone();
    for (name, backend) in &outbound.config.backends {
        if &*backend.address == first {
            avoid.insert(tag_of(name));
        }
    }
    let mut query = outbound.placement_query(core, &avoid, &state.avoid_data_centres);
    query.scope = PlacementScope::Local;
    if !core.hedge_budget().spend() {
        core.counters.hedges.with_label_values(&["no budget"]).inc();
        return None;
    }
    let guard = try_assign_now(core, &query)?;
    let address = outbound
        .config
        .backends
        .get(guard.replica())?
        .address
        .clone();
    Some((guard, address))
}

/// Tries the nodes of another data centre; returns `None` if another placement may be tried.
async fn try_remote(
    core: &Arc<GatewayCore>,
    outbound: &OutboundRequest,
    state: &mut AttemptState,
    data_centre: &DataCentreId,
    entries: &[zinniahatch_protocol::EntryAddress],
    resume: u64,
) -> Result<Option<OpenResponse>, Box<Refusal>> {
    for entry in entries {
        match send_remote(core, outbound, entry, resume).await {
            Ok(response) => {
                core.counters.away.with_label_values(&["taken"]).inc();
                return Ok(Some(OpenResponse {
                    response,
                    source: ResponseSource::Remote(data_centre.clone()),
                }));
            }
            Err(SendFailure::NotSent) => core.counters.away.with_label_values(&["unreached"]).inc(),
            Err(SendFailure::Refused { .. }) => {
                core.counters.away.with_label_values(&["refused"]).inc();
                break;
            }
            Err(SendFailure::Broken) => {
                core.counters.away.with_label_values(&["broken"]).inc();
                if outbound.at_most_once {
                    return Err(Box::new(Refusal::new(ResultCode::OutcomeUnknown)));
                }
                break;
            }
        }
    }
    state.avoid_data_centres.insert(data_centre.clone());
    core.control()
        .record_remote_refusal(Instant::now(), data_centre, &outbound.service_name);
    Ok(None)
}

/// Reads a complete response; for a repeatable request, a stall counts as a failure.
///
/// A success without a body that nothing frames may have stopped just after its head.
async fn read_complete(
    core: &GatewayCore,
    outbound: &OutboundRequest,
    mut response: Response,
) -> Result<Bytes, &'static str> {
    let stall = outbound.config.preset().stall_after;
    let may_be_empty = is_framed(&response) || !response.status().is_success();
    let mut body = BytesMut::new();
    loop {
        let next = if outbound.at_most_once {
            Ok(response.chunk().await)
        } else {
            timeout(stall, response.chunk()).await
        };
        match next {
            Ok(Ok(Some(chunk))) => body.extend_from_slice(&chunk),
            Ok(Ok(None)) if body.is_empty() && !may_be_empty => return Err("cut off"),
            Ok(Ok(None)) => return Ok(body.freeze()),
            Ok(Err(_)) => return Err("cut off"),
            Err(_) => {
                core.counters.resumes.with_label_values(&["silent"]).inc();
                return Err("silent");
            }
        }
        if body.len() > MAX_RESPONSE_BYTES {
            return Err("too large");
        }
    }
}

fn response_headers(response: &Response) -> Vec<(Box<str>, Box<str>)> {
    response
        .headers()
        .iter()
        .filter(|(name, _)| headers::forwards_response_header(name))
        .filter_map(|(name, value)| Some((name.as_str().into(), value.to_str().ok()?.into())))
        .collect()
}

/// Returns the id under which a backend server knows an attempt.
fn attempt_id(outbound: &OutboundRequest, state: &AttemptState) -> String {
    if state.attempts == 0 {
        return outbound.id.to_string();
    }
    format!("{}-r{}", outbound.id, state.attempts)
}

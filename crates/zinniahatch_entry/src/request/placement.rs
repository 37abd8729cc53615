//! Chooses where the next try of a request goes, and sends it there.

use crate::core::EntryCore;
use crate::replicas::quarantine::check_quarantine;
use crate::request::connection::ResponseHead;
use crate::request::in_flight::InFlightRequest;
use crate::request::late_stop::refuse_late;
use crate::request::plan::RequestPlan;
use crate::request::plan::RequestProgress;
use crate::request::plan::ServingPlace;
use crate::request::received::ReceivedRequest;
use crate::request::send::ResumePoint;
use crate::request::send::SendFailure;
use crate::request::send::forward;
use crate::request::send::send_local;
use std::rc::Rc;
use zinniahatch_base::prelude::*;
use zinniahatch_route::Admission;
use zinniahatch_route::AdmissionRule;
use zinniahatch_route::EarliestRetry;
use zinniahatch_route::LocalPlacement;
use zinniahatch_route::MemberStage;
use zinniahatch_route::PlacementQuery;
use zinniahatch_route::RemotePlacement;
use zinniahatch_route::SendRefusal;
use zinniahatch_route::ServingPreset;
use zinniahatch_route::StreamOrigin;
use zinniahatch_route::all_leaving;
use zinniahatch_route::choose_local;
use zinniahatch_route::choose_remote;
use zinniahatch_route::earliest_retry;
use zinniahatch_route::remote_share;

/// Time for which a place for a broken stream is not looked for at nodes that are about to end.
const CLOSING_PATIENCE: Duration = Duration::from_secs(1);
/// Retry time given to callers when no replica is usable.
pub(crate) const NO_BACKEND_RETRY: Duration = Duration::from_millis(700);

/// Where the next try goes.
#[derive(Debug)]
pub(crate) enum Placement {
    /// To a replica of this region.
    Local(LocalPlacement),
    /// To a node of another region.
    Remote(RemotePlacement),
    /// Nowhere. Carries the result code and the retry time.
    Refuse(ResultCode, Duration),
}

impl Placement {
    /// Returns the expected time to the first event.
    pub(crate) fn expected(&self) -> Duration {
        match self {
            Self::Local(choice) => choice.expected,
            Self::Remote(choice) => choice.expected,
            Self::Refuse(..) => Duration::ZERO,
        }
    }
}

/// Chooses where the next try goes, or refuses the request.
///
/// `check_admission` applies admission control to the placement in this region. Placements in other
/// regions are always subject to it, unless the request is the rest of a broken stream.
pub(crate) fn choose_placement(
    core: &EntryCore,
    request: &ReceivedRequest,
    plan: &RequestPlan,
    progress: &RequestProgress,
    check_admission: bool,
) -> Placement {
    let placement = weigh_placements(core, request, plan, progress, check_admission);
    let late = match &placement {
        Placement::Local(choice) => refuse_late(core, request, plan, progress.began, choice),
        Placement::Remote(choice) => refuse_late(core, request, plan, progress.began, choice),
        Placement::Refuse(..) => None,
    };
    late.map_or(placement, |retry| {
        Placement::Refuse(ResultCode::NodeLeaving, retry)
    })
}

fn weigh_placements(
    core: &EntryCore,
    request: &ReceivedRequest,
    plan: &RequestPlan,
    progress: &RequestProgress,
    check_admission: bool,
) -> Placement {
    if let Some(left) = check_quarantine(core, request, plan) {
        return Placement::Refuse(ResultCode::RequestQuarantined, left);
    }
    let now = Instant::now();
    let preset = core.preset.borrow().clone();
    let rule = admission_rule(request, plan, &preset, now);
    let peers = core.region_peers(now);
    let query = placement_query(core, request, plan, progress, &peers, now);
    let local = if plan.allows(&core.settings.region) {
        choose_here(core, plan, progress, &query, now)
    } else {
        None
    };
    let admission = local
        .as_ref()
        .map(|choice| rule.decide(choice.expected, Duration::ZERO, choice.wait));
    let exceeds_goal = local
        .as_ref()
        .is_some_and(|choice| choice.expected + rule.elapsed > plan.route.goal);
    let admitted = !check_admission || admission == Some(Admission::Admit);
    if let Some(choice) = &local
        && admitted
        && !exceeds_goal
    {
        let faster_region = request
            .is_direct()
            .then(|| find_faster(core, plan, progress, &query, choice, preset.away_gain, now))
            .flatten()
            .filter(|remote| rule.is_in_time(remote.expected, remote.round_trip));
        return faster_region.map_or_else(|| Placement::Local(choice.clone()), Placement::Remote);
    }
    let mut slow_remote = None;
    let remote = request
        .is_direct()
        .then(|| find_remote(core, plan, progress, &query, now))
        .flatten();
    if let Some(remote) = remote.clone() {
        let better = local.as_ref().is_none_or(|choice| {
            !admitted || remote.expected < choice.expected.mul_f64(preset.away_gain)
        });
        let decision = if progress.broken_since.is_some() {
            Admission::Admit
        } else {
            decide_remote(&rule, &remote)
        };
        match decision {
            Admission::Admit if better => return Placement::Remote(remote),
            Admission::Admit => {}
            Admission::Refuse(after) => slow_remote = Some(after),
        }
    }
    if let Some(choice) = local.clone()
        && admitted
    {
        return Placement::Local(choice);
    }
    // A place for a broken stream is looked for many times; what became of it is logged once.
    if progress.broken_since.is_none() {
        log_rejected_options(core, request, &rule, local.as_ref(), remote.as_ref());
    }
    match (local, admission) {
        (_, Some(Admission::Refuse(after))) => Placement::Refuse(ResultCode::WaitTooLong, after),
        _ if slow_remote.is_some() => {
            Placement::Refuse(ResultCode::WaitTooLong, slow_remote.unwrap_or_default())
        }
        _ => refuse_without_replica(core, plan, &query, now),
    }
}

/// Chooses a replica of this region.
///
/// A stream that may be taken up begins only at a version that the record in the store names, and not
/// at one that other regions may not have heard of as long as another version serves: a node there
/// would take the other one for the only one.
fn choose_here(
    core: &EntryCore,
    plan: &RequestPlan,
    progress: &RequestProgress,
    query: &PlacementQuery<'_>,
    now: Instant,
) -> Option<LocalPlacement> {
    let replicas = core.replicas.borrow();
    let limiter = core.cold_limiter.borrow();
    let regions = &core.settings.regions;
    if plan.route.resumable && progress.began.is_none() {
        let versions = core.versions.borrow();
        let (_, recorded) = versions.recorded();
        let unannounced = versions.unannounced(tag_of(&plan.service), now);
        let announced: BTreeSet<StreamOrigin> = recorded
            .iter()
            .filter(|origin| !unannounced.contains(&origin.version))
            .copied()
            .collect();
        let choose = |origins| {
            let query = PlacementQuery {
                begins_at: Some(origins),
                ..query.clone()
            };
            choose_local(&replicas, &limiter, regions, &query, now)
        };
        let choice = choose(&announced);
        if choice.is_some() || announced == *recorded {
            return choice;
        }
        return choose(recorded);
    }
    choose_local(&replicas, &limiter, regions, query, now)
}

/// Refuses a request that no replica of this region can take now, with the time until one takes
/// work again, if that is known.
fn refuse_without_replica(
    core: &EntryCore,
    plan: &RequestPlan,
    query: &PlacementQuery<'_>,
    now: Instant,
) -> Placement {
    if !plan.allows(&core.settings.region) {
        return Placement::Refuse(ResultCode::NoBackend, NO_BACKEND_RETRY);
    }
    if let Some(retry) = retry_after_unavailable(core, query, now) {
        return Placement::Refuse(unavailable_code(retry.reason), retry.after);
    }
    let leaving = all_leaving(&core.replicas.borrow(), &core.settings.regions, query);
    let code = if leaving {
        ResultCode::ReplicasLeaving
    } else {
        ResultCode::NoBackend
    };
    Placement::Refuse(code, NO_BACKEND_RETRY)
}

fn unavailable_code(reason: SendRefusal) -> ResultCode {
    match reason {
        SendRefusal::Limited => ResultCode::ReplicasLimited,
        _ => ResultCode::ReplicasResting,
    }
}

/// Returns the retry time of a request whose replicas are all in backoff or rate limited.
///
/// That is when the first of them takes work again, staggered behind the callers that were given
/// such a time before.
fn retry_after_unavailable(
    core: &EntryCore,
    query: &PlacementQuery<'_>,
    now: Instant,
) -> Option<EarliestRetry> {
    let replicas = core.replicas.borrow();
    let first = earliest_retry(&replicas, &core.settings.regions, query, now)?;
    let slot_time = replicas.model_of(query.service).slot_time();
    let nodes = query.peers.len() as u32 + 1;
    let step = slot_time * nodes / first.slots.max(1);
    let mut queues = core.retry_queues.borrow_mut();
    let queue = queues.entry(query.service.clone()).or_default();
    let after = queue.next_delay(first.after, step, now);
    Some(EarliestRetry { after, ..first })
}

/// Returns the retry time of a request that a replica refused, if all other replicas are in backoff
/// or rate limited too.
pub(crate) fn retry_after_refusal(
    core: &EntryCore,
    request: &ReceivedRequest,
    plan: &RequestPlan,
    progress: &RequestProgress,
) -> Option<Duration> {
    let now = Instant::now();
    let peers = core.region_peers(now);
    let tried = BTreeSet::new();
    let query = PlacementQuery {
        tried: &tried,
        ..placement_query(core, request, plan, progress, &peers, now)
    };
    retry_after_unavailable(core, &query, now).map(|first| first.after)
}

/// Returns the last stage of nodes that may take a request.
fn last_stage(broken_since: Option<Instant>, now: Instant) -> MemberStage {
    match broken_since {
        None => MemberStage::Ready,
        Some(at) if now.saturating_duration_since(at) < CLOSING_PATIENCE => MemberStage::PlainOnly,
        Some(_) => MemberStage::Closing,
    }
}

fn placement_query<'a>(
    core: &'a EntryCore,
    request: &'a ReceivedRequest,
    plan: &'a RequestPlan,
    progress: &'a RequestProgress,
    peers: &'a BTreeSet<NodeId>,
    now: Instant,
) -> PlacementQuery<'a> {
    PlacementQuery {
        service: &plan.service,
        region: &core.settings.region,
        size: &request.size,
        urgent: plan.urgent,
        tried: &progress.tried,
        version: progress.began.map(|began| began.version),
        begins_at: None,
        last_stage: last_stage(progress.broken_since, now),
        deadline: plan.deadline.saturating_duration_since(now),
        copy_token: plan.spec.copy_token,
        cold_bound: plan.cold_bound,
        draw: rand::random(),
        node: &core.settings.name,
        peers,
    }
}

/// Logs the options that were rejected: the best placement in this region and elsewhere, and the
/// latency target.
fn log_rejected_options(
    core: &EntryCore,
    request: &ReceivedRequest,
    rule: &AdmissionRule,
    local: Option<&LocalPlacement>,
    remote: Option<&RemotePlacement>,
) {
    let millis = |time: Duration| time.as_millis() as u64;
    core.log.write(
        "weighed",
        serde_json::json!({"request": request.attempt, "goal_ms": millis(rule.goal),
            "spent_ms": millis(rule.elapsed), "tokens_in": request.size.tokens_in,
            "here_ms": local.map(|choice| millis(choice.expected)),
            "here_wait_ms": local.map(|choice| millis(choice.wait)),
            "away": remote.map(|choice| &choice.region),
            "away_ms": remote.map(|choice| millis(choice.expected)),
            "away_wait_ms": remote.map(|choice| millis(choice.wait)),
            "trip_ms": remote.map(|choice| millis(choice.round_trip))}),
    );
}

fn decide_remote(rule: &AdmissionRule, remote: &RemotePlacement) -> Admission {
    rule.decide(remote.expected, remote.round_trip, remote.wait)
}

/// Finds a region that generates the response faster, for the share of the streams that should go
/// there.
fn find_faster(
    core: &EntryCore,
    plan: &RequestPlan,
    progress: &RequestProgress,
    query: &PlacementQuery<'_>,
    local: &LocalPlacement,
    gain: f64,
    now: Instant,
) -> Option<RemotePlacement> {
    if local.decode_time.is_zero() {
        return None;
    }
    let remote = find_remote(core, plan, progress, query, now)?;
    let share = remote_share(local.total_caller_time(), remote.total_caller_time(), gain);
    rand::random_bool(share).then_some(remote)
}

fn find_remote(
    core: &EntryCore,
    plan: &RequestPlan,
    progress: &RequestProgress,
    query: &PlacementQuery<'_>,
    now: Instant,
) -> Option<RemotePlacement> {
    let members = core.members.borrow();
    let replicas = core.replicas.borrow();
    let mut tried = progress.remote.clone();
    tried
        .regions
        .extend(core.region_paths.borrow().unreachable(now));
    if let Some(began) = progress.began {
        let versions = core.versions.borrow();
        let lacks_version = |region: &&RegionId| versions.ready_in(region, began, now) == Some(0);
        let regions = core.settings.regions.values();
        tried.regions.extend(regions.filter(lacks_version).cloned());
    }
    choose_remote(
        &members,
        &replicas,
        query,
        &plan.homes,
        &tried,
        core.next_ticket(),
        now,
    )
}

fn admission_rule(
    request: &ReceivedRequest,
    plan: &RequestPlan,
    preset: &ServingPreset,
    now: Instant,
) -> AdmissionRule {
    AdmissionRule {
        goal: plan.route.goal,
        elapsed: now.saturating_duration_since(request.arrived) + request.spent_before(),
        remaining: plan.deadline.saturating_duration_since(request.arrived)
            + request.spent_before(),
        goal_factor: if plan.urgent {
            preset.urgent_favour
        } else {
            1.0
        },
        goal_margin: preset.goal_margin,
        min_wait: preset.least_wait,
    }
}

/// Sends a request to its placement and reads the head of the response.
pub(crate) async fn send_to(
    core: &Rc<EntryCore>,
    request: &ReceivedRequest,
    plan: &RequestPlan,
    placement: &Placement,
    point: ResumePoint<'_>,
) -> Result<(ResponseHead, InFlightRequest), SendFailure> {
    match placement {
        Placement::Local(choice) => send_local(core, request, plan, choice, point).await,
        Placement::Remote(choice) => {
            core.metrics.note_remote(&plan.service, &choice.region);
            forward(core, request, plan, choice, point).await
        }
        Placement::Refuse(..) => Err(SendFailure::NotSent("the request has no placement".into())),
    }
}

fn software_version(core: &EntryCore, replica: &str) -> Option<Box<str>> {
    let replicas = core.replicas.borrow();
    replicas.get(replica)?.entry.version.clone()
}

fn reported_limit(core: &EntryCore, replica: &str) -> Option<RequestRate> {
    let replicas = core.replicas.borrow();
    let tag = replicas.get(replica)?.tag;
    replicas.limits.rate(tag)
}

/// Records and logs where a request is sent.
pub(crate) fn record_try(
    core: &EntryCore,
    request: &ReceivedRequest,
    plan: &RequestPlan,
    progress: &mut RequestProgress,
    placement: &Placement,
) {
    match placement {
        Placement::Local(choice) => {
            let limit = reported_limit(core, &choice.replica);
            progress.tried.insert(choice.replica.clone());
            progress.place = ServingPlace::Here;
            core.log.write(
                "placed",
                serde_json::json!({"request": request.attempt, "content": request.content_text(),
                    "parts": request.parts_text(), "direct": request.is_direct(), "route": plan.route.name,
                    "tokens_in": request.size.tokens_in,
                    "service": plan.service, "replica": choice.replica,
                    "software": software_version(core, &choice.replica),
                    "resumes": request.resumes, "version": plan.version,
                    "expected_ms": choice.expected.as_millis() as u64,
                    "answer_ms": choice.decode_time.as_millis() as u64,
                    "wait_ms": choice.wait.as_millis() as u64, "costs_ms": choice.cost.named_ms(),
                    "tokens": choice.tokens, "copy_from": choice.copy_from,
                    "cold": choice.cold, "limit_per_second": limit, "sends": progress.sends}),
            );
        }
        Placement::Remote(choice) => {
            progress.remote.nodes.insert(choice.node.clone());
            progress.place = ServingPlace::Remote {
                node: choice.node.clone(),
                region: choice.region.clone(),
            };
            core.log.write(
                "away",
                serde_json::json!({"request": request.attempt, "content": request.content_text(),
                    "parts": request.parts_text(), "direct": request.is_direct(), "route": plan.route.name,
                    "tokens_in": request.size.tokens_in,
                    "service": plan.service, "to": choice.node, "region": choice.region,
                    "resumes": request.resumes,
                    "expected_ms": choice.expected.as_millis() as u64,
                    "answer_ms": choice.decode_time.as_millis() as u64,
                    "version": plan.version, "sends": progress.sends}),
            );
        }
        Placement::Refuse(..) => {}
    }
}

/// Logs why a try failed.
pub(crate) fn log_failure(
    core: &EntryCore,
    request: &ReceivedRequest,
    plan: &RequestPlan,
    progress: &RequestProgress,
    placement: &Placement,
    failure: &SendFailure,
) {
    let target = match placement {
        Placement::Local(choice) => &choice.replica,
        Placement::Remote(choice) => &choice.node,
        Placement::Refuse(..) => return,
    };
    core.log.write(
        "try-failed",
        serde_json::json!({"request": request.attempt, "service": plan.service, "at": target,
            "failure": format!("{failure:?}"), "sends": progress.sends,
            "received": failure.sends_received(), "uncharged": progress.ledger.uncharged(),
            "age_ms": request.arrived.elapsed().as_millis() as u64}),
    );
}

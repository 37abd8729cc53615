//! Where the next try of a request goes, and sending it there.

use crate::core::EntryCore;
use crate::replicas::quarantine::hold_left;
use crate::request::call::SendFailure;
use crate::request::call::send_away;
use crate::request::call::send_local;
use crate::request::channel::AnswerHead;
use crate::request::open_call::OpenCall;
use crate::request::plan::CallCourse;
use crate::request::plan::CallPlan;
use crate::request::received::ReceivedCall;
use std::rc::Rc;
use zinniahatch_base::prelude::*;
use zinniahatch_route::Admission;
use zinniahatch_route::AdmissionRule;
use zinniahatch_route::EarliestReturn;
use zinniahatch_route::LocalPlacement;
use zinniahatch_route::PlacementQuery;
use zinniahatch_route::RemotePlacement;
use zinniahatch_route::SendRefusal;
use zinniahatch_route::ServingPreset;
use zinniahatch_route::all_leave;
use zinniahatch_route::choose_local;
use zinniahatch_route::choose_remote;
use zinniahatch_route::earliest_return;
use zinniahatch_route::remote_share;

/// Time that a caller is told to wait where no replica can be used.
pub(crate) const NO_BACKEND_RETRY: Duration = Duration::from_millis(700);

/// Where the next try goes.
#[derive(Debug)]
pub(crate) enum NextPlace {
    /// To a replica of this region.
    Local(LocalPlacement),
    /// To a node of another region.
    Away(RemotePlacement),
    /// Nowhere: the code, and when to come back.
    Refuse(ResultCode, Duration),
}

impl NextPlace {
    /// Gives the expected time to the first event.
    pub(crate) fn expected(&self) -> Duration {
        match self {
            Self::Local(choice) => choice.expected,
            Self::Away(choice) => choice.expected,
            Self::Refuse(..) => Duration::ZERO,
        }
    }
}

/// Chooses where the next try goes, or that there is none; `judged` asks admission first.
pub(crate) fn next_place(
    core: &EntryCore,
    call: &ReceivedCall,
    plan: &CallPlan,
    course: &CallCourse,
    judged: bool,
) -> NextPlace {
    if let Some(left) = hold_left(core, call) {
        return NextPlace::Refuse(ResultCode::RequestQuarantined, left);
    }
    let now = Instant::now();
    let preset = core.preset.borrow().clone();
    let rule = admission_rule(call, plan, &preset, now);
    let peers = core.members.borrow().names_in(&core.settings.region);
    let ask = place_ask(core, call, plan, &course.tried, &peers, now);
    let local = if plan.allows(&core.settings.region) {
        let replicas = core.replicas.borrow();
        let gate = core.gate.borrow();
        choose_local(&replicas, &gate, &core.settings.regions, &ask, now)
    } else {
        None
    };
    let verdict = local
        .as_ref()
        .map(|choice| rule.decide(choice.expected, Duration::ZERO, choice.wait));
    let late = local
        .as_ref()
        .is_some_and(|choice| choice.expected + rule.elapsed > plan.route.goal);
    let admitted = !judged || verdict == Some(Admission::Admit);
    if let Some(choice) = &local
        && admitted
        && !late
    {
        let faster = call
            .is_direct()
            .then(|| find_faster(core, plan, course, &ask, choice, preset.away_gain, now))
            .flatten()
            .filter(|away| rule.is_in_time(away.expected, away.round_trip));
        return faster.map_or_else(|| NextPlace::Local(choice.clone()), NextPlace::Away);
    }
    let mut slow_away = None;
    let away = call
        .is_direct()
        .then(|| find_away(core, plan, course, &ask, now))
        .flatten();
    if let Some(away) = away.clone() {
        let better = local.as_ref().is_none_or(|choice| {
            !admitted || away.expected < choice.expected.mul_f64(preset.away_gain)
        });
        match judge_away(&rule, &away) {
            Admission::Admit if better => return NextPlace::Away(away),
            Admission::Admit => {}
            Admission::Refuse(after) => slow_away = Some(after),
        }
    }
    if let Some(choice) = local.clone()
        && admitted
    {
        return NextPlace::Local(choice);
    }
    note_weighed(core, call, &rule, local.as_ref(), away.as_ref());
    match (local, verdict) {
        (_, Some(Admission::Refuse(after))) => NextPlace::Refuse(ResultCode::WaitTooLong, after),
        _ if slow_away.is_some() => {
            NextPlace::Refuse(ResultCode::WaitTooLong, slow_away.unwrap_or_default())
        }
        _ => refuse_unplaced(core, plan, &ask, now),
    }
}

/// Refuses what no replica here can take now: with the time after which one takes work again, where there is such a one.
fn refuse_unplaced(
    core: &EntryCore,
    plan: &CallPlan,
    ask: &PlacementQuery<'_>,
    now: Instant,
) -> NextPlace {
    if !plan.allows(&core.settings.region) {
        return NextPlace::Refuse(ResultCode::NoBackend, NO_BACKEND_RETRY);
    }
    if let Some(after) = held_for(core, ask, now) {
        return NextPlace::Refuse(held_code(after.reason), after.after);
    }
    let leaving = all_leave(&core.replicas.borrow(), &core.settings.regions, ask);
    let code = if leaving {
        ResultCode::ReplicasLeaving
    } else {
        ResultCode::NoBackend
    };
    NextPlace::Refuse(code, NO_BACKEND_RETRY)
}

fn held_code(reason: SendRefusal) -> ResultCode {
    match reason {
        SendRefusal::Limited => ResultCode::ReplicasLimited,
        _ => ResultCode::ReplicasResting,
    }
}

/// Gives when a request may come back whose replicas all rest or are limited: when the first of them takes work again,
/// behind the callers that were told so before.
fn held_for(core: &EntryCore, ask: &PlacementQuery<'_>, now: Instant) -> Option<EarliestReturn> {
    let replicas = core.replicas.borrow();
    let first = earliest_return(&replicas, &core.settings.regions, ask, now)?;
    let hold = replicas.model_of(ask.service).slot_time();
    let nodes = ask.peers.len() as u32 + 1;
    let step = hold * nodes / first.slots.max(1);
    let mut lines = core.return_lines.borrow_mut();
    let line = lines.entry(ask.service.clone()).or_default();
    let after = line.take(first.after, step, now);
    Some(EarliestReturn { after, ..first })
}

/// Gives when a request may come back that a replica turned away, where all others rest or are limited too.
pub(crate) fn turned_away_for(
    core: &EntryCore,
    call: &ReceivedCall,
    plan: &CallPlan,
) -> Option<Duration> {
    let now = Instant::now();
    let peers = core.members.borrow().names_in(&core.settings.region);
    let tried = BTreeSet::new();
    let ask = place_ask(core, call, plan, &tried, &peers, now);
    held_for(core, &ask, now).map(|first| first.after)
}

fn place_ask<'a>(
    core: &'a EntryCore,
    call: &'a ReceivedCall,
    plan: &'a CallPlan,
    tried: &'a BTreeSet<ReplicaId>,
    peers: &'a BTreeSet<NodeId>,
    now: Instant,
) -> PlacementQuery<'a> {
    PlacementQuery {
        service: &plan.service,
        region: &core.settings.region,
        size: &call.size,
        urgent: plan.urgent,
        tried,
        deadline: plan.deadline.saturating_duration_since(now),
        copy_token: plan.spec.copy_token,
        cold_bound: plan.cold_bound,
        draw: rand::random(),
        node: &core.settings.name,
        peers,
    }
}

/// Logs what a request was refused by: the best place here and elsewhere, and the goal.
fn note_weighed(
    core: &EntryCore,
    call: &ReceivedCall,
    rule: &AdmissionRule,
    here: Option<&LocalPlacement>,
    away: Option<&RemotePlacement>,
) {
    let millis = |time: Duration| time.as_millis() as u64;
    core.log.write(
        "weighed",
        serde_json::json!({"request": call.attempt, "goal_ms": millis(rule.goal),
            "spent_ms": millis(rule.elapsed), "tokens_in": call.size.tokens_in,
            "here_ms": here.map(|choice| millis(choice.expected)),
            "here_wait_ms": here.map(|choice| millis(choice.wait)),
            "away": away.map(|choice| &choice.region),
            "away_ms": away.map(|choice| millis(choice.expected)),
            "away_wait_ms": away.map(|choice| millis(choice.wait)),
            "trip_ms": away.map(|choice| millis(choice.round_trip))}),
    );
}

fn judge_away(rule: &AdmissionRule, away: &RemotePlacement) -> Admission {
    rule.decide(away.expected, away.round_trip, away.wait)
}

/// Finds a region that generates an answer faster, for the share of the streams that should go there.
fn find_faster(
    core: &EntryCore,
    plan: &CallPlan,
    course: &CallCourse,
    ask: &PlacementQuery<'_>,
    here: &LocalPlacement,
    gain: f64,
    now: Instant,
) -> Option<RemotePlacement> {
    if here.decode_time.is_zero() {
        return None;
    }
    let away = find_away(core, plan, course, ask, now)?;
    let share = remote_share(here.total_caller_time(), away.total_caller_time(), gain);
    rand::random_bool(share).then_some(away)
}

fn find_away(
    core: &EntryCore,
    plan: &CallPlan,
    course: &CallCourse,
    ask: &PlacementQuery<'_>,
    now: Instant,
) -> Option<RemotePlacement> {
    let members = core.members.borrow();
    let replicas = core.replicas.borrow();
    let mut tried = course.away.clone();
    tried.regions.extend(core.ways.borrow().broken(now));
    choose_remote(
        &members,
        &replicas,
        ask,
        &plan.homes,
        &tried,
        core.ticket(),
        now,
    )
}

fn admission_rule(
    call: &ReceivedCall,
    plan: &CallPlan,
    preset: &ServingPreset,
    now: Instant,
) -> AdmissionRule {
    AdmissionRule {
        goal: plan.route.goal,
        elapsed: now.saturating_duration_since(call.arrived) + call.spent_before(),
        remaining: plan.deadline.saturating_duration_since(call.arrived) + call.spent_before(),
        goal_factor: if plan.urgent {
            preset.urgent_favour
        } else {
            1.0
        },
        goal_margin: preset.goal_margin,
        min_wait: preset.least_wait,
    }
}

/// Sends a request to its place and reads the head of the answer.
pub(crate) async fn send_to(
    core: &Rc<EntryCore>,
    call: &ReceivedCall,
    plan: &CallPlan,
    place: &NextPlace,
    last_event: Option<&str>,
) -> Result<(AnswerHead, OpenCall), SendFailure> {
    match place {
        NextPlace::Local(choice) => send_local(core, call, plan, choice, last_event).await,
        NextPlace::Away(choice) => {
            core.metrics.note_away(&plan.service, &choice.region);
            send_away(core, call, plan, choice, last_event).await
        }
        NextPlace::Refuse(..) => Err(SendFailure::NotSent("there is no place".into())),
    }
}

fn named_limit(core: &EntryCore, replica: &str) -> Option<RequestRate> {
    let replicas = core.replicas.borrow();
    let tag = replicas.get(replica)?.tag;
    replicas.limits.rate(tag)
}

/// Notes and logs where a request is sent.
pub(crate) fn note_tried(
    core: &EntryCore,
    call: &ReceivedCall,
    plan: &CallPlan,
    course: &mut CallCourse,
    place: &NextPlace,
) {
    match place {
        NextPlace::Local(choice) => {
            let limit = named_limit(core, &choice.replica);
            course.tried.insert(choice.replica.clone());
            course.region = None;
            core.log.write(
                "placed",
                serde_json::json!({"request": call.attempt, "content": call.content_text(),
                    "direct": call.is_direct(), "route": plan.route.name, "tokens_in": call.size.tokens_in,
                    "service": plan.service, "replica": choice.replica, "version": plan.version,
                    "expected_ms": choice.expected.as_millis() as u64,
                    "answer_ms": choice.decode_time.as_millis() as u64,
                    "wait_ms": choice.wait.as_millis() as u64, "costs_ms": choice.cost.named_ms(),
                    "tokens": choice.tokens, "copy_from": choice.copy_from,
                    "cold": choice.cold, "limit_per_second": limit, "sends": course.sends}),
            );
        }
        NextPlace::Away(choice) => {
            course.away.nodes.insert(choice.node.clone());
            course.region = Some(choice.region.clone());
            core.log.write(
                "away",
                serde_json::json!({"request": call.attempt, "content": call.content_text(),
                    "direct": call.is_direct(), "route": plan.route.name, "tokens_in": call.size.tokens_in,
                    "service": plan.service, "to": choice.node, "region": choice.region,
                    "expected_ms": choice.expected.as_millis() as u64,
                    "answer_ms": choice.decode_time.as_millis() as u64,
                    "version": plan.version, "sends": course.sends}),
            );
        }
        NextPlace::Refuse(..) => {}
    }
}

/// Logs why a try failed.
pub(crate) fn note_failure(
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

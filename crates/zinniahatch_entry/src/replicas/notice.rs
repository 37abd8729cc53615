//! Notices that replicas send in response headers: applied whatever kind of exchange carried them,
//! logged and broadcast.

use crate::core::EntryCore;
use crate::replicas::rate_limit::log_limit_change;
use crate::replicas::unknown_headers::note_unknown_headers;
use crate::request::connection::ResponseHead;
use crate::request::in_flight::InFlightRequest;
use crate::request::received::ReceivedRequest;
use http::StatusCode;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::ResponseHeaders;
use zinniahatch_route::BackoffChange;
use zinniahatch_route::NoticeEffect;
use zinniahatch_route::ReceivedNotice;
use zinniahatch_route::ReplicaIncarnation;
use zinniahatch_route::ResponseAuth;

/// Applies the notice in the response to a request.
pub(crate) fn apply_response_notice(
    core: &EntryCore,
    request: &ReceivedRequest,
    in_flight: &InFlightRequest,
    head: &ResponseHead,
) {
    let parsed = &head.parsed_headers;
    note_unknown_headers(core, in_flight.replica(), &head.headers);
    let sender = if head.status == StatusCode::MISDIRECTED_REQUEST {
        misdirected_responder(core, in_flight, parsed).map(|tag| (tag, ResponseAuth::Identified))
    } else {
        responder(request, in_flight, parsed)
    };
    let Some((replica, auth)) = sender else {
        core.metrics.notices.note("unknown_replica");
        return;
    };
    let received = ReceivedNotice {
        replica,
        notice: &parsed.notice,
        auth,
        taken: !parsed.not_run && head.status != StatusCode::MISDIRECTED_REQUEST,
        sent: in_flight.sent_at(),
        draw: rand::random(),
    };
    apply_notice(core, &received, "answer", Some(&request.attempt));
}

/// Applies the notice in the response to a probe, which any process at the address may have
/// answered.
pub(crate) fn apply_probe_notice(
    core: &EntryCore,
    incarnation: &ReplicaIncarnation,
    head: &ResponseHead,
    sent: Instant,
) {
    let parsed = &head.parsed_headers;
    note_unknown_headers(core, Some(&incarnation.id), &head.headers);
    let names_itself = parsed.replica.as_ref() == Some(&incarnation.id);
    let auth = if names_itself {
        ResponseAuth::Identified
    } else {
        ResponseAuth::Unverified
    };
    let received = ReceivedNotice {
        replica: incarnation.tag(),
        notice: &parsed.notice,
        auth,
        taken: false,
        sent,
        draw: rand::random(),
    };
    apply_notice(core, &received, "probe", None);
}

/// Returns the replica incarnation that the request was sent to, and the evidence that it answered.
/// No other incarnation accepts a request that names this one.
fn responder(
    request: &ReceivedRequest,
    in_flight: &InFlightRequest,
    parsed: &ResponseHeaders,
) -> Option<(ShortTag, ResponseAuth)> {
    let mut tag = None;
    in_flight.update_replica(|state| tag = Some(state.tag));
    let names_itself = parsed.replica.is_some() && parsed.replica.as_ref() == in_flight.replica();
    let echoed = parsed.attempt.as_deref() == Some(&*request.attempt);
    let auth = match (parsed.sealed, names_itself || echoed) {
        (true, _) => ResponseAuth::Authenticated,
        (false, true) => ResponseAuth::Identified,
        (false, false) => ResponseAuth::Unverified,
    };
    Some((tag?, auth))
}

/// Returns the known replica incarnation that answered in place of the one that the request was
/// for.
fn misdirected_responder(
    core: &EntryCore,
    in_flight: &InFlightRequest,
    parsed: &ResponseHeaders,
) -> Option<ShortTag> {
    let replicas = core.replicas.borrow();
    let state = replicas.get(parsed.replica.as_deref()?)?;
    (state.entry.address == in_flight.address()).then_some(state.tag)
}

fn apply_notice(
    core: &EntryCore,
    received: &ReceivedNotice<'_>,
    source: &'static str,
    request_id: Option<&RequestId>,
) {
    let (effect, incarnation) = {
        let mut replicas = core.replicas.borrow_mut();
        let effect = replicas.apply_notice(received, Instant::now());
        if effect == NoticeEffect::default() {
            return;
        }
        let id = replicas.id_of(received.replica);
        let state = id.and_then(|id| replicas.get(id));
        (effect, state.map(|state| state.entry.incarnation()))
    };
    let replica = incarnation.as_ref().map(|incarnation| &incarnation.id);
    if let Some(change) = &effect.limit {
        log_limit_change(core, replica, change, source);
        core.work_changed.notify_one();
    }
    for value in &effect.rejected {
        core.metrics.notices.note("rejected");
        core.log.write(
            "value-rejected",
            serde_json::json!({"request": request_id, "replica": replica, "value": value}),
        );
    }
    for value in &effect.unverified {
        core.metrics.notices.note("unproven");
        core.log.write(
            "notice-unproven",
            serde_json::json!({"request": request_id, "replica": replica, "value": value,
                "source": source}),
        );
    }
    log_backoff(core, replica, &effect, source, request_id);
    if effect.leaving {
        log_leaving(core, replica, source, request_id);
        if let Some(incarnation) = incarnation {
            core.replica_updates.borrow_mut().push_leaving(incarnation);
            core.work_changed.notify_one();
        }
    }
}

/// Merges another node's updates on replicas that announced that they are leaving.
pub(crate) fn apply_leaving_updates(core: &EntryCore, incarnations: &[ReplicaIncarnation]) {
    for incarnation in incarnations {
        let new = core.replicas.borrow_mut().mark_leaving(incarnation);
        if new {
            log_leaving(core, Some(&incarnation.id), "near", None);
        }
    }
}

/// Updates the gauges of replicas that are leaving or in backoff.
pub(crate) fn update_notice_gauges(core: &EntryCore) {
    let replicas = core.replicas.borrow();
    let leaving = replicas.announced_leaving().count();
    let in_backoff = replicas.backoffs.count();
    core.metrics.notices.set_counts(leaving, in_backoff);
}

fn log_backoff(
    core: &EntryCore,
    replica: Option<&ReplicaId>,
    effect: &NoticeEffect,
    source: &'static str,
    request_id: Option<&RequestId>,
) {
    let (event, time) = match effect.backoff {
        Some(BackoffChange::Began(time)) => ("rest_began", Some(time)),
        Some(BackoffChange::Lengthened(time)) => ("rest_lengthened", Some(time)),
        Some(BackoffChange::Covered) => {
            core.metrics.notices.note("rest_covered");
            return;
        }
        None if effect.recovered => ("rest_ended", None),
        None => return,
    };
    core.metrics.notices.note(event);
    let backoff_ms = time.map(|time| time.as_millis() as u64);
    core.log.write(
        "replica-rest",
        serde_json::json!({"replica": replica, "event": event, "rest_ms": backoff_ms,
            "source": source, "request": request_id}),
    );
}

fn log_leaving(
    core: &EntryCore,
    replica: Option<&ReplicaId>,
    source: &'static str,
    request_id: Option<&RequestId>,
) {
    core.metrics.notices.note("leaving");
    core.log.write(
        "replica-leaving",
        serde_json::json!({"replica": replica, "source": source, "request": request_id}),
    );
}

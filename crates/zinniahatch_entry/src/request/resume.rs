//! Resumes a broken stream at another replica.

use crate::core::EntryCore;
use crate::replicas::quarantine::await_quarantine_decision;
use crate::request::connection::ResponseHead;
use crate::request::in_flight::InFlightRequest;
use crate::request::placement::Placement;
use crate::request::placement::choose_placement;
use crate::request::placement::log_failure;
use crate::request::placement::record_try;
use crate::request::placement::send_to;
use crate::request::plan::MAX_UNSENT_TRIES;
use crate::request::plan::RequestPlan;
use crate::request::plan::RequestProgress;
use crate::request::received::ReceivedRequest;
use crate::request::send::ResumePoint;
use crate::request::send::SendFailure;
use std::rc::Rc;
use tokio::time::timeout_at;
use zinniahatch_base::prelude::*;

/// Resumes a broken stream at another replica, after the last event that the caller has.
pub(crate) async fn resume(
    core: &Rc<EntryCore>,
    request: &ReceivedRequest,
    plan: &RequestPlan,
    progress: &mut RequestProgress,
    last_event: Option<&str>,
    reason: &str,
) -> Option<InFlightRequest> {
    let point = ResumePoint {
        last_event,
        began: progress.began,
    };
    loop {
        if Instant::now() >= plan.deadline || progress.unsent_tries >= MAX_UNSENT_TRIES {
            return None;
        }
        await_quarantine_decision(core, request, plan).await;
        let placement = choose_placement(core, request, plan, progress, false);
        let refused = matches!(placement, Placement::Refuse(..));
        if refused
            || progress.sends >= plan.max_sends
            || !plan.charge_send(core, request, progress, "resumed")
        {
            return None;
        }
        log_resume(core, request, progress, point, reason);
        record_try(core, request, plan, progress, &placement);
        let sending = send_to(core, request, plan, &placement, point);
        let Ok(sent) = timeout_at(plan.deadline_tokio(), sending).await else {
            plan.record_received(core, progress, 1);
            return None;
        };
        let next = record_outcome(core, request, plan, progress, &placement, sent);
        if let Some(in_flight) = next {
            return Some(in_flight);
        }
    }
}

/// Logs that a stream is to go on elsewhere.
pub(crate) fn log_resume(
    core: &EntryCore,
    request: &ReceivedRequest,
    progress: &RequestProgress,
    point: ResumePoint<'_>,
    reason: &str,
) {
    core.log.write(
        "resume",
        serde_json::json!({"request": request.attempt, "after_event": point.last_event,
            "reason": reason, "origin": progress.began, "sends": progress.sends}),
    );
}

/// Records how a try to go on with a stream ended; returns the request if a replica goes on.
pub(crate) fn record_outcome(
    core: &EntryCore,
    request: &ReceivedRequest,
    plan: &RequestPlan,
    progress: &mut RequestProgress,
    placement: &Placement,
    sent: Result<(ResponseHead, InFlightRequest), SendFailure>,
) -> Option<InFlightRequest> {
    let received = match &sent {
        Ok(_) => 1,
        Err(failure) => failure.sends_received(),
    };
    plan.record_received(core, progress, received);
    let failure = match sent {
        Ok((head, in_flight)) if head.status.is_success() => {
            progress.sends += 1;
            return Some(in_flight);
        }
        Ok((head, _)) => SendFailure::Unknown(format!("status {}", head.status).into()),
        Err(failure) => failure,
    };
    log_failure(core, request, plan, progress, placement, &failure);
    progress.unsent_tries += 1;
    if matches!(failure, SendFailure::Unknown(_)) {
        progress.sends += 1;
    }
    None
}

//! Resumes a broken stream at another replica.

use crate::core::EntryCore;
use crate::replicas::quarantine::await_quarantine_decision;
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
        core.log.write(
            "resume",
            serde_json::json!({"request": request.attempt, "after_event": last_event,
                "reason": reason, "origin": progress.began, "sends": progress.sends}),
        );
        record_try(core, request, plan, progress, &placement);
        let sending = send_to(core, request, plan, &placement, point);
        let sent = timeout_at(plan.deadline_tokio(), sending).await;
        let received = match &sent {
            Ok(Err(failure)) => failure.sends_received(),
            _ => 1,
        };
        plan.record_received(core, progress, received);
        match sent {
            Ok(Ok((head, in_flight))) if head.status.is_success() => {
                progress.sends += 1;
                return Some(in_flight);
            }
            Ok(Err(failure)) => {
                log_failure(core, request, plan, progress, &placement, &failure);
                progress.unsent_tries += 1;
                if matches!(failure, SendFailure::Unknown(_)) {
                    progress.sends += 1;
                }
            }
            _ => return None,
        }
    }
}

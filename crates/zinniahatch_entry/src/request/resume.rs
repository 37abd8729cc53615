//! Going on with a broken stream at another replica.

use crate::core::EntryCore;
use crate::replicas::quarantine::await_quarantine_decision;
use crate::request::call::SendFailure;
use crate::request::open_call::OpenCall;
use crate::request::placing::NextPlace;
use crate::request::placing::next_place;
use crate::request::placing::note_failure;
use crate::request::placing::note_tried;
use crate::request::placing::send_to;
use crate::request::plan::CallCourse;
use crate::request::plan::CallPlan;
use crate::request::plan::MOST_CONNECTS;
use crate::request::received::ReceivedCall;
use std::rc::Rc;
use tokio::time::timeout_at;
use zinniahatch_base::prelude::*;

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
        await_quarantine_decision(core, call).await;
        let place = next_place(core, call, plan, course, false);
        let refused = matches!(place, NextPlace::Refuse(..));
        if refused || !plan.may_go_on(core, course, "resumed") {
            return None;
        }
        core.log.write(
            "resume",
            serde_json::json!({"request": call.attempt, "after_event": last_event,
                "reason": reason, "sends": course.sends}),
        );
        note_tried(core, call, plan, course, &place);
        let sending = send_to(core, call, plan, &place, last_event);
        let sent = timeout_at(plan.deadline_tokio(), sending).await;
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

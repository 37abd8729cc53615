//! What replicas say of themselves in their answers.

use crate::core::EntryCore;
use crate::request::open_call::OpenCall;
use crate::request::received::ReceivedCall;
use zinniahatch_route::NamedLeaving;
use zinniahatch_route::NamedRest;
use zinniahatch_route::ReplicaNotice;

/// Logs an answer that says that its replica leaves or wants a rest.
pub(crate) fn log_notice(
    core: &EntryCore,
    call: &ReceivedCall,
    open: &OpenCall,
    notice: &ReplicaNotice,
) {
    if notice.leaving == NamedLeaving::Absent && notice.rest == NamedRest::Absent {
        return;
    }
    let rest = notice.rest.time().map(|time| time.as_millis() as u64);
    core.log.write(
        "replica-notice",
        serde_json::json!({"request": call.attempt, "replica": open.replica(),
            "leaving": notice.leaving == NamedLeaving::Leaving, "rest_ms": rest,
            "ran_ms": open.ran().as_millis() as u64}),
    );
}

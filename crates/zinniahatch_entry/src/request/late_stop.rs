//! Refuses requests whose answers do not end before this node stops.

use crate::core::EntryCore;
use crate::request::in_flight::InFlightRequest;
use crate::request::plan::RequestPlan;
use crate::request::received::ReceivedRequest;
use zinniahatch_base::prelude::*;
use zinniahatch_route::AnswerEstimate;
use zinniahatch_route::AnswerTimes;
use zinniahatch_route::BodyPace;
use zinniahatch_route::LocalPlacement;
use zinniahatch_route::MemberStage;
use zinniahatch_route::RemotePlacement;
use zinniahatch_route::StreamOrigin;

/// Reason with which an answer is counted whose body arrives too slowly.
const PACE_REASON: &str = "pace";
/// Retry time while another node is ready; callers pick a node anew for each try.
const OTHER_NODE_RETRY: Duration = Duration::from_millis(300);

/// A placement with an expected time of the whole answer.
pub(crate) trait AnswerTime {
    /// Returns the expected time to the last byte.
    fn whole(&self) -> Duration;
}

impl AnswerTime for LocalPlacement {
    fn whole(&self) -> Duration {
        self.expected + self.decode_time
    }
}

impl AnswerTime for RemotePlacement {
    fn whole(&self) -> Duration {
        self.expected + self.decode_time
    }
}

/// Records how long a whole answer took since it was sent.
pub(crate) fn note_answer_time(core: &EntryCore, plan: &RequestPlan, in_flight: &InFlightRequest) {
    let now = Instant::now();
    let mut routes = core.answer_times.borrow_mut();
    let times = routes
        .entry(plan.route.name.clone())
        .or_insert_with(|| AnswerTimes::new(now));
    times.note(in_flight.time_in_flight(), now);
}

/// Returns the retry time of a request that would be sent now and whose answer would not end before this
/// node stops; `None` if it may be sent.
///
/// A stream that may be resumed goes on elsewhere.
pub(crate) fn refuse_late<P: AnswerTime>(
    core: &EntryCore,
    request: &ReceivedRequest,
    plan: &RequestPlan,
    began: Option<StreamOrigin>,
    choice: &P,
) -> Option<Duration> {
    let answers_due = core.answers_due.get()?;
    if began.is_some() || plan.route.resumable {
        return None;
    }
    let now = Instant::now();
    let left = answers_due.saturating_duration_since(now);
    let estimate = {
        let routes = core.answer_times.borrow();
        let times = routes.get(&plan.route.name);
        AnswerEstimate {
            expected: choice.whole(),
            mean: times.and_then(|times| times.mean(now)),
            longest: times.and_then(|times| times.longest(now)),
            deadline: plan.deadline.saturating_duration_since(now),
            may_repeat: plan.route.may_repeat(),
        }
    };
    let basis = estimate.outlasts(left)?;
    let retry = leaving_retry(core, answers_due, now);
    let (time, _) = estimate.answer_time();
    core.metrics.retries.note_late(&plan.service, basis.name());
    core.log.write(
        "too-late",
        serde_json::json!({"request": request.attempt, "service": plan.service,
            "route": plan.route.name, "direct": request.is_direct(), "reason": basis.name(),
            "answer_ms": time.as_millis() as u64, "left_ms": left.as_millis() as u64,
            "phase": format!("{:?}", core.phase())}),
    );
    Some(retry)
}

/// Returns the retry time of a request that this node refuses since it stops; `None` if it does not stop.
pub(crate) fn stopping_retry(core: &EntryCore) -> Option<Duration> {
    Some(leaving_retry(core, core.answers_due.get()?, Instant::now()))
}

fn leaving_retry(core: &EntryCore, answers_due: Instant, now: Instant) -> Duration {
    if has_other_node(core, now) {
        OTHER_NODE_RETRY
    } else {
        answers_due.saturating_duration_since(now)
    }
}

/// Returns whether an answer that cannot be held is not to begin, since it would be cut when this node
/// stops: its caller is told more by a failure than by a part.
pub(crate) fn withhold_late(
    core: &EntryCore,
    request: &ReceivedRequest,
    plan: &RequestPlan,
    pace: &BodyPace,
) -> bool {
    let Some(answers_due) = core.answers_due.get() else {
        return false;
    };
    let left = answers_due.saturating_duration_since(Instant::now());
    if !pace.outlasts(left) {
        return false;
    }
    let metrics = &core.metrics.retries;
    metrics.note_late(&plan.service, PACE_REASON);
    core.log.write(
        "too-late",
        serde_json::json!({"request": request.attempt, "service": plan.service,
            "route": plan.route.name, "direct": request.is_direct(), "reason": PACE_REASON,
            "read": pace.read, "length": pace.length, "left_ms": left.as_millis() as u64,
            "phase": format!("{:?}", core.phase())}),
    );
    true
}

fn has_other_node(core: &EntryCore, now: Instant) -> bool {
    let members = core.members.borrow();
    let own = &core.settings.region;
    !members.live_in(own, now).is_empty()
        || !members
            .live_elsewhere(own, MemberStage::Ready, now)
            .is_empty()
}

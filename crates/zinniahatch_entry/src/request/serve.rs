//! The way of a request: planned, tried until it is answered or there is nothing left to try.

use crate::core::EntryCore;
use crate::replicas::quarantine::await_verdict;
use crate::request::answer::AnswerBody;
use crate::request::answering::finish_whole;
use crate::request::answering::refuse;
use crate::request::answering::start_stream;
use crate::request::call::SendFailure;
use crate::request::channel::AnswerHead;
use crate::request::open_call::OpenCall;
use crate::request::placing::NO_BACKEND_RETRY;
use crate::request::placing::NextPlace;
use crate::request::placing::next_place;
use crate::request::placing::note_failure;
use crate::request::placing::note_tried;
use crate::request::placing::send_to;
use crate::request::placing::turned_away_for;
use crate::request::plan::CallCount;
use crate::request::plan::CallCourse;
use crate::request::plan::CallPlan;
use crate::request::plan::MOST_CONNECTS;
use crate::request::received::ReceivedCall;
use crate::request::refusal::own_answer;
use crate::request::starting::await_members;
use crate::request::starting::await_rules;
use crate::who::allowances::TakenUnits;
use crate::who::allowances::take_units;
use http::Response;
use std::rc::Rc;
use tokio::time::timeout_at;
use zinniahatch_base::prelude::*;
use zinniahatch_route::RepeatKind;

/// Time that a caller is told to wait where this node does not know the desired state. A start takes
/// a few ms beside the store and 0.4 s from another region; where it takes longer, the store is away.
const STARTING_RETRY: Duration = Duration::from_millis(600);
const AWAY_RETRY: Duration = Duration::from_secs(2);
/// The same where this node cannot show that its keys are good; most others can, and callers draw one anew.
const PROOF_RETRY: Duration = Duration::from_millis(300);

/// Why a request is given up, and when to come back.
type GivenUp = (ResultCode, Option<Duration>);

/// Serves a request.
pub(crate) async fn serve(core: &Rc<EntryCore>, call: ReceivedCall) -> Response<AnswerBody> {
    await_rules(core, &call).await;
    let plan = match CallPlan::new(core, &call) {
        Ok(plan) => Rc::new(plan),
        Err(code) => return unrouted(core, &call, code),
    };
    core.with_budget(&plan.service, |budget| {
        if call.is_direct() {
            budget.record_request(Instant::now());
        }
    });
    let mut runner = TryRunner {
        core,
        call: Rc::new(call),
        plan,
        course: CallCourse::default(),
        spare: None,
        units: None,
    };
    let guard = CallCount::new(core);
    match runner.run(guard).await {
        Ok(answer) => answer,
        Err((code, retry)) => refuse(
            core,
            &runner.call,
            &runner.plan,
            &runner.course,
            code,
            retry,
        ),
    }
}

fn unrouted(core: &EntryCore, call: &ReceivedCall, code: ResultCode) -> Response<AnswerBody> {
    const UNAVAILABLE: u16 = 503;
    core.metrics.note_answer("", code.name());
    core.log.write(
        "unrouted",
        serde_json::json!({"request": call.attempt, "result": code.number(),
            "version": core.version()}),
    );
    let after = if code == ResultCode::KeysUnproven {
        PROOF_RETRY
    } else if core.started.elapsed() < STARTING_RETRY {
        STARTING_RETRY
    } else {
        AWAY_RETRY
    };
    let left = call.time_left.unwrap_or(after * 3);
    let retry = (code.status() == UNAVAILABLE).then(|| after.min(left / 3));
    own_answer(code, Some(&call.attempt), retry)
}

/// One request on its way.
struct TryRunner<'a> {
    core: &'a Rc<EntryCore>,
    call: Rc<ReceivedCall>,
    plan: Rc<CallPlan>,
    course: CallCourse,
    /// A failure that a replica answered with, given out where no other try does better.
    spare: Option<Response<AnswerBody>>,
    /// What it takes of its account's allowance.
    units: Option<TakenUnits>,
}

/// What came of one try.
enum TryOutcome {
    /// The final answer.
    Answered(Response<AnswerBody>),
    /// Another try follows.
    Again,
    /// The try failed.
    Failed(SendFailure),
}

impl TryRunner<'_> {
    async fn run(&mut self, guard: CallCount) -> Result<Response<AnswerBody>, GivenUp> {
        let mut guard = Some(guard);
        match take_units(self.core, &self.call, &self.plan) {
            Ok(units) => self.units = units,
            // Coming back sooner would be in vain, so that the caller hears the whole.
            Err(after) => return Err((ResultCode::OverAllowance, Some(after))),
        }
        loop {
            let (core, call) = (self.core, &self.call);
            await_verdict(core, call).await;
            let first = self.course.sends == 0;
            let place = next_place(core, call, &self.plan, &self.course, first);
            if matches!(place, NextPlace::Refuse(ResultCode::NoBackend, _))
                && first
                && await_members(core, call).await
            {
                continue;
            }
            if let NextPlace::Refuse(code, after) = place {
                return self.give_up(self.refusal(code, after));
            }
            note_tried(core, call, &self.plan, &mut self.course, &place);
            self.note_units(true);
            let failure = match self.try_once(&place, &mut guard).await {
                TryOutcome::Answered(answer) => return Ok(answer),
                TryOutcome::Again => continue,
                TryOutcome::Failed(failure) => failure,
            };
            let outcome = self.take_failure(&place, failure);
            self.note_units(self.course.maybe_ran);
            if let Err(given_up) = outcome {
                return self.give_up(given_up);
            }
        }
    }

    /// Notes whether a replica may run the request, or may have run it.
    fn note_units(&mut self, used: bool) {
        if let Some(units) = &mut self.units {
            units.used = used;
        }
    }

    /// Gives a refusal with the time to come back.
    fn refusal(&self, code: ResultCode, after: Duration) -> GivenUp {
        let hint = self.course.retry_hint;
        match code {
            // Coming back sooner would be in vain, so that the caller hears the whole.
            ResultCode::RequestQuarantined => (code, Some(after)),
            ResultCode::ReplicasLimited | ResultCode::ReplicasResting => {
                (code, Some(hint.map_or(after, |hint| hint.min(after))))
            }
            _ => (code, Some(self.plan.cap_retry(hint.unwrap_or(after)))),
        }
    }

    /// Ends with a replica's own failure where there is one, else with ours.
    fn give_up(&mut self, given_up: GivenUp) -> Result<Response<AnswerBody>, GivenUp> {
        self.spare.take().ok_or(given_up)
    }

    async fn try_once(&mut self, place: &NextPlace, guard: &mut Option<CallCount>) -> TryOutcome {
        let limit = self.plan.try_limit(&self.course, place.expected());
        let last_event = self.call.last_event.as_deref();
        let sending = send_to(self.core, &self.call, &self.plan, place, last_event);
        match timeout_at(limit.into(), sending).await {
            Ok(Ok((head, open))) => {
                self.course.sends += 1;
                self.take_answer(head, open, limit, guard).await
            }
            Ok(Err(failure)) => {
                if matches!(failure, SendFailure::NotRun(_) | SendFailure::Unknown(_)) {
                    self.course.sends += 1;
                }
                TryOutcome::Failed(failure)
            }
            Err(_) => {
                self.course.sends += 1;
                TryOutcome::Failed(SendFailure::Unknown("no answer in time".into()))
            }
        }
    }

    async fn take_answer(
        &mut self,
        head: AnswerHead,
        open: OpenCall,
        limit: Instant,
        guard: &mut Option<CallCount>,
    ) -> TryOutcome {
        let (core, call, plan) = (self.core, &self.call, &self.plan);
        if plan.route.repeat == RepeatKind::Streaming
            && head.status.is_success()
            && let Some(guard) = guard.take()
        {
            let course = std::mem::take(&mut self.course);
            let answer = start_stream(core, call, plan, course, &head, open, guard);
            return TryOutcome::Answered(answer);
        }
        match finish_whole(core, call, plan, &self.course, limit, head, open).await {
            Ok((answer, good)) if good || !plan.may_go_on(core, &self.course, "status") => {
                TryOutcome::Answered(answer)
            }
            Ok((answer, _)) => {
                self.course.maybe_ran = true;
                self.spare = Some(answer);
                TryOutcome::Again
            }
            Err(reason) => TryOutcome::Failed(SendFailure::Unknown(reason)),
        }
    }

    /// Notes a failed try and tells whether another may follow.
    fn take_failure(&mut self, place: &NextPlace, failure: SendFailure) -> Result<(), GivenUp> {
        let (core, call, plan) = (self.core, &self.call, &self.plan);
        note_failure(core, call, plan, &self.course, place, &failure);
        self.course.maybe_ran |= matches!(failure, SendFailure::Unknown(_));
        if Instant::now() >= plan.deadline {
            let code = if self.course.maybe_ran {
                ResultCode::DeadlineRunning
            } else {
                ResultCode::DeadlinePassed
            };
            return Err((code, None));
        }
        match failure {
            SendFailure::NotSent(_) => self.take_miss(true),
            SendFailure::KeyRevoked => Err((ResultCode::BadCredential, None)),
            SendFailure::Quarantined(left) => {
                Err(self.refusal(ResultCode::RequestQuarantined, left))
            }
            SendFailure::WrongReplica => {
                // It arrived somewhere, so another try is a repeat: where many addresses are used
                // again at once, free tries would pass the bound of all nodes.
                let granted = plan.may_go_on(core, &self.course, "replaced");
                self.take_miss(granted)
            }
            SendFailure::NotRun(hint) => self.take_refusal(place, hint),
            SendFailure::Unknown(_) => {
                if plan.route.may_repeat() && plan.may_go_on(core, &self.course, "broken") {
                    return Ok(());
                }
                Err((ResultCode::OutcomeUnknown, None))
            }
        }
    }

    /// Notes a try that ran nowhere; `granted` tells whether another is within the budget.
    fn take_miss(&mut self, granted: bool) -> Result<(), GivenUp> {
        self.course.connects += 1;
        if granted && self.course.connects < MOST_CONNECTS {
            return Ok(());
        }
        let after = self.plan.cap_retry(NO_BACKEND_RETRY);
        Err((ResultCode::NoBackend, Some(after)))
    }

    fn take_refusal(&mut self, place: &NextPlace, hint: Option<Duration>) -> Result<(), GivenUp> {
        if let NextPlace::Away(choice) = place {
            self.course.retry_hint = hint.or(self.course.retry_hint);
            // A refusal of another node cost no replica anything.
            self.course.away.regions.insert(choice.region.clone());
            self.course.sends -= 1;
            return Ok(());
        }
        if self.plan.may_go_on(self.core, &self.course, "refused") {
            return Ok(());
        }
        let held = turned_away_for(self.core, &self.call, &self.plan);
        let after = held.unwrap_or_else(|| self.plan.cap_retry(hint.unwrap_or(NO_BACKEND_RETRY)));
        Err((ResultCode::BackendRefused, Some(after)))
    }
}

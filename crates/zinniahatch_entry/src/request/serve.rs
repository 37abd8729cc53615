//! Serves a request: plans it, then tries it until there is a response or nothing left to try.

use crate::auth::allowances::ChargedUnits;
use crate::auth::allowances::charge_units;
use crate::core::EntryCore;
use crate::replicas::quarantine::await_quarantine_decision;
use crate::request::connection::ResponseHead;
use crate::request::failover::SilenceEnd;
use crate::request::failover::SilenceWait;
use crate::request::failover::WaitedConnection;
use crate::request::gateway_response::gateway_response;
use crate::request::in_flight::InFlightRequest;
use crate::request::late_stop::stopping_retry;
use crate::request::placement::NO_BACKEND_RETRY;
use crate::request::placement::Placement;
use crate::request::placement::choose_placement;
use crate::request::placement::log_failure;
use crate::request::placement::record_try;
use crate::request::placement::retry_after_refusal;
use crate::request::placement::send_to;
use crate::request::plan::InFlightGuard;
use crate::request::plan::MAX_UNSENT_TRIES;
use crate::request::plan::RequestPlan;
use crate::request::plan::RequestProgress;
use crate::request::received::ReceivedRequest;
use crate::request::response::BegunResponse;
use crate::request::response::BufferedResponse;
use crate::request::response::buffer_response;
use crate::request::response::refuse;
use crate::request::response::start_stream;
use crate::request::response_body::ResponseBody;
use crate::request::send::ResumePoint;
use crate::request::send::SendFailure;
use crate::request::startup::wait_for_members;
use crate::request::startup::wait_for_state;
use crate::request::take_up::find_origin;
use crate::store::version_keys::wait_for_record;
use http::Response;
use std::rc::Rc;
use tokio::time::timeout_at;
use zinniahatch_base::prelude::*;
use zinniahatch_route::RepeatKind;
use zinniahatch_route::StreamFailover;

/// Retry time given to callers when this node does not know the desired state. A start takes a few
/// ms if the store is in the same region and 0.4 s if it is in another. If it takes longer, the
/// store is unavailable.
const STARTING_RETRY: Duration = Duration::from_millis(600);
const STORE_DOWN_RETRY: Duration = Duration::from_secs(2);
/// Retry time when this node cannot prove that its keys are current. Most other nodes can, and
/// callers pick a node anew for each try.
const UNPROVEN_KEYS_RETRY: Duration = Duration::from_millis(300);

/// Why a request is given up, and the retry time.
type Refusal = (ResultCode, Option<Duration>);

/// Serves a request.
pub(crate) async fn serve(
    core: &Rc<EntryCore>,
    request: ReceivedRequest,
) -> Response<ResponseBody> {
    wait_for_state(core, &request).await;
    let mut plan = match RequestPlan::new(core, &request, None) {
        Ok(plan) => plan,
        Err(code) => return refuse_unrouted(core, &request, code),
    };
    core.with_retry_budget(&plan.service, |budget| {
        if request.is_direct() {
            budget.record_request(Instant::now());
        }
    });
    let guard = InFlightGuard::new(core);
    // The first node has admitted it: its caller cannot be refused any more.
    let mut progress = RequestProgress {
        admitted: request.has_begun(),
        ..RequestProgress::default()
    };
    match find_origin(core, &request, &plan).await {
        Ok(None) => {}
        Ok(began) => {
            plan = match RequestPlan::new(core, &request, began) {
                Ok(plan) => plan,
                Err(code) => return refuse_unrouted(core, &request, code),
            };
            progress.began = began;
        }
        Err(code) => {
            let retry = plan.cap_retry_after(NO_BACKEND_RETRY);
            return refuse(core, &request, &plan, &progress, code, Some(retry));
        }
    }
    let mut runner = RequestRunner {
        core,
        request: Rc::new(request),
        plan: Rc::new(plan),
        progress,
        fallback: None,
        units: None,
    };
    match runner.run(guard).await {
        Ok(response) => response,
        Err((code, retry)) => refuse(
            core,
            &runner.request,
            &runner.plan,
            &runner.progress,
            code,
            retry,
        ),
    }
}

fn refuse_unrouted(
    core: &EntryCore,
    request: &ReceivedRequest,
    code: ResultCode,
) -> Response<ResponseBody> {
    const UNAVAILABLE: u16 = 503;
    core.metrics.note_response("", code.name());
    core.log.write(
        "unrouted",
        serde_json::json!({"request": request.attempt, "result": code.number(),
            "version": core.version()}),
    );
    let stopping = (code == ResultCode::NodeLeaving).then(|| stopping_retry(core));
    let after = if let Some(after) = stopping.flatten() {
        after
    } else if code == ResultCode::KeysUnproven {
        UNPROVEN_KEYS_RETRY
    } else if core.started.elapsed() < STARTING_RETRY {
        STARTING_RETRY
    } else {
        STORE_DOWN_RETRY
    };
    let left = request.time_left.unwrap_or(after * 3);
    let retry = (code.status() == UNAVAILABLE).then(|| after.min(left / 3));
    gateway_response(code, Some(&request.attempt), retry)
}

/// The tries of one request.
struct RequestRunner<'a> {
    core: &'a Rc<EntryCore>,
    request: Rc<ReceivedRequest>,
    plan: Rc<RequestPlan>,
    progress: RequestProgress,
    /// A replica's error response, returned if no other try does better.
    fallback: Option<Response<ResponseBody>>,
    /// The units taken from the account's allowance.
    units: Option<ChargedUnits>,
}

/// The response to a send, or why there is none.
type SendOutcome = Result<(ResponseHead, InFlightRequest), SendFailure>;

/// Result of one try.
enum TryOutcome {
    /// The final response.
    Answered(Response<ResponseBody>),
    /// Another try follows.
    Again,
    /// The try failed.
    Failed(SendFailure),
}

impl TryOutcome {
    fn without_response() -> Self {
        Self::Failed(SendFailure::Unknown("no response in time".into()))
    }
}

impl RequestRunner<'_> {
    async fn run(&mut self, guard: InFlightGuard) -> Result<Response<ResponseBody>, Refusal> {
        let mut guard = Some(guard);
        match charge_units(self.core, &self.request, &self.plan) {
            Ok(units) => self.units = units,
            // An earlier retry would be refused again, so the time is not capped.
            Err(after) => return Err((ResultCode::OverAllowance, Some(after))),
        }
        loop {
            let (core, request) = (self.core, &self.request);
            await_quarantine_decision(core, request, &self.plan).await;
            if self.plan.route.resumable && self.progress.began.is_none() {
                let service = tag_of(&self.plan.service);
                wait_for_record(core, service, self.plan.deadline).await;
            }
            let first = !self.progress.admitted;
            let placement = choose_placement(core, request, &self.plan, &self.progress, first);
            if matches!(placement, Placement::Refuse(ResultCode::NoBackend, _))
                && first
                && wait_for_members(core, request).await
            {
                continue;
            }
            if let Placement::Refuse(code, after) = placement {
                return self.give_up(self.refusal(code, after));
            }
            debug_assert!(!self.progress.ledger.needs_charge(), "an uncharged retry");
            record_try(core, request, &self.plan, &mut self.progress, &placement);
            self.mark_units_used(true);
            let failure = match self.run_try(&placement, &mut guard).await {
                TryOutcome::Answered(response) => return Ok(response),
                TryOutcome::Again => continue,
                TryOutcome::Failed(failure) => failure,
            };
            let outcome = self.handle_failure(&placement, failure);
            self.mark_units_used(self.progress.may_have_run);
            if let Err(refusal) = outcome {
                return self.give_up(refusal);
            }
        }
    }

    /// Records whether a replica may run, or may have run, the request.
    fn mark_units_used(&mut self, used: bool) {
        if let Some(units) = &mut self.units {
            units.used = used;
        }
    }

    /// Returns a refusal with its retry time.
    fn refusal(&self, code: ResultCode, after: Duration) -> Refusal {
        let hint = self.progress.retry_hint;
        match code {
            // An earlier retry would be refused again, so the time is not capped.
            ResultCode::RequestQuarantined => (code, Some(after)),
            ResultCode::ReplicasLimited | ResultCode::ReplicasResting => {
                (code, Some(hint.map_or(after, |hint| hint.min(after))))
            }
            _ => (code, Some(self.plan.cap_retry_after(hint.unwrap_or(after)))),
        }
    }

    /// Ends with a replica's own error response if there is one, otherwise with the refusal.
    fn give_up(&mut self, refusal: Refusal) -> Result<Response<ResponseBody>, Refusal> {
        self.plan.return_charge(self.core, &mut self.progress);
        self.fallback.take().ok_or(refusal)
    }

    async fn run_try(
        &mut self,
        placement: &Placement,
        guard: &mut Option<InFlightGuard>,
    ) -> TryOutcome {
        let (core, request, plan) = (self.core, Rc::clone(&self.request), Rc::clone(&self.plan));
        let mut connection = WaitedConnection::of_try(placement);
        let mut failover = plan.try_failover(&self.progress, placement.expected());
        let point = ResumePoint {
            last_event: request.last_event.as_deref(),
            began: self.progress.began,
            caller_has_part: false,
            new_connection: false,
            written: None,
        };
        let sending = send_to(core, &request, &plan, placement, point);
        let end = self.outlast(&mut failover, &mut connection, sending).await;
        let (mut head, mut in_flight) = match end {
            Some(SilenceEnd::Spoke(sent)) => match self.record_sent(sent, connection.recorded) {
                Ok(answer) => answer,
                Err(failure) => return TryOutcome::Failed(failure),
            },
            Some(SilenceEnd::Moved { answer, .. }) => *answer,
            Some(SilenceEnd::Lost) => return TryOutcome::without_response(),
            None => {
                connection.record(core, &plan, &mut self.progress);
                return TryOutcome::without_response();
            }
        };
        self.progress.admitted = true;
        if plan.route.repeat == RepeatKind::Streaming {
            if head.status.is_success()
                && request.accepts_chunks
                && let Some(guard) = guard.take()
            {
                let progress = std::mem::take(&mut self.progress);
                let response = BegunResponse {
                    head,
                    in_flight,
                    begun: Vec::new(),
                };
                let response = start_stream(core, &request, &plan, progress, response, guard);
                return TryOutcome::Answered(response);
            }
            // All of it has to arrive before the caller gets any.
            failover = plan.stream_failover(&self.progress, in_flight.expected);
        }
        loop {
            let mut connection = WaitedConnection::of_response(&in_flight, &self.progress);
            let served = self.progress.serving_region(core);
            let buffering = buffer_response(core, &request, &plan, &served, head, in_flight);
            match self
                .outlast(&mut failover, &mut connection, buffering)
                .await
            {
                Some(SilenceEnd::Spoke(Ok(BufferedResponse::Whole { response, is_final }))) => {
                    return self.settle(response, is_final);
                }
                Some(SilenceEnd::Spoke(Ok(BufferedResponse::Begun(response)))) => {
                    let Some(guard) = guard.take() else {
                        return TryOutcome::without_response();
                    };
                    let progress = std::mem::take(&mut self.progress);
                    let response = start_stream(core, &request, &plan, progress, *response, guard);
                    return TryOutcome::Answered(response);
                }
                Some(SilenceEnd::Spoke(Err(reason))) => {
                    return TryOutcome::Failed(SendFailure::Unknown(reason));
                }
                Some(SilenceEnd::Moved { answer, .. }) => (head, in_flight) = *answer,
                Some(SilenceEnd::Lost) | None => return TryOutcome::without_response(),
            }
        }
    }

    /// Waits for a response until the deadline, and moves the request if another place can take it;
    /// returns `None` at the deadline.
    async fn outlast<T, E>(
        &mut self,
        failover: &mut StreamFailover,
        connection: &mut WaitedConnection,
        response: impl Future<Output = Result<T, E>>,
    ) -> Option<SilenceEnd<Result<T, E>>> {
        let wait = SilenceWait {
            core: self.core,
            request: &self.request,
            plan: &self.plan,
            progress: &mut self.progress,
            failover,
            connection,
            last_event: self.request.last_event.as_deref(),
        };
        let waiting = wait.run(response, Result::is_err);
        timeout_at(self.plan.deadline_tokio(), waiting).await.ok()
    }

    /// Records the outcome of a send; `recorded` tells whether it was recorded as received while another
    /// place was looked for.
    fn record_sent(&mut self, sent: SendOutcome, recorded: bool) -> SendOutcome {
        let received = match &sent {
            Ok(_) => 1,
            Err(failure) => failure.sends_received(),
        };
        let unrecorded = received.saturating_sub(u32::from(recorded));
        self.plan
            .record_received(self.core, &mut self.progress, unrecorded);
        let misdirected = matches!(sent, Err(SendFailure::WrongReplica));
        if received > 0 && !misdirected {
            self.progress.sends += u32::from(!recorded);
            self.progress.admitted |= !matches!(sent, Err(SendFailure::RefusedByNode { .. }));
        }
        sent
    }

    /// Decides whether a whole response is the last word.
    fn settle(&mut self, response: Response<ResponseBody>, is_final: bool) -> TryOutcome {
        if is_final || !self.may_send_again("status") {
            return TryOutcome::Answered(response);
        }
        self.progress.may_have_run = true;
        self.fallback = Some(response);
        TryOutcome::Again
    }

    /// Records a failed try and returns whether another may follow.
    fn handle_failure(
        &mut self,
        placement: &Placement,
        failure: SendFailure,
    ) -> Result<(), Refusal> {
        let (core, request, plan) = (self.core, &self.request, &self.plan);
        log_failure(core, request, plan, &self.progress, placement, &failure);
        self.progress.may_have_run |= matches!(failure, SendFailure::Unknown(_));
        if Instant::now() >= plan.deadline {
            let code = if self.progress.may_have_run {
                ResultCode::DeadlineRunning
            } else {
                ResultCode::DeadlinePassed
            };
            return Err((code, None));
        }
        match failure {
            SendFailure::NotSent(_) => {
                // Free, unless the try was counted as sent while another place was looked for.
                let granted = self.may_send_again("unsent");
                self.handle_unsent(granted)
            }
            SendFailure::KeyRevoked => Err((ResultCode::BadCredential, None)),
            SendFailure::Quarantined(left) => {
                Err(self.refusal(ResultCode::RequestQuarantined, left))
            }
            SendFailure::WrongReplica => {
                // The request reached some replica, so another try counts as a retry. If many
                // addresses were reassigned at once, uncounted tries would exceed the retry limit
                // over all nodes.
                let granted = self.may_send_again("replaced");
                self.handle_unsent(granted)
            }
            SendFailure::NotRun(hint) => self.handle_not_run("refused", hint),
            SendFailure::RefusedByNode {
                leaving,
                retry,
                uncharged_sends,
            } => {
                self.progress.retry_hint = retry.or(self.progress.retry_hint);
                let asks_others = leaving && self.progress.unsent_tries < MAX_UNSENT_TRIES;
                self.progress.unsent_tries += u32::from(asks_others);
                if let Placement::Remote(choice) = placement
                    && !asks_others
                {
                    self.progress.remote.regions.insert(choice.region.clone());
                }
                if uncharged_sends == 0 && !self.progress.ledger.needs_charge() {
                    return Ok(());
                }
                self.handle_not_run("refused_remotely", retry)
            }
            SendFailure::Unknown(_) => {
                if plan.route.may_repeat() && self.may_send_again("broken") {
                    return Ok(());
                }
                Err((ResultCode::OutcomeUnknown, None))
            }
        }
    }

    /// Returns whether the route and the retry budget allow another send, and charges it.
    fn may_send_again(&mut self, reason: &'static str) -> bool {
        let plan = Rc::clone(&self.plan);
        self.progress.sends < plan.max_sends
            && plan.charge_send(self.core, &self.request, &mut self.progress, reason)
    }

    /// Records a try that ran nowhere. `granted` tells whether another is within the budget.
    fn handle_unsent(&mut self, granted: bool) -> Result<(), Refusal> {
        self.progress.unsent_tries += 1;
        if granted && self.progress.unsent_tries < MAX_UNSENT_TRIES {
            return Ok(());
        }
        let after = self.plan.cap_retry_after(NO_BACKEND_RETRY);
        Err((ResultCode::NoBackend, Some(after)))
    }

    fn handle_not_run(
        &mut self,
        reason: &'static str,
        hint: Option<Duration>,
    ) -> Result<(), Refusal> {
        if self.may_send_again(reason) {
            return Ok(());
        }
        let retry = retry_after_refusal(self.core, &self.request, &self.plan, &self.progress);
        let after =
            retry.unwrap_or_else(|| self.plan.cap_retry_after(hint.unwrap_or(NO_BACKEND_RETRY)));
        Err((ResultCode::BackendRefused, Some(after)))
    }
}

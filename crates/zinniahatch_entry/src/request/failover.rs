//! Moves a request that waits on a silent connection to another replica.
//!
//! What the request has is kept until another place answers it, or has taken it and had time to
//! refuse.

use crate::core::EntryCore;
use crate::replicas::probe::is_alive;
use crate::replicas::quarantine::await_quarantine_decision;
use crate::request::connection::ResponseHead;
use crate::request::in_flight::InFlightRequest;
use crate::request::placement::Placement;
use crate::request::placement::choose_placement;
use crate::request::placement::record_try;
use crate::request::placement::send_to;
use crate::request::plan::MAX_UNSENT_TRIES;
use crate::request::plan::RequestPlan;
use crate::request::plan::RequestProgress;
use crate::request::received::ReceivedRequest;
use crate::request::resume::log_resume;
use crate::request::resume::record_outcome;
use crate::request::send::ResumePoint;
use std::cell::Cell;
use std::future::pending;
use std::pin::Pin;
use std::pin::pin;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::sleep_until;
use zinniahatch_base::prelude::*;
use zinniahatch_route::FailoverStep;
use zinniahatch_route::PinReason;
use zinniahatch_route::StreamFailover;
use zinniahatch_route::first_event_limit;

/// Time by which bytes of a replica must be younger than those of a connection to show that the
/// connection is dead. Streams send at different moments.
const HEARD_MARGIN: Duration = Duration::from_millis(500);
/// Time for which a silent connection is watched after its replica was heard on another one. A
/// replica that goes on after a silence sends on all of them within it.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Reason of such a retry in logs and counters.
const SILENT_REASON: &str = "silent";

/// The connection that a request waits on, and where it leads.
#[derive(Clone, Debug)]
pub(crate) struct WaitedConnection {
    /// The replica, unless the request was forwarded.
    replica: Option<ReplicaId>,
    /// The node that the request was forwarded to.
    node: Option<NodeId>,
    /// When bytes last arrived, or when the request was sent.
    heard_at: Rc<Cell<Instant>>,
    /// Whether the response has begun.
    answering: bool,
    /// Expected time until the next bytes.
    expected: Duration,
    /// Whether the send is recorded in the progress of the request.
    pub(crate) recorded: bool,
}

impl WaitedConnection {
    /// Describes the connection of a try that begins now.
    pub(crate) fn of_try(placement: &Placement) -> Self {
        let (replica, node) = match placement {
            Placement::Local(choice) => (Some(choice.replica.clone()), None),
            Placement::Remote(choice) => (None, Some(choice.node.clone())),
            Placement::Refuse(..) => (None, None),
        };
        Self {
            replica,
            node,
            heard_at: Rc::new(Cell::new(Instant::now())),
            answering: false,
            expected: placement.expected(),
            recorded: false,
        }
    }

    /// Describes the connection of a request whose response has begun.
    pub(crate) fn of_response(in_flight: &InFlightRequest, progress: &RequestProgress) -> Self {
        Self {
            replica: in_flight.replica().cloned(),
            node: progress.place.node().cloned(),
            heard_at: in_flight.heard_at(),
            answering: true,
            expected: Duration::ZERO,
            recorded: true,
        }
    }

    /// Returns the node that the request was forwarded to, if it was.
    pub(crate) fn node(&self) -> Option<&NodeId> {
        self.node.as_ref()
    }

    /// Returns whether the replica was heard on another connection well after this one.
    fn heard_elsewhere(&self, core: &EntryCore) -> bool {
        let replicas = core.replicas.borrow();
        let state = self.replica.as_ref().and_then(|id| replicas.get(id));
        state.is_some_and(|state| state.health.last_heard() >= self.heard_at.get() + HEARD_MARGIN)
    }

    /// Returns whether the other end can probably be reached on a new connection. A node that can be
    /// chosen sends heartbeats.
    fn may_reconnect(&self, core: &EntryCore) -> bool {
        self.heard_at.get().elapsed() >= first_event_limit(self.expected)
            && (self.node.is_some() || self.heard_elsewhere(core))
    }

    /// Returns whether the request may be silent because it waits for a slot at its replica, or was
    /// preempted there, while others are served.
    fn may_be_queued(&self, core: &EntryCore, placement: &Placement) -> bool {
        let Placement::Local(choice) = placement else {
            return false;
        };
        let replicas = core.replicas.borrow();
        let state = replicas.get(&choice.replica);
        let margin = self.heard_at.get() + HEARD_MARGIN;
        let serves = state.is_some_and(|state| state.health.last_responded() >= margin);
        serves && !choice.slot_wait.is_zero()
    }

    /// Chooses a place for a request as if it had not been sent to the other end of this connection.
    pub(crate) fn choose_again(
        &self,
        core: &EntryCore,
        request: &ReceivedRequest,
        plan: &RequestPlan,
        progress: &mut RequestProgress,
        check_admission: bool,
    ) -> Placement {
        let tried = progress.tried.clone();
        let nodes = progress.remote.nodes.clone();
        if let Some(replica) = &self.replica {
            progress.tried.remove(replica);
        }
        if let Some(node) = &self.node {
            progress.remote.nodes.remove(node);
        }
        let placement = choose_placement(core, request, plan, progress, check_admission);
        progress.tried = tried;
        progress.remote.nodes = nodes;
        placement
    }

    /// Records the send on this connection, unless that was done.
    pub(crate) fn record(
        &mut self,
        core: &EntryCore,
        plan: &RequestPlan,
        progress: &mut RequestProgress,
    ) {
        if !std::mem::replace(&mut self.recorded, true) {
            plan.record_send(core, progress);
        }
    }

    /// Records that the replica was left, which counts as its failure.
    fn record_failure(&self, core: &EntryCore) {
        let mut replicas = core.replicas.borrow_mut();
        if let Some(state) = self.replica.as_ref().and_then(|id| replicas.get_mut(id)) {
            state.health.note_failure(Instant::now());
        }
    }

    /// Logs what tells a replica that is still, a connection that is dead at a live replica, and a
    /// pause of this node apart.
    fn log_silence(
        &self,
        core: &EntryCore,
        request: &ReceivedRequest,
        plan: &RequestPlan,
        late: Duration,
    ) {
        let millis = |time: Duration| time.as_millis() as u64;
        let heard = self.heard_elsewhere(core);
        let replicas = core.replicas.borrow();
        let state = self.replica.as_ref().and_then(|id| replicas.get(id));
        core.metrics.streams.note_silence(&plan.service, heard);
        core.log.write(
            "connection-silent",
            serde_json::json!({"request": request.attempt, "service": plan.service,
                "replica": self.replica, "node": self.node,
                "silent_ms": millis(self.heard_at.get().elapsed()),
                "replica_heard_ms": state.map(|state| millis(state.health.last_heard().elapsed())),
                "heard_elsewhere": heard, "check_late_ms": millis(late)}),
        );
    }
}

/// Why a request stays on a silent connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StayReason {
    /// It may have no other.
    Pinned(PinReason),
    /// Too many tries reached no replica.
    TriesSpent,
    /// The retry budget is spent.
    NoBudget,
    /// No other place takes it.
    NoPlace,
    /// It may be waiting for a slot at its replica.
    Queued,
    /// The replica that would take it does not answer a probe.
    NoAnswer,
}

impl StayReason {
    /// Returns the name used in log lines and counters.
    fn name(self) -> &'static str {
        match self {
            Self::Pinned(reason) => reason.name(),
            Self::TriesSpent => "tries_spent",
            Self::NoBudget => "no_budget",
            Self::NoPlace => "no_place",
            Self::Queued => "queued",
            Self::NoAnswer => "no_answer",
        }
    }
}

/// Finds another place for a request that waits on a silent connection, and charges the retry.
///
/// The place admits the request, and its replica is alive. If there is none, the same replica may get
/// the request on a new connection, provided that it was heard meanwhile and nothing waits there.
async fn find_place(
    core: &Rc<EntryCore>,
    request: &ReceivedRequest,
    plan: &RequestPlan,
    progress: &mut RequestProgress,
    waited: &WaitedConnection,
) -> Result<Placement, StayReason> {
    if let Some(reason) = plan.pin_reason(progress.sends) {
        return Err(StayReason::Pinned(reason));
    }
    if progress.unsent_tries >= MAX_UNSENT_TRIES {
        return Err(StayReason::TriesSpent);
    }
    if !plan.has_charge(core, progress) {
        return Err(StayReason::NoBudget);
    }
    await_quarantine_decision(core, request, plan).await;
    let mut placement = choose_placement(core, request, plan, progress, true);
    if matches!(placement, Placement::Refuse(..)) {
        if !waited.may_reconnect(core) {
            return Err(StayReason::NoPlace);
        }
        placement = waited.choose_again(core, request, plan, progress, true);
        if waited.may_be_queued(core, &placement) {
            return Err(StayReason::Queued);
        }
        sleep(RECONNECT_DELAY).await;
    }
    if !may_take(core, &placement).await {
        return Err(StayReason::NoAnswer);
    }
    if !plan.charge_send(core, request, progress, SILENT_REASON) {
        return Err(StayReason::NoBudget);
    }
    Ok(placement)
}

/// Returns whether a place can be expected to answer: its replica answers a probe. Bytes that arrived a
/// moment ago do not show that, since the replica may have fallen silent after them.
pub(crate) async fn may_take(core: &Rc<EntryCore>, placement: &Placement) -> bool {
    match placement {
        Placement::Local(choice) => is_alive(core, &choice.replica).await,
        Placement::Remote(_) => true,
        Placement::Refuse(..) => false,
    }
}

/// How a silence ended, with what the connection delivered, if anything.
#[derive(Debug)]
pub(crate) enum SilenceEnd<T> {
    /// The connection delivered, or broke and nothing else is left.
    Spoke(T),
    /// Another place answered. The connection was closed or had broken.
    Moved {
        answer: Box<(ResponseHead, InFlightRequest)>,
        broken: Option<T>,
    },
    /// The connection was closed for another place that failed.
    Lost,
}

/// A request that waits for bytes, and what is to be done about their absence.
pub(crate) struct SilenceWait<'a> {
    pub(crate) core: &'a Rc<EntryCore>,
    pub(crate) request: &'a ReceivedRequest,
    pub(crate) plan: &'a RequestPlan,
    pub(crate) progress: &'a mut RequestProgress,
    pub(crate) failover: &'a mut StreamFailover,
    pub(crate) connection: &'a mut WaitedConnection,
    /// Id of the last event that the caller has.
    pub(crate) last_event: Option<&'a str>,
}

impl SilenceWait<'_> {
    /// Waits until `current` delivers; when it is due, looks for another place meanwhile and sends the
    /// request there.
    ///
    /// `broke` tells whether what was delivered is a failure. Dropping `current` closes its
    /// connection.
    pub(crate) async fn run<F: Future>(
        mut self,
        current: F,
        broke: impl Fn(&F::Output) -> bool,
    ) -> SilenceEnd<F::Output> {
        let mut current = Some(Box::pin(current));
        let before = self.progress.places();
        let mut stays = None;
        loop {
            // A silence that may not be left is noticed once.
            let unnoticed = stays.is_none().then(|| self.failover.silent_at());
            let due = self.failover.due_at().or(unnoticed);
            let place = tokio::select! {
                biased;
                done = poll_current(&mut current) => Err(done),
                place = self.seek_when_due(due, &mut stays) => Ok(place),
            };
            let end = match place {
                Err(done) => SilenceEnd::Spoke(done),
                Ok(None) => continue,
                Ok(Some(placement)) => {
                    match self.hand_over(&placement, &mut current, &broke).await {
                        Some(end) => end,
                        None => continue,
                    }
                }
            };
            match &end {
                SilenceEnd::Spoke(done) if !broke(done) => {
                    self.failover.on_bytes(Instant::now());
                    self.progress.restore(before);
                }
                _ => {}
            }
            return end;
        }
    }

    /// Waits until another place is to be looked for, and looks once. `stays` is why the request stayed
    /// where it is when that was last looked into.
    async fn seek_when_due(
        &mut self,
        due: Option<Instant>,
        stays: &mut Option<StayReason>,
    ) -> Option<Placement> {
        wait_until(due).await;
        // A body that is read as a whole delivers nothing until its end, however fast it arrives.
        if self.connection.answering {
            self.failover.on_heard(self.connection.heard_at.get());
            if self.failover.silent_at() > Instant::now() {
                return None;
            }
        }
        let late = due.map_or(Duration::ZERO, |due| due.elapsed());
        let step = self.failover.on_time(Instant::now());
        let (core, request, plan) = (self.core, self.request, self.plan);
        if step == FailoverStep::Wait || stays.is_none() {
            self.connection.log_silence(core, request, plan, late);
        }
        let found = match (self.failover.pin_reason(), step) {
            (Some(reason), _) => Err(StayReason::Pinned(reason)),
            (None, FailoverStep::Seek) => {
                self.connection.record(core, plan, self.progress);
                find_place(core, request, plan, self.progress, self.connection).await
            }
            (None, _) => return None,
        };
        match found {
            Ok(place) => Some(place),
            Err(reason) => {
                if stays.replace(reason) != Some(reason) {
                    self.log_stay(reason);
                }
                self.failover.on_no_place(Instant::now());
                None
            }
        }
    }

    /// Logs why the request stays on its silent connection.
    fn log_stay(&self, reason: StayReason) {
        let (core, request, plan) = (self.core, self.request, self.plan);
        core.metrics.streams.note_stay(&plan.service, reason.name());
        core.log.write(
            "no-failover",
            serde_json::json!({"request": request.attempt, "service": plan.service,
                "reason": reason.name(), "route": plan.route.name,
                "sends": self.progress.sends, "max_sends": plan.max_sends}),
        );
    }

    /// Sends the request to another place while the current connection stays open for a while; returns
    /// `None` if the place did not take it and the connection is still open.
    async fn hand_over<F: Future>(
        &mut self,
        placement: &Placement,
        current: &mut Option<Pin<Box<F>>>,
        broke: &impl Fn(&F::Output) -> bool,
    ) -> Option<SilenceEnd<F::Output>> {
        let (core, request, plan) = (self.core, self.request, self.plan);
        let written = Notify::new();
        let point = ResumePoint {
            last_event: self.last_event,
            began: self.progress.began,
            caller_has_part: false,
            new_connection: true,
            written: Some(&written),
        };
        let place_before = self.progress.place.clone();
        log_resume(core, request, self.progress, point, SILENT_REASON);
        record_try(core, request, plan, self.progress, placement);
        let mut guard = WrittenGuard::new(core, plan, self.progress);
        let mut sending = pin!(send_to(core, request, plan, placement, point));
        let mut broken = None;
        let sent = loop {
            let due = self.failover.due_at();
            tokio::select! {
                biased;
                done = poll_current(current) => {
                    *current = None;
                    if !broke(&done) {
                        return Some(SilenceEnd::Spoke(done));
                    }
                    broken = Some(done);
                }
                sent = &mut sending => break sent,
                () = written.notified(), if !guard.written => {
                    guard.written = true;
                    self.failover.on_sent(Instant::now());
                }
                () = wait_until(due) => {
                    if self.failover.on_time(Instant::now()) == FailoverStep::CloseCurrent {
                        *current = None;
                    }
                }
            }
        };
        guard.settle();
        let answer = record_outcome(core, request, plan, self.progress, placement, sent);
        if let Some(answer) = answer {
            *current = None;
            self.connection.record_failure(core);
            let expected = answer.1.expected;
            self.failover.on_answered(expected, Instant::now());
            if let Some(reason) = plan.pin_reason(self.progress.sends) {
                self.failover.pin(reason);
            }
            let answer = Box::new(answer);
            return Some(SilenceEnd::Moved { answer, broken });
        }
        if current.is_some() {
            self.failover.on_refused(Instant::now());
            self.progress.place = place_before;
            return None;
        }
        Some(broken.map_or(SilenceEnd::Lost, SilenceEnd::Spoke))
    }
}

/// Records a send that was written, if the request ends before its outcome is known.
pub(crate) struct WrittenGuard<'a> {
    core: &'a EntryCore,
    plan: &'a RequestPlan,
    progress: &'a mut RequestProgress,
    pub(crate) written: bool,
}

impl<'a> WrittenGuard<'a> {
    pub(crate) fn new(
        core: &'a EntryCore,
        plan: &'a RequestPlan,
        progress: &'a mut RequestProgress,
    ) -> Self {
        Self {
            core,
            plan,
            progress,
            written: false,
        }
    }

    /// Leaves recording the send to the caller, who knows its outcome.
    pub(crate) fn settle(mut self) {
        self.written = false;
    }
}

impl Drop for WrittenGuard<'_> {
    fn drop(&mut self) {
        if self.written {
            self.plan.record_send(self.core, self.progress);
        }
    }
}

/// Waits for what the current connection delivers; for ever if it was closed.
async fn poll_current<F: Future>(current: &mut Option<Pin<Box<F>>>) -> F::Output {
    match current {
        Some(current) => current.await,
        None => pending().await,
    }
}

/// Waits until a time; for ever if there is none.
async fn wait_until(due: Option<Instant>) {
    match due {
        Some(due) => sleep_until(due.into()).await,
        None => pending().await,
    }
}

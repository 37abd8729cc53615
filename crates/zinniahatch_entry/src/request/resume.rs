//! Resumes a broken stream.

use crate::core::EntryCore;
use crate::replicas::quarantine::await_quarantine_decision;
use crate::request::connection::ResponseHead;
use crate::request::failover::WaitedConnection;
use crate::request::failover::WrittenGuard;
use crate::request::failover::may_take;
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
use bytes::Bytes;
use std::pin::pin;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::sync::mpsc::Sender;
use tokio::time::sleep_until;
use tokio::time::timeout_at;
use zinniahatch_base::prelude::*;
use zinniahatch_route::RemoteAttempts;
use zinniahatch_route::SEEK_INTERVAL;

/// Why a broken stream does not go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AbandonReason {
    /// It had all the sends that its route allows.
    SendsSpent,
    /// Too many tries to go on failed.
    TriesSpent,
    /// No place took it in its time, or the retry budget was spent.
    NoPlace,
    /// Its caller left.
    CallerGone,
    /// Its deadline passed.
    Deadline,
}

impl AbandonReason {
    /// Returns the name used in log lines and counters.
    fn name(self) -> &'static str {
        match self {
            Self::SendsSpent => "sends_spent",
            Self::TriesSpent => "tries_spent",
            Self::NoPlace => "no_place",
            Self::CallerGone => "caller_gone",
            Self::Deadline => "deadline",
        }
    }
}

/// A stream whose connection broke.
pub(crate) struct BrokenStream<'a> {
    /// The connection that broke.
    pub(crate) connection: WaitedConnection,
    /// Id of the last event that the caller has.
    pub(crate) last_event: Option<&'a str>,
    /// Why it broke.
    pub(crate) reason: &'a str,
    /// Closed when the caller leaves.
    pub(crate) caller: &'a Sender<Bytes>,
}

/// Resumes a broken stream, after the last event that the caller has, at another replica or on a new
/// connection to the same one.
///
/// If none takes it, one is looked for until the request or this node ends. A caller that can do better
/// elsewhere leaves, which ends that too, whatever is waited for: a place, a replica or its answer.
///
/// # Errors
///
/// Returns why the stream does not go on.
pub(crate) async fn resume(
    core: &Rc<EntryCore>,
    request: &ReceivedRequest,
    plan: &RequestPlan,
    progress: &mut RequestProgress,
    broken: &BrokenStream<'_>,
) -> Result<InFlightRequest, AbandonReason> {
    progress.broken_since = Some(Instant::now());
    let resumed = tokio::select! {
        biased;
        () = broken.caller.closed() => Err(AbandonReason::CallerGone),
        resumed = seek_and_send(core, request, plan, progress, broken) => resumed,
    };
    match &resumed {
        Ok(_) => progress.broken_since = None,
        Err(reason) => note_abandoned(core, request, plan, progress, *reason),
    }
    resumed
}

/// Looks for a place and sends the rest of the stream there, until a replica goes on with it.
async fn seek_and_send(
    core: &Rc<EntryCore>,
    request: &ReceivedRequest,
    plan: &RequestPlan,
    progress: &mut RequestProgress,
    broken: &BrokenStream<'_>,
) -> Result<InFlightRequest, AbandonReason> {
    let point = ResumePoint {
        last_event: broken.last_event,
        began: progress.began,
        caller_has_part: true,
        new_connection: true,
        written: None,
    };
    // What refused the request before it began may take the rest of it.
    let left = broken.connection.node().cloned();
    progress.remote = RemoteAttempts {
        nodes: left.into_iter().collect(),
        ..RemoteAttempts::default()
    };
    let mut starts = NodeStarts::new(core);
    loop {
        starts.allow_restarted(core, progress);
        if progress.sends >= plan.max_sends {
            return Err(AbandonReason::SendsSpent);
        }
        await_quarantine_decision(core, request, plan).await;
        let Some(placement) = choose_resumption(core, request, plan, progress, broken).await else {
            wait_to_seek(core, plan)
                .await
                .ok_or(AbandonReason::NoPlace)?;
            continue;
        };
        log_resume(core, request, progress, point, broken.reason);
        record_try(core, request, plan, progress, &placement);
        let sending = send_again(core, request, plan, progress, &placement, point);
        let sent = timeout_at(plan.deadline_tokio(), sending)
            .await
            .map_err(|_| AbandonReason::Deadline)?;
        let answer = record_outcome(core, request, plan, progress, &placement, sent);
        if let Some((_, in_flight)) = answer {
            return Ok(in_flight);
        }
        if progress.unsent_tries >= MAX_UNSENT_TRIES {
            wait_to_seek(core, plan)
                .await
                .ok_or(AbandonReason::TriesSpent)?;
        }
    }
}

/// Sends the rest of a stream to a place and reads the head of the response. A send that was written
/// counts as received if this is dropped before the head has arrived.
async fn send_again(
    core: &Rc<EntryCore>,
    request: &ReceivedRequest,
    plan: &RequestPlan,
    progress: &mut RequestProgress,
    placement: &Placement,
    point: ResumePoint<'_>,
) -> Result<(ResponseHead, InFlightRequest), SendFailure> {
    let written = Notify::new();
    let point = ResumePoint {
        written: Some(&written),
        ..point
    };
    let mut guard = WrittenGuard::new(core, plan, progress);
    let mut sending = pin!(send_to(core, request, plan, placement, point));
    let sent = loop {
        tokio::select! {
            biased;
            sent = &mut sending => break sent,
            () = written.notified(), if !guard.written => guard.written = true,
        }
    };
    guard.settle();
    sent
}

/// The starts of other nodes, to tell a node that failed a stream from its next start.
struct NodeStarts(BTreeMap<NodeId, Incarnation>);

impl NodeStarts {
    fn new(core: &EntryCore) -> Self {
        let members = core.members.borrow();
        let starts = members.known();
        Self(
            starts
                .map(|info| (info.node.clone(), info.incarnation))
                .collect(),
        )
    }

    /// Allows another try at each node that has started anew since it failed.
    fn allow_restarted(&mut self, core: &EntryCore, progress: &mut RequestProgress) {
        let members = core.members.borrow();
        let starts = &mut self.0;
        progress.remote.nodes.retain(|node| {
            let Some(info) = members.get(node) else {
                return true;
            };
            starts.insert(node.clone(), info.incarnation) == Some(info.incarnation)
        });
    }
}

/// Waits until another place is to be looked for; `None` if the request or this node would end before.
async fn wait_to_seek(core: &EntryCore, plan: &RequestPlan) -> Option<()> {
    let seek_at = Instant::now() + SEEK_INTERVAL;
    let answers_due = core.answers_due.get().unwrap_or(plan.deadline);
    if seek_at > plan.deadline.min(answers_due) {
        return None;
    }
    sleep_until(seek_at.into()).await;
    Some(())
}

/// Chooses where a broken stream goes on, and charges the retry.
async fn choose_resumption(
    core: &Rc<EntryCore>,
    request: &ReceivedRequest,
    plan: &RequestPlan,
    progress: &mut RequestProgress,
    broken: &BrokenStream<'_>,
) -> Option<Placement> {
    let mut placement = choose_placement(core, request, plan, progress, false);
    if matches!(placement, Placement::Refuse(..)) {
        placement = broken
            .connection
            .choose_again(core, request, plan, progress, false);
    }
    if !may_take(core, &placement).await {
        return None;
    }
    plan.charge_send(core, request, progress, "resumed")
        .then_some(placement)
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

/// Counts and logs a broken stream that does not go on, with the nodes of other regions that could have
/// taken it, and their stages.
fn note_abandoned(
    core: &EntryCore,
    request: &ReceivedRequest,
    plan: &RequestPlan,
    progress: &RequestProgress,
    reason: AbandonReason,
) {
    let streams = &core.metrics.streams;
    streams.note_abandoned(&plan.service, reason.name());
    let members = core.members.borrow();
    let mut nodes = BTreeMap::new();
    for member in members.known() {
        if member.region == core.settings.region || !plan.allows(&member.region) {
            continue;
        }
        nodes.insert(&member.node, member.stage);
    }
    core.log.write(
        "stream-abandoned",
        serde_json::json!({"request": request.attempt, "service": plan.service, "reason": reason.name(),
            "sends": progress.sends, "max_sends": plan.max_sends,
            "tries": progress.unsent_tries, "nodes": nodes}),
    );
}

/// Records how a try to go on elsewhere ended; returns the response if a replica goes on.
pub(crate) fn record_outcome(
    core: &EntryCore,
    request: &ReceivedRequest,
    plan: &RequestPlan,
    progress: &mut RequestProgress,
    placement: &Placement,
    sent: Result<(ResponseHead, InFlightRequest), SendFailure>,
) -> Option<(ResponseHead, InFlightRequest)> {
    let received = match &sent {
        Ok(_) => 1,
        Err(failure) => failure.sends_received(),
    };
    plan.record_received(core, progress, received);
    let failure = match sent {
        Ok(answer) if answer.0.status.is_success() => {
            progress.sends += 1;
            return Some(answer);
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

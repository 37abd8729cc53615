//! Moves a request whose connection is silent to another replica.
//!
//! The connection is kept until another replica can take the request, and under a stream until that
//! replica has answered or had time to refuse.

use crate::core::EntryCore;
use crate::replicas::probe::is_alive;
use crate::replicas::quarantine::await_quarantine_decision;
use crate::request::connection::ConnectionError;
use crate::request::in_flight::InFlightRequest;
use crate::request::placement::Placement;
use crate::request::placement::choose_placement;
use crate::request::placement::record_try;
use crate::request::placement::send_to;
use crate::request::plan::MAX_UNSENT_TRIES;
use crate::request::plan::RequestPlan;
use crate::request::plan::RequestProgress;
use crate::request::plan::ServingPlace;
use crate::request::received::ReceivedRequest;
use crate::request::relay::StreamRelay;
use crate::request::resume::log_resume;
use crate::request::resume::record_outcome;
use crate::request::send::ResumePoint;
use std::future::pending;
use std::net::SocketAddrV4;
use std::pin::pin;
use std::rc::Rc;
use tokio::time::sleep;
use tokio::time::sleep_until;
use zinniahatch_base::prelude::*;
use zinniahatch_route::FailoverStep;
use zinniahatch_route::SendPermit;
use zinniahatch_route::first_event_limit;

/// Age up to which bytes of a replica show that it is alive. Others are probed before a connection is
/// given up for them.
const ALIVE_TIME: Duration = Duration::from_millis(400);
/// Time for which a silent connection is watched after its replica was heard on another one.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Reason of such a retry in logs and counters.
pub(crate) const SILENT_REASON: &str = "silent";

/// The connection that a request waits on, and where it leads.
#[derive(Clone, Debug)]
pub(crate) struct SilentConnection {
    /// The replica, unless the request was forwarded.
    pub(crate) replica: Option<ReplicaId>,
    /// The node that the request was forwarded to.
    pub(crate) node: Option<NodeId>,
    /// The address that it leads to, if it is known.
    pub(crate) address: Option<SocketAddrV4>,
    /// When bytes last arrived, or when the request was sent.
    pub(crate) since: Instant,
    /// Expected time until the next bytes.
    pub(crate) expected: Duration,
}

impl SilentConnection {
    /// Describes the connection of a try that begins now.
    pub(crate) fn of_try(core: &EntryCore, placement: &Placement) -> Self {
        let (replica, node) = match placement {
            Placement::Local(choice) => (Some(choice.replica.clone()), None),
            Placement::Remote(choice) => (None, Some(choice.node.clone())),
            Placement::Refuse(..) => (None, None),
        };
        let replicas = core.replicas.borrow();
        let state = replica.as_ref().and_then(|id| replicas.get(id));
        let members = core.members.borrow();
        let permit = node.as_ref().and_then(|node| members.permit(node));
        let node_address = permit.map(|permit| permit.address());
        Self {
            address: state.map(|state| state.entry.address).or(node_address),
            replica,
            node,
            since: Instant::now(),
            expected: placement.expected(),
        }
    }

    /// Describes the connection of a stream.
    pub(crate) fn of_stream(in_flight: &InFlightRequest, progress: &RequestProgress) -> Self {
        Self {
            replica: in_flight.replica().cloned(),
            node: progress.place.node().cloned(),
            address: Some(in_flight.address()),
            since: in_flight.last_bytes_at(),
            expected: Duration::ZERO,
        }
    }

    /// Returns whether the other end can probably be reached on a new connection: its replica was
    /// heard on another one meanwhile, or its node sends heartbeats, as those do that are chosen.
    fn may_reconnect(&self, core: &EntryCore) -> bool {
        if self.since.elapsed() < first_event_limit(self.expected) {
            return false;
        }
        let replicas = core.replicas.borrow();
        let state = self.replica.as_ref().and_then(|id| replicas.get(id));
        self.node.is_some() || state.is_some_and(|state| state.health.last_heard() > self.since)
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
}

/// Finds another place for a request that waits on a silent connection, and charges the retry.
///
/// The place admits the request, and its replica is alive. If there is none, the same replica may get
/// the request on a new connection, provided that it was heard meanwhile.
pub(crate) async fn find_place(
    core: &Rc<EntryCore>,
    request: &ReceivedRequest,
    plan: &RequestPlan,
    progress: &mut RequestProgress,
    silent: &SilentConnection,
) -> Option<Placement> {
    if progress.sends >= plan.max_sends || progress.unsent_tries >= MAX_UNSENT_TRIES {
        return None;
    }
    await_quarantine_decision(core, request, plan).await;
    let mut placement = choose_placement(core, request, plan, progress, true);
    let refused = matches!(placement, Placement::Refuse(..));
    if refused && silent.may_reconnect(core) {
        placement = silent.choose_again(core, request, plan, progress, true);
        // A replica that goes on after a silence sends on all its connections within this time.
        sleep(RECONNECT_DELAY).await;
    }
    if !may_take(core, &placement).await
        || !plan.charge_send(core, request, progress, SILENT_REASON)
    {
        return None;
    }
    // The idle connections to the same address may be dead too.
    if let Some(address) = silent.address {
        core.pool.close_idle(address);
    }
    Some(placement)
}

/// Returns whether a place can be expected to answer: its replica was heard a moment ago, or answers
/// a probe.
pub(crate) async fn may_take(core: &Rc<EntryCore>, placement: &Placement) -> bool {
    match placement {
        Placement::Local(choice) => {
            was_heard(core, &choice.replica) || is_alive(core, &choice.replica).await
        }
        Placement::Remote(_) => true,
        Placement::Refuse(..) => false,
    }
}

/// Returns whether bytes of a replica arrived a moment ago.
fn was_heard(core: &EntryCore, replica: &str) -> bool {
    let replicas = core.replicas.borrow();
    let state = replicas.get(replica);
    state.is_some_and(|state| state.health.last_heard().elapsed() < ALIVE_TIME)
}

/// What becomes of a stream whose connection was silent.
#[derive(Debug)]
pub(crate) enum FailoverEnd {
    /// It goes on on a connection, the same as before or another one.
    Follow(Box<InFlightRequest>),
    /// Its connection was closed, and the next replica failed.
    Lost,
    /// The caller closed its connection.
    CallerGone,
    /// The deadline passed.
    Deadline,
}

/// Why a move ended before the next replica answered.
enum MoveStop {
    /// Bytes arrived on the connection from before.
    CurrentSpoke,
    /// The caller closed its connection.
    CallerGone,
    /// The deadline passed.
    Deadline,
}

impl StreamRelay {
    /// Looks for another replica for a stream whose connection is silent, and moves it there.
    pub(crate) async fn leave_silent(&mut self, mut current: InFlightRequest) -> FailoverEnd {
        let silent = SilentConnection::of_stream(&current, &self.progress);
        let deadline = self.plan.deadline_tokio();
        let (core, request, plan) = (&self.core, &self.request, &self.plan);
        let seeking = find_place(core, request, plan, &mut self.progress, &silent);
        let place = tokio::select! {
            biased;
            () = self.sender.closed() => return FailoverEnd::CallerGone,
            _ = current.wait_for_bytes() => {
                self.failover.on_bytes(Instant::now());
                return FailoverEnd::Follow(Box::new(current));
            }
            () = sleep_until(deadline) => return FailoverEnd::Deadline,
            place = seeking => place,
        };
        let Some(placement) = place else {
            self.failover.on_no_place(Instant::now());
            return FailoverEnd::Follow(Box::new(current));
        };
        self.move_to(&placement, current).await
    }

    /// Sends the request for the rest of a stream to another replica, and goes on where bytes arrive
    /// first.
    async fn move_to(&mut self, placement: &Placement, current: InFlightRequest) -> FailoverEnd {
        let (core, request, plan) = (
            Rc::clone(&self.core),
            Rc::clone(&self.request),
            Rc::clone(&self.plan),
        );
        let last_event: Option<Box<str>> = self.splitter.last_id().map(Into::into);
        let point = ResumePoint {
            last_event: last_event.as_deref(),
            began: self.progress.began,
        };
        let place_before = self.progress.place.clone();
        log_resume(&core, &request, &self.progress, point, SILENT_REASON);
        record_try(&core, &request, &plan, &mut self.progress, placement);
        self.failover.on_sent(Instant::now());
        let mut current = Some(current);
        let mut sending = pin!(send_to(&core, &request, &plan, placement, point));
        let sent = loop {
            let due = self.failover.due_at();
            let step = tokio::select! {
                biased;
                () = self.sender.closed() => break Err(MoveStop::CallerGone),
                read = wait_for_current(current.as_mut()) => match read {
                    Ok(()) => self.failover.on_bytes(Instant::now()),
                    Err(_) => self.failover.on_break(),
                },
                () = sleep_until(plan.deadline_tokio()) => break Err(MoveStop::Deadline),
                () = wait_until_due(due) => self.failover.on_time(Instant::now()),
                sent = &mut sending => break Ok(sent),
            };
            match step {
                FailoverStep::CloseCurrent => close_silent(current.take()),
                FailoverStep::KeepCurrent => break Err(MoveStop::CurrentSpoke),
                _ => {}
            }
        };
        let sent = match sent {
            Ok(sent) => sent,
            Err(stop) => {
                // The other replica may have received the request.
                plan.record_received(&core, &mut self.progress, 1);
                self.progress.sends += 1;
                return match stop {
                    MoveStop::CurrentSpoke => self.stay(current, place_before),
                    MoveStop::CallerGone => FailoverEnd::CallerGone,
                    MoveStop::Deadline => FailoverEnd::Deadline,
                };
            }
        };
        let next = record_outcome(&core, &request, &plan, &mut self.progress, placement, sent);
        let Some(next) = next else {
            self.failover.on_refused(Instant::now());
            return self.stay(current, place_before);
        };
        close_silent(current);
        self.splitter.discard_partial();
        self.failover.on_answered(next.expected, Instant::now());
        FailoverEnd::Follow(Box::new(next))
    }

    /// Goes on with the connection from before, if it is still open.
    fn stay(&mut self, current: Option<InFlightRequest>, place: ServingPlace) -> FailoverEnd {
        let Some(current) = current else {
            return FailoverEnd::Lost;
        };
        self.progress.place = place;
        FailoverEnd::Follow(Box::new(current))
    }
}

/// Waits until bytes arrive on the current connection; for ever if it was closed.
async fn wait_for_current(current: Option<&mut InFlightRequest>) -> Result<(), ConnectionError> {
    match current {
        Some(current) => current.wait_for_bytes().await,
        None => pending().await,
    }
}

/// Waits until a time; for ever if there is none.
async fn wait_until_due(due: Option<Instant>) {
    match due {
        Some(due) => sleep_until(due.into()).await,
        None => pending().await,
    }
}

/// Closes a connection that was silent, which counts as a failure of its replica.
fn close_silent(current: Option<InFlightRequest>) {
    if let Some(current) = current {
        current.record_failure();
    }
}

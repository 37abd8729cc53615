//! Check whether a replica has crashed after a connection to it broke.
//!
//! Connections break for many reasons: a replica that fails some requests resets them, links lose
//! packets, and leaving replicas close idle connections. Only a refused connection, from a machine
//! that runs but has no listener, counts as a crash. A loss of power is not detected here, since no
//! machine is left to refuse the connection.

use crate::core::EntryCore;
use crate::replicas::part_quarantine::note_part_crash;
use crate::replicas::probe::check_name;
use crate::replicas::quarantine::note_crash;
use crate::request::connection::BackendConnection;
use crate::request::connection::ConnectionError;
use crate::request::in_flight::InFlightRequest;
use crate::request::plan::RequestPlan;
use crate::request::received::ReceivedRequest;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::time::sleep;
use tokio::time::timeout;
use zinniahatch_base::prelude::*;

/// Time limit of the connection attempt. A machine in the same region refuses within a millisecond,
/// and interrupted streams wait for the result before they resume elsewhere.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(60);
/// Time limit of the check whether a response is complete. Its caller has all of the response that there
/// may be, so that a lost packet, or a wait for a slot of the replica, may cost time.
const END_CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// Health checks in this time that do not name their replica, and the pause after each.
const MAX_NAME_CHECKS: usize = 3;
const NAME_CHECK_PAUSE: Duration = Duration::from_millis(100);
/// How long a result is reused. When a replica crashes, all of a node's requests to it break off
/// within a few milliseconds, and one connection attempt answers for all of them.
pub(crate) const CRASH_REUSE_PERIOD: Duration = Duration::from_millis(400);
/// How long a new connection is watched. A process about to exit may still accept one after it
/// closed the others; without the watch the request that crashed it went uncounted, and the
/// requests beside it were quarantined.
const WATCH_PERIOD: Duration = Duration::from_millis(20);
/// Pause after the first connection that closes at once; each further one is twice as long.
const FIRST_CHECK_PAUSE: Duration = Duration::from_millis(2);

/// Handles a connection that broke during a request; the request becomes suspect if its replica
/// crashed.
pub(crate) async fn handle_connection_break(
    core: &Rc<EntryCore>,
    request: &ReceivedRequest,
    plan: &RequestPlan,
    in_flight: &InFlightRequest,
    reason: &str,
) {
    let Some(replica) = in_flight.replica() else {
        return;
    };
    let ran = in_flight.time_in_flight();
    let answered = in_flight.answered_for();
    in_flight.log_break(request, reason);
    if let Some(tag) = find_crash(core, in_flight).await {
        in_flight.update_replica(|state| state.health.note_unreachable(Instant::now()));
        note_part_crash(core, request, plan, replica, tag, answered);
        note_crash(core, request, replica, tag, ran);
    }
}

/// What an address shows of the process that listened there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListenerState {
    /// It answers, or listens and keeps connections.
    Listening,
    /// It has ended: the machine refuses connections.
    Ended,
    /// Nothing is known of it.
    Unknown,
}

impl ListenerState {
    /// Returns the name used in log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Listening => "listening",
            Self::Ended => "ended",
            Self::Unknown => "unknown",
        }
    }
}

/// Checks whether the other end of a request still runs, now that the response has ended.
///
/// An earlier result would not do, since the process may have ended after it, nor does it matter
/// whether the replica was to leave: that is when it ends. A connection alone shows nothing, since
/// something before the replica may accept it.
pub(crate) async fn check_after_end(
    core: &EntryCore,
    in_flight: &InFlightRequest,
    service: &str,
    limit: Duration,
) -> ListenerState {
    if in_flight.is_replica_reborn() {
        return ListenerState::Ended;
    }
    let (address, limit) = (in_flight.address(), limit.min(END_CHECK_TIMEOUT));
    let Some(replica) = in_flight.replica() else {
        return ListenerState::Unknown;
    };
    let path = core.service(service).map(|service| service.health_path);
    let asking = ask_name(core, replica, address, path.as_deref().unwrap_or_default());
    timeout(limit, asking)
        .await
        .unwrap_or(ListenerState::Unknown)
}

/// Asks an address for the name of the replica behind it. A replica that is full may refuse to tell it,
/// and one with too many connections resets the new one.
async fn ask_name(
    core: &EntryCore,
    replica: &ReplicaId,
    address: SocketAddrV4,
    path: &str,
) -> ListenerState {
    for _ in 0..MAX_NAME_CHECKS {
        match check_name(core, replica, address, path).await {
            Ok(Some(named)) if named == *replica => return ListenerState::Listening,
            Ok(Some(_)) | Err(ConnectionError::Refused) => return ListenerState::Ended,
            Ok(None) | Err(_) => sleep(NAME_CHECK_PAUSE).await,
        }
    }
    ListenerState::Unknown
}

/// Returns the tag of a request's replica if that has crashed.
///
/// A replica that announced that it is leaving may end during its requests, and none of them is the
/// cause.
pub(crate) async fn find_crash(
    core: &Rc<EntryCore>,
    in_flight: &InFlightRequest,
) -> Option<ShortTag> {
    let (tag, address) = {
        let replicas = core.replicas.borrow();
        let state = replicas.get(in_flight.replica()?)?;
        if state.leaving.is_some() {
            return None;
        }
        (state.tag, state.entry.address)
    };
    let check = core.crash_checks.check(address, Instant::now());
    let refused = *check.get_or_init(|| detect_crash(core, address)).await;
    // It may have announced its leave, or started again, during the check.
    let replicas = core.replicas.borrow();
    let state = replicas.get(in_flight.replica()?);
    let leaves = state.is_some_and(|state| state.tag == tag && state.leaving.is_some());
    (refused && !leaves).then_some(tag)
}

/// Checks whether an address has a listener that keeps a connection, again and again while it closes them
/// at once: that is what a process does that is about to end, and something before one that has.
async fn check_listener(address: SocketAddrV4, limit: Duration) -> ListenerState {
    let deadline = Instant::now() + limit;
    let mut pause = FIRST_CHECK_PAUSE;
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        match BackendConnection::connect(address, left).await {
            Err(ConnectionError::Refused) => return ListenerState::Ended,
            Err(_) => return ListenerState::Unknown,
            Ok(connection) if connection.closes_within(WATCH_PERIOD).await => {}
            Ok(_) => return ListenerState::Listening,
        }
        if Instant::now() + pause >= deadline {
            return ListenerState::Unknown;
        }
        sleep(pause).await;
        pause *= 2;
    }
}

async fn detect_crash(core: &Rc<EntryCore>, address: SocketAddrV4) -> bool {
    let refused = check_listener(address, CONNECT_TIMEOUT).await == ListenerState::Ended;
    if refused {
        core.pool.close_idle(address);
        core.metrics.note_replica_crash();
        core.log.write(
            "replica-ended",
            serde_json::json!({"address": address.to_string()}),
        );
    }
    refused
}

//! Health probes of replicas under suspicion and of those that may be cold; others are not probed,
//! since each probe costs the replica a request.

use crate::core::EntryCore;
use crate::replicas::notice::apply_probe_notice;
use crate::replicas::send_admission::permit_send;
use crate::replicas::send_admission::reserve_send;
use crate::request::connection::BackendConnection;
use crate::request::connection::ConnectionError;
use crate::request::connection::ResponseHead;
use crate::request::framing::BodyEnd;
use bytes::Bytes;
use http::Method;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::time::sleep;
use tokio::time::timeout;
use zinniahatch_base::prelude::*;
use zinniahatch_route::ReplicaIncarnation;
use zinniahatch_route::ReplicaPermit;
use zinniahatch_route::ReplicaState;
use zinniahatch_route::SendPermit;
use zinniahatch_route::SendRefusal;
use zinniahatch_route::SendReservation;

/// Interval between probes of a replica.
const PROBE_INTERVAL: Duration = Duration::from_millis(600);
/// How long the result of a probe is reused by requests that look for another replica at the same
/// time.
pub(crate) const PROBE_REUSE_PERIOD: Duration = Duration::from_millis(100);
/// Time limit of a probe; a health check takes a millisecond.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Probes such replicas until the process ends.
pub(crate) async fn run_probes(core: Rc<EntryCore>) {
    loop {
        sleep(PROBE_INTERVAL).await;
        for (incarnation, path) in unsure_replicas(&core) {
            // Probes need a reservation too, since every node with requests at a silent replica
            // suspects it, and a cold one takes few requests.
            let Ok(reservation) = reserve_send(&core, &incarnation.id, Instant::now()) else {
                continue;
            };
            core.spawn_task(
                "probe",
                probe(Rc::clone(&core), incarnation, reservation, path),
            );
        }
    }
}

fn unsure_replicas(core: &EntryCore) -> Vec<(ReplicaIncarnation, Box<str>)> {
    let now = Instant::now();
    let replicas = core.replicas.borrow();
    replicas
        .rows()
        .filter(|state| state.leaving.is_none())
        .filter(|state| state.health.is_suspect(now) || state.doubts_warmth(now))
        .filter(|state| {
            core.settings.regions.get(&state.entry.data_centre) == Some(&core.settings.region)
        })
        .map(probe_target(core))
        .collect()
}

/// Returns a function that names a replica and the path of its health check.
pub(crate) fn probe_target(
    core: &EntryCore,
) -> impl Fn(&ReplicaState) -> (ReplicaIncarnation, Box<str>) {
    |state| {
        let service = core.service(&state.entry.service);
        let path = service.map(|service| service.health_path);
        (state.entry.incarnation(), path.unwrap_or_default())
    }
}

/// Returns whether a replica answers a probe, which all requests share that ask within a moment.
pub(crate) async fn is_alive(core: &Rc<EntryCore>, replica: &str) -> bool {
    let address = core
        .replicas
        .borrow()
        .get(replica)
        .map(|state| state.entry.address);
    let Some(address) = address else {
        return false;
    };
    let check = core.alive_checks.check(address, Instant::now());
    *check.get_or_init(|| probe_now(core, replica)).await
}

async fn probe_now(core: &Rc<EntryCore>, replica: &str) -> bool {
    let known = core.replicas.borrow().get(replica).map(probe_target(core));
    let Some((incarnation, path)) = known else {
        return false;
    };
    let Ok(reservation) = reserve_send(core, replica, Instant::now()) else {
        return false;
    };
    probe(Rc::clone(core), incarnation, reservation, path).await
}

/// Probes a replica and returns whether it answered.
async fn probe(
    core: Rc<EntryCore>,
    incarnation: ReplicaIncarnation,
    reservation: SendReservation,
    path: Box<str>,
) -> bool {
    let sent = Instant::now();
    let address = reservation.address();
    let response = timeout(PROBE_TIMEOUT, send_probe(&core, reservation, &path)).await;
    if let Ok(Err(error)) = &response {
        core.note_excess(address, Some(&incarnation.id), error);
    }
    let alive = matches!(response, Ok(Ok(_)));
    let mut is_warm = false;
    if let Ok(Ok(head)) = &response {
        apply_probe_notice(&core, &incarnation, head, sent);
        is_warm = names_no_cold_time(&incarnation, head);
    }
    let now = Instant::now();
    let mut replicas = core.replicas.borrow_mut();
    match response {
        Err(_) | Ok(Err(ConnectionError::Connect(_))) => {
            replicas.note_unanswered_probe(&incarnation, sent, now);
        }
        Ok(result) => {
            replicas.note_probe(&incarnation, result.is_ok(), now);
            if is_warm {
                replicas.note_warm(&incarnation, sent);
            }
        }
    }
    drop(replicas);
    core.log.write(
        "probe",
        serde_json::json!({"replica": incarnation.id, "born_ms": incarnation.started_ms,
            "sound": alive, "warm": is_warm}),
    );
    alive
}

/// Asks a replica for its name with a health check; `None` if the response names none.
///
/// # Errors
///
/// There is no response, or the replica may be sent nothing now.
pub(crate) async fn check_name(
    core: &EntryCore,
    replica: &ReplicaId,
    address: SocketAddrV4,
    path: &str,
) -> Result<Option<ReplicaId>, ConnectionError> {
    let withheld = |refusal: SendRefusal| ConnectionError::Broken(refusal.name().into());
    let leaving_permit = || {
        core.replicas
            .borrow()
            .permit_leaving_check(replica, address)
    };
    let reservation = if leaving_permit().is_some() {
        None
    } else {
        Some(reserve_send(core, replica, Instant::now()).map_err(withheld)?)
    };
    let connection = BackendConnection::connect(address, PROBE_TIMEOUT).await?;
    let permit = match reservation {
        Some(reservation) => permit_send(core, reservation).map_err(withheld)?,
        None => leaving_permit().ok_or_else(|| withheld(SendRefusal::Gone))?,
    };
    let head = exchange_probe(connection, permit, path).await?;
    Ok(head.parsed_headers.replica)
}

/// Returns whether a response to a health check comes from a replica incarnation that is warm.
///
/// A head without a length or chunks may have been ended early, and lack the line that says otherwise.
fn names_no_cold_time(incarnation: &ReplicaIncarnation, head: &ResponseHead) -> bool {
    let parsed = &head.parsed_headers;
    let cold_for = parsed.notice.cold_for.unwrap_or_default();
    head.status.is_success()
        && head.body_end != BodyEnd::ConnectionClose
        && parsed.replica.as_ref() == Some(&incarnation.id)
        && cold_for.is_zero()
}

/// Sends a probe to a replica and returns the head of the response.
pub(crate) async fn send_probe(
    core: &EntryCore,
    reservation: SendReservation,
    path: &str,
) -> Result<ResponseHead, ConnectionError> {
    let connection = BackendConnection::connect(reservation.address(), PROBE_TIMEOUT).await?;
    let permit = permit_send(core, reservation)
        .map_err(|refusal| ConnectionError::Broken(refusal.name().into()))?;
    exchange_probe(connection, permit, path).await
}

async fn exchange_probe(
    mut connection: BackendConnection,
    permit: ReplicaPermit,
    path: &str,
) -> Result<ResponseHead, ConnectionError> {
    let address = permit.address();
    let head = format!("GET {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
    connection
        .send(permit, head.as_bytes(), &Bytes::new())
        .await?;
    // Any response shows that the replica is alive. The health status that it reports may be wrong
    // either way, so whether it serves is judged by its answers to requests.
    connection.read_head(&Method::GET, "").await
}

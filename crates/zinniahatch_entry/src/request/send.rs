//! Sends a request to a replica or to another node.

use crate::auth::identity::key_still_valid;
use crate::core::EntryCore;
use crate::replicas::crash_detection::handle_connection_break;
use crate::replicas::notice::apply_response_notice;
use crate::replicas::quarantine::await_quarantine;
use crate::replicas::quarantine::check_quarantine;
use crate::replicas::quarantine::decision_delay;
use crate::replicas::send_admission::permit_send;
use crate::replicas::send_admission::reserve_send;
use crate::request::connection::BackendConnection;
use crate::request::connection::ConnectionError;
use crate::request::connection::ResponseHead;
use crate::request::gateway_response::gateway_code;
use crate::request::gateway_response::reports_not_run;
use crate::request::gateway_response::retry_hint;
use crate::request::gateway_response::uncharged_sends;
use crate::request::in_flight::AssignedWork;
use crate::request::in_flight::InFlightRequest;
use crate::request::late_stop::refuse_late;
use crate::request::plan::RequestPlan;
use crate::request::pool::PoolError;
use crate::request::received::ReceivedRequest;
use http::HeaderMap;
use http::HeaderName;
use http::StatusCode;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::sync::Notify;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::ReplicaRequestHeaders;
use zinniahatch_platform::write_forwarded_request;
use zinniahatch_platform::write_replica_request;
use zinniahatch_route::InFlightWork;
use zinniahatch_route::LeaveReason;
use zinniahatch_route::LocalPlacement;
use zinniahatch_route::RemotePlacement;
use zinniahatch_route::SendPermit;
use zinniahatch_route::SendRefusal;
use zinniahatch_route::StreamOrigin;

/// Header of a forwarded request: version of the desired state by which the sending node chose.
pub(crate) const FORWARDED_VERSION: &str = "zinnia-version";
/// Header of a forwarded request: the chosen service.
pub(crate) const FORWARDED_SERVICE: &str = "zinnia-service";
/// Header of a forwarded request: the client account it is served for.
pub(crate) const FORWARDED_ACCOUNT: &str = "zinnia-account";
/// Header of a forwarded request: digest of the API key by which the account was found.
pub(crate) const FORWARDED_KEY: &str = "zinnia-key";
/// Header of a forwarded request: tag of the only software version that may serve it.
pub(crate) const FORWARDED_SOFTWARE: &str = "zinnia-software";
/// Header of a forwarded request whose caller has a part of the response.
pub(crate) const FORWARDED_BEGUN: &str = "zinnia-begun";
/// Header of the response to a forwarded request: tag of the replica's software version.
pub(crate) const SERVED_SOFTWARE: HeaderName = HeaderName::from_static("x-zinnia-software");
/// Header of a forwarded request: milliseconds spent on it so far.
pub(crate) const FORWARDED_SPENT: &str = "zinnia-spent-ms";
/// Maximum number of connections to one other node.
const MAX_PEER_CONNECTIONS: usize = 500;

/// Where a stream goes on that its caller has a part of.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResumePoint<'a> {
    /// Id of the last event that the caller has.
    pub(crate) last_event: Option<&'a str>,
    /// What began the stream.
    pub(crate) began: Option<StreamOrigin>,
    /// Whether the caller has a part of the response to this request.
    pub(crate) caller_has_part: bool,
    /// Whether the request goes on a connection that is not known to have worked before.
    pub(crate) new_connection: bool,
    /// Notified when the request is about to be written.
    pub(crate) written: Option<&'a Notify>,
}

impl ResumePoint<'_> {
    /// Opens or reuses a connection for the request.
    async fn connect(
        &self,
        core: &EntryCore,
        address: SocketAddrV4,
        limit: usize,
    ) -> Result<BackendConnection, PoolError> {
        if self.new_connection {
            return core.pool.open(address, limit).await;
        }
        core.pool.acquire(address, limit, Instant::now()).await
    }

    fn note_written(&self) {
        if let Some(written) = self.written {
            written.notify_one();
        }
    }

    /// Returns whether a replica of a software version may go on with the stream.
    fn allows(&self, version: Option<ShortTag>) -> bool {
        self.began
            .is_none_or(|began| version == Some(began.version))
    }
}

/// Why a request got no response.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum SendFailure {
    /// Nothing was sent.
    NotSent(Box<str>),
    /// The replica guarantees that it did not run the request. May carry a retry hint.
    NotRun(Option<Duration>),
    /// Another node guarantees that the request did not run. It reports the sends that replicas may
    /// have received and that it did not charge to its retry budget. A node that is `leaving` says
    /// nothing of the others of its region.
    RefusedByNode {
        leaving: bool,
        retry: Option<Duration>,
        uncharged_sends: u32,
    },
    /// A different replica answers at the address. It did not run the request.
    WrongReplica,
    /// The caller's API key has been revoked, so the request was not sent.
    KeyRevoked,
    /// Replicas crashed while running the request, so it was not sent. It stays quarantined for the
    /// given time.
    Quarantined(Duration),
    /// The request may have run.
    Unknown(Box<str>),
}

impl SendFailure {
    /// Returns how many sends replicas may have received that no retry budget was charged for.
    pub(crate) fn sends_received(&self) -> u32 {
        match self {
            Self::NotSent(_) | Self::KeyRevoked | Self::Quarantined(_) => 0,
            Self::NotRun(_) | Self::WrongReplica | Self::Unknown(_) => 1,
            Self::RefusedByNode {
                uncharged_sends, ..
            } => *uncharged_sends,
        }
    }
}

/// A forwarded request whose response has not begun.
///
/// Dropping it records that this node gave up waiting.
struct PendingForward<'a> {
    core: &'a EntryCore,
    region: &'a RegionId,
    ticket: u64,
}

impl<'a> PendingForward<'a> {
    fn new(core: &'a EntryCore, region: &'a RegionId) -> Self {
        let ticket = core.next_ticket();
        let mut paths = core.region_paths.borrow_mut();
        paths.note_sent(region, ticket, Instant::now());
        Self {
            core,
            region,
            ticket,
        }
    }

    fn note_response(&self) {
        let mut paths = self.core.region_paths.borrow_mut();
        paths.note_response(self.region, self.ticket, Instant::now());
    }
}

impl Drop for PendingForward<'_> {
    fn drop(&mut self) {
        let mut paths = self.core.region_paths.borrow_mut();
        paths.note_abandoned(self.region, self.ticket);
    }
}

/// Sends a request to a replica of this region and reads the head of the response.
pub(crate) async fn send_local(
    core: &Rc<EntryCore>,
    request: &ReceivedRequest,
    plan: &RequestPlan,
    choice: &LocalPlacement,
    point: ResumePoint<'_>,
) -> Result<(ResponseHead, InFlightRequest), SendFailure> {
    let now = Instant::now();
    let reservation = reserve_send(core, &choice.replica, now).map_err(not_sent)?;
    let (address, version) = (reservation.address(), reservation.version());
    if !point.allows(version) {
        return Err(SendFailure::NotSent("withheld: other version".into()));
    }
    let copy_from = {
        let replicas = core.replicas.borrow();
        let source = choice.copy_from.as_ref().and_then(|id| replicas.get(id));
        source.map(|source| source.entry.address)
    };
    let mut in_flight = InFlightRequest::new(core, address, &plan.service, choice.expected);
    in_flight.software = version;
    in_flight.assigned = Some(assign(core, request, plan, choice, now));
    let limit = core.connection_share(&plan.service);
    let connection = match point.connect(core, address, limit).await {
        Ok(connection) => connection,
        Err(error) => return Err(connect_failure(core, &in_flight, &error)),
    };
    let headers = plan.upstream_headers(request);
    let head = write_replica_request(
        &request.method,
        &request.path,
        &headers,
        &ReplicaRequestHeaders {
            time_left: plan.deadline.saturating_duration_since(Instant::now()),
            replica: &choice.replica,
            rank: plan.rank,
            account: plan.account_name(),
            last_event: point.last_event,
            copy_from,
        },
        request.body.len(),
    );
    let used = connection.was_used();
    in_flight.connection = Some(connection);
    // The key may have been revoked while the request waited for the connection.
    if !key_still_valid(core, plan.identity.as_ref()) {
        return Err(SendFailure::KeyRevoked);
    }
    if let Some(left) = check_quarantine(core, request, plan) {
        return Err(SendFailure::Quarantined(left));
    }
    // The last crash may have been reported while the request waited for the connection.
    if decision_delay(core, request, plan).is_some() {
        core.metrics.notices.note_withheld("undecided");
        in_flight.return_connection();
        return Err(SendFailure::NotSent(
            "withheld: quarantine is undecided".into(),
        ));
    }
    // The stop may have begun, or gone on, while the request waited for the connection.
    if refuse_late(core, request, plan, point.began, choice).is_some() {
        in_flight.return_connection();
        return Err(too_late());
    }
    let permit = match permit_send(core, reservation) {
        Ok(permit) => permit,
        Err(refusal) => {
            in_flight.return_connection();
            return Err(not_sent(refusal));
        }
    };
    point.note_written();
    let exchanged = tokio::select! {
        biased;
        exchanged = in_flight.exchange(permit, request, &head) => exchanged,
        // The request is still in the replica's queue and would crash yet another replica if it ran
        // there. Replicas discard queued requests whose connection closes.
        () = await_quarantine(core, request, plan) => {
            return Err(SendFailure::Unknown("quarantined while queued at the replica".into()));
        }
    };
    match exchanged {
        Ok(head) => classify_response(core, request, choice, head, in_flight),
        Err(error) => {
            let excess = matches!(error, ConnectionError::Excess(_));
            // A break of a reused connection says little about the replica, which may have closed
            // it as idle.
            if excess || !used {
                in_flight.record_failure();
            }
            if !excess {
                handle_connection_break(core, request, plan, &in_flight, &error.to_string()).await;
            }
            core.pool.close_idle(address);
            Err(SendFailure::Unknown(error.to_string().into()))
        }
    }
}

fn too_late() -> SendFailure {
    SendFailure::NotSent("withheld: this node stops before the answer ends".into())
}

fn not_sent(refusal: SendRefusal) -> SendFailure {
    SendFailure::NotSent(format!("withheld: {}", refusal.name()).into())
}

fn assign(
    core: &Rc<EntryCore>,
    request: &ReceivedRequest,
    plan: &RequestPlan,
    choice: &LocalPlacement,
    now: Instant,
) -> AssignedWork {
    let ticket = core.next_ticket();
    let mut replicas = core.replicas.borrow_mut();
    let tokens_ahead = replicas
        .get(&choice.replica)
        .map_or(0, |state| state.total_work(now).tokens_ahead(plan.urgent));
    let work = InFlightWork {
        requests: 1,
        tokens: choice.tokens,
        urgent_requests: u32::from(plan.urgent),
        urgent_tokens: if plan.urgent { choice.tokens } else { 0 },
    };
    replicas.note_sent(
        &choice.replica,
        ticket,
        &request.size,
        work,
        plan.spec.kv_tokens,
        now,
    );
    core.work_changed.notify_one();
    AssignedWork {
        replica: choice.replica.clone(),
        ticket,
        work,
        tokens_ahead,
        slot_wait: choice.slot_wait,
        urgent: plan.urgent,
        cold: choice.cold,
        response_began: false,
    }
}

fn connect_failure(
    core: &EntryCore,
    in_flight: &InFlightRequest,
    error: &PoolError,
) -> SendFailure {
    match error {
        PoolError::Full => SendFailure::NotSent("this node's connections are in use".into()),
        PoolError::Unreached(error) => {
            let now = Instant::now();
            in_flight.update_replica(|state| state.health.note_unreachable(now));
            core.log.write(
                "replica-unreached",
                serde_json::json!({"replica": in_flight.replica(), "error": error.to_string()}),
            );
            SendFailure::NotSent(error.to_string().into())
        }
    }
}

/// Separates response heads that guarantee that the request did not run from all others.
fn classify_response(
    core: &Rc<EntryCore>,
    request: &ReceivedRequest,
    choice: &LocalPlacement,
    head: ResponseHead,
    in_flight: InFlightRequest,
) -> Result<(ResponseHead, InFlightRequest), SendFailure> {
    let now = Instant::now();
    apply_response_notice(core, request, &in_flight, &head);
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        in_flight.update_replica(|state| state.leaving = Some(LeaveReason::Replaced));
        core.log.write(
            "replica-replaced",
            serde_json::json!({"replica": choice.replica, "answered_by": head.parsed_headers.replica})
        );
        return Err(SendFailure::WrongReplica);
    }
    in_flight.update_replica(|state| state.health.note_bytes(now));
    if head.parsed_headers.not_run {
        // The `Retry-After` of a 503 concerns this replica only. Others may be free.
        let refused = head.status == StatusCode::SERVICE_UNAVAILABLE;
        let hint = retry_hint(&head.headers).filter(|_| !refused);
        if head.status == StatusCode::BAD_REQUEST {
            return Ok((head, in_flight));
        }
        let backoff = head.parsed_headers.notice.backoff.time();
        if backoff.unwrap_or_default().is_zero() {
            in_flight.update_replica(|state| state.health.note_refusal(now));
        }
        return Err(SendFailure::NotRun(hint));
    }
    if promises_not_run(head.status) {
        in_flight.record_failure();
        return Err(unmarked_refusal(head.status));
    }
    Ok((head, in_flight))
}

/// Returns whether callers take a status for the promise that a request has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// A status that promises what nothing else in the response says.
fn unmarked_refusal(status: StatusCode) -> SendFailure {
    SendFailure::Unknown(
        format!("status {status} without a mark that the request did not run").into(),
    )
}

/// Returns the software version that another node says has served a request.
fn served_software(headers: &HeaderMap) -> Option<ShortTag> {
    let value = headers.get(&SERVED_SOFTWARE)?.to_str().ok()?;
    value.parse().ok()
}

/// Forwards a request to a node of another region and reads the head of the response.
pub(crate) async fn forward(
    core: &Rc<EntryCore>,
    request: &ReceivedRequest,
    plan: &RequestPlan,
    choice: &RemotePlacement,
    point: ResumePoint<'_>,
) -> Result<(ResponseHead, InFlightRequest), SendFailure> {
    let now = Instant::now();
    let permit = core.members.borrow().permit(&choice.node);
    let permit = permit.ok_or_else(|| SendFailure::NotSent("the node is gone".into()))?;
    let address = permit.address();
    let mut in_flight = InFlightRequest::new(core, address, &plan.service, choice.expected);
    let connection = match point.connect(core, address, MAX_PEER_CONNECTIONS).await {
        Ok(connection) => connection,
        Err(error) => {
            core.members
                .borrow_mut()
                .note_unreachable(&choice.node, now);
            return Err(SendFailure::NotSent(format!("{error:?}").into()));
        }
    };
    if !key_still_valid(core, plan.identity.as_ref()) {
        core.pool.release(address, connection, now);
        return Err(SendFailure::KeyRevoked);
    }
    if refuse_late(core, request, plan, point.began, choice).is_some() {
        core.pool.release(address, connection, now);
        return Err(too_late());
    }
    let spent = now.saturating_duration_since(request.arrived);
    let mut forward_headers: Vec<(&'static str, Box<str>)> = vec![
        (FORWARDED_VERSION, plan.version.to_string().into()),
        (FORWARDED_SERVICE, plan.service.clone()),
        (FORWARDED_SPENT, spent.as_millis().to_string().into()),
    ];
    if let Some(began) = point.began {
        forward_headers.push((FORWARDED_SOFTWARE, began.version.to_string().into()));
    }
    if point.caller_has_part {
        forward_headers.push((FORWARDED_BEGUN, "1".into()));
    }
    if let Some(identity) = &plan.identity {
        forward_headers.push((FORWARDED_ACCOUNT, identity.account.name.clone()));
        forward_headers.push((FORWARDED_KEY, identity.key.hex()));
    }
    let headers = plan.upstream_headers(request);
    let head = write_forwarded_request(
        &request.method,
        &request.path,
        &headers,
        plan.deadline.saturating_duration_since(Instant::now()),
        point.last_event,
        &forward_headers,
        request.body.len(),
    );
    core.metrics
        .messages
        .note_stream("forward", head.len() + request.body.len());
    in_flight.connection = Some(connection);
    let pending = PendingForward::new(core, &choice.region);
    point.note_written();
    let response = in_flight.exchange(permit, request, &head).await;
    if response.is_ok() {
        pending.note_response();
    }
    let head = match response {
        Ok(head) => head,
        Err(error) => {
            core.pool.close_idle(address);
            return Err(SendFailure::Unknown(error.to_string().into()));
        }
    };
    if gateway_code(&head.headers).is_none() {
        if promises_not_run(head.status) {
            return Err(unmarked_refusal(head.status));
        }
        in_flight.software = served_software(&head.headers);
        // A node of an earlier version does not know which version it was asked for.
        if head.status.is_success() && !point.allows(in_flight.software) {
            return Err(SendFailure::Unknown(
                "the other node may have used another version".into(),
            ));
        }
        return Ok((head, in_flight));
    }
    let hint = retry_hint(&head.headers);
    let not_run = reports_not_run(&head.headers);
    // The short body is read so that the connection can be reused.
    if in_flight.discard_body().await.is_ok() {
        in_flight.finish(true);
    }
    if not_run && gateway_code(&head.headers) == Some(ResultCode::RequestQuarantined.number()) {
        return Err(SendFailure::Quarantined(hint.unwrap_or_default()));
    }
    if not_run && gateway_code(&head.headers) == Some(ResultCode::BadCredential.number()) {
        return Err(SendFailure::KeyRevoked);
    }
    if not_run {
        return Err(SendFailure::RefusedByNode {
            leaving: gateway_code(&head.headers) == Some(ResultCode::NodeLeaving.number()),
            retry: hint,
            uncharged_sends: uncharged_sends(&head.headers),
        });
    }
    Err(SendFailure::Unknown(
        "outcome unknown to the other node".into(),
    ))
}

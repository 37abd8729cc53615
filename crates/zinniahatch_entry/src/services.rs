//! The listeners: callers, other nodes, directory, readiness, control.

use crate::answer::AnswerBody;
use crate::core::ACQUAINT_TIME;
use crate::core::EntryCore;
use crate::core::StopPhase;
use crate::ingress::CallerSide;
use crate::ingress::answer;
use crate::ingress::limits;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use rand::seq::SliceRandom;
use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::READINESS_PATH;
use zinniahatch_platform::RESOLVE_PATH;
use zinniahatch_platform::decode_resolve;
use zinniahatch_platform::encode_resolved;
use zinniahatch_route::MemberTable;

/// Addresses that one answer of the directory names at most.
const MOST_ADDRESSES: usize = 64;
/// Time that an idle channel stays open beyond what callers are told.
const IDLE_SLACK: Duration = Duration::from_secs(2);
/// Connections that wait to be accepted; a burst beyond it would wait for a second packet.
const BACKLOG: u32 = 1024;
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Smallest buffer that the HTTP library takes for a head.
const LEAST_HEAD: usize = 8 << 10;

/// What a listener is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListenerDuty {
    /// Requests.
    Calls(CallerSide),
    /// Which entry VM to use.
    Directory,
    /// Whether this one takes callers.
    Readiness,
    /// Metrics.
    Control,
}

/// Opens a listener.
///
/// # Errors
///
/// The address cannot be used.
pub(crate) fn bind(address: SocketAddrV4) -> std::io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address.into())?;
    socket.listen(BACKLOG)
}

/// Accepts connections until the process ends.
pub(crate) async fn run_listener(core: Rc<EntryCore>, listener: TcpListener, duty: ListenerDuty) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(run_connection(Rc::clone(&core), stream, duty));
            }
            Err(error) => {
                core.log.write(
                    "accept-failed",
                    serde_json::json!({"duty": format!("{duty:?}"), "error": error.to_string()}),
                );
                // Descriptors may have run out; they come back as connections end.
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn run_connection(core: Rc<EntryCore>, stream: TcpStream, duty: ListenerDuty) {
    // A connection without this option would still work, only later.
    let _ = stream.set_nodelay(true);
    let limits = limits(&core);
    let mut phases = core.phase.subscribe();
    let service = {
        let core = Rc::clone(&core);
        service_fn(move |request| {
            let core = Rc::clone(&core);
            async move { Ok::<_, Infallible>(respond(core, duty, request).await) }
        })
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout + IDLE_SLACK)
        .max_buf_size(limits.max_header_bytes.max(LEAST_HEAD) + LEAST_HEAD)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let closing = phases.wait_for(|phase| *phase == StopPhase::Closing);
    // A connection ends with an error when its caller leaves, which is no news.
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = closing => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

async fn respond(
    core: Rc<EntryCore>,
    duty: ListenerDuty,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    match duty {
        ListenerDuty::Calls(side) => answer(core, side, request).await,
        ListenerDuty::Directory => resolve(&core, &request),
        ListenerDuty::Readiness => readiness(&core, request.uri().path()),
        ListenerDuty::Control => control(&core, request.uri().path()),
    }
}

fn plain(
    status: StatusCode,
    kind: &'static str,
    body: impl Into<bytes::Bytes>,
) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

fn readiness(core: &EntryCore, path: &str) -> Response<AnswerBody> {
    let status = if path != READINESS_PATH {
        StatusCode::NOT_FOUND
    } else if core.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    plain(status, "text/plain", "")
}

fn control(core: &EntryCore, path: &str) -> Response<AnswerBody> {
    if path != METRICS_PATH {
        return plain(StatusCode::NOT_FOUND, "text/plain", "");
    }
    let text = core.metrics.text(core.pool.open());
    plain(StatusCode::OK, "text/plain; version=0.0.4", text)
}

/// Names the living nodes of the caller's region, or others where it has none.
fn resolve(core: &EntryCore, request: &Request<Incoming>) -> Response<AnswerBody> {
    if request.uri().path() != RESOLVE_PATH {
        return plain(StatusCode::NOT_FOUND, "text/plain", "");
    }
    let query = decode_resolve(request.uri().query().unwrap_or_default());
    let homes = core
        .routes
        .borrow()
        .homes_of(query.host.as_deref().unwrap_or_default());
    let addresses = addresses_for(core, query.region.as_deref(), &homes, Instant::now());
    if addresses.is_empty() {
        return plain(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "");
    }
    let ttl = core.settings.bounds.directory_ttl;
    plain(
        StatusCode::OK,
        "application/json",
        encode_resolved(&addresses, ttl),
    )
}

fn addresses_for(
    core: &EntryCore,
    region: Option<&str>,
    homes: &BTreeSet<RegionId>,
    now: Instant,
) -> Vec<SocketAddrV4> {
    let own = &core.settings.region;
    let region = region.unwrap_or(own);
    let members = core.members.borrow();
    // It would name itself, though the other region's nodes live; callers ask the next directory.
    let unacquainted = now.saturating_duration_since(core.started) < ACQUAINT_TIME;
    if **own != *region && unacquainted && members.known().next().is_none() {
        return Vec::new();
    }
    let mut found: Vec<SocketAddrV4> = members
        .live_in(region, now)
        .into_iter()
        .map(|card| card.front)
        .collect();
    if **own == *region && core.is_ready() {
        found.push(core.settings.listen.front);
    }
    if found.is_empty() {
        found = members
            .perhaps_live_in(region, now)
            .into_iter()
            .map(|card| card.front)
            .collect();
    }
    if found.is_empty() {
        found = elsewhere(core, &members, region, homes, now);
        core.log.write(
            "directory-elsewhere",
            serde_json::json!({"region": region, "homes": homes, "addresses": &found,
                "members": members.known().count()}),
        );
    }
    found.sort_unstable();
    found.dedup();
    found.shuffle(&mut rand::rng());
    found.truncate(MOST_ADDRESSES);
    found
}

/// Gives the nodes outside a region: those in a home of the host's routes, where there are any,
/// since the others would see the bodies of requests that are bound to the homes.
fn elsewhere(
    core: &EntryCore,
    members: &MemberTable,
    region: &str,
    homes: &BTreeSet<RegionId>,
    now: Instant,
) -> Vec<SocketAddrV4> {
    let mut regions: BTreeMap<RegionId, Vec<SocketAddrV4>> = BTreeMap::new();
    for (other, cards) in members.live_elsewhere(region, now) {
        let fronts = cards.into_iter().map(|card| card.front).collect();
        regions.insert(other, fronts);
    }
    if core.is_ready() {
        let own = regions.entry(core.settings.region.clone()).or_default();
        own.push(core.settings.listen.front);
    }
    if regions.keys().any(|other| homes.contains(other)) {
        regions.retain(|other, _| homes.contains(other));
    }
    regions.into_values().flatten().collect()
}

//! The listeners: callers, other nodes, directory, readiness, control.

use crate::core::ACQUAINT_TIME;
use crate::core::EntryCore;
use crate::core::StopPhase;
use crate::request::answer::AnswerBody;
use crate::request::ingress::CallerSide;
use crate::request::ingress::answer;
use crate::request::ingress::limits;
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
use zinniahatch_platform::ResolveQuery;
use zinniahatch_platform::decode_resolve;
use zinniahatch_platform::encode_resolved;
use zinniahatch_route::DirectoryAnswer;
use zinniahatch_route::DirectoryQuery;
use zinniahatch_route::select_nodes;

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
    let closing = async {
        // Whoever asks for the directory, readiness or metrics is answered to the end: a directory that
        // closes on its callers leaves those of a region whose nodes stop in turn without any.
        if !matches!(duty, ListenerDuty::Calls(_)) {
            std::future::pending::<()>().await;
        }
        // The sender lives as long as the process.
        let _ = phases.wait_for(|phase| *phase == StopPhase::Closing).await;
    };
    // A connection ends with an error when its caller leaves, which is no news.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = closing => {}
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
    } else if core.is_ready() && core.trusts_keys() {
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
    let age = core.proofs.borrow().age(core.clock.now());
    core.metrics.set_proof_age(age);
    let text = core.metrics.text(core.pool.open());
    plain(StatusCode::OK, "text/plain; version=0.0.4", text)
}

/// Names the living nodes of the caller's region, or others where it has none.
fn resolve(core: &EntryCore, request: &Request<Incoming>) -> Response<AnswerBody> {
    if request.uri().path() != RESOLVE_PATH {
        return plain(StatusCode::NOT_FOUND, "text/plain", "");
    }
    let query = decode_resolve(request.uri().query().unwrap_or_default());
    let addresses = addresses_for(core, &query, Instant::now());
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

fn addresses_for(core: &EntryCore, query: &ResolveQuery, now: Instant) -> Vec<SocketAddrV4> {
    let own = &core.settings.region;
    let region = query.region.as_deref().unwrap_or(own);
    let members = core.members.borrow();
    // It would name itself, though the other region's nodes live; callers ask the next directory.
    let unacquainted = now.saturating_duration_since(core.started) < ACQUAINT_TIME;
    if **own != *region && unacquainted && members.known().next().is_none() {
        return Vec::new();
    }
    let known = core.desired.borrow().is_some();
    let host = query.host.as_deref().unwrap_or_default();
    let ask = DirectoryQuery {
        region,
        homes: known.then(|| core.routes.borrow().homes_of(host)),
        max_proof_age: core.key_bound(),
        own_proof_fresh: core.trusts_keys(),
        own_region: own,
        own_front: core.settings.listen.front,
        own_stage: core.stage(),
    };
    let named = select_nodes(&members, &ask, now);
    if let DirectoryAnswer::Remote(addresses) = &named {
        core.log.write(
            "directory-elsewhere",
            serde_json::json!({"region": region, "homes": ask.homes, "addresses": addresses,
                "members": members.known().count()}),
        );
    }
    let mut found = named.addresses();
    found.sort_unstable();
    found.dedup();
    found.shuffle(&mut rand::rng());
    found.truncate(MOST_ADDRESSES);
    found
}

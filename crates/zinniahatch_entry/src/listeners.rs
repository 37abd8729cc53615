//! Listeners for callers, other nodes, the directory, readiness checks and control requests.

mod caller_metrics;
mod caller_stream;
mod connection;
mod connection_slots;
mod lingering;
mod open;
mod open_connections;

use crate::core::EntryCore;
use crate::core::StopPhase;
use crate::replicas::part_quarantine::release_part;
use crate::request::ingress::RequestSource;
use crate::request::ingress::handle_request;
use crate::request::response_body::ResponseBody;
pub(crate) use caller_metrics::CallerMetrics;
use connection::run_connection;
pub(crate) use connection_slots::ConnectionSlots;
use connection_slots::take_slot;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
pub use open::ListenError;
pub(crate) use open::open_sockets;
pub(crate) use open_connections::OpenConnections;
use rand::seq::SliceRandom;
use socket2::SockRef;
use std::io;
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
use zinniahatch_route::DISCOVERY_TIME;
use zinniahatch_route::DirectoryAnswer;
use zinniahatch_route::DirectoryQuery;
use zinniahatch_route::select_nodes;

/// Maximum number of addresses in one directory response.
const MAX_ADDRESSES: usize = 64;
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Path under which an operator frees a prompt part from quarantine, followed by its id.
const QUARANTINED_PARTS_PATH: &str = "/quarantined-parts/";
/// What a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListenerKind {
    /// Requests of callers or of other nodes.
    Calls(RequestSource),
    /// Which entry VM to use.
    Directory,
    /// Whether this entry VM accepts callers.
    Readiness,
    /// Metrics, and what operators ask of the node.
    Control,
}

impl ListenerKind {
    /// Returns whose limits apply to its connections.
    fn source(self) -> RequestSource {
        match self {
            Self::Calls(source) => source,
            _ => RequestSource::Front,
        }
    }

    /// Returns the name used as a metric label.
    fn name(self) -> &'static str {
        match self {
            Self::Calls(RequestSource::Front) => "front",
            Self::Calls(RequestSource::Peer) => "peer",
            Self::Directory => "directory",
            Self::Readiness => "readiness",
            Self::Control => "control",
        }
    }
}

/// Accepts connections until the process ends, or those for requests until it disconnects.
pub(crate) async fn run_listener(
    core: Rc<EntryCore>,
    listener: Rc<TcpListener>,
    duty: ListenerKind,
) {
    let mut phases = core.phase.subscribe();
    loop {
        let accepting = async {
            // Connections beyond the bound stay in the queue of the kernel.
            let slot = take_slot(&core, duty).await;
            (slot, listener.accept().await)
        };
        let (slot, accepted) = tokio::select! {
            biased;
            _ = phases.wait_for(|phase| *phase >= StopPhase::Disconnecting),
                if matches!(duty, ListenerKind::Calls(_)) => break,
            accepted = accepting => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = run_connection(Rc::clone(&core), stream, duty);
                core.spawn_task("connection", async move {
                    let _slot = slot;
                    connection.await;
                });
            }
            Err(error) => {
                core.log.write(
                    "accept-failed",
                    serde_json::json!({"duty": format!("{duty:?}"), "error": error.to_string()}),
                );
                // The process may be out of file descriptors; they become free as connections end.
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
    let rest = accept_rest(&core, &listener, duty);
    core.log.write(
        "unlisten",
        serde_json::json!({"duty": format!("{duty:?}"),
            "error": rest.err().map(|error| error.to_string())}),
    );
}

/// Accepts what the kernel has accepted before the listener is closed, which would reset it.
fn accept_rest(core: &Rc<EntryCore>, listener: &TcpListener, duty: ListenerKind) -> io::Result<()> {
    let listener = SockRef::from(listener);
    loop {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => continue,
            Err(error) => return Err(error),
        };
        stream.set_nonblocking(true)?;
        let stream = TcpStream::from_std(stream.into())?;
        core.spawn_task("connection", run_connection(Rc::clone(core), stream, duty));
    }
}

async fn respond(
    core: Rc<EntryCore>,
    kind: ListenerKind,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    match kind {
        ListenerKind::Calls(source) => Box::pin(handle_request(core, source, request)).await,
        ListenerKind::Directory => resolve(&core, &request),
        ListenerKind::Readiness => readiness(&core, request.uri().path()),
        ListenerKind::Control => control(&core, request.method(), request.uri().path()),
    }
}

fn plain(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<bytes::Bytes>,
) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::whole(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

fn readiness(core: &EntryCore, path: &str) -> Response<ResponseBody> {
    let status = if path != READINESS_PATH {
        StatusCode::NOT_FOUND
    } else if core.is_ready() && core.trusts_keys() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    plain(status, "text/plain", "")
}

fn control(core: &EntryCore, method: &Method, path: &str) -> Response<ResponseBody> {
    if let Some(part) = path.strip_prefix(QUARANTINED_PARTS_PATH) {
        return free_part(core, method, part);
    }
    if path != METRICS_PATH {
        return plain(StatusCode::NOT_FOUND, "text/plain", "");
    }
    let age = core.key_freshness.borrow().age(core.clock.now());
    core.metrics.set_proof_age(age);
    let text = core.metrics.text(core.pool.open_count());
    plain(StatusCode::OK, "text/plain; version=0.0.4", text)
}

/// Frees a prompt part from quarantine.
fn free_part(core: &EntryCore, method: &Method, part: &str) -> Response<ResponseBody> {
    const HEXADECIMAL: u32 = 16;
    let status = match PromptPartId::from_str_radix(part, HEXADECIMAL) {
        _ if method != Method::DELETE => StatusCode::METHOD_NOT_ALLOWED,
        Ok(id) if release_part(core, id) => StatusCode::OK,
        Ok(_) => StatusCode::NOT_FOUND,
        Err(_) => StatusCode::BAD_REQUEST,
    };
    plain(status, "text/plain", "")
}

/// Responds with live nodes of the caller's region, or of other regions if it has none.
fn resolve(core: &EntryCore, request: &Request<Incoming>) -> Response<ResponseBody> {
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
    // A fresh node that knows no others would name itself although nodes of the other region are
    // alive. With an empty response, callers query the next directory.
    let discovering = now.saturating_duration_since(core.started) < DISCOVERY_TIME;
    if **own != *region && discovering && members.known().next().is_none() {
        return Vec::new();
    }
    let known = core.desired.borrow().is_some();
    let host = query.host.as_deref().unwrap_or_default();
    let directory_query = DirectoryQuery {
        region,
        homes: known.then(|| core.routes.borrow().homes_of(host)),
        max_proof_age: core.key_bound(),
        own_proof_fresh: core.trusts_keys(),
        own_region: own,
        own_front: core.settings.listen.front,
        own_stage: core.stage(),
    };
    let answer = select_nodes(&members, &directory_query, now);
    if let DirectoryAnswer::Remote(addresses) = &answer {
        core.log.write(
            "directory-elsewhere",
            serde_json::json!({"region": region, "homes": directory_query.homes, "addresses": addresses,
                "members": members.known().len()}),
        );
    }
    let mut found = answer.addresses();
    found.sort_unstable();
    found.dedup();
    found.shuffle(&mut rand::rng());
    found.truncate(MAX_ADDRESSES);
    found
}

//! Handlers for requests from callers.

use crate::GatewayCore;
use crate::admit::AdmittedRequest;
use crate::admit::RequestHead;
use crate::admit::admit;
use crate::admit::find_caller;
use crate::admit::region_entries;
use crate::admit::serving_config;
use crate::body::discard_body;
use crate::body::inspect_body;
use crate::body::read_body;
use crate::core::InFlightGuard;
use crate::dispatch::OutboundRequest;
use crate::engine_stream::EngineStream;
use crate::headers;
use crate::idempotency::claim_result;
use crate::idempotency::run_as_owner;
use crate::key_owner::OwnerResponse;
use crate::key_owner::forward_to_owner;
use crate::refusal::Refusal;
use crate::request_count::CountGuard;
use crate::respond::collect_stream;
use crate::respond::write_json;
use crate::respond::write_refusal;
use crate::respond::write_response;
use crate::respond::write_stream;
use crate::response::CachedResponse;
use crate::run::run_plain;
use bytes::Bytes;
use salvo::Request;
use salvo::Response;
use salvo::handler;
use serde::Serialize;
use serde_json::Value;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use zinniahatch_base::prelude::*;
use zinniahatch_control::MintedKey;

/// Maximum number of idempotency keys issued by one request.
const MAX_KEYS: usize = 256;

/// Reply to a caller's request.
pub(crate) enum Reply {
    Complete(Arc<CachedResponse>),
    Stream(Box<EngineStream>, Bytes, Option<CountGuard>, InFlightGuard),
    FromOwner(OwnerResponse),
    Refused(RequestId, Box<Refusal>),
}

/// Handles requests for services.
pub(crate) struct ServiceHandler(pub(crate) Arc<GatewayCore>);

#[handler]
impl ServiceHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let reply = serve(&self.0, request).await;
        write_reply(&self.0, response, reply);
    }
}

/// Handles requests for the list of entry VMs, with optional idempotency keys.
pub(crate) struct EntriesHandler(pub(crate) Arc<GatewayCore>);

#[derive(Serialize)]
struct EntriesBody {
    region: RegionId,
    entries: Vec<ListedEntry>,
    keys: Vec<Box<str>>,
}

#[derive(Serialize)]
struct ListedEntry {
    node: NodeId,
    http: Box<str>,
    region: RegionId,
}

#[handler]
impl EntriesHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let core = &self.0;
        let config = match serving_config(core) {
            Ok(config) => config,
            Err(refusal) => return write_refusal(response, core, "", &refusal),
        };
        let caller_identity = match find_caller(&config, request.headers()) {
            Ok(caller_identity) => caller_identity,
            Err(refusal) => {
                core.counters.count_result(refusal.code);
                return write_refusal(response, core, "", &refusal);
            }
        };
        let home = caller_identity.entry.home.clone();
        let mut regions: Vec<&RegionId> = config.topology.regions.keys().collect();
        regions.sort_by_key(|name| (**name != home, config.topology.delay(&home, name)));
        let mut entries = Vec::new();
        for region in regions {
            for entry in region_entries(core, &config, region) {
                entries.push(ListedEntry {
                    node: entry.node,
                    http: entry.http,
                    region: region.clone(),
                });
            }
        }
        let count = request.query::<usize>("keys").unwrap_or(0).min(MAX_KEYS);
        write_json(
            response,
            &EntriesBody {
                region: home,
                entries,
                keys: mint(core, &caller_identity.account, count),
            },
        );
    }
}

/// Handles requests for idempotency keys.
pub(crate) struct KeysHandler(pub(crate) Arc<GatewayCore>);

#[derive(Serialize)]
struct KeysBody {
    keys: Vec<Box<str>>,
}

#[handler]
impl KeysHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let core = &self.0;
        let caller_identity =
            serving_config(core).and_then(|config| find_caller(&config, request.headers()));
        match caller_identity {
            Ok(caller_identity) => {
                let count = request
                    .query::<usize>("count")
                    .unwrap_or(1)
                    .clamp(1, MAX_KEYS);
                write_json(
                    response,
                    &KeysBody {
                        keys: mint(core, &caller_identity.account, count),
                    },
                );
            }
            Err(refusal) => write_refusal(response, core, "", &refusal),
        }
    }
}

/// Handles lookups of stored responses by request id or idempotency key.
pub(crate) struct AnswersHandler(pub(crate) Arc<GatewayCore>);

#[handler]
impl AnswersHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let core = &self.0;
        let name = request.param::<String>("name").unwrap_or_default();
        let caller_identity =
            match serving_config(core).and_then(|config| find_caller(&config, request.headers())) {
                Ok(caller_identity) => caller_identity,
                Err(refusal) => return write_refusal(response, core, &name, &refusal),
            };
        match collect(core, &caller_identity.account, &name, request).await {
            CollectResult::Cached(cached) => write_response(response, &cached),
            CollectResult::FromOwner(relayed) => relayed.write(response),
            CollectResult::Refused(refusal) => write_refusal(response, core, &name, &refusal),
        }
    }
}

enum CollectResult {
    Cached(Arc<CachedResponse>),
    FromOwner(OwnerResponse),
    Refused(Box<Refusal>),
}

async fn collect(
    core: &Arc<GatewayCore>,
    account: &str,
    name: &str,
    request: &Request,
) -> CollectResult {
    if let Some(cached) = core.response_cache().find(Instant::now(), account, name) {
        return CollectResult::Cached(cached);
    }
    let forgotten = || Box::new(Refusal::new(ResultCode::AnswerForgotten));
    let Some(key) = MintedKey::parse(name) else {
        return CollectResult::Refused(forgotten());
    };
    if core.keys().owns(&key) {
        let claim = core.keys().collect(&key, account);
        return match claim_result(claim) {
            Some(Ok(cached)) => CollectResult::Cached(cached),
            Some(Err(refusal)) => CollectResult::Refused(refusal),
            None => CollectResult::Refused(forgotten()),
        };
    }
    // A lookup is forwarded at most once.
    if request.headers().contains_key(headers::KEYED) {
        return CollectResult::Refused(Box::new(Refusal::new(ResultCode::KeyOwnerGone)));
    }
    let Some(address) = crate::key_owner::key_owner_address(core, &key) else {
        return CollectResult::Refused(Box::new(Refusal::new(ResultCode::KeyOwnerGone)));
    };
    let token = headers::bearer(request.headers()).unwrap_or_default();
    match crate::peer::fetch_response(core, &address, name, token).await {
        Some(relayed) => CollectResult::FromOwner(relayed),
        None => CollectResult::Refused(Box::new(Refusal::new(ResultCode::KeyOwnerGone))),
    }
}

pub(crate) fn write_reply(core: &Arc<GatewayCore>, response: &mut Response, reply: Reply) {
    match reply {
        Reply::Complete(cached) => write_response(response, &cached),
        Reply::Stream(stream, first, count, in_flight) => {
            write_stream(response, *stream, first, count, in_flight);
        }
        Reply::FromOwner(relayed) => relayed.write(response),
        Reply::Refused(request, refusal) => write_refusal(response, core, &request, &refusal),
    }
}

async fn serve(core: &Arc<GatewayCore>, request: &mut Request) -> Reply {
    let head = read_head(request);
    let mut admitted = match admit(core, head) {
        Ok(admitted) => admitted,
        Err(mut refusal) => {
            refusal.closes = !discard_body(request).await;
            return Reply::Refused(core.request_id(), refusal);
        }
    };
    if core.is_draining() {
        let mut refusal = Refusal::new(ResultCode::NodeLeaving);
        refusal.entries = core.control().entries(Instant::now());
        refusal.closes = !discard_body(request).await;
        return refuse(&mut admitted, Box::new(refusal));
    }
    let key = match find_key(core, &admitted) {
        Ok(key) => key,
        Err(mut refusal) => {
            refusal.closes = !discard_body(request).await;
            return refuse(&mut admitted, refusal);
        }
    };
    let body = match read_body(
        request,
        admitted.service.body_limit,
        core.settings.body_timeout,
    )
    .await
    {
        Ok(body) => body,
        Err(refusal) => return refuse(&mut admitted, refusal),
    };
    serve_body(core, admitted, body, key).await
}

/// Serves a request after its body was read.
pub(crate) async fn serve_body(
    core: &Arc<GatewayCore>,
    mut admitted: AdmittedRequest,
    body: Bytes,
    key: Option<MintedKey>,
) -> Reply {
    let info = match inspect_body(&admitted, &body) {
        Ok(info) => info,
        Err(refusal) => return refuse(&mut admitted, refusal),
    };
    let body = if admitted.service.kind == zinniahatch_config::ServiceKind::Engine && !info.stream {
        with_stream(body)
    } else {
        body
    };
    let AdmittedRequest {
        id,
        config,
        head,
        service,
        caller_identity,
        work,
        at_most_once,
        scope,
        guest,
        deadline,
        count,
        in_flight,
    } = admitted;
    let outbound = OutboundRequest {
        id,
        config,
        service_name: head.service,
        service,
        caller_identity,
        method: head.method,
        path: head.path,
        key: headers::text(&head.headers, headers::KEY).map(Box::from),
        headers: head.headers,
        body,
        at_most_once,
        work,
        scope,
        guest,
        deadline,
        prefix: info.prefix,
        prompt: info.prompt,
        resume: 0,
        sent: AtomicBool::new(false),
    };
    match key {
        Some(key) => serve_keyed(core, outbound, key, count, in_flight).await,
        None if outbound.is_engine() && info.stream => {
            serve_stream(core, Arc::new(outbound), Some(count), in_flight).await
        }
        None => serve_complete(core, Arc::new(outbound), count, in_flight).await,
    }
}

/// Serves a model request as a stream.
pub(crate) async fn serve_stream(
    core: &Arc<GatewayCore>,
    outbound: Arc<OutboundRequest>,
    mut count: Option<CountGuard>,
    in_flight: InFlightGuard,
) -> Reply {
    let id = outbound.id.clone();
    let begun = async {
        let mut stream = EngineStream::open(core, outbound).await?;
        let first = stream.next().await?.unwrap_or_default();
        Ok::<_, Box<Refusal>>((stream, first))
    };
    match begun.await {
        Ok((stream, first)) => Reply::Stream(Box::new(stream), first, count, in_flight),
        Err(refusal) => {
            if let Some(count) = &mut count {
                count.record_result(refusal.code);
            }
            Reply::Refused(id, refusal)
        }
    }
}

async fn serve_complete(
    core: &Arc<GatewayCore>,
    outbound: Arc<OutboundRequest>,
    mut count: CountGuard,
    in_flight: InFlightGuard,
) -> Reply {
    let result = if outbound.is_engine() {
        collect_stream(core, Arc::clone(&outbound)).await
    } else {
        run_plain(core, &outbound).await
    };
    drop(in_flight);
    match result {
        Ok(cached) => {
            let cached = Arc::new(cached);
            record_response(&mut count, &cached);
            let until = Instant::now() + outbound.service.retention;
            core.response_cache().put(
                outbound.id.clone(),
                outbound.caller_identity.account.clone(),
                until,
                Arc::clone(&cached),
            );
            Reply::Complete(cached)
        }
        Err(refusal) => {
            count.record_result(refusal.code);
            Reply::Refused(outbound.id.clone(), refusal)
        }
    }
}

/// Serves a request with an idempotency key: locally if this node owns the key, otherwise by
/// forwarding it once to the owner.
async fn serve_keyed(
    core: &Arc<GatewayCore>,
    outbound: OutboundRequest,
    key: MintedKey,
    mut count: CountGuard,
    in_flight: InFlightGuard,
) -> Reply {
    let id = outbound.id.clone();
    if !core.keys().owns(&key) {
        let result = forward_to_owner(core, &outbound, &key).await;
        drop(in_flight);
        return match result {
            Ok(relayed) => {
                relayed.record_result(&mut count, outbound.is_engine());
                Reply::FromOwner(relayed)
            }
            Err(refusal) => {
                count.record_result(refusal.code);
                Reply::Refused(id, refusal)
            }
        };
    }
    let result = run_as_owner(core, outbound, key).await;
    drop(in_flight);
    match result {
        Ok(cached) => {
            record_response(&mut count, &cached);
            Reply::Complete(cached)
        }
        Err(refusal) => {
            count.record_result(refusal.code);
            Reply::Refused(id, refusal)
        }
    }
}

fn record_response(count: &mut CountGuard, cached: &CachedResponse) {
    count.mark_first_byte();
    if cached.code != ResultCode::AnsweredEarlier {
        count.set_usage(cached.usage);
    }
    count.set_served_region(&cached.served);
    count.record_result(cached.code);
}

fn read_head(request: &Request) -> RequestHead {
    let service = request
        .param::<String>("service")
        .or_else(|| headers::text(request.headers(), headers::SERVICE).map(str::to_owned))
        .unwrap_or_default();
    let path = match request.param::<String>("rest") {
        Some(rest) => format!("/{rest}"),
        None => request.uri().path().to_owned(),
    };
    let path = match request.uri().query() {
        Some(query) => format!("{path}?{query}"),
        None => path,
    };
    RequestHead {
        method: request.method().clone(),
        service: service.into(),
        path: path.into(),
        headers: request.headers().clone(),
        arrived: Instant::now(),
    }
}

/// Returns the idempotency key of a request that requires one.
fn find_key(
    core: &Arc<GatewayCore>,
    admitted: &AdmittedRequest,
) -> Result<Option<MintedKey>, Box<Refusal>> {
    if !admitted.at_most_once {
        return Ok(None);
    }
    let Some(text) = headers::text(&admitted.head.headers, headers::KEY) else {
        let mut refusal = Refusal::new(ResultCode::KeyMissing);
        refusal.key = mint(core, &admitted.caller_identity.account, 1).pop();
        return Err(Box::new(refusal));
    };
    match MintedKey::parse(text) {
        Some(key) => Ok(Some(key)),
        None => Err(Box::new(Refusal::new(ResultCode::KeyForeign))),
    }
}

fn mint(core: &GatewayCore, account: &str, count: usize) -> Vec<Box<str>> {
    core.counters.keys_made.inc_by(count as u64);
    let now = Instant::now();
    let mut keys = core.keys();
    (0..count).map(|_| keys.mint(now, account)).collect()
}

fn refuse(admitted: &mut AdmittedRequest, refusal: Box<Refusal>) -> Reply {
    admitted.count.record_result(refusal.code);
    Reply::Refused(admitted.id.clone(), refusal)
}

/// Sets `stream` in the body, so that the engine streams its response.
///
/// The gateway assembles the complete response itself and can thus detect a stall.
fn with_stream(body: Bytes) -> Bytes {
    let Ok(Value::Object(mut fields)) = serde_json::from_slice::<Value>(&body) else {
        return body;
    };
    fields.insert("stream".to_owned(), Value::Bool(true));
    serde_json::to_vec(&fields).map_or(body, Bytes::from)
}

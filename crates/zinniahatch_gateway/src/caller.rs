//! Handlers for callers.

use crate::GatewayCore;
use crate::admit::AdmittedCall;
use crate::admit::CallHead;
use crate::admit::admit;
use crate::admit::find_caller;
use crate::admit::region_entries;
use crate::admit::serving_config;
use crate::answer::KeptAnswer;
use crate::body::discard_body;
use crate::body::read_body;
use crate::body::view_body;
use crate::core::ActiveGuard;
use crate::counting::CountGuard;
use crate::dispatch::RunCall;
use crate::engine_stream::EngineStream;
use crate::headers;
use crate::keyed::run_owned;
use crate::keyed::settle_claim;
use crate::owner::OwnerAnswer;
use crate::owner::pass_to_owner;
use crate::refusal::CallRefusal;
use crate::respond::collect_stream;
use crate::respond::write_answer;
use crate::respond::write_json;
use crate::respond::write_refusal;
use crate::respond::write_stream;
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

/// Most keys handed out at once.
const MOST_KEYS: usize = 256;

/// What becomes of a caller's request.
pub(crate) enum CallReply {
    Whole(Arc<KeptAnswer>),
    Stream(Box<EngineStream>, Bytes, Option<CountGuard>, ActiveGuard),
    Passed(OwnerAnswer),
    Refused(RequestId, Box<CallRefusal>),
}

/// Serves requests for services.
pub(crate) struct CallHandler(pub(crate) Arc<GatewayCore>);

#[handler]
impl CallHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let reply = serve(&self.0, request).await;
        write_reply(&self.0, response, reply);
    }
}

/// Tells callers which entry VMs to use, and hands out keys.
pub(crate) struct EntriesHandler(pub(crate) Arc<GatewayCore>);

#[derive(Serialize)]
struct EntriesBody {
    region: RegionId,
    entries: Vec<EntryLine>,
    keys: Vec<Box<str>>,
}

#[derive(Serialize)]
struct EntryLine {
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
        let who = match find_caller(&config, request.headers()) {
            Ok(who) => who,
            Err(refusal) => {
                core.counters.count_result(refusal.code);
                return write_refusal(response, core, "", &refusal);
            }
        };
        let home = who.entry.home.clone();
        let mut regions: Vec<&RegionId> = config.topology.regions.keys().collect();
        regions.sort_by_key(|name| (**name != home, config.topology.delay(&home, name)));
        let mut entries = Vec::new();
        for region in regions {
            for entry in region_entries(core, &config, region) {
                entries.push(EntryLine {
                    node: entry.node,
                    http: entry.http,
                    region: region.clone(),
                });
            }
        }
        let count = request.query::<usize>("keys").unwrap_or(0).min(MOST_KEYS);
        write_json(
            response,
            &EntriesBody {
                region: home,
                entries,
                keys: mint(core, &who.account, count),
            },
        );
    }
}

/// Hands out keys.
pub(crate) struct KeysHandler(pub(crate) Arc<GatewayCore>);

#[derive(Serialize)]
struct KeysBody {
    keys: Vec<Box<str>>,
}

#[handler]
impl KeysHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let core = &self.0;
        let who = serving_config(core).and_then(|config| find_caller(&config, request.headers()));
        match who {
            Ok(who) => {
                let count = request
                    .query::<usize>("count")
                    .unwrap_or(1)
                    .clamp(1, MOST_KEYS);
                write_json(
                    response,
                    &KeysBody {
                        keys: mint(core, &who.account, count),
                    },
                );
            }
            Err(refusal) => write_refusal(response, core, "", &refusal),
        }
    }
}

/// Gives the kept answer of an earlier request, by its id or its key.
pub(crate) struct AnswersHandler(pub(crate) Arc<GatewayCore>);

#[handler]
impl AnswersHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let core = &self.0;
        let name = request.param::<String>("name").unwrap_or_default();
        let who =
            match serving_config(core).and_then(|config| find_caller(&config, request.headers())) {
                Ok(who) => who,
                Err(refusal) => return write_refusal(response, core, &name, &refusal),
            };
        match collect(core, &who.account, &name, request).await {
            Collected::Kept(answer) => write_answer(response, &answer),
            Collected::Passed(answer) => answer.write(response),
            Collected::Refused(refusal) => write_refusal(response, core, &name, &refusal),
        }
    }
}

enum Collected {
    Kept(Arc<KeptAnswer>),
    Passed(OwnerAnswer),
    Refused(Box<CallRefusal>),
}

async fn collect(
    core: &Arc<GatewayCore>,
    account: &str,
    name: &str,
    request: &Request,
) -> Collected {
    if let Some(answer) = core.shelf().find(Instant::now(), account, name) {
        return Collected::Kept(answer);
    }
    let forgotten = || Box::new(CallRefusal::new(ResultCode::AnswerForgotten));
    let Some(key) = MintedKey::parse(name) else {
        return Collected::Refused(forgotten());
    };
    if core.keys().owns(&key) {
        let claim = core.keys().collect(&key, account);
        return match settle_claim(claim) {
            Some(Ok(answer)) => Collected::Kept(answer),
            Some(Err(refusal)) => Collected::Refused(refusal),
            None => Collected::Refused(forgotten()),
        };
    }
    // One hop: a collection that was passed on already is not passed again.
    if request.headers().contains_key(headers::KEYED) {
        return Collected::Refused(Box::new(CallRefusal::new(ResultCode::KeyOwnerGone)));
    }
    let Some(address) = crate::owner::owner_address(core, &key) else {
        return Collected::Refused(Box::new(CallRefusal::new(ResultCode::KeyOwnerGone)));
    };
    let token = headers::bearer(request.headers()).unwrap_or_default();
    match crate::peer::fetch_answer(core, &address, name, token).await {
        Some(answer) => Collected::Passed(answer),
        None => Collected::Refused(Box::new(CallRefusal::new(ResultCode::KeyOwnerGone))),
    }
}

pub(crate) fn write_reply(core: &Arc<GatewayCore>, response: &mut Response, reply: CallReply) {
    match reply {
        CallReply::Whole(answer) => write_answer(response, &answer),
        CallReply::Stream(stream, first, count, active) => {
            write_stream(response, *stream, first, count, active);
        }
        CallReply::Passed(answer) => answer.write(response),
        CallReply::Refused(request, refusal) => write_refusal(response, core, &request, &refusal),
    }
}

async fn serve(core: &Arc<GatewayCore>, request: &mut Request) -> CallReply {
    let head = read_head(request);
    let mut admitted = match admit(core, head) {
        Ok(admitted) => admitted,
        Err(refusal) => {
            discard_body(request).await;
            return CallReply::Refused(core.request_id(), refusal);
        }
    };
    if core.refuses_new() {
        let mut refusal = CallRefusal::new(ResultCode::NodeLeaving);
        refusal.entries = core.control().entries(Instant::now());
        discard_body(request).await;
        return refuse(&mut admitted, Box::new(refusal));
    }
    let key = match find_key(core, &admitted) {
        Ok(key) => key,
        Err(refusal) => {
            discard_body(request).await;
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

/// Serves a request whose body is read.
pub(crate) async fn serve_body(
    core: &Arc<GatewayCore>,
    mut admitted: AdmittedCall,
    body: Bytes,
    key: Option<MintedKey>,
) -> CallReply {
    let view = match view_body(&admitted, &body) {
        Ok(view) => view,
        Err(refusal) => return refuse(&mut admitted, refusal),
    };
    let body = if admitted.service.kind == zinniahatch_config::ServiceKind::Engine && !view.stream {
        with_stream(body)
    } else {
        body
    };
    let AdmittedCall {
        id,
        config,
        head,
        service,
        who,
        work,
        once,
        scope,
        guest,
        deadline,
        count,
        active,
    } = admitted;
    let call = RunCall {
        id,
        config,
        service_name: head.service,
        service,
        who,
        method: head.method,
        path: head.path,
        key: headers::text(&head.headers, headers::KEY).map(Box::from),
        headers: head.headers,
        body,
        once,
        work,
        scope,
        guest,
        deadline,
        prefix: view.prefix,
        prompt: view.prompt,
        resume: 0,
        sent: AtomicBool::new(false),
    };
    match key {
        Some(key) => serve_keyed(core, call, key, count, active).await,
        None if call.is_engine() && view.stream => {
            serve_stream(core, Arc::new(call), Some(count), active).await
        }
        None => serve_whole(core, Arc::new(call), count, active).await,
    }
}

/// Serves a model request as a stream.
pub(crate) async fn serve_stream(
    core: &Arc<GatewayCore>,
    call: Arc<RunCall>,
    mut count: Option<CountGuard>,
    active: ActiveGuard,
) -> CallReply {
    let id = call.id.clone();
    let begun = async {
        let mut stream = EngineStream::open(core, call).await?;
        let first = stream.next().await?.unwrap_or_default();
        Ok::<_, Box<CallRefusal>>((stream, first))
    };
    match begun.await {
        Ok((stream, first)) => CallReply::Stream(Box::new(stream), first, count, active),
        Err(refusal) => {
            if let Some(count) = &mut count {
                count.settle(refusal.code);
            }
            CallReply::Refused(id, refusal)
        }
    }
}

async fn serve_whole(
    core: &Arc<GatewayCore>,
    call: Arc<RunCall>,
    mut count: CountGuard,
    active: ActiveGuard,
) -> CallReply {
    let result = if call.is_engine() {
        collect_stream(core, Arc::clone(&call)).await
    } else {
        run_plain(core, &call).await
    };
    drop(active);
    match result {
        Ok(answer) => {
            let answer = Arc::new(answer);
            settle_answer(&mut count, &answer);
            let until = Instant::now() + call.service.retention;
            core.shelf().put(
                call.id.clone(),
                call.who.account.clone(),
                until,
                Arc::clone(&answer),
            );
            CallReply::Whole(answer)
        }
        Err(refusal) => {
            count.settle(refusal.code);
            CallReply::Refused(call.id.clone(), refusal)
        }
    }
}

/// Serves a request with a key: here if the key is owned here, else by one hop to its owner.
async fn serve_keyed(
    core: &Arc<GatewayCore>,
    call: RunCall,
    key: MintedKey,
    mut count: CountGuard,
    active: ActiveGuard,
) -> CallReply {
    let id = call.id.clone();
    if !core.keys().owns(&key) {
        let result = pass_to_owner(core, &call, &key).await;
        drop(active);
        return match result {
            Ok(answer) => {
                answer.settle(&mut count, call.is_engine());
                CallReply::Passed(answer)
            }
            Err(refusal) => {
                count.settle(refusal.code);
                CallReply::Refused(id, refusal)
            }
        };
    }
    let result = run_owned(core, call, key).await;
    drop(active);
    match result {
        Ok(answer) => {
            settle_answer(&mut count, &answer);
            CallReply::Whole(answer)
        }
        Err(refusal) => {
            count.settle(refusal.code);
            CallReply::Refused(id, refusal)
        }
    }
}

fn settle_answer(count: &mut CountGuard, answer: &KeptAnswer) {
    count.mark_first();
    if answer.code != ResultCode::AnsweredEarlier {
        count.note_usage(answer.usage);
    }
    count.note_served(&answer.served);
    count.settle(answer.code);
}

fn read_head(request: &Request) -> CallHead {
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
    CallHead {
        method: request.method().clone(),
        service: service.into(),
        path: path.into(),
        headers: request.headers().clone(),
        arrived: Instant::now(),
    }
}

/// Finds the key of a request that needs one.
fn find_key(
    core: &Arc<GatewayCore>,
    admitted: &AdmittedCall,
) -> Result<Option<MintedKey>, Box<CallRefusal>> {
    if !admitted.once {
        return Ok(None);
    }
    let Some(text) = headers::text(&admitted.head.headers, headers::KEY) else {
        let mut refusal = CallRefusal::new(ResultCode::KeyMissing);
        refusal.key = mint(core, &admitted.who.account, 1).pop();
        return Err(Box::new(refusal));
    };
    match MintedKey::parse(text) {
        Some(key) => Ok(Some(key)),
        None => Err(Box::new(CallRefusal::new(ResultCode::KeyForeign))),
    }
}

fn mint(core: &GatewayCore, account: &str, count: usize) -> Vec<Box<str>> {
    core.counters.keys_made.inc_by(count as u64);
    let now = Instant::now();
    let mut keys = core.keys();
    (0..count).map(|_| keys.mint(now, account)).collect()
}

fn refuse(admitted: &mut AdmittedCall, refusal: Box<CallRefusal>) -> CallReply {
    admitted.count.settle(refusal.code);
    CallReply::Refused(admitted.id.clone(), refusal)
}

/// Asks the engine for a stream; the answer is put together here, which shows where it stalls.
fn with_stream(body: Bytes) -> Bytes {
    let Ok(Value::Object(mut fields)) = serde_json::from_slice::<Value>(&body) else {
        return body;
    };
    fields.insert("stream".to_owned(), Value::Bool(true));
    serde_json::to_vec(&fields).map_or(body, Bytes::from)
}

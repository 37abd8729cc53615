//! Handlers for other nodes.

use crate::GatewayCore;
use crate::HandedBook;
use crate::admit::AdmittedCall;
use crate::admit::CallHead;
use crate::admit::KnownCaller;
use crate::body::read_body;
use crate::body::view_body;
use crate::caller::CallReply;
use crate::caller::serve_body;
use crate::caller::serve_stream;
use crate::caller::write_reply;
use crate::counting::CountGuard;
use crate::dispatch::RunCall;
use crate::dispatch::proof_fields;
use crate::headers;
use crate::owner::OwnerAnswer;
use crate::refusal::CallRefusal;
use crate::respond::write_json;
use crate::respond::write_refusal;
use crate::run::run_plain;
use bytes::Bytes;
use salvo::Request;
use salvo::Response;
use salvo::handler;
use salvo::http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use zinniahatch_base::prelude::*;
use zinniahatch_config::ServiceKind;
use zinniahatch_config::WorkKind;
use zinniahatch_control::MintedKey;
use zinniahatch_control::PlacementScope;

/// Bytes of a handover; it carries every kept answer of the node that leaves.
const HANDOVER_LIMIT: usize = 64 << 20;
const FETCH_TIME: Duration = Duration::from_secs(2);

/// What a node says of itself to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BriefStatus {
    /// The node.
    pub node: NodeId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its region.
    pub region: RegionId,
    /// The revision in force there.
    pub revision: Revision,
    /// The preset in force there.
    pub preset: PresetId,
    /// Whether it serves.
    pub ready: bool,
    /// Whether it leaves.
    pub leaving: bool,
    /// Live members that it knows, itself included.
    pub members: usize,
    /// Requests in progress.
    pub active: u64,
    /// Milliseconds since the epoch when the revision came into force there.
    pub adopted_ms: u64,
}

/// The keys and answers of a node that leaves.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HandoverNote {
    /// Its books.
    pub books: Vec<HandedBook>,
}

/// A forwarded request with its proof checked.
struct ProvenCall {
    admitted: AdmittedCall,
    body: Bytes,
}

/// Runs a request that another data centre sent; there is no way on from here.
pub(crate) struct AwayHandler(pub(crate) Arc<GatewayCore>);

#[handler]
impl AwayHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let core = &self.0;
        let mut proven = match prove(core, request, "away").await {
            Ok(proven) => proven,
            Err(refusal) => return write_refusal(response, core, "", &refusal),
        };
        proven.admitted.scope = PlacementScope::Local;
        proven.admitted.guest = proven.admitted.who.entry.home != core.identity.region;
        let reply = run_guest(core, proven).await;
        let outcome = if matches!(reply, CallReply::Refused(..)) {
            "refused"
        } else {
            "taken"
        };
        core.counters.guests.with_label_values(&[outcome]).inc();
        write_reply(core, response, reply);
    }
}

/// Serves a request whose key is owned here.
pub(crate) struct OwnedHandler(pub(crate) Arc<GatewayCore>);

#[handler]
impl OwnedHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let core = &self.0;
        let proven = match prove(core, request, "owned").await {
            Ok(proven) => proven,
            Err(refusal) => return write_refusal(response, core, "", &refusal),
        };
        let key =
            headers::text(&proven.admitted.head.headers, headers::KEY).and_then(MintedKey::parse);
        let owned = key.filter(|key| core.keys().owns(key));
        let reply = match owned {
            Some(key) => serve_body(core, proven.admitted, proven.body, Some(key)).await,
            // The sender was wrong about the owner. A second hop is never made.
            None => CallReply::Refused(
                proven.admitted.id,
                Box::new(CallRefusal::new(ResultCode::KeyOwnerGone)),
            ),
        };
        write_reply(core, response, reply);
    }
}

/// Tells another node how this one stands.
pub(crate) struct BriefHandler(pub(crate) Arc<GatewayCore>);

#[handler]
impl BriefHandler {
    async fn handle(&self, response: &mut Response) {
        write_json(response, &self.0.brief());
    }
}

/// Takes over the keys and answers of a node that leaves.
pub(crate) struct HandoverHandler(pub(crate) Arc<GatewayCore>);

#[handler]
impl HandoverHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let core = &self.0;
        let proof = headers::text(request.headers(), headers::PROOF)
            .unwrap_or_default()
            .to_owned();
        let Ok(body) = request.payload_with_max_size(HANDOVER_LIMIT).await.cloned() else {
            response.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let digest = blake3::hash(&body).to_hex().to_string();
        if !core.proof.check(&["handover", &digest], &proof) {
            core.counters.proofs_refused.inc();
            response.status_code(StatusCode::FORBIDDEN);
            return;
        }
        let Ok(note) = serde_json::from_slice::<HandoverNote>(&body) else {
            response.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let now = Instant::now();
        let heirs = core.keys().inherit(now, note.books);
        let mut control = core.control();
        for (node, incarnation) in heirs {
            control.add_succession(now, node, incarnation);
        }
        drop(control);
        core.wake.notify_one();
    }
}

impl GatewayCore {
    /// Gives how this node stands.
    pub fn brief(&self) -> BriefStatus {
        let control = self.control();
        let config = control.config();
        let now = Instant::now();
        let members = control
            .members()
            .entries()
            .keys()
            .filter(|name| control.members().is_live(now, name))
            .count()
            + 1;
        BriefStatus {
            node: self.identity.node.clone(),
            data_centre: self.identity.data_centre.clone(),
            region: self.identity.region.clone(),
            revision: config.revision,
            preset: config.preset_name.clone(),
            ready: control.is_ready(),
            leaving: control.is_leaving(),
            members,
            active: self.active(),
            adopted_ms: self.adopted_ms(),
        }
    }

    /// Sends the keys and answers of this node to its heir; gives whether the heir has them.
    ///
    /// The books are closed before they are sent, so that no key can start here once it might be
    /// known elsewhere.
    pub async fn hand_over(&self, heir: &str) -> bool {
        let books = self.keys().close(Instant::now());
        let Ok(body) = serde_json::to_vec(&HandoverNote { books }) else {
            return false;
        };
        let digest = blake3::hash(&body).to_hex().to_string();
        let proof = self.proof.make(&["handover", &digest]);
        let request = self
            .client
            .post(format!("http://{}/internal/handover", self.reach(heir)))
            .header(headers::PROOF, proof)
            .timeout(FETCH_TIME * 5)
            .body(body);
        matches!(request.send().await, Ok(response) if response.status().is_success())
    }

    /// Asks another node how it stands.
    pub async fn ask_brief(&self, http: &str) -> Option<BriefStatus> {
        let request = self
            .client
            .get(format!("http://{}/internal/brief", self.reach(http)))
            .timeout(FETCH_TIME);
        request.send().await.ok()?.json().await.ok()
    }
}

/// Collects a kept answer from the node that owns its key.
pub(crate) async fn fetch_answer(
    core: &GatewayCore,
    address: &str,
    name: &str,
    token: &str,
) -> Option<OwnerAnswer> {
    let request = core
        .client
        .get(format!("http://{}/v1/answers/{name}", core.reach(address)))
        .bearer_auth(token)
        .header(headers::KEYED, "passed")
        .timeout(FETCH_TIME);
    let response = request.send().await.ok()?;
    OwnerAnswer::read(response).await
}

async fn prove(
    core: &Arc<GatewayCore>,
    request: &mut Request,
    stage: &str,
) -> Result<ProvenCall, Box<CallRefusal>> {
    let arrived = Instant::now();
    let config = crate::admit::serving_config(core)?;
    let bad = |detail: &str| Box::new(CallRefusal::detail(ResultCode::BadRequest, detail));
    let given = request.headers().clone();
    let field = |name: &str| headers::text(&given, name).map(str::to_owned);
    let (Some(id), Some(account), Some(caller), Some(proof)) = (
        field(headers::REQUEST),
        field(headers::ACCOUNT),
        field(headers::CALLER),
        field(headers::PROOF),
    ) else {
        core.counters.proofs_refused.inc();
        return Err(Box::new(CallRefusal::new(ResultCode::BadCredential)));
    };
    let left: u64 = field(headers::DEADLINE)
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| bad("no deadline"))?;
    let service_name: ServiceId = request
        .param::<String>("service")
        .unwrap_or_default()
        .into();
    let Some(service) = config.services.get(&service_name).cloned() else {
        return Err(Box::new(CallRefusal::new(ResultCode::UnknownService)));
    };
    let body = read_body(request, service.body_limit, core.settings.body_timeout).await?;
    let fields = proof_fields(stage, &id, &account, &caller, left, &body);
    let fields: Vec<&str> = fields.iter().map(|field| &**field).collect();
    if !core.proof.check(&fields, &proof) {
        core.counters.proofs_refused.inc();
        return Err(Box::new(CallRefusal::new(ResultCode::BadCredential)));
    }
    let Some(entry) = config.accounts.accounts.get(account.as_str()).cloned() else {
        return Err(Box::new(CallRefusal::new(ResultCode::BadCredential)));
    };
    let rest = request.param::<String>("rest").unwrap_or_default();
    let path = match request.uri().query() {
        Some(query) => format!("/{rest}?{query}"),
        None => format!("/{rest}"),
    };
    let who = KnownCaller {
        account: account.into(),
        caller: caller.into(),
        entry,
    };
    let home = who.entry.home == core.identity.region;
    let bound = service.is_bound(request.method().as_str());
    if bound && !home {
        // A node with an older configuration may have sent a bound request; it is not run here.
        return Err(Box::new(CallRefusal::new(ResultCode::BoundElsewhere)));
    }
    let active = core.enter(&who.account, 0).ok_or_else(|| bad("no room"))?;
    let mut count = CountGuard::new(core, &config, &who, &service_name, arrived);
    count.leave_to_sender();
    let work = field(headers::WORK)
        .as_deref()
        .and_then(WorkKind::parse)
        .unwrap_or(service.work);
    let once = service.is_once(request.method().as_str())
        || field(headers::REPEAT).as_deref() == Some("once");
    let head = CallHead {
        method: request.method().clone(),
        service: service_name,
        path: path.into(),
        headers: request.headers().clone(),
        arrived,
    };
    let admitted = AdmittedCall {
        id: id.into(),
        config,
        head,
        scope: if bound {
            PlacementScope::Region
        } else {
            PlacementScope::Anywhere
        },
        service,
        who,
        work,
        once,
        guest: false,
        deadline: arrived + Duration::from_millis(left),
        count,
        active,
    };
    Ok(ProvenCall { admitted, body })
}

async fn run_guest(core: &Arc<GatewayCore>, proven: ProvenCall) -> CallReply {
    let ProvenCall { admitted, body } = proven;
    let view = match view_body(&admitted, &body) {
        Ok(view) => view,
        Err(refusal) => return CallReply::Refused(admitted.id, refusal),
    };
    let resume = headers::text(&admitted.head.headers, headers::RESUME)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let call = Arc::new(RunCall {
        id: admitted.id,
        config: admitted.config,
        service_name: admitted.head.service,
        service: admitted.service,
        who: admitted.who,
        method: admitted.head.method,
        path: admitted.head.path,
        key: headers::text(&admitted.head.headers, headers::KEY).map(Box::from),
        headers: admitted.head.headers,
        body,
        once: admitted.once,
        work: admitted.work,
        scope: admitted.scope,
        guest: admitted.guest,
        deadline: admitted.deadline,
        prefix: view.prefix,
        prompt: view.prompt,
        resume,
        sent: AtomicBool::new(false),
    });
    if call.service.kind == ServiceKind::Engine {
        return serve_stream(core, call, None, admitted.active).await;
    }
    match run_plain(core, &call).await {
        Ok(answer) => CallReply::Whole(Arc::new(answer)),
        Err(refusal) => CallReply::Refused(call.id.clone(), refusal),
    }
}

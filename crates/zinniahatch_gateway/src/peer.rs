//! Handlers for requests from other nodes.

use crate::GatewayCore;
use crate::KeyTableSnapshot;
use crate::admit::AdmittedRequest;
use crate::admit::CallerIdentity;
use crate::admit::RequestHead;
use crate::body::inspect_body;
use crate::body::read_body;
use crate::caller::Reply;
use crate::caller::serve_body;
use crate::caller::serve_stream;
use crate::caller::write_reply;
use crate::dispatch::OutboundRequest;
use crate::dispatch::signed_fields;
use crate::headers;
use crate::key_owner::OwnerResponse;
use crate::refusal::Refusal;
use crate::request_count::CountGuard;
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

/// Maximum size in bytes of a handover, which carries every stored response of the node that shuts
/// down.
const MAX_HANDOVER_BYTES: usize = 64 << 20;
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Status of a node, as reported to other nodes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Name of the node.
    pub node: NodeId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its region.
    pub region: RegionId,
    /// Configuration revision in force on the node.
    pub revision: Revision,
    /// Preset in force on the node.
    pub preset: PresetId,
    /// Whether the node is ready to serve.
    pub ready: bool,
    /// Whether the node is shutting down.
    pub leaving: bool,
    /// Live members that the node knows, itself included.
    pub members: usize,
    /// Requests in flight.
    pub active: u64,
    /// Time in milliseconds since the epoch at which the revision took effect there.
    pub adopted_ms: u64,
}

/// Idempotency keys and responses of a node that shuts down.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KeyHandover {
    /// Key tables of the node.
    #[serde(rename = "books")]
    pub tables: Vec<KeyTableSnapshot>,
}

/// A forwarded request whose proof was verified.
struct VerifiedRequest {
    admitted: AdmittedRequest,
    body: Bytes,
}

/// Handles requests from other data centres; they are not forwarded further.
pub(crate) struct ForwardedHandler(pub(crate) Arc<GatewayCore>);

#[handler]
impl ForwardedHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let core = &self.0;
        let mut verified = match verify_forwarded(core, request, "away").await {
            Ok(verified) => verified,
            Err(refusal) => return write_refusal(response, core, "", &refusal),
        };
        verified.admitted.scope = PlacementScope::Local;
        verified.admitted.guest =
            verified.admitted.caller_identity.entry.home != core.identity.region;
        let reply = run_forwarded(core, verified).await;
        let outcome = if matches!(reply, Reply::Refused(..)) {
            "refused"
        } else {
            "taken"
        };
        core.counters.guests.with_label_values(&[outcome]).inc();
        write_reply(core, response, reply);
    }
}

/// Handles forwarded requests whose key this node owns.
pub(crate) struct KeyOwnerHandler(pub(crate) Arc<GatewayCore>);

#[handler]
impl KeyOwnerHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let core = &self.0;
        let verified = match verify_forwarded(core, request, "owned").await {
            Ok(verified) => verified,
            Err(refusal) => return write_refusal(response, core, "", &refusal),
        };
        let key =
            headers::text(&verified.admitted.head.headers, headers::KEY).and_then(MintedKey::parse);
        let owned = key.filter(|key| core.keys().owns(key));
        let reply = match owned {
            Some(key) => serve_body(core, verified.admitted, verified.body, Some(key)).await,
            // The sender assumed the wrong owner; a request is never forwarded a second time.
            None => Reply::Refused(
                verified.admitted.id,
                Box::new(Refusal::new(ResultCode::KeyOwnerGone)),
            ),
        };
        write_reply(core, response, reply);
    }
}

/// Handles requests for the status of this node.
pub(crate) struct StatusHandler(pub(crate) Arc<GatewayCore>);

#[handler]
impl StatusHandler {
    async fn handle(&self, response: &mut Response) {
        write_json(response, &self.0.node_status());
    }
}

/// Receives the keys and responses of a node that shuts down.
pub(crate) struct HandoverHandler(pub(crate) Arc<GatewayCore>);

#[handler]
impl HandoverHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let core = &self.0;
        let proof = headers::text(request.headers(), headers::PROOF)
            .unwrap_or_default()
            .to_owned();
        let Ok(body) = request
            .payload_with_max_size(MAX_HANDOVER_BYTES)
            .await
            .cloned()
        else {
            response.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let digest = blake3::hash(&body).to_hex().to_string();
        if !core.peer_auth.verify(&["handover", &digest], &proof) {
            core.counters.proofs_refused.inc();
            response.status_code(StatusCode::FORBIDDEN);
            return;
        }
        let Ok(handover) = serde_json::from_slice::<KeyHandover>(&body) else {
            response.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let now = Instant::now();
        let owners = core.keys().take_over(now, handover.tables);
        let mut control = core.control();
        for (node, incarnation) in owners {
            control.add_succession(now, node, incarnation);
        }
        drop(control);
        core.wake.notify_one();
    }
}

impl GatewayCore {
    /// Returns the status of this node.
    pub fn node_status(&self) -> NodeStatus {
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
        NodeStatus {
            node: self.identity.node.clone(),
            data_centre: self.identity.data_centre.clone(),
            region: self.identity.region.clone(),
            revision: config.revision,
            preset: config.preset_name.clone(),
            ready: control.is_ready(),
            leaving: control.is_leaving(),
            members,
            active: self.in_flight(),
            adopted_ms: self.adopted_ms(),
        }
    }

    /// Sends the keys and responses of this node to its successor; returns whether the successor
    /// has them.
    ///
    /// The tables are closed before they are sent, so that no key can start a request here once
    /// another node may hold it.
    pub async fn hand_over_keys(&self, successor: &str) -> bool {
        let tables = self.keys().close(Instant::now());
        let Ok(body) = serde_json::to_vec(&KeyHandover { tables }) else {
            return false;
        };
        let digest = blake3::hash(&body).to_hex().to_string();
        let proof = self.peer_auth.sign(&["handover", &digest]);
        let request = self
            .client
            .post(format!(
                "http://{}/internal/handover",
                self.translate_address(successor)
            ))
            .header(headers::PROOF, proof)
            .timeout(PEER_TIMEOUT * 5)
            .body(body);
        matches!(request.send().await, Ok(response) if response.status().is_success())
    }

    /// Fetches the status of another node.
    pub async fn fetch_node_status(&self, http: &str) -> Option<NodeStatus> {
        let request = self
            .client
            .get(format!(
                "http://{}/internal/brief",
                self.translate_address(http)
            ))
            .timeout(PEER_TIMEOUT);
        request.send().await.ok()?.json().await.ok()
    }
}

/// Fetches a stored response from the node that owns its key.
pub(crate) async fn fetch_response(
    core: &GatewayCore,
    address: &str,
    name: &str,
    token: &str,
) -> Option<OwnerResponse> {
    let request = core
        .client
        .get(format!(
            "http://{}/v1/answers/{name}",
            core.translate_address(address)
        ))
        .bearer_auth(token)
        .header(headers::KEYED, "passed")
        .timeout(PEER_TIMEOUT);
    let response = request.send().await.ok()?;
    OwnerResponse::read(response).await
}

async fn verify_forwarded(
    core: &Arc<GatewayCore>,
    request: &mut Request,
    stage: &str,
) -> Result<VerifiedRequest, Box<Refusal>> {
    let arrived = Instant::now();
    let config = crate::admit::serving_config(core)?;
    let bad = |detail: &str| Box::new(Refusal::detail(ResultCode::BadRequest, detail));
    let received = request.headers().clone();
    let field = |name: &str| headers::text(&received, name).map(str::to_owned);
    let (Some(id), Some(account), Some(caller), Some(proof)) = (
        field(headers::REQUEST),
        field(headers::ACCOUNT),
        field(headers::CALLER),
        field(headers::PROOF),
    ) else {
        core.counters.proofs_refused.inc();
        return Err(Box::new(Refusal::new(ResultCode::BadCredential)));
    };
    let remaining_ms: u64 = field(headers::DEADLINE)
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| bad("no deadline"))?;
    let service_name: ServiceId = request
        .param::<String>("service")
        .unwrap_or_default()
        .into();
    let Some(service) = config.services.get(&service_name).cloned() else {
        return Err(Box::new(Refusal::new(ResultCode::UnknownService)));
    };
    let body = read_body(request, service.body_limit, core.settings.body_timeout).await?;
    let fields = signed_fields(stage, &id, &account, &caller, remaining_ms, &body);
    let fields: Vec<&str> = fields.iter().map(|field| &**field).collect();
    if !core.peer_auth.verify(&fields, &proof) {
        core.counters.proofs_refused.inc();
        return Err(Box::new(Refusal::new(ResultCode::BadCredential)));
    }
    let Some(entry) = config.accounts.accounts.get(account.as_str()).cloned() else {
        return Err(Box::new(Refusal::new(ResultCode::BadCredential)));
    };
    let rest = request.param::<String>("rest").unwrap_or_default();
    let path = match request.uri().query() {
        Some(query) => format!("/{rest}?{query}"),
        None => format!("/{rest}"),
    };
    let caller_identity = CallerIdentity {
        account: account.into(),
        caller: caller.into(),
        entry,
    };
    let home = caller_identity.entry.home == core.identity.region;
    let bound = service.is_bound(request.method().as_str());
    if bound && !home {
        // A node with an older configuration may have forwarded a bound request; it is not run
        // here.
        return Err(Box::new(Refusal::new(ResultCode::BoundElsewhere)));
    }
    let in_flight = core
        .try_begin(&caller_identity.account, 0)
        .ok_or_else(|| bad("no room"))?;
    let mut count = CountGuard::new(core, &config, &caller_identity, &service_name, arrived);
    count.leave_to_sender();
    let work = field(headers::WORK)
        .as_deref()
        .and_then(WorkKind::parse)
        .unwrap_or(service.work);
    let at_most_once = service.is_once(request.method().as_str())
        || field(headers::REPEAT).as_deref() == Some("once");
    let head = RequestHead {
        method: request.method().clone(),
        service: service_name,
        path: path.into(),
        headers: request.headers().clone(),
        arrived,
    };
    let admitted = AdmittedRequest {
        id: id.into(),
        config,
        head,
        scope: if bound {
            PlacementScope::Region
        } else {
            PlacementScope::Anywhere
        },
        service,
        caller_identity,
        work,
        at_most_once,
        guest: false,
        deadline: arrived + Duration::from_millis(remaining_ms),
        count,
        in_flight,
    };
    Ok(VerifiedRequest { admitted, body })
}

async fn run_forwarded(core: &Arc<GatewayCore>, verified: VerifiedRequest) -> Reply {
    let VerifiedRequest { admitted, body } = verified;
    let info = match inspect_body(&admitted, &body) {
        Ok(info) => info,
        Err(refusal) => return Reply::Refused(admitted.id, refusal),
    };
    let resume = headers::text(&admitted.head.headers, headers::RESUME)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let outbound = Arc::new(OutboundRequest {
        id: admitted.id,
        config: admitted.config,
        service_name: admitted.head.service,
        service: admitted.service,
        caller_identity: admitted.caller_identity,
        method: admitted.head.method,
        path: admitted.head.path,
        key: headers::text(&admitted.head.headers, headers::KEY).map(Box::from),
        headers: admitted.head.headers,
        body,
        at_most_once: admitted.at_most_once,
        work: admitted.work,
        scope: admitted.scope,
        guest: admitted.guest,
        deadline: admitted.deadline,
        prefix: info.prefix,
        prompt: info.prompt,
        resume,
        sent: AtomicBool::new(false),
    });
    if outbound.service.kind == ServiceKind::Engine {
        return serve_stream(core, outbound, None, admitted.in_flight).await;
    }
    match run_plain(core, &outbound).await {
        Ok(cached) => Reply::Complete(Arc::new(cached)),
        Err(refusal) => Reply::Refused(outbound.id.clone(), refusal),
    }
}

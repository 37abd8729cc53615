//! Sends requests to backend servers and to nodes of other data centres.

use crate::GatewayCore;
use crate::admit::CallerIdentity;
use crate::framing::has_sound_framing;
use crate::headers;
use bytes::Bytes;
use reqwest::RequestBuilder;
use reqwest::Response;
use salvo::http::HeaderMap;
use salvo::http::Method;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use tokio::time::timeout;
use zinniahatch_base::digest_text;
use zinniahatch_base::prelude::*;
use zinniahatch_config::ClusterConfig;
use zinniahatch_config::ServiceEntry;
use zinniahatch_config::ServiceKind;
use zinniahatch_config::WorkKind;
use zinniahatch_control::PlacementQuery;
use zinniahatch_control::PlacementScope;
use zinniahatch_protocol::EntryAddress;

/// A request that is ready to be sent.
pub(crate) struct OutboundRequest {
    pub(crate) id: RequestId,
    pub(crate) config: Arc<ClusterConfig>,
    pub(crate) service_name: ServiceId,
    pub(crate) service: ServiceEntry,
    pub(crate) caller_identity: CallerIdentity,
    pub(crate) method: Method,
    pub(crate) path: Box<str>,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Idempotency key of the request.
    pub(crate) key: Option<Box<str>>,
    /// Whether the request must not run twice.
    pub(crate) at_most_once: bool,
    pub(crate) work: WorkKind,
    pub(crate) scope: PlacementScope,
    /// Whether another data centre sent the request and its account has another home region.
    pub(crate) guest: bool,
    pub(crate) deadline: Instant,
    /// Hash of the start of the first message, for prefix-cache affinity.
    pub(crate) prefix: Option<ShortTag>,
    /// Estimated prompt length in tokens.
    pub(crate) prompt: u64,
    /// Number of events that were already relayed to the caller.
    pub(crate) resume: u64,
    /// Whether the request may have reached a backend server or another data centre.
    pub(crate) sent: AtomicBool,
}

/// Why a send yielded no response to relay.
#[derive(Debug)]
pub(crate) enum SendFailure {
    /// No connection was established, so nothing was sent.
    NotSent,
    /// The receiver reports that it did not run the request.
    Refused { leaving: bool },
    /// The connection failed after something was sent.
    Broken,
}

impl OutboundRequest {
    /// Builds the query for a placement decision.
    pub(crate) fn placement_query(
        &self,
        core: &GatewayCore,
        avoid: &BTreeSet<ShortTag>,
        avoid_data_centres: &BTreeSet<DataCentreId>,
    ) -> PlacementQuery {
        PlacementQuery {
            number: core.next_number(),
            service: self.service_name.clone(),
            account: self.caller_identity.account.clone(),
            class: self.caller_identity.entry.class.clone(),
            work: self.work,
            deadline: self.deadline,
            prefix: self.prefix,
            prompt: self.prompt,
            scope: self.scope,
            guest: self.guest,
            avoid: avoid.clone(),
            avoid_data_centres: avoid_data_centres.clone(),
        }
    }

    pub(crate) fn is_engine(&self) -> bool {
        self.service.kind == ServiceKind::Engine
    }

    pub(crate) fn was_sent(&self) -> bool {
        self.sent.load(Ordering::SeqCst)
    }

    /// Returns the time within which the response headers must arrive.
    ///
    /// An engine sends its headers when it accepts the request; a plain service sends them when it
    /// has finished.
    fn response_timeout(&self) -> Duration {
        const STALLS: u32 = 2;
        self.config.preset().stall_after * STALLS
    }

    fn builder(&self, core: &GatewayCore, url: String) -> RequestBuilder {
        let client = if self.at_most_once {
            &core.unpooled_client
        } else {
            &core.client
        };
        let mut request = client.request(self.method.clone(), url);
        for (name, value) in &self.headers {
            if headers::forwards_request_header(name) {
                request = request.header(name, value);
            }
        }
        if let Some(key) = &self.key {
            request = request.header(headers::KEY, &**key);
        }
        request.body(self.body.clone())
    }
}

/// Sends a request to a backend server under an id that the response must echo.
pub(crate) async fn send_replica(
    core: &GatewayCore,
    outbound: &OutboundRequest,
    address: &str,
    id: &str,
    resume: u64,
) -> Result<Response, SendFailure> {
    let url = format!("{address}{}", outbound.path);
    let mut request = outbound
        .builder(core, url)
        .header(headers::BACKEND_REQUEST, id)
        .header(headers::PRIORITY, outbound.work.as_str());
    if resume > 0 {
        request = request.header(headers::RESUME, resume);
    }
    let before = outbound.was_sent();
    let response = send(outbound, request).await?;
    let echoed = headers::text(response.headers(), headers::BACKEND_REQUEST);
    if echoed.is_some_and(|echo| echo != id) {
        // This response belongs to another request on the same connection and must not be relayed.
        return Err(SendFailure::Broken);
    }
    if headers::text(response.headers(), headers::NOT_RUN).is_some() {
        let leaving = headers::text(response.headers(), headers::LEAVING).is_some();
        outbound.sent.store(before, Ordering::SeqCst);
        return Err(SendFailure::Refused { leaving });
    }
    Ok(response)
}

/// Sends a request to a node of another data centre, which runs it there or responds "not run".
pub(crate) async fn send_remote(
    core: &GatewayCore,
    outbound: &OutboundRequest,
    entry: &EntryAddress,
    resume: u64,
) -> Result<Response, SendFailure> {
    let remaining_ms = outbound
        .deadline
        .saturating_duration_since(Instant::now())
        .as_millis() as u64;
    let url = format!(
        "http://{}/internal/away/{}{}",
        core.translate_address(&entry.http),
        outbound.service_name,
        outbound.path
    );
    let request =
        forward(core, outbound, "away", url, remaining_ms).header(headers::RESUME, resume);
    let before = outbound.was_sent();
    let response = send(outbound, request).await?;
    let refused =
        headers::text(response.headers(), headers::EXECUTION) == Some(Execution::NotRun.as_str());
    if refused {
        outbound.sent.store(before, Ordering::SeqCst);
        return Err(SendFailure::Refused { leaving: false });
    }
    if headers::text(response.headers(), headers::CODE).is_none() {
        return Err(SendFailure::Broken);
    }
    Ok(response)
}

/// Builds a forwarded request with the proof that a node of the cluster sent it.
pub(crate) fn forward(
    core: &GatewayCore,
    outbound: &OutboundRequest,
    stage: &str,
    url: String,
    remaining_ms: u64,
) -> RequestBuilder {
    let fields = signed_fields(
        stage,
        &outbound.id,
        &outbound.caller_identity.account,
        &outbound.caller_identity.caller,
        remaining_ms,
        &outbound.body,
    );
    let fields: Vec<&str> = fields.iter().map(|field| &**field).collect();
    let mut request = outbound
        .builder(core, url)
        .header(headers::REQUEST, &*outbound.id)
        .header(headers::ACCOUNT, &*outbound.caller_identity.account)
        .header(headers::CALLER, &*outbound.caller_identity.caller)
        .header(headers::DEADLINE, remaining_ms)
        .header(headers::WORK, outbound.work.as_str())
        .header(headers::PROOF, core.peer_auth.sign(&fields));
    if outbound.at_most_once {
        request = request.header(headers::REPEAT, "once");
    }
    request
}

/// Returns the fields that the proof of a forwarded request covers.
pub(crate) fn signed_fields(
    stage: &str,
    id: &str,
    account: &str,
    caller: &str,
    remaining_ms: u64,
    body: &Bytes,
) -> [Box<str>; 6] {
    let digest = blake3::hash(body).to_hex().to_string();
    [
        stage.into(),
        id.into(),
        account.into(),
        caller.into(),
        remaining_ms.to_string().into(),
        digest.into(),
    ]
}

/// Returns the digest that identifies the request of an idempotency key.
pub(crate) fn request_digest(outbound: &OutboundRequest) -> PartHash {
    let body = blake3::hash(&outbound.body).to_hex();
    digest_text(&format!(
        "{}\n{}\n{}\n{body}",
        outbound.method, outbound.service_name, outbound.path
    ))
}

async fn send(
    outbound: &OutboundRequest,
    request: RequestBuilder,
) -> Result<Response, SendFailure> {
    // Set before sending, because the deadline may cancel this future while the request is in
    // transit.
    let before = outbound.sent.swap(true, Ordering::SeqCst);
    let result = if outbound.at_most_once {
        request.send().await
    } else {
        // A pooled connection that is dead without having been closed accepts a request and never
        // responds. A repeatable request is tried elsewhere; any other must wait, because it cannot
        // be safely resent.
        match timeout(outbound.response_timeout(), request.send()).await {
            Ok(result) => result,
            Err(_) => return Err(SendFailure::Broken),
        }
    };
    match result {
        Ok(response) if has_sound_framing(&response) => Ok(response),
        // Without a connection no byte was sent, so the request did not run there.
        Err(error) if error.is_connect() => {
            outbound.sent.store(before, Ordering::SeqCst);
            Err(SendFailure::NotSent)
        }
        Ok(_) | Err(_) => {
            // A concurrent hedge that was refused may have reset the flag.
            outbound.sent.store(true, Ordering::SeqCst);
            Err(SendFailure::Broken)
        }
    }
}

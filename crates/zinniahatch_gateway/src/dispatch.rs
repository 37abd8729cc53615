//! Sending a request to a backend server or to a node of another data centre.

use crate::GatewayCore;
use crate::admit::KnownCaller;
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
pub(crate) struct RunCall {
    pub(crate) id: RequestId,
    pub(crate) config: Arc<ClusterConfig>,
    pub(crate) service_name: ServiceId,
    pub(crate) service: ServiceEntry,
    pub(crate) who: KnownCaller,
    pub(crate) method: Method,
    pub(crate) path: Box<str>,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) key: Option<Box<str>>,
    pub(crate) once: bool,
    pub(crate) work: WorkKind,
    pub(crate) scope: PlacementScope,
    pub(crate) guest: bool,
    pub(crate) deadline: Instant,
    pub(crate) prefix: Option<ShortTag>,
    pub(crate) prompt: u64,
    pub(crate) resume: u64,
    pub(crate) sent: AtomicBool,
}

/// Why a send gave no answer to pass on.
#[derive(Debug)]
pub(crate) enum SendFailure {
    /// No connection: nothing was sent.
    NotSent,
    /// The receiver says that it did not run the request.
    Refused { leaving: bool },
    /// The connection broke after something was sent.
    Broken,
}

impl RunCall {
    /// Makes what the tables are asked.
    pub(crate) fn ask(
        &self,
        core: &GatewayCore,
        avoid: &BTreeSet<ShortTag>,
        avoid_centres: &BTreeSet<DataCentreId>,
    ) -> PlacementQuery {
        PlacementQuery {
            number: core.next_number(),
            service: self.service_name.clone(),
            account: self.who.account.clone(),
            class: self.who.entry.class.clone(),
            work: self.work,
            deadline: self.deadline,
            prefix: self.prefix,
            prompt: self.prompt,
            scope: self.scope,
            guest: self.guest,
            avoid: avoid.clone(),
            avoid_centres: avoid_centres.clone(),
        }
    }

    pub(crate) fn is_engine(&self) -> bool {
        self.service.kind == ServiceKind::Engine
    }

    pub(crate) fn was_sent(&self) -> bool {
        self.sent.load(Ordering::SeqCst)
    }

    /// Gives the time in which an answer must begin.
    ///
    /// An engine sends its headers when it takes the request; a plain service, when it is done.
    fn answer_patience(&self) -> Duration {
        const STALLS: u32 = 2;
        self.config.preset().stall_after * STALLS
    }

    fn builder(&self, core: &GatewayCore, url: String) -> RequestBuilder {
        let client = if self.once {
            &core.once_client
        } else {
            &core.client
        };
        let mut request = client.request(self.method.clone(), url);
        for (name, value) in &self.headers {
            if headers::passes_request(name) {
                request = request.header(name, value);
            }
        }
        if let Some(key) = &self.key {
            request = request.header(headers::KEY, &**key);
        }
        request.body(self.body.clone())
    }
}

/// Sends a request to a backend server under an id that the answer must carry back.
pub(crate) async fn send_replica(
    core: &GatewayCore,
    call: &RunCall,
    address: &str,
    id: &str,
    resume: u64,
) -> Result<Response, SendFailure> {
    let url = format!("{address}{}", call.path);
    let mut request = call
        .builder(core, url)
        .header(headers::BACKEND_REQUEST, id)
        .header(headers::PRIORITY, call.work.as_str());
    if resume > 0 {
        request = request.header(headers::RESUME, resume);
    }
    let before = call.was_sent();
    let response = send(call, request).await?;
    let echoed = headers::text(response.headers(), headers::BACKEND_REQUEST);
    if echoed.is_some_and(|echo| echo != id) {
        // An answer to another request on this connection: it is not passed on.
        return Err(SendFailure::Broken);
    }
    if headers::text(response.headers(), headers::NOT_RUN).is_some() {
        let leaving = headers::text(response.headers(), headers::LEAVING).is_some();
        call.sent.store(before, Ordering::SeqCst);
        return Err(SendFailure::Refused { leaving });
    }
    Ok(response)
}

/// Sends a request to a node of another data centre, which runs it there or answers "not run".
pub(crate) async fn send_away(
    core: &GatewayCore,
    call: &RunCall,
    entry: &EntryAddress,
    resume: u64,
) -> Result<Response, SendFailure> {
    let left = call
        .deadline
        .saturating_duration_since(Instant::now())
        .as_millis() as u64;
    let url = format!(
        "http://{}/internal/away/{}{}",
        core.reach(&entry.http),
        call.service_name,
        call.path
    );
    let request = forward(core, call, "away", url, left).header(headers::RESUME, resume);
    let before = call.was_sent();
    let response = send(call, request).await?;
    let refused =
        headers::text(response.headers(), headers::EXECUTION) == Some(Execution::NotRun.as_str());
    if refused {
        call.sent.store(before, Ordering::SeqCst);
        return Err(SendFailure::Refused { leaving: false });
    }
    if headers::text(response.headers(), headers::CODE).is_none() {
        return Err(SendFailure::Broken);
    }
    Ok(response)
}

/// Makes a forwarded request with the proof that it comes from a node.
pub(crate) fn forward(
    core: &GatewayCore,
    call: &RunCall,
    stage: &str,
    url: String,
    left: u64,
) -> RequestBuilder {
    let fields = proof_fields(
        stage,
        &call.id,
        &call.who.account,
        &call.who.caller,
        left,
        &call.body,
    );
    let fields: Vec<&str> = fields.iter().map(|field| &**field).collect();
    let mut request = call
        .builder(core, url)
        .header(headers::REQUEST, &*call.id)
        .header(headers::ACCOUNT, &*call.who.account)
        .header(headers::CALLER, &*call.who.caller)
        .header(headers::DEADLINE, left)
        .header(headers::WORK, call.work.as_str())
        .header(headers::PROOF, core.proof.make(&fields));
    if call.once {
        request = request.header(headers::REPEAT, "once");
    }
    request
}

/// Gives the fields that a proof covers.
pub(crate) fn proof_fields(
    stage: &str,
    id: &str,
    account: &str,
    caller: &str,
    left: u64,
    body: &Bytes,
) -> [Box<str>; 6] {
    let digest = blake3::hash(body).to_hex().to_string();
    [
        stage.into(),
        id.into(),
        account.into(),
        caller.into(),
        left.to_string().into(),
        digest.into(),
    ]
}

/// Gives the digest by which a key knows its request again.
pub(crate) fn request_digest(call: &RunCall) -> PartHash {
    let body = blake3::hash(&call.body).to_hex();
    digest_text(&format!(
        "{}\n{}\n{}\n{body}",
        call.method, call.service_name, call.path
    ))
}

async fn send(call: &RunCall, request: RequestBuilder) -> Result<Response, SendFailure> {
    // Noted beforehand: a deadline may end this future while the request is on its way.
    let before = call.sent.swap(true, Ordering::SeqCst);
    let result = if call.once {
        request.send().await
    } else {
        // A pooled connection that has gone silent takes a request and never answers. A repeatable
        // one is tried elsewhere instead; one that is not waits, since nothing else is safe.
        match timeout(call.answer_patience(), request.send()).await {
            Ok(result) => result,
            Err(_) => return Err(SendFailure::Broken),
        }
    };
    match result {
        Ok(response) => Ok(response),
        // Without a connection no byte was sent, so the request did not run there.
        Err(error) if error.is_connect() => {
            call.sent.store(before, Ordering::SeqCst);
            Err(SendFailure::NotSent)
        }
        Err(_) => {
            // A hedge that was refused meanwhile may have taken the note back.
            call.sent.store(true, Ordering::SeqCst);
            Err(SendFailure::Broken)
        }
    }
}

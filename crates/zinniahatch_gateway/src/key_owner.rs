//! Forwards requests to the node that owns their idempotency key, with at most one hop.

use crate::GatewayCore;
use crate::dispatch::OutboundRequest;
use crate::dispatch::forward;
use crate::framing::has_sound_framing;
use crate::framing::is_framed;
use crate::headers;
use crate::refusal::Refusal;
use crate::request_count::CountGuard;
use crate::response::TokenUsage;
use bytes::Bytes;
use salvo::Response;
use salvo::http::StatusCode;
use serde::Deserialize;
use zinniahatch_base::prelude::*;
use zinniahatch_control::MintedKey;

/// Time beyond the deadline within which the owner's refusal still arrives.
const OWNER_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// The owner's response, passed on unchanged.
pub(crate) struct OwnerResponse {
    status: u16,
    headers: Vec<(Box<str>, Box<str>)>,
    body: Bytes,
}

impl OwnerResponse {
    /// Reads the owner's response, or returns `None` if it is incomplete.
    ///
    /// Nodes state the length of a body or send it in chunks, so that one without either has lost a part of its
    /// head.
    pub(crate) async fn read(response: reqwest::Response) -> Option<Self> {
        if !is_framed(&response) || !has_sound_framing(&response) {
            return None;
        }
        let status = response.status().as_u16();
        let headers = response
            .headers()
            .iter()
            .filter(|(name, _)| {
                !["content-length", "transfer-encoding", "connection"].contains(&name.as_str())
            })
            .filter_map(|(name, value)| Some((name.as_str().into(), value.to_str().ok()?.into())))
            .collect();
        let body = response.bytes().await.ok()?;
        Some(Self {
            status,
            headers,
            body,
        })
    }

    /// Counts the request with the result that its caller receives.
    pub(crate) fn record_result(&self, count: &mut CountGuard, is_engine: bool) {
        count.mark_first_byte();
        let code = self.code();
        if is_engine && code == ResultCode::Answered {
            count.set_usage(self.usage());
        }
        if let Some(region) = self.text(headers::REGION) {
            count.set_served_region(&region.into());
        }
        count.record_result(code);
    }

    /// Returns the result code; a response without one did not come from a node.
    fn code(&self) -> ResultCode {
        let number = self.text(headers::CODE).and_then(|text| text.parse().ok());
        number
            .and_then(ResultCode::from_number)
            .unwrap_or(ResultCode::OutcomeUnknown)
    }

    fn usage(&self) -> TokenUsage {
        serde_json::from_slice::<UsageBody>(&self.body)
            .map(|body| body.usage)
            .unwrap_or_default()
    }

    fn text(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| &**known == name);
        found.map(|(_, value)| &**value)
    }

    pub(crate) fn write(self, response: &mut Response) {
        response.status_code(StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY));
        for (name, value) in &self.headers {
            crate::respond::set(response, name, value);
        }
        let _ = response.write_body(self.body);
    }
}

/// The part of a model's complete response that holds the token usage.
#[derive(Deserialize)]
struct UsageBody {
    #[serde(default)]
    usage: TokenUsage,
}

/// Returns the address of the node that holds a key's table, if this node knows it.
pub(crate) fn key_owner_address(core: &GatewayCore, key: &MintedKey) -> Option<Box<str>> {
    let control = core.control();
    if let Some((_, entry)) = control.members().key_owner(&key.node, key.incarnation) {
        return Some(entry.http.clone());
    }
    control
        .remotes()
        .find_entry(&key.node)
        .map(|entry| entry.http.clone())
}

/// Forwards a request to the owner of its key.
///
/// If the owner no longer exists, the outcome is unknown: the key may have been used there, and no
/// other node has its state. The request is never run here instead.
///
/// The request is counted here in any case, because it is unknown whether an owner that gives no
/// response ever read it.
pub(crate) async fn forward_to_owner(
    core: &GatewayCore,
    outbound: &OutboundRequest,
    key: &MintedKey,
) -> Result<OwnerResponse, Box<Refusal>> {
    let refuse = |code| Box::new(Refusal::new(code));
    let address = key_owner_address(core, key).ok_or_else(|| refuse(ResultCode::KeyOwnerGone))?;
    let remaining = outbound.deadline.saturating_duration_since(Instant::now());
    let url = format!(
        "http://{}/internal/owned/{}{}",
        core.translate_address(&address),
        outbound.service_name,
        outbound.path
    );
    let request = forward(core, outbound, "owned", url, remaining.as_millis() as u64)
        .timeout(remaining + OWNER_TIMEOUT_MARGIN);
    let response = match request.send().await {
        Ok(response) => response,
        Err(error) if error.is_connect() => return Err(refuse(ResultCode::KeyOwnerGone)),
        Err(_) => return Err(refuse(ResultCode::OutcomeUnknown)),
    };
    OwnerResponse::read(response)
        .await
        .ok_or_else(|| refuse(ResultCode::OutcomeUnknown))
}

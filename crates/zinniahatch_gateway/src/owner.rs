//! A request whose key another node owns: one hop to the owner, never a second.

use crate::GatewayCore;
use crate::answer::TokenUsage;
use crate::counting::CountGuard;
use crate::dispatch::RunCall;
use crate::dispatch::forward;
use crate::headers;
use crate::refusal::CallRefusal;
use bytes::Bytes;
use salvo::Response;
use salvo::http::StatusCode;
use serde::Deserialize;
use zinniahatch_base::prelude::*;
use zinniahatch_control::MintedKey;

/// Time beyond the deadline in which the owner's refusal still arrives.
const OWNER_SLACK: Duration = Duration::from_secs(1);

/// The owner's answer, passed on as it is.
pub(crate) struct OwnerAnswer {
    status: u16,
    headers: Vec<(Box<str>, Box<str>)>,
    body: Bytes,
}

impl OwnerAnswer {
    /// Reads the owner's answer; `None` where it did not come whole.
    pub(crate) async fn read(response: reqwest::Response) -> Option<Self> {
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

    /// Counts the request as its caller sees it.
    pub(crate) fn settle(&self, count: &mut CountGuard, is_engine: bool) {
        count.mark_first();
        let code = self.code();
        if is_engine && code == ResultCode::Answered {
            count.note_usage(self.usage());
        }
        if let Some(region) = self.text(headers::REGION) {
            count.note_served(&region.into());
        }
        count.settle(code);
    }

    /// Gives the result; an answer without one is no answer of a node.
    fn code(&self) -> ResultCode {
        let number = self.text(headers::CODE).and_then(|text| text.parse().ok());
        number
            .and_then(ResultCode::from_number)
            .unwrap_or(ResultCode::OutcomeUnknown)
    }

    fn usage(&self) -> TokenUsage {
        serde_json::from_slice::<UsedBody>(&self.body)
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

/// The part of a model's whole answer that says what it used.
#[derive(Deserialize)]
struct UsedBody {
    #[serde(default)]
    usage: TokenUsage,
}

/// Gives the address of the node that holds a key's book, as far as this node knows.
pub(crate) fn owner_address(core: &GatewayCore, key: &MintedKey) -> Option<Box<str>> {
    let control = core.control();
    if let Some((_, entry)) = control.members().key_owner(&key.node, key.incarnation) {
        return Some(entry.http.clone());
    }
    control
        .remotes()
        .find_entry(&key.node)
        .map(|entry| entry.http.clone())
}

/// Passes a request to the owner of its key.
///
/// When the owner is gone the outcome is unknown: the key may have been used there, and nobody
/// else can tell. It is never run here instead.
///
/// The request is counted here, whatever becomes of it: nobody knows whether an owner that gives no answer ever
/// read it.
pub(crate) async fn pass_to_owner(
    core: &GatewayCore,
    call: &RunCall,
    key: &MintedKey,
) -> Result<OwnerAnswer, Box<CallRefusal>> {
    let refuse = |code| Box::new(CallRefusal::new(code));
    let address = owner_address(core, key).ok_or_else(|| refuse(ResultCode::KeyOwnerGone))?;
    let left = call.deadline.saturating_duration_since(Instant::now());
    let url = format!(
        "http://{}/internal/owned/{}{}",
        core.reach(&address),
        call.service_name,
        call.path
    );
    let request =
        forward(core, call, "owned", url, left.as_millis() as u64).timeout(left + OWNER_SLACK);
    let response = match request.send().await {
        Ok(response) => response,
        Err(error) if error.is_connect() => return Err(refuse(ResultCode::KeyOwnerGone)),
        Err(_) => return Err(refuse(ResultCode::OutcomeUnknown)),
    };
    OwnerAnswer::read(response)
        .await
        .ok_or_else(|| refuse(ResultCode::OutcomeUnknown))
}

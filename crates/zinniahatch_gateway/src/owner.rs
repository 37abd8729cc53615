//! A request whose key another node owns: one hop to the owner, never a second.

use crate::GatewayCore;
use crate::dispatch::RunCall;
use crate::dispatch::forward;
use crate::refusal::CallRefusal;
use bytes::Bytes;
use salvo::Response;
use salvo::http::StatusCode;
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

    pub(crate) fn write(self, response: &mut Response) {
        response.status_code(StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY));
        for (name, value) in &self.headers {
            crate::respond::set(response, name, value);
        }
        let _ = response.write_body(self.body);
    }
}

/// What an owner that gave no answer means for the count.
pub(crate) enum OwnerFailure {
    /// The owner saw nothing and counts nothing.
    Unseen(Box<CallRefusal>),
    /// The owner may have seen and counted the request.
    Seen(Box<CallRefusal>),
}

/// Gives the address of the node that holds a key's book, as far as this node knows.
pub(crate) fn owner_address(core: &GatewayCore, key: &MintedKey) -> Option<Box<str>> {
    let control = core.control();
    if let Some((_, entry)) = control.members().key_holder(&key.node, key.incarnation) {
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
pub(crate) async fn pass_to_owner(
    core: &GatewayCore,
    call: &RunCall,
    key: &MintedKey,
) -> Result<OwnerAnswer, OwnerFailure> {
    let gone = || Box::new(CallRefusal::new(ResultCode::KeyOwnerGone));
    let address = owner_address(core, key).ok_or_else(|| OwnerFailure::Unseen(gone()))?;
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
        Err(error) if error.is_connect() => return Err(OwnerFailure::Unseen(gone())),
        Err(_) => {
            return Err(OwnerFailure::Seen(Box::new(CallRefusal::new(
                ResultCode::OutcomeUnknown,
            ))));
        }
    };
    match OwnerAnswer::read(response).await {
        Some(answer) => Ok(answer),
        None => Err(OwnerFailure::Seen(Box::new(CallRefusal::new(
            ResultCode::OutcomeUnknown,
        )))),
    }
}

//! Reading and inspection of request bodies.

use crate::admit::AdmittedRequest;
use crate::refusal::Refusal;
use bytes::Bytes;
use futures_util::StreamExt;
use salvo::Request;
use salvo::http::ParseError;
use serde::Deserialize;
use std::borrow::Cow;
use tokio::time::timeout;
use zinniahatch_base::prelude::*;
use zinniahatch_config::ServiceKind;

/// Length in bytes of the start of the first message whose hash is the key for prefix-cache
/// affinity.
const PREFIX_BYTES: usize = 512;
/// Limits in bytes and time for draining the body of a refused request.
const MAX_DISCARD_BYTES: usize = 2 << 20;
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
/// Average bytes per token, used to estimate the prompt length.
const BYTES_PER_TOKEN: u64 = 4;

/// What routing needs to know about a request body.
#[derive(Clone, Debug, Default)]
pub(crate) struct BodyInfo {
    pub(crate) stream: bool,
    pub(crate) prefix: Option<ShortTag>,
    pub(crate) prompt: u64,
}

#[derive(Deserialize)]
struct ChatBody<'a> {
    #[serde(default)]
    stream: Option<bool>,
    #[serde(borrow)]
    messages: Vec<ChatMessage<'a>>,
}

#[derive(Deserialize)]
struct ChatMessage<'a> {
    #[serde(borrow, default)]
    content: Cow<'a, str>,
}

/// Reads the body within its size and time limits.
pub(crate) async fn read_body(
    request: &mut Request,
    limit: u64,
    time: Duration,
) -> Result<Bytes, Box<Refusal>> {
    let size = usize::try_from(limit).unwrap_or(usize::MAX);
    match timeout(time, request.payload_with_max_size(size)).await {
        Ok(Ok(bytes)) => Ok(bytes.clone()),
        Ok(Err(ParseError::PayloadTooLarge)) => {
            Err(Box::new(Refusal::unread(ResultCode::BodyTooLarge)))
        }
        Ok(Err(error)) => Err(Box::new(Refusal::detail(
            ResultCode::BadRequest,
            &format!("the body cannot be read: {error}"),
        ))),
        Err(_) => Err(Box::new(Refusal::unread(ResultCode::BodyTooSlow))),
    }
}

/// Drains the body of a refused request, up to a size and a time limit, so that its connection can be
/// kept; returns whether it came to its end. The bytes are not inspected.
pub(crate) async fn discard_body(request: &mut Request) -> bool {
    let mut body = request.take_body();
    let discard = async {
        let mut remaining = MAX_DISCARD_BYTES;
        while let Some(Ok(frame)) = body.next().await {
            let size = frame.data_ref().map_or(0, Bytes::len);
            if size >= remaining {
                return false;
            }
            remaining -= size;
        }
        true
    };
    timeout(DISCARD_TIMEOUT, discard).await.unwrap_or(false)
}

/// Extracts what routing needs from a body; refuses a model request that is not chat JSON.
pub(crate) fn inspect_body(
    admitted: &AdmittedRequest,
    body: &Bytes,
) -> Result<BodyInfo, Box<Refusal>> {
    if admitted.service.kind == ServiceKind::Plain {
        return Ok(BodyInfo::default());
    }
    let chat: ChatBody<'_> = serde_json::from_slice(body).map_err(|error| {
        Box::new(Refusal::detail(
            ResultCode::BadRequest,
            &format!("the body is not a chat request: {error}"),
        ))
    })?;
    let Some(first) = chat.messages.first() else {
        return Err(Box::new(Refusal::detail(
            ResultCode::BadRequest,
            "`messages` is empty",
        )));
    };
    let end = first.content.len().min(PREFIX_BYTES);
    let prefix = &first.content.as_bytes()[..end];
    let size: u64 = chat
        .messages
        .iter()
        .map(|message| message.content.len() as u64)
        .sum();
    Ok(BodyInfo {
        stream: chat.stream.unwrap_or(false),
        prefix: Some(tag_of(&String::from_utf8_lossy(prefix))),
        prompt: size / BYTES_PER_TOKEN + 1,
    })
}

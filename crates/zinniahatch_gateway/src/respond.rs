//! Writes responses: complete, as a stream, or as a refusal.

use crate::GatewayCore;
use crate::core::InFlightGuard;
use crate::dispatch::OutboundRequest;
use crate::engine_stream::EngineStream;
use crate::headers;
use crate::refusal::Refusal;
use crate::request_count::CountGuard;
use crate::response::CachedResponse;
use crate::response::TokenUsage;
use crate::sse::token_text;
use bytes::Bytes;
use futures_util::stream;
use salvo::Response;
use salvo::http::HeaderName;
use salvo::http::HeaderValue;
use salvo::http::ResBody;
use salvo::http::StatusCode;
use serde::Serialize;
use std::io;
use std::sync::Arc;
use zinniahatch_base::prelude::*;

#[derive(Serialize)]
struct ChatResponse<'a> {
    id: &'a str,
    object: &'static str,
    choices: [ChatChoice; 1],
    usage: TokenUsage,
}

#[derive(Serialize)]
struct ChatChoice {
    index: u32,
    message: ChatMessage,
    finish_reason: &'static str,
}

#[derive(Serialize)]
struct ChatMessage {
    role: &'static str,
    content: String,
}

/// State of a response stream to the caller.
struct StreamState {
    stream: EngineStream,
    first: Option<Bytes>,
    count: Option<CountGuard>,
    _in_flight: InFlightGuard,
    failed: bool,
}

/// Reads a model's stream to its end, for callers that want the response in one piece.
pub(crate) async fn collect_stream(
    core: &Arc<GatewayCore>,
    outbound: Arc<OutboundRequest>,
) -> Result<CachedResponse, Box<Refusal>> {
    let started = Instant::now();
    let mut stream = EngineStream::open(core, Arc::clone(&outbound)).await?;
    let mut first_byte = None;
    let mut content = String::new();
    while let Some(events) = stream.next().await? {
        first_byte.get_or_insert(started.elapsed());
        content.push_str(&token_text(&events));
    }
    let completion = ChatResponse {
        id: &outbound.id,
        object: "chat.completion",
        choices: [ChatChoice {
            index: 0,
            message: ChatMessage {
                role: "assistant",
                content,
            },
            finish_reason: "stop",
        }],
        usage: stream.usage(),
    };
    let body = serde_json::to_vec(&completion).unwrap_or_default();
    Ok(CachedResponse {
        request: outbound.id.clone(),
        status: 200,
        headers: vec![("content-type".into(), "application/json".into())],
        body: body.into(),
        code: ResultCode::Answered,
        revision: outbound.config.revision,
        served: stream.served.clone(),
        usage: stream.usage(),
        first_byte: first_byte.unwrap_or_default(),
    })
}

/// Writes a complete response.
pub(crate) fn write_response(response: &mut Response, cached: &CachedResponse) {
    response.status_code(StatusCode::from_u16(cached.status).unwrap_or(StatusCode::BAD_GATEWAY));
    for (name, value) in &cached.headers {
        set(response, name, value);
    }
    write_standard_headers(
        response,
        &cached.request,
        cached.revision,
        &cached.served,
        cached.code,
    );
    let _ = response.write_body(cached.body.clone());
}

/// Writes a refusal.
pub(crate) fn write_refusal(
    response: &mut Response,
    core: &GatewayCore,
    request: &str,
    refusal: &Refusal,
) {
    response.status_code(
        StatusCode::from_u16(refusal.code.status()).unwrap_or(StatusCode::BAD_GATEWAY),
    );
    let revision = core.control().syncer().revision();
    write_standard_headers(
        response,
        request,
        revision,
        &core.identity.region,
        refusal.code,
    );
    if refusal.closes {
        set(response, "connection", "close");
    }
    if let Some(after) = refusal.retry_after {
        set(response, "retry-after", &after.as_secs().max(1).to_string());
    }
    write_json(response, &refusal.body());
}

/// Writes a body as JSON.
pub(crate) fn write_json(response: &mut Response, body: &impl Serialize) {
    set(response, "content-type", "application/json");
    let _ = response.write_body(serde_json::to_vec(body).unwrap_or_default());
}

/// Writes the headers that every response carries.
pub(crate) fn write_standard_headers(
    response: &mut Response,
    request: &str,
    revision: Revision,
    region: &str,
    code: ResultCode,
) {
    set(response, headers::REQUEST, request);
    set(response, headers::REVISION, &revision.to_string());
    set(response, headers::REGION, region);
    set(response, headers::CODE, &code.number().to_string());
    set(response, headers::EXECUTION, code.execution().as_str());
}

/// Writes a model's stream; `first` is the part that was already read.
pub(crate) fn write_stream(
    response: &mut Response,
    stream: EngineStream,
    first: Bytes,
    mut count: Option<CountGuard>,
    in_flight: InFlightGuard,
) {
    response.status_code(StatusCode::OK);
    set(response, "content-type", "text/event-stream");
    set(response, "cache-control", "no-cache");
    write_standard_headers(
        response,
        &stream.outbound.id,
        stream.outbound.config.revision,
        &stream.served,
        ResultCode::Answered,
    );
    if let Some(count) = &mut count {
        count.mark_first_byte();
    }
    let state = StreamState {
        stream,
        first: Some(first),
        count,
        _in_flight: in_flight,
        failed: false,
    };
    response.body(ResBody::stream(Box::pin(stream::unfold(state, next_chunk))));
}

async fn next_chunk(mut state: StreamState) -> Option<(Result<Bytes, io::Error>, StreamState)> {
    if state.failed {
        // The connection is aborted, so that no caller takes a truncated response for a complete
        // one.
        return Some((Err(io::Error::other("the response was cut off")), state));
    }
    if let Some(first) = state.first.take() {
        return Some((Ok(first), state));
    }
    match state.stream.next().await {
        Ok(Some(events)) => {
            if state.stream.is_complete() {
                state.record_result(ResultCode::Answered);
            }
            Some((Ok(events), state))
        }
        Ok(None) => {
            state.record_result(ResultCode::Answered);
            None
        }
        Err(refusal) => {
            state.record_result(refusal.code);
            state.failed = true;
            let body = serde_json::to_string(&refusal.body()).unwrap_or_default();
            Some((
                Ok(Bytes::from(format!("event: error\ndata: {body}\n\n"))),
                state,
            ))
        }
    }
}

impl StreamState {
    fn record_result(&mut self, code: ResultCode) {
        if let Some(mut count) = self.count.take() {
            count.set_usage(self.stream.usage());
            count.set_served_region(&self.stream.served);
            count.record_result(code);
        }
    }
}

pub(crate) fn set(response: &mut Response, name: &str, value: &str) {
    let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::from_str(value)) else {
        return;
    };
    response.headers_mut().insert(name, value);
}

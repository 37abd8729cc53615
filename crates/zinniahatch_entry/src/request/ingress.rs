//! Reads requests of callers and of other nodes completely and passes them to `serve`.

use crate::core::EntryCore;
use crate::core::StopPhase;
use crate::counts::counting::COUNTS_PATH;
use crate::counts::counting::accept_post;
use crate::nodes::snapshot::SNAPSHOT_PATH;
use crate::nodes::snapshot::encode_snapshot;
use crate::request::gateway_response::gateway_response;
use crate::request::received::ForwardInfo;
use crate::request::received::ForwardedAccount;
use crate::request::received::ReceivedRequest;
use crate::request::received::RequestOrigin;
use crate::request::response_body::ResponseBody;
use crate::request::send::FORWARDED_ACCOUNT;
use crate::request::send::FORWARDED_BEGUN;
use crate::request::send::FORWARDED_KEY;
use crate::request::send::FORWARDED_SERVICE;
use crate::request::send::FORWARDED_SOFTWARE;
use crate::request::send::FORWARDED_SPENT;
use crate::request::send::FORWARDED_VERSION;
use crate::request::serve::serve;
use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::Version;
use http::header;
use http::request::Parts;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;
use std::rc::Rc;
use tokio::time::timeout;
use zinniahatch_base::digest_fields;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::Credential;
use zinniahatch_platform::credential;
use zinniahatch_platform::filter_request_headers;
use zinniahatch_platform::read_caller;
use zinniahatch_route::CallerLimits;

/// Maximum length of the rest of a refused body up to which it is read, and the time limit for it.
const SHORT_REST_BYTES: u64 = 64 << 10;
const SHORT_REST_TIME: Duration = Duration::from_millis(200);

/// Time limit for receiving a body. A caller that takes longer would occupy memory for nothing.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Retry time given to callers whose bodies find no memory.
const BODY_MEMORY_RETRY: Duration = Duration::from_millis(500);

/// Maximum sizes of a request to which the limits of callers do not apply, unless those are larger.
const MAX_UNJUDGED_HEAD_BYTES: usize = 1 << 20;
const MAX_UNJUDGED_BODY_BYTES: usize = 16 << 20;
/// Maximum size of a posted body of counts. One hour of all batches kept by a node is far below it.
const MAX_COUNTS_BYTES: usize = 4 << 20;
/// Maximum bytes of a request for a snapshot: a digest for each group of replicas.
const MAX_SNAPSHOT_REQUEST_BYTES: usize = 4 << 10;

/// Who sends requests to a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestSource {
    /// Callers.
    Front,
    /// Other nodes.
    Peer,
}

/// Returns the limits in force for requests from a source.
///
/// The size of a forwarded request was checked by the node that received it from its caller, which may
/// follow another version of the desired state and has added headers. A node that knows no desired
/// state refuses requests for a while, and not for their size, which would be for good.
pub(crate) fn request_limits(core: &EntryCore, source: RequestSource) -> CallerLimits {
    let desired = core.desired.borrow();
    let limits = desired.as_ref().map(|state| state.limits.clone());
    match (limits, source) {
        (Some(limits), RequestSource::Front) => limits,
        (limits, _) => {
            let limits = limits.unwrap_or_default();
            CallerLimits {
                max_header_bytes: limits.max_header_bytes.max(MAX_UNJUDGED_HEAD_BYTES),
                max_body_bytes: limits.max_body_bytes.max(MAX_UNJUDGED_BODY_BYTES),
                ..limits
            }
        }
    }
}

/// Handles one request and returns the response.
pub(crate) async fn handle_request(
    core: Rc<EntryCore>,
    source: RequestSource,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    if source == RequestSource::Peer {
        match request.uri().path() {
            SNAPSHOT_PATH => return send_snapshot(&core, request).await,
            COUNTS_PATH => return accept_counts(&core, request).await,
            _ => {}
        }
    }
    let arrived = Instant::now();
    let limits = request_limits(&core, source);
    let (parts, mut body) = request.into_parts();
    match receive(&core, source, &parts, &mut body, &limits, arrived).await {
        Ok(received) => {
            drop((parts, body));
            serve_until_end(&core, received).await
        }
        Err(code) => {
            core.metrics.note_response("", code.name());
            refuse_unread(&core, &parts, body, code).await
        }
    }
}

/// Refuses a request whose body may not have been read to its end.
///
/// A short rest is read, so that the connection can be kept. Otherwise the answer says that it closes.
async fn refuse_unread(
    core: &EntryCore,
    parts: &Parts,
    mut body: Incoming,
    code: ResultCode,
) -> Response<ResponseBody> {
    let mut response = gateway_response(code, None, refusal_retry(code));
    // A caller that asks whether to send its body has its answer.
    let asks = parts.headers.contains_key(header::EXPECT);
    let keeps = body.is_end_stream() || !asks && drop_short_rest(&mut body).await;
    if !keeps {
        let headers = response.headers_mut();
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    core.log.write(
        "unread",
        serde_json::json!({"result": code.number(), "closes": !keeps}),
    );
    response
}

/// Returns the retry time given with the refusal of a request that was not read to its end.
pub(crate) fn refusal_retry(code: ResultCode) -> Option<Duration> {
    (code == ResultCode::BodyMemoryFull).then_some(BODY_MEMORY_RETRY)
}

/// Serves a request, or tells its caller at the end of the grace period that the outcome is unknown. A
/// closed connection would tell it less.
async fn serve_until_end(
    core: &Rc<EntryCore>,
    received: ReceivedRequest,
) -> Response<ResponseBody> {
    let attempt = received.attempt.clone();
    let mut phases = core.phase.subscribe();
    tokio::select! {
        biased;
        response = serve(core, received) => response,
        _ = phases.wait_for(|phase| *phase == StopPhase::Ending) => {
            let code = ResultCode::OutcomeUnknown;
            core.metrics.note_response("", code.name());
            core.log.write(
                "ended-open",
                serde_json::json!({"request": attempt, "result": code.number()}),
            );
            gateway_response(code, Some(&attempt), None)
        }
    }
}

async fn send_snapshot(core: &EntryCore, request: Request<Incoming>) -> Response<ResponseBody> {
    let (parts, mut rest) = request.into_parts();
    let body = match read_body(&mut rest, MAX_SNAPSHOT_REQUEST_BYTES).await {
        Ok(body) => body,
        Err(code) => return refuse_unread(core, &parts, rest, code).await,
    };
    match encode_snapshot(core, &body, Instant::now()) {
        Some(snapshot) => Response::new(ResponseBody::whole(snapshot)),
        None => gateway_response(ResultCode::QueueFull, None, None),
    }
}

async fn accept_counts(core: &EntryCore, request: Request<Incoming>) -> Response<ResponseBody> {
    let (parts, mut rest) = request.into_parts();
    let body = match read_body(&mut rest, MAX_COUNTS_BYTES).await {
        Ok(body) => body,
        Err(code) => return refuse_unread(core, &parts, rest, code).await,
    };
    match accept_post(core, &body) {
        Some(merged) => Response::new(ResponseBody::whole(merged)),
        None => gateway_response(ResultCode::BadRequest, None, None),
    }
}

async fn receive(
    core: &EntryCore,
    source: RequestSource,
    parts: &Parts,
    body: &mut Incoming,
    limits: &CallerLimits,
    arrived: Instant,
) -> Result<ReceivedRequest, ResultCode> {
    if head_bytes(parts) > limits.max_header_bytes {
        return Err(ResultCode::HeadTooLarge);
    }
    let host: Box<str> = parts
        .headers
        .get(header::HOST)
        .and_then(|value| value.to_str().ok())
        .ok_or(ResultCode::BadRequest)?
        .into();
    let caller = read_caller(&parts.headers).map_err(|_| ResultCode::BadRequest)?;
    let path: Box<str> = parts
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str())
        .into();
    let length = stated_length(body, limits.max_body_bytes)?;
    // A body whose length is not stated may have any that is allowed.
    let most = length.unwrap_or(limits.max_body_bytes) + head_bytes(parts);
    let Some(mut reservation) = core.body_memory.reserve(most) else {
        core.log_memory_full(&core.body_memory, &caller.attempt, most);
        return Err(ResultCode::BodyMemoryFull);
    };
    let body = read_body(body, limits.max_body_bytes).await?;
    reservation.shrink_to(body.len() + head_bytes(parts));
    let origin = match source {
        RequestSource::Front => RequestOrigin::Direct,
        RequestSource::Peer => RequestOrigin::Forwarded(read_forward_info(&parts.headers)),
    };
    let credential = credential(&parts.headers);
    let mut headers = filter_request_headers(&parts.headers);
    for name in [
        FORWARDED_VERSION,
        FORWARDED_SERVICE,
        FORWARDED_SPENT,
        FORWARDED_SOFTWARE,
        FORWARDED_ACCOUNT,
        FORWARDED_KEY,
        FORWARDED_BEGUN,
    ] {
        headers.remove(name);
    }
    // The credential is kept apart from the headers so that it is never forwarded by accident.
    let authorization = headers.remove(header::AUTHORIZATION);
    let identity = caller_identity(&origin, &credential, authorization.as_ref());
    let content = digest_fields(&[
        parts.method.as_str().as_bytes(),
        host.as_bytes(),
        path.as_bytes(),
        identity,
        &body,
    ]);
    let caller_tag = digest_fields(&[identity]) as ShortTag;
    Ok(ReceivedRequest {
        attempt: caller.attempt,
        origin,
        method: parts.method.clone(),
        accepts_chunks: parts.version >= Version::HTTP_11,
        host,
        path,
        headers,
        credential,
        authorization,
        body,
        _reservation: reservation,
        content,
        caller: caller_tag,
        arrived,
        time_left: caller.time_left,
        size: caller.size,
        last_event: caller.last_event,
        resumes: caller.resumes,
    })
}

/// Returns the bytes that identify the caller.
///
/// They are the same at each node that the request passes through, and empty if the caller sent no
/// credential.
fn caller_identity<'a>(
    origin: &'a RequestOrigin,
    credential: &'a Credential,
    authorization: Option<&'a HeaderValue>,
) -> &'a [u8] {
    if let RequestOrigin::Forwarded(ForwardInfo {
        account: Some(account),
        ..
    }) = origin
    {
        return account.key.bytes();
    }
    if let Credential::Key(key) = credential {
        return key.bytes();
    }
    authorization.map_or(&[], HeaderValue::as_bytes)
}

/// Returns the size of a head with its line ends and without optional spaces.
fn head_bytes(parts: &Parts) -> usize {
    const REQUEST_LINE: usize = "  HTTP/1.1\r\n".len();
    const HEADER_LINE: usize = ": \r\n".len();
    const HEAD_END: usize = "\r\n".len();
    let lines = parts.headers.iter();
    let lines = lines.map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE);
    let target = parts.uri.path_and_query();
    let target = target.map_or(1, |target| target.as_str().len());
    parts.method.as_str().len() + target + REQUEST_LINE + lines.sum::<usize>() + HEAD_END
}

fn read_forward_info(headers: &HeaderMap) -> ForwardInfo {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let number = |name| text(name).and_then(|value| value.parse().ok()).unwrap_or(0);
    ForwardInfo {
        version: number(FORWARDED_VERSION),
        service: text(FORWARDED_SERVICE).unwrap_or_default().into(),
        spent: Duration::from_millis(number(FORWARDED_SPENT)),
        software: text(FORWARDED_SOFTWARE).and_then(|tag| tag.parse().ok()),
        begun: headers.contains_key(FORWARDED_BEGUN),
        account: text(FORWARDED_ACCOUNT).and_then(|name| {
            let key = KeyDigest::parse(text(FORWARDED_KEY)?)?;
            Some(ForwardedAccount {
                name: name.into(),
                key,
            })
        }),
    }
}

/// Returns the length of a body if it is stated.
fn stated_length(body: &Incoming, limit: usize) -> Result<Option<usize>, ResultCode> {
    let Some(length) = body.size_hint().exact() else {
        return Ok(None);
    };
    let length = usize::try_from(length).ok();
    match length.filter(|length| *length <= limit) {
        None => Err(ResultCode::BodyTooLarge),
        length => Ok(length),
    }
}

async fn read_body(body: &mut Incoming, limit: usize) -> Result<Bytes, ResultCode> {
    let length = stated_length(body, limit)?.unwrap_or_default();
    let reading = read_frames(Limited::new(body, limit), length);
    timeout(BODY_TIMEOUT, reading)
        .await
        .map_err(|_| ResultCode::BodyTooSlow)?
}

/// Reads and drops the rest of a body if it is short; returns whether it came to its end.
async fn drop_short_rest(body: &mut Incoming) -> bool {
    let rest = body.size_hint().upper();
    if rest.is_none_or(|rest| rest > SHORT_REST_BYTES) {
        return false;
    }
    let reading = async {
        while let Some(frame) = body.frame().await {
            if frame.is_err() {
                return false;
            }
        }
        true
    };
    timeout(SHORT_REST_TIME, reading).await.unwrap_or(false)
}

/// Reads a body into one buffer, which holds a large one once and not twice.
async fn read_frames(mut body: Limited<&mut Incoming>, length: usize) -> Result<Bytes, ResultCode> {
    let mut bytes = BytesMut::with_capacity(length);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            if error.is::<LengthLimitError>() {
                ResultCode::BodyTooLarge
            } else {
                ResultCode::BadRequest
            }
        })?;
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    Ok(bytes.freeze())
}

//! Requests of callers and of other nodes, read whole and handed to `serve`.

use crate::core::EntryCore;
use crate::core::StopPhase;
use crate::counts::counting::COUNTS_PATH;
use crate::counts::counting::accept_post;
use crate::nodes::snapshot::SNAPSHOT_PATH;
use crate::nodes::snapshot::encode_snapshot;
use crate::request::answer::AnswerBody;
use crate::request::call::HOP_ACCOUNT;
use crate::request::call::HOP_KEY;
use crate::request::call::HOP_SERVICE;
use crate::request::call::HOP_SPENT;
use crate::request::call::HOP_VERSION;
use crate::request::received::AccountNote;
use crate::request::received::ForwardNote;
use crate::request::received::ReceivedCall;
use crate::request::received::RequestHop;
use crate::request::refusal::own_answer;
use crate::request::serve::serve;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use std::rc::Rc;
use tokio::time::timeout;
use zinniahatch_base::digest_fields;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::Credential;
use zinniahatch_platform::credential;
use zinniahatch_platform::forwarded;
use zinniahatch_platform::idle_limit_header;
use zinniahatch_platform::read_caller;
use zinniahatch_route::CallerLimits;

/// Time for a body to arrive; callers who take longer hold memory for nothing.
const BODY_TIME: Duration = Duration::from_secs(10);

/// Largest body of counts; an hour of all sheets that a node keeps is far below it.
const LARGEST_COUNTS: usize = 4 << 20;

/// Who speaks on a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallerSide {
    /// Callers.
    Front,
    /// Other nodes.
    Peer,
}

/// Gives the limits in force.
pub(crate) fn limits(core: &EntryCore) -> CallerLimits {
    let desired = core.desired.borrow();
    desired
        .as_ref()
        .map_or_else(CallerLimits::default, |state| state.limits.clone())
}

/// Answers one request.
pub(crate) async fn answer(
    core: Rc<EntryCore>,
    side: CallerSide,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    if side == CallerSide::Peer {
        match request.uri().path() {
            SNAPSHOT_PATH => return Response::new(AnswerBody::whole(encode_snapshot(&core))),
            COUNTS_PATH => return take_counts(&core, request).await,
            _ => {}
        }
    }
    let arrived = Instant::now();
    let limits = limits(&core);
    let mut response = match receive(side, request, &limits, arrived).await {
        Ok(call) => serve(&core, call).await,
        Err(code) => {
            core.metrics.note_answer("", code.name());
            core.log
                .write("unread", serde_json::json!({"result": code.number()}));
            own_answer(code, None, None)
        }
    };
    let headers = response.headers_mut();
    if core.phase() >= StopPhase::Leaving {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    } else {
        let (name, value) = idle_limit_header(limits.idle_timeout);
        headers.insert(name, value);
    }
    response
}

async fn take_counts(core: &EntryCore, request: Request<Incoming>) -> Response<AnswerBody> {
    let (parts, body) = request.into_parts();
    let body = match read_body(&parts.headers, body, LARGEST_COUNTS).await {
        Ok(body) => body,
        Err(code) => return own_answer(code, None, None),
    };
    match accept_post(core, &body) {
        Some(merged) => Response::new(AnswerBody::whole(merged)),
        None => own_answer(ResultCode::BadRequest, None, None),
    }
}

async fn receive(
    side: CallerSide,
    request: Request<Incoming>,
    limits: &CallerLimits,
    arrived: Instant,
) -> Result<ReceivedCall, ResultCode> {
    let (parts, body) = request.into_parts();
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
    let body = read_body(&parts.headers, body, limits.max_body_bytes).await?;
    let hop = match side {
        CallerSide::Front => RequestHop::Direct,
        CallerSide::Peer => RequestHop::Forwarded(read_note(&parts.headers)),
    };
    let credential = credential(&parts.headers);
    let mut headers = forwarded(&parts.headers);
    for own in [HOP_VERSION, HOP_SERVICE, HOP_SPENT, HOP_ACCOUNT, HOP_KEY] {
        headers.remove(own);
    }
    // Nothing that goes on bears it by accident.
    let authorization = headers.remove(header::AUTHORIZATION);
    let content = digest_fields(&[
        parts.method.as_str().as_bytes(),
        host.as_bytes(),
        path.as_bytes(),
        who_asks(&hop, &credential, authorization.as_ref()),
        &body,
    ]);
    Ok(ReceivedCall {
        attempt: caller.attempt,
        hop,
        method: parts.method,
        host,
        path,
        headers,
        credential,
        authorization,
        body,
        content,
        arrived,
        time_left: caller.time_left,
        size: caller.size,
        last_event: caller.last_event,
    })
}

/// Gives what tells a caller from others, the same at each node that a request comes to; empty where it says nothing.
fn who_asks<'a>(
    hop: &'a RequestHop,
    credential: &'a Credential,
    authorization: Option<&'a HeaderValue>,
) -> &'a [u8] {
    if let RequestHop::Forwarded(ForwardNote {
        account: Some(account),
        ..
    }) = hop
    {
        return account.key.bytes();
    }
    if let Credential::Key(key) = credential {
        return key.bytes();
    }
    authorization.map_or(&[], HeaderValue::as_bytes)
}

fn read_note(headers: &HeaderMap) -> ForwardNote {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let number = |name| text(name).and_then(|value| value.parse().ok()).unwrap_or(0);
    ForwardNote {
        version: number(HOP_VERSION),
        service: text(HOP_SERVICE).unwrap_or_default().into(),
        spent: Duration::from_millis(number(HOP_SPENT)),
        account: text(HOP_ACCOUNT).and_then(|name| {
            let key = KeyDigest::parse(text(HOP_KEY)?)?;
            Some(AccountNote {
                name: name.into(),
                key,
            })
        }),
    }
}

async fn read_body(headers: &HeaderMap, body: Incoming, most: usize) -> Result<Bytes, ResultCode> {
    let told = headers
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<usize>().ok());
    if told.is_some_and(|length| length > most) {
        return Err(ResultCode::BodyTooLarge);
    }
    let collected = timeout(BODY_TIME, Limited::new(body, most).collect())
        .await
        .map_err(|_| ResultCode::BodyTooSlow)?;
    match collected {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(ResultCode::BodyTooLarge),
        Err(_) => Err(ResultCode::BadRequest),
    }
}

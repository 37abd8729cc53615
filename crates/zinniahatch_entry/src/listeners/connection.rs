//! One connection of a caller or another node.

use super::ListenerKind;
use super::caller_stream::AnswerBody;
use super::caller_stream::CallerStream;
use super::caller_stream::ConnectionRecord;
use super::lingering::close_lingering;
use super::respond;
use crate::core::EntryCore;
use crate::core::StopPhase;
use crate::request::gateway_response::gateway_response;
use crate::request::ingress::refusal_retry;
use crate::request::ingress::request_limits;
use crate::request::response_body::ResponseBody;
use crate::request::response_body::TruncatedBody;
use crate::supervisor::catch_panic;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::task::ready;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::keep_alive_header;
use zinniahatch_route::CloseReason;

/// Time for which a stopping node waits for requests on connections that it has accepted. The first request
/// of a caller in another region arrives a round trip after the connection.
const REQUEST_TRANSIT_TIME: Duration = Duration::from_millis(300);
/// Time limit for writing the refusal of a head.
const REFUSAL_TIME: Duration = Duration::from_secs(1);
/// Name of the reason for which a connection is closed after its last answer.
const ANSWERED: &str = "answered";

/// Serves a connection until it is closed.
pub(super) async fn run_connection(core: Rc<EntryCore>, stream: TcpStream, kind: ListenerKind) {
    // Without this option the connection still works, with higher latency.
    let _ = stream.set_nodelay(true);
    let record = Rc::new(ConnectionRecord::new(Instant::now()));
    let service = service_fn(|request| {
        record.connection.borrow_mut().on_request();
        answer(Rc::clone(&core), kind, Rc::clone(&record), request)
    });
    // The limits of the library are fixed for the life of a connection, so that none of them is used.
    let mut connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(usize::MAX)
        .serve_connection(
            TokioIo::new(CallerStream::new(stream, Rc::clone(&record))),
            service,
        );
    let _open = matches!(kind, ListenerKind::Calls(_)).then(|| core.connections.add(&record));
    let mut closing = std::pin::pin!(wait_for_closing(&core, kind));
    let mut timer = std::pin::pin!(sleep_until(tokio::time::Instant::now()));
    let mut is_closing = false;
    loop {
        let reached = poll_fn(|context| {
            let limits = request_limits(&core, kind.source());
            record.max_head_bytes.set(limits.max_header_bytes);
            if Pin::new(&mut connection).poll(context).is_ready() {
                return Poll::Ready(None);
            }
            let has_memory = record.reserve_head(&core.body_memory);
            let connection = record.connection.borrow();
            if connection.has_large_head(limits.max_header_bytes) {
                return Poll::Ready(Some(CloseReason::LargeHead));
            }
            if !has_memory {
                return Poll::Ready(Some(CloseReason::HeadMemory));
            }
            if is_closing && let Some(reason) = connection.stop_reason() {
                return Poll::Ready(Some(reason));
            }
            let Some((due_at, reason)) = connection.due(&limits) else {
                return Poll::Pending;
            };
            let due_at = tokio::time::Instant::from_std(due_at);
            if timer.deadline() != due_at {
                timer.as_mut().reset(due_at);
            }
            ready!(timer.as_mut().poll(context));
            Poll::Ready(Some(reason))
        });
        let reached = tokio::select! {
            biased;
            reached = reached => reached,
            () = closing.as_mut(), if !is_closing => {
                is_closing = true;
                continue;
            }
        };
        let mut reached = reached;
        if reached.is_some_and(CloseReason::is_idle) {
            record.confirms_idle.set(true);
            // A request that has arrived meanwhile is answered.
            let ended =
                poll_fn(|context| Poll::Ready(Pin::new(&mut connection).poll(context))).await;
            record.confirms_idle.set(false);
            if ended.is_ready() {
                reached = None;
            } else if !record.connection.borrow().is_idle() {
                continue;
            }
        }
        let parts = connection.into_parts();
        let mut stream = parts.io.into_inner().into_inner();
        let buffered = parts.read_buf.len();
        // A connection that lingers holds no buffer.
        drop(parts.read_buf);
        record.release_head();
        // The caller closed it, or was told so by an answer.
        let Some(reason) = reached else {
            let closing = close_lingering(&core, stream, ANSWERED, buffered);
            // Boxed, so that the connection holds no memory for it before.
            Box::pin(closing).await;
            return;
        };
        core.metrics.callers.note_closed(reason);
        if let Some(code) = refusal_code(reason) {
            core.metrics.note_response("", code.name());
            Box::pin(write_refusal(&mut stream, code)).await;
        }
        let lingers = record.connection.borrow().lingers(reason, Instant::now());
        if lingers {
            let closing = close_lingering(&core, stream, reason.as_str(), buffered);
            Box::pin(closing).await;
        }
        return;
    }
}

/// Returns with what the request on a connection is refused that is closed for a reason.
fn refusal_code(reason: CloseReason) -> Option<ResultCode> {
    match reason {
        CloseReason::HeadMemory => Some(ResultCode::BodyMemoryFull),
        CloseReason::SlowHead => Some(ResultCode::HeadTooSlow),
        CloseReason::LargeHead => Some(ResultCode::HeadTooLarge),
        _ => None,
    }
}

/// Waits until idle connections of a listener are to be closed because the node stops.
async fn wait_for_closing(core: &EntryCore, kind: ListenerKind) {
    // Shutdown does not close connections to the directory, readiness and metrics listeners. If
    // directories closed theirs, callers of a region whose nodes stop one after the other would be
    // left without any.
    if !matches!(kind, ListenerKind::Calls(_)) {
        std::future::pending::<()>().await;
    }
    let mut phases = core.phase.subscribe();
    // Cannot fail: the sender lives as long as the process.
    let disconnecting = |reached: &StopPhase| *reached >= StopPhase::Disconnecting;
    let _ = phases.wait_for(disconnecting).await;
    sleep(REQUEST_TRANSIT_TIME).await;
}

/// Answers a request and announces for how long its connection may stay idle.
async fn answer(
    core: Rc<EntryCore>,
    kind: ListenerKind,
    record: Rc<ConnectionRecord>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    // Only listeners for requests read bodies.
    let mut closes = !matches!(kind, ListenerKind::Calls(_)) && !request.body().is_end_stream();
    // A caller whose request was read gets an answer, also where handling it panics.
    let responding = Box::pin(respond(Rc::clone(&core), kind, request));
    let mut response = match catch_panic("request", responding).await {
        Ok(response) => response,
        Err(panic) => {
            core.report_panic(&panic);
            closes = true;
            gateway_response(ResultCode::OutcomeUnknown, None, None)
        }
    };
    let headers = response.headers_mut();
    let is_call = matches!(kind, ListenerKind::Calls(_));
    if closes || is_call && core.phase() >= StopPhase::Leaving {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    } else if let ListenerKind::Calls(source) = kind
        && !headers.contains_key(header::CONNECTION)
    {
        let idle_timeout = request_limits(&core, source).idle_timeout;
        record.connection.borrow_mut().on_announced(idle_timeout);
        let (name, value) = keep_alive_header(idle_timeout);
        headers.insert(name, value);
    }
    Ok(response.map(|body| AnswerBody::new(body, record)))
}

/// Writes the refusal of a request whose head is not complete.
async fn write_refusal(stream: &mut TcpStream, code: ResultCode) {
    let Ok(text) = refusal_text(gateway_response(code, None, refusal_retry(code))).await else {
        return;
    };
    // The caller may have left.
    let _ = timeout(REFUSAL_TIME, stream.write_all(&text)).await;
}

async fn refusal_text(response: Response<ResponseBody>) -> Result<Vec<u8>, TruncatedBody> {
    let (parts, body) = response.into_parts();
    let body = body.collect().await?.to_bytes();
    let mut text = format!("HTTP/1.1 {}\r\n", parts.status).into_bytes();
    for (name, value) in &parts.headers {
        text.extend_from_slice(name.as_str().as_bytes());
        text.extend_from_slice(b": ");
        text.extend_from_slice(value.as_bytes());
        text.extend_from_slice(b"\r\n");
    }
    let framing = format!(
        "connection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    text.extend_from_slice(framing.as_bytes());
    text.extend_from_slice(&body);
    Ok(text)
}

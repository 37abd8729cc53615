//! One connection of a caller or another node.

use super::ListenerKind;
use super::caller_stream::AnswerBody;
use super::caller_stream::CallerStream;
use super::respond;
use crate::core::EntryCore;
use crate::core::StopPhase;
use crate::request::ingress::limits;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use tokio::net::TcpStream;
use zinniahatch_base::prelude::*;
use zinniahatch_route::CallerConnection;
use zinniahatch_route::CloseReason;

/// Time for which an idle connection stays open beyond the idle timeout announced to callers.
const IDLE_SLACK: Duration = Duration::from_secs(2);
/// Smallest head buffer that the HTTP library accepts.
const MIN_HEAD_BUFFER: usize = 8 << 10;

/// Serves a connection until it is closed.
pub(super) async fn run_connection(core: Rc<EntryCore>, stream: TcpStream, kind: ListenerKind) {
    // Without this option the connection still works, with higher latency.
    let _ = stream.set_nodelay(true);
    let limits = limits(&core);
    let head_limit = limits.idle_timeout + IDLE_SLACK;
    let mut phases = core.phase.subscribe();
    let caller_connection = Rc::new(RefCell::new(CallerConnection::new(Instant::now())));
    let service = service_fn(|request| {
        caller_connection.borrow_mut().on_request();
        let core = Rc::clone(&core);
        let caller_connection = Rc::clone(&caller_connection);
        async move {
            let response = respond(core, kind, request).await;
            Ok::<_, Infallible>(response.map(|body| AnswerBody::new(body, caller_connection)))
        }
    });
    let stream = CallerStream::new(stream, Rc::clone(&caller_connection));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_limit)
        .max_buf_size(limits.max_header_bytes.max(MIN_HEAD_BUFFER) + MIN_HEAD_BUFFER)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let closing = async {
        // Shutdown does not close connections to the directory, readiness and metrics listeners. If
        // directories closed theirs, callers of a region whose nodes stop one after the other would
        // be left without any.
        if !matches!(kind, ListenerKind::Calls(_)) {
            std::future::pending::<()>().await;
        }
        // Cannot fail: the sender lives as long as the process.
        let _ = phases.wait_for(|phase| *phase == StopPhase::Closing).await;
    };
    tokio::select! {
        result = connection.as_mut() => {
            let is_large = result.is_err_and(|error| error.is_parse_too_large());
            let reached = caller_connection.borrow().reached_limit(head_limit, Instant::now());
            let reason = is_large.then_some(CloseReason::LargeHead).or(reached);
            // Any other connection was closed by its caller, which is not worth counting.
            if let Some(reason) = reason {
                core.metrics.callers.note_closed(reason);
            }
            return;
        }
        () = closing => {}
    }
    if caller_connection.borrow().is_idle() {
        core.metrics.callers.note_closed(CloseReason::Stopping);
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

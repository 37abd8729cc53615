//! Test double of a plain service.

use crate::test_doubles::backend::FakeBackend;
use crate::test_doubles::backend::abort_response;
use crate::test_doubles::backend::header;
use crate::test_doubles::backend::refuse;
use crate::test_doubles::backend::set_header;
use crate::test_doubles::serve::FakeServer;
use crate::test_doubles::text::find_operation;
use crate::test_doubles::text::plain_response;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::handler;
use salvo::writing::Json;
use std::sync::Arc;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::EngineLoad;

const MAX_BODY_BYTES: usize = 8 << 20;
/// How long a frozen service holds a request; longer than any caller waits.
const FROZEN_TIME: Duration = Duration::from_secs(300);

/// Starts a plain service that takes `service_time` for each request.
pub async fn start_plain(backend: Arc<FakeBackend>, service_time: Duration) -> FakeServer {
    let router = Router::new()
        .push(Router::with_path("load").get(LoadHandler(Arc::clone(&backend))))
        .push(Router::with_path("{**rest}").goal(RunHandler(backend, service_time)));
    FakeServer::start(router).await
}

struct LoadHandler(Arc<FakeBackend>);

#[handler]
impl LoadHandler {
    async fn handle(&self, response: &mut Response) {
        let load = EngineLoad {
            running: self.0.running(),
            slots: self.0.slots,
            leaving: self.0.is_leaving(),
            model: Box::default(),
        };
        response.render(Json(load));
    }
}

struct RunHandler(Arc<FakeBackend>, Duration);

#[handler]
impl RunHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let backend = &self.0;
        let id = header(request, "x-request-id");
        let body = request
            .payload_with_max_size(MAX_BODY_BYTES)
            .await
            .cloned()
            .unwrap_or_default();
        let uri = request.uri().to_string();
        let operation = find_operation(&uri)
            .or_else(|| find_operation(&String::from_utf8_lossy(&body)))
            .unwrap_or(0);
        let Ok(_permit) = Arc::clone(&backend.permits).acquire_owned().await else {
            return refuse(response, false);
        };
        backend.record_execution(operation, &id);
        let faults = backend.faults();
        if faults.frozen {
            sleep(FROZEN_TIME).await;
        }
        sleep(self.1.mul_f64(faults.slow.max(1.0))).await;
        if backend.take_response_loss() {
            return abort_response(response);
        }
        set_header(response, "x-request-id", &id);
        set_header(response, "content-type", "application/json");
        let _ = response.write_body(plain_response(operation));
    }
}

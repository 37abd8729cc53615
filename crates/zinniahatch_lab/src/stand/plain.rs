//! A plain service.

use crate::stand::backend::StandBackend;
use crate::stand::backend::break_off;
use crate::stand::backend::header;
use crate::stand::backend::refuse;
use crate::stand::backend::set_header;
use crate::stand::serve::StandServer;
use crate::stand::text::find_operation;
use crate::stand::text::plain_answer;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::handler;
use salvo::writing::Json;
use std::sync::Arc;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::EngineLoad;

const BODY_LIMIT: usize = 8 << 20;
/// Longer than any caller waits.
const FROZEN_TIME: Duration = Duration::from_secs(300);

/// Starts a plain service whose calls take this long.
pub async fn start_plain(backend: Arc<StandBackend>, service_time: Duration) -> StandServer {
    let router = Router::new()
        .push(Router::with_path("load").get(LoadHandler(Arc::clone(&backend))))
        .push(Router::with_path("{**rest}").goal(RunHandler(backend, service_time)));
    StandServer::start(router).await
}

struct LoadHandler(Arc<StandBackend>);

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

struct RunHandler(Arc<StandBackend>, Duration);

#[handler]
impl RunHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let backend = &self.0;
        let id = header(request, "x-request-id");
        let body = request
            .payload_with_max_size(BODY_LIMIT)
            .await
            .cloned()
            .unwrap_or_default();
        let uri = request.uri().to_string();
        let operation = find_operation(&uri)
            .or_else(|| find_operation(&String::from_utf8_lossy(&body)))
            .unwrap_or(0);
        let Ok(_room) = Arc::clone(&backend.room).acquire_owned().await else {
            return refuse(response, false);
        };
        backend.note_run(operation, &id);
        let faults = backend.faults();
        if faults.frozen {
            sleep(FROZEN_TIME).await;
        }
        sleep(self.1.mul_f64(faults.slow.max(1.0))).await;
        if backend.takes_loss() {
            return break_off(response);
        }
        set_header(response, "x-request-id", &id);
        set_header(response, "content-type", "application/json");
        let _ = response.write_body(plain_answer(operation));
    }
}

//! HTTP routes of one node.

use crate::GatewayCore;
use crate::admin::AdminHandler;
use crate::caller::AnswersHandler;
use crate::caller::EntriesHandler;
use crate::caller::KeysHandler;
use crate::caller::ServiceHandler;
use crate::observe::HealthHandler;
use crate::observe::MetricsHandler;
use crate::peer::ForwardedHandler;
use crate::peer::HandoverHandler;
use crate::peer::KeyOwnerHandler;
use crate::peer::StatusHandler;
use salvo::Router;
use salvo::Service;
use std::sync::Arc;

/// Builds the HTTP service with all routes.
pub fn build_service(core: &Arc<GatewayCore>) -> Service {
    let share = || Arc::clone(core);
    let router = Router::new()
        .push(Router::with_path("healthz").get(HealthHandler(share(), false)))
        .push(Router::with_path("readyz").get(HealthHandler(share(), true)))
        .push(Router::with_path("metrics").get(MetricsHandler(share())))
        .push(Router::with_path("v1/entries").get(EntriesHandler(share())))
        .push(Router::with_path("v1/keys").post(KeysHandler(share())))
        .push(Router::with_path("v1/answers/{name}").get(AnswersHandler(share())))
        .push(Router::with_path("v1/chat/completions").post(ServiceHandler(share())))
        .push(Router::with_path("s/{service}/{**rest}").goal(ServiceHandler(share())))
        .push(Router::with_path("internal/away/{service}/{**rest}").goal(ForwardedHandler(share())))
        .push(Router::with_path("internal/owned/{service}/{**rest}").goal(KeyOwnerHandler(share())))
        .push(Router::with_path("internal/brief").get(StatusHandler(share())))
        .push(Router::with_path("internal/handover").post(HandoverHandler(share())))
        .push(Router::with_path("admin/{**rest}").goal(AdminHandler(share())));
    Service::new(router)
}

//! The paths of one node.

use crate::GatewayCore;
use crate::admin::AdminHandler;
use crate::caller::AnswersHandler;
use crate::caller::CallHandler;
use crate::caller::EntriesHandler;
use crate::caller::KeysHandler;
use crate::observe::HealthHandler;
use crate::observe::MetricsHandler;
use crate::peer::AwayHandler;
use crate::peer::BriefHandler;
use crate::peer::HandoverHandler;
use crate::peer::OwnedHandler;
use salvo::Router;
use salvo::Service;
use std::sync::Arc;

/// Makes the service with every path.
pub fn build_service(core: &Arc<GatewayCore>) -> Service {
    let share = || Arc::clone(core);
    let router = Router::new()
        .push(Router::with_path("healthz").get(HealthHandler(share(), false)))
        .push(Router::with_path("readyz").get(HealthHandler(share(), true)))
        .push(Router::with_path("metrics").get(MetricsHandler(share())))
        .push(Router::with_path("v1/entries").get(EntriesHandler(share())))
        .push(Router::with_path("v1/keys").post(KeysHandler(share())))
        .push(Router::with_path("v1/answers/{name}").get(AnswersHandler(share())))
        .push(Router::with_path("v1/chat/completions").post(CallHandler(share())))
        .push(Router::with_path("s/{service}/{**rest}").goal(CallHandler(share())))
        .push(Router::with_path("internal/away/{service}/{**rest}").goal(AwayHandler(share())))
        .push(Router::with_path("internal/owned/{service}/{**rest}").goal(OwnedHandler(share())))
        .push(Router::with_path("internal/brief").get(BriefHandler(share())))
        .push(Router::with_path("internal/handover").post(HandoverHandler(share())))
        .push(Router::with_path("admin/{**rest}").goal(AdminHandler(share())));
    Service::new(router)
}

//! Handlers for metrics and health checks.

use crate::GatewayCore;
use crate::admin::fail;
use crate::respond::set;
use salvo::Response;
use salvo::handler;
use salvo::http::StatusCode;
use std::sync::Arc;
use zinniahatch_base::prelude::*;

/// Serves the metrics in the Prometheus text format.
pub(crate) struct MetricsHandler(pub(crate) Arc<GatewayCore>);

#[handler]
impl MetricsHandler {
    async fn handle(&self, response: &mut Response) {
        self.0.refresh_gauges();
        set(response, "content-type", "text/plain; version=0.0.4");
        let _ = response.write_body(self.0.counters.render());
    }
}

/// Handles liveness checks, or readiness checks if the flag is set.
pub(crate) struct HealthHandler(pub(crate) Arc<GatewayCore>, pub(crate) bool);

#[handler]
impl HealthHandler {
    async fn handle(&self, response: &mut Response) {
        let control = self.0.control();
        let ready = control.is_ready() && !control.is_leaving();
        drop(control);
        if self.1 && !ready {
            return fail(response, StatusCode::SERVICE_UNAVAILABLE, "not ready");
        }
        let _ = response.write_body("ok\n");
    }
}

impl GatewayCore {
    /// Updates the gauges from the control state.
    pub fn refresh_gauges(&self) {
        let control = self.control();
        let config = control.config();
        let now = Instant::now();
        for service in config.services.keys() {
            let slots: u32 = control
                .leases()
                .slots(service)
                .values()
                .map(|slot| u32::from(slot.limit))
                .sum();
            self.counters
                .slots
                .with_label_values(&[&**service])
                .set(i64::from(slots));
            self.counters
                .running
                .with_label_values(&[&**service])
                .set(i64::from(control.leases().running(service)));
            self.counters
                .waiting
                .with_label_values(&[&**service])
                .set(control.leases().waiting(service) as i64);
        }
        let live = control
            .members()
            .entries()
            .keys()
            .filter(|name| control.members().is_live(now, name))
            .count();
        self.counters.members.set(live as i64 + 1);
        self.counters.revision.set(config.revision as i64);
        self.counters
            .lease_lapses
            .set(control.expired_leases() as i64);
    }
}

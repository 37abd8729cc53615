//! Orders to engines, issued by one node of each data centre that holds a lease in the store.

use log::info;
use std::sync::Arc;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;
use zinniahatch_config::BackendEntry;
use zinniahatch_config::FencingRule;
use zinniahatch_control::OrderLease;
use zinniahatch_gateway::GatewayCore;
use zinniahatch_platform::EngineClient;
use zinniahatch_platform::ModelOrder;
use zinniahatch_platform::OrderOutcome;
use zinniahatch_platform::PutOutcome;
use zinniahatch_platform::StoreClient;

const LEASE_TTL: Duration = Duration::from_secs(10);
const ROUND_INTERVAL: Duration = Duration::from_secs(2);
const ORDER_ROLE: &str = "orders";
/// Limit of the orders of one round: the weight store is rate-limited, and each order reads from it.
const MAX_ORDERS_PER_ROUND: usize = 1;

/// The validity of the lease as seen by this node, and the id of the lease in the store.
#[derive(Default)]
struct OrderIssuer {
    order_lease: OrderLease,
    lease_id: Option<Box<str>>,
}

/// Issues orders while this node holds the role and the lease, until the process ends.
pub(crate) async fn run(core: Arc<GatewayCore>) {
    let mut issuer = OrderIssuer::default();
    loop {
        sleep(ROUND_INTERVAL).await;
        if !has_order_role(&core) {
            issuer.drop_lease();
            continue;
        }
        issuer.maintain_lease(&core).await;
        if issuer.order_lease.is_held() {
            issuer.issue_orders(&core).await;
        }
    }
}

fn has_order_role(core: &GatewayCore) -> bool {
    let control = core.control();
    let config = control.config();
    let has_models = !config.presets.is_empty() && !config.preset().models.is_empty();
    has_models
        && control.is_ready()
        && !control.is_leaving()
        && control.holds_role(Instant::now(), ORDER_ROLE, 1)
}

impl OrderIssuer {
    /// Renews the lease, or tries to acquire it. Its time counts from the sending of the call,
    /// so that this node considers it expired no later than the store does.
    async fn maintain_lease(&mut self, core: &GatewayCore) {
        let store = core.config_updater.store();
        if let Some(lease_id) = &self.lease_id {
            let sent = Instant::now();
            match store.renew_lease(lease_id).await {
                Ok(true) => self.order_lease.renewed(sent),
                Ok(false) => self.drop_lease(),
                Err(_) => {}
            }
            return;
        }
        let sent = Instant::now();
        let Ok(lease) = store.grant_lease(LEASE_TTL).await else {
            return;
        };
        let key = format!("orders/{}", core.identity.data_centre);
        let claimed = store
            .put(&key, &core.identity.node, Some(0), Some(&lease.id))
            .await;
        if matches!(claimed, Ok(PutOutcome::Done(_))) {
            info!("this node issues orders with fencing token {}", lease.fence);
            self.order_lease.acquired(sent, lease.fence, LEASE_TTL);
            self.lease_id = Some(lease.id);
        }
    }

    fn drop_lease(&mut self) {
        self.order_lease.lost();
        self.lease_id = None;
    }

    async fn issue_orders(&mut self, core: &GatewayCore) {
        let mut issued = 0;
        for (replica, backend, model) in desired_models(core) {
            if issued >= MAX_ORDERS_PER_ROUND {
                return;
            }
            let Ok(load) = core.engine.load(&backend.address).await else {
                continue;
            };
            if load.model == model {
                continue;
            }
            // Checked again for each order, since the process may have been paused for a long time.
            let Some(fence) = self
                .order_lease
                .permit(Instant::now(), backend.fencing == FencingRule::Checked)
            else {
                core.counters
                    .orders
                    .with_label_values(&["not permitted"])
                    .inc();
                continue;
            };
            issued += 1;
            let order = ModelOrder {
                fence,
                model: model.clone(),
            };
            let outcome = match core.engine.order(&backend.address, &order).await {
                Ok(OrderOutcome::Accepted) => "taken",
                Ok(OrderOutcome::Fenced) => {
                    self.drop_lease();
                    "fenced"
                }
                Err(_) => "failed",
            };
            core.counters.orders.with_label_values(&[outcome]).inc();
            info!("order for {replica} to load {model}: {outcome}");
        }
    }
}

fn desired_models(core: &GatewayCore) -> Vec<(ReplicaId, BackendEntry, ModelId)> {
    let config = core.control().config();
    let mut desired = Vec::new();
    for (service, model) in &config.preset().models {
        for (replica, backend) in config.backends_in(service, &core.identity.data_centre) {
            desired.push((replica.clone(), backend.clone(), model.clone()));
        }
    }
    desired
}

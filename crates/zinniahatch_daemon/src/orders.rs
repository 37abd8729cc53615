//! Orders to engines, from one node of each data centre under a lease of the store.

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
const ROUND: Duration = Duration::from_secs(2);
const DUTY: &str = "orders";
/// Orders of one round: the weight store is rate-limited, and each order reads from it.
const ORDERS_AT_ONCE: usize = 1;

/// The lease and the gate that it opens.
#[derive(Default)]
struct OrderGiver {
    gate: OrderLease,
    lease: Option<Box<str>>,
}

/// Gives orders where this node has the duty and the lease, until the process ends.
pub(crate) async fn run(core: Arc<GatewayCore>) {
    let mut giver = OrderGiver::default();
    loop {
        sleep(ROUND).await;
        if !is_giver(&core) {
            giver.give_up();
            continue;
        }
        giver.hold_lease(&core).await;
        if giver.gate.is_held() {
            giver.order_round(&core).await;
        }
    }
}

fn is_giver(core: &GatewayCore) -> bool {
    let control = core.control();
    let config = control.config();
    let wanted = !config.presets.is_empty() && !config.preset().models.is_empty();
    wanted
        && control.is_ready()
        && !control.is_leaving()
        && control.holds_role(Instant::now(), DUTY, 1)
}

impl OrderGiver {
    /// Renews the lease, or tries to take it. The time counts from the sending of the call.
    async fn hold_lease(&mut self, core: &GatewayCore) {
        let store = core.changes.store();
        if let Some(lease) = &self.lease {
            let sent = Instant::now();
            match store.renew_lease(lease).await {
                Ok(true) => self.gate.renewed(sent),
                Ok(false) => self.give_up(),
                Err(_) => {}
            }
            return;
        }
        let sent = Instant::now();
        let Ok(lease) = store.grant_lease(LEASE_TTL).await else {
            return;
        };
        let key = format!("orders/{}", core.identity.data_centre);
        let taken = store
            .put(&key, &core.identity.node, Some(0), Some(&lease.id))
            .await;
        if matches!(taken, Ok(PutOutcome::Done(_))) {
            info!("this node gives orders with fencing number {}", lease.fence);
            self.gate.acquired(sent, lease.fence, LEASE_TTL);
            self.lease = Some(lease.id);
        }
    }

    fn give_up(&mut self) {
        self.gate.lost();
        self.lease = None;
    }

    async fn order_round(&mut self, core: &GatewayCore) {
        let mut given = 0;
        for (replica, backend, model) in wanted_models(core) {
            if given >= ORDERS_AT_ONCE {
                return;
            }
            let Ok(load) = core.engine.load(&backend.address).await else {
                continue;
            };
            if load.model == model {
                continue;
            }
            // Asked anew for each order: the pause before it may have been long.
            let Some(fence) = self
                .gate
                .permit(Instant::now(), backend.fencing == FencingRule::Checked)
            else {
                core.counters
                    .orders
                    .with_label_values(&["not permitted"])
                    .inc();
                continue;
            };
            given += 1;
            let order = ModelOrder {
                fence,
                model: model.clone(),
            };
            let outcome = match core.engine.order(&backend.address, &order).await {
                Ok(OrderOutcome::Accepted) => "taken",
                Ok(OrderOutcome::Fenced) => {
                    self.give_up();
                    "fenced"
                }
                Err(_) => "failed",
            };
            core.counters.orders.with_label_values(&[outcome]).inc();
            info!("order to {replica} to load {model}: {outcome}");
        }
    }
}

fn wanted_models(core: &GatewayCore) -> Vec<(ReplicaId, BackendEntry, ModelId)> {
    let config = core.control().config();
    let mut wanted = Vec::new();
    for (service, model) in &config.preset().models {
        for (replica, backend) in config.backends_in(service, &core.identity.data_centre) {
            wanted.push((replica.clone(), backend.clone(), model.clone()));
        }
    }
    wanted
}

//! The leased slots, quotas and queued requests of one pool on this node.

use crate::PlacementQuery;
use zinniahatch_base::prelude::*;
use zinniahatch_protocol::ReplicaSlots;
use zinniahatch_protocol::SlotReport;
use zinniahatch_protocol::TenantLoad;

/// Scale of weights in messages, which carry thousandths.
const WEIGHT_SCALE: f64 = 1_000.0;

/// Slots of one backend server that are leased to this node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeasedSlots {
    /// Slots that this node may use.
    pub limit: u16,
    /// Requests that this node runs there.
    pub running: u16,
}

/// This node's lease on the slots of one pool.
#[derive(Debug)]
pub(crate) struct PoolLease {
    pub(crate) coordinator: NodeId,
    pub(crate) applied: u64,
    pub(crate) slots: BTreeMap<ShortTag, LeasedSlots>,
    pub(crate) contended: bool,
    pub(crate) quotas: BTreeMap<ShortTag, u16>,
    pub(crate) running: BTreeMap<ShortTag, u16>,
    pub(crate) weights: BTreeMap<ShortTag, f64>,
    pub(crate) queue: Vec<PlacementQuery>,
    pub(crate) hold: Option<f64>,
    pub(crate) refused: BTreeSet<ShortTag>,
    pub(crate) urgent: bool,
    pub(crate) reported_at: Option<Instant>,
    pub(crate) guests: u32,
    pub(crate) lease_expiry: Instant,
}

impl PoolLease {
    pub(crate) fn new(now: Instant, coordinator: &NodeId) -> Self {
        Self {
            coordinator: coordinator.clone(),
            applied: 0,
            slots: BTreeMap::new(),
            contended: false,
            quotas: BTreeMap::new(),
            running: BTreeMap::new(),
            weights: BTreeMap::new(),
            queue: Vec::new(),
            hold: None,
            refused: BTreeSet::new(),
            urgent: true,
            reported_at: None,
            guests: 0,
            lease_expiry: now,
        }
    }

    pub(crate) fn drop_limits(&mut self) {
        for slot in self.slots.values_mut() {
            slot.limit = 0;
        }
        self.applied = 0;
        self.reported_at = None;
        self.urgent = true;
    }

    pub(crate) fn running_total(&self) -> u32 {
        self.slots
            .values()
            .map(|slot| u32::from(slot.running))
            .sum()
    }

    pub(crate) fn under_quota(&self, tenant: ShortTag) -> bool {
        let running = self.running.get(&tenant).copied().unwrap_or(0);
        self.quotas
            .get(&tenant)
            .is_some_and(|quota| running < *quota)
    }

    pub(crate) fn report(&mut self, service: &ServiceId) -> SlotReport {
        let slots = self
            .slots
            .iter()
            .map(|(replica, slot)| ReplicaSlots {
                replica: *replica,
                limit: slot.limit,
                running: slot.running,
            })
            .collect();
        let tenants = if self.contended || !self.queue.is_empty() {
            self.tenant_loads()
        } else {
            Vec::new()
        };
        SlotReport {
            service: service.clone(),
            applied: self.applied,
            slots,
            tenants,
            hold_ms: self.hold.map_or(0, |hold| (hold * 1_000.0) as u32),
            refused: std::mem::take(&mut self.refused).into_iter().collect(),
        }
    }

    fn tenant_loads(&self) -> Vec<TenantLoad> {
        let mut loads: BTreeMap<ShortTag, TenantLoad> = BTreeMap::new();
        let weight = |tenant: ShortTag| {
            (self.weights.get(&tenant).copied().unwrap_or(1.0) * WEIGHT_SCALE) as u32
        };
        for (tenant, running) in &self.running {
            loads.insert(
                *tenant,
                TenantLoad {
                    tenant: *tenant,
                    weight: weight(*tenant),
                    running: *running,
                    waiting: 0,
                },
            );
        }
        for query in &self.queue {
            let tenant = tenant_of(query);
            let load = loads.entry(tenant).or_insert(TenantLoad {
                tenant,
                weight: weight(tenant),
                running: 0,
                waiting: 0,
            });
            load.waiting = load.waiting.saturating_add(1);
        }
        loads.into_values().collect()
    }
}

/// Returns the tenant of a request: its account and its kind of work.
pub(crate) fn tenant_of(query: &PlacementQuery) -> ShortTag {
    tag_of(&format!("{}/{}", query.account, query.work.as_str()))
}

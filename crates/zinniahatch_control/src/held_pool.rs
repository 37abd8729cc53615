//! What a node holds of one pool: its slots, its quotas, and the requests that wait.

use crate::PlaceAsk;
use zinniahatch_base::prelude::*;
use zinniahatch_protocol::SlotLine;
use zinniahatch_protocol::SlotReport;
use zinniahatch_protocol::TenantLine;

/// Weights travel in thousandths.
const WEIGHT_SCALE: f64 = 1_000.0;

/// One backend server's slots at this node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldSlot {
    /// Slots that this node may use.
    pub limit: u16,
    /// Requests that it runs there.
    pub running: u16,
}

/// What this node holds of one pool.
#[derive(Debug)]
pub(crate) struct HeldPool {
    pub(crate) keeper: NodeId,
    pub(crate) applied: u64,
    pub(crate) slots: BTreeMap<ShortTag, HeldSlot>,
    pub(crate) contended: bool,
    pub(crate) quotas: BTreeMap<ShortTag, u16>,
    pub(crate) running: BTreeMap<ShortTag, u16>,
    pub(crate) weights: BTreeMap<ShortTag, f64>,
    pub(crate) waiters: Vec<PlaceAsk>,
    pub(crate) hold: Option<f64>,
    pub(crate) refused: BTreeSet<ShortTag>,
    pub(crate) urgent: bool,
    pub(crate) reported: Option<Instant>,
    pub(crate) guests: u32,
    pub(crate) lease_until: Instant,
}

impl HeldPool {
    pub(crate) fn new(now: Instant, keeper: &NodeId) -> Self {
        Self {
            keeper: keeper.clone(),
            applied: 0,
            slots: BTreeMap::new(),
            contended: false,
            quotas: BTreeMap::new(),
            running: BTreeMap::new(),
            weights: BTreeMap::new(),
            waiters: Vec::new(),
            hold: None,
            refused: BTreeSet::new(),
            urgent: true,
            reported: None,
            guests: 0,
            lease_until: now,
        }
    }

    pub(crate) fn drop_limits(&mut self) {
        for slot in self.slots.values_mut() {
            slot.limit = 0;
        }
        self.applied = 0;
        self.reported = None;
        self.urgent = true;
    }

    pub(crate) fn running_sum(&self) -> u32 {
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
            .map(|(replica, slot)| SlotLine {
                replica: *replica,
                limit: slot.limit,
                running: slot.running,
            })
            .collect();
        let tenants = if self.contended || !self.waiters.is_empty() {
            self.tenant_lines()
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

    fn tenant_lines(&self) -> Vec<TenantLine> {
        let mut lines: BTreeMap<ShortTag, TenantLine> = BTreeMap::new();
        let weight = |tenant: ShortTag| {
            (self.weights.get(&tenant).copied().unwrap_or(1.0) * WEIGHT_SCALE) as u32
        };
        for (tenant, running) in &self.running {
            lines.insert(
                *tenant,
                TenantLine {
                    tenant: *tenant,
                    weight: weight(*tenant),
                    running: *running,
                    waiting: 0,
                },
            );
        }
        for ask in &self.waiters {
            let tenant = tenant_of(ask);
            let line = lines.entry(tenant).or_insert(TenantLine {
                tenant,
                weight: weight(tenant),
                running: 0,
                waiting: 0,
            });
            line.waiting = line.waiting.saturating_add(1);
        }
        lines.into_values().collect()
    }
}

/// Gives the tenant of a request: its account and its kind of work.
pub(crate) fn tenant_of(ask: &PlaceAsk) -> ShortTag {
    tag_of(&format!("{}/{}", ask.account, ask.work.as_str()))
}

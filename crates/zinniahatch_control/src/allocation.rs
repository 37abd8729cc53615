//! Slot allocation of a pool coordinator: from the demand of each node to its slot limits.

use crate::ShareDemand;
use crate::coordinator::HolderState;
use crate::max_min_shares;
use zinniahatch_base::prelude::*;

/// Divisor of the spare slots that gives the reserve for the next node that needs slots.
///
/// With a reserve of a quarter, a node that runs out of slots gets more in one exchange. Without
/// it, another node must first return some.
const RESERVE_DIVISOR: u32 = 4;

pub(crate) struct AllocationInput<'a> {
    pub(crate) now: Instant,
    pub(crate) slots: &'a BTreeMap<ShortTag, u16>,
    pub(crate) pool_holders: &'a BTreeMap<NodeId, HolderState>,
    pub(crate) credits: &'a mut BTreeMap<ShortTag, f64>,
    pub(crate) last_allocation: Instant,
}

pub(crate) struct AllocationOutput {
    pub(crate) contended: bool,
    pub(crate) holders: Vec<HolderGrant>,
}

type HolderGrant = (NodeId, BTreeMap<ShortTag, u16>, Vec<(ShortTag, u16)>);
type Quotas = BTreeMap<NodeId, Vec<(ShortTag, u16)>>;

/// Computes the slot limits and quotas of every lease holder.
pub(crate) fn allocate(mut input: AllocationInput<'_>) -> AllocationOutput {
    let capacity: u32 = input.slots.values().map(|slots| u32::from(*slots)).sum();
    let needs: BTreeMap<&NodeId, u32> = input
        .pool_holders
        .iter()
        .map(|(name, holder)| (name, holder.running() + holder.waiting()))
        .collect();
    let need: u32 = needs.values().sum();
    let waiting = input
        .pool_holders
        .values()
        .any(|holder| holder.waiting() > 0);
    let contended = waiting && need > capacity;
    let mut quotas = Quotas::new();
    let mut targets: BTreeMap<NodeId, u32> = BTreeMap::new();
    if contended {
        quotas = compute_quotas(capacity, &mut input);
        for (name, node_quotas) in &quotas {
            targets.insert(
                name.clone(),
                node_quotas.iter().map(|(_, quota)| u32::from(*quota)).sum(),
            );
        }
    } else {
        input.credits.clear();
        let spare = capacity.saturating_sub(need);
        let spare_each = (spare - spare / RESERVE_DIVISOR) / (needs.len().max(1) as u32);
        for (name, own_need) in &needs {
            targets.insert((*name).clone(), own_need + spare_each);
        }
    }
    let mut table = LimitTable::new(input.slots, input.pool_holders);
    table.reclaim(&targets, &needs, contended);
    table.distribute(&targets, &needs);
    let holders = table
        .limits
        .into_iter()
        .map(|(name, limits)| {
            let node_quotas = quotas.remove(&name).unwrap_or_default();
            (name, limits, node_quotas)
        })
        .collect();
    AllocationOutput { contended, holders }
}

/// Divides a contended pool among the tenants, and each tenant's share among its nodes.
fn compute_quotas(capacity: u32, input: &mut AllocationInput<'_>) -> Quotas {
    let mut demands: BTreeMap<ShortTag, ShareDemand> = BTreeMap::new();
    for holder in input.pool_holders.values() {
        for load in &holder.report.tenants {
            let demand = demands.entry(load.tenant).or_insert(ShareDemand {
                tenant: load.tenant,
                weight: f64::from(load.weight.max(1)),
                demand: 0,
                running: 0,
                credit: input.credits.get(&load.tenant).copied().unwrap_or(0.0),
            });
            demand.demand += u32::from(load.running) + u32::from(load.waiting);
            demand.running += u32::from(load.running);
        }
    }
    let demand_list: Vec<ShareDemand> = demands.values().copied().collect();
    let shares = max_min_shares(capacity, &demand_list);
    let mut quotas: Quotas = input
        .pool_holders
        .keys()
        .map(|name| (name.clone(), Vec::new()))
        .collect();
    let elapsed = input
        .now
        .duration_since(input.last_allocation)
        .as_secs_f64();
    input
        .credits
        .retain(|tenant, _| shares.contains_key(tenant));
    for (tenant, (share, due)) in shares {
        let credit = input.credits.entry(tenant).or_default();
        *credit = if due > 0.0 {
            *credit + due * elapsed
        } else {
            0.0
        };
        split_share(tenant, share, input.pool_holders, &mut quotas);
    }
    quotas
}

/// One node's quota of a tenant's share.
struct NodeQuota<'a> {
    name: &'a NodeId,
    demand: u32,
    quota: u32,
    ideal: f64,
}

/// Splits a tenant's share among the nodes in proportion to their running and queued requests.
///
/// Quotas start from those of the previous allocation and move by one slot per allocation. A slot
/// that moves is idle for the two exchanges that the move takes, so slots do not move whenever a
/// request finishes. They still move, so that a request queued on one node is not starved by
/// those of another.
fn split_share(
    tenant: ShortTag,
    share: u32,
    holders: &BTreeMap<NodeId, HolderState>,
    quotas: &mut Quotas,
) {
    let mut node_quotas = Vec::new();
    for (name, holder) in holders {
        let Some(load) = holder
            .report
            .tenants
            .iter()
            .find(|load| load.tenant == tenant)
        else {
            continue;
        };
        let demand = u32::from(load.running) + u32::from(load.waiting);
        let previous = holder
            .quota_of(tenant)
            .map_or(u32::from(load.running), u32::from);
        node_quotas.push(NodeQuota {
            name,
            demand,
            quota: previous.min(demand),
            ideal: 0.0,
        });
    }
    let demand: u32 = node_quotas.iter().map(|node_quota| node_quota.demand).sum();
    for node_quota in &mut node_quotas {
        node_quota.ideal =
            f64::from(share) * f64::from(node_quota.demand) / f64::from(demand.max(1));
    }
    rebalance_quotas(share, &mut node_quotas);
    for node_quota in node_quotas {
        if let Some(list) = quotas.get_mut(node_quota.name) {
            list.push((tenant, node_quota.quota.min(u32::from(u16::MAX)) as u16));
        }
    }
}

/// Adjusts the quotas to add up to the share and moves one slot from the node with the largest
/// surplus to the one with the largest deficit.
fn rebalance_quotas(share: u32, quotas: &mut [NodeQuota<'_>]) {
    let mut sum: u32 = quotas.iter().map(|node| node.quota).sum();
    while sum > share {
        let Some(index) = largest_surplus(quotas) else {
            break;
        };
        quotas[index].quota -= 1;
        sum -= 1;
    }
    while sum < share {
        let Some(index) = largest_deficit(quotas) else {
            break;
        };
        quotas[index].quota += 1;
        sum += 1;
    }
    let (Some(from), Some(to)) = (largest_surplus(quotas), largest_deficit(quotas)) else {
        return;
    };
    if quotas[from].surplus() >= 1.0 && quotas[to].surplus() <= -1.0 {
        quotas[from].quota -= 1;
        quotas[to].quota += 1;
    }
}

fn largest_surplus(quotas: &[NodeQuota<'_>]) -> Option<usize> {
    let served = (0..quotas.len()).filter(|index| quotas[*index].quota > 0);
    served.max_by(|one, other| quotas[*one].surplus().total_cmp(&quotas[*other].surplus()))
}

fn largest_deficit(quotas: &[NodeQuota<'_>]) -> Option<usize> {
    let unsatisfied =
        (0..quotas.len()).filter(|index| quotas[*index].quota < quotas[*index].demand);
    unsatisfied.min_by(|one, other| quotas[*one].surplus().total_cmp(&quotas[*other].surplus()))
}

impl NodeQuota<'_> {
    fn surplus(&self) -> f64 {
        f64::from(self.quota) - self.ideal
    }
}

/// The slot limits of every node during an allocation.
struct LimitTable<'a> {
    holders: &'a BTreeMap<NodeId, HolderState>,
    limits: BTreeMap<NodeId, BTreeMap<ShortTag, u16>>,
    free: BTreeMap<ShortTag, u16>,
}

impl<'a> LimitTable<'a> {
    fn new(slots: &BTreeMap<ShortTag, u16>, holders: &'a BTreeMap<NodeId, HolderState>) -> Self {
        let mut free = slots.clone();
        let mut limits = BTreeMap::new();
        for (name, holder) in holders {
            for (replica, count) in &holder.committed {
                if let Some(left) = free.get_mut(replica) {
                    *left = left.saturating_sub(*count);
                }
            }
            // Running requests occupy their slots regardless of the limit, so the limit is at least
            // their number. Backend servers that are no longer usable get no limit.
            let mut retained = BTreeMap::new();
            let running = holder
                .report
                .slots
                .iter()
                .map(|line| (&line.replica, &line.running));
            for (replica, count) in holder.limits.iter().chain(running) {
                if let Some(capacity) = slots.get(replica).filter(|_| *count > 0) {
                    let limit: &mut u16 = retained.entry(*replica).or_default();
                    *limit = (*limit).max(*count).min(*capacity);
                }
            }
            limits.insert(name.clone(), retained);
        }
        Self {
            holders,
            limits,
            free,
        }
    }

    fn held(&self, name: &NodeId) -> u32 {
        self.limits[name]
            .values()
            .map(|limit| u32::from(*limit))
            .sum()
    }

    /// Lowers the limits of nodes above their target by as much as other nodes lack slots.
    fn reclaim(
        &mut self,
        targets: &BTreeMap<NodeId, u32>,
        needs: &BTreeMap<&NodeId, u32>,
        contended: bool,
    ) {
        let mut lacking = 0_u32;
        for (name, target) in targets {
            let goal = if contended {
                *target
            } else {
                needs.get(name).copied().unwrap_or(0)
            };
            lacking += goal.saturating_sub(self.held(name));
        }
        let free: u32 = self.free.values().map(|count| u32::from(*count)).sum();
        let mut shortage = lacking.saturating_sub(free);
        let names: Vec<NodeId> = self.limits.keys().cloned().collect();
        for name in names {
            let target = targets.get(&name).copied().unwrap_or(0);
            let mut excess = self.held(&name).saturating_sub(target).min(shortage);
            while excess > 0 && self.lower_one(&name) {
                excess -= 1;
                shortage -= 1;
            }
        }
    }

    /// Takes one slot from the backend server on which the node has the most idle slots.
    fn lower_one(&mut self, name: &NodeId) -> bool {
        let report = &self.holders[name].report;
        let Some(limits) = self.limits.get_mut(name) else {
            return false;
        };
        let idle = |replica: ShortTag, limit: u16| {
            let running = report
                .slots
                .iter()
                .find(|line| line.replica == replica)
                .map_or(0, |line| line.running);
            i32::from(limit) - i32::from(running)
        };
        let Some(replica) = limits
            .iter()
            .filter(|(_, limit)| **limit > 0)
            .max_by_key(|(replica, limit)| idle(**replica, **limit))
            .map(|(replica, _)| *replica)
        else {
            return false;
        };
        if let Some(limit) = limits.get_mut(&replica) {
            *limit -= 1;
        }
        limits.retain(|_, limit| *limit > 0);
        true
    }

    /// Distributes free slots to nodes below their target: first for their demand, then as spares.
    fn distribute(&mut self, targets: &BTreeMap<NodeId, u32>, needs: &BTreeMap<&NodeId, u32>) {
        for by_need in [true, false] {
            loop {
                let mut given = false;
                for (name, target) in targets {
                    let goal = if by_need {
                        (*target).min(needs.get(name).copied().unwrap_or(0))
                    } else {
                        *target
                    };
                    if self.held(name) >= goal {
                        continue;
                    }
                    given |= self.raise_one(name);
                }
                if !given {
                    break;
                }
            }
        }
    }

    fn raise_one(&mut self, name: &NodeId) -> bool {
        let Some((replica, left)) = self
            .free
            .iter_mut()
            .filter(|(_, left)| **left > 0)
            .max_by_key(|(_, left)| **left)
        else {
            return false;
        };
        *left -= 1;
        if let Some(limits) = self.limits.get_mut(name) {
            *limits.entry(*replica).or_default() += 1;
        }
        true
    }
}

//! Weighted max-min shares of a contended pool.

use zinniahatch_base::prelude::*;

/// The demand of one tenant on a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareDemand {
    /// The tenant.
    pub tenant: ShortTag,
    /// Its weight.
    pub weight: f64,
    /// Running and queued requests.
    pub demand: u32,
    /// Running requests.
    pub running: u32,
    /// Accumulated fraction of a slot that was due to the tenant but not given, in slot seconds.
    ///
    /// Tenants with more credit get a remaining slot first.
    pub credit: f64,
}

/// Returns each tenant's weighted max-min share in whole slots, and the fraction still due to it.
///
/// No tenant gets more than its demand, unused shares go to the other tenants by weight, and the
/// shares add up to the capacity or the total demand, whichever is less. Slots that remain after
/// rounding down go first to tenants that already run more requests than their whole slots, then
/// to those with the most credit, so that a hundred tenants on twelve slots take turns.
pub fn max_min_shares(capacity: u32, demands: &[ShareDemand]) -> BTreeMap<ShortTag, (u32, f64)> {
    let mut order: Vec<&ShareDemand> = demands.iter().filter(|demand| demand.demand > 0).collect();
    order.sort_by(|one, other| {
        (f64::from(one.demand) / one.weight).total_cmp(&(f64::from(other.demand) / other.weight))
    });
    let mut weight_left: f64 = order.iter().map(|demand| demand.weight).sum();
    let mut capacity_left = f64::from(capacity);
    let mut shares = BTreeMap::new();
    let mut spare = capacity;
    for demand in &order {
        let fair = (capacity_left * demand.weight / weight_left).min(f64::from(demand.demand));
        weight_left -= demand.weight;
        capacity_left -= fair;
        // The epsilon prevents a share of 2.9999999 from being rounded down to 2.
        let whole = ((fair + 1e-9).floor() as u32).min(spare);
        spare -= whole;
        shares.insert(demand.tenant, (whole, (fair - f64::from(whole)).max(0.0)));
    }
    let mut takers: Vec<&&ShareDemand> = order
        .iter()
        .filter(|demand| shares[&demand.tenant].0 < demand.demand)
        .collect();
    takers.sort_by(|one, other| {
        let runs = |demand: &ShareDemand| demand.running > shares[&demand.tenant].0;
        let due = |demand: &ShareDemand| shares[&demand.tenant].1 + demand.credit;
        runs(other)
            .cmp(&runs(one))
            .then(due(other).total_cmp(&due(one)))
    });
    for demand in takers.into_iter().take(spare as usize) {
        if let Some(share) = shares.get_mut(&demand.tenant) {
            *share = (share.0 + 1, 0.0);
        }
    }
    shares
}

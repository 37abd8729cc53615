//! Weighted max-min shares of a contended pool.

use zinniahatch_base::prelude::*;

/// What one tenant asks of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareDemand {
    /// The tenant.
    pub tenant: ShortTag,
    /// Its weight.
    pub weight: f64,
    /// Requests running and waiting.
    pub demand: u32,
    /// Requests running.
    pub running: u32,
    /// How long the tenant has gone without the fraction of a slot due to it; a larger one goes first.
    pub credit: f64,
}

/// Gives each tenant its share of the capacity, in whole slots, and the fraction it still has due.
///
/// No tenant gets more than it asks for, what one leaves goes to the others by weight, and the
/// shares add up to the capacity or to all demands, whichever is less. Fractions of a slot go to
/// the tenant that already runs on it, else to the one with the most credit, so that a hundred
/// tenants on twelve slots take turns.
pub fn fill_shares(capacity: u32, demands: &[ShareDemand]) -> BTreeMap<ShortTag, (u32, f64)> {
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
        // The epsilon keeps a share of 2.9999999 from being read as 2.
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

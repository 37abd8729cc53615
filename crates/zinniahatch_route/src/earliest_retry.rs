//! Computes when a request that no replica can take now may be retried.

use crate::PlacementQuery;
use crate::ReplicaTable;
use crate::SendRefusal;
use crate::placement::is_eligible;
use zinniahatch_base::prelude::*;

/// When the first of a region's replicas takes work again, if none does now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EarliestRetry {
    /// Why it does not take work now.
    pub reason: SendRefusal,
    /// The time until it does.
    pub after: Duration,
    /// Requests that these replicas process concurrently, in total.
    pub slots: u32,
}

/// Returns when the first replica of a service takes work again, if all that could serve are
/// in backoff or have used up their rate limits.
///
/// Returns `None` if some replica takes work now, or if none will.
pub fn earliest_retry(
    table: &ReplicaTable,
    regions: &BTreeMap<DataCentreId, RegionId>,
    query: &PlacementQuery<'_>,
    now: Instant,
) -> Option<EarliestRetry> {
    let mut first: Option<(Duration, SendRefusal)> = None;
    let mut slots: u32 = 0;
    for state in table.rows() {
        let eligible = is_eligible(table, regions, query.service, query.region, state, now);
        if !eligible || !query.allows_version(state) {
            continue;
        }
        let backoff = table.backoffs.wait(state.tag, now);
        let limit = if table.limits.allows(state.tag, now) {
            Duration::ZERO
        } else {
            table.limits.wait(state.tag, now)
        };
        let after = backoff.max(limit);
        if after.is_zero() {
            return None;
        }
        slots = slots.saturating_add(state.entry.slots);
        let reason = if backoff >= limit {
            SendRefusal::Resting
        } else {
            SendRefusal::Limited
        };
        if first.is_none_or(|(least, _)| after < least) {
            first = Some((after, reason));
        }
    }
    let (after, reason) = first?;
    Some(EarliestRetry {
        reason,
        after,
        slots,
    })
}

/// Returns whether a service has replicas in a region and all of them are leaving.
pub fn all_leaving(
    table: &ReplicaTable,
    regions: &BTreeMap<DataCentreId, RegionId>,
    query: &PlacementQuery<'_>,
) -> bool {
    let mut local = table.rows().filter(|state| {
        let region = regions.get(&state.entry.data_centre);
        *state.entry.service == **query.service
            && query.allows_version(state)
            && region.is_some_and(|region| **region == *query.region)
    });
    let mut found = false;
    local.all(|state| {
        found = true;
        state.leaving.is_some()
    }) && found
}

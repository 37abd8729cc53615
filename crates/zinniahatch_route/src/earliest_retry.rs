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
/// resting or have used up their rate limits.
///
/// Returns `None` if some replica takes work now, or if none will.
pub fn earliest_retry(
    table: &ReplicaTable,
    regions: &BTreeMap<DataCentreId, RegionId>,
    ask: &PlacementQuery<'_>,
    now: Instant,
) -> Option<EarliestRetry> {
    let mut first: Option<(Duration, SendRefusal)> = None;
    let mut slots = 0;
    for belief in table.rows() {
        if !is_eligible(table, regions, ask.service, ask.region, belief, now) {
            continue;
        }
        let rest = table.backoffs.wait(belief.tag, now);
        let limit = if table.limits.allows(belief.tag, now) {
            Duration::ZERO
        } else {
            table.limits.wait(belief.tag, now)
        };
        let after = rest.max(limit);
        if after.is_zero() {
            return None;
        }
        slots += belief.entry.slots;
        let reason = if rest >= limit {
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
    ask: &PlacementQuery<'_>,
) -> bool {
    let mut here = table.rows().filter(|belief| {
        let region = regions.get(&belief.entry.data_centre);
        *belief.entry.service == **ask.service
            && region.is_some_and(|region| **region == *ask.region)
    });
    let mut any = false;
    here.all(|belief| {
        any = true;
        belief.leaving.is_some()
    }) && any
}

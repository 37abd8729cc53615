//! When a request that no replica can take now may come back.

use crate::PlacementQuery;
use crate::ReplicaTable;
use crate::SendRefusal;
use crate::placement::is_eligible;
use zinniahatch_base::prelude::*;

/// When the first of a region's replicas takes work again, where none does now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EarliestReturn {
    /// Why it does not now.
    pub reason: SendRefusal,
    /// The time until it does.
    pub after: Duration,
    /// Requests that all of them work on at once.
    pub slots: u32,
}

/// Gives when the first replica of a service takes work again, where all that could serve rest or have used up their
/// rate limits; none where some takes work now, or where none will.
pub fn earliest_return(
    table: &ReplicaTable,
    regions: &BTreeMap<DataCentreId, RegionId>,
    ask: &PlacementQuery<'_>,
    now: Instant,
) -> Option<EarliestReturn> {
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
    Some(EarliestReturn {
        reason,
        after,
        slots,
    })
}

/// Tells whether replicas of a service in a region are there and all of them leave.
pub fn all_leave(
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

//! When a request that no replica can take now may come back.

use crate::PlaceAsk;
use crate::ReplicaTable;
use crate::Withheld;
use crate::placement::takes_work;
use zinniahatch_base::prelude::*;

/// When the first of a region's replicas takes work again, where none does now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EarliestReturn {
    /// Why it does not now.
    pub reason: Withheld,
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
    ask: &PlaceAsk<'_>,
    now: Instant,
) -> Option<EarliestReturn> {
    let mut first: Option<(Duration, Withheld)> = None;
    let mut slots = 0;
    for belief in table.rows() {
        if !takes_work(table, regions, ask.service, ask.region, belief, now) {
            continue;
        }
        let rest = table.rests.wait(belief.tag, now);
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
            Withheld::Resting
        } else {
            Withheld::Limited
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
    ask: &PlaceAsk<'_>,
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

//! Duties that fall to the first few nodes of a region by rank.

use crate::core::DISCOVERY_TIME;
use crate::core::EntryCore;
use zinniahatch_base::prelude::*;
use zinniahatch_base::rendezvous_rank;

/// Nodes of a region that read the news of replicas soon and tell the others; two may die at once.
pub(crate) const READERS: usize = 3;
/// The duty by which these are ranked.
pub(crate) const READER_DUTY: &str = "replicas";

/// Tells whether this node has a duty that falls to the first few of its region by rank. One that has
/// just started has none, since it does not know the others yet and all would take it.
pub(crate) fn has_duty(core: &EntryCore, duty: &str, nodes: usize) -> bool {
    if core.started.elapsed() < DISCOVERY_TIME {
        return false;
    }
    ranked_above(core, duty) < nodes
}

/// Gives how many living nodes of the region rank before this one for a duty.
pub(crate) fn ranked_above(core: &EntryCore, duty: &str) -> usize {
    let own = rendezvous_rank(duty, &core.settings.name);
    let members = core.members.borrow();
    let near = members.live_in(&core.settings.region, Instant::now());
    let above = near.iter();
    above
        .filter(|card| rendezvous_rank(duty, &card.node) > own)
        .count()
}

//! Roles assigned to the first few nodes of a region by rendezvous hashing.

use crate::core::EntryCore;
use zinniahatch_base::prelude::*;
use zinniahatch_base::rendezvous_rank;
use zinniahatch_route::DISCOVERY_TIME;

/// Number of nodes per region that poll the store for replica changes and broadcast them; tolerates
/// two simultaneous node failures.
pub(crate) const STORE_READERS: usize = 3;
/// Role name that is hashed to rank the store readers.
pub(crate) const STORE_READER_ROLE: &str = "replicas";

/// Returns whether this node is among the first `nodes` of its region by rank for a role.
///
/// A node that has just started holds no role: it does not know the other nodes yet, so every
/// starting node would claim it.
pub(crate) fn holds_role(core: &EntryCore, role: &str, nodes: usize) -> bool {
    if core.started.elapsed() < DISCOVERY_TIME {
        return false;
    }
    nodes_ranked_above(core, role) < nodes
}

/// Returns how many live nodes of the region rank before this one for a role.
pub(crate) fn nodes_ranked_above(core: &EntryCore, role: &str) -> usize {
    let own = rendezvous_rank(role, &core.settings.name);
    let members = core.members.borrow();
    let live = members.live_in(&core.settings.region, Instant::now());
    let others = live.iter();
    others
        .filter(|member| rendezvous_rank(role, &member.node) > own)
        .count()
}

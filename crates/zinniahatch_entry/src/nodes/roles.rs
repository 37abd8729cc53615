//! Roles assigned to the first few nodes of a region by rendezvous hashing.

use crate::core::EntryCore;
use zinniahatch_base::prelude::*;
use zinniahatch_base::rendezvous_rank;
use zinniahatch_route::DISCOVERY_TIME;
use zinniahatch_route::MemberStage;

/// Number of nodes per region that poll the store for replica changes and broadcast them; tolerates
/// two simultaneous node failures.
pub(crate) const STORE_READERS: usize = 3;
/// Role name that is hashed to rank the store readers.
pub(crate) const STORE_READER_ROLE: &str = "replicas";

/// Time for which a computed rank is used: it takes a hash per node of the region.
const RANK_REUSE_TIME: Duration = Duration::from_millis(100);

/// Returns whether this node is among the first `nodes` of its region by rank for a role.
///
/// A node that has just started holds no role: it does not know the other nodes yet, so every
/// starting node would claim it.
pub(crate) fn holds_role(core: &EntryCore, role: &'static str, nodes: usize) -> bool {
    if core.started.elapsed() < DISCOVERY_TIME {
        return false;
    }
    nodes_ranked_above(core, role) < nodes
}

/// Returns how many nodes of the region that can fill a role rank before this one.
///
/// The nodes with the largest CPU share come first, since what a role costs grows with the region.
/// Nodes that cannot reach the store are passed over, and in a large region those that are starting
/// count: if all start at once, none is ready, and each would take every role.
pub(crate) fn nodes_ranked_above(core: &EntryCore, role: &'static str) -> usize {
    let now = Instant::now();
    let cached = core.role_ranks.borrow().get(role).copied();
    if let Some((ranked_above, computed)) = cached
        && now.saturating_duration_since(computed) < RANK_REUSE_TIME
    {
        return ranked_above;
    }
    let settings = &core.settings;
    let own = (settings.cpu_share, rendezvous_rank(role, &settings.name));
    let members = core.members.borrow();
    let first_stage = if core.uses_relays.get() {
        MemberStage::Starting
    } else {
        MemberStage::Ready
    };
    let able = members.live_between(&settings.region, first_stage, MemberStage::Ready, now);
    let ranked_above = able
        .iter()
        .filter(|member| member.store_reachable)
        .filter(|member| (member.cpu_share, rendezvous_rank(role, &member.node)) > own)
        .count();
    let mut ranks = core.role_ranks.borrow_mut();
    ranks.insert(role, (ranked_above, now));
    ranked_above
}

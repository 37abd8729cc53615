//! Taking places for requests to replicas.

use crate::core::EntryCore;
use zinniahatch_base::prelude::*;
use zinniahatch_route::ColdLimiter;
use zinniahatch_route::ReplicaPermit;
use zinniahatch_route::SendClaim;
use zinniahatch_route::Withheld;

/// Takes a place for one request to a replica.
pub(crate) fn claim_send(
    core: &EntryCore,
    replica: &str,
    now: Instant,
) -> Result<SendClaim, Withheld> {
    let share = cold_share(core, replica, now);
    let mut replicas = core.replicas.borrow_mut();
    let claimed = replicas.claim(&mut core.gate.borrow_mut(), replica, share, now);
    claimed.inspect_err(|withheld| note_withheld(core, *withheld))
}

/// Gives leave to write the request that a place was taken for.
pub(crate) fn permit_send(core: &EntryCore, claim: SendClaim) -> Result<ReplicaPermit, Withheld> {
    let permitted = core.replicas.borrow().permit(claim, Instant::now());
    permitted.inspect_err(|withheld| note_withheld(core, *withheld))
}

fn note_withheld(core: &EntryCore, withheld: Withheld) {
    core.metrics.notices.note_withheld(withheld.name());
    if withheld == Withheld::Limited {
        core.metrics.limits.note("withheld");
    }
}

/// Gives what this node may send a replica in a second while it is cold.
fn cold_share(core: &EntryCore, replica: &str, now: Instant) -> usize {
    let service = {
        let replicas = core.replicas.borrow();
        let belief = replicas.get(replica).filter(|belief| belief.is_cold(now));
        belief.map(|belief| belief.entry.service.clone())
    };
    let Some(service) = service else {
        return 0;
    };
    let rate = core.service(&service).map_or(0.0, |spec| spec.cold_rate);
    let peers = core.members.borrow().names_in(&core.settings.region);
    ColdLimiter::share(core.cold_bound(rate), replica, &core.settings.name, &peers)
}

//! Taking places for requests to replicas.

use crate::core::EntryCore;
use zinniahatch_base::prelude::*;
use zinniahatch_route::ColdGate;
use zinniahatch_route::ReplicaPermit;
use zinniahatch_route::SendRefusal;
use zinniahatch_route::SendReservation;

/// Takes a place for one request to a replica.
pub(crate) fn claim_send(
    core: &EntryCore,
    replica: &str,
    now: Instant,
) -> Result<SendReservation, SendRefusal> {
    let share = cold_share(core, replica, now);
    let mut replicas = core.replicas.borrow_mut();
    let claimed = replicas.reserve(&mut core.gate.borrow_mut(), replica, share, now);
    claimed.inspect_err(|withheld| note_withheld(core, *withheld))
}

/// Gives leave to write the request that a place was taken for.
pub(crate) fn permit_send(
    core: &EntryCore,
    claim: SendReservation,
) -> Result<ReplicaPermit, SendRefusal> {
    let permitted = core.replicas.borrow().permit(claim, Instant::now());
    permitted.inspect_err(|withheld| note_withheld(core, *withheld))
}

fn note_withheld(core: &EntryCore, withheld: SendRefusal) {
    core.metrics.notices.note_withheld(withheld.name());
    if withheld == SendRefusal::Limited {
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
    ColdGate::share(core.cold_bound(rate), replica, &core.settings.name, &peers)
}

//! Admission of requests to replicas.

use crate::core::EntryCore;
use zinniahatch_base::prelude::*;
use zinniahatch_route::ColdLimiter;
use zinniahatch_route::ReplicaPermit;
use zinniahatch_route::SendRefusal;
use zinniahatch_route::SendReservation;

/// Reserves a slot for one request to a replica.
pub(crate) fn reserve_send(
    core: &EntryCore,
    replica: &str,
    now: Instant,
) -> Result<SendReservation, SendRefusal> {
    let share = cold_share(core, replica, now);
    let mut replicas = core.replicas.borrow_mut();
    let mut limiter = core.cold_limiter.borrow_mut();
    let reserved = replicas.reserve(&mut limiter, replica, share, now);
    if core.lacks_entries.get() && reserved.is_ok() {
        // It may be cold already without this node knowing.
        limiter.note_unless_cold(&replicas, replica, now);
    }
    reserved.inspect_err(|refusal| note_refusal(core, *refusal))
}

/// Grants permission to write the request that a slot was reserved for.
pub(crate) fn permit_send(
    core: &EntryCore,
    reservation: SendReservation,
) -> Result<ReplicaPermit, SendRefusal> {
    let permit = core.replicas.borrow().permit(reservation, Instant::now());
    permit.inspect_err(|refusal| note_refusal(core, *refusal))
}

fn note_refusal(core: &EntryCore, refusal: SendRefusal) {
    core.metrics.notices.note_withheld(refusal.name());
    if refusal == SendRefusal::Limited {
        core.metrics.limits.note("withheld");
    }
}

/// Returns how many requests per second this node may send to a cold replica.
fn cold_share(core: &EntryCore, replica: &str, now: Instant) -> usize {
    let service = {
        let replicas = core.replicas.borrow();
        let state = replicas.get(replica).filter(|state| state.is_cold(now));
        state.map(|state| state.entry.service.clone())
    };
    let Some(service) = service else {
        return 0;
    };
    let rate = core.service(&service).map_or(0.0, |spec| spec.cold_rate);
    let peers = core.region_peers(now);
    ColdLimiter::share(core.cold_bound(rate), replica, &core.settings.name, &peers)
}

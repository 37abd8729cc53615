//! Lets requests wait on a node that has just started and cannot place them yet.
//!
//! Load pattern: all nodes lose power at once, and the callers return together with the power. It
//! takes half a second until a node has read the store and discovered the others, and until then it
//! does not know whether it can serve them. When such requests were refused, many callers used up
//! their retries and their requests were lost, up to 115 within two seconds.

use crate::core::EntryCore;
use crate::request::received::ReceivedRequest;
use tokio::time::timeout_at;
use zinniahatch_base::prelude::*;
use zinniahatch_route::DISCOVERY_TIME;

/// Share of the caller's time that a request may spend waiting for the node to start. The rest is
/// left for serving it.
const MAX_WAIT_SHARE: f64 = 0.125;
/// Upper bound of that wait. A start takes half a second. If it takes longer, the store is
/// unavailable and the caller should learn that soon.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Waits until the desired state and the replicas are known, or until the request has used up its
/// share of the wait.
///
/// If callers need API keys, it also waits until the state is known not to be stale.
pub(crate) async fn wait_for_state(core: &EntryCore, request: &ReceivedRequest) {
    while !has_current_state(core) && wait_for_update(core, request).await {}
}

fn has_current_state(core: &EntryCore) -> bool {
    core.is_initialized() && (core.key_bound().is_none() || !core.may_be_stale())
}

/// Waits for any state update on a node that has just started, and returns whether one came in
/// time.
///
/// A node that has been up longer already knows every node it can know, so there is nothing to wait
/// for.
pub(crate) async fn wait_for_members(core: &EntryCore, request: &ReceivedRequest) -> bool {
    core.started.elapsed() < DISCOVERY_TIME && wait_for_update(core, request).await
}

async fn wait_for_update(core: &EntryCore, request: &ReceivedRequest) -> bool {
    let Some(left) = request.time_left.filter(|_| request.is_direct()) else {
        return false;
    };
    let limit = request.arrived + left.mul_f64(MAX_WAIT_SHARE).min(MAX_WAIT);
    timeout_at(limit.into(), core.state_learned.notified())
        .await
        .is_ok()
}

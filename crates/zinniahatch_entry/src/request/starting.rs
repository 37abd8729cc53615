//! Requests that reach a node before it knows enough to place them.
//!
//! Load pattern: all nodes lose power at once and callers come back with the power. For the half second until
//! a node has read the store and heard of the others it does not know yet whether it can serve them: refused,
//! many had used up their retries and were lost, on the worst day 115 within two seconds.

use crate::core::ACQUAINT_TIME;
use crate::core::EntryCore;
use crate::request::received::ReceivedCall;
use tokio::time::timeout_at;
use zinniahatch_base::prelude::*;

/// Part of the caller's time for which a request may wait for a node to learn; the rest is for serving it.
const WAIT_PART: f64 = 0.125;
/// Longest such wait. A start takes half a second; where it takes longer the store is away, and the caller
/// should hear that soon.
const LONGEST_WAIT: Duration = Duration::from_secs(1);

/// Waits until the desired state and the replicas are known, and where callers need keys, that it is not an old one;
/// or until the request has waited its part.
pub(crate) async fn await_rules(core: &EntryCore, call: &ReceivedCall) {
    while !knows_rules(core) && learn_more(core, call).await {}
}

fn knows_rules(core: &EntryCore) -> bool {
    core.knows() && (core.key_bound().is_none() || !core.may_be_behind())
}

/// Waits for any news on a node that has just started; tells whether some came in time.
///
/// A node that has been up longer knows whom it can know, and is not waited for.
pub(crate) async fn await_members(core: &EntryCore, call: &ReceivedCall) -> bool {
    core.started.elapsed() < ACQUAINT_TIME && learn_more(core, call).await
}

async fn learn_more(core: &EntryCore, call: &ReceivedCall) -> bool {
    let Some(left) = call.time_left.filter(|_| call.is_direct()) else {
        return false;
    };
    let limit = call.arrived + left.mul_f64(WAIT_PART).min(LONGEST_WAIT);
    timeout_at(limit.into(), core.learned.notified())
        .await
        .is_ok()
}

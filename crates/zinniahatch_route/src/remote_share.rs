//! Share of the streams that are sent to a remote region because it decodes faster.
//!
//! Load pattern: the peaks of regions come at different hours. A region at its peak still begins
//! each response in time, but decodes at a third of the speed of the next region, which is idle.
//! The longer streams last, the more of them a failure cuts off, and the longest do not finish
//! before their callers give up.

use zinniahatch_base::prelude::*;

/// Share of requests that is sent away per unit of relative improvement of the whole response time.
/// Updates from the other region are half a second old; sending everything as soon as it looks
/// better would make the load oscillate.
const SHARE_PER_GAIN: f64 = 3.0;

/// Returns the share of requests that should be served in the remote region.
///
/// `gain` is the ratio of remote to local time below which requests are sent away.
pub fn remote_share(local: Duration, remote: Duration, gain: f64) -> f64 {
    let local = local.as_secs_f64();
    if local <= 0.0 {
        return 0.0;
    }
    let improvement = gain - remote.as_secs_f64() / local;
    (improvement * SHARE_PER_GAIN).clamp(0.0, 1.0)
}

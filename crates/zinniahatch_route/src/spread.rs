//! Sending streams to a region where they are generated faster.
//!
//! Load pattern: peaks come to regions at different hours. A region at its peak still begins each answer in
//! time, but generates it at a third of the speed of the next, which stands idle; the longer a stream
//! lasts, the more of them a failure cuts off, and the longest do not end before their callers give up.

use zinniahatch_base::prelude::*;

/// Share of requests that goes away for each part by which the whole answer is sooner there. News of the
/// other region is half a second old; were all to go as soon as it looks better, they would go to and fro.
const SHARE_EACH: f64 = 3.0;

/// Gives the share of requests that should be served elsewhere.
///
/// `gain` is the expected time there, as a part of that here, below which any go.
pub fn away_share(here: Duration, there: Duration, gain: f64) -> f64 {
    let here = here.as_secs_f64();
    if here <= 0.0 {
        return 0.0;
    }
    let sooner = gain - there.as_secs_f64() / here;
    (sooner * SHARE_EACH).clamp(0.0, 1.0)
}

//! Checks the rate limits that replicas announced against the requests that reached them.

use super::invariants::OutcomeLog;
use super::plan::SoakFault;
use super::plan::SoakPlan;
use crate::site::SiteCluster;
use zinniahatch_base::prelude::*;

/// Time after which nodes must respect an announced limit, and for which a fault exempts them after
/// its end.
const GRACE: Duration = Duration::from_secs(6);

/// Checks that no replica got more requests than the rate limit that it announced.
pub(crate) fn check_limits(
    site: &SiteCluster,
    plan: &SoakPlan,
    started: Instant,
    log: &OutcomeLog,
) {
    for (index, record) in site.limit_records() {
        let is_exempt = |start: Instant, end: Instant| {
            plan.faults.iter().any(|planned| {
                let (from, until) = (started + planned.at, started + planned.until + GRACE);
                may_exceed_limit(planned.fault, index) && from < end && start < until
            })
        };
        if let Some(window) = record.broken_window(GRACE, is_exempt) {
            log.record_violation(format!(
                "replica {index} got more than its limit: {window:?}"
            ));
        }
    }
}

/// Returns whether a fault may keep a replica's limit from the nodes, or make requests that they
/// sent one after the other arrive together.
fn may_exceed_limit(fault: SoakFault, replica: usize) -> bool {
    fault == SoakFault::KillAll || fault.impaired_link() == Some(replica)
}

//! Rate limits that replicas named, checked against what reached them.

use super::plan::SoakFault;
use super::plan::SoakPlan;
use super::promises::PromiseBook;
use crate::site::SiteCluster;
use zinniahatch_base::prelude::*;

/// Time after which the nodes must keep to a limit that was named, and for which a fault excuses them.
const GRACE: Duration = Duration::from_secs(6);

/// Checks that every replica that named a rate limit got no more.
pub(crate) fn check_limits(
    site: &SiteCluster,
    plan: &SoakPlan,
    began: Instant,
    book: &PromiseBook,
) {
    for (index, record) in site.limit_records() {
        let excused = |start: Instant, end: Instant| {
            plan.faults.iter().any(|planned| {
                let (from, until) = (began + planned.at, began + planned.until + GRACE);
                excuses(planned.fault, index) && from < end && start < until
            })
        };
        if let Some(window) = record.broken_window(GRACE, excused) {
            book.note_broken(format!(
                "replica {index} got more than its limit: {window:?}"
            ));
        }
    }
}

/// Tells whether a fault may keep a replica's limit from the nodes, or bring together what they sent it one after
/// the other.
fn excuses(fault: SoakFault, replica: usize) -> bool {
    fault == SoakFault::KillAll || fault.harms_link_of() == Some(replica)
}

//! What replicas said of their leaving and of rests, checked against what reached them.

use super::plan::SoakFault;
use super::plan::SoakPlan;
use super::promises::PromiseBook;
use crate::site::SiteCluster;
use zinniahatch_base::prelude::*;

/// Time after which a replica that leaves must get nothing more from a node that it has told.
const DRAIN_TIME: Duration = Duration::from_secs(4);
/// Time for which a fault of a link may go on to show.
const LINK_TIME: Duration = Duration::from_secs(3);

/// Checks that no node sent to a replica that had told it that it leaves, or too much to one that had asked it for rest.
pub(crate) fn check_notices(
    site: &SiteCluster,
    plan: &SoakPlan,
    began: Instant,
    book: &PromiseBook,
) {
    let sending_nodes = site.sending_nodes();
    for (place, id, record) in site.notice_records() {
        let node_of = |attempt: &str| sending_nodes.get(&(attempt.into(), id.clone())).copied();
        let excused = |node: usize, from: Instant, until: Instant| {
            plan.faults.iter().any(|planned| {
                let end = if touches_entry(planned.fault, node) {
                    held_until(plan, planned.until)
                } else if planned.fault.harms_link_of() == Some(place) {
                    planned.until + LINK_TIME
                } else {
                    return false;
                };
                began + planned.at <= until && from <= began + end
            })
        };
        if let Some(broken) = record.leaving_violation(DRAIN_TIME, node_of, excused) {
            book.note_broken(format!("{id} leaves and got a request: {broken:?}"));
        }
        if let Some(broken) = record.backoff_violation(node_of, excused) {
            book.note_broken(format!("{id} rests and got requests: {broken:?}"));
        }
    }
}

/// Tells whether a fault ends or pauses an entry VM.
fn touches_entry(fault: SoakFault, node: usize) -> bool {
    match fault {
        SoakFault::KillAll => true,
        SoakFault::KillEntry(index)
        | SoakFault::StopEntry(index)
        | SoakFault::FreezeEntry(index) => index == node,
        _ => false,
    }
}

/// Gives when the entry VMs are back: once no fault holds any of them.
fn held_until(plan: &SoakPlan, until: Duration) -> Duration {
    let mut end = until;
    loop {
        let holding = plan.faults.iter().filter(|planned| {
            let entry = matches!(
                planned.fault,
                SoakFault::KillAll
                    | SoakFault::KillEntry(_)
                    | SoakFault::StopEntry(_)
                    | SoakFault::FreezeEntry(_)
            );
            entry && planned.at <= end
        });
        let last = holding.map(|planned| planned.until).max().unwrap_or(end);
        if last <= end {
            return end;
        }
        end = last;
    }
}

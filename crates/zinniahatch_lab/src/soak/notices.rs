//! Checks the leaving and backoff notices of replicas against the requests that reached them.

use super::invariants::OutcomeLog;
use super::plan::SoakFault;
use super::plan::SoakPlan;
use crate::site::SiteCluster;
use zinniahatch_base::prelude::*;

/// Time after which a leaving replica must get no more requests from a node that got its notice.
const DRAIN_TIME: Duration = Duration::from_secs(4);
/// Time for which a link fault may still show effects after its end.
const LINK_FAULT_TIME: Duration = Duration::from_secs(3);

/// Checks that no node sent requests to a replica that had announced to it that it is leaving, or
/// too many to one that had requested a backoff from it.
pub(crate) fn check_notices(
    site: &SiteCluster,
    plan: &SoakPlan,
    started: Instant,
    log: &OutcomeLog,
) {
    let sending_nodes = site.sending_nodes();
    for (replica, id, record) in site.notice_records() {
        let node_of = |attempt: &str| sending_nodes.get(&(attempt.into(), id.clone())).copied();
        let is_exempt = |node: usize, from: Instant, until: Instant| {
            plan.faults.iter().any(|planned| {
                let end = if interrupts_entry(planned.fault, node) {
                    entries_down_until(plan, planned.until)
                } else if planned.fault.impaired_link() == Some(replica) {
                    planned.until + LINK_FAULT_TIME
                } else {
                    return false;
                };
                started + planned.at <= until && from <= started + end
            })
        };
        if let Some(broken) = record.leaving_violation(DRAIN_TIME, node_of, is_exempt) {
            log.record_violation(format!("{id} leaves and got a request: {broken:?}"));
        }
        if let Some(broken) = record.backoff_violation(node_of, is_exempt) {
            log.record_violation(format!("{id} rests and got requests: {broken:?}"));
        }
    }
}

/// Returns whether a fault ends or pauses an entry VM.
fn interrupts_entry(fault: SoakFault, node: usize) -> bool {
    match fault {
        SoakFault::KillAll => true,
        SoakFault::KillEntry(index)
        | SoakFault::StopEntry(index)
        | SoakFault::RestartEntry(index)
        | SoakFault::FreezeEntry(index) => index == node,
        _ => false,
    }
}

/// Returns when the entry VMs run again, which is when the last overlapping fault on any of them ends.
fn entries_down_until(plan: &SoakPlan, until: Duration) -> Duration {
    let mut end = until;
    loop {
        let overlapping = plan.faults.iter().filter(|planned| {
            let entry = matches!(
                planned.fault,
                SoakFault::KillAll | SoakFault::KillEntry(_) | SoakFault::StopEntry(_)
            );
            entry && planned.at <= end
        });
        let last = overlapping
            .map(|planned| planned.until)
            .max()
            .unwrap_or(end);
        if last <= end {
            return end;
        }
        end = last;
    }
}

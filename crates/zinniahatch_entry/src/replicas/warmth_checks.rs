//! Health checks of replicas that may become cold while no node of the region reads the store.
//!
//! A replica says that it is cold in its entry and in its health answers. While the entries are not
//! read, one node of the region checks each replica, and tells the others of those that are cold.

use crate::core::EntryCore;
use crate::nodes::datagrams::is_from_own_region;
use crate::replicas::notice::apply_probe_notice;
use crate::replicas::probe::PROBE_TIMEOUT;
use crate::replicas::probe::probe_target;
use crate::replicas::probe::send_probe;
use crate::replicas::send_admission::reserve_send;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use serde::Deserialize;
use serde::Serialize;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::timeout;
use zinniahatch_base::prelude::*;
use zinniahatch_base::rendezvous_rank;
use zinniahatch_route::ReplicaIncarnation;

/// Interval between checks of a replica. Until one shows that the replica is cold, it gets its share of
/// the requests.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Report that a replica of the region is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ColdReport {
    /// Tag of the replica incarnation.
    replica: ShortTag,
    /// Time for which it stays cold, in milliseconds.
    left_ms: u64,
}

/// Checks replicas until the process ends.
pub(crate) async fn run_warmth_checks(core: Rc<EntryCore>) {
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut checks = FuturesUnordered::new();
    let mut checked: BTreeSet<ReplicaId> = BTreeSet::new();
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                let lacks_entries = lacks_entries(&core, Instant::now());
                core.lacks_entries.set(lacks_entries);
                if !lacks_entries {
                    continue;
                }
                for (incarnation, path) in replicas_to_check(&core) {
                    if checked.insert(incarnation.id.clone()) {
                        checks.push(check_warmth(&core, incarnation, path));
                    }
                }
            }
            Some(replica) = checks.next(), if !checks.is_empty() => {
                checked.remove(&replica);
            }
        }
    }
}

/// Returns whether neither this node nor another one of its region reads the entries of replicas.
fn lacks_entries(core: &EntryCore, now: Instant) -> bool {
    let region = &core.settings.region;
    let has_reader = || {
        let members = core.members.borrow();
        members.store_reader(region, |_| true, 0, now).is_some()
    };
    core.has_listed_replicas() && core.replicas.borrow().store_failed_recently(now) && !has_reader()
}

/// Returns the replicas that this node is to check: those of services with a limit for cold replicas that
/// are not known to be cold, split over the nodes of the region.
fn replicas_to_check(core: &EntryCore) -> Vec<(ReplicaIncarnation, Box<str>)> {
    let now = Instant::now();
    let own = &core.settings.name;
    let members = core.members.borrow();
    let peers = members.live_in(&core.settings.region, now);
    let is_first = |replica: &ReplicaId| {
        let rank = rendezvous_rank(replica, own);
        let mut others = peers.iter().filter(|peer| peer.node != *own);
        !others.any(|peer| rendezvous_rank(replica, &peer.node) > rank)
    };
    let replicas = core.replicas.borrow();
    replicas
        .rows()
        .filter(|state| state.leaving.is_none() && !state.is_cold(now))
        .filter(|state| warms_up(core, &state.entry.service) && is_first(&state.entry.id))
        .map(probe_target(core))
        .collect()
}

/// Returns whether cold replicas of a service have a limit.
pub(crate) fn warms_up(core: &EntryCore, service: &ServiceId) -> bool {
    let service = core.service(service);
    service.is_some_and(|service| service.cold_rate > 0.0)
}

/// Asks a replica whether it is cold; returns its id.
///
/// An answer that does not come says nothing of that. Requests find out whether the replica serves.
async fn check_warmth(
    core: &EntryCore,
    incarnation: ReplicaIncarnation,
    path: Box<str>,
) -> ReplicaId {
    let sent = Instant::now();
    if let Ok(reservation) = reserve_send(core, &incarnation.id, sent) {
        let answer = timeout(PROBE_TIMEOUT, send_probe(core, reservation, &path)).await;
        if let Ok(Ok(head)) = answer {
            apply_probe_notice(core, &incarnation, &head, sent);
            report_if_cold(core, &incarnation);
        }
    }
    incarnation.id
}

fn report_if_cold(core: &EntryCore, incarnation: &ReplicaIncarnation) {
    let now = Instant::now();
    let replicas = core.replicas.borrow();
    let state = replicas.get(&incarnation.id);
    let cold_until = state.and_then(|state| state.cold_until);
    let left = cold_until.and_then(|until| until.checked_duration_since(now));
    let Some(left) = left.filter(|left| !left.is_zero()) else {
        return;
    };
    let report = ColdReport {
        replica: incarnation.tag(),
        left_ms: left.as_millis() as u64,
    };
    core.cold_reports.borrow_mut().push(report);
    core.work_changed.notify_one();
    log_cold(core, &incarnation.id, report, "check");
}

/// Applies another node's reports of cold replicas. Only nodes of the region may check them.
pub(crate) fn apply_cold_reports(core: &EntryCore, reports: &[ColdReport], from: SocketAddrV4) {
    if !is_from_own_region(core, from) {
        return;
    }
    let now = Instant::now();
    for report in reports {
        let left = Duration::from_millis(report.left_ms);
        let mut replicas = core.replicas.borrow_mut();
        let Some(id) = replicas.note_cold(report.replica, left, now) else {
            continue;
        };
        drop(replicas);
        log_cold(core, &id, *report, "region");
    }
}

fn log_cold(core: &EntryCore, replica: &ReplicaId, report: ColdReport, source: &str) {
    core.log.write(
        "replica-cold",
        serde_json::json!({"replica": replica, "left_ms": report.left_ms, "source": source}),
    );
}

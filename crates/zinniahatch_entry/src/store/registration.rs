//! Registration of a few nodes per region in the store, by which nodes discover the others when all
//! seeds are gone.
//!
//! If every node registered, the calls and the length of the list would grow with the fleet: each
//! node obtains a lease, renews it and lists all others. A node that has found one registered node
//! learns the rest from it.

use crate::core::EntryCore;
use crate::core::StopPhase;
use crate::nodes::roles::holds_role;
use crate::store::updates::reject_items;
use crate::store::updates::reject_value;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::CommitOutcome;
use zinniahatch_platform::KvError;
use zinniahatch_platform::StoreLeaseId;
use zinniahatch_platform::StoreTransaction;
use zinniahatch_route::DISCOVERY_TIME;

/// Prefix of the registration keys, whose values hold a node's region and address.
const NODE_PREFIX: &str = "zinniahatch/nodes/";
/// Time limit for listing these keys.
const LIST_TIMEOUT: Duration = Duration::from_millis(1500);
/// Number of nodes per region that register; a region that loses all but one of them at once can
/// still be found.
const REGISTERED_NODES: usize = 6;
/// Role name that is hashed to rank these nodes.
const REGISTERED_ROLE: &str = "registered";
/// Rank, as a multiple of that number, up to which a registered node stays registered, so that
/// nodes that come and go do not cost a new registration each time.
const STAY_REGISTERED_FACTOR: usize = 2;
/// Interval between checks whether this node has to register.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time that a node which starts gives the seeds to answer before it lists the registered nodes.
const SEED_TIME: Duration = Duration::from_millis(400);
/// Lease time of the key. Liveness is detected by gossip; the key only has to be gone within nine
/// seconds of a node's failure, after which callers must not be directed to that node.
const LEASE_TTL: Duration = Duration::from_secs(6);
/// Interval between renewals; the lease survives the loss of two.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(900);

/// Discovers the other nodes, and keeps this node registered while it ranks among the first of its
/// region, until it leaves.
pub(crate) async fn run_registration(core: Rc<EntryCore>) {
    let mut phases = core.phase.subscribe();
    let leaving = phases.wait_for(|phase| *phase != StopPhase::Serving);
    tokio::pin!(leaving);
    if !core.settings.seeds.is_empty() {
        sleep(SEED_TIME).await;
    }
    let mut lease = None;
    loop {
        if !should_register(&core, lease.is_some()) {
            if let Some(lease) = lease.take() {
                revoke(&core, lease).await;
            }
            tokio::select! {
                _ = &mut leaving => break,
                () = sleep(ROLE_CHECK_INTERVAL) => continue
            }
        }
        let pause = match renew_registration(&core, lease).await {
            Ok(renewed) => {
                lease = renewed;
                if renewed.is_some() {
                    RENEW_INTERVAL
                } else {
                    RETRY_PAUSE
                }
            }
            Err(error) => {
                core.metrics.note_store("lease", error.name());
                core.note_store_failure();
                core.store_lost.notify_waiters();
                core.log.write(
                    "lease-failed",
                    serde_json::json!({"lease": lease.map(|lease| lease.number), "error": error.to_string()})
                );
                RETRY_PAUSE
            }
        };
        tokio::select! {
            _ = &mut leaving => break,
            () = sleep(pause) => {}
        }
    }
    if let Some(lease) = lease {
        revoke(&core, lease).await;
    }
}

/// Returns whether this node has to be registered: if it ranks among the first of its region, or
/// knows no other node of the region, which then has no other way to find it.
fn should_register(core: &EntryCore, registered: bool) -> bool {
    let now = Instant::now();
    let region = &core.settings.region;
    let is_starting = core.started.elapsed() < DISCOVERY_TIME;
    if core.members.borrow().recent_in(region, now).is_empty() || (registered && is_starting) {
        return true;
    }
    let nodes = if registered {
        REGISTERED_NODES * STAY_REGISTERED_FACTOR
    } else {
        REGISTERED_NODES
    };
    holds_role(core, REGISTERED_ROLE, nodes)
}

async fn revoke(core: &EntryCore, lease: StoreLeaseId) {
    if let Err(error) = core.store.revoke(lease).await {
        core.log.write(
            "lease-failed",
            serde_json::json!({"lease": lease.number, "error": error.to_string()}),
        );
    }
}

/// Renews the lease, or acquires one and registers with it; returns `None` if registration has to
/// be retried.
async fn renew_registration(
    core: &Rc<EntryCore>,
    lease: Option<StoreLeaseId>,
) -> Result<Option<StoreLeaseId>, KvError> {
    if let Some(lease) = lease {
        core.metrics.note_store("renew", "done");
        if core.store.renew(lease).await? {
            return Ok(Some(lease));
        }
        core.log
            .write("lease-lapsed", serde_json::json!({"lease": lease.number}));
    }
    let time = LEASE_TTL.max(core.settings.min_lease);
    let granted = core.store.grant(time).await?;
    let key = format!("{NODE_PREFIX}{}", core.settings.name);
    let value = format!("{} {}", core.settings.region, core.settings.listen.peer);
    let transaction = StoreTransaction::new().set(&key, value.as_bytes(), Some(granted));
    core.metrics.note_store("register", "done");
    match core.store.commit(&transaction).await? {
        CommitOutcome::Done(_) => {
            discover_nodes(core).await?;
            Ok(Some(granted))
        }
        CommitOutcome::Conflict | CommitOutcome::NoLease => Ok(None),
    }
}

/// Discovers other nodes by their keys.
///
/// A node does this when no seed answers, and once it is registered, so that of any two registered
/// nodes at least the later one finds the other, and no node has to watch these keys.
async fn discover_nodes(core: &Rc<EntryCore>) -> Result<(), KvError> {
    let listing = core.store.items(NODE_PREFIX, LIST_TIMEOUT).await?;
    core.metrics.note_store("nodes", "done");
    reject_items(core, &listing.rejected);
    let mut targets = core.heartbeat_targets.borrow_mut();
    for item in listing.items {
        let Some((region, address)) = parse_registration(&item.value) else {
            reject_value(core, &item.key, "expected `REGION IP:port`");
            continue;
        };
        targets.add(address, Some(&region));
    }
    drop(targets);
    core.mark_members_read();
    Ok(())
}

/// Parses a region and an address.
fn parse_registration(value: &[u8]) -> Option<(RegionId, SocketAddrV4)> {
    let (region, address) = std::str::from_utf8(value).ok()?.split_once(' ')?;
    Some((region.into(), address.parse().ok()?))
}

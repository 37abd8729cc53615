//! This node's registration in the store, by which nodes discover each other when all seeds are
//! gone.

use crate::core::EntryCore;
use crate::core::StopPhase;
use crate::store::updates::reject_value;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::CommitOutcome;
use zinniahatch_platform::KvError;
use zinniahatch_platform::StoreLeaseId;
use zinniahatch_platform::StoreTransaction;

/// Prefix of the registration keys, whose values hold a node's region and address.
const NODE_PREFIX: &str = "zinniahatch/nodes/";
/// Time limit for listing these keys.
const LIST_TIMEOUT: Duration = Duration::from_millis(1500);
/// Lease time of the key. Liveness is detected by gossip; the key only has to be gone within nine
/// seconds of a node's failure, after which callers must not be directed to that node.
const LEASE_TTL: Duration = Duration::from_secs(6);
/// Interval between renewals; the lease survives the loss of two.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(900);

/// Keeps the registration alive until the node leaves, then removes it.
pub(crate) async fn run_registration(core: Rc<EntryCore>) {
    let mut phases = core.phase.subscribe();
    let leaving = phases.wait_for(|phase| *phase != StopPhase::Serving);
    tokio::pin!(leaving);
    let mut lease = None;
    loop {
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
                core.metrics.note_store("lease", "failed");
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
    if let Some(lease) = lease
        && let Err(error) = core.store.revoke(lease).await
    {
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

/// Discovers the other nodes by their keys.
///
/// Each node does this once it is registered, so that of any two nodes at least the later one finds
/// the other, and no node has to watch these keys.
async fn discover_nodes(core: &Rc<EntryCore>) -> Result<(), KvError> {
    let listing = core.store.items(NODE_PREFIX, LIST_TIMEOUT).await?;
    core.metrics.note_store("nodes", "done");
    let mut targets = core.heartbeat_targets.borrow_mut();
    for item in listing.items {
        let Some((region, address)) = parse_registration(&item.value) else {
            reject_value(
                core,
                &format!("key `{}`: expected `REGION IP:port`", item.key),
            );
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

//! This node's key in the store, by which nodes find each other when the seeds are gone.

use crate::core::EntryCore;
use crate::core::StopPhase;
use crate::store::news::reject;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::CommitOutcome;
use zinniahatch_platform::KvError;
use zinniahatch_platform::StoreCommit;
use zinniahatch_platform::StoreLeaseId;

/// Start of the keys under which nodes register, each with its region and address.
const NODE_PREFIX: &str = "zinniahatch/nodes/";
/// Time for a listing of these keys.
const LIST_TIME: Duration = Duration::from_millis(1500);
/// Time for which the key outlives its node. Liveness is told by datagrams; the key only has to
/// be gone before callers are told of a node that ended nine seconds ago.
const KEY_TIME: Duration = Duration::from_secs(6);
/// Time between renewals: two may be lost.
const RENEW_TIME: Duration = Duration::from_secs(2);
/// Pause after a failure.
const RETRY_TIME: Duration = Duration::from_millis(900);

/// Keeps the key until the node leaves, then removes it.
pub(crate) async fn run_membership(core: Rc<EntryCore>) {
    let mut phases = core.phase.subscribe();
    let leaving = phases.wait_for(|phase| *phase != StopPhase::Serving);
    tokio::pin!(leaving);
    let mut lease = None;
    loop {
        let pause = match renew(&core, lease).await {
            Ok(held) => {
                lease = held;
                if held.is_some() {
                    RENEW_TIME
                } else {
                    RETRY_TIME
                }
            }
            Err(error) => {
                core.metrics.note_store("lease", "failed");
                core.note_store_failure();
                core.store_lost.notify_waiters();
                core.log.write(
                    "lease-failed",
                    serde_json::json!({"lease": lease.map(|lease| lease.number), "error": error.to_string()}),
                );
                RETRY_TIME
            }
        };
        tokio::select! {
            _ = &mut leaving => break,
            () = sleep(pause) => {}
        }
    }
    if let Some(lease) = lease
        && let Err(error) = core.store.end(lease).await
    {
        core.log.write(
            "lease-failed",
            serde_json::json!({"lease": lease.number, "error": error.to_string()}),
        );
    }
}

/// Renews the lease, or takes one and binds the key to it; none where it has to be tried again.
async fn renew(
    core: &Rc<EntryCore>,
    lease: Option<StoreLeaseId>,
) -> Result<Option<StoreLeaseId>, KvError> {
    if let Some(lease) = lease {
        core.metrics.note_store("renew", "done");
        if core.store.keep(lease).await? {
            return Ok(Some(lease));
        }
        core.log
            .write("lease-lapsed", serde_json::json!({"lease": lease.number}));
    }
    let time = KEY_TIME.max(core.settings.lease_least);
    let granted = core.store.grant(time).await?;
    let key = format!("{NODE_PREFIX}{}", core.settings.name);
    let value = format!("{} {}", core.settings.region, core.settings.listen.peer);
    let commit = StoreCommit::new().set(&key, value.as_bytes(), Some(granted));
    core.metrics.note_store("register", "done");
    match core.store.commit(&commit).await? {
        CommitOutcome::Done(_) => {
            find_others(core).await?;
            Ok(Some(granted))
        }
        CommitOutcome::Conflict | CommitOutcome::NoLease => Ok(None),
    }
}

/// Reads the keys of the other nodes. Each node does this once it is registered, so that of any two
/// nodes at least the later one finds the other, and nobody has to watch these keys.
async fn find_others(core: &Rc<EntryCore>) -> Result<(), KvError> {
    let listing = core.store.items(NODE_PREFIX, LIST_TIME).await?;
    core.metrics.note_store("nodes", "done");
    let mut contacts = core.contacts.borrow_mut();
    for item in listing.items {
        let Some((region, address)) = parse_place(&item.value) else {
            reject(core, &format!("key `{}`: not `REGION IP:port`", item.key));
            continue;
        };
        contacts.note(address, Some(&region));
    }
    drop(contacts);
    core.note_looked();
    Ok(())
}

/// Reads a region and an address.
fn parse_place(value: &[u8]) -> Option<(RegionId, SocketAddrV4)> {
    let (region, address) = std::str::from_utf8(value).ok()?.split_once(' ')?;
    Some((region.into(), address.parse().ok()?))
}

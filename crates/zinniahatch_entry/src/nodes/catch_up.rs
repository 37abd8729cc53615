//! Recovery of state from a peer when the store does not deliver it in time.
//!
//! A node cut off from the store would keep applying outdated rules and send requests to replicas
//! that have left. A node whose watch merely lags slightly waits for the watch instead, since a
//! snapshot has tens of kilobytes.

use crate::core::EntryCore;
use crate::nodes::snapshot::fetch_snapshot;
use rand::RngExt;
use std::rc::Rc;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;
use zinniahatch_route::SyncState;

/// Interval between comparisons with the versions that other nodes have.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long this node's watch may be behind the newest version of another node before a snapshot is
/// fetched; watches pause for up to 1.2 s after each change.
const MAX_WATCH_LAG: Duration = Duration::from_millis(1500);
/// The same limit for a node that leaves polling the store to the store readers: it has no watch
/// result to wait for.
const MAX_PASSIVE_LAG: Duration = Duration::from_millis(800);
/// Pause after a snapshot while the store is still unreachable from this node.
const OUTAGE_PAUSE: Duration = Duration::from_secs(1);

/// Interval between requests for software versions that this node does not know. Nodes of an earlier
/// version do not have them either.
const VERSIONS_INTERVAL: Duration = Duration::from_secs(5);

/// Runs the catch-up loop until the process ends.
pub(crate) async fn run_catch_up(core: Rc<EntryCore>) {
    let mut behind_since = None;
    let mut versions_due = core.started + VERSIONS_INTERVAL;
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = Instant::now();
        let store_reachable = !core.replicas.borrow().store_failed_recently(now);
        let own = SyncState {
            region: &core.settings.region,
            version: core.version(),
            preset: core.preset.borrow().revision,
            store_reachable,
            knows_replicas: core.has_listed_replicas()
                && (now < versions_due || knows_versions(&core)),
        };
        let source = {
            let members = core.members.borrow();
            let peer_info = members.sync_source(&own, core.next_ticket(), now);
            peer_info.and_then(|member| members.permit(&member.node))
        };
        let Some(peer) = source else {
            behind_since = None;
            continue;
        };
        let since = *behind_since.get_or_insert(now);
        if now.saturating_duration_since(since) < lag_allowance(&core, store_reachable) {
            continue;
        }
        fetch_snapshot(&core, peer).await;
        versions_due = Instant::now() + VERSIONS_INTERVAL;
        behind_since = None;
        if !store_reachable {
            sleep(OUTAGE_PAUSE).await;
        }
    }
}

fn knows_versions(core: &EntryCore) -> bool {
    let replicas = core.replicas.borrow();
    replicas.groups_without_version().is_empty()
}

/// Returns how long this node waits for its own watch before it fetches a snapshot from a peer.
fn lag_allowance(core: &EntryCore, store_reachable: bool) -> Duration {
    if !store_reachable || !core.is_initialized() {
        return Duration::ZERO;
    }
    if !core.skips_watch.get() {
        return MAX_WATCH_LAG;
    }
    // Jitter keeps nodes that learn of a new version at the same time from all querying the few
    // nodes that have it.
    MAX_PASSIVE_LAG.mul_f64(rand::rng().random())
}

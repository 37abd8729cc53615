//! Taking over from another node what the store does not give in time.
//!
//! A node that is cut off from the store would go on by old rules and send to replicas that have left.
//! One whose watch is merely a little behind waits for it, since a snapshot has tens of kilobytes.

use crate::core::EntryCore;
use crate::nodes::snapshot::fetch_snapshot;
use rand::RngExt;
use std::rc::Rc;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;
use zinniahatch_route::PupilState;

/// Pause between looks at what the other nodes follow.
const LOOK_TIME: Duration = Duration::from_millis(200);
/// Time for which the own watch may be behind the newest version that another node follows: watches
/// pause up to 1.2 s after each change.
const BEHIND_TIME: Duration = Duration::from_millis(1500);
/// The same for a node that leaves the reading to others: it has nothing to wait for.
const REST_BEHIND: Duration = Duration::from_millis(800);
/// Pause after a snapshot, for a node that the store still does not serve.
const BLIND_PAUSE: Duration = Duration::from_secs(1);

/// Catches up until the process ends.
pub(crate) async fn run_catch_up(core: Rc<EntryCore>) {
    let mut behind_since = None;
    loop {
        sleep(LOOK_TIME).await;
        let now = Instant::now();
        let sighted = !core.replicas.borrow().store_failed_recently(now);
        let own = PupilState {
            region: &core.settings.region,
            version: core.version(),
            preset: core.preset.borrow().revision,
            sighted,
        };
        let teacher = {
            let members = core.members.borrow();
            let found = members.teacher(&own, core.ticket(), now);
            found.and_then(|card| members.permit(&card.node))
        };
        let Some(peer) = teacher else {
            behind_since = None;
            continue;
        };
        let since = *behind_since.get_or_insert(now);
        if now.saturating_duration_since(since) < patience(&core, sighted) {
            continue;
        }
        fetch_snapshot(&core, peer).await;
        behind_since = None;
        if !sighted {
            sleep(BLIND_PAUSE).await;
        }
    }
}

/// Gives the time for which this node waits for its own watch before it asks a peer.
fn patience(core: &EntryCore, sighted: bool) -> Duration {
    if !sighted || !core.knows() {
        return Duration::ZERO;
    }
    if !core.rests.get() {
        return BEHIND_TIME;
    }
    // The nodes that hear of a new version at once do not all ask the few that have it.
    REST_BEHIND.mul_f64(rand::rng().random())
}

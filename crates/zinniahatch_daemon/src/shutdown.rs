//! Planned shutdown: announce it, drain requests, hand over the keys, flush the counts.

use crate::counts::CountMerger;
use crate::counts::merge_round;
use crate::counts::seal_and_send;
use crate::directory;
use log::info;
use log::warn;
use std::sync::Arc;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;
use zinniahatch_base::rendezvous_rank;
use zinniahatch_gateway::GatewayCore;

/// Time for which new requests are still served, from callers and peers that do not know yet that
/// this node is leaving.
const LEAVE_GRACE: Duration = Duration::from_millis(1_500);
/// Limit of the wait for the last counts to reach the store.
const COUNT_FLUSH_TIMEOUT: Duration = Duration::from_secs(8);
/// Time for peers to learn which node took over the keys.
const HANDOVER_NOTICE_TIME: Duration = Duration::from_millis(1_200);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Shuts the node down; returns whether all requests were finished first.
pub(crate) async fn shut_down(core: &Arc<GatewayCore>, merger: &CountMerger) -> bool {
    info!("leaving");
    core.control().set_leaving(Instant::now());
    core.wake.notify_one();
    directory::withdraw(core).await;
    sleep(LEAVE_GRACE).await;
    core.start_draining();
    let finished = wait_for(core.settings.stop_timeout, || core.in_flight() == 0).await;
    if !finished {
        warn!(
            "{} requests are aborted because the stop timeout has expired",
            core.in_flight()
        );
    }
    hand_over_keys(core).await;
    merger.set_closing();
    seal_and_send(core, merger);
    merge_round(core, merger).await;
    if !wait_for(COUNT_FLUSH_TIMEOUT, || core.counts().is_flushed()).await {
        warn!("the last counts are not confirmed in the store; their merger has a copy");
    }
    sleep(HANDOVER_NOTICE_TIME).await;
    info!("gone");
    finished
}

async fn hand_over_keys(core: &Arc<GatewayCore>) {
    let mut successors: Vec<(NodeId, Box<str>)> = {
        let control = core.control();
        let now = Instant::now();
        control
            .members()
            .entries()
            .iter()
            .filter(|(name, entry)| {
                entry.ready && !entry.leaving && control.members().is_live(now, name)
            })
            .map(|(name, entry)| (name.clone(), entry.http.clone()))
            .collect()
    };
    successors.sort_by_key(|(name, _)| std::cmp::Reverse(rendezvous_rank("keys", name)));
    for (name, http) in successors {
        if core.hand_over_keys(&http).await {
            info!("{name} took over the keys and responses");
            return;
        }
    }
    warn!("no member took over the keys; their outcomes will be reported as unknown");
}

async fn wait_for(timeout: Duration, condition: impl Fn() -> bool) -> bool {
    let started = Instant::now();
    while started.elapsed() < timeout {
        if condition() {
            return true;
        }
        sleep(POLL_INTERVAL).await;
    }
    condition()
}

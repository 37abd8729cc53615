//! A planned stop: announce, finish what runs, hand over, go.

use crate::counts::CountDesk;
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

/// Time in which callers that have not heard of the leaving are still served.
const LEAVE_GRACE: Duration = Duration::from_millis(1_500);
/// Time in which the last counts reach the store.
const COUNT_TIME: Duration = Duration::from_secs(8);
/// Time in which peers hear who took the keys over.
const FAREWELL: Duration = Duration::from_millis(1_200);
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Leaves; gives whether nothing was cut off.
pub(crate) async fn leave(core: &Arc<GatewayCore>, desk: &CountDesk) -> bool {
    info!("leaving");
    core.control().set_leaving(Instant::now());
    core.wake.notify_one();
    directory::withdraw(core).await;
    sleep(LEAVE_GRACE).await;
    core.start_draining();
    let finished = wait_for(core.settings.stop_timeout, || core.in_flight() == 0).await;
    if !finished {
        warn!(
            "{} requests are cut off, because the stop timeout has passed",
            core.in_flight()
        );
    }
    hand_over(core).await;
    desk.set_closing();
    seal_and_send(core, desk);
    merge_round(core, desk).await;
    if !wait_for(COUNT_TIME, || core.counts().is_settled()).await {
        warn!("the last counts are not in the store; their merger holds a copy");
    }
    sleep(FAREWELL).await;
    info!("gone");
    finished
}

async fn hand_over(core: &Arc<GatewayCore>) {
    let mut heirs: Vec<(NodeId, Box<str>)> = {
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
    heirs.sort_by_key(|(name, _)| std::cmp::Reverse(rendezvous_rank("keys", name)));
    for (name, http) in heirs {
        if core.hand_over_keys(&http).await {
            info!("{name} took over the keys and answers");
            return;
        }
    }
    warn!("no member took over the keys; their outcomes will be told as unknown");
}

async fn wait_for(limit: Duration, done: impl Fn() -> bool) -> bool {
    let started = Instant::now();
    while started.elapsed() < limit {
        if done() {
            return true;
        }
        sleep(LOOK_EVERY).await;
    }
    done()
}

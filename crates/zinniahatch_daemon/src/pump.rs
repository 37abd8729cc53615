//! Ticks: what came in, the systems, what goes out.

use crate::clock::epoch_millis;
use crate::counts::CountDesk;
use crate::transport::PeerTransport;
use log::info;
use std::sync::Arc;
use tokio::time::sleep;
use tokio::time::timeout;
use zinniahatch_base::prelude::*;
use zinniahatch_gateway::GatewayCore;

/// Longest time between ticks.
const TICK_EVERY: Duration = Duration::from_millis(100);
/// Shortest time between ticks; what comes in between goes into one.
const TICK_GAP: Duration = Duration::from_millis(4);

/// Ticks until the process ends.
pub(crate) async fn run(
    core: Arc<GatewayCore>,
    mut transport: PeerTransport,
    desk: Arc<CountDesk>,
) {
    let mut revision = 0;
    loop {
        let _ = timeout(TICK_EVERY, core.wake.notified()).await;
        let started = Instant::now();
        let (output, decisions, now_revision) = {
            let mut control = core.control();
            let output = control.tick(started);
            (
                output,
                control.take_placements(),
                control.syncer().revision(),
            )
        };
        if now_revision != revision {
            revision = now_revision;
            core.note_adopted(epoch_millis());
        }
        core.hand_out(decisions);
        for parcel in &output.frames {
            transport.send(&core, parcel);
        }
        for peer in &output.redials {
            transport.redial(&core, peer);
        }
        for change in &output.changes {
            info!("{change}");
        }
        desk.take(&core, output);
        core.counters
            .control_nanos
            .inc_by(started.elapsed().as_nanos() as u64);
        sleep(TICK_GAP).await;
    }
}

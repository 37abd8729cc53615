//! The tick loop: runs the control logic and sends what it produces.

use crate::clock::epoch_millis;
use crate::counts::CountMerger;
use crate::transport::PeerTransport;
use log::info;
use std::sync::Arc;
use tokio::time::sleep;
use tokio::time::timeout;
use zinniahatch_base::prelude::*;
use zinniahatch_gateway::GatewayCore;

/// Maximum time between ticks.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum pause between ticks; input that arrives meanwhile is handled in one tick.
const MIN_TICK_PAUSE: Duration = Duration::from_millis(4);

/// Runs ticks until the process ends.
pub(crate) async fn run(
    core: Arc<GatewayCore>,
    mut transport: PeerTransport,
    merger: Arc<CountMerger>,
) {
    let mut revision = 0;
    loop {
        let _ = timeout(MAX_TICK_INTERVAL, core.wake.notified()).await;
        let started = Instant::now();
        let (output, placements, new_revision) = {
            let mut control = core.control();
            let output = control.tick(started);
            (
                output,
                control.take_placements(),
                control.syncer().revision(),
            )
        };
        if new_revision != revision {
            revision = new_revision;
            core.set_adopted_ms(epoch_millis());
        }
        core.deliver_placements(placements);
        for frame in &output.frames {
            transport.send(&core, frame);
        }
        for peer in &output.redials {
            transport.redial(&core, peer);
        }
        for change in &output.changes {
            info!("{change}");
        }
        merger.apply_output(&core, output);
        core.counters
            .control_nanos
            .inc_by(started.elapsed().as_nanos() as u64);
        sleep(MIN_TICK_PAUSE).await;
    }
}

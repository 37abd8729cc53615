//! Watch of the configuration head in the store.

use log::info;
use rand::RngExt;
use std::sync::Arc;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;
use zinniahatch_change::HEAD_KEY;
use zinniahatch_gateway::GatewayCore;
use zinniahatch_platform::StoreClient;

/// Time that one watch waits in the store. A waiting watch counts as a call of the store.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failure, and between checks whether this node is a watcher.
const RETRY_PAUSE: Duration = Duration::from_millis(700);
/// Interval at which a node that is not a watcher reads the head itself, as a fallback.
const FALLBACK_READ_INTERVAL: Duration = Duration::from_secs(60);
/// Attempts to read the head from the store at start-up before the peers' revision is trusted.
const MAX_START_READS: u32 = 3;

/// Waits until the node has the newest known configuration, then marks it ready to serve.
///
/// A node that has just started must not serve with an outdated configuration. While the store
/// responds, its head is the newest. During an outage of the store, the newest revision that a
/// contacted peer announces is used.
pub(crate) async fn start_serving(core: Arc<GatewayCore>) {
    let mut reads = 0;
    loop {
        let result = core.read_head().await;
        reads += 1;
        let ready = {
            let control = core.control();
            let now = Instant::now();
            let held = control.syncer().revision();
            let up_to_date =
                held > 0 && held >= control.newest_seen() && control.discovery_done(now);
            match result {
                Some(revision) => held >= revision && up_to_date,
                None => reads > MAX_START_READS && up_to_date,
            }
        };
        if ready {
            core.control().set_ready();
            info!("serving");
            return;
        }
        sleep(Duration::from_millis(200)).await;
    }
}

/// Watches the head while this node is a watcher, until the process ends.
pub(crate) async fn run(core: Arc<GatewayCore>) {
    let mut last_read = Instant::now();
    let mut seen = 0;
    loop {
        let watcher = core.control().is_watcher(Instant::now());
        if !watcher {
            let jitter = rand::rng().random_range(0..20);
            if last_read.elapsed() > FALLBACK_READ_INTERVAL + Duration::from_secs(jitter) {
                last_read = Instant::now();
                core.read_head().await;
            }
            sleep(RETRY_PAUSE).await;
            continue;
        }
        last_read = Instant::now();
        let result = core
            .config_updater
            .store()
            .watch(HEAD_KEY, seen, WATCH_TIMEOUT)
            .await;
        core.note_store("watch", &result);
        match result {
            Ok(Some(value)) => {
                seen = value.revision;
                core.apply_head(&value).await;
            }
            Ok(None) => {}
            Err(_) => {
                // The revisions of a restored store may start again from a lower number.
                seen = 0;
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

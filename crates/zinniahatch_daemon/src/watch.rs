//! Following the configuration head in the store.

use log::info;
use rand::RngExt;
use std::sync::Arc;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;
use zinniahatch_change::HEAD_KEY;
use zinniahatch_gateway::GatewayCore;
use zinniahatch_platform::StoreClient;

/// Time that one watch waits in the store; a waiting watch counts as a call.
const WATCH_TIME: Duration = Duration::from_secs(10);
/// Pause after a failure, and between looks whether this node is a watcher.
const RETRY_TIME: Duration = Duration::from_millis(700);
/// Interval at which a node that is no watcher reads the head itself, as a last resort.
const CHECK_EVERY: Duration = Duration::from_secs(60);
/// Tries of the store at the start before the peers' word is taken.
const START_TRIES: u32 = 3;

/// Holds off until the newest configuration that can be shown is held, then serves.
///
/// A fresh node must not serve under an old configuration. While the store answers, its head is
/// the newest. In an outage the newest that any contacted peer shows is taken.
pub(crate) async fn start_serving(core: Arc<GatewayCore>) {
    let mut tries = 0;
    loop {
        let result = core.read_head().await;
        tries += 1;
        let ready = {
            let control = core.control();
            let now = Instant::now();
            let held = control.syncer().revision();
            let newest = held > 0 && held >= control.newest_seen() && control.discovery_done(now);
            match result {
                Some(revision) => held >= revision && newest,
                None => tries > START_TRIES && newest,
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

/// Watches the head where this node is a watcher, until the process ends.
pub(crate) async fn run(core: Arc<GatewayCore>) {
    let mut last_check = Instant::now();
    let mut seen = 0;
    loop {
        let watcher = core.control().is_watcher(Instant::now());
        if !watcher {
            let jitter = rand::rng().random_range(0..20);
            if last_check.elapsed() > CHECK_EVERY + Duration::from_secs(jitter) {
                last_check = Instant::now();
                core.read_head().await;
            }
            sleep(RETRY_TIME).await;
            continue;
        }
        last_check = Instant::now();
        let result = core.changes.store().watch(HEAD_KEY, seen, WATCH_TIME).await;
        core.note_store("watch", &result);
        match result {
            Ok(Some(value)) => {
                seen = value.revision;
                core.take_head(&value).await;
            }
            Ok(None) => {}
            Err(_) => {
                // A store that was restored starts its revisions anew.
                seen = 0;
                sleep(RETRY_TIME).await;
            }
        }
    }
}

//! Keeps in the platform's store which software versions have lately served in each region.
//!
//! Failure: all nodes of a region end at once, and with them the memory of which version began each
//! stream. Their callers come back to processes that cannot tell whether a version that is gone now
//! has served a moment ago, and refuse streams that could go on. One node of each region therefore
//! writes the versions whenever they change, and a process that starts reads them once.

use crate::core::EntryCore;
use crate::nodes::roles::holds_role;
use crate::store::updates::reject_value;
use crate::store::watch::wait_for_store;
use serde::Deserialize;
use serde::Serialize;
use std::rc::Rc;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::CommitOutcome;
use zinniahatch_platform::KvError;
use zinniahatch_platform::StoreTransaction;
use zinniahatch_route::StreamOrigin;

/// Prefix of the keys, one for each region.
const KEY_PREFIX: &str = "zinniahatch/versions/";
/// Role name that is hashed to choose the node that writes.
const WRITER_ROLE: &str = "versions";
/// Interval between comparisons with what was written.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(900);

/// Stored form of the versions of a region.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct StoredVersions {
    /// Era of the store in which they were written. A store that was restored from an older backup
    /// lacks what has served since.
    era: u64,
    /// All that have served within the longest time of a stream.
    versions: Vec<StreamOrigin>,
}

/// Reads and writes the versions until the process ends.
pub(crate) async fn run_version_keeper(core: Rc<EntryCore>) {
    let mut written = None;
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if let Err(error) = keep_versions(&core, &mut written).await {
            core.metrics.note_store("versions", "failed");
            core.log.write(
                "versions-not-kept",
                serde_json::json!({"error": error.to_string()}),
            );
            written = None;
            sleep(RETRY_PAUSE).await;
            wait_for_store(&core).await;
        }
    }
}

async fn keep_versions(
    core: &EntryCore,
    written: &mut Option<StoredVersions>,
) -> Result<(), KvError> {
    let keep = core.longest_stream.get().limit();
    let wants_stored = core.versions.borrow().wants_stored(keep, Instant::now());
    if wants_stored {
        let stored = read_versions(core).await?;
        core.versions.borrow_mut().note_stored(stored);
    }
    if !holds_role(core, WRITER_ROLE, 1) {
        *written = None;
        return Ok(());
    }
    let report = core.versions.borrow().report(keep, Instant::now());
    let wanted = StoredVersions {
        era: core.store.eras().borrow().unwrap_or_default(),
        versions: report.versions.iter().map(|count| count.origin).collect(),
    };
    if !report.complete || written.as_ref() == Some(&wanted) {
        return Ok(());
    }
    if write_versions(core, &wanted).await? == CommitOutcome::Conflict {
        return Ok(());
    }
    core.log.write(
        "versions-kept",
        serde_json::json!({"versions": wanted.versions, "era": wanted.era}),
    );
    *written = Some(wanted);
    Ok(())
}

fn key_of(core: &EntryCore) -> String {
    format!("{KEY_PREFIX}{}", core.settings.region)
}

/// Returns the versions in the store; `None` if there are none of its current era.
async fn read_versions(core: &EntryCore) -> Result<Option<Vec<StreamOrigin>>, KvError> {
    let item = core.store.item(&key_of(core)).await?;
    core.metrics.note_store("versions", "read");
    let value = item
        .as_ref()
        .map(|item| String::from_utf8_lossy(&item.value));
    let era = item.as_ref().map(|item| item.revision.era);
    core.log.write(
        "versions-read",
        serde_json::json!({"value": value, "era": era}),
    );
    let Some(item) = item else {
        return Ok(None);
    };
    match serde_json::from_slice::<StoredVersions>(&item.value) {
        Ok(stored) if stored.era == item.revision.era => Ok(Some(stored.versions)),
        Ok(_) => Ok(None),
        Err(error) => {
            reject_value(core, &item.key, &error.to_string());
            Ok(None)
        }
    }
}

async fn write_versions(
    core: &EntryCore,
    versions: &StoredVersions,
) -> Result<CommitOutcome, KvError> {
    let key = key_of(core);
    let item = core.store.item(&key).await?;
    let revision = item.map(|item| item.revision).unwrap_or_default();
    let value = serde_json::to_vec(versions).unwrap_or_default();
    let transaction = StoreTransaction::new()
        .expect(&key, revision)
        .set(&key, &value, None);
    let outcome = core.store.commit(&transaction).await?;
    core.metrics.note_store("versions", "written");
    Ok(outcome)
}

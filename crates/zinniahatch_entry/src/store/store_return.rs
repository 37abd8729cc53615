//! What this node does when the store has come back from an older copy.
//!
//! Failure: the store is away for a moment and comes back from a copy some seconds old. What was written since is
//! gone, leases too, and its revisions are given out again. Taken by their numbers, later news would be dropped as old
//! ones until the numbers are caught up with; evacuations and the preset in force would be forgotten.
//!
//! Guard: revisions are compared with their era, watches list anew, and each node writes again what it owns: its
//! key first, at the next renewal, then what it holds of fatal requests, the preset and its counts. What the operators
//! wrote is in force until they have had time to write it again.

use crate::core::EntryCore;
use crate::nodes::duty::READER_DUTY;
use crate::nodes::duty::READERS;
use crate::nodes::duty::has_duty;
use crate::store::news::take_listing;
use crate::store::watch_topic::WatchTopic;
use rand::RngExt;
use std::rc::Rc;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;
use zinniahatch_config::PRESET_KEY;
use zinniahatch_config::format_serving_preset;
use zinniahatch_config::parse_serving_preset;
use zinniahatch_platform::CommitOutcome;
use zinniahatch_platform::KvError;
use zinniahatch_platform::StoreCommit;
use zinniahatch_route::RETURN_HOLD;
use zinniahatch_route::ServingPreset;

/// Limit of a listing.
const LIST_TIME: Duration = Duration::from_millis(1_500);
/// Time over which the nodes spread their writes after a return.
const SPREAD_TIME: Duration = Duration::from_secs(2);
/// Pause after a failed call.
const RETRY_TIME: Duration = Duration::from_millis(900);
/// Tries to write the preset again; another node that follows it does the same.
const MOST_TRIES: usize = 5;

/// Looks for returns of the store until the process ends.
pub(crate) async fn run_returns(core: Rc<EntryCore>) {
    let mut eras = core.store.eras();
    let mut known = None;
    loop {
        let era = *eras.borrow_and_update();
        if let (Some(before), Some(after)) = (known, era) {
            take_return(&core, before, after).await;
        }
        known = era;
        // The client lives as long as the process.
        let _ = eras.changed().await;
    }
}

async fn take_return(core: &Rc<EntryCore>, before: u64, after: u64) {
    let now = Instant::now();
    core.metrics.note_store_return();
    let sheets = core.counts.book.borrow_mut().requeue_after_restore(now);
    let suspects = core.suspects.borrow_mut().forget_kept();
    core.log.write(
        "store-returned",
        serde_json::json!({"era_before": before, "era": after, "sheets": sheets,
            "quarantined": suspects, "preset": core.preset.borrow().revision,
            "version": core.version()}),
    );
    // Entries that the copy lacks are back soon; until then nobody is taken for gone.
    core.note_store_trouble();
    core.replicas.borrow_mut().note_return(now);
    core.operator_revision.set(None);
    sleep(SPREAD_TIME.mul_f64(rand::rng().random())).await;
    core.quarantined.send_replace(());
    restore_preset(core).await;
    core.log.write(
        "store-rewritten",
        serde_json::json!({"era": after, "took_ms": now.elapsed().as_millis() as u64}),
    );
    sleep(RETURN_HOLD.saturating_sub(now.elapsed())).await;
    if has_duty(core, READER_DUTY, READERS) {
        look_again(core).await;
    }
}

/// Lists the operators' keys once their time to write them again is over, so that what is not there then ends.
async fn look_again(core: &Rc<EntryCore>) {
    let prefix = WatchTopic::Operator.prefix();
    match core.store.items(prefix, LIST_TIME).await {
        Ok(listing) => {
            take_listing(core, WatchTopic::Operator, listing);
        }
        Err(error) => core.log.write(
            "store-lost",
            serde_json::json!({"topic": "Operator", "error": error.to_string()}),
        ),
    }
}

/// Writes the preset in force again where the store has an older one.
async fn restore_preset(core: &EntryCore) {
    for _ in 0..MOST_TRIES {
        let preset = core.preset.borrow().clone();
        if preset.revision == ServingPreset::default().revision {
            return;
        }
        match put_preset(core, &preset).await {
            Ok(true) => return,
            Ok(false) => {}
            Err(error) => {
                core.metrics.note_store("preset", "failed");
                core.log.write(
                    "preset-not-restored",
                    serde_json::json!({"preset": preset.name, "error": error.to_string()}),
                );
                sleep(RETRY_TIME).await;
            }
        }
    }
}

/// Puts a preset into the store unless that has one as new; `false` where another writer came between.
async fn put_preset(core: &EntryCore, preset: &ServingPreset) -> Result<bool, KvError> {
    let held = core.store.item(PRESET_KEY).await?;
    let kept = held.as_ref().and_then(|item| {
        let text = String::from_utf8_lossy(&item.value);
        parse_serving_preset(PRESET_KEY, &text).ok()
    });
    if kept.is_some_and(|kept| kept.revision >= preset.revision) {
        return Ok(true);
    }
    let expected = held.map_or(StoreRevision::default(), |item| item.revision);
    let text = format_serving_preset(preset);
    let commit =
        StoreCommit::new()
            .expect(PRESET_KEY, expected)
            .set(PRESET_KEY, text.as_bytes(), None);
    let outcome = core.store.commit(&commit).await?;
    let done = matches!(outcome, CommitOutcome::Done(_));
    if done {
        core.metrics.note_store("preset", "restored");
        core.log.write(
            "preset-restored",
            serde_json::json!({"preset": preset.name, "revision": preset.revision}),
        );
    }
    Ok(done)
}

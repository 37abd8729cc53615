//! Recovery after the store was restored from an older backup.
//!
//! Failure: the store is unavailable for a moment and is restored from a backup that is some
//! seconds old. Later writes and leases are lost, and their revision numbers are assigned again. If
//! revisions were compared by number alone, new changes would be dropped as old ones until the
//! numbers catch up, and evacuations and the preset in force would be lost.
//!
//! Revisions are therefore compared together with their era, watches list their topics again, and
//! each node rewrites the data that it owns: its registration first, at the next renewal, then its
//! quarantined requests, the preset and its usage counts. State written by operators stays in force
//! until they have had time to write it again.

use crate::core::EntryCore;
use crate::nodes::roles::STORE_READER_ROLE;
use crate::nodes::roles::STORE_READERS;
use crate::nodes::roles::holds_role;
use crate::store::updates::apply_listing;
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
use zinniahatch_platform::StoreTransaction;
use zinniahatch_route::RESTORE_HOLD;
use zinniahatch_route::ServingPreset;

/// Time limit of a listing.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time over which the nodes spread their writes after a restore.
const SPREAD_PERIOD: Duration = Duration::from_secs(2);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(900);
/// Maximum attempts to rewrite the preset; every node that has the preset does the same.
const MAX_ATTEMPTS: usize = 5;

/// Watches for restores of the store until the process ends.
pub(crate) async fn run_restore_recovery(core: Rc<EntryCore>) {
    let mut eras = core.store.eras();
    let mut known = None;
    loop {
        let era = *eras.borrow_and_update();
        if let (Some(before), Some(after)) = (known, era) {
            recover_from_restore(&core, before, after).await;
        }
        known = era;
        // This never fails: the client exists until the process ends.
        let _ = eras.changed().await;
    }
}

async fn recover_from_restore(core: &Rc<EntryCore>, before: u64, after: u64) {
    let now = Instant::now();
    core.metrics.note_store_restore();
    let batches = core.counts.buffer.borrow_mut().requeue_after_restore(now);
    let suspects = core.suspects.borrow_mut().forget_persisted();
    let parts = core.part_suspects.borrow_mut().forget_persisted();
    core.log.write(
        "store-returned",
        serde_json::json!({"era_before": before, "era": after, "sheets": batches,
            "quarantined": suspects, "quarantined_parts": parts, "preset": core.preset.borrow().revision,
            "version": core.version()}),
    );
    // Entries missing from the backup will be rewritten soon; until then no replica is taken for
    // removed.
    core.note_store_failure();
    core.replicas.borrow_mut().note_store_restored(now);
    core.operator_revision.set(None);
    sleep(SPREAD_PERIOD.mul_f64(rand::rng().random())).await;
    core.quarantine_changed.send_replace(());
    rewrite_preset(core).await;
    core.log.write(
        "store-rewritten",
        serde_json::json!({"era": after, "took_ms": now.elapsed().as_millis() as u64}),
    );
    sleep(RESTORE_HOLD.saturating_sub(now.elapsed())).await;
    if holds_role(core, STORE_READER_ROLE, STORE_READERS) {
        relist_operator_keys(core).await;
    }
}

/// Lists the operators' keys once the time to rewrite them is over, so that state that is missing
/// by then ends.
async fn relist_operator_keys(core: &Rc<EntryCore>) {
    let prefix = WatchTopic::Operator.prefix();
    match core.store.items(prefix, LIST_TIMEOUT).await {
        Ok(listing) => {
            apply_listing(core, WatchTopic::Operator, listing);
        }
        Err(error) => core.log.write(
            "store-lost",
            serde_json::json!({"topic": "Operator", "error": error.to_string()}),
        ),
    }
}

/// Rewrites the preset in force if the store has an older one.
async fn rewrite_preset(core: &EntryCore) {
    for _ in 0..MAX_ATTEMPTS {
        let preset = core.preset.borrow().clone();
        if preset.revision == ServingPreset::default().revision {
            return;
        }
        match put_preset(core, &preset).await {
            Ok(true) => return,
            Ok(false) => {}
            Err(error) => {
                core.metrics.note_store("preset", error.name());
                core.log.write(
                    "preset-not-restored",
                    serde_json::json!({"preset": preset.name, "error": error.to_string()}),
                );
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Writes a preset to the store unless the stored one is as new; returns `false` if another writer
/// interfered.
async fn put_preset(core: &EntryCore, preset: &ServingPreset) -> Result<bool, KvError> {
    let current = core.store.item(PRESET_KEY).await?;
    let stored = current.as_ref().and_then(|item| {
        let text = String::from_utf8_lossy(&item.value);
        parse_serving_preset(PRESET_KEY, &text).ok()
    });
    if stored.is_some_and(|stored| stored.revision >= preset.revision) {
        return Ok(true);
    }
    let expected = current.map_or(StoreRevision::default(), |item| item.revision);
    let text = format_serving_preset(preset);
    let transaction =
        StoreTransaction::new()
            .expect(PRESET_KEY, expected)
            .set(PRESET_KEY, text.as_bytes(), None);
    let outcome = core.store.commit(&transaction).await?;
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

//! Application of state from the store: desired state, evacuations, replicas and the preset.

use crate::core::EntryCore;
use crate::nodes::roles::STORE_READER_ROLE;
use crate::nodes::roles::STORE_READERS;
use crate::nodes::roles::holds_role;
use crate::replicas::notice::apply_leaving_updates;
use crate::replicas::warmth_checks::warms_up;
use crate::store::watch_topic::WatchTopic;
use std::rc::Rc;
use zinniahatch_base::prelude::*;
use zinniahatch_config::PRESET_KEY;
use zinniahatch_config::parse_serving_preset;
use zinniahatch_platform::RejectedItem;
use zinniahatch_platform::StoreEvent;
use zinniahatch_platform::StoreItem;
use zinniahatch_platform::StoreKey;
use zinniahatch_platform::StoreListing;
use zinniahatch_platform::decode_backend;
use zinniahatch_platform::decode_desired;
use zinniahatch_platform::parse_store_key;
use zinniahatch_route::DesiredState;
use zinniahatch_route::EntryChange;
use zinniahatch_route::ReplicaEntry;
use zinniahatch_route::ReplicaUpdates;
use zinniahatch_route::UpdateOutbox;

/// Changes of one listing up to which they are sent to the region; the others take more of them by
/// the groups that differ.
const MAX_LISTED_UPDATES: usize = 256;

/// Applies a complete listing of a topic's keys and returns the revision to watch from.
pub(crate) fn apply_listing(
    core: &Rc<EntryCore>,
    topic: WatchTopic,
    listing: StoreListing,
) -> StoreRevision {
    let StoreListing {
        items,
        rejected,
        revision,
    } = listing;
    core.metrics.note_store("list", "done");
    let now = Instant::now();
    let mut entries = Vec::new();
    let mut evacuated = BTreeSet::new();
    for item in &items {
        match parse_store_key(&item.key) {
            StoreKey::Desired => apply_desired_item(core, item),
            StoreKey::Evacuation(data_centre) => {
                evacuated.insert(data_centre.into());
            }
            StoreKey::Backend(id) => match decode_backend(id, item) {
                Ok(entry) if is_in_region(core, &entry.data_centre) => entries.push(entry),
                Ok(_) => {}
                Err(error) => reject_value(core, &error.key, &error.problem),
            },
            StoreKey::Other => apply_preset_item(core, item),
        }
    }
    reject_items(core, &rejected);
    for item in &rejected {
        // The key alone requests the evacuation.
        if let Some(StoreKey::Evacuation(data_centre)) = item.key.as_deref().map(parse_store_key) {
            evacuated.insert(data_centre.into());
        }
    }
    match topic {
        WatchTopic::Operator => apply_evacuations(core, &evacuated, revision),
        WatchTopic::Replicas => {
            let mut replicas = core.replicas.borrow_mut();
            let (changes, missing) = replicas.apply_listing(entries, revision, now);
            drop(replicas);
            if core.has_listed_replicas() && changes.len() + missing.len() <= MAX_LISTED_UPDATES {
                queue_listed_changes(core, &changes, missing, revision);
            }
            for (entry, change) in changes {
                if matches!(change, EntryChange::Restarted(_)) {
                    handle_entry_change(core, &entry, change);
                }
            }
            core.mark_replicas_listed();
        }
        WatchTopic::Preset => {}
    }
    core.log.write(
        "listed",
        serde_json::json!({"topic": format!("{topic:?}"), "revision": revision,
            "items": items.len(), "version": core.version()}),
    );
    revision
}

/// Applies the replicas of one page of a listing, and informs the region of those that changed. What
/// the listing lacks shows at its end.
pub(crate) fn apply_listed_page(core: &EntryCore, items: &[StoreItem]) {
    let now = Instant::now();
    for item in items {
        let StoreKey::Backend(id) = parse_store_key(&item.key) else {
            continue;
        };
        // The whole listing reports entries that cannot be decoded.
        let Ok(entry) = decode_backend(id, item) else {
            continue;
        };
        if !is_in_region(core, &entry.data_centre) {
            continue;
        }
        let change = core.replicas.borrow_mut().upsert(entry.clone(), now);
        if change == EntryChange::None {
            continue;
        }
        queue_for_region(core, &entry.data_centre, |updates| {
            updates.push_written(entry.clone());
        });
        handle_entry_change(core, &entry, change);
    }
}

/// Queues what a listing changed for the region, if this node is a store reader: after the store
/// discarded its history, the others would notice it by the digests a second or two later.
fn queue_listed_changes(
    core: &EntryCore,
    changes: &[(ReplicaEntry, EntryChange)],
    missing: Vec<ReplicaId>,
    revision: StoreRevision,
) {
    if !holds_role(core, STORE_READER_ROLE, STORE_READERS) {
        return;
    }
    let mut updates = core.replica_updates.borrow_mut();
    for (entry, _) in changes {
        updates.push_written(entry.clone());
    }
    for id in missing {
        updates.push_removed(id, revision);
    }
    drop(updates);
    core.work_changed.notify_one();
}

/// Applies one change.
pub(crate) fn apply_event(core: &Rc<EntryCore>, event: StoreEvent, now: Instant) {
    match event {
        StoreEvent::Written(item) => apply_write(core, &item, now),
        StoreEvent::Rejected(item) => apply_rejected(core, &item, now),
        StoreEvent::Removed { key, revision } => apply_removal(core, &key, revision, now),
    }
}

fn apply_write(core: &Rc<EntryCore>, item: &StoreItem, now: Instant) {
    match parse_store_key(&item.key) {
        StoreKey::Desired => apply_desired_item(core, item),
        StoreKey::Evacuation(data_centre) => {
            read_evacuation(core, data_centre, true, item.revision);
        }
        StoreKey::Backend(id) => match decode_backend(id, item) {
            Ok(entry) if !is_in_region(core, &entry.data_centre) => {}
            Ok(entry) => {
                queue_for_region(core, &entry.data_centre, |updates| {
                    updates.push_written(entry.clone());
                });
                apply_entry(core, entry, now);
            }
            Err(error) => {
                // The invalid value names no usable replica, and the previous one is no longer
                // current.
                reject_value(core, &error.key, &error.problem);
                handle_backend_removal(core, id, item.revision, now);
            }
        },
        StoreKey::Other => apply_preset_item(core, item),
    }
}

/// Applies a change that could not be decoded, as far as its key tells what it means.
fn apply_rejected(core: &EntryCore, item: &RejectedItem, now: Instant) {
    reject_items(core, std::slice::from_ref(item));
    match item.key.as_deref().map(parse_store_key) {
        Some(StoreKey::Evacuation(data_centre)) => {
            read_evacuation(core, data_centre, true, item.revision);
        }
        Some(StoreKey::Backend(id)) => handle_backend_removal(core, id, item.revision, now),
        Some(StoreKey::Desired | StoreKey::Other) | None => {}
    }
}

fn apply_removal(core: &Rc<EntryCore>, key: &str, revision: StoreRevision, now: Instant) {
    match parse_store_key(key) {
        StoreKey::Evacuation(data_centre) => read_evacuation(core, data_centre, false, revision),
        StoreKey::Backend(id) => handle_backend_removal(core, id, revision, now),
        StoreKey::Desired => reject_value(core, key, "the desired state was removed"),
        StoreKey::Other => {}
    }
}

/// Handles a key that no longer names a replica, and informs the region.
fn handle_backend_removal(core: &EntryCore, id: &str, revision: StoreRevision, now: Instant) {
    let replicas = core.replicas.borrow();
    let data_centre = replicas
        .get(id)
        .map(|state| state.entry.data_centre.clone());
    drop(replicas);
    if let Some(data_centre) = data_centre {
        queue_for_region(core, &data_centre, |updates| {
            updates.push_removed(id.into(), revision);
        });
    }
    remove_replica(core, id, revision, now);
}

/// Applies a replica entry that this node or another one read from the store.
fn apply_entry(core: &EntryCore, entry: ReplicaEntry, now: Instant) {
    let change = core.replicas.borrow_mut().upsert(entry.clone(), now);
    handle_entry_change(core, &entry, change);
}

/// Logs what an entry changed, and closes pooled connections to an earlier incarnation of the
/// replica.
pub(crate) fn handle_entry_change(core: &EntryCore, entry: &ReplicaEntry, change: EntryChange) {
    let kind = match change {
        EntryChange::None => return,
        EntryChange::Updated => "replica",
        EntryChange::Restarted(before) => {
            core.pool.close_idle(before);
            "replica-reborn"
        }
    };
    core.log.write(
        kind,
        serde_json::json!({"replica": entry.id, "born_ms": entry.started_ms, "leaving": entry.leaving,
            "cold_ms": entry.cold_for.as_millis() as u64,
            "gone_in_ms": entry.gone_in.map(|left| left.as_millis() as u64),
            "revision": entry.revision})
    );
}

fn remove_replica(core: &EntryCore, id: &str, revision: StoreRevision, now: Instant) {
    let mut replicas = core.replicas.borrow_mut();
    if replicas.get(id).is_none() {
        return;
    }
    replicas.remove_entry(id, revision, now);
    drop(replicas);
    core.log.write(
        "replica-entry-gone",
        serde_json::json!({"replica": id, "revision": revision}),
    );
}

/// Applies replica updates from a node of the region.
pub(crate) fn apply_replica_updates(core: &EntryCore, updates: ReplicaUpdates, now: Instant) {
    for entry in updates.written {
        apply_entry(core, entry, now);
    }
    for (id, revision) in updates.removed {
        remove_replica(core, &id, revision, now);
    }
    for (data_centre, on, revision) in updates.evacuations {
        apply_evacuation_change(core, &data_centre, on, revision);
    }
    apply_leaving_updates(core, &updates.leaving);
}

/// Returns whether a data centre is in this node's region. Replicas accept requests of nodes of
/// their own region alone, so the others are not kept.
pub(crate) fn is_in_region(core: &EntryCore, data_centre: &str) -> bool {
    core.settings.regions.get(data_centre) == Some(&core.settings.region)
}

/// Queues a replica update for the other nodes of its region if this node is a store reader.
fn queue_for_region(core: &EntryCore, data_centre: &str, queue: impl FnOnce(&mut UpdateOutbox)) {
    if is_in_region(core, data_centre) && holds_role(core, STORE_READER_ROLE, STORE_READERS) {
        queue(&mut core.replica_updates.borrow_mut());
        core.work_changed.notify_one();
    }
}

/// Applies the complete set of evacuations as of a revision.
pub(crate) fn apply_evacuations(
    core: &EntryCore,
    evacuated: &BTreeSet<DataCentreId>,
    revision: StoreRevision,
) {
    let mut replicas = core.replicas.borrow_mut();
    let changed = replicas.set_evacuated(evacuated, revision, Instant::now());
    drop(replicas);
    for data_centre in changed {
        note_evacuation_change(
            core,
            &data_centre,
            evacuated.contains(&data_centre),
            revision,
        );
    }
}

/// Applies an evacuation change read from the store, and queues it for the region if this node is a
/// store reader.
fn read_evacuation(core: &EntryCore, data_centre: &str, on: bool, revision: StoreRevision) {
    let data_centre: DataCentreId = data_centre.into();
    if holds_role(core, STORE_READER_ROLE, STORE_READERS) {
        let mut updates = core.replica_updates.borrow_mut();
        updates.push_evacuation((data_centre.clone(), on, revision));
        drop(updates);
        core.work_changed.notify_one();
    }
    apply_evacuation_change(core, &data_centre, on, revision);
}

fn apply_evacuation_change(
    core: &EntryCore,
    data_centre: &DataCentreId,
    on: bool,
    revision: StoreRevision,
) {
    let mut replicas = core.replicas.borrow_mut();
    let changed = replicas.note_evacuation(data_centre, on, revision);
    drop(replicas);
    if changed {
        note_evacuation_change(core, data_centre, on, revision);
    }
}

/// Logs an evacuation that began or ended; after its end the replicas may be cold.
fn note_evacuation_change(
    core: &EntryCore,
    data_centre: &DataCentreId,
    on: bool,
    revision: StoreRevision,
) {
    let mut doubted = 0;
    if !on {
        let warms_up = |service: &ServiceId| warms_up(core, service);
        let mut replicas = core.replicas.borrow_mut();
        doubted = replicas.doubt_warmth(data_centre, warms_up, revision, Instant::now());
    }
    core.log.write(
        "evacuation",
        serde_json::json!({"data_centre": data_centre, "on": on, "revision": revision,
            "doubted": doubted}),
    );
}

fn apply_desired_item(core: &EntryCore, item: &StoreItem) {
    match decode_desired(&item.value) {
        Ok(state) => match unknown_home(core, &state) {
            None => {
                core.apply_desired_state(state, "store");
            }
            Some(problem) => reject_value(core, &item.key, &problem),
        },
        Err(error) => reject_value(core, &error.key, &error.problem),
    }
}

/// Returns the problem with the first account home that is not a configured region.
///
/// If the account were served by its remaining homes, its data would be kept where it was not meant
/// to be.
fn unknown_home(core: &EntryCore, state: &DesiredState) -> Option<String> {
    let regions: BTreeSet<&RegionId> = core.settings.regions.values().collect();
    for account in &state.accounts {
        for home in &account.homes {
            if !regions.contains(home) {
                return Some(format!(
                    "account `{}`: home `{home}` is not a configured region",
                    account.name
                ));
            }
        }
    }
    None
}

/// Counts and logs a value that cannot be used; the last valid one stays in force.
pub(crate) fn reject_value(core: &EntryCore, key: &str, problem: &str) {
    core.metrics.note_store("value", "rejected");
    core.log.write(
        "value-rejected",
        serde_json::json!({"key": key, "problem": problem}),
    );
}

/// Counts and logs items that could not be decoded.
pub(crate) fn reject_items(core: &EntryCore, items: &[RejectedItem]) {
    for item in items {
        core.metrics.note_store("item", "rejected");
        core.log.write(
            "item-rejected",
            serde_json::json!({"key": item.key, "revision": item.revision, "problem": item.problem}),
        );
    }
}

/// Applies one of the gateway's own keys: the preset in force.
fn apply_preset_item(core: &EntryCore, item: &StoreItem) {
    if &*item.key != PRESET_KEY {
        return;
    }
    let text = String::from_utf8_lossy(&item.value);
    match parse_serving_preset(PRESET_KEY, &text) {
        Ok(preset) => core.apply_preset(preset, "store"),
        Err(error) => reject_value(core, &item.key, &error.to_string()),
    }
}

//! Taking over what the store tells: desired state, evacuations, replicas, the preset.

use crate::core::EntryCore;
use crate::nodes::duty::READER_DUTY;
use crate::nodes::duty::READERS;
use crate::nodes::duty::has_duty;
use crate::nodes::replica_news::ReplicaNews;
use crate::replicas::notice::hear_leaving;
use crate::store::watch_topic::WatchTopic;
use std::rc::Rc;
use zinniahatch_base::prelude::*;
use zinniahatch_config::PRESET_KEY;
use zinniahatch_config::parse_serving_preset;
use zinniahatch_platform::KeySubject;
use zinniahatch_platform::StoreEvent;
use zinniahatch_platform::StoreItem;
use zinniahatch_platform::StoreListing;
use zinniahatch_platform::decode_backend;
use zinniahatch_platform::decode_desired;
use zinniahatch_platform::subject_of;
use zinniahatch_route::DesiredState;
use zinniahatch_route::EntryChange;
use zinniahatch_route::ReplicaEntry;

/// Takes a whole listing of a topic's keys; gives the revision to watch from.
pub(crate) fn take_listing(
    core: &Rc<EntryCore>,
    topic: WatchTopic,
    listing: StoreListing,
) -> StoreRevision {
    let StoreListing { items, revision } = listing;
    core.metrics.note_store("list", "done");
    let now = Instant::now();
    let mut entries = Vec::new();
    let mut evacuated = BTreeSet::new();
    for item in &items {
        match subject_of(&item.key) {
            KeySubject::Desired => adopt(core, item),
            KeySubject::Evacuation(place) => {
                evacuated.insert(place.into());
            }
            KeySubject::Backend(id) => match decode_backend(id, item) {
                Ok(entry) => entries.push(entry),
                Err(error) => reject(core, &error.to_string()),
            },
            KeySubject::Other => note_own(core, item),
        }
    }
    match topic {
        WatchTopic::Operator => take_evacuations(core, &evacuated, revision),
        WatchTopic::Replicas => {
            let mut replicas = core.replicas.borrow_mut();
            let changes = replicas.apply_listing(entries, revision, now);
            drop(replicas);
            for (entry, change) in changes {
                note_change(core, &entry, change);
            }
            core.note_listed();
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

/// Takes one change.
pub(crate) fn take_event(core: &Rc<EntryCore>, event: StoreEvent, now: Instant) {
    match event {
        StoreEvent::Written(item) => written(core, &item, now),
        StoreEvent::Removed { key, revision } => removed(core, &key, revision, now),
    }
}

fn written(core: &Rc<EntryCore>, item: &StoreItem, now: Instant) {
    match subject_of(&item.key) {
        KeySubject::Desired => adopt(core, item),
        KeySubject::Evacuation(place) => {
            read_evacuation(core, place, true, item.revision);
        }
        KeySubject::Backend(id) => match decode_backend(id, item) {
            Ok(entry) => {
                tell_region(core, &entry.data_centre, |news| {
                    news.written.push(entry.clone());
                });
                take_entry(core, entry, now);
            }
            Err(error) => {
                // It names no replica to use; what it said before is no longer so.
                reject(core, &error.to_string());
                forget_backend(core, id, item.revision, now);
            }
        },
        KeySubject::Other => note_own(core, item),
    }
}

fn removed(core: &Rc<EntryCore>, key: &str, revision: StoreRevision, now: Instant) {
    match subject_of(key) {
        KeySubject::Evacuation(place) => read_evacuation(core, place, false, revision),
        KeySubject::Backend(id) => forget_backend(core, id, revision, now),
        KeySubject::Desired => reject(core, "the desired state was removed"),
        KeySubject::Other => {}
    }
}

/// Takes the news that a key names no replica any more, and tells the region.
fn forget_backend(core: &EntryCore, id: &str, revision: StoreRevision, now: Instant) {
    let replicas = core.replicas.borrow();
    let place = replicas
        .get(id)
        .map(|belief| belief.entry.data_centre.clone());
    drop(replicas);
    if let Some(place) = place {
        tell_region(core, &place, |news| {
            news.removed.push((id.into(), revision));
        });
    }
    take_removal(core, id, revision, now);
}

/// Takes what a replica says of itself, from the store or from a node that read it there.
fn take_entry(core: &EntryCore, entry: ReplicaEntry, now: Instant) {
    let change = core.replicas.borrow_mut().upsert(entry.clone(), now);
    note_change(core, &entry, change);
}

/// Logs what an entry changed, and closes what led to an earlier life of the replica.
fn note_change(core: &EntryCore, entry: &ReplicaEntry, change: EntryChange) {
    let kind = match change {
        EntryChange::None => return,
        EntryChange::Updated => "replica",
        EntryChange::Restarted(before) => {
            core.pool.purge(before);
            "replica-reborn"
        }
    };
    core.log.write(
        kind,
        serde_json::json!({"replica": entry.id, "born_ms": entry.started_ms, "leaving": entry.leaving,
            "cold_ms": entry.cold_for.as_millis() as u64,
            "gone_in_ms": entry.gone_in.map(|left| left.as_millis() as u64),
            "revision": entry.revision}),
    );
}

fn take_removal(core: &EntryCore, id: &str, revision: StoreRevision, now: Instant) {
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

/// Takes news of replicas from a node of the region.
pub(crate) fn take_replica_news(core: &EntryCore, news: ReplicaNews, now: Instant) {
    for entry in news.written {
        take_entry(core, entry, now);
    }
    for (id, revision) in news.removed {
        take_removal(core, &id, revision, now);
    }
    for (place, on, revision) in news.evacuations {
        note_evacuation(core, &place, on, revision);
    }
    hear_leaving(core, &news.leaving);
}

/// Keeps news of a replica for the other nodes of its region, where this node reads them for all.
fn tell_region(core: &EntryCore, place: &str, keep: impl FnOnce(&mut ReplicaNews)) {
    let near = core.settings.regions.get(place) == Some(&core.settings.region);
    if near && has_duty(core, READER_DUTY, READERS) {
        keep(&mut core.replica_news.borrow_mut());
        core.work_changed.notify_one();
    }
}

/// Takes all evacuations that the store shows as of a revision.
fn take_evacuations(core: &EntryCore, evacuated: &BTreeSet<DataCentreId>, revision: StoreRevision) {
    let mut replicas = core.replicas.borrow_mut();
    let changed = replicas.set_evacuated(evacuated, revision, Instant::now());
    drop(replicas);
    for place in changed {
        log_evacuation(core, &place, evacuated.contains(&place));
    }
}

/// Takes what this node read of an evacuation, and tells its region where it reads for all.
fn read_evacuation(core: &EntryCore, place: &str, on: bool, revision: StoreRevision) {
    let place: DataCentreId = place.into();
    if has_duty(core, READER_DUTY, READERS) {
        let mut news = core.replica_news.borrow_mut();
        news.evacuations.push((place.clone(), on, revision));
        drop(news);
        core.work_changed.notify_one();
    }
    note_evacuation(core, &place, on, revision);
}

fn note_evacuation(core: &EntryCore, place: &DataCentreId, on: bool, revision: StoreRevision) {
    let mut replicas = core.replicas.borrow_mut();
    let changed = replicas.note_evacuation(place, on, revision);
    drop(replicas);
    if changed {
        log_evacuation(core, place, on);
    }
}

fn log_evacuation(core: &EntryCore, place: &DataCentreId, on: bool) {
    core.log.write(
        "evacuation",
        serde_json::json!({"data_centre": place, "on": on}),
    );
}

fn adopt(core: &EntryCore, item: &StoreItem) {
    match decode_desired(&item.value) {
        Ok(state) => match unknown_home(core, &state) {
            None => {
                core.adopt(state, "store");
            }
            Some(problem) => reject(core, &problem),
        },
        Err(error) => reject(core, &error.to_string()),
    }
}

/// Gives what is wrong with the homes of an account, where one is no region of the settings: served by those that
/// are, its data would be kept where nobody asked for.
fn unknown_home(core: &EntryCore, state: &DesiredState) -> Option<String> {
    let regions: BTreeSet<&RegionId> = core.settings.regions.values().collect();
    for account in &state.accounts {
        for home in &account.homes {
            if !regions.contains(home) {
                return Some(format!(
                    "account `{}`: home `{home}` is no region",
                    account.name
                ));
            }
        }
    }
    None
}

/// Notes a value that cannot be used; the last good one stays in force.
pub(crate) fn reject(core: &EntryCore, problem: &str) {
    core.metrics.note_store("value", "rejected");
    core.log
        .write("value-rejected", serde_json::json!({"problem": problem}));
}

/// Takes one of the product's own keys: the preset in force.
fn note_own(core: &EntryCore, item: &StoreItem) {
    if &*item.key != PRESET_KEY {
        return;
    }
    let text = String::from_utf8_lossy(&item.value);
    match parse_serving_preset(PRESET_KEY, &text) {
        Ok(preset) => core.adopt_preset(preset, "store"),
        Err(error) => reject(core, &error.to_string()),
    }
}

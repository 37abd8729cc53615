//! Following the store: desired state, evacuations, replicas, other nodes.

use crate::core::EntryCore;
use crate::snapshot::fetch_snapshot;
use rand::RngExt;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;
use zinniahatch_config::PRESET_KEY;
use zinniahatch_config::parse_serving_preset;
use zinniahatch_platform::KeySubject;
use zinniahatch_platform::KvError;
use zinniahatch_platform::StoreEvent;
use zinniahatch_platform::StoreItem;
use zinniahatch_platform::StoreListing;
use zinniahatch_platform::decode_backend;
use zinniahatch_platform::decode_desired;
use zinniahatch_platform::subject_of;

/// Start of the keys that are watched: all of them. One waiting call sees the operators' keys,
/// the replicas' and our own, where three would cost three.
const WATCHED: &str = "";
/// Start of the keys under which nodes register.
pub(crate) const NODE_PREFIX: &str = "zinniahatch/nodes/";
/// Longest wait of one watch; each one costs a call though nothing happened. With 4 s a calm day of 71
/// nodes took 1,966 calls and 0.026 of its worth, with 20 s XXX. That the store or the channel to it is
/// gone shows by other means: the kernel's keep-alive and the renewals of this node's key.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Pause after a watch that brought news, so that changes which come together cost one call.
const GATHER_TIME: Duration = Duration::from_millis(350);
/// Pause added for each other node: a change wakes the watch of every node, so the calls of one change
/// grow with the fleet, and 89 nodes spent 0.032 of a calm day's worth on them.
const GATHER_EACH: Duration = Duration::from_millis(8);
/// Longest pause; desired states have to be in force, and replicas to be left, within four seconds.
const GATHER_MOST: Duration = Duration::from_millis(1_200);
/// Limits of a page of a listing, in turn. While the store is silent each try hangs for the limit,
/// and a node without a desired state serves nobody, so the short one finds its return soon; a
/// store that is merely slow answers within the long one.
const LIST_SHORT: Duration = Duration::from_millis(400);
const LIST_LONG: Duration = Duration::from_millis(1_500);
/// Shortest and longest pause after a failed call; jitter keeps the nodes apart.
const RETRY_MILLIS: std::ops::Range<u64> = 150..450;

/// Follows the store until the process ends.
pub(crate) async fn run_watch(core: Rc<EntryCore>) {
    let mut revision = None;
    let mut fine = true;
    let mut patient = true;
    loop {
        let result = match revision {
            None => {
                patient = !patient;
                let limit = if patient { LIST_LONG } else { LIST_SHORT };
                list(&core, limit).await
            }
            Some(after) => follow(&core, after).await,
        };
        match result {
            Ok(next) => {
                if !fine {
                    core.log
                        .write("store-back", serde_json::json!({"revision": next}));
                }
                fine = true;
                revision = Some(next);
            }
            Err(KvError::Compacted) => {
                core.log
                    .write("store-compacted", serde_json::json!({"revision": revision}));
                core.replicas
                    .borrow_mut()
                    .note_store_trouble(Instant::now());
                revision = None;
            }
            Err(error) => {
                core.replicas
                    .borrow_mut()
                    .note_store_trouble(Instant::now());
                core.metrics.note_store("follow", "failed");
                core.log.write(
                    "store-lost",
                    serde_json::json!({"error": error.to_string()}),
                );
                fine = false;
                ask_peer(&core).await;
                let millis = rand::rng().random_range(RETRY_MILLIS);
                sleep(Duration::from_millis(millis)).await;
            }
        }
    }
}

/// Takes over what a peer knows while the store is away; one cut off from the store alone would
/// otherwise go on by old rules and send to replicas that have left.
async fn ask_peer(core: &Rc<EntryCore>) {
    let peer = {
        let members = core.members.borrow();
        let newest = members.newest(Instant::now());
        newest.map(|(_, card)| card.peer)
    };
    if let Some(peer) = peer {
        fetch_snapshot(core, peer).await;
    }
}

async fn list(core: &Rc<EntryCore>, limit: Duration) -> Result<u64, KvError> {
    let StoreListing { items, revision } = core.store.items(WATCHED, limit).await?;
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
            KeySubject::Backend(id) => match decode_backend(id, &item.value) {
                Ok(entry) => entries.push(entry),
                Err(error) => reject(core, &error.to_string()),
            },
            KeySubject::Other => note_own(core, item),
        }
    }
    let mut replicas = core.replicas.borrow_mut();
    replicas.relist(entries, now);
    replicas.set_evacuated(evacuated);
    drop(replicas);
    core.listed.set(true);
    core.log.write(
        "listed",
        serde_json::json!({"revision": revision, "items": items.len(), "version": core.version()}),
    );
    Ok(revision)
}

async fn follow(core: &Rc<EntryCore>, after: u64) -> Result<u64, KvError> {
    // A store that turns this node away, or hangs, leaves a waiting watch without an answer, and this
    // node would send to replicas that have left until the wait is over.
    let changes = tokio::select! {
        changes = core.store.changes(WATCHED, after, WATCH_WAIT) => changes?,
        () = core.store_lost.notified() => {
            return Err(KvError::Unknown("the renewal of the key failed".into()));
        }
    };
    core.metrics.note_store("watch", "done");
    let now = Instant::now();
    let quiet = changes.events.is_empty();
    for event in changes.events {
        match event {
            StoreEvent::Written(item) => written(core, &item, now),
            StoreEvent::Removed(key) => removed(core, &key, now),
        }
    }
    if !quiet {
        let others = core.members.borrow().known().count();
        let pause = GATHER_TIME + GATHER_EACH * u32::try_from(others).unwrap_or(u32::MAX);
        sleep(pause.min(GATHER_MOST)).await;
    }
    Ok(changes.revision.max(after))
}

fn written(core: &Rc<EntryCore>, item: &StoreItem, now: Instant) {
    match subject_of(&item.key) {
        KeySubject::Desired => adopt(core, item),
        KeySubject::Evacuation(place) => set_evacuation(core, place, true),
        KeySubject::Backend(id) => match decode_backend(id, &item.value) {
            Ok(entry) => {
                let state = (entry.leaving, entry.cold_for.as_millis() as u64);
                let gone_in = entry.gone_in.map(|left| left.as_millis() as u64);
                if core.replicas.borrow_mut().upsert(entry, now) {
                    core.log.write(
                        "replica",
                        serde_json::json!({"replica": id, "leaving": state.0,
                            "cold_ms": state.1, "gone_in_ms": gone_in, "revision": item.revision}),
                    );
                }
            }
            Err(error) => reject(core, &error.to_string()),
        },
        KeySubject::Other => note_own(core, item),
    }
}

fn removed(core: &Rc<EntryCore>, key: &str, now: Instant) {
    match subject_of(key) {
        KeySubject::Evacuation(place) => set_evacuation(core, place, false),
        KeySubject::Backend(id) => {
            core.replicas.borrow_mut().vanish(id, now);
            core.log
                .write("replica-entry-gone", serde_json::json!({"replica": id}));
        }
        KeySubject::Desired => reject(core, "the desired state was removed"),
        KeySubject::Other => {}
    }
}

fn set_evacuation(core: &EntryCore, place: &str, on: bool) {
    let mut replicas = core.replicas.borrow_mut();
    let mut evacuated = replicas.evacuated().clone();
    if on {
        evacuated.insert(place.into());
    } else {
        evacuated.remove(place);
    }
    replicas.set_evacuated(evacuated);
    core.log.write(
        "evacuation",
        serde_json::json!({"data_centre": place, "on": on}),
    );
}

fn adopt(core: &EntryCore, item: &StoreItem) {
    match decode_desired(&item.value) {
        Ok(state) => {
            core.adopt(state, "store");
        }
        Err(error) => reject(core, &error.to_string()),
    }
}

/// Notes a value that cannot be used; the last good one stays in force.
fn reject(core: &EntryCore, problem: &str) {
    core.metrics.note_store("value", "rejected");
    core.log
        .write("value-rejected", serde_json::json!({"problem": problem}));
}

/// Takes one of the product's own keys: the preset in force, or where another node listens.
fn note_own(core: &EntryCore, item: &StoreItem) {
    if &*item.key == PRESET_KEY {
        let text = String::from_utf8_lossy(&item.value);
        match parse_serving_preset(PRESET_KEY, &text) {
            Ok(preset) => core.adopt_preset(preset, "store"),
            Err(error) => reject(core, &error.to_string()),
        }
        return;
    }
    if !item.key.starts_with(NODE_PREFIX) {
        return;
    }
    let address = std::str::from_utf8(&item.value)
        .ok()
        .and_then(|text| text.parse::<SocketAddrV4>().ok());
    match address {
        Some(address) => {
            core.contacts.borrow_mut().insert(address);
        }
        None => reject(core, "the address of a node cannot be read"),
    }
}

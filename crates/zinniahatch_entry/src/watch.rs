//! Following the store: desired state, evacuations, replicas, the preset.

use crate::core::EntryCore;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::RngExt;
use std::rc::Rc;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;
use zinniahatch_base::rank_member;
use zinniahatch_config::PRESET_KEY;
use zinniahatch_config::parse_serving_preset;
use zinniahatch_platform::BACKEND_PREFIX;
use zinniahatch_platform::KeySubject;
use zinniahatch_platform::KvError;
use zinniahatch_platform::OPERATOR_PREFIX;
use zinniahatch_platform::StoreEvent;
use zinniahatch_platform::StoreItem;
use zinniahatch_platform::StoreListing;
use zinniahatch_platform::decode_backend;
use zinniahatch_platform::decode_desired;
use zinniahatch_platform::subject_of;

/// Longest wait of one watch, a little below what the store allows; each one costs a call though nothing
/// happened. That the store or the channel to it is gone shows by other means: the kernel's keep-alive and
/// the renewals of this node's key.
const WATCH_WAIT: Duration = Duration::from_secs(28);
/// Nodes of a region that follow the preset; the others hear of it from them. Each node that did so cost
/// three calls a minute for what changes a few times a day.
const PRESET_WATCHERS: usize = 2;
/// The duty by which these are ranked.
const PRESET_DUTY: &str = "preset";
/// Pause between looks whether this node has that duty.
const DUTY_LOOK: Duration = Duration::from_secs(1);
/// Pause after a watch that brought news, so that changes which come together cost one call.
const GATHER_TIME: Duration = Duration::from_millis(350);
/// Pause added for each other node: a change wakes the watch of every node, so the calls of one change
/// grow with the fleet, and 89 nodes spent 0.032 of a calm day's worth on them.
const GATHER_EACH: Duration = Duration::from_millis(8);
/// Longest pause; desired states have to be in force, and replicas to be left, within four seconds.
const GATHER_MOST: Duration = Duration::from_millis(1_200);
/// Limit of a page of a listing; a store that is merely slow answers within it.
const LIST_TIME: Duration = Duration::from_millis(1_500);
/// Pause after which a listing is asked for again beside the ones that hang. A node without a desired
/// state serves nobody: where all nodes had lost power while the store was silent, they waited up to
/// 1.9 s after its return for calls that it had never seen.
const LIST_PAUSE: Duration = Duration::from_millis(400);
/// Wait of a watch that only asks for what has happened.
const ANY_NEWS: Duration = Duration::ZERO;
/// Shortest and longest pause after a failed call, and the jitter that keeps the nodes apart. A store
/// that is away for 5 s is asked about seven times by each node.
const RETRY_LEAST: Duration = Duration::from_millis(250);
const RETRY_MOST: Duration = Duration::from_secs(1);
const RETRY_JITTER: std::ops::Range<f64> = 0.6..1.2;

/// What one watch follows. Each wakes only for its own keys: where one watch saw all keys, every node
/// woke for the key of each other node and for each account sheet, which is the square of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WatchTopic {
    /// The desired state and evacuations.
    Operator,
    /// The replicas.
    Replicas,
    /// The preset in force.
    Preset,
}

impl WatchTopic {
    /// All topics.
    pub(crate) const ALL: [Self; 3] = [Self::Operator, Self::Replicas, Self::Preset];

    /// The topic whose watch looks for the return of a store that is away.
    const SCOUT: Self = Self::Operator;

    fn prefix(self) -> &'static str {
        match self {
            Self::Operator => OPERATOR_PREFIX,
            Self::Replicas => BACKEND_PREFIX,
            Self::Preset => PRESET_KEY,
        }
    }
}

/// Follows the store until the process ends.
pub(crate) async fn run_watch(core: Rc<EntryCore>, topic: WatchTopic) {
    let mut revision = None;
    let mut fine = true;
    let mut retry = RETRY_LEAST;
    loop {
        if topic == WatchTopic::Preset && !follows_preset(&core) {
            sleep(DUTY_LOOK).await;
            continue;
        }
        let result = match revision {
            None => {
                if topic != WatchTopic::SCOUT {
                    wait_for_store(&core).await;
                }
                list_soon(&core, topic).await
            }
            Some(after) if fine => follow(&core, topic, after, WATCH_WAIT).await,
            // The answer at once shows that the store is back.
            Some(after) => follow(&core, topic, after, ANY_NEWS).await,
        };
        match result {
            Ok(next) => {
                if !fine {
                    core.log.write(
                        "store-back",
                        serde_json::json!({"topic": format!("{topic:?}"), "revision": next}),
                    );
                }
                fine = true;
                revision = Some(next);
                retry = RETRY_LEAST;
                if topic == WatchTopic::SCOUT {
                    core.store_serves.send_replace(true);
                }
            }
            Err(KvError::Compacted) => {
                core.log.write(
                    "store-compacted",
                    serde_json::json!({"topic": format!("{topic:?}"), "revision": revision}),
                );
                core.note_store_trouble();
                revision = None;
            }
            Err(error) => {
                core.note_store_trouble();
                core.metrics.note_store("follow", "failed");
                core.log.write(
                    "store-lost",
                    serde_json::json!({"topic": format!("{topic:?}"), "error": error.to_string()}),
                );
                fine = false;
                if topic == WatchTopic::SCOUT {
                    core.store_serves.send_replace(false);
                }
                sleep(retry.mul_f64(rand::rng().random_range(RETRY_JITTER))).await;
                if revision.is_some() {
                    retry = (retry * 2).min(RETRY_MOST);
                }
                if topic != WatchTopic::SCOUT {
                    wait_for_store(&core).await;
                }
            }
        }
    }
}

/// Tells whether this node is among the first of its region by rank.
fn follows_preset(core: &EntryCore) -> bool {
    let own = rank_member(PRESET_DUTY, &core.settings.name);
    let members = core.members.borrow();
    let near = members.live_in(&core.settings.region, Instant::now());
    let above = near
        .iter()
        .filter(|card| rank_member(PRESET_DUTY, &card.node) > own)
        .count();
    above < PRESET_WATCHERS
}

/// Lists a topic's keys, asking again while earlier asks hang, until one is answered or all that were
/// made have failed.
async fn list_soon(core: &Rc<EntryCore>, topic: WatchTopic) -> Result<u64, KvError> {
    let ask = || core.store.items(topic.prefix(), LIST_TIME);
    let mut asks = FuturesUnordered::from_iter([ask()]);
    loop {
        tokio::select! {
            answer = asks.next() => match answer {
                Some(Ok(listing)) => return Ok(take_listing(core, topic, listing)),
                Some(Err(error)) if asks.is_empty() => return Err(error),
                _ => {}
            },
            () = sleep(LIST_PAUSE) => asks.push(ask()),
        }
    }
}

fn take_listing(core: &Rc<EntryCore>, topic: WatchTopic, listing: StoreListing) -> u64 {
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
            KeySubject::Backend(id) => match decode_backend(id, &item.value) {
                Ok(entry) => entries.push(entry),
                Err(error) => reject(core, &error.to_string()),
            },
            KeySubject::Other => note_own(core, item),
        }
    }
    let mut replicas = core.replicas.borrow_mut();
    match topic {
        WatchTopic::Operator => replicas.set_evacuated(evacuated),
        WatchTopic::Replicas => {
            replicas.relist(entries, now);
            core.listed.set(true);
        }
        WatchTopic::Preset => {}
    }
    drop(replicas);
    core.log.write(
        "listed",
        serde_json::json!({"topic": format!("{topic:?}"), "revision": revision,
            "items": items.len(), "version": core.version()}),
    );
    revision
}

/// Waits until the scout found the store serving; each further call to a store that is away has its price.
async fn wait_for_store(core: &EntryCore) {
    let mut serves = core.store_serves.subscribe();
    // The sender lives as long as the process, so that there is no other end of this wait.
    let _ = serves.wait_for(|serves| *serves).await;
}

async fn follow(
    core: &Rc<EntryCore>,
    topic: WatchTopic,
    after: u64,
    wait: Duration,
) -> Result<u64, KvError> {
    // A store that turns this node away, or hangs, leaves a waiting watch without an answer, and this
    // node would send to replicas that have left until the wait is over.
    let changes = tokio::select! {
        changes = core.store.changes(topic.prefix(), after, wait) => changes?,
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
        let others = core.contacts.borrow().len();
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

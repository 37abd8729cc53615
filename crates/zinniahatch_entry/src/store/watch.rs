//! Following the store: desired state, evacuations, replicas, the preset.

use crate::core::ACQUAINT_TIME;
use crate::core::EntryCore;
use crate::nodes::duty::READER_DUTY;
use crate::nodes::duty::READERS;
use crate::nodes::duty::has_duty;
use crate::nodes::own_card::reader_cover;
use crate::store::news::take_event;
use crate::store::news::take_listing;
use crate::store::watch_topic::WatchTopic;
use crate::who::proofs::note_proof;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::RngExt;
use std::rc::Rc;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::KvError;
use zinniahatch_route::CoverState;

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
/// Pause after news of replicas for a node that hears of them from the readers of its region. Its own
/// watch is for datagrams that were lost, and must still bring the news within four seconds.
const GATHER_BACKUP: Duration = Duration::from_millis(2_500);
/// Part of the store's history after which a node that hears of replicas from readers looks for itself.
const LOOK_PART: f64 = 0.5;
/// Pause between looks whether the readers still speak, and whether this node knows what they do.
const COVER_LOOK: Duration = Duration::from_millis(500);
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

/// Follows the store until the process ends.
pub(crate) async fn run_watch(core: Rc<EntryCore>, topic: WatchTopic) {
    let mut watcher = TopicWatcher {
        core,
        topic,
        revision: None,
        fine: true,
        retry: RETRY_LEAST,
    };
    loop {
        if topic == WatchTopic::Preset && !has_duty(&watcher.core, PRESET_DUTY, PRESET_WATCHERS) {
            sleep(DUTY_LOOK).await;
            continue;
        }
        match watcher.ask().await {
            Ok(next) => watcher.note_answer(next),
            Err(KvError::Compacted) => watcher.note_compacted(),
            Err(error) => watcher.pause_after(&error).await,
        }
    }
}

/// The watch of one topic.
struct TopicWatcher {
    core: Rc<EntryCore>,
    topic: WatchTopic,
    /// The revision up to which the topic is known; none where it has to be listed.
    revision: Option<StoreRevision>,
    /// Whether the last call was answered.
    fine: bool,
    /// Pause after the next failure.
    retry: Duration,
}

impl TopicWatcher {
    /// Lists the topic or waits for changes; gives the revision reached.
    async fn ask(&self) -> Result<StoreRevision, KvError> {
        let Some(after) = self.revision else {
            if self.topic != WatchTopic::SCOUT {
                wait_for_store(&self.core).await;
            }
            return list_soon(&self.core, self.topic).await;
        };
        if self.fine {
            match rest(&self.core, self.topic).await {
                RestEnd::NoRest => {}
                RestEnd::Behind => return follow(&self.core, self.topic, after, ANY_NEWS).await,
                RestEnd::Over => return look(&self.core, self.topic).await,
            }
        }
        // An answer at once shows that a store that was lost is back.
        let wait = if self.fine {
            self.core.settings.watch_wait()
        } else {
            ANY_NEWS
        };
        follow(&self.core, self.topic, after, wait).await
    }

    fn log(&self, kind: &'static str, key: &str, value: impl serde::Serialize) {
        let topic = format!("{:?}", self.topic);
        self.core
            .log
            .write(kind, serde_json::json!({"topic": topic, key: value}));
    }

    fn note_answer(&mut self, next: StoreRevision) {
        if !self.fine {
            self.log("store-back", "revision", next);
        }
        self.fine = true;
        self.revision = Some(next);
        self.retry = RETRY_LEAST;
        if self.topic == WatchTopic::SCOUT {
            self.core.store_serves.send_replace(true);
        }
        if self.topic == WatchTopic::Operator {
            self.core.operator_revision.set(Some(next));
        }
    }

    fn note_compacted(&mut self) {
        self.log("store-compacted", "revision", self.revision);
        self.core.note_store_failure();
        self.revision = None;
    }

    async fn pause_after(&mut self, error: &KvError) {
        self.core.note_store_failure();
        self.core.metrics.note_store("follow", "failed");
        self.log("store-lost", "error", error.to_string());
        self.fine = false;
        let is_scout = self.topic == WatchTopic::SCOUT;
        if is_scout {
            self.core.store_serves.send_replace(false);
        }
        let jitter = rand::rng().random_range(RETRY_JITTER);
        sleep(self.retry.mul_f64(jitter)).await;
        // A node that knows nothing yet goes on asking soon.
        if self.revision.is_some() {
            self.retry = (self.retry * 2).min(RETRY_MOST);
        }
        if !is_scout {
            wait_for_store(&self.core).await;
        }
    }
}

/// Why a rest ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RestEnd {
    /// There was none: this node reads, or nobody does for it.
    NoRest,
    /// The readers know what this node does not.
    Behind,
    /// It is time to look.
    Over,
}

/// Leaves the reading of a topic to the readers of the region for as long as this node hears of them and
/// knows the same.
///
/// A change wakes each watch that waits: 195 nodes made 28 calls each in 34 s, most of them for news that
/// they had from other nodes already.
async fn rest(core: &EntryCore, topic: WatchTopic) -> RestEnd {
    let young = core.started.elapsed() < ACQUAINT_TIME;
    if young || topic.digest().is_none() || has_duty(core, READER_DUTY, READERS) {
        return RestEnd::NoRest;
    }
    let since = Instant::now();
    let most = core.settings.store_history.mul_f64(LOOK_PART);
    let mut end = RestEnd::NoRest;
    while since.elapsed() < most {
        match reader_cover(core, topic, Instant::now()) {
            CoverState::Alone => return RestEnd::NoRest,
            CoverState::Behind => return RestEnd::Behind,
            CoverState::Covered => {}
        }
        note_rest(core, topic, true);
        sleep(COVER_LOOK).await;
        note_rest(core, topic, false);
        end = RestEnd::Over;
    }
    end
}

fn note_rest(core: &EntryCore, topic: WatchTopic, rests: bool) {
    if topic == WatchTopic::Operator {
        core.rests.set(rests);
    }
}

/// Looks at a topic that others read, at a tenth of the price of a call. What it shows may be seconds old;
/// what this node knows of later revisions stays as it is.
async fn look(core: &Rc<EntryCore>, topic: WatchTopic) -> Result<StoreRevision, KvError> {
    let listing = core.store.old_items(topic.prefix(), LIST_TIME).await?;
    Ok(take_listing(core, topic, listing))
}

/// Gives the pause after news.
fn gather_time(core: &EntryCore, topic: WatchTopic) -> Duration {
    if topic == WatchTopic::Replicas && !has_duty(core, READER_DUTY, READERS) {
        return GATHER_BACKUP;
    }
    let others = core.contacts.borrow().len();
    let pause = GATHER_TIME + GATHER_EACH * u32::try_from(others).unwrap_or(u32::MAX);
    pause.min(GATHER_MOST)
}

/// Lists a topic's keys, asking again while earlier asks hang, until one is answered or all that were
/// made have failed.
///
/// All topics ask at once when the process starts, since the store may be 160 ms away; while it hangs
/// the scout alone goes on asking, and the others ask again when it was answered.
async fn list_soon(core: &Rc<EntryCore>, topic: WatchTopic) -> Result<StoreRevision, KvError> {
    let ask = || async {
        let sent = core.clock.now();
        let listing = core.store.items(topic.prefix(), LIST_TIME).await?;
        Ok((listing, sent))
    };
    let mut asks = FuturesUnordered::from_iter([ask()]);
    let mut serves = core.store_serves.subscribe();
    loop {
        let goes_on = topic == WatchTopic::SCOUT || *serves.borrow_and_update();
        tokio::select! {
            answer = asks.next() => match answer {
                Some(Ok((listing, sent))) => {
                    let revision = take_listing(core, topic, listing);
                    note_shown(core, topic, sent);
                    return Ok(revision);
                }
                Some(Err(error)) if asks.is_empty() => return Err(error),
                _ => {}
            },
            () = sleep(LIST_PAUSE), if goes_on => {
                if topic == WatchTopic::SCOUT {
                    core.store_serves.send_replace(false);
                }
                asks.push(ask());
            }
            _ = serves.wait_for(|serves| *serves), if !goes_on => asks.push(ask()),
        }
    }
}

/// Notes that a call which was sent at a moment showed all of a topic.
fn note_shown(core: &EntryCore, topic: WatchTopic, sent: Duration) {
    if topic == WatchTopic::Operator {
        note_proof(core, sent);
    }
}

/// Waits until the scout found the store serving; each further call to a store that is away has its price.
pub(crate) async fn wait_for_store(core: &EntryCore) {
    let mut serves = core.store_serves.subscribe();
    // The sender lives as long as the process, so that there is no other end of this wait.
    let _ = serves.wait_for(|serves| *serves).await;
}

async fn follow(
    core: &Rc<EntryCore>,
    topic: WatchTopic,
    after: StoreRevision,
    wait: Duration,
) -> Result<StoreRevision, KvError> {
    let sent = core.clock.now();
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
        take_event(core, event, now);
    }
    note_shown(core, topic, sent);
    if !quiet {
        sleep(gather_time(core, topic)).await;
    }
    Ok(changes.revision.max(after))
}

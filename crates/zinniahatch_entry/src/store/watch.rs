//! Watches on the store: desired state, evacuations, replicas and the preset.
//!
//! A few nodes of a region read the store; the others learn the changes from them, and fetch what
//! differs from one of them. They read the store themselves only if no such node is left.

use crate::auth::proofs::note_proof;
use crate::core::EntryCore;
use crate::nodes::own_info::store_reader_coverage;
use crate::nodes::roles::STORE_READER_ROLE;
use crate::nodes::roles::STORE_READERS;
use crate::nodes::roles::holds_role;
use crate::nodes::snapshot::fetch_snapshot;
use crate::store::updates::apply_event;
use crate::store::updates::apply_listed_page;
use crate::store::updates::apply_listing;
use crate::store::watch_topic::WatchTopic;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::RngExt;
use std::cell::Cell;
use std::rc::Rc;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;
use zinniahatch_config::PRESET_KEY;
use zinniahatch_platform::KvError;
use zinniahatch_platform::PageCursor;
use zinniahatch_platform::StoreListing;
use zinniahatch_route::CoverageState;
use zinniahatch_route::ReadRange;
use zinniahatch_route::ReaderCoverage;
use zinniahatch_route::StoreProgress;
use zinniahatch_route::read_pause;

/// Number of nodes per region that watch the preset; the others learn it by gossip. A watch on
/// every node cost three calls per minute and node for a value that changes a few times a day.
const PRESET_WATCHERS: usize = 2;
/// Role name that is hashed to rank these nodes.
const PRESET_WATCHER_ROLE: &str = "preset";
/// Interval between checks whether this node holds that role.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a watch returned changes, so that changes in quick succession cost one call.
const COALESCE_PAUSE: Duration = Duration::from_millis(350);
/// Extra pause for each other node. A change wakes the watch of every node, so the calls per change
/// grow with the fleet; at 89 nodes they made up 0.032 of the cost of a calm day.
const COALESCE_PAUSE_PER_NODE: Duration = Duration::from_millis(8);
/// Longest pause: new desired states must be in force, and removed replicas out of use, within four
/// seconds.
const MAX_COALESCE_PAUSE: Duration = Duration::from_millis(1_200);
/// Pause after replica changes on a node that learns them from the store readers of its region. Its
/// own watch only covers lost datagrams, and must still deliver the changes within four seconds.
const BACKUP_WATCH_PAUSE: Duration = Duration::from_millis(2_500);
/// Time for which a node of a large region waits for other nodes to read the store in its place, and
/// the jitter that spreads those that then read it themselves. The nodes that read it take over from
/// each other within a few seconds; if all nodes did so at once, the store would have to send each
/// the entries of all replicas.
const READER_WAIT: Duration = Duration::from_secs(10);
const READER_WAIT_JITTER: std::ops::Range<f64> = 1.0..2.0;
/// Time in which a node that has started learns whether its region is large.
const FIRST_CONTACT_TIME: Duration = Duration::from_millis(500);
/// Fetches in a row from store readers after which a node whose state still differs reads the store
/// itself.
const MAX_FETCHES: usize = 3;
/// Interval between checks whether the store readers are alive and this node has the same state.
const COVERAGE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time limit for a page of a listing; a store that is merely slow answers within it.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay before another listing is sent alongside those without an answer. A node without a desired
/// state cannot serve: after a power loss of all nodes while the store hung, nodes waited up to 1.9
/// s after its recovery for calls that it had never received.
const LIST_HEDGE_DELAY: Duration = Duration::from_millis(400);
/// Wait time of a watch call that returns at once with the changes so far.
const NO_WAIT: Duration = Duration::ZERO;
/// Shortest and longest pause after a failed call, and the jitter that spreads the nodes. During an
/// outage of 5 s each node calls the store about seven times.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(250);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(1);
const RETRY_JITTER: std::ops::Range<f64> = 0.6..1.2;

/// Watches a topic until the process ends.
pub(crate) async fn run_watch(core: Rc<EntryCore>, topic: WatchTopic) {
    let mut watcher = TopicWatcher {
        core,
        topic,
        revision: None,
        healthy: true,
        retry_pause: MIN_RETRY_PAUSE,
        discarded: StoreRevision::default(),
        read_beside: Cell::default(),
    };
    loop {
        if topic == WatchTopic::Preset
            && !holds_role(&watcher.core, PRESET_WATCHER_ROLE, PRESET_WATCHERS)
        {
            sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        match watcher.poll().await {
            Ok(next) => watcher.note_success(next),
            Err(KvError::Compacted) => watcher.note_compacted(),
            Err(error @ KvError::Excess(_)) => {
                // The same call would get the same changes; pages are bounded.
                if watcher.known_upto().is_some() {
                    watcher.note_compacted();
                }
                watcher.pause_after(&error).await;
            }
            Err(error) => watcher.pause_after(&error).await,
        }
    }
}

/// The watch of one topic.
struct TopicWatcher {
    core: Rc<EntryCore>,
    topic: WatchTopic,
    /// The revision up to which the topic is known, or `None` if it has to be listed.
    revision: Option<StoreRevision>,
    /// Whether the last call succeeded.
    healthy: bool,
    /// Pause after the next failure.
    retry_pause: Duration,
    /// The revision up to which the store has discarded its history, as far as it said so.
    discarded: StoreRevision,
    /// The revision up to which changes were read beside a listing that has not succeeded yet.
    read_beside: Cell<Option<StoreRevision>>,
}

impl TopicWatcher {
    /// Lists the topic or waits for changes, and returns the revision reached.
    async fn poll(&self) -> Result<StoreRevision, KvError> {
        // The recovery probe goes on after a failed call, since other tasks wait for its success.
        let must_probe = self.topic == WatchTopic::RECOVERY_PROBE && !self.healthy;
        if !must_probe && (self.revision.is_some() || self.core.is_initialized()) {
            rely_on_readers(&self.core, self.topic).await;
        }
        let Some(after) = self.known_upto() else {
            if self.topic != WatchTopic::RECOVERY_PROBE {
                wait_for_store(&self.core).await;
            }
            return self.list().await;
        };
        // After an outage, an immediate answer shows that the store is back.
        let wait = if self.healthy {
            self.core.settings.watch_wait()
        } else {
            NO_WAIT
        };
        let read = read_changes(&self.core, self.topic, after, wait).await?;
        note_read(&self.core, self.topic, read);
        pause_after_changes(&self.core, self.topic, read.changes).await;
        Ok(read.range.upto)
    }

    /// Returns the revision after which to read on, unless the store has discarded that history. What
    /// the readers had read when they informed this node need not be read again.
    fn known_upto(&self) -> Option<StoreRevision> {
        let known = self.revision.max(self.core.covered(self.topic));
        known.filter(|known| *known > self.discarded)
    }

    /// Lists the topic, or waits for the listing of another node if it takes several pages.
    async fn list(&self) -> Result<StoreRevision, KvError> {
        let core = &self.core;
        if self.topic != WatchTopic::Replicas {
            return list_whole(core, self.topic).await;
        }
        if core.is_initialized() {
            return self.list_beside_watch().await;
        }
        if let Some(revision) = list_one_page(core, self.topic).await? {
            return Ok(revision);
        }
        let until = Instant::now() + reader_wait();
        while Instant::now() < until
            && !core.has_listed_replicas()
            && !holds_role(core, STORE_READER_ROLE, STORE_READERS)
        {
            sleep(ROLE_CHECK_INTERVAL / 4).await;
        }
        rely_on_readers(core, self.topic).await;
        list_whole(core, self.topic).await
    }

    /// Lists the topic, and applies changes meanwhile.
    ///
    /// A listing of many pages takes longer than a replica takes to leave, and the readers of a region
    /// may lose the store's history at the same time.
    async fn list_beside_watch(&self) -> Result<StoreRevision, KvError> {
        let core = &self.core;
        core.replica_updates.borrow_mut().note_gap();
        let head = core
            .store
            .items_on_one_page(PRESET_KEY, LIST_TIMEOUT)
            .await?;
        let head = head.map(|listing| listing.revision).unwrap_or_default();
        let mut reached = self.read_beside.get().unwrap_or(head);
        let watching = async {
            loop {
                let wait = core.settings.watch_wait();
                match read_changes(core, self.topic, reached, wait).await {
                    Ok(read) => {
                        reached = read.range.upto;
                        self.read_beside.set(Some(reached));
                        pause_after_changes(core, self.topic, read.changes).await;
                    }
                    Err(KvError::Compacted) => {
                        self.read_beside.set(None);
                        return;
                    }
                    Err(_) => return,
                }
            }
        };
        let listing = list_by_pages(core, self.topic);
        tokio::pin!(listing);
        tokio::select! {
            listed = &mut listing => listed?,
            () = watching => listing.await?,
        };
        Ok(self.read_beside.take().unwrap_or(head))
    }

    fn log(&self, kind: &'static str, key: &str, value: impl serde::Serialize) {
        let topic = format!("{:?}", self.topic);
        self.core
            .log
            .write(kind, serde_json::json!({"topic": topic, key: value}));
    }

    fn note_success(&mut self, next: StoreRevision) {
        if !self.healthy {
            self.log("store-back", "revision", next);
        }
        self.healthy = true;
        self.revision = Some(next);
        self.core.note_read(self.topic, next);
        self.retry_pause = MIN_RETRY_PAUSE;
        if self.topic == WatchTopic::RECOVERY_PROBE {
            self.core.store_reachable.send_replace(true);
        }
        match self.topic {
            WatchTopic::Operator => self.core.operator_revision.set(Some(next)),
            WatchTopic::Replicas => self.core.replicas_revision.set(Some(next)),
            WatchTopic::Preset => {}
        }
    }

    fn note_compacted(&mut self) {
        let known = self.known_upto();
        self.log("store-compacted", "revision", known);
        self.discarded = self.discarded.max(known.unwrap_or_default());
        let mut replicas = self.core.replicas.borrow_mut();
        replicas.note_history_lost(Instant::now());
        drop(replicas);
        self.revision = None;
    }

    async fn pause_after(&mut self, error: &KvError) {
        self.core.note_store_failure();
        self.core.metrics.note_store("follow", error.name());
        self.log("store-lost", "error", error.to_string());
        self.healthy = false;
        let is_recovery_probe = self.topic == WatchTopic::RECOVERY_PROBE;
        if is_recovery_probe {
            self.core.store_reachable.send_replace(false);
        }
        let jitter = rand::rng().random_range(RETRY_JITTER);
        sleep(self.retry_pause.mul_f64(jitter)).await;
        // A node without any state keeps retrying at the shortest pause.
        if self.revision.is_some() {
            self.retry_pause = (self.retry_pause * 2).min(MAX_RETRY_PAUSE);
        }
        if !is_recovery_probe {
            wait_for_store(&self.core).await;
        }
    }
}

/// Leaves reading a topic to the store readers of the region for as long as they are active and
/// this node has the same state, or gets it from one of them.
///
/// A change wakes every waiting watch: 195 nodes made 28 calls each in 34 s, mostly for changes
/// that they had already learned from other nodes.
async fn rely_on_readers(core: &Rc<EntryCore>, topic: WatchTopic) {
    if topic.reported_parts().is_none() {
        return;
    }
    let mut fetches = 0;
    let mut unread_since = None;
    let max_unread = reader_wait();
    while fetches < MAX_FETCHES && !holds_role(core, STORE_READER_ROLE, STORE_READERS) {
        match store_reader_coverage(core, topic, Instant::now()) {
            CoverageState::NoReaders => {
                let since = *unread_since.get_or_insert(Instant::now());
                let is_small =
                    !core.uses_relays.get() && core.started.elapsed() >= FIRST_CONTACT_TIME;
                if is_small || since.elapsed() >= max_unread {
                    return;
                }
            }
            CoverageState::Behind => {
                let awaited = awaited_revision(core, topic);
                core.log.write(
                    "behind-readers",
                    serde_json::json!({"topic": format!("{topic:?}"), "awaited": awaited}),
                );
                fetch_from_reader(core, topic, awaited).await;
                fetches += 1;
            }
            CoverageState::Current => {
                fetches = 0;
                unread_since = None;
            }
        }
        set_watch_skipped(core, topic, true);
        sleep(COVERAGE_CHECK_INTERVAL).await;
        set_watch_skipped(core, topic, false);
    }
}

fn reader_wait() -> Duration {
    READER_WAIT.mul_f64(rand::rng().random_range(READER_WAIT_JITTER))
}

/// Returns the revision that a reader needs to have read so that it has what this node lacks.
fn awaited_revision(core: &EntryCore, topic: WatchTopic) -> Option<StoreRevision> {
    let coverage = core.topic_coverage.borrow();
    coverage.get(&topic).map(ReaderCoverage::awaited)
}

/// Fetches what differs from a store reader of the region that has read up to a revision.
async fn fetch_from_reader(
    core: &Rc<EntryCore>,
    topic: WatchTopic,
    awaited: Option<StoreRevision>,
) {
    let reader = {
        let members = core.members.borrow();
        let random = core.next_ticket();
        let has_read = |progress: Option<StoreProgress>| {
            let read_at = topic.reported_parts().zip(progress);
            let read_at = read_at.map(|((_, part), progress)| part(&progress));
            read_at >= awaited
        };
        let reader = members.store_reader(&core.settings.region, has_read, random, Instant::now());
        reader.and_then(|info| members.permit(&info.node))
    };
    if let Some(reader) = reader {
        fetch_snapshot(core, reader).await;
    }
}

fn set_watch_skipped(core: &EntryCore, topic: WatchTopic, skips: bool) {
    if topic == WatchTopic::Operator {
        core.skips_watch.set(skips);
    }
}

/// Returns the pause after changes.
fn coalesce_pause(core: &EntryCore, topic: WatchTopic) -> Duration {
    if topic == WatchTopic::Replicas && !holds_role(core, STORE_READER_ROLE, STORE_READERS) {
        return BACKUP_WATCH_PAUSE;
    }
    let others = core.heartbeat_targets.borrow().len();
    let pause =
        COALESCE_PAUSE + COALESCE_PAUSE_PER_NODE * u32::try_from(others).unwrap_or(u32::MAX);
    pause.min(MAX_COALESCE_PAUSE)
}

/// Lists a topic's keys. Only the first page is hedged: a listing of many pages takes longer than
/// the delay of the hedge, and each further call would list all of them again.
async fn list_whole(core: &Rc<EntryCore>, topic: WatchTopic) -> Result<StoreRevision, KvError> {
    if let Some(revision) = list_one_page(core, topic).await? {
        return Ok(revision);
    }
    let sent = core.clock.now();
    let listing = core.store.items(topic.prefix(), LIST_TIMEOUT).await?;
    let revision = apply_listing(core, topic, listing);
    note_topic_proof(core, topic, sent);
    Ok(revision)
}

/// Lists a topic's keys with hedged calls, until one is answered or all of them have failed; returns
/// `None` if they do not fit on one page.
///
/// At start all topics are listed at once, since a round trip to the store may take 160 ms. While
/// the store hangs only the recovery probe sends further calls, and the others send theirs once it
/// was answered.
async fn list_one_page(
    core: &Rc<EntryCore>,
    topic: WatchTopic,
) -> Result<Option<StoreRevision>, KvError> {
    let send_listing = || async {
        let sent = core.clock.now();
        let prefix = topic.prefix();
        let listing = core.store.items_on_one_page(prefix, LIST_TIMEOUT).await?;
        Ok((listing, sent))
    };
    let mut pending = FuturesUnordered::from_iter([send_listing()]);
    let mut reachable = core.store_reachable.subscribe();
    loop {
        let hedges = topic == WatchTopic::RECOVERY_PROBE || *reachable.borrow_and_update();
        tokio::select! {
            result = pending.next() => match result {
                Some(Ok((None, _))) => return Ok(None),
                Some(Ok((Some(listing), sent))) => {
                    let revision = apply_listing(core, topic, listing);
                    note_topic_proof(core, topic, sent);
                    return Ok(Some(revision));
                }
                Some(Err(error)) if pending.is_empty() => return Err(error),
                _ => {}
            },
            () = sleep(LIST_HEDGE_DELAY), if hedges => {
                if topic == WatchTopic::RECOVERY_PROBE {
                    core.store_reachable.send_replace(false);
                }
                pending.push(send_listing());
            }
            _ = reachable.wait_for(|up| *up), if !hedges => pending.push(send_listing())
        }
    }
}

/// Records that a call sent at `sent` returned the full state of a topic.
fn note_topic_proof(core: &EntryCore, topic: WatchTopic, sent: Duration) {
    if topic == WatchTopic::Operator {
        note_proof(core, sent);
    }
}

/// Waits until the recovery probe finds the store available, since every call during an outage has
/// a cost.
pub(crate) async fn wait_for_store(core: &EntryCore) {
    let mut reachable = core.store_reachable.subscribe();
    // The sender lives as long as the process, so the wait cannot end otherwise.
    let _ = reachable.wait_for(|up| *up).await;
}

/// Lists a topic's keys, and applies each page as it comes.
async fn list_by_pages(core: &Rc<EntryCore>, topic: WatchTopic) -> Result<(), KvError> {
    let mut cursor = PageCursor::default();
    let mut items = Vec::new();
    let mut rejected = Vec::new();
    loop {
        let prefix = topic.prefix();
        let page = core
            .store
            .next_page(prefix, LIST_TIMEOUT, &[], &mut cursor)
            .await?;
        apply_listed_page(core, &page.items);
        items.extend(page.items);
        rejected.extend(page.rejected);
        if cursor.is_at_end() {
            let listing = StoreListing {
                items,
                rejected,
                revision: page.revision,
            };
            apply_listing(core, topic, listing);
            return Ok(());
        }
    }
}

/// Changes that were read and applied.
#[derive(Clone, Copy)]
struct ChangeRead {
    /// Their number.
    changes: usize,
    /// The revisions that they cover.
    range: ReadRange,
    /// Whether all of them were queued for the nodes of the region.
    for_region: bool,
}

/// Records that this node has read all changes of a topic up to a revision.
fn note_read(core: &EntryCore, topic: WatchTopic, read: ChangeRead) {
    let range = read.range;
    core.note_read(topic, range.upto);
    match topic {
        WatchTopic::Operator => core.operator_revision.set(Some(range.upto)),
        WatchTopic::Replicas => {
            core.replicas_revision.set(Some(range.upto));
            let mut updates = core.replica_updates.borrow_mut();
            if read.for_region {
                updates.note_read(range);
            } else {
                updates.note_gap();
            }
        }
        WatchTopic::Preset => {}
    }
}

/// Waits for changes of a topic after a revision and applies them.
async fn read_changes(
    core: &Rc<EntryCore>,
    topic: WatchTopic,
    after: StoreRevision,
    wait: Duration,
) -> Result<ChangeRead, KvError> {
    let sent = core.clock.now();
    // A store that hangs or rejects this node may leave a waiting watch without an answer, and the
    // node would send to replicas that have left until the wait times out.
    let changes = tokio::select! {
        changes = core.store.changes(topic.prefix(), after, wait) => changes?,
        () = core.store_lost.notified() => {
            return Err(KvError::Unknown("the renewal of the lease failed".into()));
        }
    };
    core.metrics.note_store("watch", "done");
    let now = Instant::now();
    let upto = changes.revision.max(after);
    let count = changes.events.len();
    let had_role = holds_role(core, STORE_READER_ROLE, STORE_READERS);
    if had_role && topic == WatchTopic::Replicas {
        core.log.write(
            "replicas-read",
            serde_json::json!({"changes": count, "after": after, "upto": upto,
                "waited_ms": core.clock.now().saturating_sub(sent).as_millis() as u64}),
        );
    }
    for event in changes.events {
        apply_event(core, event, now);
    }
    note_topic_proof(core, topic, sent);
    Ok(ChangeRead {
        changes: count,
        range: ReadRange { after, upto },
        for_region: had_role && holds_role(core, STORE_READER_ROLE, STORE_READERS),
    })
}

/// Pauses after changes were read, so that those that follow soon share a call.
async fn pause_after_changes(core: &EntryCore, topic: WatchTopic, changes: usize) {
    if changes > 0 {
        sleep(read_pause(changes, coalesce_pause(core, topic))).await;
    }
}

//! Suspect requests, which may crash the replicas that run them (poison requests).
//!
//! Failure: a request crashes each replica that begins it. Its caller retries under a new id,
//! mostly at another node; treated as a new request each time, it crashes replica after replica,
//! along with everything else that runs there.
//!
//! Guard: retries share the digest of their content. Each node records the contents that it had in
//! flight on a replica that crashed, and all nodes share these records. A content under which three
//! replicas crashed, without a complete response in between, is quarantined: every node refuses it
//! at once until the quarantine expires.
//!
//! Innocent requests that ran beside it are spared in three ways. A complete response clears a
//! content and keeps it clear for a while. The crash of a replica counts only against the contents
//! with most crashes that were on it, among equals against the one that had run for the shortest
//! time, since these explain it. Nothing but crashes counts: broken connections, silence and power
//! loss do not.

use crate::recent_responses::RecentResponses;
use crate::update_queue::UpdateBatch;
use crate::update_queue::UpdateQueue;
use crate::update_queue::UpdateTarget;
use std::cmp::Reverse;
use zinniahatch_base::prelude::*;

/// Crashes under one content from which it is quarantined. Two also happen to innocent requests:
/// the streams of the first replica are resumed together on the next one.
const ACCUSED_CRASHES: usize = 3;
/// Crashes remembered per content; each beyond the third doubles the quarantine, up to 80 minutes.
const MAX_CRASHES: usize = 6;
/// Duration of the first quarantine, counted from the last crash. A program that retries comes back
/// many times within it; a content quarantined wrongly, or one whose replicas were fixed, is free
/// again soon.
const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// Time after the last crash in which the nodes of a region exchange what they had on the replica:
/// normally 5 ms, some tens of ms where a node has a tenth of a core. A content with enough crashes
/// waits for it. Judged at once, a popular request was quarantined for 5 ms, until the update on
/// the request that had crashed the replicas arrived.
const SETTLE_TIME: Duration = Duration::from_millis(100);
/// The same time where another content would explain the crashes if one of its reports were late. A
/// node that stands still reports late, and a refusal costs more than this wait, in which the
/// content is not sent.
const LATE_REPORT_TIME: Duration = Duration::from_secs(1);
/// Difference of two contents' run times up to which they cannot be told apart, since nodes learn
/// of a crash some tens of milliseconds apart. A request that began just after a fatal one on three
/// replicas was quarantined in its place; if three crashes leave that open, a fourth is required.
const TIE_TOLERANCE: Duration = Duration::from_millis(100);
/// Time between two crash reports of one replica incarnation up to which they are the same crash,
/// seen by several nodes. A replica that restarts under the same id is away for seconds.
const SAME_CRASH_TIME: Duration = Duration::from_secs(1);
/// Largest number of contents remembered, some 200 KB. The loss of a region with 400 replicas makes
/// more of them suspect; those with fewest crashes are evicted first.
const MAX_ROWS: usize = 2_048;
/// Crashes from which updates of a content are sent to all nodes at once and repeated: a single
/// node that learns late may cost another replica.
const BROADCAST_CRASHES: usize = 2;

/// Crash of a replica incarnation while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReplicaCrash {
    replica: ShortTag,
    at: Instant,
    /// How long the first request of the content had been in flight there.
    ran: Duration,
}

impl ReplicaCrash {
    fn is_same(&self, other: &Self) -> bool {
        let apart = self.at.max(other.at).duration_since(self.at.min(other.at));
        self.replica == other.replica && apart < SAME_CRASH_TIME
    }
}

/// What is known of one content.
#[derive(Clone, Debug, Default)]
struct SuspectRow {
    /// Last crashes under it, oldest first.
    crashes: Vec<ReplicaCrash>,
    /// Time of its last complete response; crashes up to then do not count.
    cleared: Option<Instant>,
    /// Whether this node observed one of the crashes, or the response that cleared it of them.
    local: bool,
    /// Whether it has had enough crashes for its updates to go to all nodes at once.
    broadcast: bool,
    /// Whether the platform's store contains it.
    persisted: bool,
}

impl SuspectRow {
    /// Adds a crash; returns whether it is new, or a request of the content had been in flight for
    /// longer than known.
    fn add(&mut self, crash: ReplicaCrash) -> bool {
        if self.cleared.is_some_and(|cleared| crash.at <= cleared) {
            return false;
        }
        if let Some(known) = self.crashes.iter_mut().find(|known| known.is_same(&crash)) {
            let longer = crash.ran > known.ran;
            known.ran = known.ran.max(crash.ran);
            return longer;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|known| known.at);
        let is_full = self.crashes.len() > MAX_CRASHES;
        let dropped = is_full.then(|| self.crashes.remove(0));
        self.broadcast |= self.crashes.len() >= BROADCAST_CRASHES;
        dropped != Some(crash)
    }

    /// Records a complete response; returns whether it cleared any crashes.
    fn clear(&mut self, at: Instant) -> bool {
        if self.cleared.is_some_and(|cleared| at <= cleared) {
            return false;
        }
        self.cleared = Some(at);
        let before = self.crashes.len();
        self.crashes.retain(|crash| crash.at > at);
        self.crashes.len() < before
    }

    /// Returns the total time that requests of the content had been in flight on the crashed
    /// replicas.
    fn ran(&self) -> Duration {
        self.crashes.iter().map(|crash| crash.ran).sum()
    }

    /// Returns how long this and another content had been in flight on the replicas that crashed
    /// under both; `None` if there are none.
    fn ran_beside(&self, other: &Self) -> Option<(Duration, Duration)> {
        let mut shared = None;
        for crash in &self.crashes {
            let Some(known) = other.crashes.iter().find(|known| known.is_same(crash)) else {
                continue;
            };
            let (own, others) = shared.unwrap_or_default();
            shared = Some((own + crash.ran, others + known.ran));
        }
        shared
    }

    /// Returns whether another content would explain a crash of this one if one of its reports were
    /// late: it was on some of the replicas, for a shorter time, and is not known to have been on all.
    fn has_rival(&self, other: &Self) -> bool {
        let is_close = other.crashes.len() + 1 >= self.crashes.len();
        let Some((own, others)) = self.ran_beside(other).filter(|_| is_close) else {
            return false;
        };
        let is_on = |crash| other.crashes.iter().any(|known| known.is_same(crash));
        // A further crash tells apart what three crashes do not.
        let is_shorter = if self.crashes.len() == ACCUSED_CRASHES {
            others < own + TIE_TOLERANCE
        } else {
            others + TIE_TOLERANCE <= own
        };
        is_shorter && !self.crashes.iter().all(is_on)
    }

    fn is_accused(&self) -> bool {
        self.crashes.len() >= ACCUSED_CRASHES
    }

    /// Returns the duration of the quarantine, from the last crash.
    fn span(&self) -> Duration {
        let beyond = self.crashes.len().saturating_sub(ACCUSED_CRASHES) as u32;
        QUARANTINE_TIME * 2_u32.pow(beyond)
    }

    /// Returns when anything was last learned of the content.
    fn last(&self) -> Option<Instant> {
        self.crashes.last().map(|crash| crash.at).max(self.cleared)
    }

    /// Returns whether the row is still needed. A content that was quarantined is remembered for as
    /// long again, so that a single crash quarantines it anew.
    fn is_current(&self, now: Instant) -> bool {
        let max = if self.is_accused() {
            self.span() * 2
        } else {
            QUARANTINE_TIME
        };
        self.last()
            .is_some_and(|at| now.saturating_duration_since(at) <= max)
    }
}

domain! {
    /// Crash of a replica as reported to other nodes; times are sent as ages, since clocks differ.
    #[derive(Copy, Eq)]
    pub struct ReportedCrash {
        /// Tag of the replica incarnation.
        pub replica: ShortTag,
        /// Time since the crash, in ms.
        pub age_ms: u32,
        /// How long the first request of the content had been in flight there, in ms.
        pub ran_ms: u32,
    }

    /// Update about one content, sent between nodes.
    pub struct SuspectUpdate {
        /// The content.
        pub content: ContentDigest,
        /// Crashes of replicas that ran it.
        pub crashes: Vec<ReportedCrash>,
        /// Time since its last complete response, in ms.
        pub cleared: Option<u32>,
    }
}

/// Updates on contents that are due, by recipients.
pub type SuspectUpdateBatch = UpdateBatch<SuspectUpdate>;

/// Effect of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectUpdateEffect {
    /// Nothing changed.
    Known,
    /// Something new was learned.
    Learned,
    /// The sender has not learned yet that the content was answered in full.
    Outdated,
}

/// A content whose quarantine began or ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineChange {
    /// The content.
    pub content: ContentDigest,
    /// Number of crashes under it.
    pub crashes: usize,
    /// Remaining quarantine; `None` if it ended.
    pub left: Option<Duration>,
    /// Whether the platform's store still contains it although its quarantine ended.
    pub persisted: bool,
}

/// All contents under which replicas crashed.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    rows: BTreeMap<ContentDigest, SuspectRow>,
    /// Replica incarnations whose crashes prompt parts in quarantine explain.
    explained_by_parts: BTreeSet<ShortTag>,
    /// Contents that were quarantined at the last review.
    quarantined: BTreeSet<ContentDigest>,
    /// Contents with pending updates.
    pending: UpdateQueue<ContentDigest>,
    /// Recent complete responses, which clear their contents.
    recent_responses: RecentResponses<ContentDigest>,
}

impl SuspectTable {
    /// Records the crash of a replica on which this node had had a request of the content in flight
    /// for `ran`; returns whether it counts.
    pub fn note_crash(
        &mut self,
        content: ContentDigest,
        replica: ShortTag,
        ran: Duration,
        now: Instant,
    ) -> bool {
        if self.recent_responses.contains(content, now) {
            return false;
        }
        let row = self.rows.entry(content).or_default();
        // Rounded as in updates, so that all nodes compare the same values.
        let ran = Duration::from_millis(u64::from(millis(ran)));
        let counts = row.add(ReplicaCrash {
            replica,
            at: now,
            ran,
        });
        row.local = true;
        if counts {
            self.add_pending(content);
            self.evict_excess();
        }
        counts
    }

    /// Records a complete response; returns whether it cleared the content of suspicion.
    pub fn note_complete_response(&mut self, content: ContentDigest, now: Instant) -> bool {
        self.recent_responses.note(content, now);
        let Some(row) = self.rows.get_mut(&content) else {
            return false;
        };
        let cleared = row.clear(now);
        if cleared {
            row.local = true;
            self.add_pending(content);
        }
        cleared
    }

    /// Applies an update of another node or the store; `relay` says whether to pass on what is new.
    pub fn apply_update(
        &mut self,
        update: &SuspectUpdate,
        relay: bool,
        now: Instant,
    ) -> SuspectUpdateEffect {
        let at = |age: u32| {
            let age = Duration::from_millis(u64::from(age));
            now.checked_sub(age).unwrap_or(now)
        };
        let row = self.rows.entry(update.content).or_default();
        let mut learned = update.cleared.is_some_and(|age| row.clear(at(age)));
        for crash in &update.crashes {
            learned |= row.add(ReplicaCrash {
                replica: crash.replica,
                at: at(crash.age_ms),
                ran: Duration::from_millis(u64::from(crash.ran_ms)),
            });
        }
        let outdated = !learned && row.crashes.is_empty() && !update.crashes.is_empty();
        // Updates on contents with more crashes went to all nodes.
        if learned && relay && !row.broadcast {
            self.add_pending(update.content);
        }
        self.evict_excess();
        match (learned, outdated) {
            (true, _) => SuspectUpdateEffect::Learned,
            (_, true) => SuspectUpdateEffect::Outdated,
            _ => SuspectUpdateEffect::Known,
        }
    }

    /// Returns what the sender of an update does not know yet: that the content was answered in full
    /// after the crashes; `None` if it knows as much.
    pub fn correction(&self, update: &SuspectUpdate, now: Instant) -> Option<SuspectUpdate> {
        let row = self.rows.get(&update.content)?;
        let outdated = row.crashes.is_empty() && !update.crashes.is_empty();
        outdated.then(|| update_of(update.content, row, now))
    }

    /// Returns a content with enough crashes and no recent complete response, and the time of its
    /// last crash.
    fn accused_row(&self, content: ContentDigest, now: Instant) -> Option<(&SuspectRow, Instant)> {
        let row = self.rows.get(&content).filter(|row| row.is_accused())?;
        let last = row.crashes.last()?.at;
        (!self.recent_responses.contains(content, now)).then_some((row, last))
    }

    /// Returns the time until it can be decided whether a content is quarantined; `None` if it can
    /// be now.
    pub fn decision_delay(&self, content: ContentDigest, now: Instant) -> Option<Duration> {
        let (row, last) = self.accused_row(content, now)?;
        self.undecided_for(row, last, &self.explained_by_parts, now)
    }

    /// Returns the time until a content with enough crashes may be judged; `None` if it may be now.
    fn undecided_for(
        &self,
        row: &SuspectRow,
        last: Instant,
        explained: &BTreeSet<ShortTag>,
        now: Instant,
    ) -> Option<Duration> {
        let late = time_until(last + LATE_REPORT_TIME, now)?;
        if self.has_unexplained(row, explained)
            && self.rows.values().any(|other| row.has_rival(other))
        {
            return Some(late);
        }
        time_until(last + SETTLE_TIME, now)
    }

    /// Returns whether enough crashes of a content have no other explanation.
    fn has_unexplained(&self, row: &SuspectRow, explained: &BTreeSet<ShortTag>) -> bool {
        let unexplained = row
            .crashes
            .iter()
            .filter(|crash| !explained.contains(&crash.replica))
            .filter(|crash| !self.is_explained(row, crash));
        unexplained.count() >= ACCUSED_CRASHES
    }

    /// Returns the remaining quarantine of a content; `None` if it may run.
    pub fn quarantine_left(&self, content: ContentDigest, now: Instant) -> Option<Duration> {
        self.quarantine_left_beside(content, &self.explained_by_parts, now)
    }

    /// Returns the same if the crashes of `explained` replica incarnations do not count.
    pub fn quarantine_left_beside(
        &self,
        content: ContentDigest,
        explained: &BTreeSet<ShortTag>,
        now: Instant,
    ) -> Option<Duration> {
        let (row, last) = self.accused_row(content, now)?;
        let undecided = self.undecided_for(row, last, explained, now).is_some();
        if undecided || !self.has_unexplained(row, explained) {
            return None;
        }
        time_until(last + row.span(), now)
    }

    /// Returns whether another content explains a crash: one that was on the replica too and has
    /// more crashes, or as many and a shorter time on those replicas.
    ///
    /// A request that crashes the replicas which begin it never runs for long. Contents that had
    /// run for longer share its crashes only because nothing else had been answered yet: a popular
    /// request was in flight on every replica.
    fn is_explained(&self, row: &SuspectRow, crash: &ReplicaCrash) -> bool {
        let tolerance = if row.crashes.len() == ACCUSED_CRASHES {
            TIE_TOLERANCE
        } else {
            Duration::ZERO
        };
        let own_rank = (row.crashes.len(), Reverse(row.ran() + tolerance));
        self.rows.values().any(|other| {
            !std::ptr::eq(other, row)
                && (other.crashes.len(), Reverse(other.ran())) > own_rank
                && other.crashes.iter().any(|known| known.is_same(crash))
        })
    }

    /// Sets the replica incarnations whose crashes prompt parts in quarantine explain, so that they do
    /// not count against the requests beside.
    pub fn set_explained_by_parts(&mut self, replicas: BTreeSet<ShortTag>) {
        self.explained_by_parts = replicas;
    }

    /// Returns the replica incarnations whose crashes quarantined contents explain.
    pub fn explained_replicas(&self, now: Instant) -> BTreeSet<ShortTag> {
        let accused = self.rows.iter().filter(|(_, row)| row.is_accused());
        accused
            .filter(|(content, _)| self.quarantine_left(**content, now).is_some())
            .flat_map(|(_, row)| row.crashes.iter().map(|crash| crash.replica))
            .collect()
    }

    /// Returns the contents whose quarantine began or ended since the last review.
    pub fn review(&mut self, now: Instant) -> Vec<QuarantineChange> {
        let known = self.rows.iter().filter(|(_, row)| row.is_accused());
        let contents: BTreeSet<ContentDigest> = known
            .map(|(content, _)| *content)
            .chain(self.quarantined.iter().copied())
            .collect();
        let mut changes = Vec::new();
        for content in contents {
            let left = self.quarantine_left(content, now);
            let changed = if left.is_some() {
                self.quarantined.insert(content)
            } else {
                self.quarantined.remove(&content)
            };
            if !changed {
                continue;
            }
            let row = self.rows.get_mut(&content);
            let crashes = row.as_ref().map_or(0, |row| row.crashes.len());
            let persisted =
                left.is_none() && row.is_some_and(|row| std::mem::take(&mut row.persisted));
            changes.push(QuarantineChange {
                content,
                crashes,
                left,
                persisted,
            });
        }
        changes
    }

    /// Returns how many contents were quarantined at the last review.
    pub fn quarantined_count(&self) -> usize {
        self.quarantined.len()
    }

    /// Returns a quarantined content that this node observed crashing a replica and that the store
    /// does not contain yet.
    pub fn unpersisted(&self, now: Instant) -> Option<(SuspectUpdate, Duration)> {
        self.quarantined.iter().find_map(|content| {
            let row = self.rows.get(content)?;
            let left = self.quarantine_left(*content, now)?;
            (row.local && !row.persisted).then(|| (update_of(*content, row, now), left))
        })
    }

    /// Records that the store contains a content.
    pub fn note_persisted(&mut self, content: ContentDigest) {
        if let Some(row) = self.rows.get_mut(&content) {
            row.persisted = true;
        }
    }

    /// Forgets which contents the store contains, since it may have lost them; returns their
    /// number.
    pub fn forget_persisted(&mut self) -> usize {
        let mut count = 0;
        for row in self.rows.values_mut() {
            count += usize::from(std::mem::take(&mut row.persisted));
        }
        count
    }

    /// Returns whether updates are pending: those never sent and, with `again`, those that are still to
    /// be repeated.
    pub fn has_updates(&self, again: bool) -> bool {
        self.pending.is_due(again)
    }

    /// Returns up to `max` pending updates: those never sent and, with `again`, those that are
    /// still to be repeated.
    pub fn take_updates(&mut self, again: bool, max: usize, now: Instant) -> SuspectUpdateBatch {
        let rows = &self.rows;
        self.pending.take(again, max, |content| {
            let row = rows.get(&content)?;
            let target = match (row.broadcast, row.local) {
                (true, true) => UpdateTarget::Broadcast,
                (_, true) => UpdateTarget::Local,
                _ => UpdateTarget::Relayed,
            };
            Some((update_of(content, row, now), target))
        })
    }

    /// Returns a digest of the contents with enough crashes for quarantine; nodes whose digests
    /// differ exchange them.
    pub fn accused_digest(&self) -> u64 {
        let known = self.rows.iter().filter(|(_, row)| row.is_accused());
        known.fold(0, |digest, (content, _)| digest ^ content)
    }

    /// Returns updates for up to `max` contents with enough crashes for quarantine, in order from
    /// `start` and wrapping around.
    pub fn accused_updates(
        &self,
        start: ContentDigest,
        max: usize,
        now: Instant,
    ) -> Vec<SuspectUpdate> {
        let rows = self.rows.range(start..).chain(self.rows.range(..start));
        rows.filter(|(_, row)| row.is_accused())
            .take(max)
            .map(|(content, row)| update_of(*content, row, now))
            .collect()
    }

    /// Removes expired rows. Called on every tick.
    pub fn tick(&mut self, now: Instant) {
        self.rows.retain(|_, row| row.is_current(now));
        let rows = &self.rows;
        self.pending.retain(|content| rows.contains_key(content));
        self.recent_responses.evict(now);
    }

    fn add_pending(&mut self, content: ContentDigest) {
        let broadcast = self.rows.get(&content).is_some_and(|row| row.broadcast);
        self.pending.add(content, broadcast);
    }

    /// Evicts the row with fewest crashes, the oldest among equals, if there are too many rows.
    fn evict_excess(&mut self) {
        if self.rows.len() <= MAX_ROWS {
            return;
        }
        let weakest = self
            .rows
            .iter()
            .min_by_key(|(_, row)| (row.crashes.len(), row.last()));
        if let Some(content) = weakest.map(|(content, _)| *content) {
            self.rows.remove(&content);
            self.pending.remove(&content);
        }
    }
}

fn update_of(content: ContentDigest, row: &SuspectRow, now: Instant) -> SuspectUpdate {
    let age = |at: Instant| millis(now.saturating_duration_since(at));
    let crashes = row.crashes.iter().map(|crash| ReportedCrash {
        replica: crash.replica,
        age_ms: age(crash.at),
        ran_ms: millis(crash.ran),
    });
    SuspectUpdate {
        content,
        crashes: crashes.collect(),
        cleared: row.cleared.map(age),
    }
}

/// Returns the time until a moment; `None` if it has passed.
pub(crate) fn time_until(at: Instant, now: Instant) -> Option<Duration> {
    at.checked_duration_since(now)
        .filter(|left| !left.is_zero())
}

pub(crate) fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

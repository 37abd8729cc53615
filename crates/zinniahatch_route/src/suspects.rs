//! Requests that are suspected of ending the replicas which run them.
//!
//! Failure: a request makes each replica crash that begins it. Its caller comes again under a new id, mostly at
//! another node; taken for a fresh request each time, it ends replica after replica, and everything that runs
//! there breaks off with it.
//!
//! Guard: what repeats have in common is the digest of their content. Each node notes which contents it had
//! on a replica that ended, and all nodes tell each other. A content under which three replicas ended, without one
//! whole answer since, is quarantined: refused at once, at every node, until that lapses.
//!
//! Requests that ran beside it stay out of this in three ways: a whole answer clears a content and keeps it
//! clear for a while; the end of a replica counts only against those on it that have most ends, among equals
//! against the one that had run the shortest time there, since these explain it; and nothing counts but ends,
//! so that broken channels, silence and loss of power do not.

use crate::answered::AnswerMemory;
use std::cmp::Reverse;
use zinniahatch_base::prelude::*;

/// Ends of replicas under one content after which it is quarantined. Two happen to bystanders: the first
/// replica's streams are resumed together on the next one.
const KNOWN_ENDS: usize = 3;
/// Ends that are remembered of one content; each beyond the third doubles its quarantine, to 80 minutes.
const MOST_ENDS: usize = 6;
/// Time from the last end for which a content is quarantined first. A caller who repeats by program comes
/// many times in it; whoever is wrongly held, or has had the replicas mended, is free soon.
const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// Time after the last end in which the nodes of a region tell each other whom they had on the replica: 5 ms as a
/// rule, some tens where a node has a tenth of a core. A content with enough ends waits for it; judged at once,
/// what everybody asks was held for 5 ms, until the news of the one that had ended the replicas came.
const SETTLE_TIME: Duration = Duration::from_millis(100);
/// Difference of the times that two contents were on the replicas up to which these do not tell them apart: nodes
/// learn of an end some tens of milliseconds apart. One that began just after a fatal request on three replicas
/// was held in its place; where three ends leave that open, a fourth is waited for.
const ALIKE_TIME: Duration = Duration::from_millis(100);
/// Time between two ends of one replica's life that are one end, seen by several nodes. A replica that
/// starts again under its id is away for seconds.
const SAME_END: Duration = Duration::from_secs(1);
/// Contents that are remembered at most, some 200 KB. The loss of a region with 400 replicas suspects more
/// of them than that; those with fewest ends go first.
const MOST_ROWS: usize = 2_048;
/// Ends after which news of a content go to all nodes at once and again: one more node that learns late may
/// cost one more replica.
const WIDE_ENDS: usize = 2;
/// Times that such news are told: two of three datagrams may be lost.
const TELLS: u8 = 3;
/// Contents with untold news at most; a node that loses more at once leaves the rest to the other nodes.
const MOST_FRESH: usize = 256;

/// The end of a replica's life under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReplicaEnd {
    replica: ShortTag,
    at: Instant,
    /// How long the first request of the content had been there.
    ran: Duration,
}

impl ReplicaEnd {
    fn is_same(&self, other: &Self) -> bool {
        let apart = self.at.max(other.at).duration_since(self.at.min(other.at));
        self.replica == other.replica && apart < SAME_END
    }
}

/// What is known of one content.
#[derive(Clone, Debug, Default)]
struct SuspectRow {
    /// The last ends under it, the oldest first.
    ends: Vec<ReplicaEnd>,
    /// When it was last answered whole; ends up to then do not count.
    cleared: Option<Instant>,
    /// Whether this node saw one of the ends.
    own: bool,
    /// Whether so many ends were known of it that all nodes are told at once.
    wide: bool,
    /// Whether the platform's store keeps it.
    kept: bool,
}

impl SuspectRow {
    /// Adds an end; tells whether it is new, or a request of the content had been there for longer than known.
    fn add(&mut self, end: ReplicaEnd) -> bool {
        if self.cleared.is_some_and(|cleared| end.at <= cleared) {
            return false;
        }
        if let Some(known) = self.ends.iter_mut().find(|known| known.is_same(&end)) {
            let longer = end.ran > known.ran;
            known.ran = known.ran.max(end.ran);
            return longer;
        }
        self.ends.push(end);
        self.ends.sort_by_key(|known| known.at);
        if self.ends.len() > MOST_ENDS {
            self.ends.remove(0);
        }
        self.wide |= self.ends.len() >= WIDE_ENDS;
        true
    }

    /// Notes a whole answer; tells whether that is newer than what is known.
    fn clear(&mut self, at: Instant) -> bool {
        if self.cleared.is_some_and(|cleared| at <= cleared) {
            return false;
        }
        self.cleared = Some(at);
        let before = self.ends.len();
        self.ends.retain(|end| end.at > at);
        self.ends.len() < before
    }

    /// Gives how long requests of the content had been on the replicas that ended.
    fn ran(&self) -> Duration {
        self.ends.iter().map(|end| end.ran).sum()
    }

    fn is_known(&self) -> bool {
        self.ends.len() >= KNOWN_ENDS
    }

    /// Gives the time from the last end for which it is held.
    fn span(&self) -> Duration {
        let beyond = self.ends.len().saturating_sub(KNOWN_ENDS) as u32;
        QUARANTINE_TIME * 2_u32.pow(beyond)
    }

    /// Gives when anything was last learned of it.
    fn last(&self) -> Option<Instant> {
        self.ends.last().map(|end| end.at).max(self.cleared)
    }

    /// Tells whether it is of use yet. One that was held is remembered for as long again, so that a single
    /// end holds it anew.
    fn is_current(&self, now: Instant) -> bool {
        let most = if self.is_known() {
            self.span() * 2
        } else {
            QUARANTINE_TIME
        };
        self.last()
            .is_some_and(|at| now.saturating_duration_since(at) <= most)
    }
}

domain! {
    /// The end of a replica as one node tells another. Times are told as ages, since clocks differ.
    #[derive(Copy, Eq)]
    pub struct ToldEnd {
        /// The tag of the replica's life.
        pub replica: ShortTag,
        /// How long ago it ended, in ms.
        pub age_ms: u32,
        /// How long the first request of the content had been there, in ms.
        pub ran_ms: u32,
    }

    /// What one node tells another of a content.
    pub struct SuspectNews {
        /// The content.
        pub content: ContentDigest,
        /// The replicas that ended under it.
        pub ends: Vec<ToldEnd>,
        /// How long ago it was answered whole, in ms.
        pub cleared: Option<u32>,
    }
}

/// News that are to be told now, by whom they are for.
///
/// Most requests that stood on a replica that ended are no cause of it, and the loss of a region suspects
/// thousands; told to all nodes by all, these would take more of the links than the cards do.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NewsBatch {
    /// For all nodes that this one knows.
    pub wide: Vec<SuspectNews>,
    /// For the own region, and one node of each other.
    pub own: Vec<SuspectNews>,
    /// For the own region: another one told them here.
    pub passed: Vec<SuspectNews>,
}

/// What news changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewsEffect {
    /// Nothing.
    Known,
    /// Something was learned.
    Learned,
    /// Its teller has not heard yet that the content was answered whole.
    Outdated,
}

/// A content that began or ceased to be held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineChange {
    /// The content.
    pub content: ContentDigest,
    /// Ends of replicas under it.
    pub ends: usize,
    /// How much longer it is held; none where it no longer is.
    pub left: Option<Duration>,
    /// Whether the platform's store keeps it though it is no longer held.
    pub kept: bool,
}

/// All contents under which replicas ended.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    rows: BTreeMap<ContentDigest, SuspectRow>,
    /// The contents that were held at the last review.
    held: BTreeSet<ContentDigest>,
    /// Contents with news that are to be told, and how often yet.
    fresh: BTreeMap<ContentDigest, u8>,
    /// Whole answers of a moment ago, which speak for their contents.
    answered: AnswerMemory,
}

impl SuspectTable {
    /// Notes that a replica has ended on which this node had had a request of the content for so long; tells
    /// whether it counts.
    pub fn note_end(
        &mut self,
        content: ContentDigest,
        replica: ShortTag,
        ran: Duration,
        now: Instant,
    ) -> bool {
        if self.answered.has(content, now) {
            return false;
        }
        let row = self.rows.entry(content).or_default();
        // As coarse as it is told, so that all nodes compare the same.
        let ran = Duration::from_millis(u64::from(millis(ran)));
        let counts = row.add(ReplicaEnd {
            replica,
            at: now,
            ran,
        });
        row.own = true;
        if counts {
            self.note_fresh(content);
            self.bound();
        }
        counts
    }

    /// Notes a whole answer; tells whether it cleared the content of a suspicion.
    pub fn note_answered(&mut self, content: ContentDigest, now: Instant) -> bool {
        self.answered.note(content, now);
        let row = self.rows.get_mut(&content);
        let cleared = row.is_some_and(|row| row.clear(now));
        if cleared {
            self.note_fresh(content);
        }
        cleared
    }

    /// Takes news of another node or of the store; `tell` says whether to pass on what is new.
    pub fn hear(&mut self, news: &SuspectNews, tell: bool, now: Instant) -> NewsEffect {
        let at = |age: u32| {
            let age = Duration::from_millis(u64::from(age));
            now.checked_sub(age).unwrap_or(now)
        };
        let row = self.rows.entry(news.content).or_default();
        let mut learned = news.cleared.is_some_and(|age| row.clear(at(age)));
        for end in &news.ends {
            learned |= row.add(ReplicaEnd {
                replica: end.replica,
                at: at(end.age_ms),
                ran: Duration::from_millis(u64::from(end.ran_ms)),
            });
        }
        let outdated = !learned && row.ends.is_empty() && !news.ends.is_empty();
        // Its teller may be in another region, and would go on telling with each card.
        row.wide |= outdated;
        if outdated || (learned && tell) {
            self.note_fresh(news.content);
        }
        self.bound();
        match (learned, outdated) {
            (true, _) => NewsEffect::Learned,
            (_, true) => NewsEffect::Outdated,
            _ => NewsEffect::Known,
        }
    }

    /// Gives a content with enough ends and no whole answer a moment ago, and when its last end was.
    fn accused(&self, content: ContentDigest, now: Instant) -> Option<(&SuspectRow, Instant)> {
        let row = self.rows.get(&content).filter(|row| row.is_known())?;
        let last = row.ends.last()?.at;
        (!self.answered.has(content, now)).then_some((row, last))
    }

    /// Gives how long a content waits until it can be judged; none where it can be.
    pub fn verdict_due(&self, content: ContentDigest, now: Instant) -> Option<Duration> {
        let (_, last) = self.accused(content, now)?;
        time_until(last + SETTLE_TIME, now)
    }

    /// Gives how much longer a content is held; none where it may run.
    pub fn hold_left(&self, content: ContentDigest, now: Instant) -> Option<Duration> {
        let (row, last) = self.accused(content, now)?;
        if time_until(last + SETTLE_TIME, now).is_some() {
            return None;
        }
        let own = row.ends.iter().filter(|end| !self.is_explained(row, end));
        if own.count() < KNOWN_ENDS {
            return None;
        }
        time_until(last + row.span(), now)
    }

    /// Tells whether another content explains an end: one that was on the replica too and has more ends, or as
    /// many and was on those replicas for a shorter time.
    ///
    /// What ends the replicas that begin it never runs for long. Contents that were there for longer had the
    /// same ends where nothing else had been answered yet: what all callers ask stood on every replica.
    fn is_explained(&self, row: &SuspectRow, end: &ReplicaEnd) -> bool {
        let unsure = if row.ends.len() == KNOWN_ENDS {
            ALIKE_TIME
        } else {
            Duration::ZERO
        };
        let own = (row.ends.len(), Reverse(row.ran() + unsure));
        self.rows.values().any(|other| {
            !std::ptr::eq(other, row)
                && (other.ends.len(), Reverse(other.ran())) > own
                && other.ends.iter().any(|known| known.is_same(end))
        })
    }

    /// Gives the contents that began or ceased to be held since the last review.
    pub fn review(&mut self, now: Instant) -> Vec<QuarantineChange> {
        let known = self.rows.iter().filter(|(_, row)| row.is_known());
        let contents: BTreeSet<ContentDigest> = known
            .map(|(content, _)| *content)
            .chain(self.held.iter().copied())
            .collect();
        let mut changes = Vec::new();
        for content in contents {
            let left = self.hold_left(content, now);
            let changed = if left.is_some() {
                self.held.insert(content)
            } else {
                self.held.remove(&content)
            };
            if !changed {
                continue;
            }
            let row = self.rows.get_mut(&content);
            let ends = row.as_ref().map_or(0, |row| row.ends.len());
            let kept = left.is_none() && row.is_some_and(|row| std::mem::take(&mut row.kept));
            changes.push(QuarantineChange {
                content,
                ends,
                left,
                kept,
            });
        }
        changes
    }

    /// Gives how many contents were held at the last review.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Gives a content that is held on the word of this node and that the store does not keep yet.
    pub fn unkept(&self, now: Instant) -> Option<(SuspectNews, Duration)> {
        self.held.iter().find_map(|content| {
            let row = self.rows.get(content)?;
            let left = self.hold_left(*content, now)?;
            (row.own && !row.kept).then(|| (news_of(*content, row, now), left))
        })
    }

    /// Notes that the store keeps a content.
    pub fn note_kept(&mut self, content: ContentDigest) {
        if let Some(row) = self.rows.get_mut(&content) {
            row.kept = true;
        }
    }

    /// Forgets what the store keeps, since it may have lost it; gives how many contents were kept.
    pub fn forget_kept(&mut self) -> usize {
        let mut count = 0;
        for row in self.rows.values_mut() {
            count += usize::from(std::mem::take(&mut row.kept));
        }
        count
    }

    /// Takes up to so many news: those never told, and with `again` those that were told too seldom.
    pub fn take_news(&mut self, again: bool, most: usize, now: Instant) -> NewsBatch {
        let due = self
            .fresh
            .iter()
            .filter(|(_, left)| again || **left == TELLS);
        let due: Vec<ContentDigest> = due.map(|(content, _)| *content).take(most).collect();
        let mut batch = NewsBatch::default();
        for content in due {
            let left = self.fresh.remove(&content).unwrap_or(0).saturating_sub(1);
            let Some(row) = self.rows.get(&content) else {
                continue;
            };
            let news = news_of(content, row, now);
            if !row.wide {
                let part = if row.own {
                    &mut batch.own
                } else {
                    &mut batch.passed
                };
                part.push(news);
                continue;
            }
            batch.wide.push(news);
            if left > 0 {
                self.fresh.insert(content, left);
            }
        }
        batch
    }

    /// Gives a digest of the contents that have ends enough to be held; nodes whose digests differ tell each
    /// other theirs.
    pub fn known_digest(&self) -> u64 {
        let known = self.rows.iter().filter(|(_, row)| row.is_known());
        known.fold(0, |digest, (content, _)| digest ^ content)
    }

    /// Gives the news of up to so many contents that have ends enough to be held, from a drawn one on.
    pub fn known_news(&self, draw: ContentDigest, most: usize, now: Instant) -> Vec<SuspectNews> {
        let rows = self.rows.range(draw..).chain(self.rows.range(..draw));
        rows.filter(|(_, row)| row.is_known())
            .take(most)
            .map(|(content, row)| news_of(*content, row, now))
            .collect()
    }

    /// Runs once a tick: forgets what is of no use any more.
    pub fn tick(&mut self, now: Instant) {
        self.rows.retain(|_, row| row.is_current(now));
        let rows = &self.rows;
        self.fresh.retain(|content, _| rows.contains_key(content));
        self.answered.forget(now);
    }

    fn note_fresh(&mut self, content: ContentDigest) {
        // Those that may be held are few, and do not wait behind the many that a loss suspects.
        let wide = self.rows.get(&content).is_some_and(|row| row.wide);
        if wide || self.fresh.len() < MOST_FRESH || self.fresh.contains_key(&content) {
            self.fresh.insert(content, TELLS);
        }
    }

    /// Drops the row with fewest ends, of these the oldest, where there are too many.
    fn bound(&mut self) {
        if self.rows.len() <= MOST_ROWS {
            return;
        }
        let least = self
            .rows
            .iter()
            .min_by_key(|(_, row)| (row.ends.len(), row.last()));
        if let Some(content) = least.map(|(content, _)| *content) {
            self.rows.remove(&content);
            self.fresh.remove(&content);
        }
    }
}

fn news_of(content: ContentDigest, row: &SuspectRow, now: Instant) -> SuspectNews {
    let age = |at: Instant| millis(now.saturating_duration_since(at));
    let ends = row.ends.iter().map(|end| ToldEnd {
        replica: end.replica,
        age_ms: age(end.at),
        ran_ms: millis(end.ran),
    });
    SuspectNews {
        content,
        ends: ends.collect(),
        cleared: row.cleared.map(age),
    }
}

/// Gives the time until a moment; none where it has passed.
fn time_until(at: Instant, now: Instant) -> Option<Duration> {
    at.checked_duration_since(now)
        .filter(|left| !left.is_zero())
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

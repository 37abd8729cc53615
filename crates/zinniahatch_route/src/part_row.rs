//! What is known of one suspect prompt part: the crashes of replicas that had it, and which of them
//! do not count.

use crate::AnswerAges;
use crate::ScopedPart;
use crate::part_verdict::PartSuspicion;
use crate::suspects::millis;
use crate::suspects::time_until;
use std::collections::VecDeque;
use zinniahatch_base::prelude::*;

/// Time after the beginning of an answer by which a replica that its parts crash has crashed.
pub const SURVIVAL_TIME: Duration = Duration::from_millis(600);
/// Time after the beginning of an answer in which most replicas crash that its parts crash, with the
/// time until a busy node notices.
const PROMPT_TIME: Duration = Duration::from_millis(300);
/// Crashes under one part from which it is quarantined.
pub(crate) const ACCUSED_CRASHES: usize = 3;
/// Crashes remembered per part.
const MAX_CRASHES: usize = 12;
/// Duration of the first quarantine, counted from the last crash; doubled by each crash beyond the
/// third.
const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// Largest number of parts that are compared between the requests with a part.
const MAX_COMPANIONS: usize = 6;
/// Cleared crashes remembered per part.
const MAX_CLEARED: usize = 16;
/// Number of times that the quarantine is doubled at most.
const MAX_DOUBLINGS: usize = 3;
/// Time after a crash in which the nodes of a region exchange what they had on the replica.
pub(crate) const SETTLE_TIME: Duration = Duration::from_millis(100);
/// Time after a crash in which a part that was sound before may show that it still is. Without it,
/// the part of everybody's prompts is blamed for replicas that are killed in quick succession.
pub(crate) const GRACE_TIME: Duration = Duration::from_secs(2);
/// The same for a part of which a node that has just started cannot know whether it was sound.
const UNKNOWN_GRACE_TIME: Duration = Duration::from_secs(1);
/// Time for which a part that was sound is expected to show it again.
pub(crate) const RECENT_TIME: Duration = Duration::from_secs(30);
/// Crashes from which updates of a part are sent to all nodes at once and repeated.
pub(crate) const BROADCAST_CRASHES: usize = 2;
/// Number of callers under whose requests replicas crashed from which a part is quarantined for all
/// callers.
pub(crate) const CALLERS_FOR_ALL: usize = 2;

impl AnswerAges {
    pub(crate) fn of(age: Duration) -> Self {
        let age = millis(age);
        Self {
            newest: age,
            oldest: age,
        }
    }

    fn merge(self, other: Self) -> Self {
        Self {
            newest: self.newest.min(other.newest),
            oldest: self.oldest.max(other.oldest),
        }
    }
}

/// Crash of a replica incarnation while a part was on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PartCrash {
    pub(crate) replica: ShortTag,
    pub(crate) at: Instant,
    /// Ages of the answers on the part there; `None` if none had begun.
    pub(crate) answers: Option<AnswerAges>,
}

/// How a crash fits the answers on a part that were on the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrashFit {
    /// No answer had begun.
    Waiting,
    /// It came soon after an answer had begun.
    Prompt,
    /// It came some time after an answer had begun.
    Late,
    /// The replica had outlived an answer.
    Survived,
}

impl PartCrash {
    /// Returns whether two reports are of the same crash: an incarnation has only one.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        self.replica == other.replica
    }

    pub(crate) fn fit(&self) -> CrashFit {
        let Some(answers) = self.answers else {
            return CrashFit::Waiting;
        };
        if answers.oldest >= millis(SURVIVAL_TIME) {
            CrashFit::Survived
        } else if answers.newest <= millis(PROMPT_TIME) {
            CrashFit::Prompt
        } else {
            CrashFit::Late
        }
    }

    pub(crate) fn is_survived(&self) -> bool {
        self.fit() == CrashFit::Survived
    }

    /// Adds what another request tells of the same crash; returns whether it fits differently now.
    fn merge(&mut self, other: &Self) -> bool {
        let before = self.fit();
        self.answers = match (self.answers, other.answers) {
            (Some(one), Some(two)) => Some(one.merge(two)),
            (one, two) => one.or(two),
        };
        self.fit() != before
    }
}

/// What is known of one part.
#[derive(Clone, Debug, Default)]
#[allow(clippy::struct_excessive_bools)] // Independent facts, not states.
pub(crate) struct PartRow {
    /// Last crashes while it was on the replica, oldest first.
    pub(crate) crashes: Vec<PartCrash>,
    /// When the last answer on it that lasted began.
    pub(crate) sound: Option<Instant>,
    /// Replica incarnations whose crashes do not count, since such an answer began later. Kept by
    /// name, as the times in updates are too inexact to compare: they include the transit.
    pub(crate) cleared: VecDeque<ShortTag>,
    /// Whether this node did not know yet which parts were sound when it learned of the first crash.
    pub(crate) may_be_sound: bool,
    /// The first callers whose requests had it on a crashed replica.
    pub(crate) callers: BTreeSet<ShortTag>,
    /// Parts that all these requests had too; `None` while there is none.
    pub(crate) companions: Option<BTreeSet<PromptPartId>>,
    /// Whether this node observed one of the crashes, or an answer that other nodes do not know of.
    pub(crate) local: bool,
    /// Whether it has had enough crashes for its updates to go to all nodes at once.
    pub(crate) broadcast: bool,
    /// When this node's crashes are announced, if that waits for the part to show that it is sound.
    pub(crate) announce_at: Option<Instant>,
    /// Whether the platform's store contains it.
    pub(crate) persisted: bool,
}

impl PartRow {
    /// Adds a crash; returns whether it tells more than was known.
    pub(crate) fn add(&mut self, crash: PartCrash) -> bool {
        if self.cleared.contains(&crash.replica) {
            return false;
        }
        if let Some(known) = self.crashes.iter_mut().find(|known| known.is_same(&crash)) {
            return known.merge(&crash);
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|known| known.at);
        if self.crashes.len() > MAX_CRASHES {
            self.drop_closest();
        }
        self.broadcast |= self.suspicious().count() >= BROADCAST_CRASHES;
        true
    }

    /// Drops the crash that came soonest after another one. What is left spans the whole series: of a
    /// quick one, the newest may all be too recent to count.
    pub(crate) fn drop_closest(&mut self) {
        let gap = |index: &usize| self.crashes[*index].at - self.crashes[*index - 1].at;
        if let Some(closest) = (1..self.crashes.len()).min_by_key(gap) {
            self.crashes.remove(closest);
        }
    }

    pub(crate) fn add_caller(&mut self, caller: ShortTag) {
        if self.callers.len() < CALLERS_FOR_ALL {
            self.callers.insert(caller);
        }
    }

    /// Records an answer that lasted; returns whether it cleared any crashes.
    pub(crate) fn clear(&mut self, began: Instant) -> bool {
        self.sound = self.sound.max(Some(began));
        let earlier = self.crashes.iter().filter(|crash| crash.at <= began);
        let replicas: Vec<ShortTag> = earlier.map(|crash| crash.replica).collect();
        self.clear_replicas(&replicas)
    }

    /// Records that the crashes of some incarnations do not count; returns whether that is new.
    pub(crate) fn clear_replicas(&mut self, replicas: &[ShortTag]) -> bool {
        let mut learned = false;
        for replica in replicas {
            if self.cleared.contains(replica) {
                continue;
            }
            learned = true;
            self.cleared.push_back(*replica);
        }
        let excess = self.cleared.len().saturating_sub(MAX_CLEARED);
        self.cleared.drain(..excess);
        self.crashes
            .retain(|crash| !replicas.contains(&crash.replica));
        if self.crashes.is_empty() {
            self.callers.clear();
            self.companions = None;
            self.announce_at = None;
        }
        learned
    }

    /// Keeps only the companions that a further request has too.
    pub(crate) fn retain_companions(&mut self, parts: impl Iterator<Item = PromptPartId>) {
        let parts: BTreeSet<PromptPartId> = parts.take(MAX_COMPANIONS).collect();
        match &mut self.companions {
            Some(companions) => companions.retain(|part| parts.contains(part)),
            None => self.companions = Some(parts),
        }
    }

    /// Returns the crashes that the part may have caused.
    pub(crate) fn suspicious(&self) -> impl Iterator<Item = &PartCrash> {
        self.crashes.iter().filter(|crash| !crash.is_survived())
    }

    /// Returns whether there are enough crashes for quarantine, whatever explains them.
    pub(crate) fn is_accused(&self) -> bool {
        self.suspicious().count() >= ACCUSED_CRASHES
    }

    /// Returns the time from which a crash counts.
    pub(crate) fn counts_from(&self, crash: &PartCrash) -> Instant {
        let wait = if self.was_sound_before(crash) {
            GRACE_TIME
        } else if self.may_be_sound {
            UNKNOWN_GRACE_TIME
        } else {
            SETTLE_TIME
        };
        crash.at + wait
    }

    pub(crate) fn was_sound_before(&self, crash: &PartCrash) -> bool {
        let since = |sound| crash.at.saturating_duration_since(sound);
        self.sound.is_some_and(|sound| since(sound) <= RECENT_TIME)
    }

    pub(crate) fn last_crash_found_sound(&self) -> bool {
        let last = self.crashes.last();
        last.is_some_and(|crash| self.was_sound_before(crash))
    }

    /// Returns what counts against the part by now; `None` if nothing does.
    pub(crate) fn suspicion(&self, part: ScopedPart, now: Instant) -> Option<PartSuspicion> {
        let counted = self
            .suspicious()
            .filter(|crash| time_until(self.counts_from(crash), now).is_none());
        let crashes: Vec<PartCrash> = counted.copied().collect();
        let companions = self.companions.clone().unwrap_or_default();
        let was_sound = self.may_be_sound || self.was_sound_before(crashes.first()?);
        Some(PartSuspicion::new(part, crashes, companions, was_sound))
    }

    /// Returns the duration of the quarantine, from the last crash.
    pub(crate) fn span(&self) -> Duration {
        let beyond = self.crashes.len().saturating_sub(ACCUSED_CRASHES);
        QUARANTINE_TIME * (1 << beyond.min(MAX_DOUBLINGS))
    }

    pub(crate) fn last_crash(&self) -> Option<Instant> {
        self.crashes.last().map(|crash| crash.at)
    }

    /// Returns whether the row is still needed. A part that was quarantined is remembered for as long
    /// again, so that a single crash quarantines it anew.
    pub(crate) fn is_current(&self, now: Instant) -> bool {
        let max = if self.is_accused() {
            self.span() * 2
        } else {
            QUARANTINE_TIME
        };
        self.last_crash()
            .max(self.sound)
            .is_some_and(|at| now.saturating_duration_since(at) <= max)
    }

    /// Returns whether the part is quarantined for a caller, once it is.
    pub(crate) fn applies_to(&self, caller: ShortTag) -> bool {
        self.callers.len() >= CALLERS_FOR_ALL || self.callers.contains(&caller)
    }
}

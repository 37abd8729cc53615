//! What is known of one suspect prompt part: the crashes of replicas that had it, and which of them
//! do not count.

use crate::AnswerAges;
use crate::ScopedPart;
use crate::cleared_crashes::ClearedCrashes;
use crate::part_verdict::PartSuspicion;
use crate::prompt::rendezvous_score;
use crate::suspects::millis;
use crate::suspects::time_until;
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
/// Seed of the hashes by which the crashes of a long series are sampled.
const SAMPLE_SEED: u64 = 0;
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
    /// Whether some node had seen a short time before that the part was sound.
    pub(crate) found_sound: bool,
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
        if is_survived(self.answers) {
            CrashFit::Survived
        } else if answers.newest <= millis(PROMPT_TIME) {
            CrashFit::Prompt
        } else {
            CrashFit::Late
        }
    }

    pub(crate) fn is_survived(&self) -> bool {
        is_survived(self.answers)
    }

    /// Adds what another report tells of the same crash; returns whether that changes how it is judged.
    fn merge(&mut self, other: &Self) -> bool {
        let before = (self.fit(), self.found_sound);
        self.found_sound |= other.found_sound;
        self.answers = match (self.answers, other.answers) {
            (Some(one), Some(two)) => Some(one.merge(two)),
            (one, two) => one.or(two),
        };
        (self.fit(), self.found_sound) != before
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
    /// Crashes that do not count, since such an answer began later.
    pub(crate) cleared: ClearedCrashes,
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
        if self.cleared.covers(crash.replica, crash.at) {
            return false;
        }
        if let Some(known) = self.crashes.iter_mut().find(|known| known.is_same(&crash)) {
            return known.merge(&crash);
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|known| known.at);
        let dropped = self.drop_excess();
        self.broadcast |= self.suspicious().count() >= BROADCAST_CRASHES;
        dropped != Some(crash.replica)
    }

    /// Drops a crash if there are too many, and returns its replica.
    ///
    /// The last one is kept, since the end of the quarantine depends on it, and of the others a sample
    /// by hash: nodes that learn of the same crashes in any order keep the same ones, and do not go on
    /// telling each other of those that they have dropped.
    fn drop_excess(&mut self) -> Option<ShortTag> {
        if self.crashes.len() <= MAX_CRASHES {
            return None;
        }
        let (_, earlier) = self.crashes.split_last()?;
        let score = |index: &usize| rendezvous_score(SAMPLE_SEED, earlier[*index].replica);
        let dropped = (0..earlier.len()).max_by_key(score)?;
        Some(self.crashes.remove(dropped).replica)
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
        let crashes: Vec<(ShortTag, Instant)> =
            earlier.map(|crash| (crash.replica, crash.at)).collect();
        self.clear_crashes(&crashes)
    }

    /// Records that the crashes of some incarnations at some times do not count; returns whether that
    /// is new.
    pub(crate) fn clear_crashes(&mut self, crashes: &[(ShortTag, Instant)]) -> bool {
        let mut learned = false;
        for (replica, at) in crashes {
            learned |= self.cleared.insert(*replica, *at);
        }
        let cleared = &self.cleared;
        self.crashes
            .retain(|crash| !cleared.covers(crash.replica, crash.at));
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

    /// Returns the crash of a replica incarnation, if it is known.
    pub(crate) fn crash_of(&self, replica: ShortTag) -> Option<&PartCrash> {
        self.crashes.iter().find(|crash| crash.replica == replica)
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
        crash.found_sound || self.sound.is_some_and(|sound| is_recent(sound, crash.at))
    }

    /// Returns the time of an answer that lasted, as reported to other nodes: late enough to cover each
    /// crash before which the part was found sound.
    pub(crate) fn reported_sound(&self) -> Option<Instant> {
        let found = self.crashes.iter().filter(|crash| crash.found_sound);
        let uncovered =
            found.filter(|crash| !self.sound.is_some_and(|sound| is_recent(sound, crash.at)));
        uncovered.map(|crash| crash.at).max().max(self.sound)
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

/// Returns whether a part that was sound at one moment counted as sound at another.
pub(crate) fn is_recent(sound: Instant, at: Instant) -> bool {
    at.saturating_duration_since(sound) <= RECENT_TIME
}

/// Returns whether a replica had outlived an answer when it crashed.
pub(crate) fn is_survived(answers: Option<AnswerAges>) -> bool {
    answers.is_some_and(|answers| answers.oldest >= millis(SURVIVAL_TIME))
}

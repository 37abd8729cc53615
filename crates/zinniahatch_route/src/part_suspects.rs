//! Suspect prompt parts, which may crash each replica that begins an answer on them.
//!
//! Failure: requests of different contents crash replica after replica, since their prompts have one
//! part in common. Each content is new, so that its quarantine (see [`crate::SuspectTable`]) comes
//! after its crashes and prevents none.
//!
//! Guard: nodes also share which parts were on a replica that crashed, and refuse requests with a part
//! that explains several crashes. Crashes alone blame every part of such a request, and those of
//! requests beside it. What tells them apart is that replicas outlive answers on sound parts: an
//! answer that lasts clears its parts of all crashes before it began, however soon others follow. A
//! part that was sound a moment ago has no lasting exemption, since it may be deadly from now on.

use crate::SuspectUpdateEffect;
use crate::crash_times::CrashTimes;
use crate::part_row::ACCUSED_CRASHES;
use crate::part_row::BROADCAST_CRASHES;
use crate::part_row::CALLERS_FOR_ALL;
use crate::part_row::GRACE_TIME;
use crate::part_row::PartCrash;
use crate::part_row::PartRow;
use crate::part_row::RECENT_TIME;
use crate::part_row::SETTLE_TIME;
use crate::part_row::is_recent;
use crate::part_row::is_survived;
use crate::part_verdict::SuspicionIndex;
use crate::recent_responses::RecentResponses;
use crate::suspects::millis;
use crate::suspects::time_until;
use crate::update_queue::UpdateBatch;
use crate::update_queue::UpdateQueue;
use crate::update_queue::UpdateTarget;
use zinniahatch_base::prelude::*;

/// Time after its start in which a node does not know yet which parts are sound.
const LEARNING_TIME: Duration = Duration::from_secs(10);
/// Largest number of parts remembered, some 500 KB; those with fewest crashes are evicted first.
const MAX_ROWS: usize = 4_096;
/// Parts evicted at once beyond that.
const EVICTED_ROWS: usize = 256;
/// Largest number of parts that one request makes suspect, so that a caller with a long list does not
/// evict the parts of others.
const MAX_SUSPECTS_PER_REQUEST: usize = 32;

domain! {
    /// A prompt part as one model of one service reads it.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub struct ScopedPart {
        /// The part by itself.
        pub id: PromptPartId,
        /// Tag of the service and the model.
        pub scope: ShortTag,
    }

    /// Crash of a replica as reported to other nodes; times are sent as ages, since clocks differ.
    #[derive(Copy, Eq)]
    pub struct ReportedPartCrash {
        /// Tag of the replica incarnation.
        pub replica: ShortTag,
        /// Time since the crash, in ms.
        pub age_ms: u32,
        /// How long answers on the part had been written there, in ms; `None` if none had begun.
        pub answered_ms: Option<AnswerAges>,
    }

    /// Ages of the answers on a part at a replica, in ms.
    #[derive(Copy, Eq)]
    pub struct AnswerAges {
        /// Age of the last one to begin.
        pub newest: u32,
        /// Age of the first one.
        pub oldest: u32,
    }

    /// Update about one part, sent between nodes.
    pub struct PartUpdate {
        /// The part.
        pub part: ScopedPart,
        /// Crashes of replicas that had it.
        pub crashes: Vec<ReportedPartCrash>,
        /// Time since the beginning of the last answer on it that lasted, in ms.
        pub sound: Option<u32>,
        /// Tags of replica incarnations whose crashes such answers cleared it of.
        pub cleared: Vec<ShortTag>,
        /// Tags of the first callers whose requests had it there.
        pub callers: Vec<ShortTag>,
        /// Parts that all these requests had too.
        pub companions: Vec<PromptPartId>,
    }
}

impl PartUpdate {
    /// Returns whether the sender knows that the part was sound a short time before a crash. Both ages
    /// are by its clock, so that the transit does not count.
    fn found_sound(&self, crash: &ReportedPartCrash) -> bool {
        let since = |sound: u32| u64::from(sound.saturating_sub(crash.age_ms));
        self.sound
            .is_some_and(|sound| Duration::from_millis(since(sound)) <= RECENT_TIME)
    }
}

/// What a node knows of a request that was on a replica when it crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashWitness {
    /// Tag of the replica incarnation.
    pub replica: ShortTag,
    /// Time since the answer began; `None` if it had not.
    pub answered: Option<Duration>,
    /// Tag of the caller.
    pub caller: ShortTag,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartQuarantine {
    /// The part that it has.
    pub part: ScopedPart,
    /// Number of crashes that the part explains.
    pub crashes: usize,
    /// Remaining quarantine.
    pub left: Duration,
}

/// A part whose quarantine began, changed or ended.
#[derive(Clone, Debug, PartialEq)]
pub struct PartQuarantineChange {
    /// The part.
    pub part: ScopedPart,
    /// Number of crashes while it was on the replica.
    pub crashes: usize,
    /// Remaining quarantine; `None` if it ended.
    pub left: Option<Duration>,
    /// Parts that cannot be told apart from it: only requests that have all of them are refused.
    pub inseparable: Vec<ScopedPart>,
    /// Whether it is quarantined for all callers.
    pub all_callers: bool,
    /// Whether the platform's store still contains it although its quarantine ended.
    pub persisted: bool,
}

/// A part in quarantine.
#[derive(Clone, Debug, PartialEq, Eq)]
struct QuarantinedPart {
    crashes: usize,
    until: Instant,
    inseparable: Vec<ScopedPart>,
    all_callers: bool,
}

/// All prompt parts that were on replicas which crashed.
#[derive(Clone, Debug)]
pub struct PartSuspectTable {
    /// When the node started.
    started: Instant,
    rows: BTreeMap<ScopedPart, PartRow>,
    /// When the replicas crashed.
    crash_times: CrashTimes,
    /// Parts in quarantine since the last review.
    quarantined: BTreeMap<ScopedPart, QuarantinedPart>,
    /// Parts with pending updates.
    pending: UpdateQueue<ScopedPart>,
    /// When the last answers that lasted on recently answered parts began.
    recent: RecentResponses<ScopedPart>,
}

impl PartSuspectTable {
    /// Creates an empty table for a node that starts now.
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            rows: BTreeMap::new(),
            crash_times: CrashTimes::default(),
            quarantined: BTreeMap::new(),
            pending: UpdateQueue::default(),
            recent: RecentResponses::default(),
        }
    }

    /// Returns whether the node has not seen enough answers to know which parts are sound.
    fn is_learning(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started) < LEARNING_TIME
    }

    /// Records the crash of a replica on which this node had a request with these parts in flight;
    /// returns the parts that it makes suspect.
    pub fn note_crash(
        &mut self,
        parts: &[ScopedPart],
        witness: CrashWitness,
        now: Instant,
    ) -> Vec<ScopedPart> {
        let crash = PartCrash {
            replica: witness.replica,
            at: self.crash_times.of_report(witness.replica, now),
            answers: witness.answered.map(AnswerAges::of),
            found_sound: false,
        };
        let known = parts.iter().filter(|part| self.rows.contains_key(part));
        let unknown = parts.iter().filter(|part| !self.rows.contains_key(part));
        let noted: Vec<ScopedPart> = known
            .chain(unknown)
            .take(MAX_SUSPECTS_PER_REQUEST)
            .copied()
            .collect();
        let mut suspects = Vec::new();
        for part in noted {
            let sound = self.recent.last(part, now);
            let learning = self.is_learning(now);
            let row = self.rows.entry(part).or_insert_with(|| PartRow {
                may_be_sound: learning,
                ..PartRow::default()
            });
            row.sound = row.sound.max(sound);
            row.local = true;
            row.add_caller(witness.caller);
            let others = parts.iter().filter(|other| **other != part);
            row.retain_companions(others.map(|other| other.id));
            let was_suspicious = row.suspicious().any(|known| known.is_same(&crash));
            if !row.add(crash) {
                continue;
            }
            // Other nodes need to know that the replica outlived the part only if they suspect it, and
            // then their update says so.
            if crash.is_survived() && !was_suspicious {
                continue;
            }
            suspects.push(part);
            if row.was_sound_before(&crash) {
                row.announce_at.get_or_insert(now + GRACE_TIME);
            } else {
                self.add_pending(part);
            }
        }
        self.evict_excess();
        suspects
    }

    /// Records answers on parts, begun at `began`, that replicas outlived; returns the parts that
    /// this cleared of crashes.
    pub fn note_sound(
        &mut self,
        parts: &[ScopedPart],
        began: Instant,
        now: Instant,
    ) -> Vec<ScopedPart> {
        let mut cleared = Vec::new();
        for part in parts {
            self.recent.note(*part, began);
            let Some(row) = self.rows.get_mut(part) else {
                continue;
            };
            let announced = row.announce_at.is_none();
            if !row.clear(began) {
                continue;
            }
            cleared.push(*part);
            if announced {
                self.add_pending(*part);
            }
        }
        self.recent.evict(now);
        cleared
    }

    /// Clears a part of all its crashes, as an operator asks; returns whether it had any.
    pub fn release(&mut self, id: PromptPartId) -> bool {
        let scopes = self
            .rows
            .range_mut(ScopedPart { id, scope: 0 }..)
            .take_while(|(part, _)| part.id == id);
        let mut released = Vec::new();
        for (part, row) in scopes {
            let crashes = row.crashes.iter().map(|crash| (crash.replica, crash.at));
            let crashes: Vec<(ShortTag, Instant)> = crashes.collect();
            if row.clear_crashes(&crashes) {
                row.local = true;
                released.push(*part);
            }
        }
        for part in &released {
            self.add_pending(*part);
        }
        !released.is_empty()
    }

    /// Applies an update of another node or the store; `relay` says whether to pass on what is new.
    pub fn apply_update(
        &mut self,
        update: &PartUpdate,
        relay: bool,
        now: Instant,
    ) -> SuspectUpdateEffect {
        let at = |age: u32| {
            let age = Duration::from_millis(u64::from(age));
            now.checked_sub(age).unwrap_or(now)
        };
        let own_sound = self.recent.last(update.part, now);
        let learning = self.is_learning(now);
        let times = &mut self.crash_times;
        let row = self.rows.entry(update.part).or_insert_with(|| PartRow {
            may_be_sound: learning,
            ..PartRow::default()
        });
        let cleared = update.cleared.iter();
        let cleared: Vec<(ShortTag, Instant)> = cleared
            .map(|replica| (*replica, times.of_name(*replica, now)))
            .collect();
        let mut learned = row.clear_crashes(&cleared);
        // Taken once: passed on from node to node, the time would grow by each transit.
        row.sound = row.sound.max(own_sound).or(update.sound.map(at));
        for reported in &update.crashes {
            learned |= row.add(PartCrash {
                replica: reported.replica,
                at: times.of_report(reported.replica, at(reported.age_ms)),
                answers: reported.answered_ms,
                found_sound: update.found_sound(reported),
            });
        }
        if !row.crashes.is_empty() {
            for caller in &update.callers {
                row.add_caller(*caller);
            }
            row.retain_companions(update.companions.iter().copied());
        }
        if learned && relay {
            self.add_pending(update.part);
        }
        let outdated = !self.outdated_crashes(update, now).is_empty();
        self.evict_excess();
        match (learned, outdated) {
            (true, _) => SuspectUpdateEffect::Learned,
            (_, true) => SuspectUpdateEffect::Outdated,
            _ => SuspectUpdateEffect::Known,
        }
    }

    /// Returns the crashes of an update of which this node knows better, because it knows that they do
    /// not count or that the part was sound.
    fn outdated_crashes<'a>(
        &self,
        update: &'a PartUpdate,
        now: Instant,
    ) -> Vec<&'a ReportedPartCrash> {
        let Some(row) = self.rows.get(&update.part) else {
            return Vec::new();
        };
        let own_sound = self.recent.last(update.part, now);
        let is_outdated = |reported: &&ReportedPartCrash| {
            let Some(at) = self.crash_times.get(reported.replica) else {
                return false;
            };
            if row.cleared.covers(reported.replica, at) {
                return true;
            }
            let known = row.crash_of(reported.replica);
            let lacks_survival =
                known.is_some_and(PartCrash::is_survived) && !is_survived(reported.answered_ms);
            let lacks_soundness = update.crashes.len() >= BROADCAST_CRASHES
                && own_sound.is_some_and(|sound| is_recent(sound, at))
                && !update.found_sound(reported);
            lacks_survival || lacks_soundness
        };
        update.crashes.iter().filter(is_outdated).collect()
    }

    /// Returns what the sender of an update does not know yet; `None` if it knows as much.
    ///
    /// It goes to the sender alone: others that know no better are corrected when they send theirs.
    pub fn correction(&self, update: &PartUpdate, now: Instant) -> Option<PartUpdate> {
        let outdated = self.outdated_crashes(update, now);
        let row = self.rows.get(&update.part)?;
        if outdated.is_empty() {
            return None;
        }
        let is_cleared = |replica: ShortTag| {
            let at = self.crash_times.get(replica);
            at.is_some_and(|at| row.cleared.covers(replica, at))
        };
        let (cleared, kept): (Vec<&ReportedPartCrash>, Vec<&ReportedPartCrash>) = outdated
            .into_iter()
            .partition(|reported| is_cleared(reported.replica));
        let known = kept.into_iter().map(|reported| ReportedPartCrash {
            answered_ms: row
                .crash_of(reported.replica)
                .map_or(reported.answered_ms, |crash| crash.answers),
            ..*reported
        });
        let own_sound = self.recent.last(update.part, now);
        Some(PartUpdate {
            crashes: known.collect(),
            cleared: cleared.iter().map(|reported| reported.replica).collect(),
            sound: own_sound.max(row.reported_sound()).map(|at| age(at, now)),
            ..update_of(update.part, row, now)
        })
    }

    /// Returns whether the part is in quarantine as another model or service reads it, so that a
    /// first crash here is no coincidence.
    fn is_quarantined_elsewhere(&self, part: ScopedPart) -> bool {
        let scopes = ScopedPart { scope: 0, ..part }..=ScopedPart {
            scope: ShortTag::MAX,
            ..part
        };
        self.quarantined
            .range(scopes)
            .any(|(other, _)| other.scope != part.scope)
    }

    fn required_crashes(&self, part: ScopedPart) -> usize {
        if !self.quarantined.is_empty() && self.is_quarantined_elsewhere(part) {
            1
        } else {
            ACCUSED_CRASHES
        }
    }

    /// Returns whether any of these parts has been on crashed replicas often enough that the request
    /// may be refused.
    pub fn may_refuse(&self, parts: &[ScopedPart]) -> bool {
        parts.iter().any(|part| {
            let row = self.rows.get(part);
            row.is_some_and(|row| row.suspicious().count() >= self.required_crashes(*part))
        })
    }

    /// Returns why a request is refused; `None` if it may run.
    pub fn quarantine(
        &self,
        parts: &[ScopedPart],
        caller: ShortTag,
        now: Instant,
    ) -> Option<PartQuarantine> {
        if self.quarantined.is_empty() {
            return None;
        }
        parts.iter().find_map(|part| {
            let quarantined = self.quarantined.get(part)?;
            let row = self.rows.get(part)?;
            let has_all = quarantined
                .inseparable
                .iter()
                .all(|other| parts.contains(other));
            if !has_all || !row.applies_to(caller) {
                return None;
            }
            Some(PartQuarantine {
                part: *part,
                crashes: quarantined.crashes,
                left: time_until(quarantined.until, now)?,
            })
        })
    }

    /// Returns the time until it can be decided whether a request is quarantined; `None` if it can be
    /// now.
    pub fn decision_delay(&self, parts: &[ScopedPart], now: Instant) -> Option<Duration> {
        let rows = parts.iter().filter_map(|part| self.rows.get(part));
        let undecided = rows.filter(|row| row.is_accused());
        let settled = undecided.filter_map(|row| {
            let last = row.crashes.last()?;
            let settles = !row.was_sound_before(last) && !row.may_be_sound;
            settles.then(|| time_until(last.at + SETTLE_TIME, now))?
        });
        settled.max()
    }

    /// Returns whether a review may find any part in quarantine, or one that no longer is.
    pub fn needs_review(&self) -> bool {
        let mut rows = self.rows.iter();
        !self.quarantined.is_empty()
            || rows.any(|(part, row)| row.suspicious().count() >= self.required_crashes(*part))
    }

    /// Decides which parts are in quarantine; returns those for which that began, changed or ended.
    ///
    /// `explained` holds the replica incarnations whose crashes requests in quarantine explain.
    pub fn review(
        &mut self,
        explained: &BTreeSet<ShortTag>,
        now: Instant,
    ) -> Vec<PartQuarantineChange> {
        let quarantined = self.decide(explained, now);
        let before = std::mem::replace(&mut self.quarantined, quarantined);
        let mut changes = Vec::new();
        let known: BTreeSet<ScopedPart> = before
            .keys()
            .chain(self.quarantined.keys())
            .copied()
            .collect();
        for part in known {
            let (old, new) = (before.get(&part), self.quarantined.get(&part));
            let scope_of = |quarantined: &QuarantinedPart| {
                (quarantined.inseparable.clone(), quarantined.all_callers)
            };
            if old.map(scope_of) == new.map(scope_of) {
                continue;
            }
            let row = self.rows.get_mut(&part);
            let crashes = row.as_ref().map_or(0, |row| row.suspicious().count());
            let ended = new.is_none();
            let persisted = ended && row.is_some_and(|row| std::mem::take(&mut row.persisted));
            changes.push(PartQuarantineChange {
                part,
                crashes,
                left: new.and_then(|quarantined| time_until(quarantined.until, now)),
                inseparable: new.map_or_else(Vec::new, |part| part.inseparable.clone()),
                all_callers: new.is_some_and(|part| part.all_callers),
                persisted,
            });
        }
        changes
    }

    fn decide(
        &self,
        explained: &BTreeSet<ShortTag>,
        now: Instant,
    ) -> BTreeMap<ScopedPart, QuarantinedPart> {
        // Parts with fewer crashes are neither to blame nor explain those of others.
        let accused = self
            .rows
            .iter()
            .filter(|(part, row)| row.suspicious().count() >= self.required_crashes(**part));
        let suspicions = accused.filter_map(|(part, row)| row.suspicion(*part, now));
        let index = SuspicionIndex::new(suspicions.collect());
        let verdicts = index.verdicts(explained, |part| self.required_crashes(part));
        let mut quarantined = BTreeMap::new();
        for (part, verdict) in verdicts {
            let row = &self.rows[&part];
            let Some(last) = row.last_crash() else {
                continue;
            };
            let until = last + row.span();
            if time_until(until, now).is_none() {
                continue;
            }
            let kept = QuarantinedPart {
                crashes: verdict.crashes,
                until,
                inseparable: verdict.inseparable,
                all_callers: row.callers.len() >= CALLERS_FOR_ALL,
            };
            quarantined.insert(part, kept);
        }
        quarantined
    }

    /// Returns the replica incarnations whose crashes a part may explain that a request does not have,
    /// also before it is decided whether the part is quarantined.
    pub fn replicas_explained_beside(&self, own: &[ScopedPart]) -> BTreeSet<ShortTag> {
        let accused = self.rows.iter().filter(|(part, row)| {
            let sound = row.last_crash_found_sound();
            row.is_accused() && !sound && !own.contains(part)
        });
        accused
            .flat_map(|(_, row)| row.suspicious().map(|crash| crash.replica))
            .collect()
    }

    /// Returns the replica incarnations whose crashes the parts in quarantine explain.
    pub fn explained_replicas(&self) -> BTreeSet<ShortTag> {
        let rows = self
            .quarantined
            .keys()
            .filter_map(|part| self.rows.get(part));
        rows.flat_map(|row| row.suspicious().map(|crash| crash.replica))
            .collect()
    }

    /// Returns how many parts were quarantined at the last review.
    pub fn quarantined_count(&self) -> usize {
        self.quarantined.len()
    }

    /// Returns a quarantined part that this node observed on a crashed replica and that the store does
    /// not contain yet.
    pub fn unpersisted(&self, now: Instant) -> Option<(PartUpdate, Duration)> {
        self.quarantined.keys().find_map(|part| {
            let row = self.rows.get(part)?;
            let left = time_until(row.last_crash()? + row.span(), now)?;
            (row.local && !row.persisted).then(|| (update_of(*part, row, now), left))
        })
    }

    /// Records that the store contains a part.
    pub fn note_persisted(&mut self, part: ScopedPart) {
        if let Some(row) = self.rows.get_mut(&part) {
            row.persisted = true;
        }
    }

    /// Forgets which parts the store contains, since it may have lost them; returns their number.
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

    /// Returns up to `max` pending updates: those never sent and, with `again`, those that are still
    /// to be repeated.
    pub fn take_updates(
        &mut self,
        again: bool,
        max: usize,
        now: Instant,
    ) -> UpdateBatch<PartUpdate> {
        let rows = &self.rows;
        self.pending.take(again, max, |part| {
            let row = rows.get(&part)?;
            let target = match (row.broadcast, row.local) {
                (true, true) => UpdateTarget::Broadcast,
                (_, true) => UpdateTarget::Local,
                _ => UpdateTarget::Relayed,
            };
            Some((update_of(part, row, now), target))
        })
    }

    /// Returns a digest of the parts with enough crashes for quarantine; nodes whose digests differ
    /// exchange them.
    pub fn accused_digest(&self) -> u64 {
        let known = self.rows.iter().filter(|(_, row)| row.is_accused());
        known.fold(0, |digest, (part, _)| {
            digest ^ part.id.wrapping_mul(u64::from(part.scope) | 1)
        })
    }

    /// Returns updates for up to `max` parts with enough crashes for quarantine, in order from `start`
    /// and wrapping around.
    pub fn accused_updates(&self, start: ScopedPart, max: usize, now: Instant) -> Vec<PartUpdate> {
        let rows = self.rows.range(start..).chain(self.rows.range(..start));
        rows.filter(|(_, row)| row.is_accused())
            .take(max)
            .map(|(part, row)| update_of(*part, row, now))
            .collect()
    }

    /// Removes expired rows, and announces the crashes of parts that have not shown meanwhile that
    /// they are sound. Called on every tick; returns whether updates are due.
    pub fn tick(&mut self, now: Instant) -> bool {
        self.rows.retain(|_, row| row.is_current(now));
        let rows = &self.rows;
        self.pending.retain(|part| rows.contains_key(part));
        self.recent.evict(now);
        let mut due = Vec::new();
        for (part, row) in &mut self.rows {
            if row.announce_at.is_some_and(|at| at <= now) {
                row.announce_at = None;
                due.push(*part);
            }
        }
        for part in &due {
            self.add_pending(*part);
        }
        !due.is_empty()
    }

    fn add_pending(&mut self, part: ScopedPart) {
        let broadcast = self
            .rows
            .get(&part)
            .is_some_and(|row| row.broadcast && row.local);
        self.pending.add(part, broadcast);
    }

    /// Evicts the rows with fewest crashes, the oldest among equals, if there are too many.
    ///
    /// Many at a time, since finding them takes a look at all.
    fn evict_excess(&mut self) {
        if self.rows.len() <= MAX_ROWS {
            return;
        }
        let rows = self.rows.iter();
        let ranked = rows.map(|(part, row)| (row.crashes.len(), row.last_crash(), *part));
        let mut ranked: Vec<_> = ranked.collect();
        ranked.sort_unstable();
        let excess = self.rows.len() - MAX_ROWS + EVICTED_ROWS;
        for (_, _, part) in ranked.into_iter().take(excess) {
            self.rows.remove(&part);
            self.pending.remove(&part);
        }
    }
}

fn update_of(part: ScopedPart, row: &PartRow, now: Instant) -> PartUpdate {
    let crashes = row.crashes.iter().map(|crash| ReportedPartCrash {
        replica: crash.replica,
        age_ms: age(crash.at, now),
        answered_ms: crash.answers,
    });
    PartUpdate {
        part,
        crashes: crashes.collect(),
        sound: row.reported_sound().map(|at| age(at, now)),
        cleared: row.cleared.names().collect(),
        callers: row.callers.iter().copied().collect(),
        companions: row.companions.iter().flatten().copied().collect(),
    }
}

fn age(at: Instant, now: Instant) -> u32 {
    millis(now.saturating_duration_since(at))
}

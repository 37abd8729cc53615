//! Decides whether a prompt part explains the crashes of replicas that had it.

use crate::ScopedPart;
use crate::part_row::ACCUSED_CRASHES;
use crate::part_row::CrashFit;
use crate::part_row::PartCrash;
use zinniahatch_base::prelude::*;

/// Time between two crashes up to which they may have one cause outside the requests, such as the
/// loss of a region.
const SAME_CAUSE_TIME: Duration = Duration::from_millis(100);
/// Crashes that suffice for quarantine however they fit, as a multiple of those that fit alike.
const ANY_FIT_FACTOR: usize = 2;
/// Crashes beyond those required that make up for one moment: several replicas may crash at once.
const BURST_EXCESS: usize = 2;
/// Crashes with a part as a multiple of those with a part that never occurs without it, from which
/// the first is to blame rather than the second.
const WIDER_PART_FACTOR: usize = 2;

/// Weight of the crashes of a part that was not known to be sound shortly before.
const NEVER_SOUND_WEIGHT: usize = 2;

/// What counts against a part.
#[derive(Clone, Debug)]
pub(crate) struct PartSuspicion {
    part: ScopedPart,
    /// Crashes of replicas that had it, oldest first.
    crashes: Vec<PartCrash>,
    /// Parts that all its requests there had too.
    companions: BTreeSet<PromptPartId>,
    /// Whether it was sound shortly before.
    was_sound: bool,
    rank: SuspicionRank,
    /// How most of the crashes fit.
    fits: Vec<CrashFit>,
}

impl PartSuspicion {
    pub(crate) fn new(
        part: ScopedPart,
        crashes: Vec<PartCrash>,
        companions: BTreeSet<PromptPartId>,
        was_sound: bool,
    ) -> Self {
        let weight = if was_sound { 1 } else { NEVER_SOUND_WEIGHT };
        Self {
            rank: SuspicionRank::of(crashes.iter()).weighted(weight),
            fits: common_fits(&crashes),
            part,
            crashes,
            companions,
            was_sound,
        }
    }

    /// Returns whether the part, if it is to blame, explains a crash: it has to fit as most others do.
    fn explains(&self, crash: &PartCrash) -> bool {
        let mut own = self.crashes.iter();
        own.any(|known| known.is_same(crash) && self.fits.contains(&known.fit()))
    }
}

/// Returns how most crashes fit the answers.
fn common_fits(crashes: &[PartCrash]) -> Vec<CrashFit> {
    let count = |fit| count_moments(crashes.iter().filter(|crash| crash.fit() == fit));
    let fits = [CrashFit::Prompt, CrashFit::Waiting, CrashFit::Late];
    let most = fits.map(count).into_iter().max();
    fits.into_iter()
        .filter(|fit| Some(count(*fit)) == most)
        .collect()
}

/// How strongly some crashes point to a part: how many fit its answers alike, then their number.
///
/// What crashes replicas does so at one point of an answer, while sound answers are at any.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SuspicionRank {
    alike: usize,
    all: usize,
}

impl SuspicionRank {
    fn of<'a>(crashes: impl Iterator<Item = &'a PartCrash> + Clone) -> Self {
        let count = |fit| count_moments(crashes.clone().filter(|crash| crash.fit() == fit));
        Self {
            alike: count(CrashFit::Prompt).max(count(CrashFit::Waiting)),
            all: count_moments(crashes.clone()),
        }
    }

    fn weighted(self, weight: usize) -> Self {
        Self {
            alike: self.alike * weight,
            all: self.all * weight,
        }
    }
}

/// Returns whether crashes suffice for quarantine: at `required` moments that fit alike, or more of
/// them at fewer moments or of different fit.
fn suffices(crashes: &[&PartCrash], required: usize) -> bool {
    let rank = SuspicionRank::of(crashes.iter().copied());
    let in_bursts = rank.alike + 1 >= required && crashes.len() >= required + BURST_EXCESS;
    rank.alike >= required || rank.all >= required * ANY_FIT_FACTOR || (required > 1 && in_bursts)
}

/// A part that explains enough crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PartVerdict {
    /// Number of crashes that it explains.
    pub(crate) crashes: usize,
    /// Parts that explain them as well.
    pub(crate) inseparable: Vec<ScopedPart>,
}

/// Counts crashes, taking those at one moment as one.
fn count_moments<'a>(crashes: impl Iterator<Item = &'a PartCrash>) -> usize {
    let mut count = 0;
    let mut last: Option<Instant> = None;
    for crash in crashes {
        if last.is_none_or(|last| crash.at.saturating_duration_since(last) > SAME_CAUSE_TIME) {
            count += 1;
            last = Some(crash.at);
        }
    }
    count
}

/// How another part compares with a part as an explanation of crashes that both share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Comparison {
    Better,
    Equal,
    Worse,
}

/// Compares two parts as explanations.
///
/// The requests beside a deadly one crash as often as it only by chance. A part that was sound and that
/// each deadly request has, such as that of everybody's prompts, is on every replica that they crash
/// and on others; it is to blame only if many crash without the deadly one.
fn compare(one: &PartSuspicion, other: &PartSuspicion) -> Comparison {
    let is_wider = other.was_sound && one.companions.contains(&other.part.id);
    let is_narrower = one.was_sound && other.companions.contains(&one.part.id);
    let factor = WIDER_PART_FACTOR;
    match (is_wider, is_narrower) {
        (true, false) if other.crashes.len() > one.crashes.len() * factor => Comparison::Better,
        (true, false) => Comparison::Worse,
        (false, true) if one.crashes.len() > other.crashes.len() * factor => Comparison::Worse,
        (false, true) => Comparison::Better,
        _ if other.rank > one.rank => Comparison::Better,
        _ if other.rank == one.rank => Comparison::Equal,
        _ => Comparison::Worse,
    }
}

/// All suspicions at one moment.
#[derive(Debug)]
pub(crate) struct SuspicionIndex {
    suspicions: Vec<PartSuspicion>,
    /// Positions of the suspicions by the replicas that crashed.
    by_replica: BTreeMap<ShortTag, Vec<usize>>,
}

impl SuspicionIndex {
    pub(crate) fn new(suspicions: Vec<PartSuspicion>) -> Self {
        let mut by_replica = BTreeMap::<ShortTag, Vec<usize>>::new();
        for (position, suspicion) in suspicions.iter().enumerate() {
            for crash in &suspicion.crashes {
                by_replica.entry(crash.replica).or_default().push(position);
            }
        }
        Self {
            suspicions,
            by_replica,
        }
    }

    /// Returns the parts that are to blame for enough crashes; `required` returns how many that are.
    ///
    /// Crashes that requests in quarantine explain do not suffice by themselves: a part may have been
    /// in these alone.
    pub(crate) fn verdicts(
        &self,
        explained: &BTreeSet<ShortTag>,
        required: impl Fn(ScopedPart) -> usize,
    ) -> BTreeMap<ScopedPart, PartVerdict> {
        let mut verdicts = BTreeMap::new();
        for (position, suspicion) in self.suspicions.iter().enumerate() {
            let required = required(suspicion.part);
            let convicts = |crashes: &[&PartCrash]| {
                let mut replicas = crashes.iter().map(|crash| crash.replica);
                suffices(crashes, required) && !replicas.all(|replica| explained.contains(&replica))
            };
            if let Some(verdict) = self.accuse(position, convicts) {
                verdicts.insert(suspicion.part, verdict);
            }
        }
        verdicts
    }

    /// Returns whether a part is to blame for crashes that suffice.
    fn accuse(
        &self,
        position: usize,
        convicts: impl Fn(&[&PartCrash]) -> bool,
    ) -> Option<PartVerdict> {
        let suspicion = &self.suspicions[position];
        let mut unexplained: Vec<&PartCrash> = suspicion.crashes.iter().collect();
        if !convicts(&unexplained) {
            return None;
        }
        let replicas = suspicion.crashes.iter().map(|crash| crash.replica);
        let sharing = replicas.flat_map(|replica| &self.by_replica[&replica]);
        let sharing: BTreeSet<usize> = sharing.copied().collect();
        let mut equals = Vec::new();
        for other in sharing.into_iter().filter(|other| *other != position) {
            let other = &self.suspicions[other];
            // A part that could not be blamed by itself explains nothing either.
            if !suffices(&other.crashes.iter().collect::<Vec<_>>(), ACCUSED_CRASHES) {
                continue;
            }
            match compare(suspicion, other) {
                Comparison::Better => unexplained.retain(|crash| !other.explains(crash)),
                Comparison::Equal => equals.push(other),
                Comparison::Worse => {}
            }
        }
        if !convicts(&unexplained) {
            return None;
        }
        let is_inseparable = |other: &&&PartSuspicion| {
            let own = unexplained.iter().copied();
            let own: Vec<&PartCrash> = own.filter(|crash| !other.explains(crash)).collect();
            !convicts(&own)
        };
        let inseparable = equals.iter().filter(is_inseparable);
        Some(PartVerdict {
            crashes: unexplained.len(),
            inseparable: inseparable.map(|other| other.part).collect(),
        })
    }
}

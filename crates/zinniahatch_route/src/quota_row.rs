//! The bucket of one account as a node sees it: what is used, what silent regions may use, and the debt.

use crate::use_meter::RECENT_TIME;
use crate::use_meter::SHOWN_STEPS;
use crate::use_meter::UseMeter;
use zinniahatch_base::prelude::*;

/// Silence of a region after which it may be cut off. Tellers speak every 200 ms, two of each region.
pub(crate) const SILENCE: Duration = Duration::from_millis(700);
/// Time after a region's return in which its totals are compared with what was taken off for it.
const RETURN_TIME: Duration = Duration::from_secs(2);
/// Part of an allowance that is shared evenly between the regions when they lose each other, so that one whose
/// hour has just come is not held to nothing.
const EVEN_PART: f64 = 0.5;
/// Part of a burst with which a node starts: what its predecessors let pass a moment ago is not known to it.
const FIRST_LEVEL: f64 = 0.1;
/// Time for which all regions must have been heard before shares follow what they use again.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Time over which a debt is forgotten. Nodes that could not hear each other see different debts; while the account
/// goes on asking, a region that saw more of it than the others would be refused everything for good.
const DEBT_TIME: Duration = Duration::from_secs(20);
/// Part of a region's even share that it may use whatever its debt, and the time for which that is saved up.
const FLOOR_PART: f64 = 0.4;
const FLOOR_TIME: Duration = Duration::from_millis(500);
/// Time after which the averages of a process that started are as those of the others.
const LEARN_TIME: Duration = Duration::from_secs(15);
/// Shortest and longest time that a caller is told to wait for room.
const LEAST_RETRY: Duration = Duration::from_millis(50);
const MOST_RETRY: Duration = Duration::from_secs(60);

/// What an account may use: a bucket that fills up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Units a second.
    pub rate: f64,
    /// Units that it holds.
    pub burst: f64,
}

/// What was taken off for a region while it was silent.
#[derive(Clone, Copy, Debug)]
struct TakenOff {
    units: f64,
    /// When some was taken off last.
    at: Instant,
}

/// The bucket of one account as this node sees it.
#[derive(Clone, Debug)]
pub(crate) struct QuotaRow {
    pub(crate) limit: QuotaLimit,
    pub(crate) level: f64,
    /// What the region may use whatever its debt.
    floor: f64,
    at: Instant,
    /// By the tag of the region.
    uses: BTreeMap<ShortTag, UseMeter>,
    /// Shares of the regions as they were when one of them fell silent, until all have been heard for a while.
    shares: BTreeMap<ShortTag, f64>,
    /// When a region was silent last; none where all have been heard since the shares were dropped.
    silent_at: Option<Instant>,
    taken_off: BTreeMap<ShortTag, TakenOff>,
    /// When this process began to see what the account uses.
    began: Instant,
    /// The regions that were silent at the last look; none before the first.
    silent: Option<BTreeSet<ShortTag>>,
}

impl QuotaRow {
    /// Starts the bucket of an account on a process that has just started.
    pub(crate) fn new(limit: QuotaLimit, now: Instant) -> Self {
        Self {
            limit,
            level: limit.burst * FIRST_LEVEL,
            floor: 0.0,
            at: now,
            uses: BTreeMap::new(),
            shares: BTreeMap::new(),
            silent_at: None,
            taken_off: BTreeMap::new(),
            began: now,
            silent: None,
        }
    }

    /// Shares the allowance between the regions: in part evenly, in part by what they used.
    ///
    /// Each share is the most that any node may take it for, so that all parts together keep within the allowance
    /// though they go by different looks. A process that started lately averages over less time than the others, and
    /// takes each share for an even one at least.
    fn shares_of(
        &self,
        regions: &BTreeMap<ShortTag, Instant>,
        now: Instant,
    ) -> BTreeMap<ShortTag, f64> {
        let even = 1.0 / regions.len().max(1) as f64;
        let used = |region: &ShortTag, step: usize| {
            let meter = self.uses.get(region);
            meter.map_or(0.0, |meter| meter.shown[step])
        };
        let share = |region: &ShortTag, step: usize| {
            let all: f64 = regions.keys().map(|region| used(region, step)).sum();
            if all > 0.0 {
                EVEN_PART * even + (1.0 - EVEN_PART) * used(region, step) / all
            } else {
                even
            }
        };
        let young = now.saturating_duration_since(self.began) < LEARN_TIME;
        let least = if young { even } else { 0.0 };
        let most = |region: &ShortTag| {
            (0..SHOWN_STEPS)
                .map(|step| share(region, step))
                .fold(least, f64::max)
        };
        let regions = regions.keys();
        regions.map(|region| (*region, most(region))).collect()
    }

    /// Gives the part of the rate that falls to the processes that are heard, this one among them; `silent` has the
    /// silent regions, each with the part of its share that is not this process's to use.
    ///
    /// At least the even part of their shares, which no other part takes for its own: a region that is cut off goes on
    /// serving its callers.
    fn heard_part(&self, silent: &BTreeMap<ShortTag, f64>) -> f64 {
        let lost = silent
            .iter()
            .map(|(region, part)| part * self.shares.get(region).unwrap_or(&0.0));
        let unheard = silent.values().sum::<f64>() / self.shares.len().max(1) as f64;
        let least = EVEN_PART * (1.0 - unheard).max(0.0);
        (1.0 - lost.sum::<f64>()).max(least)
    }

    /// Keeps the shares as they were when the first region fell silent: what each part uses from then on is not
    /// known to the others, and shares that followed it would add up to more than the allowance.
    ///
    /// They are kept for a while after all are heard again: a region that is cut off just then still goes by them.
    fn keep_shares(&mut self, regions: &BTreeMap<ShortTag, Instant>, silent: bool, now: Instant) {
        if silent {
            self.silent_at = Some(now);
            if self.shares.is_empty() {
                self.shares = self.shares_of(regions, now);
            }
            return;
        }
        let settled = |at: Instant| now.saturating_duration_since(at) >= SETTLE_TIME;
        if self.silent_at.is_some_and(settled) {
            self.silent_at = None;
            self.shares.clear();
        }
    }

    /// Fills the bucket up to now.
    pub(crate) fn advance(
        &mut self,
        regions: &BTreeMap<ShortTag, Instant>,
        silent: &BTreeMap<ShortTag, f64>,
        now: Instant,
    ) {
        self.keep_shares(regions, !silent.is_empty(), now);
        let part = self.heard_part(silent);
        let passed = now.saturating_duration_since(self.at);
        self.at = self.at.max(now);
        self.split(silent, now);
        for (region, others) in silent {
            self.take_off(*region, *others, passed, now);
        }
        self.taken_off
            .retain(|_, taken| now.saturating_duration_since(taken.at) <= RETURN_TIME);
        let floor_rate = self.limit.rate * FLOOR_PART / regions.len().max(1) as f64;
        let most = floor_rate * FLOOR_TIME.as_secs_f64();
        self.floor = (self.floor + floor_rate * passed.as_secs_f64()).min(most);
        if self.level < 0.0 {
            self.level *= (-passed.as_secs_f64() / DEBT_TIME.as_secs_f64()).exp();
        }
        // Whoever is not heard has the rest of what had been saved.
        let most = self.limit.burst * part;
        let level = self.level.min(most);
        self.level = (level + self.limit.rate * part * passed.as_secs_f64()).min(most);
    }

    /// Splits the bucket with the regions that have just fallen silent.
    ///
    /// Before a silence shows, each part may spend a whole burst. What was left when all parts knew the same is shared,
    /// and each part bears by itself what it has used since.
    fn split(&mut self, silent: &BTreeMap<ShortTag, f64>, now: Instant) {
        let names = silent.keys().copied().collect();
        let Some(known) = self.silent.replace(names) else {
            return;
        };
        let mut before = silent.clone();
        before.retain(|region, _| known.contains(region));
        if before.len() == silent.len() {
            return;
        }
        let part = self.heard_part(&before).max(f64::MIN_POSITIVE);
        let most = part * (self.limit.burst + self.limit.rate * RECENT_TIME.as_secs_f64());
        let whole = (self.level + self.used_without(&before, now)).min(most);
        let own = self.heard_part(silent) / part * whole - self.used_without(silent, now);
        let mut unheard = 0.0;
        for (region, others) in silent {
            if before.contains_key(region) {
                continue;
            }
            let meter = self.uses.get(region);
            let recent = meter.map_or(0.0, |meter| meter.recent(now));
            // What it probably used before its silence showed.
            let going_on = meter.map_or(0.0, UseMeter::going_on);
            let probably = others * going_on * SILENCE.as_secs_f64();
            unheard += probably;
            let share = others * self.shares.get(region).unwrap_or(&0.0) / part;
            let units = (share * whole - recent).max(probably);
            self.taken_off.insert(*region, TakenOff { units, at: now });
        }
        self.level = (self.level - unheard).min(own);
    }

    /// Gives what the regions used lately, but for some of them.
    fn used_without(&self, left_out: &BTreeMap<ShortTag, f64>, now: Instant) -> f64 {
        let uses = self.uses.iter();
        let heard = uses.filter(|(region, _)| !left_out.contains_key(region));
        heard.map(|(_, meter)| meter.recent(now)).sum()
    }

    /// Notes what a silent region may have used in the time that passed.
    fn take_off(&mut self, region: ShortTag, others: f64, passed: Duration, now: Instant) {
        let share = others * self.shares.get(&region).unwrap_or(&0.0);
        let taken = self.taken_off.entry(region);
        let taken = taken.or_insert(TakenOff {
            units: 0.0,
            at: now,
        });
        taken.units += self.limit.rate * share * passed.as_secs_f64();
        taken.at = now;
    }

    /// Estimates what a region used since it was heard.
    pub(crate) fn unheard(&self, region: ShortTag, heard: Instant, now: Instant) -> f64 {
        let since = now.saturating_duration_since(heard).as_secs_f64();
        let meter = self.uses.get(&region);
        meter.map_or(0.0, |meter| meter.going_on() * since)
    }

    /// Tells whether the region may go on whatever its debt. A part that hears not all has its share, which is more.
    pub(crate) fn is_spared(&self) -> bool {
        let hears_all = self.silent.as_ref().is_none_or(BTreeSet::is_empty);
        self.floor > 0.0 && hears_all
    }

    /// Gives the time in which a debt is filled up.
    pub(crate) fn wait_for(&self, debt: f64, silent: &BTreeMap<ShortTag, f64>) -> Duration {
        let part = self.heard_part(silent).max(f64::MIN_POSITIVE);
        let wait = Duration::try_from_secs_f64(debt / (self.limit.rate * part));
        wait.unwrap_or(MOST_RETRY).clamp(LEAST_RETRY, MOST_RETRY)
    }

    /// Takes off what a region used; `own` tells whether it is this one, and `spans` whether a silence lay between
    /// these news and the ones before.
    pub(crate) fn charge(
        &mut self,
        region: ShortTag,
        units: f64,
        own: bool,
        spans: bool,
        now: Instant,
    ) {
        let meter = self.uses.entry(region).or_insert(UseMeter::new(now));
        meter.add(units.max(0.0), now);
        if own {
            self.floor -= units;
        }
        let taken_off = self.taken_off.get_mut(&region).filter(|_| spans);
        let known = taken_off.map_or(0.0, |taken| {
            let known = taken.units.min(units).max(0.0);
            taken.units -= known;
            known
        });
        self.level = (self.level - units + known).min(self.limit.burst);
    }
}

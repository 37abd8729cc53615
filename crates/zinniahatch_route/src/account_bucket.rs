//! Token bucket of one account as a node sees it, with the shares of silent regions and a debt.

use crate::usage_meter::RECENT_TIME;
use crate::usage_meter::SAMPLE_COUNT;
use crate::usage_meter::UsageMeter;
use zinniahatch_base::prelude::*;

/// Time after which a silent region is assumed to be partitioned. Two nodes of each region send
/// updates every 200 ms.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time after a region's return in which its totals are offset against what was deducted for it.
const RECONCILE_TIME: Duration = Duration::from_secs(2);
/// Part of an allowance that is split evenly between the regions during a partition, so that a
/// region whose peak has just begun is not left without any.
const EVEN_FRACTION: f64 = 0.5;
/// Fill level of a new bucket, as a fraction of the burst; the node does not know what its
/// predecessor admitted just before.
const INITIAL_LEVEL: f64 = 0.1;
/// Time for which all regions must have been reachable before the shares follow the usage again.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Time constant with which a debt decays. Nodes that were partitioned see different debts; as
/// long as the account keeps sending, a region that saw more of the debt than the others would
/// otherwise refuse everything indefinitely.
const DEBT_DECAY_TIME: Duration = Duration::from_secs(20);
/// Part of a region's even share that it may use regardless of debt, and the time for which unused
/// units of it accumulate.
const FLOOR_FRACTION: f64 = 0.4;
const FLOOR_TIME: Duration = Duration::from_millis(500);
/// Time after which the averages of a new process match those of the others.
const WARMUP_TIME: Duration = Duration::from_secs(15);
/// Bounds of the retry delay returned to callers.
const MIN_RETRY: Duration = Duration::from_millis(50);
const MAX_RETRY: Duration = Duration::from_secs(60);

/// Parameters of an account's token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Units per second.
    pub rate: f64,
    /// Capacity in units.
    pub burst: f64,
}

/// Units deducted for a region while it was silent.
#[derive(Clone, Copy, Debug)]
struct Deduction {
    units: f64,
    /// When units were last deducted.
    at: Instant,
}

/// The bucket of one account as this node sees it.
#[derive(Clone, Debug)]
pub(crate) struct AccountBucket {
    pub(crate) limit: QuotaLimit,
    pub(crate) level: f64,
    /// Units that the region may use regardless of debt.
    floor: f64,
    at: Instant,
    /// Usage by region tag.
    meters: BTreeMap<ShortTag, UsageMeter>,
    /// The regions' shares when the first of them fell silent; kept until all have been reachable
    /// for a while.
    shares: BTreeMap<ShortTag, f64>,
    /// When a region was last silent; `None` if all have been reachable since the shares were
    /// dropped.
    silent_at: Option<Instant>,
    deductions: BTreeMap<ShortTag, Deduction>,
    /// When this process began to observe the account's usage.
    started: Instant,
    /// The regions that were silent at the last check; `None` before the first check.
    silent: Option<BTreeSet<ShortTag>>,
}

impl AccountBucket {
    /// Creates the bucket of an account in a new process.
    pub(crate) fn new(limit: QuotaLimit, now: Instant) -> Self {
        Self {
            limit,
            level: limit.burst * INITIAL_LEVEL,
            floor: 0.0,
            at: now,
            meters: BTreeMap::new(),
            shares: BTreeMap::new(),
            silent_at: None,
            deductions: BTreeMap::new(),
            started: now,
            silent: None,
        }
    }

    /// Splits the allowance between the regions, in part evenly and in part by their usage.
    ///
    /// The usage is averaged at several points in time, and each share is the largest one that any
    /// node may compute from them, so that all parts together stay within the allowance although
    /// they use different points. A new process averages over less time than the others and
    /// assumes at least an even share for each region.
    fn compute_shares(
        &self,
        regions: &BTreeMap<ShortTag, Instant>,
        now: Instant,
    ) -> BTreeMap<ShortTag, f64> {
        let even = 1.0 / regions.len().max(1) as f64;
        let used = |region: &ShortTag, step: usize| {
            let meter = self.meters.get(region);
            meter.map_or(0.0, |meter| meter.samples[step])
        };
        let share = |region: &ShortTag, step: usize| {
            let all: f64 = regions.keys().map(|region| used(region, step)).sum();
            if all > 0.0 {
                EVEN_FRACTION * even + (1.0 - EVEN_FRACTION) * used(region, step) / all
            } else {
                even
            }
        };
        let warming_up = now.saturating_duration_since(self.started) < WARMUP_TIME;
        let least = if warming_up { even } else { 0.0 };
        let most = |region: &ShortTag| {
            (0..SAMPLE_COUNT)
                .map(|step| share(region, step))
                .fold(least, f64::max)
        };
        let regions = regions.keys();
        regions.map(|region| (*region, most(region))).collect()
    }

    /// Returns the part of the rate available to the processes that are reachable, including this
    /// one.
    ///
    /// `silent` has the silent regions, each with the part of its share that this process may not
    /// use. The result is at least the even part of the reachable regions' shares, which no other
    /// part claims: a partitioned region goes on serving its callers.
    fn available_fraction(&self, silent: &BTreeMap<ShortTag, f64>) -> f64 {
        let lost = silent
            .iter()
            .map(|(region, fraction)| fraction * self.shares.get(region).unwrap_or(&0.0));
        let silent_fraction = silent.values().sum::<f64>() / self.shares.len().max(1) as f64;
        let least = EVEN_FRACTION * (1.0 - silent_fraction).max(0.0);
        (1.0 - lost.sum::<f64>()).max(least)
    }

    /// Freezes the shares when the first region falls silent.
    ///
    /// What each part uses from then on is unknown to the others, and shares that followed it
    /// would add up to more than the allowance. They stay frozen for a while after all regions are
    /// reachable again, because a region that is cut off just then still uses them.
    fn freeze_shares(&mut self, regions: &BTreeMap<ShortTag, Instant>, silent: bool, now: Instant) {
        if silent {
            self.silent_at = Some(now);
            if self.shares.is_empty() {
                self.shares = self.compute_shares(regions, now);
            }
            return;
        }
        let settled = |at: Instant| now.saturating_duration_since(at) >= SETTLE_TIME;
        if self.silent_at.is_some_and(settled) {
            self.silent_at = None;
            self.shares.clear();
        }
    }

    /// Refills the bucket up to `now`.
    pub(crate) fn advance(
        &mut self,
        regions: &BTreeMap<ShortTag, Instant>,
        silent: &BTreeMap<ShortTag, f64>,
        now: Instant,
    ) {
        self.freeze_shares(regions, !silent.is_empty(), now);
        let fraction = self.available_fraction(silent);
        let passed = now.saturating_duration_since(self.at);
        self.at = self.at.max(now);
        self.split(silent, now);
        for (region, others) in silent {
            self.deduct_share(*region, *others, passed, now);
        }
        self.deductions
            .retain(|_, deduction| now.saturating_duration_since(deduction.at) <= RECONCILE_TIME);
        let floor_rate = self.limit.rate * FLOOR_FRACTION / regions.len().max(1) as f64;
        let most = floor_rate * FLOOR_TIME.as_secs_f64();
        self.floor = (self.floor + floor_rate * passed.as_secs_f64()).min(most);
        if self.level < 0.0 {
            self.level *= (-passed.as_secs_f64() / DEBT_DECAY_TIME.as_secs_f64()).exp();
        }
        // The silent regions own the rest of the saved units.
        let most = self.limit.burst * fraction;
        let level = self.level.min(most);
        self.level = (level + self.limit.rate * fraction * passed.as_secs_f64()).min(most);
    }

    /// Divides the bucket with the regions that have just fallen silent.
    ///
    /// Before a silence is detected, each part may spend a whole burst. The level from when all
    /// parts had the same information is divided, and each part is charged its own usage since
    /// then.
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
        let fraction = self.available_fraction(&before).max(f64::MIN_POSITIVE);
        let most = fraction * (self.limit.burst + self.limit.rate * RECENT_TIME.as_secs_f64());
        let whole = (self.level + self.recent_usage_except(&before, now)).min(most);
        let own = self.available_fraction(silent) / fraction * whole
            - self.recent_usage_except(silent, now);
        let mut unreported = 0.0;
        for (region, others) in silent {
            if before.contains_key(region) {
                continue;
            }
            let meter = self.meters.get(region);
            let recent = meter.map_or(0.0, |meter| meter.recent(now));
            // Estimated usage before the silence was detected.
            let expected_rate = meter.map_or(0.0, UsageMeter::expected_rate);
            let estimated = others * expected_rate * SILENCE_TIMEOUT.as_secs_f64();
            unreported += estimated;
            let share = others * self.shares.get(region).unwrap_or(&0.0) / fraction;
            let units = (share * whole - recent).max(estimated);
            self.deductions
                .insert(*region, Deduction { units, at: now });
        }
        self.level = (self.level - unreported).min(own);
    }

    /// Returns the recent usage of all regions except `left_out`.
    fn recent_usage_except(&self, left_out: &BTreeMap<ShortTag, f64>, now: Instant) -> f64 {
        let meters = self.meters.iter();
        let included = meters.filter(|(region, _)| !left_out.contains_key(region));
        included.map(|(_, meter)| meter.recent(now)).sum()
    }

    /// Adds to the deduction for a silent region what it may have used in the elapsed time.
    fn deduct_share(&mut self, region: ShortTag, others: f64, passed: Duration, now: Instant) {
        let share = others * self.shares.get(&region).unwrap_or(&0.0);
        let deduction = self.deductions.entry(region);
        let deduction = deduction.or_insert(Deduction {
            units: 0.0,
            at: now,
        });
        deduction.units += self.limit.rate * share * passed.as_secs_f64();
        deduction.at = now;
    }

    /// Estimates the usage of a region since its last message.
    pub(crate) fn unreported(&self, region: ShortTag, last_contact: Instant, now: Instant) -> f64 {
        let since = now.saturating_duration_since(last_contact).as_secs_f64();
        let meter = self.meters.get(&region);
        meter.map_or(0.0, |meter| meter.expected_rate() * since)
    }

    /// Returns whether requests are admitted regardless of debt. This does not apply during a
    /// partition, when the part uses its share, which is larger.
    pub(crate) fn has_floor(&self) -> bool {
        let all_reachable = self.silent.as_ref().is_none_or(BTreeSet::is_empty);
        self.floor > 0.0 && all_reachable
    }

    /// Returns the time in which a debt is refilled.
    pub(crate) fn refill_time(&self, debt: f64, silent: &BTreeMap<ShortTag, f64>) -> Duration {
        let fraction = self.available_fraction(silent).max(f64::MIN_POSITIVE);
        let wait = Duration::try_from_secs_f64(debt / (self.limit.rate * fraction));
        wait.unwrap_or(MAX_RETRY).clamp(MIN_RETRY, MAX_RETRY)
    }

    /// Deducts a region's usage.
    ///
    /// `own` tells whether it is this node's region, `after_silence` whether the region was silent
    /// between this update and the previous one.
    pub(crate) fn charge(
        &mut self,
        region: ShortTag,
        units: f64,
        own: bool,
        after_silence: bool,
        now: Instant,
    ) {
        let meter = self.meters.entry(region).or_insert(UsageMeter::new(now));
        meter.add(units.max(0.0), now);
        if own {
            self.floor -= units;
        }
        let deduction = self.deductions.get_mut(&region).filter(|_| after_silence);
        let known = deduction.map_or(0.0, |deduction| {
            let known = deduction.units.min(units).max(0.0);
            deduction.units -= known;
            known
        });
        self.level = (self.level - units + known).min(self.limit.burst);
    }
}

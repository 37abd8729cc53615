//! Allowances of client accounts, enforced by all nodes together without an owner.
//!
//! Load pattern: callers of an account use any node, one region carries nearly all of them at its
//! peak hour, and an account at times sends seven times its usual load. Equal shares per node
//! would refuse permitted requests wherever callers concentrate. Each node therefore keeps a token
//! bucket for the whole account and deducts its own requests at once, and those of the other nodes
//! when their updates arrive.
//!
//! Usage that was not reported yet is estimated: each region is assumed to continue at its last
//! rate. A region that stays silent is partitioned or lost. From then on each part of the network
//! uses only its share of the allowance, derived from the regions' earlier usage, so that the
//! parts together stay within it.

use crate::account_bucket::AccountBucket;
use crate::account_bucket::QuotaLimit;
use crate::account_bucket::SILENCE_TIMEOUT;
use crate::usage::ProcessUsage;
use crate::usage::RegionUsage;
use crate::usage::UsageCounter;
use zinniahatch_base::prelude::*;

/// Time without updates after which the counters of a process are dropped.
const DROP_AFTER: Duration = Duration::from_secs(60);

/// Usage reported by one process.
#[derive(Clone, Debug)]
struct ProcessCounters {
    at: Instant,
    /// The counters, each with the time of its last update.
    counts: BTreeMap<AccountTag, (UsageCounter, Instant)>,
}

/// The allowances of all accounts as one node sees them.
#[derive(Clone, Debug)]
pub struct QuotaTable {
    /// The tag of this process.
    own: ShortTag,
    region: ShortTag,
    /// When the last message of each region arrived; for a region without any, a time long
    /// enough ago for it to count as silent.
    last_contact: BTreeMap<ShortTag, Instant>,
    /// Number of other nodes in the region.
    region_peers: usize,
    buckets: BTreeMap<AccountTag, AccountBucket>,
    origins: BTreeMap<ShortTag, ProcessCounters>,
    /// Usage that this process has not announced to its region yet.
    unannounced: BTreeMap<AccountTag, UsageCounter>,
    /// Usage that this region has not announced to the other regions yet.
    unannounced_remote: RegionUsage,
}

impl QuotaTable {
    /// Creates the table of a process in one of several regions.
    pub fn new(
        own: ShortTag,
        region: ShortTag,
        regions: impl IntoIterator<Item = ShortTag>,
        now: Instant,
    ) -> Self {
        // All regions count as silent until their first message arrives.
        let silent = now.checked_sub(SILENCE_TIMEOUT * 2).unwrap_or(now);
        Self {
            own,
            region,
            last_contact: regions.into_iter().map(|region| (region, silent)).collect(),
            region_peers: 0,
            buckets: BTreeMap::new(),
            origins: BTreeMap::new(),
            unannounced: BTreeMap::new(),
            unannounced_remote: RegionUsage::of(region),
        }
    }

    /// Returns whether no account has a limit.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Applies the limits of a desired state.
    pub fn set_limits(&mut self, limits: &BTreeMap<AccountTag, QuotaLimit>, now: Instant) {
        self.buckets
            .retain(|account, _| limits.contains_key(account));
        for (account, limit) in limits {
            if self.buckets.contains_key(account) {
                self.advance(*account, now);
            }
            let bucket = self.buckets.entry(*account);
            let bucket = bucket.or_insert_with(|| AccountBucket::new(*limit, now));
            bucket.limit = *limit;
            bucket.level = bucket.level.min(limit.burst);
        }
    }

    /// Sets the number of other nodes in the region.
    pub fn set_region_peers(&mut self, region_peers: usize) {
        self.region_peers = region_peers;
    }

    /// Records a message from a node of a region.
    pub fn note_contact(&mut self, region: ShortTag, now: Instant) {
        if let Some(at) = self.last_contact.get(&region).copied()
            && now.saturating_duration_since(at) > SILENCE_TIMEOUT
        {
            // The region's share for the time of its silence is deducted before it counts as
            // reachable again.
            for account in self.accounts() {
                self.advance(account, now);
            }
        }
        self.last_contact.insert(region, now);
    }

    fn accounts(&self) -> Vec<AccountTag> {
        self.buckets.keys().copied().collect()
    }

    fn is_silent(&self, region: ShortTag, now: Instant) -> bool {
        // The only node of a region gets messages from no other node there.
        if region == self.region && self.region_peers == 0 {
            return false;
        }
        self.last_contact
            .get(&region)
            .is_some_and(|at| now.saturating_duration_since(*at) > SILENCE_TIMEOUT)
    }

    /// Returns the silent regions, each with the part of its share that this node may not use.
    ///
    /// That is the whole share, or for the own region the part of the other nodes.
    fn silent_parts(&self, now: Instant) -> BTreeMap<ShortTag, f64> {
        let mut parts = BTreeMap::new();
        for region in self.last_contact.keys() {
            if !self.is_silent(*region, now) {
                continue;
            }
            let others = if *region == self.region {
                self.region_peers as f64 / (self.region_peers + 1) as f64
            } else {
                1.0
            };
            parts.insert(*region, others);
        }
        parts
    }

    /// Refills a bucket up to `now`.
    fn advance(&mut self, account: AccountTag, now: Instant) {
        let silent = self.silent_parts(now);
        if let Some(bucket) = self.buckets.get_mut(&account) {
            bucket.advance(&self.last_contact, &silent, now);
        }
    }

    /// Returns the units left to an account, minus the estimated unreported usage of other
    /// regions.
    fn level(&self, bucket: &AccountBucket, now: Instant) -> f64 {
        let last_contact = self.last_contact.iter();
        let others = last_contact.filter(|(region, _)| {
            // For a silent region, its share is deducted instead.
            **region != self.region && !self.is_silent(**region, now)
        });
        bucket.level
            - others
                .map(|(region, at)| bucket.unreported(*region, *at, now))
                .sum::<f64>()
    }

    /// Takes units for a request.
    ///
    /// # Errors
    ///
    /// Returns the time after which units are available again.
    pub fn try_take(
        &mut self,
        account: AccountTag,
        units: u64,
        now: Instant,
    ) -> Result<(), Duration> {
        self.advance(account, now);
        let Some(bucket) = self.buckets.get(&account) else {
            return Ok(());
        };
        let level = self.level(bucket, now);
        if level <= 0.0 && !bucket.has_floor() {
            return Err(bucket.refill_time(-level, &self.silent_parts(now)));
        }
        self.spend(account, units, now);
        Ok(())
    }

    fn spend(&mut self, account: AccountTag, units: u64, now: Instant) {
        let count = UsageCounter {
            spent: units,
            added: units as i64,
            ..UsageCounter::default()
        };
        self.record_own(account, count, now);
    }

    /// Returns the units of a request that did not run.
    pub fn refund(&mut self, account: AccountTag, units: u64, now: Instant) {
        let count = UsageCounter {
            returned: units,
            added: -(units as i64),
            ..UsageCounter::default()
        };
        self.record_own(account, count, now);
    }

    fn record_own(&mut self, account: AccountTag, change: UsageCounter, now: Instant) {
        let region = self.region;
        if !self.buckets.contains_key(&account) {
            return;
        }
        let origin = self
            .origins
            .entry(self.own)
            .or_insert_with(|| ProcessCounters {
                at: now,
                counts: BTreeMap::new(),
            });
        origin.at = now;
        let (total, _) = origin
            .counts
            .entry(account)
            .or_insert((UsageCounter::default(), now));
        total.spent += change.spent;
        total.returned += change.returned;
        let announced = UsageCounter {
            added: change.added,
            ..*total
        };
        self.unannounced
            .entry(account)
            .or_default()
            .merge(&announced);
        self.unannounced_remote.add(self.own, account, &announced);
        self.charge(region, account, change.added as f64, false, now);
    }

    /// Deducts a region's usage; `after_silence` tells whether the region was silent between this
    /// update and the previous one.
    fn charge(
        &mut self,
        region: ShortTag,
        account: AccountTag,
        units: f64,
        after_silence: bool,
        now: Instant,
    ) {
        self.advance(account, now);
        let own = region == self.region;
        if let Some(bucket) = self.buckets.get_mut(&account) {
            bucket.charge(region, units, own, after_silence, now);
        }
    }

    /// Applies usage reported by processes of a region; returns the part that was new.
    pub fn apply_update(&mut self, usage: &RegionUsage, now: Instant) -> RegionUsage {
        let mut new_usage = RegionUsage::of(usage.region);
        self.note_contact(usage.region, now);
        for process in &usage.processes {
            if process.origin == self.own {
                continue;
            }
            let origin = self
                .origins
                .entry(process.origin)
                .or_insert_with(|| ProcessCounters {
                    at: now,
                    counts: BTreeMap::new(),
                });
            origin.at = now;
            let mut charges = Vec::new();
            for (account, announced) in &process.counts {
                let known = origin.counts.get(account).copied();
                let (units, before) = match known {
                    Some((known, _)) if !announced.is_newer(&known) => continue,
                    Some((known, at)) => (announced.since(&known), at),
                    // The rest of the total was reported before this process started to listen.
                    None => (announced.added as f64, now),
                };
                let counter = origin.counts.entry(*account);
                let (counter, at) = counter.or_insert((UsageCounter::default(), now));
                counter.merge(announced);
                counter.added = 0;
                *at = now;
                new_usage.add(process.origin, *account, announced);
                let after_silence = now.saturating_duration_since(before) > SILENCE_TIMEOUT;
                charges.push((*account, units, after_silence));
            }
            for (account, units, after_silence) in charges {
                self.charge(usage.region, account, units, after_silence, now);
            }
        }
        if usage.region == self.region {
            self.unannounced_remote.merge(&new_usage);
        }
        new_usage
    }

    /// Takes the usage that this process has to announce to its region.
    pub fn take_local_usage(&mut self) -> Option<RegionUsage> {
        if self.unannounced.is_empty() {
            return None;
        }
        let counts = std::mem::take(&mut self.unannounced);
        Some(RegionUsage {
            region: self.region,
            processes: vec![ProcessUsage {
                origin: self.own,
                counts: counts.into_iter().collect(),
            }],
        })
    }

    /// Takes the usage that this region has to announce to the others; an empty update still shows
    /// that the region is live.
    pub fn take_remote_usage(&mut self) -> RegionUsage {
        std::mem::replace(&mut self.unannounced_remote, RegionUsage::of(self.region))
    }

    /// Discards the usage to be announced to the other regions, because another node announces it.
    pub fn discard_remote_usage(&mut self) {
        self.unannounced_remote = RegionUsage::of(self.region);
    }

    /// Returns the units left to an account; `None` if it has no limit.
    pub fn remaining(&mut self, account: AccountTag, now: Instant) -> Option<f64> {
        self.advance(account, now);
        let bucket = self.buckets.get(&account)?;
        Some(self.level(bucket, now))
    }

    /// Drops processes that have ended; called once per tick.
    pub fn tick(&mut self, now: Instant) {
        self.origins
            .retain(|_, process| now.saturating_duration_since(process.at) <= DROP_AFTER);
    }
}

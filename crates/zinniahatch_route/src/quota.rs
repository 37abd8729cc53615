//! Allowances of client accounts that all nodes keep together, without one that owns them.
//!
//! Load pattern: callers of an account come to whichever node they like, one region carries nearly all at its hour,
//! and an account at times sends seven times its usual. Equal parts for the nodes would refuse what is allowed
//! wherever callers gather; so each node keeps the bucket of the whole account, takes off at once what it lets
//! pass, and what the others tell as soon as it hears of it.
//!
//! What is not heard yet is estimated: each region is taken to go on as it did last. One that stays silent is cut
//! off or lost; from then on every part takes only its share of the allowance, by what the regions used before, so
//! that the parts together keep within it.

use crate::quota_row::QuotaLimit;
use crate::quota_row::QuotaRow;
use crate::quota_row::SILENCE;
use crate::spend_news::RegionSpends;
use crate::spend_news::SpendNews;
use crate::spend_news::SpentCount;
use zinniahatch_base::prelude::*;

/// Time after which the counts of a process that says nothing are forgotten.
const FORGET: Duration = Duration::from_secs(60);

/// What one process has used, as it told.
#[derive(Clone, Debug)]
struct OriginRow {
    at: Instant,
    /// With the time of the last news of each.
    counts: BTreeMap<AccountTag, (SpentCount, Instant)>,
}

/// The allowances of all accounts as one node sees them.
#[derive(Clone, Debug)]
pub struct QuotaBook {
    /// The tag of this process.
    own: ShortTag,
    region: ShortTag,
    /// When a process of each region was heard of last; of those that never were, since when that is so.
    heard: BTreeMap<ShortTag, Instant>,
    /// Other nodes of the region.
    neighbours: usize,
    rows: BTreeMap<AccountTag, QuotaRow>,
    origins: BTreeMap<ShortTag, OriginRow>,
    /// What this process has to tell its region.
    untold: BTreeMap<AccountTag, SpentCount>,
    /// What this region has to tell the others.
    untold_far: RegionSpends,
}

impl QuotaBook {
    /// Makes the book of a process, in one of several regions.
    pub fn new(
        own: ShortTag,
        region: ShortTag,
        regions: impl IntoIterator<Item = ShortTag>,
        now: Instant,
    ) -> Self {
        // Nobody has been heard yet.
        let silent = now.checked_sub(SILENCE * 2).unwrap_or(now);
        Self {
            own,
            region,
            heard: regions.into_iter().map(|region| (region, silent)).collect(),
            neighbours: 0,
            rows: BTreeMap::new(),
            origins: BTreeMap::new(),
            untold: BTreeMap::new(),
            untold_far: RegionSpends::of(region),
        }
    }

    /// Tells whether no account has a limit.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Puts the limits of a desired state in force.
    pub fn set_limits(&mut self, limits: &BTreeMap<AccountTag, QuotaLimit>, now: Instant) {
        self.rows.retain(|account, _| limits.contains_key(account));
        for (account, limit) in limits {
            if self.rows.contains_key(account) {
                self.advance(*account, now);
            }
            let row = self.rows.entry(*account);
            let row = row.or_insert_with(|| QuotaRow::new(*limit, now));
            row.limit = *limit;
            row.level = row.level.min(limit.burst);
        }
    }

    /// Sets how many other nodes the region has.
    pub fn set_neighbours(&mut self, neighbours: usize) {
        self.neighbours = neighbours;
    }

    /// Notes that a node of a region was heard of.
    pub fn note_heard(&mut self, region: ShortTag, now: Instant) {
        if let Some(at) = self.heard.get(&region).copied()
            && now.saturating_duration_since(at) > SILENCE
        {
            // Its share was taken off while it was silent.
            for account in self.accounts() {
                self.advance(account, now);
            }
        }
        self.heard.insert(region, now);
    }

    fn accounts(&self) -> Vec<AccountTag> {
        self.rows.keys().copied().collect()
    }

    fn is_silent(&self, region: ShortTag, now: Instant) -> bool {
        // A region of one node hears nobody else.
        if region == self.region && self.neighbours == 0 {
            return false;
        }
        self.heard
            .get(&region)
            .is_some_and(|at| now.saturating_duration_since(*at) > SILENCE)
    }

    /// Gives the regions that are silent, and the part of an allowance that is not this node's to use for each: all
    /// of its share, or of the own region that of the other nodes.
    fn silent_parts(&self, now: Instant) -> BTreeMap<ShortTag, f64> {
        let mut parts = BTreeMap::new();
        for region in self.heard.keys() {
            if !self.is_silent(*region, now) {
                continue;
            }
            let others = if *region == self.region {
                self.neighbours as f64 / (self.neighbours + 1) as f64
            } else {
                1.0
            };
            parts.insert(*region, others);
        }
        parts
    }

    /// Fills a bucket up to now.
    fn advance(&mut self, account: AccountTag, now: Instant) {
        let silent = self.silent_parts(now);
        if let Some(row) = self.rows.get_mut(&account) {
            row.advance(&self.heard, &silent, now);
        }
    }

    /// Gives the units that an account has left, but for what other regions used that was not heard yet.
    fn level(&self, row: &QuotaRow, now: Instant) -> f64 {
        let heard = self.heard.iter();
        let others = heard.filter(|(region, _)| {
            // From its silence on, what a region may use is taken off.
            **region != self.region && !self.is_silent(**region, now)
        });
        row.level
            - others
                .map(|(region, at)| row.unheard(*region, *at, now))
                .sum::<f64>()
    }

    /// Takes units for a request.
    ///
    /// # Errors
    ///
    /// Gives the time after which there is room again.
    pub fn take(&mut self, account: AccountTag, units: u64, now: Instant) -> Result<(), Duration> {
        self.advance(account, now);
        let Some(row) = self.rows.get(&account) else {
            return Ok(());
        };
        let level = self.level(row, now);
        if level <= 0.0 && !row.is_spared() {
            return Err(row.wait_for(-level, &self.silent_parts(now)));
        }
        self.spend(account, units, now);
        Ok(())
    }

    fn spend(&mut self, account: AccountTag, units: u64, now: Instant) {
        let count = SpentCount {
            spent: units,
            added: units as i64,
            ..SpentCount::default()
        };
        self.note_own(account, count, now);
    }

    /// Gives units back for a request that did not run.
    pub fn give_back(&mut self, account: AccountTag, units: u64, now: Instant) {
        let count = SpentCount {
            returned: units,
            added: -(units as i64),
            ..SpentCount::default()
        };
        self.note_own(account, count, now);
    }

    fn note_own(&mut self, account: AccountTag, change: SpentCount, now: Instant) {
        let region = self.region;
        if !self.rows.contains_key(&account) {
            return;
        }
        let origin = self.origins.entry(self.own).or_insert_with(|| OriginRow {
            at: now,
            counts: BTreeMap::new(),
        });
        origin.at = now;
        let (total, _) = origin
            .counts
            .entry(account)
            .or_insert((SpentCount::default(), now));
        total.spent += change.spent;
        total.returned += change.returned;
        let told = SpentCount {
            added: change.added,
            ..*total
        };
        self.untold.entry(account).or_default().merge(&told);
        self.untold_far.add(self.own, account, &told);
        self.charge(region, account, change.added as f64, false, now);
    }

    /// Takes off what a region used; `spans` tells whether a silence lay between these news and the ones before.
    fn charge(
        &mut self,
        region: ShortTag,
        account: AccountTag,
        units: f64,
        spans: bool,
        now: Instant,
    ) {
        self.advance(account, now);
        let own = region == self.region;
        if let Some(row) = self.rows.get_mut(&account) {
            row.charge(region, units, own, spans, now);
        }
    }

    /// Takes what processes of a region told; gives what was new of it.
    pub fn hear(&mut self, spends: &RegionSpends, now: Instant) -> RegionSpends {
        let mut fresh = RegionSpends::of(spends.region);
        self.note_heard(spends.region, now);
        for news in &spends.news {
            if news.origin == self.own {
                continue;
            }
            let origin = self
                .origins
                .entry(news.origin)
                .or_insert_with(|| OriginRow {
                    at: now,
                    counts: BTreeMap::new(),
                });
            origin.at = now;
            let mut charges = Vec::new();
            for (account, told) in &news.counts {
                let known = origin.counts.get(account).copied();
                let (units, before) = match known {
                    Some((known, _)) if !told.is_newer(&known) => continue,
                    Some((known, at)) => (told.since(&known), at),
                    // The rest of the total was told before this process listened.
                    None => (told.added as f64, now),
                };
                let kept = origin.counts.entry(*account);
                let (kept, at) = kept.or_insert((SpentCount::default(), now));
                kept.merge(told);
                kept.added = 0;
                *at = now;
                fresh.add(news.origin, *account, told);
                let spans = now.saturating_duration_since(before) > SILENCE;
                charges.push((*account, units, spans));
            }
            for (account, units, spans) in charges {
                self.charge(spends.region, account, units, spans, now);
            }
        }
        if spends.region == self.region {
            self.untold_far.merge(&fresh);
        }
        fresh
    }

    /// Takes what this process has to tell its region.
    pub fn take_news(&mut self) -> Option<RegionSpends> {
        if self.untold.is_empty() {
            return None;
        }
        let counts = std::mem::take(&mut self.untold);
        Some(RegionSpends {
            region: self.region,
            news: vec![SpendNews {
                origin: self.own,
                counts: counts.into_iter().collect(),
            }],
        })
    }

    /// Takes what this region has to tell the others; without news it still says that the region lives.
    pub fn take_far_news(&mut self) -> RegionSpends {
        std::mem::replace(&mut self.untold_far, RegionSpends::of(self.region))
    }

    /// Drops what this region would have to tell the others, where another node tells it.
    pub fn drop_far_news(&mut self) {
        self.untold_far = RegionSpends::of(self.region);
    }

    /// Gives the units that an account has left now; none where it has no limit.
    pub fn left(&mut self, account: AccountTag, now: Instant) -> Option<f64> {
        self.advance(account, now);
        let row = self.rows.get(&account)?;
        Some(self.level(row, now))
    }

    /// Runs once a tick: forgets processes that have ended.
    pub fn tick(&mut self, now: Instant) {
        self.origins
            .retain(|_, row| now.saturating_duration_since(row.at) <= FORGET);
    }
}

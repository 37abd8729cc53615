//! Software versions that serve in each region, as nodes report them to each other.

use crate::PauseDetector;
use crate::ReplicaTable;
use crate::StreamOrigin;
use crate::VersionRecord;
use zinniahatch_base::prelude::*;

/// Age up to which a report counts; reports come with the heartbeats, every 200 to 500 ms.
const REPORT_TIME: Duration = Duration::from_millis(1800);
/// Time after which a new version counts as known in all regions: until then an older report may
/// stand, or the node that reports may not have learned of it.
const ANNOUNCE_TIME: Duration = Duration::from_secs(3);
/// Time for which the record in the store may name a version longer than it may have begun a stream. Nodes
/// go on to tell others what they began meanwhile, since the record shows several versions.
const RECORD_LAG: Duration = Duration::from_secs(20);

domain! {
    /// Replicas of one software version of a service in a region.
    #[derive(Copy, Eq)]
    pub struct VersionCount {
        /// What the replicas began or would begin.
        pub origin: StreamOrigin,
        /// Number of them that may get new work; 0 for a version that has left lately.
        pub ready: u16,
    }

    /// The versions in the region of a node.
    #[derive(Eq, Default)]
    pub struct VersionReport {
        /// Whether the node has followed its region for as long as a stream may last, so that no
        /// other version has served there meanwhile.
        pub complete: bool,
        /// The versions that serve or have served lately.
        pub versions: Vec<VersionCount>,
    }
}

impl VersionReport {
    /// Adds a version unless it is there.
    fn add(&mut self, count: VersionCount) {
        let mut known = self.versions.iter();
        if known.all(|other| other.origin != count.origin) {
            self.versions.push(count);
        }
    }
}

/// What a node knows of the versions in the store.
#[derive(Clone, Debug, Default)]
enum StoredView {
    /// It has not read them since it began to follow its region.
    #[default]
    Unread,
    /// The store has none.
    Missing,
    /// All that have served in the region lately.
    Read(Vec<StreamOrigin>),
}

/// A version that serves or has served in the own region.
#[derive(Clone, Copy, Debug)]
struct OwnVersion {
    first_seen: Instant,
    last_seen: Instant,
    /// Number of its replicas that may get new work.
    ready: u16,
}

/// What the nodes of a region last reported.
#[derive(Clone, Debug, Default)]
struct ReportedVersions {
    /// When a node last reported that it has followed the region for long enough.
    complete_at: Option<Instant>,
    /// Each version with the last count of its replicas that may get new work, and its time.
    versions: BTreeMap<StreamOrigin, (u16, Instant)>,
}

/// The versions that a node knows of.
#[derive(Clone, Debug, Default)]
pub struct VersionTable {
    own: BTreeMap<StreamOrigin, OwnVersion>,
    /// Since when this node has followed the replicas of its region without a gap.
    followed_since: Option<Instant>,
    /// The versions that the store had after that.
    stored: StoredView,
    reports: BTreeMap<RegionId, ReportedVersions>,
    /// The versions of the own region that the record in the store names, as far as this node knows.
    recorded: BTreeSet<StreamOrigin>,
    /// Era of the store that has that record.
    record_era: u64,
    /// Since when this node has followed its region and known that the record names these.
    read_since: BTreeMap<StreamOrigin, Instant>,
    /// Pauses of this node.
    pauses: PauseDetector,
    updated_at: Option<Instant>,
}

impl VersionTable {
    /// Takes over the replicas of the own region; `follows` tells whether this node knows them as
    /// they are now, and `keep` is how long a stream may last, `None` if that is not known. Returns
    /// whether a version is new.
    pub fn update(
        &mut self,
        replicas: &ReplicaTable,
        follows: bool,
        keep: Option<Duration>,
        now: Instant,
    ) -> bool {
        self.note_gaps(follows, keep, now);
        for version in self.own.values_mut() {
            version.ready = 0;
        }
        let known = self.own.len();
        for state in replicas.rows() {
            let version = self.own.entry(state.origin).or_insert(OwnVersion {
                first_seen: now,
                last_seen: now,
                ready: 0,
            });
            version.last_seen = now;
            version.ready = version
                .ready
                .saturating_add(u16::from(state.leaving.is_none()));
        }
        let is_new = self.own.len() > known;
        if let Some(keep) = keep {
            let limit = keep.saturating_add(RECORD_LAG);
            self.own
                .retain(|_, version| now.saturating_duration_since(version.last_seen) <= limit);
        }
        let own = &self.own;
        self.recorded.retain(|origin| own.contains_key(origin));
        is_new
    }

    /// Begins to follow the region anew after a gap: the node lost the store or stood still.
    fn note_gaps(&mut self, follows: bool, keep: Option<Duration>, now: Instant) {
        self.pauses.tick(now);
        let paused = |since| self.pauses.has_paused_since(since, now);
        if !follows || self.followed_since.is_some_and(paused) {
            self.followed_since = None;
            self.stored = StoredView::Unread;
            self.read_since.clear();
        }
        if follows {
            self.followed_since.get_or_insert(now);
        }
        // A version is struck from the record only after it was absent for as long as a stream may last.
        let gap = self.updated_at.map(|at| now.saturating_duration_since(at));
        if gap.zip(keep).is_none_or(|(gap, keep)| gap >= keep) {
            self.recorded.clear();
        }
        self.updated_at = Some(now);
    }

    /// Records that the record in a store of this era names versions of the own region.
    pub fn note_recorded(&mut self, era: u64, origins: impl Iterator<Item = StreamOrigin>) {
        self.note_era(era);
        if era == self.record_era {
            self.recorded.extend(origins);
        }
    }

    /// Records the era of the store. A store that was restored lacks later records.
    pub fn note_era(&mut self, era: u64) {
        if era > self.record_era {
            self.record_era = era;
            self.recorded.clear();
            self.read_since.clear();
        }
    }

    /// Returns the era and the versions of the own region that the record names.
    pub fn recorded(&self) -> (u64, &BTreeSet<StreamOrigin>) {
        (self.record_era, &self.recorded)
    }

    /// Returns whether the record is not known to name some version that serves.
    pub fn lacks_record(&self) -> bool {
        self.own
            .iter()
            .any(|(origin, version)| version.ready > 0 && !self.recorded.contains(origin))
    }

    /// Takes over the record that this node has read for its own region.
    pub fn note_read(&mut self, record: &VersionRecord, now: Instant) {
        self.note_recorded(record.era, record.versions.iter().copied());
        self.read_since
            .retain(|origin, _| record.versions.contains(origin));
        if self.followed_since.is_none() {
            return;
        }
        for origin in &record.versions {
            self.read_since.entry(*origin).or_insert(now);
        }
    }

    /// Returns the versions of the record that this node has not seen for as long as a stream may last.
    pub fn removable(&self, keep: Option<Duration>, now: Instant) -> BTreeSet<StreamOrigin> {
        let mut found = BTreeSet::new();
        let Some(keep) = keep.filter(|_| self.has_followed(keep, now)) else {
            return found;
        };
        for (origin, since) in &self.read_since {
            let has_served = self.has_served(*origin, Some(keep), now);
            if now.saturating_duration_since(*since) >= keep && !has_served {
                found.insert(*origin);
            }
        }
        found
    }

    /// Returns the record with the versions that this node knows; `stored` is what the store has,
    /// `None` if it has nothing of this era.
    ///
    /// Where no record was ever written, no stream has begun: a restored store has a later era.
    pub fn merged_record(
        &self,
        stored: Option<&VersionRecord>,
        era: u64,
        keep: Option<Duration>,
        now: Instant,
    ) -> VersionRecord {
        let mut record = stored.cloned().unwrap_or(VersionRecord {
            era,
            versions: BTreeSet::new(),
            complete: era == 0,
        });
        record.complete |= self.has_followed(keep, now);
        let own = self.own.keys().copied();
        let served = own.filter(|origin| self.has_served(*origin, keep, now));
        record.versions.extend(served);
        record
    }

    /// Returns whether a version has served in the own region within the longest time of a stream, as far
    /// as this node has seen.
    fn has_served(&self, origin: StreamOrigin, keep: Option<Duration>, now: Instant) -> bool {
        let version = self.own.get(&origin);
        version.is_some_and(|version| {
            let absent_for = now.saturating_duration_since(version.last_seen);
            keep.is_none_or(|keep| absent_for <= keep)
        })
    }

    /// Returns the versions of a service that this node has first seen a short time ago, so that nodes
    /// of other regions may not have heard of them.
    pub fn unannounced(&self, service: ShortTag, now: Instant) -> BTreeSet<ShortTag> {
        let is_fresh = |version: &OwnVersion| {
            now.saturating_duration_since(version.first_seen) < ANNOUNCE_TIME
        };
        let of_service = self
            .own
            .iter()
            .filter(|(origin, _)| origin.service == service);
        of_service
            .filter(|(_, version)| is_fresh(version))
            .map(|(origin, _)| origin.version)
            .collect()
    }

    /// Returns whether this node should read the versions in the store: it has not followed its region
    /// for `keep`, the longest time of a stream.
    pub fn wants_stored(&self, keep: Option<Duration>, now: Instant) -> bool {
        matches!(self.stored, StoredView::Unread)
            && self.followed_since.is_some()
            && !self.has_followed(keep, now)
    }

    /// Records the versions in the store; `None` if it has none.
    pub fn note_stored(&mut self, versions: Option<Vec<StreamOrigin>>) {
        self.stored = versions.map_or(StoredView::Missing, StoredView::Read);
    }

    /// Returns whether this node has followed its region for as long as a stream may last.
    pub fn has_followed(&self, keep: Option<Duration>, now: Instant) -> bool {
        let Some((since, keep)) = self.followed_since.zip(keep) else {
            return false;
        };
        now.saturating_duration_since(since) >= keep
    }

    /// Returns the report on the own region; `keep` is how long a stream may last. It is not complete
    /// while that is not known.
    pub fn report(&self, keep: Option<Duration>, now: Instant) -> VersionReport {
        let own = self.own.iter();
        let served = own.filter(|(origin, _)| self.has_served(**origin, keep, now));
        let versions = served.map(|(origin, version)| VersionCount {
            origin: *origin,
            ready: version.ready,
        });
        let mut report = VersionReport {
            complete: self.has_followed(keep, now),
            versions: versions.collect(),
        };
        if let StoredView::Read(stored) = &self.stored
            && !report.complete
        {
            report.complete = self.followed_since.is_some() && keep.is_some();
            for origin in stored {
                report.add(VersionCount {
                    origin: *origin,
                    ready: 0,
                });
            }
        }
        report
    }

    /// Applies the report of a node of any region.
    ///
    /// Nodes of a region learn of a version at different times, so that a version which any of them
    /// has reported lately counts.
    pub fn apply(&mut self, region: &RegionId, report: VersionReport, now: Instant) {
        let known = self.reports.entry(region.clone()).or_default();
        if report.complete {
            known.complete_at = Some(now);
        }
        for count in report.versions {
            known.versions.insert(count.origin, (count.ready, now));
        }
        known.versions.retain(|_, (_, at)| is_recent(*at, now));
    }

    /// Applies what a node of another region knows of the record of that region.
    pub fn apply_recorded(
        &mut self,
        region: &RegionId,
        origins: impl Iterator<Item = StreamOrigin>,
        now: Instant,
    ) {
        let known = self.reports.entry(region.clone()).or_default();
        for origin in origins {
            let (_, at) = known.versions.entry(origin).or_insert((0, now));
            *at = now;
        }
    }

    /// Returns what the nodes of a region have reported lately; `None` if that is nothing.
    fn recent(&self, region: &str, now: Instant) -> Option<VersionReport> {
        let known = self.reports.get(region)?;
        let versions = known.versions.iter();
        let versions = versions.filter(|(_, (_, at))| is_recent(*at, now));
        let versions: Vec<VersionCount> = versions
            .map(|(origin, (ready, _))| VersionCount {
                origin: *origin,
                ready: *ready,
            })
            .collect();
        let complete = known.complete_at.is_some_and(|at| is_recent(at, now));
        (complete || !versions.is_empty()).then_some(VersionReport { complete, versions })
    }

    /// Returns the only version of a service that has served in the own region and any of some others
    /// for as long as a stream may last; `None` if there are several, or if this node cannot tell.
    pub fn sole_version<'a>(
        &self,
        service: ShortTag,
        own_region: &RegionId,
        others: impl Iterator<Item = &'a RegionId>,
        keep: Option<Duration>,
        now: Instant,
    ) -> Option<StreamOrigin> {
        // A version that has left counts for as long as the record may name it.
        if self.shows_several(service, now) {
            return None;
        }
        let mut own = self.report(keep, now);
        // Another node of the region may have followed it for longer.
        if let Some(report) = self.recent(own_region, now) {
            own.complete |= report.complete;
            own.versions.extend(report.versions);
        }
        let mut found = None;
        let mut agrees = |report: &VersionReport| {
            let of_service = |count: &&VersionCount| count.origin.service == service;
            let mut versions = report.versions.iter().filter(of_service);
            report.complete
                && versions.all(|count| *found.get_or_insert(count.origin) == count.origin)
        };
        if !agrees(&own) {
            return None;
        }
        for region in others {
            if !agrees(&self.recent(region, now)?) {
                return None;
            }
        }
        found.filter(|origin: &StreamOrigin| origin.is_known())
    }

    /// Returns whether this node knows of several versions of a service that serve or have served lately.
    pub fn shows_several(&self, service: ShortTag, now: Instant) -> bool {
        let stored = match &self.stored {
            StoredView::Read(stored) => stored.as_slice(),
            StoredView::Unread | StoredView::Missing => &[],
        };
        let reported = self.reports.values().flat_map(|known| &known.versions);
        let recent = reported.filter(|(_, (_, at))| is_recent(*at, now));
        let origins = self.own.keys().chain(stored);
        let origins = origins.chain(recent.map(|(origin, _)| origin));
        let mut of_service = origins.filter(|origin| origin.service == service);
        let first = of_service.next();
        of_service.any(|origin| first != Some(origin))
    }

    /// Returns how many replicas of another region could go on with a stream; `None` if it is not
    /// known.
    pub fn ready_in(&self, region: &str, origin: StreamOrigin, now: Instant) -> Option<u16> {
        let report = self.recent(region, now)?;
        let mut counts = report.versions.iter();
        match counts.find(|count| count.origin == origin) {
            Some(count) => Some(count.ready),
            // A node that has just started may not know all replicas yet.
            None => report.complete.then_some(0),
        }
    }
}

/// Returns whether a report that arrived at a time still counts.
fn is_recent(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) <= REPORT_TIME
}

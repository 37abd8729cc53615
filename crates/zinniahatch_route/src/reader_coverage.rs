//! Decides whether a node may rely on the store readers of its region instead of reading replicas
//! itself.
//!
//! Load pattern: replicas come and go all day at a large site, and each change wakes every watch
//! on them. A few nodes of a region therefore read the store and inform the others by datagram.
//!
//! A node has to notice alone that it missed a datagram. Readers say in their heartbeats up to which
//! revision they have read, with a digest of the state, and with each datagram which revisions it
//! covers. A node is current if what it has covers the newest revision that any reader announced; a
//! match with a reader that is itself behind shows nothing.

use zinniahatch_base::prelude::*;

/// Time for which a node may lack what a reader has read: updates are sent within a few ms of being
/// read, and heartbeats come every 500 ms.
const MAX_DIVERGENCE: Duration = Duration::from_millis(1_100);

domain! {
    /// The revisions of the store after one and up to another.
    #[derive(Copy, Eq)]
    pub struct ReadRange {
        /// The revision after which it begins.
        pub after: StoreRevision,
        /// The last revision.
        pub upto: StoreRevision,
    }
}

/// The nodes for which a reading of the store is complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadScope {
    /// All nodes: what was read is the same in every region.
    Fleet,
    /// The nodes of one region: of the replicas, a node keeps and sends those of its region alone.
    Region(RegionId),
}

/// Statement that everything within a scope is known up to a revision of the store.
///
/// A revision alone does not tell what it covers: a reader of another region has read as far, and has
/// none of the replicas of this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoverageClaim {
    scope: ReadScope,
    upto: StoreRevision,
}

impl CoverageClaim {
    /// Creates the claim of a reader for the nodes within `scope`.
    pub const fn new(scope: ReadScope, upto: StoreRevision) -> Self {
        Self { scope, upto }
    }
}

/// What a store reader announces of one topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReaderReport {
    /// Digest of the state that it has read.
    pub digest: u64,
    /// How far it has read; `None` from nodes of earlier versions.
    pub claim: Option<CoverageClaim>,
}

/// Comparison of a node's state with that of the readers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoverageState {
    /// There is no reader; the node has to read the store itself.
    NoReaders,
    /// The node lacks something that a reader has read.
    Behind,
    /// The node knows what the readers know.
    Current,
}

/// Tracks up to which revision a node has what the readers of its scope have read.
#[derive(Clone, Debug)]
pub struct ReaderCoverage {
    scope: ReadScope,
    /// `None` until the node has had the whole content of its scope.
    covered: Option<StoreRevision>,
    /// A revision that the node is not known to have, and since when.
    awaited: Option<(StoreRevision, Instant)>,
    /// The own digest and that of the reader that has read furthest, if they differ, and since when
    /// both have been the same.
    mismatch: Option<(u64, u64, Instant)>,
}

impl ReaderCoverage {
    /// Creates the coverage of a node that has read nothing of its scope.
    pub const fn new(scope: ReadScope) -> Self {
        Self {
            scope,
            covered: None,
            awaited: None,
            mismatch: None,
        }
    }

    /// Records that the node has everything that a claim covers; returns whether that is the node's
    /// scope. Claims of another scope change nothing.
    pub fn note_covered(&mut self, claim: &CoverageClaim) -> bool {
        if claim.scope != self.scope {
            return false;
        }
        self.extend(claim.upto);
        true
    }

    /// Records a datagram of a reader with all changes of its scope in a range. It adds to what the node
    /// has, and covers nothing by itself.
    pub fn note_range(&mut self, scope: &ReadScope, range: ReadRange, now: Instant) {
        if *scope != self.scope {
            return;
        }
        if self.covered.is_some_and(|covered| range.after <= covered) {
            self.extend(range.upto);
        } else {
            self.awaited.get_or_insert((range.upto, now));
        }
    }

    fn extend(&mut self, upto: StoreRevision) {
        self.covered = self.covered.max(Some(upto));
        self.awaited = self
            .awaited
            .filter(|(revision, _)| Some(*revision) > self.covered);
    }

    /// Returns the revision up to which the node is known to have everything; `None` if it never had.
    pub fn covered(&self) -> Option<StoreRevision> {
        self.covered
    }

    /// Returns the revision that a reader needs to have read so that it has what this node lacks.
    pub fn awaited(&self) -> StoreRevision {
        self.awaited
            .map(|(revision, _)| revision)
            .unwrap_or_default()
    }

    /// Compares the node's digest with those that the readers announced.
    pub fn check(
        &mut self,
        own: u64,
        reports: impl IntoIterator<Item = ReaderReport>,
        now: Instant,
    ) -> CoverageState {
        let mut furthest: Option<(u64, Option<StoreRevision>)> = None;
        let mut matches = false;
        for report in reports {
            if let Some(claim) = &report.claim
                && claim.scope != self.scope
            {
                continue;
            }
            if report.digest == own {
                matches = true;
                if let Some(claim) = &report.claim {
                    self.extend(claim.upto);
                }
            }
            let read_at = report.claim.map(|claim| claim.upto);
            if furthest.is_none_or(|(_, known)| known < read_at) {
                furthest = Some((report.digest, read_at));
            }
        }
        let Some((digest, read_at)) = furthest else {
            self.awaited = None;
            self.mismatch = None;
            return CoverageState::NoReaders;
        };
        match read_at {
            Some(read_at) if Some(read_at) > self.covered => {
                self.awaited.get_or_insert((read_at, now));
            }
            None if !matches => {
                self.awaited.get_or_insert((StoreRevision::default(), now));
            }
            _ => {}
        }
        let lasts = |since: Instant| now.saturating_duration_since(since) > MAX_DIVERGENCE;
        let is_late = self.awaited.is_some_and(|(_, since)| lasts(since));
        let differs = self.note_mismatch(own, digest, matches, now);
        if is_late || lasts(differs.unwrap_or(now)) {
            CoverageState::Behind
        } else {
            CoverageState::Current
        }
    }

    /// Records whether the digests differ, and returns since when they have stayed so. While replicas
    /// come and go they differ for a moment after each change.
    fn note_mismatch(
        &mut self,
        own: u64,
        other: u64,
        matches: bool,
        now: Instant,
    ) -> Option<Instant> {
        if matches {
            self.mismatch = None;
            return None;
        }
        let known = self
            .mismatch
            .filter(|known| (known.0, known.1) == (own, other));
        let since = known.map_or(now, |(_, _, since)| since);
        self.mismatch = Some((own, other, since));
        Some(since)
    }
}

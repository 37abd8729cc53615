//! Decides whether a node may rely on the store readers of its region instead of reading replicas
//! itself.
//!
//! Load pattern: replicas come and go all day at a large site, and each change wakes every watch
//! on them. A few nodes of a region therefore read the store and inform the others by datagram.
//! Their heartbeats carry a digest of what they read, by which a node notices that it missed a
//! datagram, or that there is no reader any more.

use zinniahatch_base::prelude::*;

/// Time for which a node's state may differ from that of all readers: updates are sent within a
/// few ms of being read, and heartbeats come every 500 ms.
const MAX_DIVERGENCE: Duration = Duration::from_millis(1_100);

/// Comparison of a node's state with that of the readers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoverageState {
    /// There is no reader; the node has to read the store itself.
    NoReaders,
    /// The node missed updates from the readers.
    Behind,
    /// The node knows what the readers know.
    Current,
}

/// Tracks since when a node's state has differed from that of the readers.
#[derive(Clone, Debug, Default)]
pub struct ReaderCoverage {
    differs_since: Option<Instant>,
}

impl ReaderCoverage {
    /// Compares the node's digest with those that the readers announced.
    ///
    /// A match with any one reader suffices: readers receive a change up to a second apart, and
    /// each of them sends it to all nodes.
    pub fn check(
        &mut self,
        own: u64,
        announced: impl IntoIterator<Item = u64>,
        now: Instant,
    ) -> CoverageState {
        let mut any = false;
        for digest in announced {
            any = true;
            if digest == own {
                self.differs_since = None;
                return CoverageState::Current;
            }
        }
        if !any {
            self.differs_since = None;
            return CoverageState::NoReaders;
        }
        let since = *self.differs_since.get_or_insert(now);
        if now.saturating_duration_since(since) > MAX_DIVERGENCE {
            return CoverageState::Behind;
        }
        CoverageState::Current
    }
}

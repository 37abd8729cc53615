//! Whether a node may leave the reading of replicas to the readers of its region.
//!
//! Load pattern: replicas come and go all day at a large site, and each change wakes every watch on them.
//! A few nodes of a region read and tell the others by datagram; their cards bear a digest of what they
//! read, by which a node notices that it missed a datagram, or that nobody reads any more.

use zinniahatch_base::prelude::*;

/// Time for which a node may know other than all readers: news is told within a few ms of its reading,
/// and cards come every 500 ms.
const BEHIND_TIME: Duration = Duration::from_millis(1_100);

/// What the readers' cards say to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoverState {
    /// Nobody reads for this node; it has to read for itself.
    Alone,
    /// It has missed what the readers know.
    Behind,
    /// It knows what the readers know.
    Covered,
}

/// Since when a node knows other than the readers.
#[derive(Clone, Debug, Default)]
pub struct ReaderCover {
    differs: Option<Instant>,
}

impl ReaderCover {
    /// Compares the node's digest with those that the readers told.
    ///
    /// One that equals any reader's will do: readers take news a second apart, and each tells it to all.
    pub fn judge(
        &mut self,
        own: u64,
        told: impl IntoIterator<Item = u64>,
        now: Instant,
    ) -> CoverState {
        let mut any = false;
        for digest in told {
            any = true;
            if digest == own {
                self.differs = None;
                return CoverState::Covered;
            }
        }
        if !any {
            self.differs = None;
            return CoverState::Alone;
        }
        let since = *self.differs.get_or_insert(now);
        if now.saturating_duration_since(since) > BEHIND_TIME {
            return CoverState::Behind;
        }
        CoverState::Covered
    }
}

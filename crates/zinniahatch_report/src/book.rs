//! The counts of one node until they are in the store.

use crate::CountKey;
use crate::CountRow;
use crate::CountSheet;
use zinniahatch_base::prelude::*;

/// Shards of accounts; each has its own merger, so that no node receives every node's counts.
pub const REPORT_SHARDS: u16 = 32;
/// Sealed sheets of a shard that wait for the store; at one in ten seconds, an hour.
pub const KEPT_SHEETS: usize = 360;

/// A sheet that takes no more counts.
#[derive(Clone, Debug, PartialEq)]
pub struct SealedSheet {
    /// Rises with each sheet of the shard.
    pub number: u64,
    /// Minute of the sealing, from the epoch.
    pub minute: u64,
    /// The counts.
    pub sheet: CountSheet,
    sent: Option<(NodeId, Instant)>,
}

#[derive(Debug, Default)]
struct ShardBook {
    open: CountSheet,
    number: u64,
    sealed: BTreeMap<u64, SealedSheet>,
}

/// The counts of one node, by shard.
///
/// A sheet stays here until its merger says that it is in the store. Meanwhile the merger has a
/// copy, so the death of either loses nothing but the sheet that is still open.
#[derive(Debug)]
pub struct CountBook {
    shards: Vec<ShardBook>,
    dropped: u64,
}

impl Default for CountBook {
    fn default() -> Self {
        Self::with_shards(REPORT_SHARDS)
    }
}

impl CountBook {
    /// Makes a book with so many shards, at least one; each costs a write to the store an interval.
    pub fn with_shards(count: u16) -> Self {
        let shards = (0..count.max(1)).map(|_| ShardBook::default()).collect();
        Self { shards, dropped: 0 }
    }

    /// Gives how many sheets were dropped because the store was out of reach for too long.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Says whether every count is in the store.
    pub fn is_settled(&self) -> bool {
        self.shards
            .iter()
            .all(|shard| shard.open.is_empty() && shard.sealed.is_empty())
    }

    /// Counts one request.
    pub fn add(&mut self, key: CountKey, row: &CountRow) {
        let shard = tag_of(&key.account) as usize % self.shards.len();
        self.shards[shard].open.add(key, row);
    }

    /// Seals the open sheets that have counts.
    pub fn seal(&mut self, minute: u64) {
        for shard in &mut self.shards {
            if shard.open.is_empty() {
                continue;
            }
            shard.number += 1;
            let sheet = std::mem::take(&mut shard.open);
            let sealed = SealedSheet {
                number: shard.number,
                minute,
                sheet,
                sent: None,
            };
            shard.sealed.insert(shard.number, sealed);
            if shard.sealed.len() > KEPT_SHEETS {
                shard.sealed.pop_first();
                self.dropped += 1;
            }
        }
    }

    /// Gives the sheets to send to their mergers: new ones, those whose merger changed, and those
    /// that a merger has had for long without saying that they are in the store.
    pub fn due(
        &mut self,
        now: Instant,
        again: Duration,
        merger: impl Fn(u16) -> Option<NodeId>,
    ) -> Vec<(u16, NodeId, SealedSheet)> {
        let mut due = Vec::new();
        for (index, shard) in self.shards.iter_mut().enumerate() {
            if shard.sealed.is_empty() {
                continue;
            }
            let Some(owner) = merger(index as u16) else {
                continue;
            };
            for sealed in shard.sealed.values_mut() {
                let held = sealed
                    .sent
                    .as_ref()
                    .is_some_and(|(node, at)| *node == owner && now.duration_since(*at) < again);
                if held {
                    continue;
                }
                sealed.sent = Some((owner.clone(), now));
                due.push((index as u16, owner.clone(), sealed.clone()));
            }
        }
        due
    }

    /// Forgets the sheets of a shard that are in the store.
    pub fn merged(&mut self, shard: u16, numbers: &[u64]) {
        if let Some(book) = self.shards.get_mut(usize::from(shard)) {
            book.sealed.retain(|sealed, _| !numbers.contains(sealed));
        }
    }
}

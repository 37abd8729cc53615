//! The counts of one node until they are in the store.

use crate::CountKey;
use crate::CountRow;
use crate::CountSheet;
use zinniahatch_base::prelude::*;

/// Shards of accounts; each has its own merger, so that no node receives every node's counts.
pub const REPORT_SHARDS: u16 = 32;
/// Sealed sheets of a shard that wait for the store; at one in ten seconds, an hour.
pub const KEPT_SHEETS: usize = 360;

/// Age of the oldest copy from which the store may come back; copies are some seconds old. Sheets of a minute are six
/// at most, a few kilobytes.
const COPY_TIME: Duration = Duration::from_secs(60);

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
    /// When the merger said that it is in the store.
    merged: Option<Instant>,
}

impl SealedSheet {
    /// Tells whether no copy of the store can be older than the sheet's place in it.
    fn is_safe(&self, now: Instant) -> bool {
        self.merged
            .is_some_and(|at| now.saturating_duration_since(at) > COPY_TIME)
    }
}

/// How far the sheets of a node are on their way to the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SheetStates {
    /// Sealed and sent to no merger, for want of one.
    pub unsent: usize,
    /// Sent, and not known to be in the store.
    pub sent: usize,
    /// In the store.
    pub merged: usize,
    /// Minute of the sealing of the oldest that is not in the store, from the epoch.
    pub oldest: Option<u64>,
}

#[derive(Debug, Default)]
struct ShardBook {
    open: CountSheet,
    number: u64,
    sealed: BTreeMap<u64, SealedSheet>,
}

impl ShardBook {
    /// Gives the sheets that are not in the store yet.
    fn waiting(&self) -> impl Iterator<Item = &SealedSheet> {
        let sealed = self.sealed.values();
        sealed.filter(|sealed| sealed.merged.is_none())
    }
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
            .all(|shard| shard.open.is_empty() && shard.waiting().next().is_none())
    }

    /// Gives how far the sealed sheets are.
    pub fn states(&self) -> SheetStates {
        let mut states = SheetStates::default();
        for sealed in self.shards.iter().flat_map(|shard| shard.sealed.values()) {
            if sealed.merged.is_some() {
                states.merged += 1;
                continue;
            }
            if sealed.sent.is_some() {
                states.sent += 1;
            } else {
                states.unsent += 1;
            }
            let oldest = states.oldest.unwrap_or(sealed.minute);
            states.oldest = Some(oldest.min(sealed.minute));
        }
        states
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
                merged: None,
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
            let waiting = shard.sealed.values_mut();
            for sealed in waiting.filter(|sealed| sealed.merged.is_none()) {
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

    /// Notes that sheets of a shard are in the store, and forgets those that have been there for longer than any
    /// copy from which the store may come back is old.
    pub fn merged(&mut self, shard: u16, numbers: &[u64], now: Instant) {
        let Some(book) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        for number in numbers {
            if let Some(sealed) = book.sealed.get_mut(number) {
                sealed.merged.get_or_insert(now);
            }
        }
        book.sealed.retain(|_, sealed| !sealed.is_safe(now));
    }

    /// Hands over once more what the store may have lost when it came back from an older copy; gives how many
    /// sheets. Those that the copy has are known by their marks and are not counted twice.
    pub fn reopen(&mut self, now: Instant) -> usize {
        let mut count = 0;
        for shard in &mut self.shards {
            shard.sealed.retain(|_, sealed| !sealed.is_safe(now));
            for sealed in shard.sealed.values_mut() {
                count += usize::from(sealed.merged.take().is_some());
                sealed.sent = None;
            }
        }
        count
    }
}

//! The counts of one node until they are in the store.

use crate::CountKey;
use crate::CountRow;
use crate::CountTable;
use zinniahatch_base::prelude::*;

/// Number of shards of accounts. Each shard has its own merger, so that no node receives the counts
/// of all nodes.
pub const REPORT_SHARDS: u16 = 32;
/// Limit of the sealed batches of a shard; at one batch every ten seconds they cover an hour.
pub const MAX_SEALED_BATCHES: usize = 360;

/// Maximum age of a backup from which the store may be restored; backups are a few seconds old. A
/// node seals at most six batches in this time, which are a few kilobytes.
const MAX_BACKUP_AGE: Duration = Duration::from_secs(60);

/// A sealed batch of counts, to which no more counts are added.
#[derive(Clone, Debug, PartialEq)]
pub struct SealedBatch {
    /// Sequence number within the shard.
    pub number: u64,
    /// Minute of the sealing, since the epoch.
    pub minute: u64,
    /// The counts.
    pub counts: CountTable,
    sent: Option<(NodeId, Instant)>,
    /// When the merger confirmed that the batch is in the store.
    merged: Option<Instant>,
}

impl SealedBatch {
    /// Whether every backup from which the store may be restored contains the batch.
    fn is_durable(&self, now: Instant) -> bool {
        self.merged
            .is_some_and(|at| now.saturating_duration_since(at) > MAX_BACKUP_AGE)
    }
}

/// Number of a node's sealed batches in each stage on the way to the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BatchStates {
    /// Sealed, but not sent yet because no merger was known.
    pub unsent: usize,
    /// Sent, and not confirmed to be in the store.
    pub sent: usize,
    /// In the store.
    pub merged: usize,
    /// Minute of the sealing of the oldest batch that is not in the store, since the epoch.
    pub oldest: Option<u64>,
}

#[derive(Debug, Default)]
struct ShardBuffer {
    open: CountTable,
    number: u64,
    sealed: BTreeMap<u64, SealedBatch>,
}

impl ShardBuffer {
    /// Returns the batches that are not in the store yet.
    fn unmerged(&self) -> impl Iterator<Item = &SealedBatch> {
        let sealed = self.sealed.values();
        sealed.filter(|sealed| sealed.merged.is_none())
    }
}

/// The counts of one node, by shard.
///
/// A batch is retained until its merger confirms that it is in the store. Meanwhile the merger has
/// a copy, so the failure of either node loses at most the counts that are not sealed yet.
#[derive(Debug)]
pub struct CountBuffer {
    shards: Vec<ShardBuffer>,
    dropped: u64,
}

impl Default for CountBuffer {
    fn default() -> Self {
        Self::with_shards(REPORT_SHARDS)
    }
}

impl CountBuffer {
    /// Creates a buffer with the given number of shards, but at least one. Each shard costs one
    /// write to the store per merge interval.
    pub fn with_shards(count: u16) -> Self {
        let shards = (0..count.max(1)).map(|_| ShardBuffer::default()).collect();
        Self { shards, dropped: 0 }
    }

    /// Returns how many batches were dropped because the store was unreachable for too long.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Whether every count was confirmed to be in the store.
    pub fn is_flushed(&self) -> bool {
        self.shards
            .iter()
            .all(|shard| shard.open.is_empty() && shard.unmerged().next().is_none())
    }

    /// Counts the sealed batches by state.
    pub fn states(&self) -> BatchStates {
        let mut states = BatchStates::default();
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

    /// Adds a row to the open counts of the account's shard.
    pub fn add(&mut self, key: CountKey, row: &CountRow) {
        let shard = tag_of(&key.account) as usize % self.shards.len();
        self.shards[shard].open.add(key, row);
    }

    /// Seals the open counts of each shard that has any.
    pub fn seal(&mut self, minute: u64) {
        for shard in &mut self.shards {
            if shard.open.is_empty() {
                continue;
            }
            shard.number += 1;
            let counts = std::mem::take(&mut shard.open);
            let sealed = SealedBatch {
                number: shard.number,
                minute,
                counts,
                sent: None,
                merged: None,
            };
            shard.sealed.insert(shard.number, sealed);
            if shard.sealed.len() > MAX_SEALED_BATCHES {
                shard.sealed.pop_first();
                self.dropped += 1;
            }
        }
    }

    /// Returns the batches to send to their mergers and marks them as sent.
    ///
    /// These are the new batches, those whose merger changed, and those that their merger has not
    /// confirmed within `timeout`.
    pub fn take_due(
        &mut self,
        now: Instant,
        timeout: Duration,
        merger: impl Fn(u16) -> Option<NodeId>,
    ) -> Vec<(u16, NodeId, SealedBatch)> {
        let mut due = Vec::new();
        for (index, shard) in self.shards.iter_mut().enumerate() {
            if shard.sealed.is_empty() {
                continue;
            }
            let Some(owner) = merger(index as u16) else {
                continue;
            };
            let unmerged = shard.sealed.values_mut();
            for sealed in unmerged.filter(|sealed| sealed.merged.is_none()) {
                let recently_sent = sealed
                    .sent
                    .as_ref()
                    .is_some_and(|(node, at)| *node == owner && now.duration_since(*at) < timeout);
                if recently_sent {
                    continue;
                }
                sealed.sent = Some((owner.clone(), now));
                due.push((index as u16, owner.clone(), sealed.clone()));
            }
        }
        due
    }

    /// Records that batches of a shard are in the store, and evicts the durable batches.
    ///
    /// A batch is durable once it has been in the store for longer than the maximum age of a
    /// backup from which the store may be restored.
    pub fn note_merged(&mut self, shard: u16, numbers: &[u64], now: Instant) {
        let Some(buffer) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        for number in numbers {
            if let Some(sealed) = buffer.sealed.get_mut(number) {
                sealed.merged.get_or_insert(now);
            }
        }
        buffer.sealed.retain(|_, sealed| !sealed.is_durable(now));
    }

    /// Queues the batches again that the store may have lost in a restore from an older backup, and
    /// returns how many they are.
    ///
    /// Batches that the backup contains are recognised by their numbers and not counted twice.
    pub fn requeue_after_restore(&mut self, now: Instant) -> usize {
        let mut count = 0;
        for shard in &mut self.shards {
            shard.sealed.retain(|_, sealed| !sealed.is_durable(now));
            for sealed in shard.sealed.values_mut() {
                count += usize::from(sealed.merged.take().is_some());
                sealed.sent = None;
            }
        }
        count
    }
}

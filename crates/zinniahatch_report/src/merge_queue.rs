//! Counts that a merger has received and not yet written to the store.

use crate::CountGap;
use crate::CountTable;
use crate::HourlyCounts;
use zinniahatch_base::prelude::*;

/// Limit of the written gaps that are remembered and can still be withdrawn.
const MAX_WRITTEN_GAPS: usize = 64;
/// Converts the minute of a batch or gap into the hour of the stored value that takes it.
const MINUTES_PER_HOUR: u64 = 60;

/// A batch of counts as a merger receives it.
#[derive(Clone, Debug)]
pub struct ReceivedBatch {
    /// The node that counted.
    pub node: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Sequence number of the batch within its shard.
    pub number: u64,
    /// Minute of the sealing, since the epoch.
    pub minute: u64,
    /// Whether the node is stopping and sends no further counts.
    pub last: bool,
    /// The counts.
    pub counts: CountTable,
}

/// What is merged into one stored value by one write.
#[derive(Clone, Debug)]
pub struct MergeTask {
    /// The shard.
    pub shard: u16,
    /// The hour, since the epoch.
    pub hour: u64,
    batches: Vec<ReceivedBatch>,
    gaps: Vec<CountGap>,
    withdrawn_gaps: Vec<CountGap>,
}

/// Received batches and gaps that wait to be written to the store.
#[derive(Debug, Default)]
pub struct MergeQueue {
    shards: BTreeMap<u16, BTreeMap<(NodeId, Incarnation, u64), ReceivedBatch>>,
    /// Newest minute received from each incarnation, and whether its last batch has come.
    received: BTreeMap<(NodeId, Incarnation), (u64, bool)>,
    /// Gaps to write.
    gaps: Vec<CountGap>,
    /// Gaps in the store that may still turn out to be wrong.
    written_gaps: Vec<CountGap>,
    /// Gaps to remove from the store.
    withdrawn_gaps: Vec<CountGap>,
}

impl MergeQueue {
    /// Returns how many batches wait.
    pub fn len(&self) -> usize {
        self.shards.values().map(BTreeMap::len).sum()
    }

    /// Whether neither a batch nor a change to the gaps waits.
    pub fn is_empty(&self) -> bool {
        self.shards.values().all(BTreeMap::is_empty)
            && self.gaps.is_empty()
            && self.withdrawn_gaps.is_empty()
    }

    /// Inserts a batch; a batch that is already queued is replaced, not counted twice.
    pub fn insert(&mut self, shard: u16, batch: ReceivedBatch) {
        let received = self
            .received
            .entry((batch.node.clone(), batch.incarnation))
            .or_default();
        *received = (received.0.max(batch.minute), received.1 || batch.last);
        let key = (batch.node.clone(), batch.incarnation, batch.number);
        self.shards.entry(shard).or_default().insert(key, batch);
    }

    /// Records a gap from the last counts of a node that was declared failed.
    ///
    /// A node that has sent its last batch leaves no gap.
    pub fn record_failure(&mut self, node: &NodeId, incarnation: Incarnation, minute: u64) {
        let received = self.received.get(&(node.clone(), incarnation)).copied();
        let (from, closed) = received.unwrap_or((minute, false));
        self.received.remove(&(node.clone(), incarnation));
        if closed {
            return;
        }
        self.gaps.push(CountGap {
            node: node.clone(),
            incarnation,
            from,
            until: minute.max(from),
        });
    }

    /// Withdraws the gaps of a node that was declared failed but is alive: its counts will arrive.
    pub fn record_recovery(&mut self, node: &NodeId, incarnation: Incarnation) {
        let same = |gap: &CountGap| gap.node == *node && gap.incarnation == incarnation;
        self.gaps.retain(|gap| !same(gap));
        for gap in std::mem::take(&mut self.written_gaps) {
            if same(&gap) {
                self.withdrawn_gaps.push(gap);
            } else {
                self.written_gaps.push(gap);
            }
        }
    }

    /// Returns the writes that are due: for each shard, one for each hour of its batches.
    ///
    /// The counts of a batch and its number go into one stored value, that of the hour in which the
    /// batch was sealed, in one compare-and-swap. Counts of an earlier hour keep that hour in their
    /// key.
    pub fn tasks(&self) -> Vec<MergeTask> {
        let mut tasks: BTreeMap<(u16, u64), MergeTask> = BTreeMap::new();
        for (shard, batches) in &self.shards {
            for batch in batches.values() {
                let hour = batch.minute / MINUTES_PER_HOUR;
                task(&mut tasks, *shard, hour).batches.push(batch.clone());
            }
        }
        for gap in &self.gaps {
            let hour = gap.until / MINUTES_PER_HOUR;
            task(&mut tasks, 0, hour).gaps.push(gap.clone());
        }
        for gap in &self.withdrawn_gaps {
            let hour = gap.until / MINUTES_PER_HOUR;
            task(&mut tasks, 0, hour).withdrawn_gaps.push(gap.clone());
        }
        tasks.into_values().collect()
    }

    /// Removes what a task has written, and returns the merged batch numbers to acknowledge, by
    /// node and incarnation.
    pub fn complete(&mut self, task: &MergeTask) -> Vec<(NodeId, Incarnation, Vec<u64>)> {
        let mut merged: BTreeMap<(NodeId, Incarnation), Vec<u64>> = BTreeMap::new();
        if let Some(batches) = self.shards.get_mut(&task.shard) {
            for batch in &task.batches {
                batches.remove(&(batch.node.clone(), batch.incarnation, batch.number));
                merged
                    .entry((batch.node.clone(), batch.incarnation))
                    .or_default()
                    .push(batch.number);
            }
        }
        self.gaps.retain(|gap| !task.gaps.contains(gap));
        self.withdrawn_gaps
            .retain(|gap| !task.withdrawn_gaps.contains(gap));
        self.written_gaps.extend(task.gaps.iter().cloned());
        let excess = self.written_gaps.len().saturating_sub(MAX_WRITTEN_GAPS);
        self.written_gaps.drain(..excess);
        merged
            .into_iter()
            .map(|((node, incarnation), numbers)| (node, incarnation, numbers))
            .collect()
    }
}

impl MergeTask {
    /// Merges the task into the value read from the store; returns whether anything changed.
    pub fn apply(&self, hourly: &mut HourlyCounts) -> bool {
        let mut changed = false;
        for batch in &self.batches {
            changed |= hourly.merge(
                &batch.node,
                batch.incarnation,
                batch.number,
                batch.minute,
                &batch.counts,
            );
            if batch.last {
                hourly.close(&batch.node, batch.incarnation);
            }
        }
        for gap in &self.gaps {
            hourly.add_gap(gap.clone());
            changed = true;
        }
        for gap in &self.withdrawn_gaps {
            changed |= hourly.remove_gap(gap);
        }
        changed
    }
}

fn task(tasks: &mut BTreeMap<(u16, u64), MergeTask>, shard: u16, hour: u64) -> &mut MergeTask {
    tasks.entry((shard, hour)).or_insert_with(|| MergeTask {
        shard,
        hour,
        batches: Vec::new(),
        gaps: Vec::new(),
        withdrawn_gaps: Vec::new(),
    })
}

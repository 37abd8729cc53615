//! The stored value of one hour: the counts, and which batches of which nodes they contain.

use crate::CountTable;
use zinniahatch_base::prelude::*;

domain! {
    /// Which batches of one incarnation of a node are merged.
    pub struct MergedBatches {
        /// The node.
        pub node: NodeId,
        /// Its incarnation.
        pub incarnation: Incarnation,
        /// The merged batch numbers, as inclusive ranges; there is one range unless batches arrived
        /// out of order.
        pub ranges: Vec<(u64, u64)>,
        /// Whether the node announced that no counts follow.
        pub closed: bool,
        /// Minute of the newest merged counts, since the epoch.
        pub minute: u64,
    }

    /// Minutes for which the counts of a node are missing.
    #[derive(Eq)]
    pub struct CountGap {
        /// The node.
        pub node: NodeId,
        /// Its incarnation.
        pub incarnation: Incarnation,
        /// First missing minute, since the epoch.
        pub from: u64,
        /// Last missing minute, since the epoch.
        pub until: u64,
    }

    /// The counts of one hour, of one region or of one shard of a data centre.
    #[derive(Default)]
    pub struct HourlyCounts {
        /// The merged counts.
        #[serde(rename = "sheet")]
        pub counts: CountTable,
        /// The merged batches, by incarnation of a node.
        #[serde(rename = "marks")]
        pub merged: Vec<MergedBatches>,
        /// Minutes for which counts are missing.
        pub gaps: Vec<CountGap>,
    }
}

impl HourlyCounts {
    /// Merges a numbered batch of a node, unless it is merged already; returns whether it was new.
    ///
    /// A merge whose response was lost is tried again. The batch number, which is written together
    /// with the counts, makes the merge idempotent.
    pub fn merge(
        &mut self,
        node: &str,
        incarnation: Incarnation,
        number: u64,
        minute: u64,
        counts: &CountTable,
    ) -> bool {
        let merged = self.merged_batches(node, incarnation);
        if !merged.insert(number) {
            return false;
        }
        merged.minute = merged.minute.max(minute);
        // Counts sealed at or after the end of a gap show that the node was alive, so that no
        // counts are missing.
        self.gaps
            .retain(|gap| gap.incarnation != incarnation || gap.until > minute);
        self.counts.merge(counts);
        true
    }

    /// Records that a node was stopped as planned, after its last counts.
    pub fn close(&mut self, node: &str, incarnation: Incarnation) {
        self.merged_batches(node, incarnation).closed = true;
    }

    /// Records the minutes for which the counts of a dead node are missing.
    pub fn add_gap(&mut self, gap: CountGap) {
        if !self.gaps.contains(&gap) {
            self.gaps.push(gap);
        }
    }

    /// Removes a gap; returns whether it was there.
    pub fn remove_gap(&mut self, gap: &CountGap) -> bool {
        let before = self.gaps.len();
        self.gaps.retain(|known| known != gap);
        before != self.gaps.len()
    }

    fn merged_batches(&mut self, node: &str, incarnation: Incarnation) -> &mut MergedBatches {
        let known = self
            .merged
            .iter()
            .position(|merged| &*merged.node == node && merged.incarnation == incarnation);
        let index = known.unwrap_or_else(|| {
            self.merged.push(MergedBatches {
                node: node.into(),
                incarnation,
                ranges: Vec::new(),
                closed: false,
                minute: 0,
            });
            self.merged.len() - 1
        });
        &mut self.merged[index]
    }
}

impl MergedBatches {
    /// Adds a batch number; returns whether it is new.
    fn insert(&mut self, number: u64) -> bool {
        if self
            .ranges
            .iter()
            .any(|(from, until)| (*from..=*until).contains(&number))
        {
            return false;
        }
        self.ranges.push((number, number));
        self.ranges.sort_unstable();
        let mut joined: Vec<(u64, u64)> = Vec::new();
        for (from, until) in self.ranges.drain(..) {
            match joined.last_mut() {
                Some(last) if last.1 + 1 == from => last.1 = until,
                Some(_) | None => joined.push((from, until)),
            }
        }
        self.ranges = joined;
        true
    }
}

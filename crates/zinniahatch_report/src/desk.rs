//! Counts that a merger has received and not yet written to the store.

use crate::CountSheet;
use crate::GapNote;
use crate::HourLedger;
use zinniahatch_base::prelude::*;

/// Named gaps that can still be taken back.
const KEPT_GAPS: usize = 64;
/// Hours in whose values the marks of a shard's last sheet may stand.
const MINUTES_PER_HOUR: u64 = 60;

/// One sheet as a merger receives it.
#[derive(Clone, Debug)]
pub struct DeskSheet {
    /// The node that counted.
    pub node: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The number of the sheet in its shard.
    pub number: u64,
    /// Minute of the sealing, from the epoch.
    pub minute: u64,
    /// Whether the node stops and no counts follow.
    pub last: bool,
    /// The counts.
    pub sheet: CountSheet,
}

/// What one write to the store carries.
#[derive(Clone, Debug)]
pub struct MergeTask {
    /// The shard.
    pub shard: u16,
    /// The hour, from the epoch.
    pub hour: u64,
    sheets: Vec<DeskSheet>,
    gaps: Vec<GapNote>,
    refuted: Vec<GapNote>,
}

/// Sheets by shard.
#[derive(Debug, Default)]
pub struct MergeDesk {
    shards: BTreeMap<u16, BTreeMap<(NodeId, Incarnation, u64), DeskSheet>>,
    heard: BTreeMap<(NodeId, Incarnation), (u64, bool)>,
    gaps: Vec<GapNote>,
    named: Vec<GapNote>,
    refuted: Vec<GapNote>,
}

impl MergeDesk {
    /// Gives how many sheets wait.
    pub fn len(&self) -> usize {
        self.shards.values().map(BTreeMap::len).sum()
    }

    /// Says whether no sheet waits.
    pub fn is_empty(&self) -> bool {
        self.shards.values().all(BTreeMap::is_empty)
            && self.gaps.is_empty()
            && self.refuted.is_empty()
    }

    /// Takes a sheet; one that is here already is not taken twice.
    pub fn take(&mut self, shard: u16, sheet: DeskSheet) {
        let heard = self
            .heard
            .entry((sheet.node.clone(), sheet.incarnation))
            .or_default();
        *heard = (heard.0.max(sheet.minute), heard.1 || sheet.last);
        let key = (sheet.node.clone(), sheet.incarnation, sheet.number);
        self.shards.entry(shard).or_default().insert(key, sheet);
    }

    /// Notes that a node was judged dead, so that the minutes after its last counts are named.
    ///
    /// A node that said that no counts follow has no gap.
    pub fn note_death(&mut self, node: &NodeId, incarnation: Incarnation, minute: u64) {
        let heard = self.heard.get(&(node.clone(), incarnation)).copied();
        let (from, closed) = heard.unwrap_or((minute, false));
        self.heard.remove(&(node.clone(), incarnation));
        if closed {
            return;
        }
        self.gaps.push(GapNote {
            node: node.clone(),
            incarnation,
            from,
            until: minute.max(from),
        });
    }

    /// Notes that a node that was judged dead lives: its gap is taken back, for its counts come.
    pub fn note_alive(&mut self, node: &NodeId, incarnation: Incarnation) {
        let same = |gap: &GapNote| gap.node == *node && gap.incarnation == incarnation;
        self.gaps.retain(|gap| !same(gap));
        for gap in std::mem::take(&mut self.named) {
            if same(&gap) {
                self.refuted.push(gap);
            } else {
                self.named.push(gap);
            }
        }
    }

    /// Gives the writes that are due: for each shard, one for each hour that its sheets touch.
    ///
    /// A sheet's counts and its mark go into one value, the value of the hour of its sealing, in
    /// one compare-and-swap; counts of an earlier hour keep that hour in their key.
    pub fn tasks(&self) -> Vec<MergeTask> {
        let mut tasks: BTreeMap<(u16, u64), MergeTask> = BTreeMap::new();
        for (shard, sheets) in &self.shards {
            for sheet in sheets.values() {
                let hour = sheet.minute / MINUTES_PER_HOUR;
                task(&mut tasks, *shard, hour).sheets.push(sheet.clone());
            }
        }
        for gap in &self.gaps {
            let hour = gap.until / MINUTES_PER_HOUR;
            task(&mut tasks, 0, hour).gaps.push(gap.clone());
        }
        for gap in &self.refuted {
            let hour = gap.until / MINUTES_PER_HOUR;
            task(&mut tasks, 0, hour).refuted.push(gap.clone());
        }
        tasks.into_values().collect()
    }

    /// Drops what a task wrote; gives whom to tell: node, incarnation and numbers.
    pub fn done(&mut self, task: &MergeTask) -> Vec<(NodeId, Incarnation, Vec<u64>)> {
        let mut told: BTreeMap<(NodeId, Incarnation), Vec<u64>> = BTreeMap::new();
        if let Some(sheets) = self.shards.get_mut(&task.shard) {
            for sheet in &task.sheets {
                sheets.remove(&(sheet.node.clone(), sheet.incarnation, sheet.number));
                told.entry((sheet.node.clone(), sheet.incarnation))
                    .or_default()
                    .push(sheet.number);
            }
        }
        self.gaps.retain(|gap| !task.gaps.contains(gap));
        self.refuted.retain(|gap| !task.refuted.contains(gap));
        self.named.extend(task.gaps.iter().cloned());
        let excess = self.named.len().saturating_sub(KEPT_GAPS);
        self.named.drain(..excess);
        told.into_iter()
            .map(|((node, incarnation), numbers)| (node, incarnation, numbers))
            .collect()
    }
}

impl MergeTask {
    /// Merges the task into the value read from the store; gives whether anything changed.
    pub fn apply(&self, ledger: &mut HourLedger) -> bool {
        let mut changed = false;
        for sheet in &self.sheets {
            changed |= ledger.merge(
                &sheet.node,
                sheet.incarnation,
                sheet.number,
                sheet.minute,
                &sheet.sheet,
            );
            if sheet.last {
                ledger.close(&sheet.node, sheet.incarnation);
            }
        }
        for gap in &self.gaps {
            ledger.note_gap(gap.clone());
            changed = true;
        }
        for gap in &self.refuted {
            changed |= ledger.take_back(gap);
        }
        changed
    }
}

fn task(tasks: &mut BTreeMap<(u16, u64), MergeTask>, shard: u16, hour: u64) -> &mut MergeTask {
    tasks.entry((shard, hour)).or_insert_with(|| MergeTask {
        shard,
        hour,
        sheets: Vec::new(),
        gaps: Vec::new(),
        refuted: Vec::new(),
    })
}

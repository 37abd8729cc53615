//! Replica updates on their way from the store readers to the other nodes.

use crate::ReadRange;
use crate::ReplicaEntry;
use crate::ReplicaIncarnation;
use zinniahatch_base::prelude::*;

domain! {
    /// Replica updates for the nodes of a region.
    #[derive(Default)]
    pub struct ReplicaUpdates {
        /// Entries that were written.
        pub written: Vec<ReplicaEntry>,
        /// Entries that were removed, with the store revision of the removal.
        pub removed: Vec<(ReplicaId, StoreRevision)>,
        /// Data centres whose evacuation began (`true`) or ended, with the store revision of the
        /// change.
        pub evacuations: Vec<(DataCentreId, bool, StoreRevision)>,
        /// Replica incarnations that announced in a response that they are leaving.
        pub leaving: Vec<ReplicaIncarnation>,
    }
}

/// Replica updates that have not been sent yet.
#[derive(Debug, Default)]
pub struct UpdateOutbox {
    pending: ReplicaUpdates,
    /// What this node has read since the last updates that it sent; `None` if it does not read the
    /// store for its region.
    read: Option<ReadRange>,
}

impl UpdateOutbox {
    /// Adds an entry that was written.
    pub fn push_written(&mut self, entry: ReplicaEntry) {
        self.pending.written.push(entry);
    }

    /// Adds an entry that was removed at a revision.
    pub fn push_removed(&mut self, id: ReplicaId, revision: StoreRevision) {
        self.pending.removed.push((id, revision));
    }

    /// Adds a data centre whose evacuation began or ended.
    pub fn push_evacuation(&mut self, change: (DataCentreId, bool, StoreRevision)) {
        self.pending.evacuations.push(change);
    }

    /// Adds a replica that announced that it is leaving.
    pub fn push_leaving(&mut self, incarnation: ReplicaIncarnation) {
        self.pending.leaving.push(incarnation);
    }

    /// Records that all changes in a range have been read and added.
    pub fn note_read(&mut self, range: ReadRange) {
        match &mut self.read {
            Some(read) if read.upto >= range.after => read.upto = read.upto.max(range.upto),
            read => *read = Some(range),
        }
    }

    /// Records that this node does not read the store for its region, or left out a change.
    pub fn note_gap(&mut self) {
        self.read = None;
    }

    /// Removes and returns up to `max` updates in the order of their revisions, and the revisions that
    /// they cover; `None` if there are none.
    pub fn take_batch(&mut self, max: usize) -> Option<(ReplicaUpdates, Option<ReadRange>)> {
        if self.pending == ReplicaUpdates::default() {
            return None;
        }
        let pending = &mut self.pending;
        pending.written.sort_by_key(|entry| entry.revision);
        pending.removed.sort_by_key(|(_, revision)| *revision);
        let mut batch = ReplicaUpdates {
            // Not limited by `max`: there are only a few data centres, so these always fit.
            evacuations: std::mem::take(&mut pending.evacuations),
            ..ReplicaUpdates::default()
        };
        let (mut written, mut removed) = (0, 0);
        while written + removed < max {
            let next_written = pending.written.get(written).map(|entry| entry.revision);
            let next_removed = pending.removed.get(removed).map(|(_, revision)| *revision);
            match (next_written, next_removed) {
                (None, None) => break,
                (Some(one), Some(other)) if one > other => removed += 1,
                (Some(_), _) => written += 1,
                (None, Some(_)) => removed += 1,
            }
        }
        batch.written = pending.written.drain(..written).collect();
        batch.removed = pending.removed.drain(..removed).collect();
        let leaving = pending.leaving.len().min(max - written - removed);
        batch.leaving = pending.leaving.drain(..leaving).collect();
        let range = self.take_range();
        Some((batch, range))
    }

    /// Returns the revisions up to those of the next pending update, and goes on from there.
    fn take_range(&mut self) -> Option<ReadRange> {
        let read = self.read.as_mut()?;
        let next_written = self.pending.written.first().map(|entry| entry.revision);
        let next_removed = self.pending.removed.first().map(|(_, revision)| *revision);
        let next = next_written.into_iter().chain(next_removed).min();
        let upto = next.map_or(read.upto, |next| read.upto.min(before(next)));
        let range = ReadRange {
            after: read.after,
            upto: upto.max(read.after),
        };
        read.after = range.upto;
        Some(range)
    }
}

/// Returns the revision before another one of the same era.
fn before(revision: StoreRevision) -> StoreRevision {
    StoreRevision {
        number: revision.number.saturating_sub(1),
        ..revision
    }
}

//! The platform's store of the model: entries of replicas, silence, and returns from an older copy.

use std::collections::BTreeMap;
use std::time::Duration;
use zinniahatch_base::prelude::StoreRevision;
use zinniahatch_route::ReplicaEntry;

type Entries = BTreeMap<usize, ReplicaEntry>;

/// What became of the store in a step.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreReturn {
    /// Whether it answers again.
    pub(crate) back: bool,
    /// Whether it came back from an older copy.
    pub(crate) older: bool,
}

#[derive(Default)]
pub(crate) struct FleetStore {
    entries: Entries,
    number: u64,
    era: u64,
    /// Copies with their times and revision numbers.
    copies: Vec<(Duration, u64, Entries)>,
    silent: Option<Duration>,
    /// The time of the copy from which it comes back.
    copy: Option<Duration>,
}

impl FleetStore {
    pub(crate) fn is_silent(&self, time: Duration) -> bool {
        self.silent.is_some_and(|until| time < until)
    }

    pub(crate) fn go_silent(&mut self, time: Duration, until: Duration, age: Option<Duration>) {
        self.silent = Some(until);
        self.copy = age.map(|age| time.saturating_sub(age));
    }

    pub(crate) fn revision(&self, number: u64) -> StoreRevision {
        StoreRevision {
            era: self.era,
            number,
        }
    }

    /// Writes an entry; gives it as it lies there, none while the store is silent.
    pub(crate) fn write(
        &mut self,
        replica: usize,
        entry: ReplicaEntry,
        time: Duration,
    ) -> Option<ReplicaEntry> {
        if self.is_silent(time) {
            return None;
        }
        self.number += 1;
        let entry = ReplicaEntry {
            revision: self.revision(self.number),
            ..entry
        };
        self.entries.insert(replica, entry.clone());
        Some(entry)
    }

    /// Removes an entry; gives the number of the revision.
    pub(crate) fn remove(&mut self, replica: usize, time: Duration) -> Option<u64> {
        if self.is_silent(time) || self.entries.remove(&replica).is_none() {
            return None;
        }
        self.number += 1;
        Some(self.number)
    }

    pub(crate) fn list(&self) -> (Vec<ReplicaEntry>, StoreRevision) {
        let entries = self.entries.values().cloned().collect();
        (entries, self.revision(self.number))
    }

    /// Keeps a copy, and ends a silence that is over.
    pub(crate) fn tick(&mut self, time: Duration) -> StoreReturn {
        if self.is_silent(time) {
            return StoreReturn::default();
        }
        let back = self.silent.take().is_some();
        let older = back.then(|| self.copy.take()).flatten();
        if let Some(at) = older {
            let copy = self.copies.iter().rev().find(|(made, _, _)| *made <= at);
            if let Some((_, number, entries)) = copy {
                self.number = *number;
                self.entries.clone_from(entries);
                self.era += 1;
            }
        }
        if time.as_millis().is_multiple_of(500) {
            self.copies.push((time, self.number, self.entries.clone()));
        }
        StoreReturn {
            back,
            older: older.is_some(),
        }
    }
}

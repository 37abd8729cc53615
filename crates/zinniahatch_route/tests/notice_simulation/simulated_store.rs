//! Simulated key-value store of the platform: replica entries, outages and restores from older
//! backups.

use std::collections::BTreeMap;
use std::time::Duration;
use zinniahatch_base::prelude::StoreRevision;
use zinniahatch_route::ReplicaEntry;

type Entries = BTreeMap<usize, ReplicaEntry>;

/// Whether the store recovered in a step.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreRecovery {
    /// Whether an outage ended.
    pub(crate) available: bool,
    /// Whether it was restored from an older backup.
    pub(crate) restored: bool,
}

#[derive(Default)]
pub(crate) struct SimulatedStore {
    entries: Entries,
    number: u64,
    era: u64,
    /// Backups with their times and revision numbers.
    backups: Vec<(Duration, u64, Entries)>,
    unavailable_until: Option<Duration>,
    /// Time of the backup from which it is restored after the outage.
    restore_point: Option<Duration>,
}

impl SimulatedStore {
    pub(crate) fn is_unavailable(&self, time: Duration) -> bool {
        self.unavailable_until.is_some_and(|until| time < until)
    }

    pub(crate) fn begin_outage(
        &mut self,
        time: Duration,
        until: Duration,
        backup_age: Option<Duration>,
    ) {
        self.unavailable_until = Some(until);
        self.restore_point = backup_age.map(|age| time.saturating_sub(age));
    }

    pub(crate) fn revision(&self, number: u64) -> StoreRevision {
        StoreRevision {
            era: self.era,
            number,
        }
    }

    /// Writes an entry; returns it with its revision, `None` during an outage.
    pub(crate) fn write(
        &mut self,
        replica: usize,
        entry: ReplicaEntry,
        time: Duration,
    ) -> Option<ReplicaEntry> {
        if self.is_unavailable(time) {
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

    /// Removes an entry; returns the number of the revision.
    pub(crate) fn remove(&mut self, replica: usize, time: Duration) -> Option<u64> {
        if self.is_unavailable(time) || self.entries.remove(&replica).is_none() {
            return None;
        }
        self.number += 1;
        Some(self.number)
    }

    pub(crate) fn list(&self) -> (Vec<ReplicaEntry>, StoreRevision) {
        let entries = self.entries.values().cloned().collect();
        (entries, self.revision(self.number))
    }

    /// Takes a backup every 500 ms, and ends an outage whose time is over.
    pub(crate) fn tick(&mut self, time: Duration) -> StoreRecovery {
        if self.is_unavailable(time) {
            return StoreRecovery::default();
        }
        let available = self.unavailable_until.take().is_some();
        let restore_point = available.then(|| self.restore_point.take()).flatten();
        if let Some(at) = restore_point {
            let backup = self
                .backups
                .iter()
                .rev()
                .find(|(taken_at, _, _)| *taken_at <= at);
            if let Some((_, number, entries)) = backup {
                self.number = *number;
                self.entries.clone_from(entries);
                self.era += 1;
            }
        }
        if time.as_millis().is_multiple_of(500) {
            self.backups.push((time, self.number, self.entries.clone()));
        }
        StoreRecovery {
            available,
            restored: restore_point.is_some(),
        }
    }
}

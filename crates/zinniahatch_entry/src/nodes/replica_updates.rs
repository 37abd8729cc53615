//! Replica updates on their way from the store readers to the other nodes.

use serde::Deserialize;
use serde::Serialize;
use zinniahatch_base::prelude::*;
use zinniahatch_route::ReplicaEntry;
use zinniahatch_route::ReplicaIncarnation;

/// Replica updates for the nodes of a region.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct ReplicaUpdates {
    /// Entries that were written.
    pub(crate) written: Vec<ReplicaEntry>,
    /// Entries that were removed, with the store revision of the removal.
    pub(crate) removed: Vec<(ReplicaId, StoreRevision)>,
    /// Data centres whose evacuation began (`true`) or ended, with the store revision of the
    /// change.
    pub(crate) evacuations: Vec<(DataCentreId, bool, StoreRevision)>,
    /// Replica incarnations that announced in a response that they are leaving.
    pub(crate) leaving: Vec<ReplicaIncarnation>,
}

/// Software versions of replica entries, in their order.
///
/// They follow the entries, since nodes of earlier versions could not decode an entry with one more
/// field.
pub(crate) type EntryVersions = Vec<Option<Box<str>>>;

/// Returns the software versions of entries.
pub(crate) fn versions_of(entries: &[ReplicaEntry]) -> EntryVersions {
    let versions = entries.iter().map(|entry| entry.version.clone());
    versions.collect()
}

/// Sets the software versions of entries that were received without them.
pub(crate) fn attach_versions(entries: &mut [ReplicaEntry], versions: EntryVersions) {
    for (entry, version) in entries.iter_mut().zip(versions) {
        entry.version = version;
    }
}

impl ReplicaUpdates {
    /// Removes and returns up to `max` updates.
    pub(crate) fn take_batch(&mut self, max: usize) -> Self {
        let written = self.written.len().min(max);
        let removed = self.removed.len().min(max - written);
        let leaving = self.leaving.len().min(max - written - removed);
        Self {
            written: self.written.drain(..written).collect(),
            removed: self.removed.drain(..removed).collect(),
            // Not limited by `max`: there are only a few data centres, so these always fit.
            evacuations: std::mem::take(&mut self.evacuations),
            leaving: self.leaving.drain(..leaving).collect(),
        }
    }
}

//! News of replicas on their way from the nodes that read them in the store to the others.

use serde::Deserialize;
use serde::Serialize;
use zinniahatch_base::prelude::*;
use zinniahatch_route::ReplicaEntry;
use zinniahatch_route::ReplicaIncarnation;

/// News of replicas for the nodes of a region.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct ReplicaNews {
    /// Entries that were written.
    pub(crate) written: Vec<ReplicaEntry>,
    /// Entries that were removed, with the store's revision then.
    pub(crate) removed: Vec<(ReplicaId, StoreRevision)>,
    /// Data centres that are evacuated or taken back, with the store's revision then.
    pub(crate) evacuations: Vec<(DataCentreId, bool, StoreRevision)>,
    /// Lives that said in an answer that they leave.
    pub(crate) leaving: Vec<ReplicaIncarnation>,
}

impl ReplicaNews {
    /// Takes up to so many news out.
    pub(crate) fn take_part(&mut self, most: usize) -> Self {
        let written = self.written.len().min(most);
        let removed = self.removed.len().min(most - written);
        let leaving = self.leaving.len().min(most - written - removed);
        Self {
            written: self.written.drain(..written).collect(),
            removed: self.removed.drain(..removed).collect(),
            // There are a few data centres, so that these always fit.
            evacuations: std::mem::take(&mut self.evacuations),
            leaving: self.leaving.drain(..leaving).collect(),
        }
    }
}

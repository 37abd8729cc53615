//! The counts that a node keeps until they are in the store.

use std::cell::RefCell;
use zinniahatch_base::prelude::*;
use zinniahatch_report::CountBuffer;
use zinniahatch_report::MergeQueue;

/// The counts of this node and, where it merges, of others.
#[derive(Debug)]
pub(crate) struct CountDesk {
    /// What this node has counted.
    pub(crate) book: RefCell<CountBuffer>,
    /// What it merges for its region.
    pub(crate) merging: RefCell<MergeQueue>,
    /// Numbers that are in the store, by the node that has not been told yet.
    pub(crate) told: RefCell<BTreeMap<(NodeId, Incarnation), Vec<u64>>>,
}

impl Default for CountDesk {
    fn default() -> Self {
        Self {
            book: RefCell::new(CountBuffer::with_shards(1)),
            merging: RefCell::default(),
            told: RefCell::default(),
        }
    }
}

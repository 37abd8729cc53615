//! Usage counts that a node holds until they are in the store.

use std::cell::RefCell;
use zinniahatch_base::prelude::*;
use zinniahatch_report::CountBuffer;
use zinniahatch_report::MergeQueue;

/// Usage counts of this node and, while it is the merger of its region, of other nodes.
#[derive(Debug)]
pub(crate) struct PendingCounts {
    /// Counts recorded by this node.
    pub(crate) buffer: RefCell<CountBuffer>,
    /// Counts received for merging into the store.
    pub(crate) merging: RefCell<MergeQueue>,
    /// Numbers of merged batches that have not been reported back yet, by the node that sent them.
    pub(crate) unacknowledged: RefCell<BTreeMap<(NodeId, Incarnation), Vec<u64>>>,
}

impl Default for PendingCounts {
    fn default() -> Self {
        Self {
            buffer: RefCell::new(CountBuffer::with_shards(1)),
            merging: RefCell::default(),
            unacknowledged: RefCell::default(),
        }
    }
}

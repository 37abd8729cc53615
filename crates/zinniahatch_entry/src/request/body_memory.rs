//! Memory for the bodies of requests in progress.
//!
//! A body is kept until its request ends, since another replica may be sent it. A process that exceeds its
//! memory is killed with all requests that it has, so that a body is refused before it is read.

use std::cell::Cell;
use std::rc::Rc;

const BYTES_PER_MIB: usize = 1 << 20;
/// Part of a node's memory that bodies may fill. The rest is for buffers of the kernel that count as the
/// process's, for responses, and for what the node knows.
const MEMORY_PART: f64 = 0.4;

/// The bytes of all bodies that a node holds.
#[derive(Debug)]
pub(crate) struct BodyMemory {
    limit: usize,
    used: Rc<Cell<usize>>,
}

impl BodyMemory {
    /// Creates the record of a node with this memory.
    pub(crate) fn new(memory_mib: u32) -> Self {
        let memory = memory_mib as usize * BYTES_PER_MIB;
        Self {
            limit: (memory as f64 * MEMORY_PART) as usize,
            used: Rc::default(),
        }
    }

    /// Reserves memory for a body; returns `None` if there is too little left.
    pub(crate) fn reserve(&self, bytes: usize) -> Option<BodyReservation> {
        let used = self.used.get().saturating_add(bytes);
        if used > self.limit {
            return None;
        }
        self.used.set(used);
        Some(BodyReservation {
            used: Rc::clone(&self.used),
            bytes,
        })
    }
}

/// Memory reserved for a body until this is dropped.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    used: Rc<Cell<usize>>,
    bytes: usize,
}

impl BodyReservation {
    /// Gives back what a body of this length does not need.
    pub(crate) fn shrink_to(&mut self, bytes: usize) {
        let spare = self.bytes.saturating_sub(bytes);
        self.used.set(self.used.get() - spare);
        self.bytes -= spare;
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.used.set(self.used.get() - self.bytes);
    }
}

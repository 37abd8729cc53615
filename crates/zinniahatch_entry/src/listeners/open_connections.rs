//! The open connections of callers and other nodes.

use super::caller_stream::ConnectionRecord;
use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use zinniahatch_base::prelude::*;
use zinniahatch_route::ConnectionStage;
use zinniahatch_route::MAX_LINGERING;

/// Number of a connection, unique in a process.
type ConnectionNumber = u64;

/// The open connections, by number.
#[derive(Debug, Default)]
pub(crate) struct OpenConnections {
    records: RefCell<BTreeMap<ConnectionNumber, Rc<ConnectionRecord>>>,
    last_number: Cell<ConnectionNumber>,
    /// Number of connections that are read after their last answer.
    lingering: Cell<usize>,
}

impl OpenConnections {
    /// Adds a connection until the guard is dropped.
    pub(super) fn add(&self, record: &Rc<ConnectionRecord>) -> OpenGuard<'_> {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let record = Rc::clone(record);
        self.records.borrow_mut().insert(number, record);
        OpenGuard {
            connections: self,
            number,
        }
    }

    /// Counts a connection that is read after its last answer, until the guard is dropped; returns `None`
    /// if there are too many.
    pub(super) fn linger(&self) -> Option<LingerGuard<'_>> {
        let lingering = self.lingering.get();
        if lingering >= MAX_LINGERING {
            return None;
        }
        self.lingering.set(lingering + 1);
        Some(LingerGuard(&self.lingering))
    }

    /// Returns whether there are none.
    pub(crate) fn is_empty(&self) -> bool {
        self.records.borrow().is_empty()
    }

    /// Returns the number of those with a request whose answer has not been sent to its end.
    pub(crate) fn unanswered(&self) -> usize {
        let records = self.records.borrow();
        let owing = records.values();
        owing
            .filter(|record| record.connection.borrow().owes_answer())
            .count()
    }

    /// Returns the number of those with a complete answer that has not been sent to its end.
    pub(crate) fn sending(&self) -> usize {
        let records = self.records.borrow();
        let sending = records.values();
        sending
            .filter(|record| record.connection.borrow().stage() == ConnectionStage::Answered)
            .count()
    }

    /// Returns the number of connections in each stage.
    pub(crate) fn stages(&self) -> BTreeMap<ConnectionStage, usize> {
        let mut stages = BTreeMap::new();
        for record in self.records.borrow().values() {
            let stage = record.connection.borrow().stage();
            *stages.entry(stage).or_default() += 1;
        }
        stages
    }
}

/// Removes a connection when dropped.
#[derive(Debug)]
pub(super) struct OpenGuard<'a> {
    connections: &'a OpenConnections,
    number: ConnectionNumber,
}

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        let mut records = self.connections.records.borrow_mut();
        records.remove(&self.number);
    }
}

/// Ends the count of a lingering connection when dropped.
#[derive(Debug)]
pub(super) struct LingerGuard<'a>(&'a Cell<usize>);

impl Drop for LingerGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

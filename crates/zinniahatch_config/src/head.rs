//! The head of the configuration: the small value that each change replaces atomically.

use zinniahatch_base::prelude::*;

/// Maximum number of recent changes recorded in the head.
///
/// A writer that lost the store's response looks for its change among them. At 2,500 changes a day, 32
/// records cover about a quarter of an hour, far longer than the minute for which a change is retried.
pub const MAX_RECENT_CHANGES: usize = 32;

domain! {
    /// The head of a configuration: its revision, the preset in force and the digests of its parts.
    #[derive(Default)]
    pub struct ConfigHead {
        /// The revision, which each accepted change increments by one.
        pub revision: Revision,
        /// The preset in force.
        pub preset: PresetId,
        /// Digests of the parts by part name.
        pub parts: BTreeMap<Box<str>, PartHash>,
        /// The most recent changes, newest last.
        pub changes: Vec<ChangeRecord>,
    }

    /// One accepted change.
    pub struct ChangeRecord {
        /// The change id that the writer assigned.
        pub change: Box<str>,
        /// The revision that the change produced.
        pub revision: Revision,
        /// The operator who made the change.
        pub operator: OperatorId,
        /// Seconds since the Unix epoch.
        pub at: u64,
        /// The parts that the change modified.
        pub what: Box<str>,
    }
}

impl ConfigHead {
    /// Returns the head of the next revision, with the change recorded.
    #[must_use]
    pub fn next(&self, change: &str, operator: &str, at: u64, what: &str) -> Self {
        let mut head = self.clone();
        head.revision += 1;
        head.changes.push(ChangeRecord {
            change: change.into(),
            revision: head.revision,
            operator: operator.into(),
            at,
            what: what.into(),
        });
        let excess = head.changes.len().saturating_sub(MAX_RECENT_CHANGES);
        head.changes.drain(..excess);
        head
    }

    /// Returns the revision that a change produced, if the change is recorded.
    pub fn revision_of(&self, change: &str) -> Option<Revision> {
        self.changes
            .iter()
            .find(|note| &*note.change == change)
            .map(|note| note.revision)
    }
}

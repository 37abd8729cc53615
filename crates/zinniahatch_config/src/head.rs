//! The head of the configuration: the one small value that a change swaps.

use zinniahatch_base::prelude::*;

/// Changes that the head remembers.
///
/// A writer whose answer was lost finds its change among them. At 2,500 changes a day, 32 notes
/// reach back about a quarter of an hour, far beyond the minute for which a change is retried.
pub const KEPT_CHANGES: usize = 32;

domain! {
    /// Names the revision, the preset in force and the digest of each part.
    #[derive(Default)]
    pub struct ConfigHead {
        /// The revision; each accepted change raises it by one.
        pub revision: Revision,
        /// The preset in force.
        pub preset: PresetId,
        /// Digest by part name.
        pub parts: BTreeMap<Box<str>, PartHash>,
        /// The last changes, the newest last.
        pub changes: Vec<ChangeNote>,
    }

    /// One accepted change.
    pub struct ChangeNote {
        /// The id that the writer gave it.
        pub change: Box<str>,
        /// The revision that it made.
        pub revision: Revision,
        /// Who made it.
        pub operator: OperatorId,
        /// Seconds since the epoch.
        pub at: u64,
        /// The parts it changed.
        pub what: Box<str>,
    }
}

impl ConfigHead {
    /// Gives the head that follows this one.
    #[must_use]
    pub fn next(&self, change: &str, operator: &str, at: u64, what: &str) -> Self {
        let mut head = self.clone();
        head.revision += 1;
        head.changes.push(ChangeNote {
            change: change.into(),
            revision: head.revision,
            operator: operator.into(),
            at,
            what: what.into(),
        });
        let excess = head.changes.len().saturating_sub(KEPT_CHANGES);
        head.changes.drain(..excess);
        head
    }

    /// Gives the revision that a change made, if it has taken effect.
    pub fn revision_of(&self, change: &str) -> Option<Revision> {
        self.changes
            .iter()
            .find(|note| &*note.change == change)
            .map(|note| note.revision)
    }
}

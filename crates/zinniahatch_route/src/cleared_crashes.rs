//! Crashes that do not count against a prompt part.

use zinniahatch_base::prelude::*;

/// Crashes kept by name.
const MAX_NAMED: usize = 16;

/// Crashes before an answer that lasted.
///
/// The latest are kept by the names of their replica incarnations, since the times in updates are too
/// inexact to compare: they include the transit. The others are kept as the time up to which all
/// crashes are cleared, so that one which is no longer kept by name does not come back as a new one.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClearedCrashes {
    named: BTreeMap<ShortTag, Instant>,
    until: Option<Instant>,
}

impl ClearedCrashes {
    /// Records a crash; returns whether that is new.
    pub(crate) fn insert(&mut self, replica: ShortTag, at: Instant) -> bool {
        if self.covers(replica, at) {
            return false;
        }
        self.named.insert(replica, at);
        while self.named.len() > MAX_NAMED {
            let oldest = self
                .named
                .iter()
                .min_by_key(|(replica, at)| (**at, **replica));
            let Some((replica, at)) = oldest.map(|(replica, at)| (*replica, *at)) else {
                break;
            };
            self.named.remove(&replica);
            self.until = self.until.max(Some(at));
        }
        true
    }

    /// Returns whether a crash does not count.
    pub(crate) fn covers(&self, replica: ShortTag, at: Instant) -> bool {
        self.named.contains_key(&replica) || self.until.is_some_and(|until| at <= until)
    }

    /// Returns the replica incarnations of the crashes kept by name.
    pub(crate) fn names(&self) -> impl Iterator<Item = ShortTag> {
        self.named.keys().copied()
    }
}

//! Updates on suspects that are due to be sent to other nodes.

use zinniahatch_base::prelude::*;

/// Number of times that an update for all nodes is sent: two of three datagrams may be lost.
const BROADCAST_REPEATS: u8 = 3;
/// Largest number of suspects with pending updates; a node that loses more replicas at once leaves
/// the rest to other nodes.
const MAX_PENDING: usize = 256;

/// Which nodes receive an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateTarget {
    /// All known nodes.
    Broadcast,
    /// The own region and one node of each other region.
    Local,
    /// The own region only, since another region sent the update here.
    Relayed,
}

/// Updates that are due, by recipients.
///
/// Most requests on a crashed replica did not cause the crash, and the loss of a region makes
/// thousands suspect; sent by all nodes to all nodes, their updates would take more bandwidth than
/// the heartbeats.
#[derive(Clone, Debug, PartialEq)]
pub struct UpdateBatch<U> {
    /// For all known nodes.
    pub broadcast: Vec<U>,
    /// For the own region and one node of each other region.
    pub local: Vec<U>,
    /// For the own region only, since another region sent them here.
    pub relayed: Vec<U>,
}

impl<U> Default for UpdateBatch<U> {
    fn default() -> Self {
        Self {
            broadcast: Vec::new(),
            local: Vec::new(),
            relayed: Vec::new(),
        }
    }
}

impl<U> UpdateBatch<U> {
    fn push(&mut self, update: U, target: UpdateTarget) {
        let updates = match target {
            UpdateTarget::Broadcast => &mut self.broadcast,
            UpdateTarget::Local => &mut self.local,
            UpdateTarget::Relayed => &mut self.relayed,
        };
        updates.push(update);
    }
}

/// Suspects with pending updates.
#[derive(Clone, Debug)]
pub(crate) struct UpdateQueue<K> {
    pending: BTreeMap<K, PendingUpdate>,
}

#[derive(Clone, Copy, Debug)]
struct PendingUpdate {
    /// How many times it is still to be sent.
    left: u8,
    /// Whether it is for all nodes and goes before the others.
    urgent: bool,
}

impl<K> Default for UpdateQueue<K> {
    fn default() -> Self {
        Self {
            pending: BTreeMap::new(),
        }
    }
}

impl<K: Copy + Ord> UpdateQueue<K> {
    /// Adds a suspect. Those for all nodes are few and bypass the limit, which the loss of many
    /// replicas reaches.
    pub(crate) fn add(&mut self, key: K, broadcast: bool) {
        if broadcast || self.pending.len() < MAX_PENDING || self.pending.contains_key(&key) {
            let pending = PendingUpdate {
                left: BROADCAST_REPEATS,
                urgent: broadcast,
            };
            self.pending.insert(key, pending);
        }
    }

    /// Returns whether updates are due: those never sent and, with `again`, those that are still to be
    /// repeated.
    pub(crate) fn is_due(&self, again: bool) -> bool {
        let mut pending = self.pending.values();
        pending.any(|pending| again || pending.left == BROADCAST_REPEATS)
    }

    /// Takes up to `max` updates: those never sent and, with `again`, those that are still to be
    /// repeated. `update_of` returns the update on a suspect that is still known.
    pub(crate) fn take<U>(
        &mut self,
        again: bool,
        max: usize,
        update_of: impl Fn(K) -> Option<(U, UpdateTarget)>,
    ) -> UpdateBatch<U> {
        let due = self
            .pending
            .iter()
            .filter(|(_, pending)| again || pending.left == BROADCAST_REPEATS);
        let mut due: Vec<(bool, K)> = due.map(|(key, pending)| (!pending.urgent, *key)).collect();
        due.sort_unstable();
        due.truncate(max);
        let mut batch = UpdateBatch::default();
        for (_, key) in due {
            let Some(pending) = self.pending.remove(&key) else {
                continue;
            };
            let left = pending.left - 1;
            let Some((update, target)) = update_of(key) else {
                continue;
            };
            if target == UpdateTarget::Broadcast && left > 0 {
                self.pending.insert(key, PendingUpdate { left, ..pending });
            }
            batch.push(update, target);
        }
        batch
    }

    /// Forgets a suspect.
    pub(crate) fn remove(&mut self, key: &K) {
        self.pending.remove(key);
    }

    /// Keeps only the suspects that `keep` accepts.
    pub(crate) fn retain(&mut self, keep: impl Fn(&K) -> bool) {
        self.pending.retain(|key, _| keep(key));
    }
}

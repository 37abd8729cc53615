//! In-flight work at replicas: this node's own, and that announced by other nodes.

use crate::CachedPrefix;
use crate::InFlightWork;
use crate::PromptSize;
use crate::ReplicaTable;
use zinniahatch_base::prelude::*;

/// Age from which an announcement of in-flight work is sent again with the next heartbeat, one in
/// 500 ms, in case the datagram was lost.
pub const WORK_REFRESH_INTERVAL: Duration = Duration::from_millis(400);

impl ReplicaTable {
    /// Records that a request is sent; `ticket` identifies it on this node.
    pub fn note_sent(
        &mut self,
        id: &str,
        ticket: u64,
        size: &PromptSize,
        work: InFlightWork,
        capacity: u64,
        now: Instant,
    ) {
        let Some(state) = self.rows.get_mut(id) else {
            return;
        };
        state.local_work.add_requests(work);
        state.local_work.add_tokens(work);
        state.in_flight_requests.insert(ticket, now);
        state.prefix_cache.record(&size.parts, capacity);
        self.work_sync.note_changed(state.tag);
        if size.parts.len() > 1 {
            let shared = &size.parts[..size.parts.len() - 1];
            self.work_sync.note_prefix(state.tag, shared, now);
        }
    }

    /// Returns the prompt parts that replicas were sent since the last call, for the nodes of the
    /// region.
    pub fn take_cached_prefixes(&mut self) -> Vec<CachedPrefix> {
        self.work_sync.take_prefixes()
    }

    /// Returns the in-flight work that changed since it was last announced, and marks it as
    /// announced.
    pub fn take_changed_work(&mut self, now: Instant) -> Vec<(ShortTag, InFlightWork)> {
        let mut work = Vec::new();
        for tag in self.work_sync.take_changed() {
            let Some(state) = self.tags.get(&tag).and_then(|id| self.rows.get_mut(id)) else {
                continue;
            };
            if state.local_work == state.announced.0 {
                continue;
            }
            state.announced = (state.local_work, now);
            work.push((tag, state.local_work));
        }
        work
    }

    /// Returns the in-flight work that was announced at least `age` ago, and marks it as announced
    /// again.
    pub fn take_stale_work(
        &mut self,
        age: Duration,
        now: Instant,
    ) -> Vec<(ShortTag, InFlightWork)> {
        let mut work = Vec::new();
        for state in self.rows.values_mut() {
            let (announced, at) = state.announced;
            let has_work = announced != InFlightWork::default();
            if !has_work || now.saturating_duration_since(at) < age {
                continue;
            }
            state.announced = (state.local_work, now);
            work.push((state.tag, state.local_work));
        }
        work
    }

    /// Applies an update of another process's in-flight work; replicas that it does not name are
    /// unchanged.
    ///
    /// Updates may arrive on two paths, directly and through a node that batches them, and overtake
    /// each other. An update older than the last one is dropped: it would restore requests that
    /// have finished.
    pub fn apply_peer_work(
        &mut self,
        origin: ShortTag,
        sequence: u32,
        work: &[(ShortTag, InFlightWork)],
        now: Instant,
    ) {
        if work.is_empty() || !self.work_sync.is_newer(origin, sequence, now) {
            return;
        }
        for (tag, work) in work {
            let Some(state) = self.tags.get(tag).and_then(|id| self.rows.get_mut(id)) else {
                continue;
            };
            if *work == InFlightWork::default() {
                state.peer_work.remove(&origin);
            } else {
                state.peer_work.insert(origin, (*work, now));
            }
        }
    }

    /// Applies prompt parts that replicas were sent by another node.
    pub fn apply_cached_prefixes(
        &mut self,
        prefixes: &[CachedPrefix],
        capacity: impl Fn(&str) -> u64,
    ) {
        for prefix in prefixes {
            let id = self.tags.get(&prefix.replica);
            if let Some(state) = id.and_then(|id| self.rows.get_mut(id)) {
                let capacity = capacity(&state.entry.service);
                state.prefix_cache.record(&prefix.parts, capacity);
            }
        }
    }

    /// Records the first event of a response: its prompt is prefilled.
    pub fn note_first_event(&mut self, id: &str, ticket: u64, work: InFlightWork) {
        if let Some(state) = self.replica_for_ticket(id, ticket) {
            state.local_work.subtract_tokens(work);
            let tag = state.tag;
            self.work_sync.note_changed(tag);
        }
    }

    /// Records the end of a request, whether it succeeded or not.
    pub fn note_ended(&mut self, id: &str, ticket: u64, work: InFlightWork, first_seen: bool) {
        if !first_seen {
            self.note_first_event(id, ticket, work);
        }
        if let Some(state) = self.replica_for_ticket(id, ticket) {
            state.in_flight_requests.remove(&ticket);
            state.local_work.subtract_requests(work);
            let tag = state.tag;
            self.work_sync.note_changed(tag);
        }
    }
}

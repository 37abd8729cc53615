//! The open work at replicas: this node's own, and what other nodes say of theirs.

use crate::OpenWork;
use crate::PromptRead;
use crate::PromptSize;
use crate::ReplicaTable;
use zinniahatch_base::prelude::*;

/// Age of what was told of open work from which the next round of cards, one in 500 ms, tells it again, in
/// case the datagram was lost.
pub const REFRESH_TIME: Duration = Duration::from_millis(400);

impl ReplicaTable {
    /// Notes that a request goes out; `ticket` is a number of the node's own.
    pub fn note_sent(
        &mut self,
        id: &str,
        ticket: u64,
        size: &PromptSize,
        work: OpenWork,
        capacity: u64,
        now: Instant,
    ) {
        let Some(belief) = self.rows.get_mut(id) else {
            return;
        };
        belief.own.add_requests(work);
        belief.own.add_tokens(work);
        belief.open.insert(ticket, now);
        belief.kept.record(&size.parts, capacity);
        self.news.note_changed(belief.tag);
        if size.parts.len() > 1 {
            let shared = &size.parts[..size.parts.len() - 1];
            self.news.note_read(belief.tag, shared, now);
        }
    }

    /// Takes what this node had read since the last call, to tell the nodes of its region.
    pub fn take_reads(&mut self) -> Vec<PromptRead> {
        self.news.take_reads()
    }

    /// Takes the work that changed since the other nodes were told.
    pub fn take_changes(&mut self, now: Instant) -> Vec<(ShortTag, OpenWork)> {
        let mut work = Vec::new();
        for tag in self.news.take_changed() {
            let Some(belief) = self.tags.get(&tag).and_then(|id| self.rows.get_mut(id)) else {
                continue;
            };
            if belief.own == belief.told.0 {
                continue;
            }
            belief.told = (belief.own, now);
            work.push((tag, belief.own));
        }
        work
    }

    /// Takes the open work that the other nodes were told of longer ago than `age`, to tell it again.
    pub fn take_unchanged(&mut self, age: Duration, now: Instant) -> Vec<(ShortTag, OpenWork)> {
        let mut work = Vec::new();
        for belief in self.rows.values_mut() {
            let (told, at) = belief.told;
            let open = told != OpenWork::default();
            if !open || now.saturating_duration_since(at) < age {
                continue;
            }
            belief.told = (belief.own, now);
            work.push((belief.tag, belief.own));
        }
        work
    }

    /// Notes the work of another process, by its tag and the number of its news; what these do not name is
    /// as it was.
    ///
    /// News may come on two ways, directly and through a node that gathers them, and overtake each other.
    /// What is older than the last is dropped: it would bring back requests that have ended.
    pub fn note_work(
        &mut self,
        origin: ShortTag,
        number: u32,
        work: &[(ShortTag, OpenWork)],
        now: Instant,
    ) {
        if work.is_empty() || !self.news.is_newer(origin, number, now) {
            return;
        }
        for (tag, work) in work {
            let Some(belief) = self.tags.get(tag).and_then(|id| self.rows.get_mut(id)) else {
                continue;
            };
            if *work == OpenWork::default() {
                belief.peers.remove(&origin);
            } else {
                belief.peers.insert(origin, (*work, now));
            }
        }
    }

    /// Notes what another node had read.
    pub fn note_reads(&mut self, reads: &[PromptRead], capacity: impl Fn(&str) -> u64) {
        for read in reads {
            let id = self.tags.get(&read.replica);
            if let Some(belief) = id.and_then(|id| self.rows.get_mut(id)) {
                let capacity = capacity(&belief.entry.service);
                belief.kept.record(&read.parts, capacity);
            }
        }
    }

    /// Notes the first event of an answer: its prompt is read.
    pub fn note_first_event(&mut self, id: &str, ticket: u64, work: OpenWork) {
        if let Some(belief) = self.working_on(id, ticket) {
            belief.own.take_tokens(work);
            let tag = belief.tag;
            self.news.note_changed(tag);
        }
    }

    /// Notes the end of a request, however it ended.
    pub fn note_ended(&mut self, id: &str, ticket: u64, work: OpenWork, first_seen: bool) {
        if !first_seen {
            self.note_first_event(id, ticket, work);
        }
        if let Some(belief) = self.working_on(id, ticket) {
            belief.open.remove(&ticket);
            belief.own.take_requests(work);
            let tag = belief.tag;
            self.news.note_changed(tag);
        }
    }
}

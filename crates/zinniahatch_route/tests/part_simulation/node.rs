//! What a simulated node knows, and the messages between nodes.

use std::time::Duration;
use std::time::Instant;
use zinniahatch_base::ShortTag;
use zinniahatch_route::CrashWitness;
use zinniahatch_route::PartSuspectTable;
use zinniahatch_route::PartUpdate;
use zinniahatch_route::ScopedPart;
use zinniahatch_route::SuspectTable;
use zinniahatch_route::SuspectUpdate;

use super::traffic::CallerRequest;

/// Updates in one datagram.
const MAX_UPDATES: usize = 9;

/// A datagram between nodes.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    Parts(Vec<PartUpdate>, bool),
    Contents(Vec<SuspectUpdate>, bool),
    /// Digests of both, as heartbeats carry them.
    Digests(u64, u64),
}

/// Receivers of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Receivers {
    All,
    /// The own region and one node of each other region.
    RegionAndRelays,
    Region,
}

/// A node.
pub(crate) struct Node {
    pub(crate) region: usize,
    pub(crate) up_from: Instant,
    /// End of its last disturbance.
    pub(crate) disturbed: Instant,
    contents: SuspectTable,
    parts: PartSuspectTable,
}

impl Node {
    pub(crate) fn new(region: usize, start: Instant) -> Self {
        Self {
            region,
            up_from: start,
            disturbed: start,
            contents: SuspectTable::default(),
            parts: PartSuspectTable::new(start),
        }
    }

    /// Starts the node again without what it knew.
    pub(crate) fn restart(&mut self, up_from: Instant) {
        *self = Self::new(self.region, up_from);
    }

    pub(crate) fn note_crash(
        &mut self,
        request: &CallerRequest,
        replica: ShortTag,
        answered: Option<Duration>,
        ran: Duration,
        now: Instant,
    ) {
        let witness = CrashWitness {
            replica,
            answered,
            caller: request.caller,
        };
        self.parts.note_crash(&request.parts, witness, now);
        self.contents.note_crash(request.content, replica, ran, now);
    }

    pub(crate) fn note_sound(&mut self, request: &CallerRequest, began: Instant, now: Instant) {
        self.parts.note_sound(&request.parts, began, now);
    }

    pub(crate) fn note_complete(&mut self, request: &CallerRequest, now: Instant) {
        self.contents.note_complete_response(request.content, now);
    }

    /// Returns how long the decision on a request takes.
    pub(crate) fn decision_delay(&self, request: &CallerRequest, now: Instant) -> Duration {
        let by_content = self.contents.decision_delay(request.content, now);
        let by_part = self.parts.decision_delay(&request.parts, now);
        by_content.max(by_part).unwrap_or_default()
    }

    /// Returns whether a request is refused, and whether a part of its prompt is the reason.
    pub(crate) fn refuses(&self, request: &CallerRequest, now: Instant) -> Option<bool> {
        let explained = self.parts.replicas_explained_beside(&request.parts);
        let by_content = self
            .contents
            .quarantine_left_beside(request.content, &explained, now);
        if by_content.is_some() {
            return Some(false);
        }
        let quarantine = self.parts.quarantine(&request.parts, request.caller, now);
        quarantine.map(|_| true)
    }

    /// Runs the periodic work.
    pub(crate) fn tick(&mut self, now: Instant) {
        self.contents.tick(now);
        self.parts.tick(now);
        self.contents.review(now);
        let explained = self.contents.explained_replicas(now);
        self.parts.review(&explained, now);
        let explained_by_parts = self.parts.explained_replicas();
        self.contents.set_explained_by_parts(explained_by_parts);
    }

    /// Takes the messages that are due.
    pub(crate) fn take_messages(&mut self, again: bool, now: Instant) -> Vec<(Message, Receivers)> {
        let mut messages = Vec::new();
        let parts = self.parts.take_updates(again, MAX_UPDATES, now);
        let contents = self.contents.take_updates(again, MAX_UPDATES, now);
        let all = [
            (Message::Parts(parts.broadcast, false), Receivers::All),
            (
                Message::Parts(parts.local, true),
                Receivers::RegionAndRelays,
            ),
            (Message::Parts(parts.relayed, false), Receivers::Region),
            (Message::Contents(contents.broadcast, true), Receivers::All),
            (
                Message::Contents(contents.local, true),
                Receivers::RegionAndRelays,
            ),
            (
                Message::Contents(contents.relayed, false),
                Receivers::Region,
            ),
        ];
        for (message, receivers) in all {
            let empty = match &message {
                Message::Parts(updates, _) => updates.is_empty(),
                Message::Contents(updates, _) => updates.is_empty(),
                Message::Digests(..) => false,
            };
            if !empty {
                messages.push((message, receivers));
            }
        }
        messages
    }

    pub(crate) fn digests(&self) -> Message {
        Message::Digests(self.parts.accused_digest(), self.contents.accused_digest())
    }

    /// Handles a message; returns the reply to its sender.
    pub(crate) fn receive(
        &mut self,
        message: &Message,
        same_region: bool,
        now: Instant,
    ) -> Vec<Message> {
        let mut replies = Vec::new();
        match message {
            Message::Parts(updates, relay) => {
                let mut corrections = Vec::new();
                for update in updates {
                    self.parts.apply_update(update, *relay && !same_region, now);
                    corrections.extend(self.parts.correction(update, now));
                }
                if !corrections.is_empty() {
                    replies.push(Message::Parts(corrections, false));
                }
            }
            Message::Contents(updates, relay) => {
                let mut corrections = Vec::new();
                for update in updates {
                    self.contents
                        .apply_update(update, *relay && !same_region, now);
                    corrections.extend(self.contents.correction(update, now));
                }
                if !corrections.is_empty() {
                    replies.push(Message::Contents(corrections, false));
                }
            }
            Message::Digests(parts, contents) => {
                if *parts != self.parts.accused_digest() {
                    let start = ScopedPart { id: 0, scope: 0 };
                    let updates = self.parts.accused_updates(start, MAX_UPDATES, now);
                    replies.push(Message::Parts(updates, false));
                }
                if *contents != self.contents.accused_digest() {
                    let updates = self.contents.accused_updates(0, MAX_UPDATES, now);
                    replies.push(Message::Contents(updates, false));
                }
            }
        }
        replies
    }

    /// Returns the updates that the store keeps of parts in quarantine.
    pub(crate) fn persisted(&mut self, now: Instant) -> Vec<PartUpdate> {
        let mut stored = Vec::new();
        while let Some((update, _)) = self.parts.unpersisted(now) {
            self.parts.note_persisted(update.part);
            stored.push(update);
        }
        stored
    }
}

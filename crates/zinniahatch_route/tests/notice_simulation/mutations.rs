//! The nodes' send decision as it is, and faulty variants of it that the checker must detect.

use super::SendKind;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;
use zinniahatch_route::BackoffNotice;
use zinniahatch_route::DrainNotice;
use zinniahatch_route::ReplicaEntry;
use zinniahatch_route::ReplicaNotice;
use zinniahatch_route::SendRefusal;

/// Variant of the decision whether a node sends a request; the default methods change nothing.
pub(crate) trait SendMutation: Default {
    fn note_entry(&mut self, _entry: &ReplicaEntry) {}
    fn note_response(&mut self, _tag: u32, _notice: &ReplicaNotice, _taken: bool, _now: Instant) {}
    /// Returns whether a request is sent although the replica table refuses it.
    fn overrides(
        &mut self,
        _kind: SendKind,
        _tag: u32,
        _refusal: SendRefusal,
        _now: Instant,
    ) -> bool {
        false
    }
}

/// Leaves the decision as it is.
#[derive(Default)]
pub(crate) struct NoMutation;

impl SendMutation for NoMutation {}

/// Sends forwarded requests in spite of a refusal.
#[derive(Default)]
pub(crate) struct BypassesRefusal;

impl SendMutation for BypassesRefusal {
    fn overrides(
        &mut self,
        kind: SendKind,
        _tag: u32,
        refusal: SendRefusal,
        _now: Instant,
    ) -> bool {
        kind == SendKind::Forwarded && refusal != SendRefusal::Gone
    }
}

/// Lets a later response end or shorten a backoff.
#[derive(Default)]
pub(crate) struct ShortensBackoff {
    until: BTreeMap<u32, Instant>,
}

impl SendMutation for ShortensBackoff {
    fn note_response(&mut self, tag: u32, notice: &ReplicaNotice, taken: bool, now: Instant) {
        if let BackoffNotice::For(backoff) = notice.backoff {
            self.until.insert(tag, now + backoff);
        } else if taken {
            self.until.remove(&tag);
        }
    }

    fn overrides(&mut self, _kind: SendKind, tag: u32, refusal: SendRefusal, now: Instant) -> bool {
        let over = self.until.get(&tag).is_none_or(|until| now >= *until);
        refusal == SendRefusal::Resting && over
    }
}

/// Sends to a leaving replica once a store entry without the leaving mark arrives.
#[derive(Default)]
pub(crate) struct RevertsLeaving {
    announced: BTreeSet<u32>,
    reverted: BTreeSet<u32>,
}

impl SendMutation for RevertsLeaving {
    fn note_entry(&mut self, entry: &ReplicaEntry) {
        let tag = entry.incarnation().tag();
        if !entry.leaving && self.announced.contains(&tag) {
            self.reverted.insert(tag);
        }
    }

    fn note_response(&mut self, tag: u32, notice: &ReplicaNotice, _taken: bool, _now: Instant) {
        if notice.leaving == DrainNotice::Leaving {
            self.announced.insert(tag);
        }
    }

    fn overrides(
        &mut self,
        _kind: SendKind,
        tag: u32,
        refusal: SendRefusal,
        _now: Instant,
    ) -> bool {
        refusal == SendRefusal::Leaving && self.reverted.contains(&tag)
    }
}

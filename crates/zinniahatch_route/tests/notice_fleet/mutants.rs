//! The gate as it is, and gates with a fault that the judge must find.

use super::SendWay;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;
use zinniahatch_route::BackoffNotice;
use zinniahatch_route::DrainNotice;
use zinniahatch_route::ReplicaEntry;
use zinniahatch_route::ReplicaNotice;
use zinniahatch_route::SendRefusal;

/// What a node does beside the table's gate.
pub(crate) trait GateRule: Default {
    fn note_entry(&mut self, _entry: &ReplicaEntry) {}
    fn note_answer(&mut self, _tag: u32, _notice: &ReplicaNotice, _taken: bool, _now: Instant) {}
    /// Tells whether a request goes out though the gate withholds it.
    fn overrides(
        &mut self,
        _way: SendWay,
        _tag: u32,
        _withheld: SendRefusal,
        _now: Instant,
    ) -> bool {
        false
    }
}

/// The gate as it is.
#[derive(Default)]
pub(crate) struct RealGate;

impl GateRule for RealGate {}

/// One way goes past the gate.
#[derive(Default)]
pub(crate) struct SkipsGate;

impl GateRule for SkipsGate {
    fn overrides(&mut self, way: SendWay, _tag: u32, withheld: SendRefusal, _now: Instant) -> bool {
        way == SendWay::HandedOver && withheld != SendRefusal::Gone
    }
}

/// A later answer ends a rest or shortens it.
#[derive(Default)]
pub(crate) struct EndsRestByLater {
    until: BTreeMap<u32, Instant>,
}

impl GateRule for EndsRestByLater {
    fn note_answer(&mut self, tag: u32, notice: &ReplicaNotice, taken: bool, now: Instant) {
        if let BackoffNotice::For(rest) = notice.backoff {
            self.until.insert(tag, now + rest);
        } else if taken {
            self.until.remove(&tag);
        }
    }

    fn overrides(&mut self, _way: SendWay, tag: u32, withheld: SendRefusal, now: Instant) -> bool {
        let over = self.until.get(&tag).is_none_or(|until| now >= *until);
        withheld == SendRefusal::Resting && over
    }
}

/// An entry that says `ready` undoes a leaving.
#[derive(Default)]
pub(crate) struct UndoesLeaving {
    said: BTreeSet<u32>,
    ready: BTreeSet<u32>,
}

impl GateRule for UndoesLeaving {
    fn note_entry(&mut self, entry: &ReplicaEntry) {
        let tag = entry.incarnation().tag();
        if !entry.leaving && self.said.contains(&tag) {
            self.ready.insert(tag);
        }
    }

    fn note_answer(&mut self, tag: u32, notice: &ReplicaNotice, _taken: bool, _now: Instant) {
        if notice.leaving == DrainNotice::Leaving {
            self.said.insert(tag);
        }
    }

    fn overrides(&mut self, _way: SendWay, tag: u32, withheld: SendRefusal, _now: Instant) -> bool {
        withheld == SendRefusal::Leaving && self.ready.contains(&tag)
    }
}

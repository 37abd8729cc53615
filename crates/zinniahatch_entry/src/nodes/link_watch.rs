//! Watches how long bytes wait on this node's link, and logs what fills it.

use crate::core::EntryCore;
use zinniahatch_base::prelude::*;

/// Wait from which a link counts as full, and the one below which it no longer does.
const FULL_WAIT: Duration = Duration::from_millis(150);
const FREE_WAIT: Duration = Duration::from_millis(50);
/// Bytes to other nodes in one interval from which a link counts as full, whatever the wait: a full
/// link loses datagrams, and those that arrive may not have waited.
const FULL_BYTES: u64 = 256 << 10;
/// Interval between comparisons.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Bytes so far by kind of message.
type ByteCounts = BTreeMap<Box<str>, u64>;

/// State of the link at the last comparison.
#[derive(Debug, Default)]
pub(crate) struct LinkWatch {
    checked: Option<Instant>,
    is_full: bool,
    sent: ByteCounts,
    received: ByteCounts,
}

impl LinkWatch {
    /// Compares the wait with the limits, and logs the traffic since the last comparison while the
    /// link is full and once when it no longer is.
    pub(crate) fn tick(&mut self, core: &EntryCore, now: Instant) {
        let is_due = |at: Instant| now.saturating_duration_since(at) >= CHECK_INTERVAL;
        if !self.checked.is_none_or(is_due) {
            return;
        }
        let interval = self.checked.replace(now).map(|at| now - at);
        let wait = core.members.borrow().link_wait(now).unwrap_or_default();
        let messages = &core.metrics.messages;
        messages.set_link_wait(wait);
        let sent = std::mem::replace(&mut self.sent, messages.sent_bytes());
        let received = std::mem::replace(&mut self.received, messages.received_bytes());
        let send_wait = messages.take_send_wait();
        let sent_now = increase(&sent, &self.sent);
        let was_full = self.is_full;
        let full_wait = if was_full { FREE_WAIT } else { FULL_WAIT };
        let bytes: u64 = sent_now.values().sum();
        self.is_full = wait.max(send_wait) >= full_wait || bytes >= FULL_BYTES;
        if !was_full && !self.is_full {
            return;
        }
        core.log.write(
            "link-wait",
            serde_json::json!({"wait_ms": wait.as_millis() as u64,
                "send_wait_ms": send_wait.as_millis() as u64, "full": self.is_full,
                "interval_ms": interval.map(|interval| interval.as_millis() as u64),
                "sent": sent_now, "received": increase(&received, &self.received)}),
        );
    }
}

/// Returns by how much each count has grown, without those that have not.
fn increase(before: &ByteCounts, after: &ByteCounts) -> ByteCounts {
    let grown = after.iter().map(|(kind, bytes)| {
        let known = before.get(kind).copied().unwrap_or_default();
        (kind.clone(), bytes - known)
    });
    grown.filter(|(_, bytes)| *bytes > 0).collect()
}

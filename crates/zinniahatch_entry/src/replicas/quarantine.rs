//! Requests under which replicas end, as this node believes and tells of them.

use crate::core::EntryCore;
use crate::request::received::ReceivedCall;
use crate::request::received::content_text;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;
use zinniahatch_route::QuarantineChange;
use zinniahatch_route::SuspectUpdate;
use zinniahatch_route::SuspectUpdateEffect;

/// Where news of a suspect come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NewsSource {
    /// A node of the region, which tells all others of the region itself.
    Near,
    /// A node of another region, which tells only a few here.
    Far,
    /// The platform's store.
    Store,
}

impl NewsSource {
    fn word(self) -> &'static str {
        match self {
            Self::Near => "near",
            Self::Far => "far",
            Self::Store => "store",
        }
    }
}

/// Notes that a replica has ended under a request of this node.
pub(crate) fn note_replica_end(
    core: &EntryCore,
    call: &ReceivedCall,
    replica: &ReplicaId,
    tag: ShortTag,
    ran: Duration,
) {
    let now = Instant::now();
    let counts = core
        .suspects
        .borrow_mut()
        .note_crash(call.content, tag, ran, now);
    core.metrics
        .note_suspect(if counts { "noted" } else { "uncounted" });
    core.log.write(
        "suspect",
        serde_json::json!({"content": content_text(call.content), "request": call.attempt,
            "replica": replica, "ran_ms": ran.as_millis() as u64, "counts": counts}),
    );
    if counts {
        review(core, now);
        core.work_changed.notify_one();
    }
}

/// Notes a whole answer of a replica: what it answers ends no replicas.
pub(crate) fn note_answered(core: &EntryCore, call: &ReceivedCall) {
    let now = Instant::now();
    let cleared = core.suspects.borrow_mut().note_answered(call.content, now);
    if !cleared {
        return;
    }
    core.metrics.note_suspect("cleared");
    core.log.write(
        "suspect-cleared",
        serde_json::json!({"content": content_text(call.content), "request": call.attempt}),
    );
    review(core, now);
    core.work_changed.notify_one();
}

/// Takes news of suspects.
pub(crate) fn hear_suspects(core: &EntryCore, news: &[SuspectUpdate], source: NewsSource) {
    let now = Instant::now();
    let tell = source == NewsSource::Far;
    let mut told = false;
    for one in news {
        let effect = core.suspects.borrow_mut().apply_update(one, tell, now);
        if effect == SuspectUpdateEffect::Known {
            continue;
        }
        told |= tell || effect == SuspectUpdateEffect::Outdated;
        let outcome = if effect == SuspectUpdateEffect::Learned {
            "heard"
        } else {
            "outdated"
        };
        core.metrics.note_suspect(outcome);
        core.log.write(
            "suspect-heard",
            serde_json::json!({"content": content_text(one.content), "ends": one.crashes.len(),
                "age_ms": one.crashes.iter().map(|end| end.age_ms).min(), "cleared_ms": one.cleared,
                "source": source.word(), "outcome": outcome}),
        );
    }
    review(core, now);
    if told {
        core.work_changed.notify_one();
    }
}

/// Logs what is held or free since the last look, and wakes what waits at a replica.
pub(crate) fn review(core: &EntryCore, now: Instant) {
    let changes = core.suspects.borrow_mut().review(now);
    if changes.is_empty() {
        return;
    }
    for change in &changes {
        if change.persisted {
            core.released.borrow_mut().push(change.content);
        }
        log_change(core, change);
    }
    core.metrics
        .set_quarantined(core.suspects.borrow().quarantined_count());
    core.quarantined.send_replace(());
}

fn log_change(core: &EntryCore, change: &QuarantineChange) {
    core.log.write(
        if change.left.is_some() {
            "quarantined"
        } else {
            "released"
        },
        serde_json::json!({"content": content_text(change.content), "ends": change.crashes,
            "for_ms": change.left.map(|left| left.as_millis() as u64)}),
    );
}

/// Gives how much longer a request is held; none where it may run.
pub(crate) fn hold_left(core: &EntryCore, call: &ReceivedCall) -> Option<Duration> {
    let suspects = core.suspects.borrow();
    suspects.quarantine_left(call.content, Instant::now())
}

/// Waits until it can be judged whether a request is held.
pub(crate) async fn await_verdict(core: &EntryCore, call: &ReceivedCall) {
    loop {
        let due = core
            .suspects
            .borrow()
            .decision_delay(call.content, Instant::now());
        let Some(due) = due else {
            return;
        };
        sleep(due).await;
    }
}

/// Waits until a request is held.
pub(crate) async fn await_hold(core: &EntryCore, call: &ReceivedCall) {
    let mut changes = core.quarantined.subscribe();
    while hold_left(core, call).is_none() {
        // The sender lives as long as the process.
        let _ = changes.changed().await;
    }
}

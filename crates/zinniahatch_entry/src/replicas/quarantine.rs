//! Suspect requests: those during which replicas crashed, and their quarantine.

use crate::core::EntryCore;
use crate::replicas::part_quarantine::log_part_refusal;
use crate::replicas::part_quarantine::part_quarantine;
use crate::replicas::part_quarantine::publish_part_changes;
use crate::request::plan::RequestPlan;
use crate::request::received::ReceivedRequest;
use crate::request::received::content_text;
use tokio::time::timeout;
use zinniahatch_base::prelude::*;
use zinniahatch_route::QuarantineChange;
use zinniahatch_route::SuspectUpdate;
use zinniahatch_route::SuspectUpdateEffect;

/// Shortest time between two decisions on suspect parts, which compare all of them.
const MIN_REVIEW_INTERVAL: Duration = Duration::from_millis(100);

/// Where an update on a suspect request comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateSource {
    /// A node of this region, which sends to all other nodes of the region itself.
    SameRegion,
    /// A node of another region, which sends to only a few nodes of this one.
    OtherRegion,
    /// The platform's store.
    Store,
}

impl UpdateSource {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::SameRegion => "near",
            Self::OtherRegion => "far",
            Self::Store => "store",
        }
    }
}

/// Records that a replica crashed during a request of this node.
pub(crate) fn note_crash(
    core: &EntryCore,
    request: &ReceivedRequest,
    replica: &ReplicaId,
    tag: ShortTag,
    ran: Duration,
) {
    let now = Instant::now();
    let counted = core
        .suspects
        .borrow_mut()
        .note_crash(request.content, tag, ran, now);
    core.metrics
        .note_suspect(if counted { "noted" } else { "uncounted" });
    core.log.write(
        "suspect",
        serde_json::json!({"content": content_text(request.content), "request": request.attempt,
            "replica": replica, "ran_ms": ran.as_millis() as u64, "counts": counted}),
    );
    if counted {
        publish_quarantine_changes(core, now);
        core.suspects_learned.send_replace(());
        core.work_changed.notify_one();
    }
}

/// Records a complete response of a replica, which shows that the request does not crash replicas.
pub(crate) fn note_complete_response(core: &EntryCore, request: &ReceivedRequest) {
    let now = Instant::now();
    let cleared = core
        .suspects
        .borrow_mut()
        .note_complete_response(request.content, now);
    if !cleared {
        return;
    }
    core.metrics.note_suspect("cleared");
    core.log.write(
        "suspect-cleared",
        serde_json::json!({"content": content_text(request.content), "request": request.attempt}),
    );
    publish_quarantine_changes(core, now);
    core.suspects_learned.send_replace(());
    core.work_changed.notify_one();
}

/// Merges updates on suspect requests; returns what their sender does not know yet.
pub(crate) fn apply_suspects(
    core: &EntryCore,
    updates: &[SuspectUpdate],
    source: UpdateSource,
) -> Vec<SuspectUpdate> {
    let now = Instant::now();
    let forward = source == UpdateSource::OtherRegion;
    let mut corrections = Vec::new();
    let mut pending = false;
    let mut learned = false;
    for update in updates {
        let effect = core
            .suspects
            .borrow_mut()
            .apply_update(update, forward, now);
        corrections.extend(core.suspects.borrow().correction(update, now));
        if effect == SuspectUpdateEffect::Known {
            continue;
        }
        pending |= forward;
        learned |= effect == SuspectUpdateEffect::Learned;
        let outcome = if effect == SuspectUpdateEffect::Learned {
            "heard"
        } else {
            "outdated"
        };
        core.metrics.note_suspect(outcome);
        core.log.write(
            "suspect-heard",
            serde_json::json!({"content": content_text(update.content), "ends": update.crashes.len(),
                "age_ms": update.crashes.iter().map(|crash| crash.age_ms).min(), "cleared_ms": update.cleared,
                "source": source.as_str(), "outcome": outcome})
        );
    }
    publish_quarantine_changes(core, now);
    if learned {
        core.suspects_learned.send_replace(());
    }
    if pending {
        core.work_changed.notify_one();
    }
    corrections
}

/// Logs the quarantines that began or ended since the last call, and wakes the requests that wait
/// for such a change.
pub(crate) fn publish_quarantine_changes(core: &EntryCore, now: Instant) {
    let changes = core.suspects.borrow_mut().review(now);
    if changes.is_empty() {
        return;
    }
    for change in &changes {
        if change.persisted {
            core.released_requests.borrow_mut().push(change.content);
        }
        log_quarantine_change(core, change);
    }
    core.metrics
        .set_quarantined(core.suspects.borrow().quarantined_count());
    core.quarantine_changed.send_replace(());
}

fn log_quarantine_change(core: &EntryCore, change: &QuarantineChange) {
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

/// Returns how much longer a request is quarantined, or `None` if it may run.
pub(crate) fn quarantine_left(
    core: &EntryCore,
    request: &ReceivedRequest,
    plan: &RequestPlan,
) -> Option<Duration> {
    let by_content = content_quarantine_left(core, request, plan);
    by_content.or_else(|| Some(part_quarantine(core, request, plan)?.left))
}

fn content_quarantine_left(
    core: &EntryCore,
    request: &ReceivedRequest,
    plan: &RequestPlan,
) -> Option<Duration> {
    let now = Instant::now();
    let suspects = core.suspects.borrow();
    suspects.quarantine_left(request.content, now)?;
    // The requests beside it may share a deadly part that is not in quarantine yet.
    let parts = core.part_suspects.borrow();
    let explained = parts.replicas_explained_beside(&plan.parts);
    suspects.quarantine_left_beside(request.content, &explained, now)
}

/// Returns the same and logs why a request is refused.
pub(crate) fn check_quarantine(
    core: &EntryCore,
    request: &ReceivedRequest,
    plan: &RequestPlan,
) -> Option<Duration> {
    let left = quarantine_left(core, request, plan);
    if left.is_some()
        && let Some(quarantine) = part_quarantine(core, request, plan)
    {
        log_part_refusal(core, request, &quarantine);
    }
    left
}

/// Returns the time until it can be decided whether a request is quarantined; `None` if it can be
/// now.
pub(crate) fn decision_delay(
    core: &EntryCore,
    request: &ReceivedRequest,
    plan: &RequestPlan,
) -> Option<Duration> {
    let now = Instant::now();
    let by_content = core.suspects.borrow().decision_delay(request.content, now);
    let by_part = core.part_suspects.borrow().decision_delay(&plan.parts, now);
    by_content.max(by_part)
}

/// Waits until it can be decided whether a request is quarantined.
pub(crate) async fn await_quarantine_decision(
    core: &EntryCore,
    request: &ReceivedRequest,
    plan: &RequestPlan,
) {
    let mut learned = core.suspects_learned.subscribe();
    while let Some(due) = decision_delay(core, request, plan) {
        // A report may decide it earlier. The sender lives as long as the process.
        let _ = timeout(due, learned.changed()).await;
    }
    let undecided = core.part_suspects.borrow().may_refuse(&plan.parts);
    if undecided && core.part_reviewed.get().elapsed() >= MIN_REVIEW_INTERVAL {
        publish_part_changes(core, Instant::now());
    }
}

/// Waits until a request is quarantined.
pub(crate) async fn await_quarantine(
    core: &EntryCore,
    request: &ReceivedRequest,
    plan: &RequestPlan,
) {
    let mut changes = core.quarantine_changed.subscribe();
    while quarantine_left(core, request, plan).is_none() {
        // The sender lives as long as the process.
        let _ = changes.changed().await;
    }
}

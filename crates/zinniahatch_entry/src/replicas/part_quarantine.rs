//! Suspect prompt parts: those on replicas that crashed, and their quarantine.

use crate::core::EntryCore;
use crate::replicas::quarantine::UpdateSource;
use crate::request::plan::RequestPlan;
use crate::request::received::ReceivedRequest;
use crate::request::received::part_text;
use zinniahatch_base::prelude::*;
use zinniahatch_route::CrashWitness;
use zinniahatch_route::PartQuarantine;
use zinniahatch_route::PartQuarantineChange;
use zinniahatch_route::PartUpdate;
use zinniahatch_route::ScopedPart;
use zinniahatch_route::SuspectUpdateEffect;

/// Records that a replica crashed during a request of this node, whose answer had lasted for
/// `answered` if it had begun.
pub(crate) fn note_part_crash(
    core: &EntryCore,
    request: &ReceivedRequest,
    plan: &RequestPlan,
    replica: &ReplicaId,
    tag: ShortTag,
    answered: Option<Duration>,
) {
    if plan.parts.is_empty() {
        return;
    }
    let now = Instant::now();
    let witness = CrashWitness {
        replica: tag,
        answered,
        caller: request.caller,
    };
    let noted = core
        .part_suspects
        .borrow_mut()
        .note_crash(&plan.parts, witness, now);
    core.metrics.parts.note("noted", noted.len());
    core.log.write(
        "part-suspect",
        serde_json::json!({"parts": texts(&noted), "request": request.attempt, "replica": replica,
            "answered_ms": answered.map(|time| time.as_millis() as u64)}),
    );
    if !noted.is_empty() {
        core.work_changed.notify_one();
    }
}

/// Records that replicas outlived an answer, which shows that its parts do not crash them.
pub(crate) fn note_sound_answer(
    core: &EntryCore,
    request: &ReceivedRequest,
    plan: &RequestPlan,
    began: Instant,
) {
    if plan.parts.is_empty() {
        return;
    }
    let now = Instant::now();
    let cleared = core
        .part_suspects
        .borrow_mut()
        .note_sound(&plan.parts, began, now);
    if cleared.is_empty() {
        return;
    }
    core.metrics.parts.note("cleared", cleared.len());
    core.log.write(
        "part-cleared",
        serde_json::json!({"parts": texts(&cleared), "request": request.attempt,
            "began_ms": began.elapsed().as_millis() as u64}),
    );
    core.work_changed.notify_one();
}

/// Frees a part from quarantine at all nodes; returns whether replicas had crashed under it.
pub(crate) fn release_part(core: &EntryCore, id: PromptPartId) -> bool {
    let now = Instant::now();
    let released = core.part_suspects.borrow_mut().release(id);
    core.log.write(
        "part-freed",
        serde_json::json!({"part": part_text(id), "known": released}),
    );
    publish_part_changes(core, now);
    core.work_changed.notify_one();
    released
}

/// Merges updates on suspect parts; `relay` says whether to pass on what is new. Returns what their
/// sender does not know yet.
pub(crate) fn apply_part_updates(
    core: &EntryCore,
    updates: &[PartUpdate],
    source: UpdateSource,
    relay: bool,
) -> Vec<PartUpdate> {
    let now = Instant::now();
    let mut corrections = Vec::new();
    let mut pending = false;
    for update in updates {
        let effect = core
            .part_suspects
            .borrow_mut()
            .apply_update(update, relay, now);
        corrections.extend(core.part_suspects.borrow().correction(update, now));
        let outcome = match effect {
            SuspectUpdateEffect::Known => continue,
            SuspectUpdateEffect::Learned => "heard",
            SuspectUpdateEffect::Outdated => "outdated",
        };
        core.metrics.parts.note(outcome, 1);
        core.log.write(
            "part-heard",
            serde_json::json!({"part": part_text(update.part.id), "ends": update.crashes.len(),
                "age_ms": update.crashes.iter().map(|crash| crash.age_ms).min(),
                "sound_ms": update.sound, "source": source.as_str(), "outcome": outcome}),
        );
        pending |= relay;
    }
    if pending {
        core.work_changed.notify_one();
    }
    corrections
}

/// Decides which parts are in quarantine, logs what changed since the last call, and wakes the requests
/// that wait for such a change.
///
/// Called on every tick rather than on every update: the loss of many replicas brings hundreds of
/// updates a second, and each decision compares all suspect parts.
pub(crate) fn publish_part_changes(core: &EntryCore, now: Instant) {
    core.part_reviewed.set(now);
    core.part_digest
        .set(core.part_suspects.borrow().accused_digest());
    if !core.part_suspects.borrow().needs_review() {
        return;
    }
    let explained = core.suspects.borrow().explained_replicas(now);
    let changes = core.part_suspects.borrow_mut().review(&explained, now);
    if changes.is_empty() {
        return;
    }
    for change in &changes {
        if change.persisted {
            core.released_parts.borrow_mut().push(change.part);
        }
        log_change(core, change);
    }
    {
        let parts = core.part_suspects.borrow();
        core.metrics
            .parts
            .set_quarantined(parts.quarantined_count());
        let explained = parts.explained_replicas();
        core.suspects.borrow_mut().set_explained_by_parts(explained);
    }
    core.quarantine_changed.send_replace(());
}

fn log_change(core: &EntryCore, change: &PartQuarantineChange) {
    core.log.write(
        if change.left.is_some() {
            "part-quarantined"
        } else {
            "part-released"
        },
        serde_json::json!({"part": part_text(change.part.id), "scope": change.part.scope,
            "ends": change.crashes, "for_ms": change.left.map(|left| left.as_millis() as u64),
            "only_with": texts(&change.inseparable), "all_callers": change.all_callers}),
    );
}

/// Returns why a request is refused for a part of its prompt, or `None` if it may run.
pub(crate) fn part_quarantine(
    core: &EntryCore,
    request: &ReceivedRequest,
    plan: &RequestPlan,
) -> Option<PartQuarantine> {
    let parts = core.part_suspects.borrow();
    parts.quarantine(&plan.parts, request.caller, Instant::now())
}

/// Logs which part a request is refused for.
pub(crate) fn log_part_refusal(
    core: &EntryCore,
    request: &ReceivedRequest,
    quarantine: &PartQuarantine,
) {
    core.metrics.parts.note("refused", 1);
    core.log.write(
        "part-refused",
        serde_json::json!({"request": request.attempt, "part": part_text(quarantine.part.id),
            "ends": quarantine.crashes, "for_ms": quarantine.left.as_millis() as u64}),
    );
}

fn texts(parts: &[ScopedPart]) -> Vec<Box<str>> {
    parts.iter().map(|part| part_text(part.id)).collect()
}

//! What replicas say of themselves in their answers: heard here whichever way the answer came, logged and told on.

use crate::core::EntryCore;
use crate::replicas::rate_limit::log_change;
use crate::replicas::unread_headers::note_unread;
use crate::request::channel::AnswerHead;
use crate::request::open_call::OpenCall;
use crate::request::received::ReceivedCall;
use http::StatusCode;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::AnswerHeaders;
use zinniahatch_route::AnswerProof;
use zinniahatch_route::BackoffChange;
use zinniahatch_route::HeardNotice;
use zinniahatch_route::NoticeEffect;
use zinniahatch_route::ReplicaIncarnation;

/// Takes what an answer to a request says of the replica that gave it.
pub(crate) fn hear_answer(
    core: &EntryCore,
    call: &ReceivedCall,
    open: &OpenCall,
    head: &AnswerHead,
) {
    let marks = &head.marks;
    note_unread(core, open.replica(), &head.headers);
    let speaker = if head.status == StatusCode::MISDIRECTED_REQUEST {
        other_at(core, open, marks).map(|tag| (tag, AnswerProof::Named))
    } else {
        own_speaker(call, open, marks)
    };
    let Some((replica, proof)) = speaker else {
        core.metrics.notices.note("unknown_replica");
        return;
    };
    let heard = HeardNotice {
        replica,
        notice: &marks.notice,
        proof,
        taken: !marks.not_run && head.status != StatusCode::MISDIRECTED_REQUEST,
        sent: open.sent_at(),
        draw: rand::random(),
    };
    take_notice(core, &heard, "answer", Some(&call.attempt));
}

/// Takes what the answer to a probe says. It was sent to whoever listens at the address.
pub(crate) fn hear_probe(
    core: &EntryCore,
    life: &ReplicaIncarnation,
    head: &AnswerHead,
    sent: Instant,
) {
    let marks = &head.marks;
    note_unread(core, Some(&life.id), &head.headers);
    let named = marks.replica.as_ref() == Some(&life.id);
    let proof = if named {
        AnswerProof::Named
    } else {
        AnswerProof::Missing
    };
    let heard = HeardNotice {
        replica: life.tag(),
        notice: &marks.notice,
        proof,
        taken: false,
        sent,
        draw: rand::random(),
    };
    take_notice(core, &heard, "probe", None);
}

/// Gives the life that took the request, and what shows that it answers: no other one takes a request that names it.
fn own_speaker(
    call: &ReceivedCall,
    open: &OpenCall,
    marks: &AnswerHeaders,
) -> Option<(ShortTag, AnswerProof)> {
    let mut tag = None;
    open.with_replica(|belief| tag = Some(belief.tag));
    let named = marks.replica.is_some() && marks.replica.as_ref() == open.replica();
    let echoes = marks.attempt.as_deref() == Some(&*call.attempt);
    let proof = match (marks.sealed, named || echoes) {
        (true, _) => AnswerProof::Sealed,
        (false, true) => AnswerProof::Named,
        (false, false) => AnswerProof::Missing,
    };
    Some((tag?, proof))
}

/// Gives the life that answered in the place of the one that a request was for, where it is known.
fn other_at(core: &EntryCore, open: &OpenCall, marks: &AnswerHeaders) -> Option<ShortTag> {
    let replicas = core.replicas.borrow();
    let belief = replicas.get(marks.replica.as_deref()?)?;
    (belief.entry.address == open.address()).then_some(belief.tag)
}

fn take_notice(
    core: &EntryCore,
    heard: &HeardNotice<'_>,
    source: &'static str,
    request: Option<&RequestId>,
) {
    let (effect, life) = {
        let mut replicas = core.replicas.borrow_mut();
        let effect = replicas.hear(heard, Instant::now());
        if effect == NoticeEffect::default() {
            return;
        }
        let id = replicas.id_of(heard.replica);
        let belief = id.and_then(|id| replicas.get(id));
        (effect, belief.map(|belief| belief.entry.incarnation()))
    };
    let replica = life.as_ref().map(|life| &life.id);
    if let Some(change) = &effect.limit {
        log_change(core, replica, change, source);
        core.work_changed.notify_one();
    }
    for value in &effect.rejected {
        core.metrics.notices.note("rejected");
        core.log.write(
            "value-rejected",
            serde_json::json!({"request": request, "replica": replica, "value": value}),
        );
    }
    for value in &effect.unproven {
        core.metrics.notices.note("unproven");
        core.log.write(
            "notice-unproven",
            serde_json::json!({"request": request, "replica": replica, "value": value,
                "source": source}),
        );
    }
    log_rest(core, replica, &effect, source, request);
    if effect.leaving {
        log_leaving(core, replica, source, request);
        if let Some(life) = life {
            core.replica_news.borrow_mut().leaving.push(life);
            core.work_changed.notify_one();
        }
    }
}

/// Takes another node's news of replicas that said that they leave.
pub(crate) fn hear_leaving(core: &EntryCore, lives: &[ReplicaIncarnation]) {
    for life in lives {
        let new = core.replicas.borrow_mut().hear_leaving(life);
        if new {
            log_leaving(core, Some(&life.id), "near", None);
        }
    }
}

/// Counts the replicas that leave or rest.
pub(crate) fn count_notices(core: &EntryCore) {
    let replicas = core.replicas.borrow();
    let leaving = replicas.announced_leaving().count();
    let resting = replicas.backoffs.count();
    core.metrics.notices.set_counts(leaving, resting);
}

fn log_rest(
    core: &EntryCore,
    replica: Option<&ReplicaId>,
    effect: &NoticeEffect,
    source: &'static str,
    request: Option<&RequestId>,
) {
    let (event, time) = match effect.rest {
        Some(BackoffChange::Began(time)) => ("rest_began", Some(time)),
        Some(BackoffChange::Lengthened(time)) => ("rest_lengthened", Some(time)),
        Some(BackoffChange::Covered) => {
            core.metrics.notices.note("rest_covered");
            return;
        }
        None if effect.serves => ("rest_ended", None),
        None => return,
    };
    core.metrics.notices.note(event);
    let rest = time.map(|time| time.as_millis() as u64);
    core.log.write(
        "replica-rest",
        serde_json::json!({"replica": replica, "event": event, "rest_ms": rest,
            "source": source, "request": request}),
    );
}

fn log_leaving(
    core: &EntryCore,
    replica: Option<&ReplicaId>,
    source: &'static str,
    request: Option<&RequestId>,
) {
    core.metrics.notices.note("leaving");
    core.log.write(
        "replica-leaving",
        serde_json::json!({"replica": replica, "source": source, "request": request}),
    );
}

//! The rate limits that replicas name, as this node keeps them and tells of them.

use crate::core::ACQUAINT_TIME;
use crate::core::EntryCore;
use crate::request::open_call::OpenCall;
use crate::request::received::ReceivedCall;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::AnswerHeaders;
use zinniahatch_route::LimitChange;
use zinniahatch_route::LimitEffect;
use zinniahatch_route::LimitNews;
use zinniahatch_route::NamedLimit;

/// Takes what an answer says of its replica's limit.
pub(crate) fn note_limit(
    core: &EntryCore,
    call: &ReceivedCall,
    open: &OpenCall,
    marks: &AnswerHeaders,
) {
    let named = marks.notice.rate_limit;
    if named == NamedLimit::Malformed {
        core.metrics.limits.note("rejected");
        core.log.write(
            "value-rejected",
            serde_json::json!({"request": call.attempt, "replica": open.replica(),
                "value": "rate limit"}),
        );
        return;
    }
    // An answer without the replica's proof may not be its own, and does not show that its limit has ended.
    if named == NamedLimit::Absent && !marks.sealed {
        return;
    }
    let mut tag = None;
    open.with_replica(|belief| tag = Some(belief.tag));
    let now = Instant::now();
    let sent = now.checked_sub(open.ran()).unwrap_or(now);
    if let Some(tag) = tag {
        note_named(core, tag, named, sent, "answer");
    }
}

/// Takes a limit that the answer to a probe names; that it names none does not show the end of one.
pub(crate) fn note_probed_limit(core: &EntryCore, tag: ShortTag, named: NamedLimit, sent: Instant) {
    if named.rate().is_some() {
        note_named(core, tag, named, sent, "probe");
    }
}

fn note_named(
    core: &EntryCore,
    tag: ShortTag,
    named: NamedLimit,
    sent: Instant,
    source: &'static str,
) {
    let mut replicas = core.replicas.borrow_mut();
    let now = Instant::now();
    let Some(change) = replicas.limits.note_answer(tag, named, sent, now) else {
        return;
    };
    log_change(core, replicas.id_of(tag), &change, source);
    core.work_changed.notify_one();
}

/// Takes what another node of the region tells of limits.
pub(crate) fn hear_limits(core: &EntryCore, news: &[LimitNews]) {
    let now = Instant::now();
    for one in news {
        let effect = core.replicas.borrow_mut().hear_limit(one, now);
        match effect {
            LimitEffect::Known => {}
            LimitEffect::Learned(change) => {
                let replica = core.replicas.borrow().id_of(one.replica).cloned();
                log_change(core, replica.as_ref(), &change, "near");
            }
            LimitEffect::Outdated => {
                core.metrics.limits.note("outdated");
                core.work_changed.notify_one();
            }
        }
    }
}

/// Looks who shares the limits of the region's replicas.
pub(crate) fn share_limits(core: &EntryCore, now: Instant) {
    let region = &core.settings.region;
    let others = core.members.borrow().names_in(region);
    let others = others.iter().map(|name| tag_of(name)).collect();
    let acquainted = core.started.elapsed() >= ACQUAINT_TIME;
    let own = acquainted.then(|| tag_of(&core.settings.name));
    let mut replicas = core.replicas.borrow_mut();
    replicas.limits.set_holders(own, others, now);
    let limited = replicas.limits.known_news().count();
    core.metrics.limits.set_limited(limited);
}

fn log_change(
    core: &EntryCore,
    replica: Option<&ReplicaId>,
    change: &LimitChange,
    source: &'static str,
) {
    core.metrics.limits.note(match (change.before, change.now) {
        (None, _) => "began",
        (_, None) => "ended",
        _ => "changed",
    });
    core.log.write(
        "rate-limit",
        serde_json::json!({"replica": replica, "per_second": change.now,
            "before": change.before, "source": source}),
    );
}

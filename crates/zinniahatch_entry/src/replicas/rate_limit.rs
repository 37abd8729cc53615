//! Rate limits that replicas announce: merging, sharing between nodes, and logging.

use crate::core::EntryCore;
use zinniahatch_base::prelude::*;
use zinniahatch_route::DISCOVERY_TIME;
use zinniahatch_route::RateLimitChange;
use zinniahatch_route::RateLimitEffect;
use zinniahatch_route::RateLimitUpdate;

/// Merges rate limit updates from another node of the region.
pub(crate) fn apply_rate_limit_updates(core: &EntryCore, updates: &[RateLimitUpdate]) {
    let now = Instant::now();
    for update in updates {
        let effect = core.replicas.borrow_mut().apply_limit_update(update, now);
        match effect {
            RateLimitEffect::Known => {}
            RateLimitEffect::Learned(change) => {
                let replica = core.replicas.borrow().id_of(update.replica).cloned();
                log_limit_change(core, replica.as_ref(), &change, "near");
            }
            RateLimitEffect::Outdated => {
                core.metrics.limits.note("outdated");
                core.work_changed.notify_one();
            }
        }
    }
}

/// Recomputes which nodes share the rate limits of the region's replicas.
pub(crate) fn update_limit_sharers(core: &EntryCore, now: Instant) {
    let others = core.region_peers(now);
    let others = others.iter().map(|name| tag_of(name)).collect();
    let discovered = core.started.elapsed() >= DISCOVERY_TIME;
    let own = discovered.then(|| tag_of(&core.settings.name));
    let mut replicas = core.replicas.borrow_mut();
    replicas.limits.set_sharers(own, others, now);
    let limited = replicas.limits.active_limits().count();
    core.metrics.limits.set_limited(limited);
}

/// Counts and logs a limit that began, changed or ended.
pub(crate) fn log_limit_change(
    core: &EntryCore,
    replica: Option<&ReplicaId>,
    change: &RateLimitChange,
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

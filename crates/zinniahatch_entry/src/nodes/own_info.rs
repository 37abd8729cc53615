//! State of this node as reported in its heartbeats, and its comparison with that of the store
//! readers.

use crate::core::EntryCore;
use crate::nodes::roles::STORE_READER_ROLE;
use crate::nodes::roles::STORE_READERS;
use crate::nodes::roles::holds_role;
use crate::store::watch_topic::WatchTopic;
use zinniahatch_base::prelude::*;
use zinniahatch_route::CoverageClaim;
use zinniahatch_route::CoverageState;
use zinniahatch_route::MemberInfo;
use zinniahatch_route::ReaderReport;
use zinniahatch_route::ServiceCapacity;
use zinniahatch_route::StoreDigest;

/// Returns whether this node is an active store reader for its region.
pub(crate) fn is_store_reader(core: &EntryCore, now: Instant) -> bool {
    let store_ok = !core.replicas.borrow().store_failed_recently(now);
    let has_read = core.is_initialized() && core.store_progress().is_some();
    store_ok && has_read && holds_role(core, STORE_READER_ROLE, STORE_READERS)
}

fn store_digest(core: &EntryCore) -> StoreDigest {
    let replicas = core.replicas.borrow();
    let settings = &core.settings;
    StoreDigest {
        replicas: replicas.entries_digest(&settings.regions, &settings.region),
        rules: replicas.config_digest(core.version()),
    }
}

/// Returns whether this node may leave polling a topic to the store readers of its region.
pub(crate) fn store_reader_coverage(
    core: &EntryCore,
    topic: WatchTopic,
    now: Instant,
) -> CoverageState {
    let Some((digest_part, progress_part)) = topic.reported_parts() else {
        return CoverageState::NoReaders;
    };
    let own = digest_part(&store_digest(core));
    let members = core.members.borrow();
    let readers = members.live_in(&core.settings.region, now).into_iter();
    let reports = readers.filter_map(|member| {
        let digest = member.store_digest.as_ref()?;
        let read_at = member.store_progress.as_ref().map(progress_part);
        Some(ReaderReport {
            digest: digest_part(digest),
            claim: read_at.map(|upto| CoverageClaim::new(topic.scope(&member.region), upto)),
        })
    });
    core.coverage(topic).check(own, reports, now)
}

/// Returns the state that this node reports in its heartbeats.
pub(crate) fn own_member_info(core: &EntryCore, now: Instant) -> MemberInfo {
    let replicas = core.replicas.borrow();
    let names: BTreeSet<&ServiceId> = replicas.rows().map(|state| &state.entry.service).collect();
    let region = &core.settings.region;
    let services = names
        .into_iter()
        .map(|name| {
            let capacity =
                ServiceCapacity::of(&replicas, &core.settings.regions, name, region, now);
            (tag_of(name), capacity)
        })
        .collect();
    MemberInfo {
        node: core.settings.name.clone(),
        incarnation: core.incarnation,
        region: region.clone(),
        data_centre: core.settings.data_centre.clone(),
        cpu_share: core.settings.cpu_share,
        front: core.settings.listen.front,
        peer: core.settings.listen.peer,
        stage: core.stage(),
        version: core.version(),
        preset: core.preset.borrow().revision,
        store_reachable: !replicas.store_failed_recently(now),
        store_digest: is_store_reader(core, now).then(|| store_digest(core)),
        store_progress: core.store_progress().filter(|_| is_store_reader(core, now)),
        // Set when the heartbeat is sent, since the proof ages until then.
        proof: None,
        services,
    }
}

//! What this node tells the others of itself, and how it compares with what the readers of its region tell.

use crate::core::EntryCore;
use crate::nodes::duty::READER_DUTY;
use crate::nodes::duty::READERS;
use crate::nodes::duty::has_duty;
use crate::store::watch_topic::WatchTopic;
use zinniahatch_base::prelude::*;
use zinniahatch_route::CoverageState;
use zinniahatch_route::MemberInfo;
use zinniahatch_route::ServiceCapacity;
use zinniahatch_route::StoreDigest;

/// Tells whether this node reads for its region what the store says.
fn reads_for_all(core: &EntryCore, now: Instant) -> bool {
    let served = !core.replicas.borrow().in_trouble(now);
    served && core.knows() && has_duty(core, READER_DUTY, READERS)
}

fn read_digest(core: &EntryCore) -> StoreDigest {
    let replicas = core.replicas.borrow();
    let settings = &core.settings;
    StoreDigest {
        replicas: replicas.entries_digest(&settings.regions, &settings.region),
        rules: replicas.rules_digest(core.version()),
    }
}

/// Gives whether this node may leave the reading of a topic to the readers of its region.
pub(crate) fn reader_cover(core: &EntryCore, topic: WatchTopic, now: Instant) -> CoverageState {
    let Some(part) = topic.digest() else {
        return CoverageState::NoReaders;
    };
    let own = part(&read_digest(core));
    let members = core.members.borrow();
    let told = members.live_in(&core.settings.region, now);
    let told = told
        .into_iter()
        .filter_map(|card| card.store_digest.as_ref().map(part));
    let mut covers = core.covers.borrow_mut();
    covers.entry(topic).or_default().check(own, told, now)
}

/// Gives what this node tells the others of itcore.
pub(crate) fn own_card(core: &EntryCore, now: Instant) -> MemberInfo {
    let replicas = core.replicas.borrow();
    let names: BTreeSet<&ServiceId> = replicas
        .rows()
        .map(|belief| &belief.entry.service)
        .collect();
    let region = &core.settings.region;
    let services = names
        .into_iter()
        .map(|name| {
            let digest = ServiceCapacity::of(&replicas, &core.settings.regions, name, region, now);
            (tag_of(name), digest)
        })
        .collect();
    MemberInfo {
        node: core.settings.name.clone(),
        incarnation: core.incarnation,
        region: region.clone(),
        data_centre: core.settings.data_centre.clone(),
        cpu_share: core.settings.strength,
        front: core.settings.listen.front,
        peer: core.settings.listen.peer,
        stage: core.stage(),
        version: core.version(),
        preset: core.preset.borrow().revision,
        store_reachable: !replicas.in_trouble(now),
        store_digest: reads_for_all(core, now).then(|| read_digest(core)),
        // It ages on until the card is sent.
        proof: None,
        services,
    }
}

//! What this node tells the others of itself, and how it compares with what the readers of its region tell.

use crate::core::EntryCore;
use crate::nodes::duty::READER_DUTY;
use crate::nodes::duty::READERS;
use crate::nodes::duty::has_duty;
use crate::store::watch_topic::WatchTopic;
use zinniahatch_base::prelude::*;
use zinniahatch_route::CoverState;
use zinniahatch_route::MemberCard;
use zinniahatch_route::ReadDigest;
use zinniahatch_route::ServiceDigest;

/// Tells whether this node reads for its region what the store says.
fn reads_for_all(core: &EntryCore, now: Instant) -> bool {
    let served = !core.replicas.borrow().store_failed_recently(now);
    served && core.knows() && has_duty(core, READER_DUTY, READERS)
}

fn read_digest(core: &EntryCore) -> ReadDigest {
    let replicas = core.replicas.borrow();
    let settings = &core.settings;
    ReadDigest {
        replicas: replicas.entries_digest(&settings.regions, &settings.region),
        rules: replicas.config_digest(core.version()),
    }
}

/// Gives whether this node may leave the reading of a topic to the readers of its region.
pub(crate) fn reader_cover(core: &EntryCore, topic: WatchTopic, now: Instant) -> CoverState {
    let Some(part) = topic.digest() else {
        return CoverState::Alone;
    };
    let own = part(&read_digest(core));
    let members = core.members.borrow();
    let told = members.live_in(&core.settings.region, now);
    let told = told
        .into_iter()
        .filter_map(|card| card.read.as_ref().map(part));
    let mut covers = core.covers.borrow_mut();
    covers.entry(topic).or_default().judge(own, told, now)
}

/// Gives what this node tells the others of itcore.
pub(crate) fn own_card(core: &EntryCore, now: Instant) -> MemberCard {
    let replicas = core.replicas.borrow();
    let names: BTreeSet<&ServiceId> = replicas
        .rows()
        .map(|belief| &belief.entry.service)
        .collect();
    let region = &core.settings.region;
    let services = names
        .into_iter()
        .map(|name| {
            let digest = ServiceDigest::of(&replicas, &core.settings.regions, name, region, now);
            (tag_of(name), digest)
        })
        .collect();
    MemberCard {
        node: core.settings.name.clone(),
        incarnation: core.incarnation,
        region: region.clone(),
        data_centre: core.settings.data_centre.clone(),
        strength: core.settings.strength,
        front: core.settings.listen.front,
        peer: core.settings.listen.peer,
        stage: core.stage(),
        version: core.version(),
        preset: core.preset.borrow().revision,
        sighted: !replicas.store_failed_recently(now),
        read: reads_for_all(core, now).then(|| read_digest(core)),
        // It ages on until the card is sent.
        proof: None,
        services,
    }
}

//! The table of what a node believes about the backend servers.

use crate::FirstEventModel;
use crate::LeaveReason;
use crate::LimitBook;
use crate::LimitEffect;
use crate::LimitNews;
use crate::PromptSize;
use crate::ReplicaBelief;
use crate::ReplicaEntry;
use crate::ReplicaLife;
use crate::RestBook;
use crate::StreamModel;
use crate::prompt::session_rank;
use crate::work_sync::WorkSync;
use std::net::SocketAddrV4;
use zinniahatch_base::prelude::*;

/// How long an entry that vanished while the store was in trouble still counts. Entries that
/// lapsed during an outage are back within two seconds of its end.
const LAPSE_GRACE: Duration = Duration::from_millis(2500);
/// For how long after trouble with the store a vanished entry may be a mere lapse.
const STORE_TROUBLE: Duration = Duration::from_secs(4);
/// How long a replica that has left is remembered, so that no other node's older news brings it back;
/// far longer than any node stays cut off and still serves.
const GONE_TIME: Duration = Duration::from_secs(300);
/// Time after the return of the store from an older copy in which the operators write again what it lacks. Until it
/// is over, no evacuation that was in force ends because the copy does not name it.
pub const RETURN_HOLD: Duration = Duration::from_secs(6);
/// Prior time to the answer of a service, in ms, until answers show it.
const PRIOR_BASE_MS: f64 = 40.0;

/// How long a life that said that it leaves is remembered after it was dropped: its entry may come back while it
/// still serves.
const LEFT_TIME: Duration = Duration::from_secs(3600);

/// The last life of a replica that has left.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedLife {
    pub(crate) born: u64,
    /// The tag of the life.
    pub(crate) tag: ShortTag,
    /// Whether it said that it leaves, which holds for the life.
    pub(crate) leaving: bool,
    /// When it was dropped.
    at: Instant,
    /// The store's revision when its entry vanished.
    vanished: StoreRevision,
    /// The first entry of it that was seen in a later era of the store.
    sighted: Option<StoreRevision>,
}

impl EndedLife {
    /// Gives the time for which it is remembered.
    fn kept_for(&self) -> Duration {
        if self.leaving { LEFT_TIME } else { GONE_TIME }
    }

    /// Tells whether an entry shows that the life goes on after all; one that is older does not, nor does one that
    /// a store which came back from a copy still had. A replica that lives writes it again within seconds.
    fn is_revived_by(&mut self, entry: &ReplicaEntry) -> bool {
        if entry.revision < self.vanished {
            return false;
        }
        if entry.born != self.born || entry.revision.era == self.vanished.era {
            return true;
        }
        let first = *self.sighted.get_or_insert(entry.revision);
        entry.revision > first
    }
}

/// What an entry changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryChange {
    /// Nothing that anybody has to be told of.
    None,
    /// What is believed of a replica.
    Belief,
    /// The replica has started again under its id. Channels that were open to the address are dead, and
    /// what is sent on them is lost without an answer.
    NewLife(SocketAddrV4),
}

/// All replicas that the node knows.
#[derive(Clone, Debug, Default)]
pub struct ReplicaTable {
    pub(crate) rows: BTreeMap<ReplicaId, ReplicaBelief>,
    /// The ids of the rows by the tags of their lives.
    pub(crate) tags: BTreeMap<ShortTag, ReplicaId>,
    models: BTreeMap<ServiceId, FirstEventModel>,
    streams: BTreeMap<ServiceId, StreamModel>,
    evacuated: BTreeSet<DataCentreId>,
    /// The store's revision of the last news of each data centre's evacuation.
    evacuation_revisions: BTreeMap<DataCentreId, StoreRevision>,
    pub(crate) news: WorkSync,
    /// The rate limits that replicas named.
    pub limits: LimitBook,
    /// The rests that replicas asked of this node.
    pub rests: RestBook,
    /// The lives that said in an answer that they leave, by their tags.
    pub(crate) said_leaving: BTreeMap<ShortTag, ReplicaLife>,
    /// The lives that have ended, by the replica's id.
    pub(crate) gone: BTreeMap<ReplicaId, EndedLife>,
    store_trouble: Option<Instant>,
    /// When the store came back from an older copy.
    returned: Option<Instant>,
}

impl ReplicaTable {
    /// Takes an entry from the store.
    ///
    /// A replica that starts again under its id is believed anew. Taken for the life before, it was
    /// never used again after it had said that it leaves, was thought to keep prompts that it had lost,
    /// and its old failures and open work counted against it.
    pub fn upsert(&mut self, entry: ReplicaEntry, now: Instant) -> EntryChange {
        let left = self.gone.get_mut(&entry.id);
        if left.is_some_and(|ended| !ended.is_revived_by(&entry)) {
            return EntryChange::None;
        }
        let ended = self.gone.remove(&entry.id);
        let Some(belief) = self.rows.get_mut(&entry.id) else {
            let leaves = ended.is_some_and(|ended| ended.leaving && ended.born == entry.born);
            let mut belief = ReplicaBelief::new(entry, now);
            if leaves {
                belief.leaving = Some(LeaveReason::Draining);
            }
            self.tags.insert(belief.tag, belief.entry.id.clone());
            self.rows.insert(belief.entry.id.clone(), belief);
            return EntryChange::Belief;
        };
        if entry.revision < belief.entry.revision.max(belief.vanished) {
            return EntryChange::None;
        }
        if entry.born != belief.entry.born {
            let before = belief.entry.address;
            self.tags.remove(&belief.tag);
            *belief = ReplicaBelief::new(entry, now);
            self.tags.insert(belief.tag, belief.entry.id.clone());
            return EntryChange::NewLife(before);
        }
        let changed = belief.entry.leaving != entry.leaving || belief.lapsed.is_some();
        belief.update(entry, now);
        if changed {
            EntryChange::Belief
        } else {
            EntryChange::None
        }
    }

    /// Takes what another node knows, for a node that the store does not serve.
    ///
    /// The other node may be behind: it still knew a replica that this one had seen leave, and told
    /// of it; the replica got requests five seconds after it had left. So what has left here stays
    /// away, and new entries count only while this node has no news of its own.
    pub fn learn(&mut self, entries: Vec<ReplicaEntry>, gone: &[ReplicaLife], now: Instant) {
        let blind = self.rows.is_empty() || self.in_trouble(now);
        for entry in entries {
            let ended = self.gone.get(&entry.id);
            if ended.is_some_and(|ended| ended.born == entry.born) {
                continue;
            }
            let row = self.rows.get(&entry.id);
            let known = row.is_some_and(|belief| belief.entry.born == entry.born);
            if (known && entry.leaving) || (!known && blind) {
                self.upsert(entry, now);
            }
        }
        for life in gone {
            if let Some(belief) = self.rows.get_mut(&life.id)
                && belief.entry.born == life.born
            {
                belief.leaving.get_or_insert(LeaveReason::EntryGone);
            }
        }
    }

    /// Gives the lives that have ended, to tell other nodes.
    pub fn gone(&self) -> impl Iterator<Item = ReplicaLife> {
        self.gone.iter().map(|(id, ended)| ReplicaLife {
            id: id.clone(),
            born: ended.born,
        })
    }

    /// Tells whether the store was in trouble a moment ago.
    pub fn in_trouble(&self, now: Instant) -> bool {
        self.store_trouble
            .is_some_and(|at| now.saturating_duration_since(at) <= STORE_TROUBLE)
    }

    /// Takes the news that an entry vanished.
    ///
    /// While the store was in trouble a moment ago, leases may have lapsed of replicas that live;
    /// dropping them all would leave no place for requests. They are kept a little, and dropped
    /// for good when they do not come back.
    ///
    /// `revision` is the store's at the removal; an entry that was written later is not gone.
    pub fn vanish(&mut self, id: &str, revision: StoreRevision, now: Instant) {
        let trouble = self.in_trouble(now);
        let Some(belief) = self.rows.get_mut(id) else {
            return;
        };
        if revision < belief.entry.revision {
            return;
        }
        belief.vanished = revision;
        if trouble && belief.leaving.is_none() {
            belief.lapsed.get_or_insert(now);
            return;
        }
        belief.leaving.get_or_insert(LeaveReason::EntryGone);
    }

    /// Replaces all entries by a whole listing, as of a revision of the store; gives what started again
    /// under its id.
    pub fn relist(
        &mut self,
        entries: Vec<ReplicaEntry>,
        revision: StoreRevision,
        now: Instant,
    ) -> Vec<(ReplicaEntry, EntryChange)> {
        let listed: BTreeSet<ReplicaId> = entries.iter().map(|entry| entry.id.clone()).collect();
        let missing: Vec<ReplicaId> = self
            .rows
            .keys()
            .filter(|id| !listed.contains(*id))
            .cloned()
            .collect();
        for id in missing {
            self.vanish(&id, revision, now);
        }
        let mut reborn = Vec::new();
        for entry in entries {
            let change = self.upsert(entry.clone(), now);
            if matches!(change, EntryChange::NewLife(_)) {
                reborn.push((entry, change));
            }
        }
        reborn
    }

    /// Notes that the store came back from an older copy.
    pub fn note_return(&mut self, now: Instant) {
        self.returned = Some(now);
    }

    /// Notes that a call to the store failed.
    pub fn note_store_trouble(&mut self, now: Instant) {
        self.store_trouble = Some(now);
    }

    /// Replaces the set of evacuated data centres by what the store says as of a revision; gives those
    /// that changed.
    pub fn set_evacuated(
        &mut self,
        evacuated: &BTreeSet<DataCentreId>,
        revision: StoreRevision,
        now: Instant,
    ) -> Vec<DataCentreId> {
        let held = self
            .returned
            .is_some_and(|at| now.saturating_duration_since(at) < RETURN_HOLD);
        let places: Vec<DataCentreId> = self.evacuated.union(evacuated).cloned().collect();
        let mut changed = Vec::new();
        for place in places {
            let on = evacuated.contains(&place);
            // The copy may be older than the evacuation, which the operators have not written again yet.
            if held && !on {
                continue;
            }
            if self.note_evacuation(&place, on, revision) {
                changed.push(place);
            }
        }
        changed
    }

    /// Notes that a data centre is evacuated or taken back, as of a revision of the store; tells whether that
    /// is new.
    ///
    /// Nodes tell each other of it a second apart, and listings may be old: one that overtook the news that a
    /// data centre is evacuated would send requests there again.
    pub fn note_evacuation(
        &mut self,
        place: &DataCentreId,
        on: bool,
        revision: StoreRevision,
    ) -> bool {
        let known = self.evacuation_revisions.get(place).copied();
        if known.is_some_and(|known| revision < known) {
            return false;
        }
        self.evacuation_revisions.insert(place.clone(), revision);
        if on {
            self.evacuated.insert(place.clone())
        } else {
            self.evacuated.remove(place)
        }
    }

    /// Gives the set of evacuated data centres.
    pub fn evacuated(&self) -> &BTreeSet<DataCentreId> {
        &self.evacuated
    }

    /// Runs once a tick: drops what lapsed for good and what left and has no open work.
    ///
    /// Gives the ids that were dropped.
    pub fn tick(&mut self, now: Instant) -> Vec<ReplicaId> {
        let mut dropped = Vec::new();
        let models = &self.models;
        for (id, belief) in &mut self.rows {
            if belief
                .lapsed
                .is_some_and(|at| now.saturating_duration_since(at) > LAPSE_GRACE)
            {
                belief.leaving.get_or_insert(LeaveReason::EntryGone);
            }
            let model = models.get(&belief.entry.service);
            let reading = model.map_or(Duration::ZERO, |model| {
                model
                    .reading(belief.own.tokens)
                    .mul_f64(belief.slowness.max(1.0))
            });
            let oldest = belief.open.values().min().copied();
            belief.health.note_open(oldest, reading);
            let ended = match belief.leaving {
                None => false,
                Some(LeaveReason::Draining) => belief.vanished > belief.entry.revision,
                Some(LeaveReason::EntryGone | LeaveReason::Replaced) => true,
            };
            if ended && belief.own.requests == 0 {
                dropped.push(id.clone());
            }
        }
        for id in &dropped {
            let Some(belief) = self.rows.remove(id) else {
                continue;
            };
            self.tags.remove(&belief.tag);
            let ended = EndedLife {
                born: belief.entry.born,
                tag: belief.tag,
                leaving: belief.leaving == Some(LeaveReason::Draining),
                at: now,
                vanished: belief.vanished,
                sighted: None,
            };
            self.gone.insert(id.clone(), ended);
        }
        self.news.tick(now);
        let tags = &self.tags;
        self.said_leaving.retain(|tag, _| tags.contains_key(tag));
        self.limits.tick(|tag| tags.contains_key(&tag), now);
        self.rests.tick(now);
        self.gone
            .retain(|_, ended| now.saturating_duration_since(ended.at) <= ended.kept_for());
        dropped
    }

    /// Takes another node's news of a rate limit; those of a replica that is not known here are of no use.
    pub fn hear_limit(&mut self, news: &LimitNews, now: Instant) -> LimitEffect {
        if !self.tags.contains_key(&news.replica) {
            return LimitEffect::Known;
        }
        self.limits.hear(news, now)
    }

    /// Gives the id of the replica whose life has a tag.
    pub fn id_of(&self, tag: ShortTag) -> Option<&ReplicaId> {
        self.tags.get(&tag)
    }

    /// Gives a digest of a desired state's version and of the evacuations in force.
    pub fn rules_digest(&self, version: u64) -> u64 {
        let places = self.evacuated.iter();
        places.fold(session_rank(version, 0), |digest, place| {
            digest ^ session_rank(version, tag_of(place))
        })
    }

    /// Gives a digest of what the store says of a region's replicas: who is there, in which life, and who
    /// leaves. What answers tell of them has no part in it, so that nodes that read the same agree.
    pub fn entries_digest(
        &self,
        regions: &BTreeMap<DataCentreId, RegionId>,
        region: &RegionId,
    ) -> u64 {
        let here = self.rows.values().filter(|belief| {
            let present = belief.vanished <= belief.entry.revision;
            present && regions.get(&belief.entry.data_centre) == Some(region)
        });
        here.map(|belief| session_rank(u64::from(belief.entry.leaving), belief.tag))
            .fold(0, |digest, rank| digest ^ rank)
    }

    /// Gives a replica.
    pub fn get(&self, id: &str) -> Option<&ReplicaBelief> {
        self.rows.get(id)
    }

    /// Gives a replica to change.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut ReplicaBelief> {
        self.rows.get_mut(id)
    }

    /// Gives all replicas.
    pub fn rows(&self) -> impl Iterator<Item = &ReplicaBelief> {
        self.rows.values()
    }

    /// Gives all replicas to change.
    pub fn rows_mut(&mut self) -> impl Iterator<Item = &mut ReplicaBelief> {
        self.rows.values_mut()
    }

    /// Gives the model of a service, made from the prior where nothing is known.
    pub fn model(&mut self, service: &ServiceId) -> &mut FirstEventModel {
        self.models
            .entry(service.clone())
            .or_insert_with(|| FirstEventModel::new(PRIOR_BASE_MS))
    }

    /// Gives the model of a service as it is.
    pub fn model_of(&self, service: &str) -> FirstEventModel {
        self.models
            .get(service)
            .cloned()
            .unwrap_or_else(|| FirstEventModel::new(PRIOR_BASE_MS))
    }

    /// Gives what is known of the streams of a service; none before the first.
    pub fn stream_model(&self, service: &str) -> Option<&StreamModel> {
        self.streams.get(service)
    }

    /// Notes bytes of an answer, and the pause before them where they are events of an engine; tells whether
    /// the life of the replica that took the request still is.
    pub fn note_heard(
        &mut self,
        id: &str,
        ticket: u64,
        pause: Option<Duration>,
        now: Instant,
    ) -> bool {
        let Some(belief) = self
            .rows
            .get_mut(id)
            .filter(|belief| belief.has_open(ticket))
        else {
            return false;
        };
        belief.health.note_heard(now);
        let Some(pause) = pause else {
            return true;
        };
        // This runs for each event, so that the name is copied for the first one alone.
        if !self.streams.contains_key(&belief.entry.service) {
            let model = StreamModel::new(now);
            self.streams.insert(belief.entry.service.clone(), model);
        }
        if let Some(model) = self.streams.get_mut(&belief.entry.service) {
            model.note_pause(&mut belief.pace, pause, now);
        }
        true
    }

    /// Notes the length of a whole stream.
    pub fn note_length(&mut self, service: &ServiceId, size: &PromptSize, events: u32) {
        if let Some(model) = self.streams.get_mut(service) {
            model.note_length(size.asked_out(), events);
        }
    }

    /// Notes what came of a probe of one life of a replica; a later life under the same id has nothing to
    /// do with it.
    pub fn note_probe(&mut self, life: &ReplicaLife, sound: bool, now: Instant) {
        let Some(belief) = self.rows.get_mut(&life.id) else {
            return;
        };
        if belief.entry.born != life.born {
            return;
        }
        if sound {
            belief.health.note_probed(now);
        } else {
            belief.health.note_unreachable(now);
        }
    }

    /// Gives the replica that works on a request to change; none where that life of it has ended.
    ///
    /// A request that a replica's earlier life took would otherwise be taken off the work of the life
    /// that followed, and its failure counted against it.
    pub fn working_on(&mut self, id: &str, ticket: u64) -> Option<&mut ReplicaBelief> {
        let belief = self.rows.get_mut(id)?;
        belief.has_open(ticket).then_some(belief)
    }
}

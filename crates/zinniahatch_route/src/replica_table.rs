//! Table of the replicas (backend servers) that a node knows.

use crate::BackoffTable;
use crate::FirstEventModel;
use crate::LeaveReason;
use crate::PromptSize;
use crate::RateLimitEffect;
use crate::RateLimitTable;
use crate::RateLimitUpdate;
use crate::ReplicaEntry;
use crate::ReplicaIncarnation;
use crate::ReplicaState;
use crate::StreamModel;
use crate::WarmthDoubt;
use crate::placement_index::PlacementIndex;
use crate::prompt::rendezvous_score;
use crate::work_sync::WorkSync;
use std::net::SocketAddrV4;
use zinniahatch_base::prelude::*;

/// Time for which a replica still counts after its entry disappeared during a store failure.
/// Entries whose leases lapsed during an outage are back within two seconds of its end.
const MISSING_GRACE: Duration = Duration::from_millis(2500);
/// Time after a store failure during which a missing entry may merely have a lapsed lease.
const STORE_FAILURE_TIME: Duration = Duration::from_secs(4);
/// Time for which an ended incarnation is remembered, so that older updates of other nodes do not
/// restore it; far longer than a partitioned node keeps serving.
const ENDED_RETENTION: Duration = Duration::from_secs(300);
/// Time after the store was restored from an older backup in which operators write again what the
/// backup lacks. Until then, no evacuation ends merely because the backup does not contain it.
pub const RESTORE_HOLD: Duration = Duration::from_secs(6);
/// Prior base of the first-event model of a service, in ms, until responses were observed.
const PRIOR_BASE_MS: f64 = 40.0;

/// Time for which an incarnation that announced its leaving is remembered after removal: its entry
/// may come back while it still serves.
const DRAINED_RETENTION: Duration = Duration::from_secs(3600);

/// The last incarnation of a removed replica (tombstone).
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedIncarnation {
    pub(crate) started_ms: u64,
    /// Tag of the incarnation.
    pub(crate) tag: ShortTag,
    /// Whether it announced that it is leaving, which holds for the whole incarnation.
    pub(crate) leaving: bool,
    /// When it was removed from the table.
    at: Instant,
    /// Revision of the store at which its entry was removed.
    removed_at: StoreRevision,
    /// Revision of its first entry that was seen in a later era of the store.
    first_seen: Option<StoreRevision>,
}

impl EndedIncarnation {
    /// Returns the time for which the tombstone is kept.
    fn retention(&self) -> Duration {
        if self.leaving {
            DRAINED_RETENTION
        } else {
            ENDED_RETENTION
        }
    }

    /// Returns whether an entry shows that the replica is alive after all.
    ///
    /// An older entry does not, nor does one that merely reappeared in a store restored from a
    /// backup; a live replica writes its entry again within seconds.
    fn is_revived_by(&mut self, entry: &ReplicaEntry) -> bool {
        if entry.revision < self.removed_at {
            return false;
        }
        if entry.started_ms != self.started_ms || entry.revision.era == self.removed_at.era {
            return true;
        }
        let first = *self.first_seen.get_or_insert(entry.revision);
        entry.revision > first
    }
}

/// Effect of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryChange {
    /// Nothing that other nodes need to learn.
    None,
    /// The state of a replica changed.
    Updated,
    /// The replica restarted under the same id. Open connections to the address are broken, and
    /// requests sent on them are lost without a response.
    Restarted(SocketAddrV4),
}

/// Returns whether an entry names another software version than the one before, which takes a new
/// process even where the entries give no start time.
fn names_other_version(before: &ReplicaEntry, entry: &ReplicaEntry) -> bool {
    let versions = before.version.as_ref().zip(entry.version.as_ref());
    versions.is_some_and(|(before, now)| before != now)
}

/// All replicas that the node knows.
#[derive(Clone, Debug, Default)]
pub struct ReplicaTable {
    pub(crate) rows: BTreeMap<ReplicaId, ReplicaState>,
    /// Replica ids by the tags of their incarnations.
    pub(crate) tags: BTreeMap<ShortTag, ReplicaId>,
    pub(crate) index: PlacementIndex,
    models: BTreeMap<ServiceId, FirstEventModel>,
    streams: BTreeMap<ServiceId, StreamModel>,
    evacuated: BTreeSet<DataCentreId>,
    /// Revision of the store at the last evacuation change of each data centre.
    evacuation_revisions: BTreeMap<DataCentreId, StoreRevision>,
    pub(crate) work_sync: WorkSync,
    /// Rate limits stated by replicas.
    pub limits: RateLimitTable,
    /// Backoffs that replicas asked of this node.
    pub backoffs: BackoffTable,
    /// Incarnations that announced in a response that they are leaving, by tag.
    pub(crate) announced_leaving: BTreeMap<ShortTag, ReplicaIncarnation>,
    /// Ended incarnations by replica id.
    pub(crate) ended: BTreeMap<ReplicaId, EndedIncarnation>,
    store_failed_at: Option<Instant>,
    /// When the store discarded the history that this node was to read.
    history_lost_at: Option<Instant>,
    /// When the store was restored from an older backup.
    restored_at: Option<Instant>,
}

impl ReplicaTable {
    /// Applies an entry from the store.
    ///
    /// A replica that restarts under the same id gets a new state. When it was taken for its
    /// earlier incarnation, it was never used again after a notice of leaving, was assumed to cache
    /// prompts that it had lost, and was charged with old failures and in-flight work.
    pub fn upsert(&mut self, entry: ReplicaEntry, now: Instant) -> EntryChange {
        let tombstone = self.ended.get_mut(&entry.id);
        if tombstone.is_some_and(|ended| !ended.is_revived_by(&entry)) {
            return EntryChange::None;
        }
        let ended = self.ended.remove(&entry.id);
        let Some(state) = self.rows.get_mut(&entry.id) else {
            let leaving =
                ended.is_some_and(|ended| ended.leaving && ended.started_ms == entry.started_ms);
            let mut state = ReplicaState::new(entry, now);
            if leaving {
                state.leaving = Some(LeaveReason::Draining);
            }
            self.tags.insert(state.tag, state.entry.id.clone());
            self.index
                .insert(&state.entry.service, state.tag, &state.entry.id);
            self.rows.insert(state.entry.id.clone(), state);
            return EntryChange::Updated;
        };
        if entry.revision < state.entry.revision.max(state.removed_at) {
            return EntryChange::None;
        }
        if entry.started_ms != state.entry.started_ms || names_other_version(&state.entry, &entry) {
            let before = state.entry.address;
            self.tags.remove(&state.tag);
            self.index.remove(&state.entry.service, state.tag);
            *state = ReplicaState::new(entry, now);
            self.tags.insert(state.tag, state.entry.id.clone());
            self.index
                .insert(&state.entry.service, state.tag, &state.entry.id);
            return EntryChange::Restarted(before);
        }
        if entry.service != state.entry.service {
            self.index.remove(&state.entry.service, state.tag);
            self.index.insert(&entry.service, state.tag, &entry.id);
        }
        let changed = state.entry.leaving != entry.leaving || state.missing_since.is_some();
        state.update(entry, now);
        if changed {
            EntryChange::Updated
        } else {
            EntryChange::None
        }
    }

    /// Merges the replicas that another node knows, for a node that cannot reach the store.
    ///
    /// The other node may lag: one that still knew a replica which had ended here announced it, and
    /// the replica got requests five seconds after it had left. Incarnations that ended here
    /// therefore stay ended, and new entries count only while this node has no view of its own.
    pub fn merge_peer_snapshot(
        &mut self,
        entries: Vec<ReplicaEntry>,
        ended_on_peer: &[ReplicaIncarnation],
        now: Instant,
    ) {
        let accepts_new = self.rows.is_empty() || self.may_lack_entries(now);
        for entry in entries {
            let ended = self.ended.get(&entry.id);
            if ended.is_some_and(|ended| ended.started_ms == entry.started_ms) {
                continue;
            }
            let row = self.rows.get(&entry.id);
            let known = row.is_some_and(|state| state.entry.started_ms == entry.started_ms);
            if (known && entry.leaving) || (!known && accepts_new) {
                self.upsert(entry, now);
            }
        }
        for incarnation in ended_on_peer {
            if let Some(state) = self.rows.get_mut(&incarnation.id)
                && state.entry.started_ms == incarnation.started_ms
            {
                state.leaving.get_or_insert(LeaveReason::EntryGone);
            }
        }
    }

    /// Returns whether a call to the store failed a short time ago.
    pub fn store_failed_recently(&self, now: Instant) -> bool {
        self.store_failed_at
            .is_some_and(|at| now.saturating_duration_since(at) <= STORE_FAILURE_TIME)
    }

    /// Returns whether entries of live replicas may have lapsed or been missed a short time ago.
    fn may_lack_entries(&self, now: Instant) -> bool {
        let history_lost = self
            .history_lost_at
            .is_some_and(|at| now.saturating_duration_since(at) <= STORE_FAILURE_TIME);
        history_lost || self.store_failed_recently(now)
    }

    /// Handles the removal of an entry from the store.
    ///
    /// Shortly after a store failure, the leases of live replicas may have lapsed; dropping them
    /// all would leave no replica for requests. They are kept for a grace period and dropped if
    /// their entries do not come back.
    ///
    /// `revision` is the store's revision of the removal; an entry written later still stands.
    pub fn remove_entry(&mut self, id: &str, revision: StoreRevision, now: Instant) {
        let store_failed = self.may_lack_entries(now);
        let Some(state) = self.rows.get_mut(id) else {
            return;
        };
        if revision < state.entry.revision {
            return;
        }
        state.removed_at = revision;
        if store_failed && state.leaving.is_none() {
            state.missing_since.get_or_insert(now);
            return;
        }
        state.leaving.get_or_insert(LeaveReason::EntryGone);
    }

    /// Replaces all entries by a full listing of the store at a revision; returns the entries that
    /// changed and the ids that are no longer listed.
    pub fn apply_listing(
        &mut self,
        entries: Vec<ReplicaEntry>,
        revision: StoreRevision,
        now: Instant,
    ) -> (Vec<(ReplicaEntry, EntryChange)>, Vec<ReplicaId>) {
        self.replace_entries(entries, |_| true, revision, now)
    }

    /// Replaces the entries of the replicas that match a filter by those of the store at a revision;
    /// returns the entries that changed and the ids that the store no longer has.
    pub(crate) fn replace_entries(
        &mut self,
        entries: Vec<ReplicaEntry>,
        filter: impl Fn(&ReplicaState) -> bool,
        revision: StoreRevision,
        now: Instant,
    ) -> (Vec<(ReplicaEntry, EntryChange)>, Vec<ReplicaId>) {
        let listed: BTreeSet<ReplicaId> = entries.iter().map(|entry| entry.id.clone()).collect();
        let missing: Vec<ReplicaId> = self
            .rows
            .iter()
            .filter(|(id, state)| !listed.contains(*id) && filter(state))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &missing {
            self.remove_entry(id, revision, now);
        }
        let mut changed = Vec::new();
        for entry in entries {
            let change = self.upsert(entry.clone(), now);
            if change != EntryChange::None {
                changed.push((entry, change));
            }
        }
        (changed, missing)
    }

    /// Records that the store was restored from an older backup.
    pub fn note_store_restored(&mut self, now: Instant) {
        self.restored_at = Some(now);
    }

    /// Records that the store discarded the history that this node was to read.
    ///
    /// The store still serves this node, so that it goes on reading for its region.
    pub fn note_history_lost(&mut self, now: Instant) {
        self.history_lost_at = Some(now);
    }

    /// Records that a call to the store failed.
    pub fn note_store_failure(&mut self, now: Instant) {
        self.store_failed_at = Some(now);
    }

    /// Replaces the set of evacuated data centres by that of the store at a revision; returns those
    /// that changed.
    pub fn set_evacuated(
        &mut self,
        evacuated: &BTreeSet<DataCentreId>,
        revision: StoreRevision,
        now: Instant,
    ) -> Vec<DataCentreId> {
        let hold_active = self
            .restored_at
            .is_some_and(|at| now.saturating_duration_since(at) < RESTORE_HOLD);
        let data_centres: Vec<DataCentreId> = self.evacuated.union(evacuated).cloned().collect();
        let mut changed = Vec::new();
        for data_centre in data_centres {
            let active = evacuated.contains(&data_centre);
            // The backup may be older than the evacuation, which operators have not written again
            // yet.
            if hold_active && !active {
                continue;
            }
            if self.note_evacuation(&data_centre, active, revision) {
                changed.push(data_centre);
            }
        }
        changed
    }

    /// Records that a data centre is evacuated or back in use as of a revision of the store;
    /// returns whether that is new.
    ///
    /// Nodes announce it to each other up to a second apart, and listings may be old: an old
    /// listing that overtook the evacuation of a data centre would send requests there again.
    pub fn note_evacuation(
        &mut self,
        data_centre: &DataCentreId,
        active: bool,
        revision: StoreRevision,
    ) -> bool {
        let known = self.evacuation_revisions.get(data_centre).copied();
        if known.is_some_and(|known| revision < known) {
            return false;
        }
        self.evacuation_revisions
            .insert(data_centre.clone(), revision);
        if active {
            self.evacuated.insert(data_centre.clone())
        } else {
            self.evacuated.remove(data_centre)
        }
    }

    /// Doubts the warmth of the replicas of a data centre that is back in use as of a revision of the
    /// store, for the services that have a warm-up; returns their number.
    ///
    /// Replicas without work may become cold. The entry that says so may reach a node after the end of
    /// the evacuation does.
    pub fn doubt_warmth(
        &mut self,
        data_centre: &DataCentreId,
        warms_up: impl Fn(&ServiceId) -> bool,
        revision: StoreRevision,
        now: Instant,
    ) -> usize {
        let mut doubted = 0;
        for state in self.rows.values_mut() {
            let entry = &state.entry;
            let is_told = entry.revision > revision;
            if is_told || entry.data_centre != *data_centre || !warms_up(&entry.service) {
                continue;
            }
            state.warmth_doubt = Some(WarmthDoubt {
                revision,
                since: now,
            });
            doubted += 1;
        }
        doubted
    }

    /// Records that a replica incarnation named no time for which it is cold in the response to a
    /// health check that was sent at `sent`.
    pub fn note_warm(&mut self, incarnation: &ReplicaIncarnation, sent: Instant) {
        if let Some(state) = self.incarnation_mut(incarnation) {
            state.warmth_doubt = state.warmth_doubt.filter(|doubt| doubt.since > sent);
        }
    }

    /// Records that a replica is cold for a time, as another node learned from it; returns its id if that is
    /// new.
    pub fn note_cold(&mut self, tag: ShortTag, left: Duration, now: Instant) -> Option<ReplicaId> {
        let id = self.tags.get(&tag)?;
        let state = self.rows.get_mut(id)?;
        let was_cold = state.is_cold(now);
        state.cold_until = state.cold_until.max(now.checked_add(left));
        (!was_cold).then(|| id.clone())
    }

    /// Returns the evacuated data centres.
    pub fn evacuated(&self) -> &BTreeSet<DataCentreId> {
        &self.evacuated
    }

    /// Expires lapsed entries and removes ended replicas without in-flight work; returns the
    /// removed ids. Called on every tick.
    pub fn tick(&mut self, now: Instant) -> Vec<ReplicaId> {
        let mut dropped = Vec::new();
        let models = &self.models;
        for (id, state) in &mut self.rows {
            if state
                .missing_since
                .is_some_and(|at| now.saturating_duration_since(at) > MISSING_GRACE)
            {
                state.leaving.get_or_insert(LeaveReason::EntryGone);
            }
            let model = models.get(&state.entry.service);
            let prefill_allowance = model.map_or(Duration::ZERO, |model| {
                model
                    .prefill_time(state.local_work.tokens)
                    .mul_f64(state.slowness.max(1.0))
            });
            let oldest = state.in_flight_requests.values().min().copied();
            state.health.set_oldest_in_flight(oldest, prefill_allowance);
            state.health.tick(now);
            let ended = match state.leaving {
                None => false,
                Some(LeaveReason::Draining) => state.removed_at > state.entry.revision,
                Some(LeaveReason::EntryGone | LeaveReason::Replaced) => true,
            };
            if ended && state.local_work.requests == 0 {
                dropped.push(id.clone());
            }
        }
        for id in &dropped {
            let Some(state) = self.rows.remove(id) else {
                continue;
            };
            self.tags.remove(&state.tag);
            self.index.remove(&state.entry.service, state.tag);
            let ended = EndedIncarnation {
                started_ms: state.entry.started_ms,
                tag: state.tag,
                leaving: state.leaving == Some(LeaveReason::Draining),
                at: now,
                removed_at: state.removed_at,
                first_seen: None,
            };
            self.ended.insert(id.clone(), ended);
        }
        self.work_sync.tick(now);
        let tags = &self.tags;
        self.announced_leaving
            .retain(|tag, _| tags.contains_key(tag));
        self.limits.tick(|tag| tags.contains_key(&tag), now);
        self.backoffs.tick(now);
        self.ended
            .retain(|_, ended| now.saturating_duration_since(ended.at) <= ended.retention());
        dropped
    }

    /// Applies another node's update of a rate limit; updates for unknown replicas are ignored.
    pub fn apply_limit_update(
        &mut self,
        update: &RateLimitUpdate,
        now: Instant,
    ) -> RateLimitEffect {
        if !self.tags.contains_key(&update.replica) {
            return RateLimitEffect::Known;
        }
        self.limits.apply_update(update, now)
    }

    /// Returns the id of the replica whose incarnation has a tag.
    pub fn id_of(&self, tag: ShortTag) -> Option<&ReplicaId> {
        self.tags.get(&tag)
    }

    /// Returns a digest of the desired state's version and the evacuations in force.
    pub fn config_digest(&self, version: u64) -> u64 {
        let data_centres = self.evacuated.iter();
        data_centres.fold(rendezvous_score(version, 0), |digest, data_centre| {
            digest ^ rendezvous_score(version, tag_of(data_centre))
        })
    }

    /// Returns a replica.
    pub fn get(&self, id: &str) -> Option<&ReplicaState> {
        self.rows.get(id)
    }

    /// Returns a replica for modification.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut ReplicaState> {
        self.rows.get_mut(id)
    }

    /// Returns the number of replicas.
    pub fn replica_count(&self) -> usize {
        self.rows.len()
    }

    /// Returns all replicas.
    pub fn rows(&self) -> impl Iterator<Item = &ReplicaState> {
        self.rows.values()
    }

    /// Returns all replicas for modification.
    pub fn rows_mut(&mut self) -> impl Iterator<Item = &mut ReplicaState> {
        self.rows.values_mut()
    }

    /// Returns the model of a service, created from the prior if unknown.
    pub fn model(&mut self, service: &ServiceId) -> &mut FirstEventModel {
        self.models
            .entry(service.clone())
            .or_insert_with(|| FirstEventModel::new(PRIOR_BASE_MS))
    }

    /// Returns a copy of the model of a service, or the prior if unknown.
    pub fn model_of(&self, service: &str) -> FirstEventModel {
        self.models
            .get(service)
            .cloned()
            .unwrap_or_else(|| FirstEventModel::new(PRIOR_BASE_MS))
    }

    /// Returns the stream model of a service; `None` before its first stream.
    pub fn stream_model(&self, service: &str) -> Option<&StreamModel> {
        self.streams.get(service)
    }

    /// Records bytes of a response, and the gap before them if they are events of an engine;
    /// returns whether the incarnation that took the request is still current.
    pub fn note_bytes(
        &mut self,
        id: &str,
        ticket: u64,
        gap: Option<Duration>,
        now: Instant,
    ) -> bool {
        let Some(state) = self
            .rows
            .get_mut(id)
            .filter(|state| state.has_request(ticket))
        else {
            return false;
        };
        state.health.note_bytes(now);
        let Some(gap) = gap else {
            return true;
        };
        // This runs for each event, so the name is cloned only for the first one.
        if !self.streams.contains_key(&state.entry.service) {
            let model = StreamModel::new(now);
            self.streams.insert(state.entry.service.clone(), model);
        }
        if let Some(model) = self.streams.get_mut(&state.entry.service) {
            model.note_gap(&mut state.gaps, gap, now);
        }
        true
    }

    /// Records the length of a complete stream.
    pub fn note_length(&mut self, service: &ServiceId, size: &PromptSize, events: u32) {
        if let Some(model) = self.streams.get_mut(service) {
            model.note_length(size.output_tokens(), events);
        }
    }

    /// Records the result of probing a replica incarnation; ignored if a later incarnation has
    /// taken its place.
    pub fn note_probe(&mut self, incarnation: &ReplicaIncarnation, succeeded: bool, now: Instant) {
        let Some(state) = self.incarnation_mut(incarnation) else {
            return;
        };
        if succeeded {
            state.health.note_probe_success(now);
        } else {
            state.health.note_unreachable(now);
        }
    }

    /// Records that a probe sent to a replica incarnation at `sent` had no answer in time; ignored
    /// likewise.
    pub fn note_unanswered_probe(
        &mut self,
        incarnation: &ReplicaIncarnation,
        sent: Instant,
        now: Instant,
    ) {
        if let Some(state) = self.incarnation_mut(incarnation) {
            state.health.note_unanswered_probe(sent, now);
        }
    }

    fn incarnation_mut(&mut self, incarnation: &ReplicaIncarnation) -> Option<&mut ReplicaState> {
        let state = self.rows.get_mut(&incarnation.id)?;
        (state.entry.started_ms == incarnation.started_ms).then_some(state)
    }

    /// Returns the replica that serves an in-flight request, for modification; `None` if that
    /// incarnation has ended.
    ///
    /// Without this check, a request that an earlier incarnation took would be subtracted from the
    /// work of the next one, and its failure charged to it.
    pub fn replica_for_ticket(&mut self, id: &str, ticket: u64) -> Option<&mut ReplicaState> {
        let state = self.rows.get_mut(id)?;
        state.has_request(ticket).then_some(state)
    }
}

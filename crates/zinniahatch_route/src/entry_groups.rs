//! Comparison of replica entries between nodes by digests of groups, so that a node which missed an
//! update fetches the groups that differ rather than all entries of its region.

use crate::EntryChange;
use crate::ReplicaEntry;
use crate::ReplicaIncarnation;
use crate::ReplicaState;
use crate::ReplicaTable;
use crate::prompt::rendezvous_score;
use zinniahatch_base::prelude::*;

/// Number of groups: a mismatch then costs about a sixtieth of all entries, and the digests fit in
/// one packet.
pub const ENTRY_GROUPS: usize = 64;

/// Returns the group of a replica incarnation.
fn group_of(tag: ShortTag) -> usize {
    tag as usize % ENTRY_GROUPS
}

/// Returns the groups in which two lists of digests differ.
pub fn differing_groups(own: &[u64], other: &[u64]) -> BTreeSet<usize> {
    let groups = 0..ENTRY_GROUPS;
    groups
        .filter(|group| own.get(*group) != other.get(*group))
        .collect()
}

/// Returns what tells an entry of an incarnation from an earlier one: whether it is leaving, and the
/// revision if the entry states a time. Nodes of earlier versions have the same digest of the others.
fn entry_detail(entry: &ReplicaEntry) -> u64 {
    let states_time = !entry.cold_for.is_zero() || entry.gone_in.is_some();
    let revision = if states_time {
        entry.revision.packed()
    } else {
        0
    };
    revision << 1 | u64::from(entry.leaving)
}

impl ReplicaTable {
    /// Returns the digests of the store's entries for a region's replicas by group: ids,
    /// incarnations, which are leaving, and the entries of those that are cold or about to terminate.
    ///
    /// What responses state about them is left out, so that nodes that read the same entries have
    /// the same digests.
    pub fn group_digests(
        &self,
        regions: &BTreeMap<DataCentreId, RegionId>,
        region: &RegionId,
    ) -> Vec<u64> {
        let mut digests = vec![0; ENTRY_GROUPS];
        for state in self.rows() {
            let present = state.removed_at <= state.entry.revision;
            if present && regions.get(&state.entry.data_centre) == Some(region) {
                digests[group_of(state.tag)] ^=
                    rendezvous_score(entry_detail(&state.entry), state.tag);
            }
        }
        digests
    }

    /// Returns the digest of all groups together.
    pub fn entries_digest(
        &self,
        regions: &BTreeMap<DataCentreId, RegionId>,
        region: &RegionId,
    ) -> u64 {
        let digests = self.group_digests(regions, region);
        digests.into_iter().fold(0, |digest, group| digest ^ group)
    }

    /// Returns the groups with replicas whose software version is not known, since their entries came
    /// from a node of an earlier version.
    pub fn groups_without_version(&self) -> BTreeSet<usize> {
        let unknown = self.rows().filter(|state| state.version.is_none());
        unknown.map(|state| group_of(state.tag)).collect()
    }

    /// Returns the digests to compare with those of another node: the own ones, but none that can
    /// match for a group with a version that is not known. The digests leave the versions out, since
    /// nodes of earlier versions do not have them.
    pub fn wanted_digests(
        &self,
        regions: &BTreeMap<DataCentreId, RegionId>,
        region: &RegionId,
    ) -> Vec<u64> {
        let mut digests = self.group_digests(regions, region);
        for group in self.groups_without_version() {
            digests[group] = !digests[group];
        }
        digests
    }

    /// Returns the replicas in some groups.
    pub fn rows_in(&self, groups: &BTreeSet<usize>) -> impl Iterator<Item = &ReplicaState> {
        self.rows()
            .filter(|state| groups.contains(&group_of(state.tag)))
    }

    /// Returns the ended incarnations in some groups, to announce them to other nodes.
    pub fn ended_in(&self, groups: &BTreeSet<usize>) -> impl Iterator<Item = ReplicaIncarnation> {
        let ended = self
            .ended
            .iter()
            .filter(|(_, ended)| groups.contains(&group_of(ended.tag)));
        ended.map(|(id, ended)| ReplicaIncarnation {
            id: id.clone(),
            started_ms: ended.started_ms,
        })
    }

    /// Replaces some groups by those of a node that had read the store up to a revision; returns
    /// what changed.
    pub fn merge_reader_groups(
        &mut self,
        entries: Vec<ReplicaEntry>,
        groups: &BTreeSet<usize>,
        read_at: StoreRevision,
        now: Instant,
    ) -> Vec<(ReplicaEntry, EntryChange)> {
        let in_groups = |state: &ReplicaState| groups.contains(&group_of(state.tag));
        let (changes, _) = self.replace_entries(entries, in_groups, read_at, now);
        changes
    }
}

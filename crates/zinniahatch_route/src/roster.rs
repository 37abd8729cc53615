//! Rosters: compact lists of the live nodes of a region, by which its nodes learn of each other
//! without sending heartbeats to all.
//!
//! A roster names each node by a tag and says how long ago its heartbeat was received, so that it
//! can be passed on without making a node look fresher than it is. What a node announces once per
//! start is requested separately for tags that the receiver does not know.

use crate::FreshnessProof;
use crate::MemberInfo;
use crate::MemberStage;
use crate::MemberTable;
use crate::StoreDigest;
use crate::StoreProgress;
use crate::members::MemberState;
use crate::members::REGISTERED_TIMEOUT;
use std::cmp::Reverse;
use zinniahatch_base::prelude::*;

/// Unit of the ages in a roster. With 8 bits they reach 5.1 s, longer than any node counts as live.
const AGE_UNIT: Duration = Duration::from_millis(20);
/// Entries per roster datagram, 7 bytes each, so that it fits in one packet.
const MAX_ENTRIES: usize = 150;
/// Tags requested at once after a roster.
const MAX_REQUESTED: usize = 96;
/// Time after which an unanswered request for a tag is repeated.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);

domain! {
    /// One node in a roster.
    #[derive(Copy, Eq)]
    pub struct RosterEntry {
        /// Tag of this start of the node.
        pub tag: ShortTag,
        /// Time since its heartbeat was received, in units of 20 ms, rounded up.
        pub age: u8,
        /// Age of its proof of how current its keys are, when the heartbeat was received, in the
        /// same unit; `u8::MAX` if it has none.
        pub proof_age: u8
    }

    /// Nodes that share the same state.
    pub struct RosterGroup {
        /// Their lifecycle stage.
        pub stage: MemberStage,
        /// The version of the desired state that they use.
        pub version: u64,
        /// Revision of the preset that they use.
        pub preset: Revision,
        /// Whether they can reach the store.
        pub store_reachable: bool,
        /// Share of a CPU core that each has, in hundredths.
        pub cpu_share: u32,
        /// The nodes.
        pub members: Vec<RosterEntry>
    }

    /// Part of a roster that fits in one datagram; each part stands by itself.
    #[derive(Default)]
    pub struct RosterPart {
        /// Nodes by the state that they share.
        pub groups: Vec<RosterGroup>,
        /// Digests of the nodes that read the store for their region.
        pub store_digests: Vec<(ShortTag, StoreDigest)>,
        /// How far these nodes have read it. Sent apart, since nodes of earlier versions do not know it.
        #[serde(skip)]
        pub store_progress: Vec<(ShortTag, StoreProgress)>
    }
}

/// Nodes that rosters name and whose announced state is not known yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnknownMembers {
    rows: BTreeMap<ShortTag, UnknownMember>,
}

#[derive(Clone, Copy, Debug)]
struct UnknownMember {
    /// When its last heartbeat was received by any node.
    last_heartbeat: Instant,
    requested: Option<Instant>,
}

impl UnknownMembers {
    fn note(&mut self, tag: ShortTag, received: Instant) {
        let row = self.rows.entry(tag).or_insert(UnknownMember {
            last_heartbeat: received,
            requested: None,
        });
        row.last_heartbeat = row.last_heartbeat.max(received);
    }

    /// Returns whether a tag is to be requested now, and records the request.
    fn request(&mut self, tag: ShortTag, now: Instant) -> bool {
        let Some(row) = self.rows.get_mut(&tag) else {
            return false;
        };
        let waits = row
            .requested
            .is_some_and(|at| now.saturating_duration_since(at) < REQUEST_TIMEOUT);
        if !waits {
            row.requested = Some(now);
        }
        !waits
    }

    /// Removes a tag and returns when its last heartbeat was received.
    fn resolve(&mut self, tag: ShortTag) -> Option<Instant> {
        Some(self.rows.remove(&tag)?.last_heartbeat)
    }

    /// Drops nodes that are no longer named.
    pub(crate) fn tick(&mut self, now: Instant) {
        self.rows.retain(|_, row| {
            now.saturating_duration_since(row.last_heartbeat) <= REGISTERED_TIMEOUT
        });
    }
}

impl MemberInfo {
    /// Returns the tag of this start of the node, for rosters.
    pub fn tag(&self) -> ShortTag {
        process_tag(&self.node, self.incarnation)
    }
}

/// Returns the tag of one start of a node, in rosters and in updates of its work and usage.
pub fn process_tag(node: &str, incarnation: Incarnation) -> ShortTag {
    tag_of(&format!("{node}@{incarnation}"))
}

impl MemberTable {
    /// Returns the roster of the region of `own`, this node, in parts of one datagram each.
    ///
    /// `delay` is the longest time until the parts are sent, and counts towards the ages.
    pub fn roster(&self, own: &MemberInfo, delay: Duration, now: Instant) -> Vec<RosterPart> {
        let mut groups: BTreeMap<_, Vec<RosterEntry>> = BTreeMap::new();
        let mut readers = BTreeMap::new();
        let others = self.rows().map(|row| {
            let age = now.saturating_duration_since(row.last_heartbeat);
            (&row.info, row.tag, age)
        });
        for (info, tag, age) in others.chain([(own, own.tag(), Duration::ZERO)]) {
            let age = age + delay;
            if info.region != own.region || age > REGISTERED_TIMEOUT {
                continue;
            }
            let proof = info.proof.map(|proof| u64::from(proof.age_ms));
            let entry = RosterEntry {
                tag,
                age: encode_age(age),
                proof_age: proof.map_or(u8::MAX, |age| encode_age(Duration::from_millis(age))),
            };
            let key = (
                Reverse(info.cpu_share),
                info.stage,
                info.version,
                info.preset,
                info.store_reachable,
            );
            groups.entry(key).or_default().push(entry);
            if let Some(digest) = info.store_digest {
                readers.insert(tag, (digest, info.store_progress));
            }
        }
        let mut parts = vec![RosterPart::default()];
        let mut free = MAX_ENTRIES;
        for ((cpu_share, stage, version, preset, store_reachable), members) in groups {
            let mut rest = members.as_slice();
            while !rest.is_empty() {
                let (now, later) = rest.split_at(rest.len().min(free));
                let named = now.iter().filter_map(|entry| {
                    let (digest, progress) = readers.get(&entry.tag)?;
                    Some((entry.tag, *digest, *progress))
                });
                if let Some(part) = parts.last_mut() {
                    for (tag, digest, progress) in named {
                        part.store_digests.push((tag, digest));
                        part.store_progress
                            .extend(progress.map(|progress| (tag, progress)));
                    }
                }
                let group = RosterGroup {
                    stage,
                    version,
                    preset,
                    store_reachable,
                    cpu_share: cpu_share.0,
                    members: now.to_vec(),
                };
                if let Some(part) = parts.last_mut() {
                    part.groups.push(group);
                }
                rest = later;
                free -= now.len();
                if free == 0 {
                    parts.push(RosterPart::default());
                    free = MAX_ENTRIES;
                }
            }
        }
        parts.retain(|part| !part.groups.is_empty());
        parts
    }

    /// Applies a part of a roster of another node; returns the tags whose state it has to be asked
    /// for, those of the largest machines first.
    pub fn apply_roster(
        &mut self,
        part: &RosterPart,
        own: ShortTag,
        now: Instant,
    ) -> Vec<ShortTag> {
        let mut unknown = Vec::new();
        for group in &part.groups {
            for entry in &group.members {
                if entry.tag == own {
                    continue;
                }
                let age = AGE_UNIT * u32::from(entry.age);
                let received = now.checked_sub(age).unwrap_or(now);
                let Some(row) = self.row_by_tag(entry.tag) else {
                    self.unknown.note(entry.tag, received);
                    unknown.push((Reverse(group.cpu_share), entry.tag));
                    continue;
                };
                let known_since = row.unreachable_at.unwrap_or(row.last_heartbeat);
                if received <= row.last_heartbeat.max(known_since) {
                    continue;
                }
                let digests = &part.store_digests;
                let digest = digests.iter().find(|(tag, _)| *tag == entry.tag);
                row.apply_entry(group, *entry, received);
                row.info.store_digest = digest.map(|(_, digest)| *digest);
                let mut progress = part.store_progress.iter();
                let progress = progress.find(|(tag, _)| *tag == entry.tag);
                row.info.store_progress = progress.map(|(_, progress)| *progress);
            }
        }
        unknown.sort_unstable();
        let requests = unknown.into_iter().map(|(_, tag)| tag);
        requests
            .filter(|tag| self.unknown.request(*tag, now))
            .take(MAX_REQUESTED)
            .collect()
    }

    /// Returns what the nodes with these tags announced, without the capacity of their region.
    pub fn infos_by_tag(&self, tags: &[ShortTag]) -> Vec<MemberInfo> {
        let rows = tags.iter().filter_map(|tag| self.get_by_tag(*tag));
        rows.map(|info| MemberInfo {
            services: BTreeMap::new(),
            ..info.clone()
        })
        .collect()
    }

    /// Adds a node that a roster named, as announced to another node; returns whether it was
    /// unknown, and the incarnation that it replaces.
    pub fn learn(&mut self, info: MemberInfo) -> (bool, Option<Incarnation>) {
        let Some(received) = self.unknown.resolve(info.tag()) else {
            return (false, None);
        };
        let is_current = self
            .row(&info.node)
            .is_some_and(|row| row.last_heartbeat >= received);
        if is_current {
            return (false, None);
        }
        self.update(info, false, received)
    }
}

impl MemberState {
    fn apply_entry(&mut self, group: &RosterGroup, entry: RosterEntry, received: Instant) {
        self.last_heartbeat = received;
        // Stages only advance, so an older one arrived late.
        self.info.stage = self.info.stage.max(group.stage);
        self.info.version = group.version;
        self.info.preset = group.preset;
        self.info.store_reachable = group.store_reachable;
        let proof_age = AGE_UNIT * u32::from(entry.proof_age);
        self.info.proof = (entry.proof_age < u8::MAX).then_some(FreshnessProof {
            version: group.version,
            age_ms: proof_age.as_millis() as u32,
        });
    }
}

/// Encodes an age, rounded up.
fn encode_age(age: Duration) -> u8 {
    let units = age.as_millis().div_ceil(AGE_UNIT.as_millis());
    u8::try_from(units).unwrap_or(u8::MAX)
}

//! The other entry VMs: which are live, where they are, and the capacity of their regions.

use crate::FreshnessProof;
use crate::PauseDetector;
use crate::prompt::rendezvous_score;
use crate::roster::UnknownMembers;
use crate::round_trips::RoundTrips;
use std::cmp::Reverse;
use std::net::SocketAddrV4;
use zinniahatch_base::prelude::*;
use zinniahatch_base::rendezvous_rank;

/// Time without a heartbeat after which a node no longer counts as live. Heartbeats come every 200
/// to 500 ms; three consecutive losses are rare even on a link that loses one packet in thirty.
const LIVE_TIMEOUT: Duration = Duration::from_millis(1800);
/// Time without a heartbeat for which a node that still has a key in the store may be returned to
/// callers, if no other node is left.
pub(crate) const REGISTERED_TIMEOUT: Duration = Duration::from_secs(4);
/// Time in which a node that has started learns of the others. Heartbeats are sent every half second.
pub const DISCOVERY_TIME: Duration = Duration::from_secs(2);
/// Round-trip time assumed until one is measured.
const DEFAULT_ROUND_TRIP: Duration = Duration::from_millis(120);
/// Nodes whose round-trip times have to exceed their least before this node's own link counts as the
/// cause.
const MIN_WAIT_WITNESSES: usize = 3;
/// Time without a heartbeat after which a node is dropped.
const DROP_AFTER: Duration = Duration::from_secs(30);

domain! {
    /// Capacity of a region for one service.
    #[derive(Copy, Eq, Default)]
    pub struct ServiceCapacity {
        /// Number of healthy replicas.
        pub healthy: u16,
        /// Expected wait at the best of them, in ms.
        pub wait_ms: u32,
        /// Time between the events of a stream there, in us; 0 if none was observed.
        pub gap_us: u32,
        /// Mean number of requests in progress at one replica, in tenths.
        pub running: u16
    }

    /// Digests of what a node read from the store.
    #[derive(Copy, Eq)]
    pub struct StoreDigest {
        /// Digest of the replicas of its region.
        pub replicas: u64,
        /// Digest of the desired state's version and the evacuations.
        pub rules: u64
    }

    /// Revisions up to which a node has read the store.
    #[derive(Copy, Eq)]
    pub struct StoreProgress {
        /// Of the replicas.
        pub replicas: StoreRevision,
        /// Of the desired state and the evacuations.
        pub rules: StoreRevision
    }

    /// Lifecycle stage of a node; a node goes through them in this order.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub enum MemberStage {
        /// Does not know enough yet to serve.
        Starting,
        /// Accepts callers.
        Ready,
        /// Was told to stop; still serves callers that come.
        Leaving,
        /// Was told to stop and accepts only requests that end soon, because no other node of its
        /// region is ready.
        PlainOnly,
        /// Accepts no more requests but streams of other nodes that have begun, and finishes those in
        /// progress.
        Closing
    }

    /// What a node announces about itself in its heartbeats.
    pub struct MemberInfo {
        /// Its name.
        pub node: NodeId,
        /// Number of this start of the node.
        pub incarnation: Incarnation,
        /// Its region.
        pub region: RegionId,
        /// Its data centre.
        pub data_centre: DataCentreId,
        /// Share of a CPU core that it has, in hundredths.
        pub cpu_share: u32,
        /// Address for callers.
        pub front: SocketAddrV4,
        /// Address for other nodes.
        pub peer: SocketAddrV4,
        /// Its lifecycle stage.
        pub stage: MemberStage,
        /// The version of the desired state that it uses.
        pub version: u64,
        /// Revision of the preset that it uses.
        pub preset: Revision,
        /// Whether it can reach the store.
        pub store_reachable: bool,
        /// Digests of the store's content; only from nodes that read it on behalf of their region.
        pub store_digest: Option<StoreDigest>,
        /// How far it has read the store; only from the same nodes. Sent apart, since nodes of earlier
        /// versions do not know it.
        #[serde(skip)]
        pub store_progress: Option<StoreProgress>,
        /// Its proof of how current its keys are; `None` if it has none.
        pub proof: Option<FreshnessProof>,
        /// The capacity of its region, by the tag of the service.
        pub services: BTreeMap<ShortTag, ServiceCapacity>
    }
}

/// State of this node that is compared with other nodes to find one that is ahead.
#[derive(Clone, Copy, Debug)]
pub struct SyncState<'a> {
    /// Its region.
    pub region: &'a RegionId,
    /// The version of the desired state that it uses.
    pub version: u64,
    /// Revision of the preset that it uses.
    pub preset: Revision,
    /// Whether it can reach the store.
    pub store_reachable: bool,
    /// Whether it knows the replicas of its region.
    pub knows_replicas: bool,
}

/// What is known of one node.
#[derive(Clone, Debug)]
pub(crate) struct MemberState {
    pub(crate) info: MemberInfo,
    /// Tag of this start of the node.
    pub(crate) tag: ShortTag,
    /// When its last heartbeat was received, by this node or by the one that reported it.
    pub(crate) last_heartbeat: Instant,
    /// When this node last failed to reach it.
    pub(crate) unreachable_at: Option<Instant>,
    round_trips: Option<RoundTrips>,
    /// When it last asked for a reply.
    reply_wanted: Option<Instant>,
}

/// The other nodes.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    rows: BTreeMap<NodeId, MemberState>,
    addresses: BTreeMap<SocketAddrV4, NodeId>,
    tags: BTreeMap<ShortTag, NodeId>,
    /// Nodes named in rosters that have no row yet.
    pub(crate) unknown: UnknownMembers,
    pauses: PauseDetector,
}

impl MemberTable {
    /// Applies a heartbeat received directly from its node; `wants_reply` tells whether the node
    /// wants a reply.
    ///
    /// Returns whether this is a new start of the node, and the incarnation that it replaces.
    pub fn update(
        &mut self,
        info: MemberInfo,
        wants_reply: bool,
        now: Instant,
    ) -> (bool, Option<Incarnation>) {
        let old = self.rows.get(&info.node);
        let is_new = old.is_none_or(|row| row.info.incarnation != info.incarnation);
        let replaced = old
            .map(|row| row.info.incarnation)
            .filter(|incarnation| *incarnation != info.incarnation);
        let round_trips = old.and_then(|row| row.round_trips);
        let known_tag = old.filter(|_| !is_new).map(|row| row.tag);
        let reply_wanted = if wants_reply {
            Some(now)
        } else {
            old.and_then(|row| row.reply_wanted)
        };
        let tag = known_tag.unwrap_or_else(|| info.tag());
        if is_new {
            if let Some(before) = old.map(|row| row.tag) {
                self.tags.remove(&before);
            }
            self.tags.insert(tag, info.node.clone());
        }
        self.addresses.insert(info.peer, info.node.clone());
        self.rows.insert(
            info.node.clone(),
            MemberState {
                info,
                tag,
                last_heartbeat: now,
                unreachable_at: None,
                round_trips,
                reply_wanted,
            },
        );
        (is_new, replaced)
    }

    /// Returns the time since the last heartbeat of a node, without pauses of this node. Those that
    /// arrived during a pause are yet to be read.
    fn silence(&self, row: &MemberState, now: Instant) -> Duration {
        if row.unreachable_at.is_some() {
            return now.saturating_duration_since(row.last_heartbeat);
        }
        self.pauses.silence(row.last_heartbeat, now)
    }

    fn is_live(&self, row: &MemberState, now: Instant) -> bool {
        self.silence(row, now) <= LIVE_TIMEOUT
    }

    /// Returns the state of all nodes that were not dropped yet.
    pub(crate) fn rows(&self) -> impl Iterator<Item = &MemberState> {
        self.rows.values()
    }

    pub(crate) fn row(&self, node: &str) -> Option<&MemberState> {
        self.rows.get(node)
    }

    pub(crate) fn row_by_tag(&mut self, tag: ShortTag) -> Option<&mut MemberState> {
        let row = self.rows.get_mut(self.tags.get(&tag)?)?;
        (row.tag == tag).then_some(row)
    }

    /// Returns the node whose current start has a tag.
    pub fn get_by_tag(&self, tag: ShortTag) -> Option<&MemberInfo> {
        let row = self.rows.get(self.tags.get(&tag)?)?;
        (row.tag == tag).then_some(&row.info)
    }

    /// Returns the nodes of a region that were heard of lately, whatever their stage, with the age
    /// of their last heartbeat.
    pub fn recent_in(&self, region: &str, now: Instant) -> Vec<(&MemberInfo, Duration)> {
        let mut found = Vec::new();
        for row in self.rows.values() {
            let age = self.silence(row, now);
            if *row.info.region == *region && age <= REGISTERED_TIMEOUT {
                found.push((&row.info, age));
            }
        }
        found
    }

    /// Returns the node that sends from an address.
    pub fn at_address(&self, peer: SocketAddrV4) -> Option<&MemberInfo> {
        let row = self.rows.get(self.addresses.get(&peer)?)?;
        (row.info.peer == peer).then_some(&row.info)
    }

    /// Returns the addresses of nodes that recently asked for a reply.
    pub fn awaiting_reply(&self, now: Instant) -> impl Iterator<Item = SocketAddrV4> {
        self.rows
            .values()
            .filter(move |row| {
                row.reply_wanted
                    .is_some_and(|at| now.saturating_duration_since(at) <= LIVE_TIMEOUT)
            })
            .map(|row| row.info.peer)
    }

    /// Returns the address of one live node per region, the highest by rendezvous rank for `node`.
    ///
    /// The nodes of a region together choose different ones.
    pub fn one_per_region(&self, node: &NodeId, now: Instant) -> BTreeSet<SocketAddrV4> {
        let mut first: BTreeMap<&RegionId, (u64, SocketAddrV4)> = BTreeMap::new();
        for row in self.rows.values() {
            if !self.is_live(row, now) {
                continue;
            }
            let ranked = (rendezvous_rank(node, &row.info.node), row.info.peer);
            let known = first.entry(&row.info.region).or_insert(ranked);
            *known = ranked.max(*known);
        }
        first.into_values().map(|(_, peer)| peer).collect()
    }

    /// Returns the address of one live node of each region other than `region`.
    pub fn one_per_other_region(
        &self,
        region: &RegionId,
        node: &NodeId,
        now: Instant,
    ) -> BTreeSet<SocketAddrV4> {
        let mut found = self.one_per_region(node, now);
        found.retain(|peer| {
            self.at_address(*peer)
                .is_none_or(|info| info.region != *region)
        });
        found
    }

    /// Records a measured round-trip time.
    pub fn note_round_trip(&mut self, node: &str, round_trip: Duration, now: Instant) {
        let Some(row) = self.rows.get_mut(node) else {
            return;
        };
        match &mut row.round_trips {
            Some(round_trips) => round_trips.note(round_trip, now),
            None => row.round_trips = Some(RoundTrips::new(round_trip, now)),
        }
    }

    /// Returns the smoothed round-trip time to a node.
    pub fn round_trip(&self, node: &str) -> Duration {
        let round_trips = self.rows.get(node).and_then(|row| row.round_trips);
        round_trips.map_or(DEFAULT_ROUND_TRIP, |round_trips| round_trips.smoothed())
    }

    /// Returns how long bytes wait on this node's own link; `None` if too few nodes were heard.
    ///
    /// All round trips share that link, so it accounts for the least excess among them.
    pub fn link_wait(&self, now: Instant) -> Option<Duration> {
        let round_trips = self.rows.values().filter_map(|row| row.round_trips);
        let excesses: Vec<Duration> = round_trips
            .filter_map(|round_trips| round_trips.excess(now))
            .collect();
        let least = excesses.iter().min().copied();
        least.filter(|_| excesses.len() >= MIN_WAIT_WITNESSES)
    }

    /// Records that a node could not be reached; it is tried again after its next heartbeat.
    pub fn note_unreachable(&mut self, node: &str, now: Instant) {
        if let Some(row) = self.rows.get_mut(node) {
            row.unreachable_at = Some(now);
            row.last_heartbeat = row
                .last_heartbeat
                .min(now.checked_sub(LIVE_TIMEOUT).unwrap_or(now));
        }
    }

    /// Returns the live nodes of a region that accept callers.
    pub fn live_in(&self, region: &str, now: Instant) -> Vec<&MemberInfo> {
        self.at_stage(region, MemberStage::Ready, LIVE_TIMEOUT, now)
    }

    /// Returns the addresses of the first few live nodes of a region for a stream, by the hash of
    /// both. All nodes that know the same others choose the same ones.
    pub(crate) fn holders_of(
        &self,
        stream: ContentDigest,
        region: &str,
        count: usize,
        now: Instant,
    ) -> Vec<SocketAddrV4> {
        let mut ranked: Vec<(u64, SocketAddrV4)> = self
            .scored_nodes(stream, region, now)
            .map(|(score, row)| (score, row.info.peer))
            .collect();
        ranked.sort_unstable_by_key(|(score, _)| Reverse(*score));
        ranked.truncate(count);
        ranked.into_iter().map(|(_, peer)| peer).collect()
    }

    /// Returns the live nodes of a region that accept callers, with their rendezvous hash for a seed.
    pub(crate) fn scored_nodes(
        &self,
        seed: u64,
        region: &str,
        now: Instant,
    ) -> impl Iterator<Item = (u64, &MemberState)> {
        let live = move |row: &&MemberState| {
            *row.info.region == *region
                && row.info.stage == MemberStage::Ready
                && self.is_live(row, now)
        };
        let rows = self.rows.values().filter(live);
        rows.map(move |row| (rendezvous_score(seed, row.tag), row))
    }

    /// Returns the live nodes of a region whose stage is within a range, ends included.
    pub fn live_between(
        &self,
        region: &str,
        first: MemberStage,
        last: MemberStage,
        now: Instant,
    ) -> Vec<&MemberInfo> {
        let recent = self.recent_in(region, now).into_iter();
        recent
            .filter(|(info, age)| *age <= LIVE_TIMEOUT && (first..=last).contains(&info.stage))
            .map(|(info, _)| info)
            .collect()
    }

    /// Returns those live nodes of a region whose key freshness proof is younger than a bound.
    pub fn proven_in(&self, region: &str, bound: Duration, now: Instant) -> Vec<&MemberInfo> {
        let live = self.live_in(region, now);
        let is_fresh = |info: &&MemberInfo| {
            let last_heartbeat = self
                .rows
                .get(&info.node)
                .map_or(now, |row| row.last_heartbeat);
            let age = now.saturating_duration_since(last_heartbeat);
            info.proof
                .is_some_and(|proof| Duration::from_millis(u64::from(proof.age_ms)) + age <= bound)
        };
        live.into_iter().filter(is_fresh).collect()
    }

    /// Returns the newest version of the desired state that a live node uses; 0 if none is known.
    pub fn newest_version(&self, now: Instant) -> u64 {
        let live = self.rows.values();
        live.filter(|row| self.is_live(row, now))
            .map(|row| row.info.version)
            .max()
            .unwrap_or(0)
    }

    /// Returns the nodes of a region that were told to stop and still serve callers.
    pub fn leaving_in(&self, region: &str, now: Instant) -> Vec<&MemberInfo> {
        self.at_stage(region, MemberStage::Leaving, LIVE_TIMEOUT, now)
    }

    /// Returns the nodes of a region that only accept requests that end soon.
    pub fn plain_only_in(&self, region: &str, now: Instant) -> Vec<&MemberInfo> {
        self.at_stage(region, MemberStage::PlainOnly, LIVE_TIMEOUT, now)
    }

    /// Returns the nodes of a region at a stage whose last heartbeat is no older than a bound.
    fn at_stage(
        &self,
        region: &str,
        stage: MemberStage,
        bound: Duration,
        now: Instant,
    ) -> Vec<&MemberInfo> {
        self.rows
            .values()
            .filter(|row| *row.info.region == *region && row.info.stage == stage)
            .filter(|row| self.silence(row, now) <= bound)
            .map(|row| &row.info)
            .collect()
    }

    /// Returns the live nodes of all other regions at a stage, by region.
    pub fn live_elsewhere(
        &self,
        own: &str,
        stage: MemberStage,
        now: Instant,
    ) -> BTreeMap<RegionId, Vec<&MemberInfo>> {
        let mut regions: BTreeMap<RegionId, Vec<&MemberInfo>> = BTreeMap::new();
        for row in self.rows.values() {
            if *row.info.region == *own || row.info.stage != stage {
                continue;
            }
            if !self.is_live(row, now) {
                continue;
            }
            regions
                .entry(row.info.region.clone())
                .or_default()
                .push(&row.info);
        }
        regions
    }

    /// Returns a node that reads the store for a region and has read as far as `has_read` asks, or any
    /// such node if none has; `random` chooses among them.
    pub fn store_reader(
        &self,
        region: &str,
        has_read: impl Fn(Option<StoreProgress>) -> bool,
        random: u64,
        now: Instant,
    ) -> Option<&MemberInfo> {
        let mut readers = self.live_in(region, now);
        readers.retain(|info| info.store_digest.is_some());
        if readers.iter().any(|info| has_read(info.store_progress)) {
            readers.retain(|info| has_read(info.store_progress));
        }
        let count = readers.len() as u64;
        (count > 0).then(|| readers[(random % count) as usize])
    }

    /// Returns all nodes that were not dropped yet, live or not.
    pub fn known(&self) -> impl ExactSizeIterator<Item = &MemberInfo> {
        self.rows.values().map(|row| &row.info)
    }

    /// Returns a node that was not dropped yet.
    pub fn get(&self, node: &str) -> Option<&MemberInfo> {
        self.rows.get(node).map(|row| &row.info)
    }

    /// Returns the names of the nodes of a region that may still run, to split a bound between
    /// them; a node that is merely silent here may go on spending its share.
    pub fn names_in(&self, region: &str) -> BTreeSet<NodeId> {
        self.rows
            .values()
            .filter(|row| *row.info.region == *region)
            .map(|row| row.info.node.clone())
            .collect()
    }

    /// Returns the nodes of a region whose last heartbeat is within the longer bound for nodes with
    /// a store key.
    pub fn recently_live_in(&self, region: &str, now: Instant) -> Vec<&MemberInfo> {
        self.at_stage(region, MemberStage::Ready, REGISTERED_TIMEOUT, now)
    }

    /// Drops nodes that were silent for long, and returns their last state.
    pub fn tick(&mut self, now: Instant) -> Vec<MemberInfo> {
        let mut dropped = Vec::new();
        self.pauses.tick(now);
        let pauses = self.pauses;
        self.rows.retain(|_, row| {
            let keep = pauses.silence(row.last_heartbeat, now) <= DROP_AFTER;
            if !keep {
                dropped.push(row.info.clone());
            }
            keep
        });
        let rows = &self.rows;
        self.addresses.retain(|_, node| rows.contains_key(node));
        self.tags
            .retain(|tag, node| rows.get(node).is_some_and(|row| row.tag == *tag));
        self.unknown.tick(now);
        dropped
    }

    /// Chooses the node from which to catch up: one with a newer desired state or preset; if this
    /// node cannot reach the store, any that can; if it does not know the replicas of its region,
    /// any node of the region that does.
    ///
    /// Nodes of the own region are preferred, since a snapshot has tens of kilobytes. `random` is
    /// a random number, so that a change does not send all nodes to the same one.
    pub fn sync_source(&self, own: &SyncState, random: u64, now: Instant) -> Option<&MemberInfo> {
        let live = self
            .rows
            .values()
            .filter(|row| self.is_live(row, now))
            .map(|row| &row.info);
        let newer = |info: &MemberInfo| info.version > own.version || info.preset > own.preset;
        let lists_replicas =
            |info: &MemberInfo| info.region == *own.region && info.stage >= MemberStage::Ready;
        let candidates = live.filter(|info| {
            newer(info)
                || (!own.store_reachable && info.store_reachable)
                || (!own.knows_replicas && lists_replicas(info))
        });
        let (local, remote): (Vec<_>, Vec<_>) =
            candidates.partition(|info| info.region == *own.region);
        let choices = if local.is_empty() { remote } else { local };
        let count = choices.len() as u64;
        (count > 0).then(|| choices[(random % count) as usize])
    }
}

impl ServiceCapacity {
    /// Summarises the capacity of a region for a service.
    pub fn of(
        table: &crate::ReplicaTable,
        regions: &BTreeMap<DataCentreId, RegionId>,
        service: &ServiceId,
        region: &str,
        now: Instant,
    ) -> Self {
        crate::placement::service_capacity(table, regions, service, region, now)
    }
}

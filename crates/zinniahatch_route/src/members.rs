//! The other entry VMs: who lives, where, and what their region can take.

use crate::ToldProof;
use std::net::SocketAddrV4;
use zinniahatch_base::prelude::*;
use zinniahatch_base::rank_member;

/// Silence after which a node counts as not living. Cards come every 200 to 500 ms; three lost
/// ones in a row are rare even on a link that loses one packet in thirty.
const SILENCE: Duration = Duration::from_millis(1800);
/// Silence after which a node that still has a key in the store may be named to callers, where
/// nobody else is left.
const KEY_SILENCE: Duration = Duration::from_secs(4);
/// Round trip assumed until one was measured.
const PRIOR_TRIP: Duration = Duration::from_millis(120);
/// Weight of a new measurement of a round trip.
const TRIP_GAIN: f64 = 0.2;
/// Silence after which a node is forgotten.
const FORGET: Duration = Duration::from_secs(30);

domain! {
    /// What a region can take of one service.
    #[derive(Copy, Eq, Default)]
    pub struct ServiceDigest {
        /// Sound replicas.
        pub sound: u16,
        /// Expected wait at the best of them, in ms.
        pub wait_ms: u32,
        /// Pause between the events of a stream there, in us; 0 where none was seen.
        pub pause_us: u32,
        /// Requests in progress at one replica in the mean, in tenths.
        pub running: u16,
    }

    /// Digests of what a node read in the store.
    #[derive(Copy, Eq)]
    pub struct ReadDigest {
        /// Of the replicas of its region.
        pub replicas: u64,
        /// Of the desired state's version and the evacuations.
        pub rules: u64,
    }

    /// How far a node is between its start and its end.
    #[derive(Copy, Eq)]
    pub enum MemberStage {
        /// It does not know enough yet to serve.
        Starting,
        /// It takes callers.
        Ready,
        /// It was told to stop and serves whoever still comes.
        Leaving,
        /// It was told to stop and takes only requests that end soon, since nobody else of its region is
        /// ready.
        PlainOnly,
        /// It takes no more requests and ends those that it has.
        Closing,
    }

    /// What a node tells the others of itself.
    pub struct MemberCard {
        /// Its name.
        pub node: NodeId,
        /// Number of this start.
        pub incarnation: Incarnation,
        /// Its region.
        pub region: RegionId,
        /// Its data centre.
        pub data_centre: DataCentreId,
        /// Share of a processor core that it has, in hundredths.
        pub strength: u32,
        /// Where callers reach it.
        pub front: SocketAddrV4,
        /// Where other nodes reach it.
        pub peer: SocketAddrV4,
        /// How far it is.
        pub stage: MemberStage,
        /// The version of the desired state that it follows.
        pub version: u64,
        /// Number of the switch that put its preset in force.
        pub preset: Revision,
        /// Whether the store serves it.
        pub sighted: bool,
        /// What the store says, from the nodes that read it for all of their region.
        pub read: Option<ReadDigest>,
        /// How far it knows which keys were taken away; none where it has no proof.
        pub proof: Option<ToldProof>,
        /// What its region can take, by the tag of the service.
        pub services: BTreeMap<ShortTag, ServiceDigest>,
    }
}

/// What a node follows itself, to find another that is ahead.
#[derive(Clone, Copy, Debug)]
pub struct PupilState<'a> {
    /// Its region.
    pub region: &'a RegionId,
    /// The version of the desired state that it follows.
    pub version: u64,
    /// Number of the switch that put its preset in force.
    pub preset: Revision,
    /// Whether the store serves it.
    pub sighted: bool,
}

#[derive(Clone, Debug)]
struct MemberRow {
    card: MemberCard,
    heard: Instant,
    trip: Option<Duration>,
    /// When it last asked for an answer.
    asked: Option<Instant>,
}

/// The other nodes.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    rows: BTreeMap<NodeId, MemberRow>,
    addresses: BTreeMap<SocketAddrV4, NodeId>,
}

impl MemberTable {
    /// Takes a card that came straight from its node, and whether it asks for an answer; tells
    /// whether it is a new start, and which one it replaces.
    pub fn hear(
        &mut self,
        card: MemberCard,
        asks: bool,
        now: Instant,
    ) -> (bool, Option<Incarnation>) {
        let old = self.rows.get(&card.node);
        let fresh = old.is_none_or(|row| row.card.incarnation != card.incarnation);
        let replaced = old
            .map(|row| row.card.incarnation)
            .filter(|incarnation| *incarnation != card.incarnation);
        let trip = old.and_then(|row| row.trip);
        let asked = if asks {
            Some(now)
        } else {
            old.and_then(|row| row.asked)
        };
        self.addresses.insert(card.peer, card.node.clone());
        self.rows.insert(
            card.node.clone(),
            MemberRow {
                card,
                heard: now,
                trip,
                asked,
            },
        );
        (fresh, replaced)
    }

    /// Gives the node that speaks from an address.
    pub fn at_address(&self, peer: SocketAddrV4) -> Option<&MemberCard> {
        let row = self.rows.get(self.addresses.get(&peer)?)?;
        (row.card.peer == peer).then_some(&row.card)
    }

    /// Gives the addresses of the nodes that asked lately and wait for this one's card.
    pub fn askers(&self, now: Instant) -> impl Iterator<Item = SocketAddrV4> {
        self.rows
            .values()
            .filter(move |row| {
                row.asked
                    .is_some_and(|at| now.saturating_duration_since(at) <= SILENCE)
            })
            .map(|row| row.card.peer)
    }

    /// Gives the address of one living node of each region, of those the first by rank for a node. All nodes of a
    /// region together ask different ones.
    pub fn one_each(&self, node: &NodeId, now: Instant) -> BTreeSet<SocketAddrV4> {
        let mut first: BTreeMap<&RegionId, (u64, SocketAddrV4)> = BTreeMap::new();
        for row in self.rows.values() {
            if now.saturating_duration_since(row.heard) > SILENCE {
                continue;
            }
            let ranked = (rank_member(node, &row.card.node), row.card.peer);
            let known = first.entry(&row.card.region).or_insert(ranked);
            *known = ranked.max(*known);
        }
        first.into_values().map(|(_, peer)| peer).collect()
    }

    /// Gives the same for the regions other than one.
    pub fn one_each_but(
        &self,
        region: &RegionId,
        node: &NodeId,
        now: Instant,
    ) -> BTreeSet<SocketAddrV4> {
        let mut found = self.one_each(node, now);
        found.retain(|peer| {
            self.at_address(*peer)
                .is_none_or(|card| card.region != *region)
        });
        found
    }

    /// Notes a measured round trip.
    pub fn note_trip(&mut self, node: &str, trip: Duration) {
        let Some(row) = self.rows.get_mut(node) else {
            return;
        };
        row.trip = Some(match row.trip {
            Some(old) => old.mul_f64(1.0 - TRIP_GAIN) + trip.mul_f64(TRIP_GAIN),
            None => trip,
        });
    }

    /// Gives the round trip to a node.
    pub fn round_trip(&self, node: &str) -> Duration {
        self.rows
            .get(node)
            .and_then(|row| row.trip)
            .unwrap_or(PRIOR_TRIP)
    }

    /// Notes that a node could not be reached; it is tried again when it is heard of.
    pub fn note_unreachable(&mut self, node: &str, now: Instant) {
        if let Some(row) = self.rows.get_mut(node) {
            row.heard = row.heard.min(now.checked_sub(SILENCE).unwrap_or(now));
        }
    }

    /// Gives the living nodes of a region that take callers.
    pub fn live_in(&self, region: &str, now: Instant) -> Vec<&MemberCard> {
        self.heard_in(region, MemberStage::Ready, SILENCE, now)
    }

    /// Gives those of them that have a proof of their keys younger than a bound.
    pub fn proven_in(&self, region: &str, bound: Duration, now: Instant) -> Vec<&MemberCard> {
        let living = self.live_in(region, now);
        let proven = |card: &&MemberCard| {
            let heard = self.rows.get(&card.node).map_or(now, |row| row.heard);
            let since = now.saturating_duration_since(heard);
            card.proof
                .is_some_and(|told| Duration::from_millis(u64::from(told.age_ms)) + since <= bound)
        };
        living.into_iter().filter(proven).collect()
    }

    /// Gives the newest version of the desired state that a living node follows; 0 where none is known.
    pub fn newest_version(&self, now: Instant) -> u64 {
        let living = self.rows.values();
        living
            .filter(|row| now.saturating_duration_since(row.heard) <= SILENCE)
            .map(|row| row.card.version)
            .max()
            .unwrap_or(0)
    }

    /// Gives the nodes of a region that were told to stop and still serve whoever comes.
    pub fn leaving_in(&self, region: &str, now: Instant) -> Vec<&MemberCard> {
        self.heard_in(region, MemberStage::Leaving, SILENCE, now)
    }

    /// Gives the nodes of a region that still take requests that end soon.
    pub fn plain_only_in(&self, region: &str, now: Instant) -> Vec<&MemberCard> {
        self.heard_in(region, MemberStage::PlainOnly, SILENCE, now)
    }

    /// Gives the nodes of a region that were heard of at a stage not longer ago than a bound.
    fn heard_in(
        &self,
        region: &str,
        stage: MemberStage,
        bound: Duration,
        now: Instant,
    ) -> Vec<&MemberCard> {
        self.rows
            .values()
            .filter(|row| *row.card.region == *region && row.card.stage == stage)
            .filter(|row| now.saturating_duration_since(row.heard) <= bound)
            .map(|row| &row.card)
            .collect()
    }

    /// Gives the living nodes of all other regions that take callers, by region.
    pub fn live_elsewhere(&self, own: &str, now: Instant) -> BTreeMap<RegionId, Vec<&MemberCard>> {
        let mut regions: BTreeMap<RegionId, Vec<&MemberCard>> = BTreeMap::new();
        for row in self.rows.values() {
            if *row.card.region == *own || row.card.stage != MemberStage::Ready {
                continue;
            }
            if now.saturating_duration_since(row.heard) > SILENCE {
                continue;
            }
            regions
                .entry(row.card.region.clone())
                .or_default()
                .push(&row.card);
        }
        regions
    }

    /// Gives all nodes that were heard of lately, living or not, to be told of this node.
    pub fn known(&self) -> impl Iterator<Item = &MemberCard> {
        self.rows.values().map(|row| &row.card)
    }

    /// Gives a node that was heard of lately.
    pub fn card(&self, node: &str) -> Option<&MemberCard> {
        self.rows.get(node).map(|row| &row.card)
    }

    /// Gives the names of the nodes of a region that may still run, for splits of a bound: one
    /// that is merely silent here may go on spending its share.
    pub fn names_in(&self, region: &str) -> BTreeSet<NodeId> {
        self.rows
            .values()
            .filter(|row| *row.card.region == *region)
            .map(|row| row.card.node.clone())
            .collect()
    }

    /// Gives the nodes of a region that were heard of within the longer bound.
    pub fn perhaps_live_in(&self, region: &str, now: Instant) -> Vec<&MemberCard> {
        self.heard_in(region, MemberStage::Ready, KEY_SILENCE, now)
    }

    /// Forgets nodes that were silent for long, and gives their last cards.
    pub fn tick(&mut self, now: Instant) -> Vec<MemberCard> {
        let mut forgotten = Vec::new();
        self.rows.retain(|_, row| {
            let keep = now.saturating_duration_since(row.heard) <= FORGET;
            if !keep {
                forgotten.push(row.card.clone());
            }
            keep
        });
        self.addresses
            .retain(|_, node| self.rows.contains_key(node));
        forgotten
    }

    /// Chooses the node from which to take over news: one that follows a newer desired state or
    /// preset, or, for a node that the store does not serve, any that it serves.
    ///
    /// Those of the own region go first, since a snapshot has tens of kilobytes; `pick` is a random
    /// number, so that a change does not bring all nodes to one.
    pub fn teacher(&self, pupil: &PupilState, pick: u64, now: Instant) -> Option<&MemberCard> {
        let living = self
            .rows
            .values()
            .filter(|row| now.saturating_duration_since(row.heard) <= SILENCE)
            .map(|row| &row.card);
        let newer = |card: &MemberCard| card.version > pupil.version || card.preset > pupil.preset;
        let able = living.filter(|card| newer(card) || (!pupil.sighted && card.sighted));
        let (near, far): (Vec<_>, Vec<_>) = able.partition(|card| card.region == *pupil.region);
        let choices = if near.is_empty() { far } else { near };
        let count = choices.len() as u64;
        (count > 0).then(|| choices[(pick % count) as usize])
    }
}

impl ServiceDigest {
    /// Sums up what a region can take of a service.
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

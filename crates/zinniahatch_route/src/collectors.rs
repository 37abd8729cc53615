//! Which way a node's news of open work go to the other nodes of its region.
//!
//! Weighed, for 65 nodes of a region that place 1,100 requests/s: every node tells every other one (26,000
//! datagrams/s received at a pause of 20 ms, 2.5% of a core a node); a node that counts for a replica and is
//! asked on the way (a round trip on each request, and its loss stops placement); choices divided among
//! nodes (callers, not nodes, choose the node). Chosen: a node sends its news at once to one node that
//! gathers those of many for a few ms and tells all. Nodes need not agree on who gathers, since any node
//! does so for whoever asks, and a collector that does not pass on what it was told is left at once.

use crate::MemberCard;
use std::cmp::Reverse;
use std::net::SocketAddrV4;
use zinniahatch_base::prelude::*;
use zinniahatch_base::rendezvous_rank;

/// The duty by which collectors are ranked.
const COLLECTOR_DUTY: &str = "work";
/// Other nodes of a region up to which each tells all of them by itself.
const DIRECT_NODES: usize = 8;
/// Nodes for which one collector gathers; it sends to all nodes of the region some 60 times a second.
const NODES_EACH: usize = 64;
/// Time in which a collector has to pass on what it was told; twice what a slow one takes.
const ECHO_TIME: Duration = Duration::from_millis(150);
/// Time for which a collector that did not is left out. News go through another one meanwhile.
const AVOID_TIME: Duration = Duration::from_secs(3);
/// Time for which news are gathered, and what is added for each node of the region: the sends of a
/// collector grow with the nodes, and its rate falls with them. At 65 nodes it makes 15 ms, in which 16 of
/// 1,100 requests/s are placed.
const GATHER_TIME: Duration = Duration::from_millis(8);
const GATHER_EACH: Duration = Duration::from_micros(100);

/// The way of news of this node's work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkPath {
    /// To every node of the region.
    All,
    /// To the node that gathers.
    Collector(SocketAddrV4),
    /// This node gathers them itself.
    Own,
}

/// Gives the time for which news are gathered in a region of so many other nodes.
pub fn gather_time(others: usize) -> Duration {
    GATHER_TIME + GATHER_EACH * u32::try_from(others).unwrap_or(u32::MAX)
}

/// Who gathers this node's news, and whether they are passed on.
#[derive(Clone, Debug, Default)]
pub struct CollectorBook {
    /// Since when each collector that was told something has not been heard.
    waiting: BTreeMap<SocketAddrV4, Instant>,
    /// Until when collectors that passed nothing on are left out.
    avoided: BTreeMap<SocketAddrV4, Instant>,
}

impl CollectorBook {
    /// Chooses the way of news, among the living nodes of the region.
    ///
    /// The strongest nodes gather, since a collector sends some 4,000 datagrams a second at 65 nodes, a
    /// tenth of the processor of a weak one; among equals the rendezvous rank decides.
    pub fn choose(
        &self,
        own: &NodeId,
        strength: u32,
        living: &[&MemberCard],
        now: Instant,
    ) -> WorkPath {
        if living.len() <= DIRECT_NODES {
            return WorkPath::All;
        }
        let sound = living
            .iter()
            .filter(|card| {
                self.avoided
                    .get(&card.peer)
                    .is_none_or(|until| now >= *until)
            })
            .map(|card| (card.strength, &card.node, WorkPath::Collector(card.peer)));
        let mut ranked: Vec<_> = sound.chain([(strength, own, WorkPath::Own)]).collect();
        ranked.sort_by_key(|(strength, node, _)| {
            (
                Reverse(*strength),
                Reverse(rendezvous_rank(COLLECTOR_DUTY, node)),
            )
        });
        ranked.truncate(living.len().div_ceil(NODES_EACH));
        let own_rank = |node: &NodeId| rendezvous_rank(own, node);
        ranked
            .into_iter()
            .max_by_key(|(_, node, _)| own_rank(node))
            .map_or(WorkPath::All, |(_, _, path)| path)
    }

    /// Notes that a collector was told something.
    pub fn note_told(&mut self, collector: SocketAddrV4, now: Instant) {
        self.waiting.entry(collector).or_insert(now);
    }

    /// Notes that a collector passed news on.
    pub fn note_heard(&mut self, collector: SocketAddrV4) {
        self.waiting.remove(&collector);
    }

    /// Leaves out the collectors that do not pass on what they were told; tells whether there is one.
    ///
    /// A collector that died, froze or was cut off would keep this node's placements from all others until
    /// its silence shows in the cards, 1.8 s later, and they would send to the replicas that it has filled.
    pub fn review(&mut self, now: Instant) -> bool {
        self.avoided.retain(|_, until| now < *until);
        let avoided = self.avoided.len();
        let since = |at: Instant| now.saturating_duration_since(at);
        for (collector, at) in &self.waiting {
            if since(*at) > ECHO_TIME {
                self.avoided.insert(*collector, now + AVOID_TIME);
            }
        }
        self.waiting.retain(|_, at| since(*at) <= ECHO_TIME);
        self.avoided.len() > avoided
    }
}

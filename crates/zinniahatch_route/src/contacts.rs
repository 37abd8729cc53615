//! Whom a node tells that it lives: all of its own region, and a few of each other region.
//!
//! Weighed: telling every node (the square of the fleet: 71 nodes sent half of a calm day's bytes between
//! regions so, and 330 would pass 9 KB/s a node fifteen times over); one delegate a region who tells all
//! others (its death blinds a region, and a delegate on a small machine has to send for thirty). Here
//! each node asks three nodes of each other region, who answer; which three differs from node to node,
//! so that neither their cost nor the requests that are handed over gather on a few.

use std::cmp::Reverse;
use std::net::SocketAddrV4;
use zinniahatch_base::prelude::*;
use zinniahatch_base::rendezvous_rank;

/// Nodes of each other region that a node asks: two may die at once before it knows none there.
const FAR_CONTACTS: usize = 3;
/// Silence of a contact that was asked after which another is asked in its place; the same as for a
/// member that counts as not living.
const SILENCE: Duration = Duration::from_millis(1800);
/// Time for which a silent contact is passed over while there are others.
const AVOID_TIME: Duration = Duration::from_secs(10);
/// Silence after which an address is forgotten, where others of its region answer: it was replaced.
const FORGET: Duration = Duration::from_secs(60);

/// A contact of another region in the order of choice: whether it is passed over, whether it did not
/// answer when it was asked last, and its rank.
type FarContact = (bool, bool, Reverse<u64>, SocketAddrV4);

/// What is known of one address.
#[derive(Clone, Debug)]
struct ContactRow {
    /// Its region, unknown for an address from the settings until it answers.
    region: Option<RegionId>,
    /// Its rank for this node; the highest are asked.
    rank: u64,
    /// Since when it is asked without an answer.
    asked: Option<Instant>,
    /// Until when it is passed over.
    avoided: Option<Instant>,
    /// Since when it does not answer.
    silent: Option<Instant>,
    /// When it was heard of last.
    heard: Option<Instant>,
}

/// The addresses at which other nodes may listen.
#[derive(Clone, Debug)]
pub struct ContactBook {
    own: SocketAddrV4,
    region: RegionId,
    rows: BTreeMap<SocketAddrV4, ContactRow>,
}

impl ContactBook {
    /// Makes the book of a node.
    pub fn new(own: SocketAddrV4, region: &RegionId) -> Self {
        Self {
            own,
            region: region.clone(),
            rows: BTreeMap::new(),
        }
    }

    /// Notes an address, from the store, the settings or another node.
    pub fn note(&mut self, address: SocketAddrV4, region: Option<&RegionId>) {
        if address == self.own {
            return;
        }
        let own = self.own;
        let row = self.rows.entry(address).or_insert_with(|| ContactRow {
            region: None,
            rank: rendezvous_rank(&own.to_string(), &address.to_string()),
            asked: None,
            avoided: None,
            silent: None,
            heard: None,
        });
        if region.is_some() {
            row.region = region.cloned();
        }
    }

    /// Notes that a node was heard of at its address.
    pub fn note_heard(&mut self, address: SocketAddrV4, region: &RegionId, now: Instant) {
        self.note(address, Some(region));
        let Some(row) = self.rows.get_mut(&address) else {
            return;
        };
        row.heard = Some(now);
        row.asked = None;
        row.avoided = None;
        row.silent = None;
    }

    /// Gives the number of addresses.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Tells whether no address is known.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Runs once a round of cards: chooses whom to tell now, and notes that they are asked.
    pub fn round(&mut self, now: Instant) -> Vec<SocketAddrV4> {
        self.review(now);
        let mut chosen = Vec::new();
        let mut far: BTreeMap<&RegionId, Vec<FarContact>> = BTreeMap::new();
        for (address, row) in &self.rows {
            match &row.region {
                Some(region) if *region != self.region => {
                    let avoided = row.avoided.is_some_and(|until| now < until);
                    let ranked = far.entry(region).or_default();
                    ranked.push((avoided, row.silent.is_some(), Reverse(row.rank), *address));
                }
                _ => chosen.push(*address),
            }
        }
        for mut ranked in far.into_values() {
            ranked.sort_unstable();
            let first = ranked.into_iter().take(FAR_CONTACTS);
            chosen.extend(first.map(|(_, _, _, address)| address));
        }
        for address in &chosen {
            if let Some(row) = self.rows.get_mut(address) {
                row.asked.get_or_insert(now);
            }
        }
        chosen
    }

    /// Passes over contacts that do not answer, and forgets those whose region answers without them.
    fn review(&mut self, now: Instant) {
        let since = |at: Instant| now.saturating_duration_since(at);
        let answering: BTreeSet<RegionId> = self
            .rows
            .values()
            .filter(|row| row.heard.is_some_and(|at| since(at) <= SILENCE))
            .filter_map(|row| row.region.clone())
            .collect();
        self.rows.retain(|_, row| {
            if let Some(asked) = row.asked
                && since(asked) > SILENCE
            {
                row.silent.get_or_insert(asked);
                row.avoided = Some(now + AVOID_TIME);
                row.asked = None;
            }
            let replaced = row.silent.is_some_and(|at| since(at) > FORGET);
            let region = row.region.as_ref();
            !(replaced && region.is_some_and(|region| answering.contains(region)))
        });
    }
}

//! Selection of the nodes to which a node sends heartbeats: all of its own region or, in a large
//! region, its relays; and a few of each other region.
//!
//! Alternatives considered:
//!
//! - Heartbeats to every node: cost grows with the square of the fleet. With 71 nodes this made up
//!   half of the bytes sent between regions on a quiet day, and with 330 nodes it would exceed 9
//!   KB/s per node fifteen times over.
//! - One delegate per region that informs all others: the loss of the delegate hides a region, and
//!   a delegate on a small machine has to send for thirty nodes.
//!
//! Instead, each node polls three nodes of each other region, which reply. The three differ from
//! node to node, so that neither the cost nor the forwarded requests concentrate on a few nodes.

use std::cmp::Reverse;
use std::net::SocketAddrV4;
use zinniahatch_base::prelude::*;
use zinniahatch_base::rendezvous_rank;

/// Nodes polled in each other region; two may fail at once before the node knows none there.
const REMOTE_TARGETS: usize = 3;
/// Time without a reply after which a polled target is replaced by another; the same as the time
/// after which a member no longer counts as live.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1800);
/// Time for which an unresponsive target is skipped while there are others.
const SKIP_TIME: Duration = Duration::from_secs(10);
/// Time without a reply after which an address is dropped, if others of its region reply: its node
/// was replaced.
const DROP_AFTER: Duration = Duration::from_secs(60);

/// Sort key of a target in another region: whether it is currently skipped, whether it left the
/// last poll unanswered, its reversed rank, and its address.
type RemoteTarget = (bool, bool, Reverse<u64>, SocketAddrV4);

/// State of one address.
#[derive(Clone, Debug)]
struct TargetState {
    /// Its region, unknown for a configured address until it replies.
    region: Option<RegionId>,
    /// Its rendezvous rank for this node; the highest ranks are polled.
    rank: u64,
    /// When the oldest unanswered poll was sent.
    polled: Option<Instant>,
    /// Until when it is skipped.
    skipped_until: Option<Instant>,
    /// Since when it has not replied.
    silent: Option<Instant>,
    /// When its last heartbeat arrived.
    received: Option<Instant>,
}

/// The addresses at which other nodes may listen.
#[derive(Clone, Debug)]
pub struct HeartbeatTargets {
    own: SocketAddrV4,
    region: RegionId,
    rows: BTreeMap<SocketAddrV4, TargetState>,
}

impl HeartbeatTargets {
    /// Creates an empty set of targets for the node at address `own`.
    pub fn new(own: SocketAddrV4, region: &RegionId) -> Self {
        Self {
            own,
            region: region.clone(),
            rows: BTreeMap::new(),
        }
    }

    /// Adds an address that came from the store, the settings or another node.
    pub fn add(&mut self, address: SocketAddrV4, region: Option<&RegionId>) {
        if address == self.own {
            return;
        }
        let own = self.own;
        let row = self.rows.entry(address).or_insert_with(|| TargetState {
            region: None,
            rank: rendezvous_rank(&own.to_string(), &address.to_string()),
            polled: None,
            skipped_until: None,
            silent: None,
            received: None,
        });
        if region.is_some() {
            row.region = region.cloned();
        }
    }

    /// Records a heartbeat from the node at an address.
    pub fn note_received(&mut self, address: SocketAddrV4, region: &RegionId, now: Instant) {
        self.add(address, Some(region));
        let Some(row) = self.rows.get_mut(&address) else {
            return;
        };
        row.received = Some(now);
        row.polled = None;
        row.skipped_until = None;
        row.silent = None;
    }

    /// Returns the number of known addresses.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no address is known.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the targets of the next heartbeat and marks them as polled; called once per
    /// heartbeat interval.
    pub fn next_targets(&mut self, now: Instant) -> Vec<SocketAddrV4> {
        self.select(None, now)
    }

    /// Returns the same, with `relays` in place of all nodes of the own region, and one other
    /// address of the region that no heartbeat came from: nodes that were cut off for long find
    /// each other again by it. `random` chooses it.
    pub fn next_targets_by_relays(
        &mut self,
        relays: &BTreeSet<SocketAddrV4>,
        is_live: impl Fn(SocketAddrV4) -> bool,
        random: u64,
        now: Instant,
    ) -> Vec<SocketAddrV4> {
        let mut local = relays.clone();
        let silent: Vec<SocketAddrV4> = self
            .rows
            .iter()
            .filter(|(address, row)| {
                row.region.as_ref() == Some(&self.region) && !is_live(**address)
            })
            .map(|(address, _)| *address)
            .collect();
        if !silent.is_empty() {
            local.insert(silent[(random % silent.len() as u64) as usize]);
        }
        self.select(Some(&local), now)
    }

    /// Selects the targets; `local` holds those of the own region, `None` stands for all.
    fn select(
        &mut self,
        local: Option<&BTreeSet<SocketAddrV4>>,
        now: Instant,
    ) -> Vec<SocketAddrV4> {
        self.update_silent(now);
        let mut chosen = Vec::new();
        let mut remote: BTreeMap<&RegionId, Vec<RemoteTarget>> = BTreeMap::new();
        for (address, row) in &self.rows {
            match &row.region {
                Some(region) if *region != self.region => {
                    let skipped = row.skipped_until.is_some_and(|until| now < until);
                    let ranked = remote.entry(region).or_default();
                    ranked.push((skipped, row.silent.is_some(), Reverse(row.rank), *address));
                }
                Some(_) if local.is_some_and(|local| !local.contains(address)) => {}
                _ => chosen.push(*address),
            }
        }
        for mut ranked in remote.into_values() {
            ranked.sort_unstable();
            let first = ranked.into_iter().take(REMOTE_TARGETS);
            chosen.extend(first.map(|(_, _, _, address)| address));
        }
        for address in &chosen {
            if let Some(row) = self.rows.get_mut(address) {
                row.polled.get_or_insert(now);
            }
        }
        chosen
    }

    /// Marks targets that do not reply as skipped, and drops those whose region replies without
    /// them.
    fn update_silent(&mut self, now: Instant) {
        let since = |at: Instant| now.saturating_duration_since(at);
        let replying: BTreeSet<RegionId> = self
            .rows
            .values()
            .filter(|row| row.received.is_some_and(|at| since(at) <= REPLY_TIMEOUT))
            .filter_map(|row| row.region.clone())
            .collect();
        self.rows.retain(|_, row| {
            if let Some(polled) = row.polled
                && since(polled) > REPLY_TIMEOUT
            {
                row.silent.get_or_insert(polled);
                row.skipped_until = Some(now + SKIP_TIME);
                row.polled = None;
            }
            let replaced = row.silent.is_some_and(|at| since(at) > DROP_AFTER);
            let region = row.region.as_ref();
            !(replaced && region.is_some_and(|region| replying.contains(region)))
        });
    }
}

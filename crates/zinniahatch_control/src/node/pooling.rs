//! Keeping pools, and holding slots of those that others keep.

use super::ControlNode;
use super::NodeFrame;
use super::NodeIdentity;
use super::NodeMessage;
use super::RankedKeepers;
use crate::BackendTable;
use crate::KeeperView;
use crate::PoolKeeper;
use crate::limits::KEEPER_MARGIN;
use crate::limits::LEASE_TIME;
use crate::limits::PAUSE_GAP;
use crate::members::owner_of;
use zinniahatch_base::prelude::*;
use zinniahatch_config::ClusterConfig;

/// What the keeper sees in one tick, however often the pools are run.
struct PoolRound {
    now: Instant,
    stamp: u64,
    known: BTreeMap<NodeId, Instant>,
    kept: BTreeSet<ServiceId>,
}

impl PoolRound {
    fn view<'a>(
        &'a self,
        identity: &'a NodeIdentity,
        config: &'a ClusterConfig,
        backends: &'a BackendTable,
    ) -> KeeperView<'a> {
        KeeperView {
            now: self.now,
            stamp: self.stamp,
            data_centre: &identity.data_centre,
            config,
            backends,
            known: &self.known,
            kept: &self.kept,
        }
    }
}

impl ControlNode {
    /// Gives the keeper of each pool; computed anew only when members or services changed.
    pub(super) fn keepers(&mut self, now: Instant) -> BTreeMap<ServiceId, NodeId> {
        let owners = self.members.owners(now, self.leaving || !self.ready);
        let revision = self.ledger.revision();
        if self.ranked.owners == owners && self.ranked.revision == revision {
            return self.ranked.keepers.clone();
        }
        let mut keepers = BTreeMap::new();
        for service in self.ledger.config().services.keys() {
            if let Some(owner) = owner_of(service, &owners) {
                keepers.insert(service.clone(), owner.clone());
            }
        }
        self.ranked = RankedKeepers {
            owners,
            revision,
            keepers: keepers.clone(),
        };
        keepers
    }

    /// Reports to keepers, this node's own pools included, and sends the grants of kept pools.
    pub(super) fn run_pools(&mut self, now: Instant, keepers: &BTreeMap<ServiceId, NodeId>) {
        if !self.contacts_done(now) || self.ledger.revision() == 0 {
            return;
        }
        let kept: BTreeSet<ServiceId> = keepers
            .iter()
            .filter(|(_, keeper)| **keeper == self.identity.node)
            .map(|(service, _)| service.clone())
            .collect();
        let mut known = BTreeMap::from([(self.identity.node.clone(), now)]);
        for (name, entry) in self.members.entries() {
            known.insert(name.clone(), entry.last_heard);
        }
        // A fresh keeper may not have heard a member that is silent just now; others told its name.
        self.told_members
            .retain(|_, at| now.duration_since(*at) <= LEASE_TIME + KEEPER_MARGIN);
        for (name, at) in &self.told_members {
            known.entry(name.clone()).or_insert(*at);
        }
        let stamp = self.identity.epoch + now.duration_since(self.started).as_millis() as u64;
        let round = PoolRound {
            now,
            stamp,
            known,
            kept,
        };
        let config = self.config();
        // Two passes: the first opens a new pool, reports reach it, the second grants.
        for _ in 0..2 {
            let view = round.view(&self.identity, &config, &self.backends);
            let grants = self.keeper.step(&view);
            for (name, grant) in grants {
                self.deliver(now, &name, NodeMessage::Grant(grant));
            }
            for (keeper, report) in self.holder.reports(now) {
                self.deliver(now, &keeper, NodeMessage::Report(report));
            }
        }
        let view = round.view(&self.identity, &config, &self.backends);
        for status in self.keeper.statuses(&view) {
            self.pools.insert(status.service.clone(), status);
        }
    }

    /// Sends to a member of the data centre, or hands over directly where it is this node.
    pub(super) fn deliver(&mut self, now: Instant, node: &NodeId, message: NodeMessage) {
        if *node != self.identity.node {
            if let Some(entry) = self.members.entries().get(node) {
                let peer = entry.peer.clone();
                self.send(&peer, message);
            }
            return;
        }
        let about = NodeFrame {
            sender: self.identity.node.clone(),
            incarnation: self.identity.incarnation,
            data_centre: self.identity.data_centre.clone(),
            peer: self.identity.peer.clone(),
            revision: self.ledger.revision(),
            messages: Vec::new(),
        };
        self.take_message(now, &about, true, message);
    }

    /// Gives until when slots of a keeper may be used: a lease's time after the sending of the
    /// newest heartbeat that the keeper echoed. This node's own word holds while it ticks.
    pub(super) fn lease_until(&self, now: Instant, keeper: &str) -> Option<Instant> {
        if keeper == &*self.identity.node {
            return Some(now + PAUSE_GAP);
        }
        self.members.acked_at(keeper).map(|at| at + LEASE_TIME)
    }

    /// Notices that the process was paused.
    ///
    /// A paused node that wakes has heard nobody for long, and would judge all others failed,
    /// take every pool over and use slots that were given to others. It therefore drops what it
    /// held and kept, and gives the others the time of a suspicion to be heard again.
    pub(super) fn note_pause(&mut self, now: Instant) {
        let paused = self
            .last_tick
            .is_some_and(|at| now.duration_since(at) > PAUSE_GAP);
        self.last_tick = Some(now);
        self.first_tick.get_or_insert(now);
        if !paused {
            return;
        }
        self.output
            .changes
            .push("this process was paused; its leases are dropped".to_owned());
        self.members.excuse_silence(now);
        self.holder.drop_all();
        self.keeper = PoolKeeper::default();
        self.next_beat = now;
    }
}

//! Coordinating pools, and exchanging reports and grants with other coordinators.

use super::ControlNode;
use super::CoordinatorCache;
use super::NodeFrame;
use super::NodeIdentity;
use super::NodeMessage;
use crate::BackendTable;
use crate::CoordinatorView;
use crate::PoolCoordinator;
use crate::limits::LEASE_MARGIN;
use crate::limits::LEASE_TTL;
use crate::limits::PAUSE_THRESHOLD;
use crate::members::rendezvous_owner;
use zinniahatch_base::prelude::*;
use zinniahatch_config::ClusterConfig;

/// Inputs of the coordinator that stay the same during a tick.
struct CoordinatorInputs {
    now: Instant,
    stamp: u64,
    known: BTreeMap<NodeId, Instant>,
    coordinated: BTreeSet<ServiceId>,
}

impl CoordinatorInputs {
    fn view<'a>(
        &'a self,
        identity: &'a NodeIdentity,
        config: &'a ClusterConfig,
        backends: &'a BackendTable,
    ) -> CoordinatorView<'a> {
        CoordinatorView {
            now: self.now,
            stamp: self.stamp,
            data_centre: &identity.data_centre,
            config,
            backends,
            known: &self.known,
            coordinated: &self.coordinated,
        }
    }
}

impl ControlNode {
    /// Returns the coordinator of each pool; recomputed only if members or configuration changed.
    pub(super) fn coordinators(&mut self, now: Instant) -> BTreeMap<ServiceId, NodeId> {
        let eligible = self
            .members
            .eligible_members(now, self.leaving || !self.ready);
        let revision = self.syncer.revision();
        if self.coordinator_cache.eligible == eligible
            && self.coordinator_cache.revision == revision
        {
            return self.coordinator_cache.coordinators.clone();
        }
        let mut coordinators = BTreeMap::new();
        for service in self.syncer.config().services.keys() {
            if let Some(owner) = rendezvous_owner(service, &eligible) {
                coordinators.insert(service.clone(), owner.clone());
            }
        }
        self.coordinator_cache = CoordinatorCache {
            eligible,
            revision,
            coordinators: coordinators.clone(),
        };
        coordinators
    }

    /// Reports to the coordinators, including this node, and sends grants for coordinated pools.
    pub(super) fn run_pools(&mut self, now: Instant, coordinators: &BTreeMap<ServiceId, NodeId>) {
        if !self.discovery_done(now) || self.syncer.revision() == 0 {
            return;
        }
        let coordinated: BTreeSet<ServiceId> = coordinators
            .iter()
            .filter(|(_, coordinator)| **coordinator == self.identity.node)
            .map(|(service, _)| service.clone())
            .collect();
        let mut known = BTreeMap::from([(self.identity.node.clone(), now)]);
        for (name, entry) in self.members.entries() {
            known.insert(name.clone(), entry.last_heard);
        }
        // A new coordinator may know a silent member only from the member lists of others.
        self.reported_members
            .retain(|_, at| now.duration_since(*at) <= LEASE_TTL + LEASE_MARGIN);
        for (name, at) in &self.reported_members {
            known.entry(name.clone()).or_insert(*at);
        }
        let stamp = self.identity.epoch + now.duration_since(self.started).as_millis() as u64;
        let inputs = CoordinatorInputs {
            now,
            stamp,
            known,
            coordinated,
        };
        let config = self.config();
        // Two passes: the first creates new pools and delivers reports, the second sends grants.
        for _ in 0..2 {
            let view = inputs.view(&self.identity, &config, &self.backends);
            let grants = self.coordinator.step(&view);
            for (name, grant) in grants {
                self.deliver(now, &name, NodeMessage::Grant(grant));
            }
            for (coordinator, report) in self.leases.reports(now) {
                self.deliver(now, &coordinator, NodeMessage::Report(report));
            }
        }
        let view = inputs.view(&self.identity, &config, &self.backends);
        for status in self.coordinator.statuses(&view) {
            self.pools.insert(status.service.clone(), status);
        }
    }

    /// Sends a message to a member, or processes it directly if the member is this node.
    pub(super) fn deliver(&mut self, now: Instant, node: &NodeId, message: NodeMessage) {
        if *node != self.identity.node {
            if let Some(entry) = self.members.entries().get(node) {
                let peer = entry.peer.clone();
                self.send(&peer, message);
            }
            return;
        }
        let header = NodeFrame {
            sender: self.identity.node.clone(),
            incarnation: self.identity.incarnation,
            data_centre: self.identity.data_centre.clone(),
            peer: self.identity.peer.clone(),
            revision: self.syncer.revision(),
            messages: Vec::new(),
        };
        self.on_message(now, &header, true, message);
    }

    /// Returns when the lease on a coordinator's slots expires.
    ///
    /// It lasts for [`LEASE_TTL`] from the sending of the newest heartbeat that the coordinator
    /// echoed. The lease on pools that this node coordinates itself is renewed by every tick.
    pub(super) fn lease_expiry(&self, now: Instant, coordinator: &str) -> Option<Instant> {
        if coordinator == &*self.identity.node {
            return Some(now + PAUSE_THRESHOLD);
        }
        self.members.acked_at(coordinator).map(|at| at + LEASE_TTL)
    }

    /// Detects that the process was paused and resets its state.
    ///
    /// After a pause the node has received no heartbeats for a long time. It would consider all
    /// other members failed, take over every pool and use slots that were leased to others. So it
    /// drops its leases and its coordinator state, and waits for a suspicion timeout before it
    /// suspects other members.
    pub(super) fn detect_pause(&mut self, now: Instant) {
        let paused = self
            .last_tick
            .is_some_and(|at| now.duration_since(at) > PAUSE_THRESHOLD);
        self.last_tick = Some(now);
        self.first_tick.get_or_insert(now);
        if !paused {
            return;
        }
        self.output
            .changes
            .push("this process was paused; dropped its leases".to_owned());
        self.members.reset_silence(now);
        self.leases.drop_all_limits();
        self.coordinator = PoolCoordinator::default();
        self.next_heartbeat_at = now;
    }
}

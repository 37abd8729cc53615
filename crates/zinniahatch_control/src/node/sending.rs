//! Messages that a tick sends: heartbeats to members and contacts, and summaries.

use super::CONTACT_INTERVAL;
use super::ControlNode;
use super::DataCentreSummary;
use super::EntryAddress;
use super::HEARTBEAT_INTERVAL;
use super::Heartbeat;
use super::NodeFrame;
use super::NodeMessage;
use super::OutboundFrame;
use super::PoolStatus;
use super::REFRESH_INTERVAL;
use super::SUMMARY_INTERVAL;
use super::SUMMARY_INTERVAL_PER_LINK;
use super::TickOutput;
use super::rendezvous_owner;
use zinniahatch_base::prelude::*;
use zinniahatch_base::rendezvous_rank;

/// Maximum contacts that get a heartbeat in one tick; a long seed list is spread over ticks.
const MAX_CONTACTS_PER_TICK: usize = 8;
/// Entry VMs listed in a summary; more would cost a third of a node's bytes at the design
/// size of 330 nodes.
const MAX_SUMMARY_ENTRIES: usize = 4;

impl ControlNode {
    pub(super) fn send_updates(&mut self, now: Instant) {
        if now >= self.next_heartbeat_at {
            self.next_heartbeat_at = now + HEARTBEAT_INTERVAL;
            self.send_heartbeats(now);
        }
        self.contact_seeds(now);
        if now >= self.next_summary {
            let links = self.remotes.data_centres().len() as u32;
            self.next_summary = now + SUMMARY_INTERVAL.max(SUMMARY_INTERVAL_PER_LINK * links);
            self.send_summaries(now);
        }
    }

    /// Packs the queued messages into one frame per address and returns the tick's output.
    pub(super) fn build_output(&mut self) -> TickOutput {
        let mut output = std::mem::take(&mut self.output);
        for (to, messages) in std::mem::take(&mut self.outbox) {
            let frame = NodeFrame {
                sender: self.identity.node.clone(),
                incarnation: self.identity.incarnation,
                data_centre: self.identity.data_centre.clone(),
                peer: self.identity.peer.clone(),
                revision: self.syncer.revision(),
                messages,
            };
            output.frames.push(OutboundFrame { to, frame });
        }
        output
    }

    fn send_heartbeats(&mut self, now: Instant) {
        let pools = self.unannounced_pools(now);
        let suspects = self.members.suspects(now);
        let summaries = self.remotes.take_unannounced();
        let names: Vec<(NodeId, Box<str>)> = self
            .members
            .entries()
            .iter()
            .map(|(name, entry)| (name.clone(), entry.peer.clone()))
            .collect();
        for (name, peer) in names {
            let (number, echo) = self.members.next_heartbeat(now, &name);
            let heartbeat =
                self.build_heartbeat(now, number, echo, suspects.clone(), pools.clone());
            self.send(&peer, NodeMessage::Heartbeat(heartbeat));
            for summary in &summaries {
                self.send(&peer, NodeMessage::Summary(summary.clone()));
            }
        }
    }

    fn build_heartbeat(
        &self,
        now: Instant,
        number: u64,
        echo: (Incarnation, u64),
        suspects: Vec<NodeId>,
        pools: Vec<PoolStatus>,
    ) -> Heartbeat {
        let leaving_backends = self.backends.leaving(now);
        Heartbeat {
            number,
            echo,
            http: self.identity.http.clone(),
            leaving: self.leaving,
            ready: self.ready,
            suspects,
            refuted: self.members.refuted(now),
            leaving_backends,
            pools,
            successor_of: self.successor_of.clone(),
        }
    }

    /// Returns the statuses of coordinated pools that changed or are due for a refresh.
    fn unannounced_pools(&mut self, now: Instant) -> Vec<PoolStatus> {
        let mut unannounced = Vec::new();
        for (service, status) in &self.pools {
            if self.coordinator_cache.coordinators.get(service) != Some(&self.identity.node) {
                continue;
            }
            let due = self
                .announced_pools
                .get(service)
                .is_none_or(|(announced, at)| {
                    changed_significantly(announced, status)
                        || now.duration_since(*at) >= REFRESH_INTERVAL
                });
            if due {
                unannounced.push(status.clone());
            }
        }
        for status in &unannounced {
            self.announced_pools
                .insert(status.service.clone(), (status.clone(), now));
        }
        unannounced
    }

    fn contact_seeds(&mut self, now: Instant) {
        let due: Vec<Box<str>> = self
            .contacts
            .iter()
            .filter(|(_, at)| at.is_none_or(|at| now.duration_since(at) >= CONTACT_INTERVAL))
            .map(|(peer, _)| peer.clone())
            .take(MAX_CONTACTS_PER_TICK)
            .collect();
        for peer in due {
            self.contacts.insert(peer.clone(), Some(now));
            let heartbeat = self.build_heartbeat(now, 0, (0, 0), Vec::new(), Vec::new());
            self.send(&peer, NodeMessage::Heartbeat(heartbeat));
        }
    }

    /// Returns a sample of entry VMs for other data centres, which changes every second.
    fn advertised_entries(&self, now: Instant, stamp: u64) -> Vec<EntryAddress> {
        let turn = (stamp / 1_000).to_string();
        let mut entries = self.entries(now);
        entries.sort_by_key(|entry| rendezvous_rank(&turn, &entry.node));
        entries.truncate(MAX_SUMMARY_ENTRIES);
        entries
    }

    /// Sends this data centre's summary over the links for which this node is responsible.
    ///
    /// Each link has its own sender by rendezvous rank, so that the 23 links of a data centre (to
    /// the others of 24 at the design size) are spread over its nodes.
    fn send_summaries(&mut self, now: Instant) {
        let eligible = self
            .members
            .eligible_members(now, self.leaving || !self.ready);
        let with_entries = now >= self.next_entries;
        if with_entries {
            self.next_entries = now + REFRESH_INTERVAL;
        }
        let stamp = self.identity.epoch + now.duration_since(self.started).as_millis() as u64;
        let mut targets = Vec::new();
        for (name, centre) in self.remotes.data_centres() {
            let link = format!("link/{name}");
            if rendezvous_owner(&link, &eligible) != Some(&self.identity.node) {
                continue;
            }
            // The receiver changes every second, so that a failed entry VM cannot block the link,
            // and differs between data centres, so that they do not all send to the same one.
            let turn = format!("{}/{}", self.identity.data_centre, stamp / 1_000);
            if let Some(entry) = centre
                .entries
                .iter()
                .max_by_key(|entry| rendezvous_rank(&turn, &entry.node))
            {
                targets.push(entry.peer.clone());
            }
        }
        for peer in targets {
            let pools = self.pools.values().map(without_unusable).collect();
            let entries = with_entries.then(|| self.advertised_entries(now, stamp));
            let summary = DataCentreSummary {
                data_centre: self.identity.data_centre.clone(),
                stamp,
                pools,
                entries,
            };
            self.send(&peer, NodeMessage::Summary(summary));
        }
    }
}

fn without_unusable(status: &PoolStatus) -> PoolStatus {
    PoolStatus {
        unusable: Vec::new(),
        ..status.clone()
    }
}

/// Returns whether a pool's status differs enough to be sent with the next heartbeat.
fn changed_significantly(announced: &PoolStatus, status: &PoolStatus) -> bool {
    let step = (status.capacity / 16).max(1);
    announced.capacity != status.capacity
        || announced.unusable != status.unusable
        || announced.free.abs_diff(status.free) >= step
        || announced.waiting.abs_diff(status.waiting) >= step
}

//! What a tick tells other nodes: heartbeats, contacts, summaries.

use super::CONTACT_EVERY;
use super::CentreSummary;
use super::ControlNode;
use super::EntryAddress;
use super::FrameParcel;
use super::HEARTBEAT_EVERY;
use super::HeartbeatNote;
use super::NodeFrame;
use super::NodeMessage;
use super::PoolStatus;
use super::RETELL_EVERY;
use super::SUMMARY_EVERY;
use super::SUMMARY_LINK;
use super::TickOutput;
use super::owner_of;
use zinniahatch_base::prelude::*;
use zinniahatch_base::rendezvous_rank;

/// Contacts to which a heartbeat goes in one tick; a long seed list is spread over ticks.
const CONTACTS_AT_ONCE: usize = 8;
/// Entry VMs that a summary names; more would cost a third of a node's bytes at design size.
const TOLD_ENTRIES: usize = 4;

impl ControlNode {
    pub(super) fn tell(&mut self, now: Instant) {
        if now >= self.next_beat {
            self.next_beat = now + HEARTBEAT_EVERY;
            self.beat(now);
        }
        self.contact(now);
        if now >= self.next_summary {
            let links = self.remotes.centres().len() as u32;
            self.next_summary = now + SUMMARY_EVERY.max(SUMMARY_LINK * links);
            self.summarise(now);
        }
    }

    /// Makes one frame of all messages for each address.
    pub(super) fn pack(&mut self) -> TickOutput {
        let mut output = std::mem::take(&mut self.output);
        for (to, messages) in std::mem::take(&mut self.outbox) {
            let frame = NodeFrame {
                sender: self.identity.node.clone(),
                incarnation: self.identity.incarnation,
                data_centre: self.identity.data_centre.clone(),
                peer: self.identity.peer.clone(),
                revision: self.ledger.revision(),
                messages,
            };
            output.parcels.push(FrameParcel { to, frame });
        }
        output
    }

    fn beat(&mut self, now: Instant) {
        let pools = self.untold_pools(now);
        let suspects = self.members.suspects(now);
        let summaries = self.remotes.take_untold();
        let names: Vec<(NodeId, Box<str>)> = self
            .members
            .entries()
            .iter()
            .map(|(name, entry)| (name.clone(), entry.peer.clone()))
            .collect();
        for (name, peer) in names {
            let (number, echo) = self.members.next_heartbeat(now, &name);
            let note = self.note(now, number, echo, suspects.clone(), pools.clone());
            self.send(&peer, NodeMessage::Heartbeat(note));
            for summary in &summaries {
                self.send(&peer, NodeMessage::Summary(summary.clone()));
            }
        }
    }

    fn note(
        &self,
        now: Instant,
        number: u64,
        echo: (Incarnation, u64),
        suspects: Vec<NodeId>,
        pools: Vec<PoolStatus>,
    ) -> HeartbeatNote {
        let leaving_backends = self.backends.leaving(now);
        HeartbeatNote {
            number,
            echo,
            http: self.identity.http.clone(),
            leaving: self.leaving,
            ready: self.ready,
            suspects,
            vouches: self.members.vouches(now),
            leaving_backends,
            pools,
            heir_of: self.heir_of.clone(),
        }
    }

    /// Gives the states of kept pools that changed, or were not told for a while.
    fn untold_pools(&mut self, now: Instant) -> Vec<PoolStatus> {
        let mut untold = Vec::new();
        for (service, status) in &self.pools {
            if self.ranked.keepers.get(service) != Some(&self.identity.node) {
                continue;
            }
            let fresh = self.told.get(service).is_none_or(|(told, at)| {
                is_news(told, status) || now.duration_since(*at) >= RETELL_EVERY
            });
            if fresh {
                untold.push(status.clone());
            }
        }
        for status in &untold {
            self.told
                .insert(status.service.clone(), (status.clone(), now));
        }
        untold
    }

    fn contact(&mut self, now: Instant) {
        let due: Vec<Box<str>> = self
            .contacts
            .iter()
            .filter(|(_, at)| at.is_none_or(|at| now.duration_since(at) >= CONTACT_EVERY))
            .map(|(peer, _)| peer.clone())
            .take(CONTACTS_AT_ONCE)
            .collect();
        for peer in due {
            self.contacts.insert(peer.clone(), Some(now));
            let note = self.note(now, 0, (0, 0), Vec::new(), Vec::new());
            self.send(&peer, NodeMessage::Heartbeat(note));
        }
    }

    /// Gives the entry VMs that other data centres are told of, others each time.
    fn told_entries(&self, now: Instant, stamp: u64) -> Vec<EntryAddress> {
        let turn = (stamp / 1_000).to_string();
        let mut entries = self.entries(now);
        entries.sort_by_key(|entry| rendezvous_rank(&turn, &entry.node));
        entries.truncate(TOLD_ENTRIES);
        entries
    }

    /// Sends this data centre's summary over the links for which this node is the delegate.
    ///
    /// Each link has its own delegate, so that the 23 links of a data centre at design size are
    /// spread over its nodes.
    fn summarise(&mut self, now: Instant) {
        let owners = self.members.owners(now, self.leaving || !self.ready);
        let with_entries = now >= self.next_entries;
        if with_entries {
            self.next_entries = now + RETELL_EVERY;
        }
        let stamp = self.identity.epoch + now.duration_since(self.started).as_millis() as u64;
        let mut targets = Vec::new();
        for (name, centre) in self.remotes.centres() {
            let link = format!("link/{name}");
            if owner_of(&link, &owners) != Some(&self.identity.node) {
                continue;
            }
            // Another receiver each time, so that one dead entry cannot silence the link.
            // Nor all data centres the same one at the same time.
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
            let pools = self.pools.values().map(without_list).collect();
            let entries = with_entries.then(|| self.told_entries(now, stamp));
            let summary = CentreSummary {
                data_centre: self.identity.data_centre.clone(),
                stamp,
                pools,
                entries,
            };
            self.send(&peer, NodeMessage::Summary(summary));
        }
    }
}

fn without_list(status: &PoolStatus) -> PoolStatus {
    PoolStatus {
        unusable: Vec::new(),
        ..status.clone()
    }
}

/// Says whether a pool's state differs enough to be told at once.
fn is_news(told: &PoolStatus, status: &PoolStatus) -> bool {
    let step = (status.capacity / 16).max(1);
    told.capacity != status.capacity
        || told.unusable != status.unusable
        || told.free.abs_diff(status.free) >= step
        || told.waiting.abs_diff(status.waiting) >= step
}

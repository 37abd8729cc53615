//! Processing of frames from other nodes.

use super::ControlNode;
use super::NodeFrame;
use super::NodeMessage;
use crate::BackendStatus;
use crate::SyncStep;
use crate::limits::LEASE_MARGIN;
use crate::limits::LEASE_TTL;
use zinniahatch_base::prelude::*;
use zinniahatch_config::ConfigHead;
use zinniahatch_protocol::DataCentreSummary;
use zinniahatch_protocol::EntryAddress;
use zinniahatch_protocol::Heartbeat;

impl ControlNode {
    /// Processes a received frame and returns whether a tick should run at once.
    ///
    /// Heartbeats and summaries wait for the next tick: at the design size of 330 nodes,
    /// thirty arrive per second.
    pub fn receive(&mut self, now: Instant, frame: NodeFrame) -> bool {
        if frame.sender == self.identity.node {
            return false;
        }
        let urgent = frame.messages.iter().any(|message| {
            !matches!(
                message,
                NodeMessage::Heartbeat(_) | NodeMessage::Summary(_) | NodeMessage::CountsMerged(..)
            )
        });
        self.contacts.remove(&frame.peer);
        let local = frame.data_centre == self.identity.data_centre;
        if !local {
            self.remote_revisions
                .insert(frame.data_centre.clone(), frame.revision);
        }
        if self.syncer.should_pull(now, &frame.sender, frame.revision) {
            self.send(&frame.peer, NodeMessage::HeadPull);
        }
        let NodeFrame {
            sender,
            incarnation,
            data_centre,
            peer,
            revision,
            messages,
        } = frame;
        let header = NodeFrame {
            sender,
            incarnation,
            data_centre,
            peer,
            revision,
            messages: Vec::new(),
        };
        for message in messages {
            self.on_message(now, &header, local, message);
        }
        urgent || self.syncer.is_behind() || self.next_heartbeat_at <= now
    }

    pub(super) fn on_message(
        &mut self,
        now: Instant,
        header: &NodeFrame,
        local: bool,
        message: NodeMessage,
    ) {
        match message {
            NodeMessage::Heartbeat(heartbeat) => self.on_heartbeat(now, header, local, &heartbeat),
            NodeMessage::HeadPull => {
                if let Some(offer) = self.syncer.offer_head(encode_head) {
                    self.send(&header.peer, offer);
                }
            }
            NodeMessage::HeadOffer(text) => {
                let Ok(head) = serde_json::from_str::<ConfigHead>(&text) else {
                    return;
                };
                let step = self.syncer.apply_head(head);
                self.handle_step(&header.peer, step);
            }
            NodeMessage::PartPull(hashes) => {
                let offer = self.syncer.offer_parts(&hashes);
                self.send(&header.peer, offer);
            }
            NodeMessage::PartOffer(texts) => {
                if texts.is_empty() {
                    return;
                }
                let step = self.syncer.apply_parts(texts);
                self.handle_step(&header.peer, step);
            }
            NodeMessage::Report(report) => {
                for replica in &report.refused {
                    self.backends
                        .set_status(now, *replica, BackendStatus::Unreached);
                }
                self.coordinator
                    .apply_report(now, &header.sender, header.incarnation, report);
            }
            NodeMessage::Grant(grant) => {
                let until = self.lease_expiry(now, &header.sender);
                self.leases.apply_grant(&header.sender, &grant, until);
            }
            NodeMessage::Summary(summary) => self.on_summary(now, &summary, !local),
            NodeMessage::Members(list) => self.on_member_list(now, &list),
            NodeMessage::Counts(counts) => {
                self.output
                    .counts
                    .push((header.sender.clone(), header.incarnation, counts));
            }
            NodeMessage::CountsMerged(shard, incarnation, numbers) => {
                self.output.merged.push((shard, incarnation, numbers));
            }
        }
    }

    pub(super) fn on_heartbeat(
        &mut self,
        now: Instant,
        header: &NodeFrame,
        local: bool,
        heartbeat: &Heartbeat,
    ) {
        if !local {
            // A seed of another data centre: its address is used until a summary arrives.
            let entry = EntryAddress {
                node: header.sender.clone(),
                http: heartbeat.http.clone(),
                peer: header.peer.clone(),
            };
            self.remotes
                .set_directory_entries(now, &header.data_centre, vec![entry]);
            return;
        }
        // A process that was replaced before its silence was detected has failed as well.
        let before = self
            .members
            .entries()
            .get(&header.sender)
            .map(|entry| (entry.incarnation, entry.leaving));
        if let Some((incarnation, false)) = before
            && incarnation != header.incarnation
            && self.last_live.contains(&header.sender)
        {
            self.output
                .failed
                .push((header.sender.clone(), incarnation));
        }
        let is_new =
            self.members
                .apply_heartbeat(now, header, heartbeat, self.identity.incarnation);
        self.backends
            .set_peer_leaving(now, &header.sender, &heartbeat.leaving_backends);
        for status in &heartbeat.pools {
            if self.leases.coordinator(&status.service) != Some(&header.sender) {
                continue;
            }
            self.backends
                .set_reported_unusable(&status.service, &status.unusable);
            self.pools.insert(status.service.clone(), status.clone());
        }
        if !is_new {
            return;
        }
        // Reply to a new member at once, and send it the members that it may not know.
        self.next_heartbeat_at = now;
        self.announced_pools.clear();
        let list = self
            .members
            .entries()
            .iter()
            .filter(|(_, entry)| now.duration_since(entry.last_heard) <= LEASE_TTL + LEASE_MARGIN)
            .map(|(name, entry)| {
                (
                    name.clone(),
                    self.identity.data_centre.clone(),
                    entry.peer.clone(),
                )
            })
            .collect();
        self.send(&header.peer, NodeMessage::Members(list));
    }

    pub(super) fn on_summary(&mut self, now: Instant, summary: &DataCentreSummary, direct: bool) {
        if summary.data_centre != self.identity.data_centre {
            self.remotes.apply_summary(now, summary, direct);
        }
    }

    /// Applies a list of members; one that this node has not heard from may still hold slots.
    pub(super) fn on_member_list(
        &mut self,
        now: Instant,
        list: &[(NodeId, DataCentreId, Box<str>)],
    ) {
        for (name, data_centre, peer) in list {
            if *data_centre != self.identity.data_centre || *name == self.identity.node {
                continue;
            }
            self.add_contact(peer);
            self.reported_members.insert(name.clone(), now);
        }
    }

    pub(super) fn handle_step(&mut self, peer: &str, step: SyncStep) {
        self.log_step(&step);
        if let SyncStep::Reply(message) = step {
            self.send(peer, message);
        }
    }

    pub(super) fn log_step(&mut self, step: &SyncStep) {
        match step {
            SyncStep::Adopted(revision) => self
                .output
                .changes
                .push(format!("configuration revision {revision} is in force")),
            SyncStep::Refused(error) => self
                .output
                .changes
                .push(format!("rejected a newer configuration revision: {error}")),
            SyncStep::Nothing | SyncStep::Reply(_) => {}
        }
    }
}

fn encode_head(head: &ConfigHead) -> Option<Box<str>> {
    serde_json::to_string(head).ok().map(Box::from)
}

//! What came in from other nodes.

use super::ControlNode;
use super::NodeFrame;
use super::NodeMessage;
use crate::BackendMark;
use crate::LedgerStep;
use crate::limits::KEEPER_MARGIN;
use crate::limits::LEASE_TIME;
use zinniahatch_base::prelude::*;
use zinniahatch_config::ConfigHead;
use zinniahatch_protocol::CentreSummary;
use zinniahatch_protocol::EntryAddress;
use zinniahatch_protocol::HeartbeatNote;

impl ControlNode {
    /// Takes a frame that came in; gives whether a tick is wanted at once.
    ///
    /// Heartbeats and summaries wait for the next tick: at design size thirty come in a second.
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
        let home = frame.data_centre == self.identity.data_centre;
        if !home {
            self.foreign
                .insert(frame.data_centre.clone(), frame.revision);
        }
        if self.ledger.wants_pull(now, &frame.sender, frame.revision) {
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
        let about = NodeFrame {
            sender,
            incarnation,
            data_centre,
            peer,
            revision,
            messages: Vec::new(),
        };
        for message in messages {
            self.take_message(now, &about, home, message);
        }
        urgent || self.ledger.is_behind() || self.next_beat <= now
    }

    pub(super) fn take_message(
        &mut self,
        now: Instant,
        about: &NodeFrame,
        home: bool,
        message: NodeMessage,
    ) {
        match message {
            NodeMessage::Heartbeat(note) => self.take_heartbeat(now, about, home, &note),
            NodeMessage::HeadPull => {
                if let Some(offer) = self.ledger.offer_head(encode_head) {
                    self.send(&about.peer, offer);
                }
            }
            NodeMessage::HeadOffer(text) => {
                let Ok(head) = serde_json::from_str::<ConfigHead>(&text) else {
                    return;
                };
                let step = self.ledger.take_head(head);
                self.take_step(&about.peer, step);
            }
            NodeMessage::PartPull(hashes) => {
                let offer = self.ledger.offer_parts(&hashes);
                self.send(&about.peer, offer);
            }
            NodeMessage::PartOffer(texts) => {
                if texts.is_empty() {
                    return;
                }
                let step = self.ledger.take_parts(texts);
                self.take_step(&about.peer, step);
            }
            NodeMessage::Report(report) => {
                for replica in &report.refused {
                    self.backends.mark(now, *replica, BackendMark::Unreached);
                }
                self.keeper
                    .take_report(now, &about.sender, about.incarnation, report);
            }
            NodeMessage::Grant(grant) => {
                let until = self.lease_until(now, &about.sender);
                self.holder.take_grant(&about.sender, &grant, until);
            }
            NodeMessage::Summary(summary) => self.take_summary(now, &summary, !home),
            NodeMessage::Members(list) => self.take_members(now, &list),
            NodeMessage::Counts(note) => {
                self.output
                    .counts
                    .push((about.sender.clone(), about.incarnation, note));
            }
            NodeMessage::CountsMerged(shard, incarnation, numbers) => {
                self.output.merged.push((shard, incarnation, numbers));
            }
        }
    }

    pub(super) fn take_heartbeat(
        &mut self,
        now: Instant,
        about: &NodeFrame,
        home: bool,
        note: &HeartbeatNote,
    ) {
        if !home {
            // A seed of another data centre: its address is kept until a summary comes.
            let entry = EntryAddress {
                node: about.sender.clone(),
                http: note.http.clone(),
                peer: about.peer.clone(),
            };
            self.remotes
                .take_directory(now, &about.data_centre, vec![entry]);
            return;
        }
        // A process that was replaced before its silence was judged died all the same.
        let before = self
            .members
            .entries()
            .get(&about.sender)
            .map(|entry| (entry.incarnation, entry.leaving));
        if let Some((incarnation, false)) = before
            && incarnation != about.incarnation
            && self.last_live.contains(&about.sender)
        {
            self.output.deaths.push((about.sender.clone(), incarnation));
        }
        let fresh = self
            .members
            .hear(now, about, note, self.identity.incarnation);
        self.backends
            .take_leaving(now, &about.sender, &note.leaving_backends);
        for status in &note.pools {
            if self.holder.keeper(&status.service) != Some(&about.sender) {
                continue;
            }
            self.backends.take_told(&status.service, &status.unusable);
            self.pools.insert(status.service.clone(), status.clone());
        }
        if !fresh {
            return;
        }
        // Answer a new member at once, and tell it whom it may not know.
        self.next_beat = now;
        self.told.clear();
        let list = self
            .members
            .entries()
            .iter()
            .filter(|(_, entry)| now.duration_since(entry.last_heard) <= LEASE_TIME + KEEPER_MARGIN)
            .map(|(name, entry)| {
                (
                    name.clone(),
                    self.identity.data_centre.clone(),
                    entry.peer.clone(),
                )
            })
            .collect();
        self.send(&about.peer, NodeMessage::Members(list));
    }

    pub(super) fn take_summary(&mut self, now: Instant, summary: &CentreSummary, direct: bool) {
        if summary.data_centre != self.identity.data_centre {
            self.remotes.take(now, summary, direct);
        }
    }

    /// Takes the names of members; one that this node has not heard may still hold slots.
    pub(super) fn take_members(&mut self, now: Instant, list: &[(NodeId, DataCentreId, Box<str>)]) {
        for (name, data_centre, peer) in list {
            if *data_centre != self.identity.data_centre || *name == self.identity.node {
                continue;
            }
            self.add_contact(peer);
            self.told_members.insert(name.clone(), now);
        }
    }

    pub(super) fn take_step(&mut self, peer: &str, step: LedgerStep) {
        self.note_step(&step);
        if let LedgerStep::Reply(message) = step {
            self.send(peer, message);
        }
    }

    pub(super) fn note_step(&mut self, step: &LedgerStep) {
        match step {
            LedgerStep::Adopted(revision) => self
                .output
                .changes
                .push(format!("revision {revision} is in force here")),
            LedgerStep::Refused(error) => self
                .output
                .changes
                .push(format!("a newer revision was refused: {error}")),
            LedgerStep::Nothing | LedgerStep::Reply(_) => {}
        }
    }
}

fn encode_head(head: &ConfigHead) -> Option<Box<str>> {
    serde_json::to_string(head).ok().map(Box::from)
}

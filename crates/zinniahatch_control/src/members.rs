//! Membership of a data centre: failure detection and leaving members.

use crate::limits::MEMBER_TTL;
use crate::limits::REDIAL_TIMEOUT;
use crate::limits::REFUTE_TIME;
use crate::limits::SUSPECT_AFTER;
use std::collections::VecDeque;
use zinniahatch_base::prelude::*;
use zinniahatch_base::rendezvous_rank;
use zinniahatch_protocol::Heartbeat;
use zinniahatch_protocol::NodeFrame;

/// Sent heartbeats whose send time is stored; enough to cover a lease.
const MAX_SENT_HEARTBEATS: usize = 16;

/// How a node decides that a member has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailurePolicy {
    /// The node's own suspicion suffices.
    OwnSuspicion,
    /// The node's own suspicion and confirmation by the other members are required.
    ///
    /// At least half of the reachable members must suspect the same member, or, after the time in
    /// which they could have refuted the suspicion, at least half of them must not have done so.
    MajorityReports,
}

/// One other member of the data centre.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// Address for control messages.
    pub peer: Box<str>,
    /// Address for callers.
    pub http: Box<str>,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// When its last heartbeat arrived.
    pub last_heard: Instant,
    /// Whether it announced that it is leaving.
    pub leaving: bool,
    /// Whether it serves requests.
    pub ready: bool,
    /// The members that it suspects.
    pub suspects: BTreeSet<NodeId>,
    /// The members that others suspect but whose heartbeats reach it.
    pub refuted: BTreeSet<NodeId>,
    /// Incarnations whose idempotency keys and responses it took over.
    pub successor_of: Vec<(NodeId, Incarnation)>,
    number: u64,
    sent: VecDeque<(u64, Instant)>,
    received_number: u64,
    acked_at: Option<Instant>,
    redialed_at: Instant,
}

/// All other members of the data centre.
#[derive(Debug)]
pub struct MemberTable {
    own_name: NodeId,
    policy: FailurePolicy,
    entries: BTreeMap<NodeId, MemberEntry>,
}

impl MemberTable {
    /// Creates an empty table.
    pub fn new(own_name: &str, policy: FailurePolicy) -> Self {
        Self {
            own_name: own_name.into(),
            policy,
            entries: BTreeMap::new(),
        }
    }

    /// Returns every known member.
    pub fn entries(&self) -> &BTreeMap<NodeId, MemberEntry> {
        &self.entries
    }

    /// Returns whether a member is considered alive.
    pub fn is_live(&self, now: Instant, node: &str) -> bool {
        if node == &*self.own_name {
            return true;
        }
        let Some(entry) = self.entries.get(node) else {
            return false;
        };
        if !is_silent(now, entry) {
            return true;
        }
        match self.policy {
            FailurePolicy::OwnSuspicion => false,
            FailurePolicy::MajorityReports => !self.majority_suspects(now, node),
        }
    }

    /// Returns the live members that serve and are not leaving.
    ///
    /// They include this node, unless it is excluded and other members are eligible.
    pub fn eligible_members(&self, now: Instant, exclude_self: bool) -> Vec<NodeId> {
        let mut eligible: Vec<NodeId> = self
            .entries
            .iter()
            .filter(|(name, entry)| entry.ready && !entry.leaving && self.is_live(now, name))
            .map(|(name, _)| name.clone())
            .collect();
        if !exclude_self || eligible.is_empty() {
            eligible.push(self.own_name.clone());
        }
        eligible
    }

    /// Returns the send time of the newest heartbeat that the member echoed.
    pub fn acked_at(&self, node: &str) -> Option<Instant> {
        self.entries.get(node).and_then(|entry| entry.acked_at)
    }

    /// Returns the members whose heartbeats have timed out.
    pub fn suspects(&self, now: Instant) -> Vec<NodeId> {
        self.entries
            .iter()
            .filter(|(_, entry)| is_silent(now, entry))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns the members that others suspect but whose heartbeats reach this node.
    pub fn refuted(&self, now: Instant) -> Vec<NodeId> {
        let suspected: BTreeSet<&NodeId> = self
            .entries
            .values()
            .flat_map(|entry| &entry.suspects)
            .collect();
        suspected
            .into_iter()
            .filter(|name| {
                self.entries
                    .get(*name)
                    .is_some_and(|entry| !is_silent(now, entry))
            })
            .cloned()
            .collect()
    }

    /// Returns the owner of an incarnation's keys: its node, or the successor that took them over.
    pub fn key_owner(
        &self,
        node: &str,
        incarnation: Incarnation,
    ) -> Option<(&NodeId, &MemberEntry)> {
        // The successor takes precedence: the entry of the node that left remains for a while.
        let successor = self.entries.iter().find(|(_, entry)| {
            entry
                .successor_of
                .iter()
                .any(|(left, number)| &**left == node && *number == incarnation)
        });
        successor.or_else(|| {
            self.entries
                .get_key_value(node)
                .filter(|(_, entry)| entry.incarnation == incarnation)
        })
    }

    /// Applies a heartbeat and returns whether the member is new or restarted.
    pub fn apply_heartbeat(
        &mut self,
        now: Instant,
        frame: &NodeFrame,
        heartbeat: &Heartbeat,
        my_incarnation: Incarnation,
    ) -> bool {
        let is_new = self
            .entries
            .get(&frame.sender)
            .is_none_or(|entry| entry.incarnation != frame.incarnation);
        if is_new {
            // The sequence of heartbeats to this name continues: a restarted member may have received
            // some before its first one arrived here, and would drop lower numbers as reordered.
            let number = self
                .entries
                .get(&frame.sender)
                .map_or(0, |entry| entry.number);
            self.entries
                .insert(frame.sender.clone(), new_entry(now, frame, number));
        }
        let Some(entry) = self.entries.get_mut(&frame.sender) else {
            return is_new;
        };
        // A reordered older heartbeat must not overwrite a newer one.
        if heartbeat.number < entry.received_number {
            return is_new;
        }
        entry.last_heard = now;
        entry.received_number = heartbeat.number;
        entry.peer.clone_from(&frame.peer);
        entry.http.clone_from(&heartbeat.http);
        entry.leaving = heartbeat.leaving;
        entry.ready = heartbeat.ready;
        entry.suspects = heartbeat.suspects.iter().cloned().collect();
        entry.refuted = heartbeat.refuted.iter().cloned().collect();
        entry.successor_of.clone_from(&heartbeat.successor_of);
        let (incarnation, number) = heartbeat.echo;
        if incarnation == my_incarnation {
            entry.apply_echo(number);
        }
        is_new
    }

    /// Returns the sequence number and the echo for the next heartbeat to a member.
    pub fn next_heartbeat(&mut self, now: Instant, node: &str) -> (u64, (Incarnation, u64)) {
        let Some(entry) = self.entries.get_mut(node) else {
            return (0, (0, 0));
        };
        entry.number += 1;
        entry.sent.push_back((entry.number, now));
        if entry.sent.len() > MAX_SENT_HEARTBEATS {
            entry.sent.pop_front();
        }
        (entry.number, (entry.incarnation, entry.received_number))
    }

    /// Removes members after a long silence and returns the addresses to redial.
    ///
    /// A connection whose state a middlebox has dropped still looks open but carries nothing. The
    /// only symptom is missing echoes above the transport, so they alone trigger a redial.
    pub fn sweep(&mut self, now: Instant) -> Vec<Box<str>> {
        self.entries
            .retain(|_, entry| now.duration_since(entry.last_heard) < MEMBER_TTL);
        let mut redials = Vec::new();
        for entry in self.entries.values_mut() {
            let echo_overdue = entry
                .acked_at
                .is_none_or(|at| now.duration_since(at) > REDIAL_TIMEOUT);
            if !echo_overdue || now.duration_since(entry.redialed_at) < REDIAL_TIMEOUT {
                continue;
            }
            entry.redialed_at = now;
            redials.push(entry.peer.clone());
        }
        redials
    }

    /// Resets the silence of every member after a pause, in which no heartbeat could be received.
    pub(crate) fn reset_silence(&mut self, now: Instant) {
        for entry in self.entries.values_mut() {
            entry.last_heard = now;
        }
    }

    /// Returns whether the reports of the reachable members confirm that a silent member failed.
    ///
    /// A reporter that started after the failure does not know the member and cannot suspect it.
    /// So a missing refutation also counts, once the reporters had time to send one.
    fn majority_suspects(&self, now: Instant, node: &str) -> bool {
        let reporters: Vec<&MemberEntry> = self
            .entries
            .iter()
            .filter(|(name, entry)| &***name != node && !is_silent(now, entry))
            .map(|(_, entry)| entry)
            .collect();
        let count = |picked: fn(&MemberEntry) -> &BTreeSet<NodeId>| {
            reporters
                .iter()
                .filter(|entry| picked(entry).contains(node))
                .count()
        };
        let suspecting = count(|entry| &entry.suspects);
        let refuting = count(|entry| &entry.refuted);
        let had_time = self
            .entries
            .get(node)
            .is_some_and(|peer| now.duration_since(peer.last_heard) > SUSPECT_AFTER + REFUTE_TIME);
        suspecting * 2 >= reporters.len() || (had_time && refuting * 2 <= reporters.len())
    }
}

impl MemberEntry {
    fn apply_echo(&mut self, number: u64) {
        while let Some((sent, at)) = self.sent.front().copied() {
            if sent > number {
                break;
            }
            self.acked_at = Some(at);
            self.sent.pop_front();
        }
    }
}

fn is_silent(now: Instant, entry: &MemberEntry) -> bool {
    now.duration_since(entry.last_heard) > SUSPECT_AFTER
}

fn new_entry(now: Instant, frame: &NodeFrame, number: u64) -> MemberEntry {
    MemberEntry {
        peer: frame.peer.clone(),
        http: Box::default(),
        incarnation: frame.incarnation,
        last_heard: now,
        leaving: false,
        ready: false,
        suspects: BTreeSet::new(),
        refuted: BTreeSet::new(),
        successor_of: Vec::new(),
        number,
        sent: VecDeque::new(),
        received_number: 0,
        acked_at: None,
        redialed_at: now,
    }
}

/// Returns the eligible member with the highest rendezvous rank for an object.
pub(crate) fn rendezvous_owner<'a>(object: &str, eligible: &'a [NodeId]) -> Option<&'a NodeId> {
    eligible
        .iter()
        .max_by_key(|name| rendezvous_rank(object, name))
}

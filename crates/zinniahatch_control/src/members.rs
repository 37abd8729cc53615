//! The members of a data centre: who lives, who is suspected, who leaves.

use crate::limits::FORGET_AFTER;
use crate::limits::REDIAL_AFTER;
use crate::limits::SUSPECT_AFTER;
use crate::limits::VOUCH_TIME;
use std::collections::VecDeque;
use zinniahatch_base::prelude::*;
use zinniahatch_base::rendezvous_rank;
use zinniahatch_protocol::HeartbeatNote;
use zinniahatch_protocol::NodeFrame;

/// Sent heartbeats whose sending time is remembered; enough for the longest lease.
const KEPT_SENDS: usize = 16;

/// How a member is judged to have failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VerdictPolicy {
    /// A node's own suspicion is the verdict.
    OwnSuspicion,
    /// The verdict also needs half of the other members to suspect the same member, or, after the
    /// time in which they could have vouched for it, half of them not to have done so.
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
    /// When it was last heard.
    pub last_heard: Instant,
    /// Whether it said that it is leaving.
    pub leaving: bool,
    /// Whether it serves.
    pub ready: bool,
    /// Whom it suspects.
    pub suspects: BTreeSet<NodeId>,
    /// Whom it hears although others suspect them.
    pub vouches: BTreeSet<NodeId>,
    /// Incarnations whose keys and answers it took over.
    pub heir_of: Vec<(NodeId, Incarnation)>,
    number: u64,
    sent: VecDeque<(u64, Instant)>,
    heard_number: u64,
    acked_at: Option<Instant>,
    redialled: Instant,
}

/// All other members of the data centre.
#[derive(Debug)]
pub struct MemberTable {
    me: NodeId,
    policy: VerdictPolicy,
    entries: BTreeMap<NodeId, MemberEntry>,
}

impl MemberTable {
    /// Makes an empty table.
    pub fn new(me: &str, policy: VerdictPolicy) -> Self {
        Self {
            me: me.into(),
            policy,
            entries: BTreeMap::new(),
        }
    }

    /// Gives every known member.
    pub fn entries(&self) -> &BTreeMap<NodeId, MemberEntry> {
        &self.entries
    }

    /// Says whether a member is judged to live.
    pub fn is_live(&self, now: Instant, node: &str) -> bool {
        if node == &*self.me {
            return true;
        }
        let Some(entry) = self.entries.get(node) else {
            return false;
        };
        if !is_silent(now, entry) {
            return true;
        }
        match self.policy {
            VerdictPolicy::OwnSuspicion => false,
            VerdictPolicy::MajorityReports => !self.majority_suspects(now, node),
        }
    }

    /// Gives the members that serve and are not leaving, this node too unless it stands aside.
    pub fn owners(&self, now: Instant, aside: bool) -> Vec<NodeId> {
        let mut owners: Vec<NodeId> = self
            .entries
            .iter()
            .filter(|(name, entry)| entry.ready && !entry.leaving && self.is_live(now, name))
            .map(|(name, _)| name.clone())
            .collect();
        if !aside || owners.is_empty() {
            owners.push(self.me.clone());
        }
        owners
    }

    /// Gives when the newest heartbeat that the member echoed was sent.
    pub fn acked_at(&self, node: &str) -> Option<Instant> {
        self.entries.get(node).and_then(|entry| entry.acked_at)
    }

    /// Gives the members that this node has not heard from in time.
    pub fn suspects(&self, now: Instant) -> Vec<NodeId> {
        self.entries
            .iter()
            .filter(|(_, entry)| is_silent(now, entry))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Gives the members that others suspect and this node hears.
    pub fn vouches(&self, now: Instant) -> Vec<NodeId> {
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

    /// Gives who holds the keys of an incarnation: its node, or the one that took them over.
    pub fn key_holder(
        &self,
        node: &str,
        incarnation: Incarnation,
    ) -> Option<(&NodeId, &MemberEntry)> {
        // The heir first: the entry of the node that left stands here for a while.
        let heir = self.entries.iter().find(|(_, entry)| {
            entry
                .heir_of
                .iter()
                .any(|(left, number)| &**left == node && *number == incarnation)
        });
        heir.or_else(|| {
            self.entries
                .get_key_value(node)
                .filter(|(_, entry)| entry.incarnation == incarnation)
        })
    }

    /// Takes what a heartbeat says; gives whether the member is new or restarted.
    pub fn hear(
        &mut self,
        now: Instant,
        frame: &NodeFrame,
        note: &HeartbeatNote,
        my_incarnation: Incarnation,
    ) -> bool {
        let fresh = self
            .entries
            .get(&frame.sender)
            .is_none_or(|entry| entry.incarnation != frame.incarnation);
        if fresh {
            // The numbers of heartbeats to this name go on: a restarted member that was sent some
            // before it was heard would take lower ones for overtaken frames.
            let number = self
                .entries
                .get(&frame.sender)
                .map_or(0, |entry| entry.number);
            self.entries
                .insert(frame.sender.clone(), new_entry(now, frame, number));
        }
        let Some(entry) = self.entries.get_mut(&frame.sender) else {
            return fresh;
        };
        // A frame that overtook a newer one must not undo it.
        if note.number < entry.heard_number {
            return fresh;
        }
        entry.last_heard = now;
        entry.heard_number = note.number;
        entry.peer.clone_from(&frame.peer);
        entry.http.clone_from(&note.http);
        entry.leaving = note.leaving;
        entry.ready = note.ready;
        entry.suspects = note.suspects.iter().cloned().collect();
        entry.vouches = note.vouches.iter().cloned().collect();
        entry.heir_of.clone_from(&note.heir_of);
        let (incarnation, number) = note.echo;
        if incarnation == my_incarnation {
            entry.take_echo(number);
        }
        fresh
    }

    /// Gives the number and the echo for the next heartbeat to a member.
    pub fn next_heartbeat(&mut self, now: Instant, node: &str) -> (u64, (Incarnation, u64)) {
        let Some(entry) = self.entries.get_mut(node) else {
            return (0, (0, 0));
        };
        entry.number += 1;
        entry.sent.push_back((entry.number, now));
        if entry.sent.len() > KEPT_SENDS {
            entry.sent.pop_front();
        }
        (entry.number, (entry.incarnation, entry.heard_number))
    }

    /// Forgets members that have been silent for long, and gives the addresses to redial.
    ///
    /// A connection that a middlebox has forgotten looks open and carries nothing. Silence above
    /// the transport is the only sign, so silence alone decides.
    pub fn sweep(&mut self, now: Instant) -> Vec<Box<str>> {
        self.entries
            .retain(|_, entry| now.duration_since(entry.last_heard) < FORGET_AFTER);
        let mut redials = Vec::new();
        for entry in self.entries.values_mut() {
            let one_way = entry
                .acked_at
                .is_none_or(|at| now.duration_since(at) > REDIAL_AFTER);
            if !one_way || now.duration_since(entry.redialled) < REDIAL_AFTER {
                continue;
            }
            entry.redialled = now;
            redials.push(entry.peer.clone());
        }
        redials
    }

    /// Counts every member as heard now, after a pause in which nobody could be heard.
    pub(crate) fn excuse_silence(&mut self, now: Instant) {
        for entry in self.entries.values_mut() {
            entry.last_heard = now;
        }
    }

    /// Judges a silent member by the reports of those that can be heard.
    ///
    /// A reporter may not know the member at all, having started after its death; so silence of
    /// the reporters counts too, once they had time to vouch.
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
        let vouching = count(|entry| &entry.vouches);
        let had_time = self
            .entries
            .get(node)
            .is_some_and(|entry| now.duration_since(entry.last_heard) > SUSPECT_AFTER + VOUCH_TIME);
        suspecting * 2 >= reporters.len() || (had_time && vouching * 2 <= reporters.len())
    }
}

impl MemberEntry {
    fn take_echo(&mut self, number: u64) {
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
        vouches: BTreeSet::new(),
        heir_of: Vec::new(),
        number,
        sent: VecDeque::new(),
        heard_number: 0,
        acked_at: None,
        redialled: now,
    }
}

/// Gives the owner of an object among the owners.
pub(crate) fn owner_of<'a>(object: &str, owners: &'a [NodeId]) -> Option<&'a NodeId> {
    owners
        .iter()
        .max_by_key(|name| rendezvous_rank(object, name))
}

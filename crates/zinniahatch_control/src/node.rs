//! One node's tables, and the tick that runs the systems over them.

use crate::BackendTable;
use crate::CacheBelief;
use crate::ConfigLedger;
use crate::KeeperView;
use crate::LedgerStep;
use crate::MemberTable;
use crate::Placement;
use crate::PoolKeeper;
use crate::RemoteTable;
use crate::RoutePolicy;
use crate::SlotHolder;
use crate::VerdictPolicy;
use crate::limits::CONTACT_EVERY;
use crate::limits::CONTACT_WINDOW;
use crate::limits::HEARTBEAT_EVERY;
use crate::limits::LEASE_TIME;
use crate::limits::PAUSE_GAP;
use crate::limits::RETELL_EVERY;
use crate::limits::SUMMARY_EVERY;
use crate::limits::SUMMARY_LINK;
use crate::members::owner_of;
use std::sync::Arc;
use zinniahatch_base::prelude::*;
use zinniahatch_base::rank_member;
use zinniahatch_config::ClusterConfig;
use zinniahatch_config::ConfigHead;
use zinniahatch_protocol::CentreSummary;
use zinniahatch_protocol::CountsNote;
use zinniahatch_protocol::EntryAddress;
use zinniahatch_protocol::HeartbeatNote;
use zinniahatch_protocol::NodeFrame;
use zinniahatch_protocol::NodeMessage;
use zinniahatch_protocol::PoolStatus;

mod routing;
mod telling;

/// Longest time that a node waits before it pulls a revision that it has heard of.
const LONGEST_PATIENCE: Duration = Duration::from_millis(800);
/// Nodes of a data centre that watch the store's head.
const WATCHERS: usize = 2;

/// Who this node is.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    /// Its name.
    pub node: NodeId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its region.
    pub region: RegionId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its address for control messages.
    pub peer: Box<str>,
    /// Its address for callers.
    pub http: Box<str>,
    /// Milliseconds since the epoch when it started; stamps of summaries count from here.
    pub epoch: u64,
}

/// A frame and the address it goes to.
#[derive(Clone, Debug)]
pub struct FrameParcel {
    /// The address for control messages.
    pub to: Box<str>,
    /// The frame.
    pub frame: NodeFrame,
}

/// What a tick gives back.
#[derive(Debug, Default)]
pub struct TickOutput {
    /// Frames to send.
    pub parcels: Vec<FrameParcel>,
    /// Addresses to which a new connection shall be opened.
    pub redials: Vec<Box<str>>,
    /// Changes of state worth a log line.
    pub changes: Vec<String>,
    /// Counts received from members: sender, its incarnation, the counts.
    pub counts: Vec<(NodeId, Incarnation, CountsNote)>,
    /// Members judged failed that had not said that they leave.
    pub deaths: Vec<(NodeId, Incarnation)>,
    /// This node's counts that are in the store: shard, incarnation, numbers.
    pub merged: Vec<(u16, Incarnation, Vec<u64>)>,
}

/// The keepers of all pools, and what they were computed from.
#[derive(Debug, Default)]
struct RankedKeepers {
    owners: Vec<NodeId>,
    revision: Revision,
    keepers: BTreeMap<ServiceId, NodeId>,
}

/// All tables of one node.
pub struct ControlNode {
    identity: NodeIdentity,
    pub(crate) ledger: ConfigLedger,
    pub(crate) members: MemberTable,
    pub(crate) holder: SlotHolder,
    pub(crate) keeper: PoolKeeper,
    pub(crate) remotes: RemoteTable,
    pub(crate) backends: BackendTable,
    pub(crate) belief: CacheBelief,
    policy: RoutePolicy,
    random: u64,
    started: Instant,
    leaving: bool,
    ready: bool,
    contacts: BTreeMap<Box<str>, Option<Instant>>,
    foreign: BTreeMap<Box<str>, Revision>,
    heir_of: Vec<(NodeId, Incarnation)>,
    pools: BTreeMap<ServiceId, PoolStatus>,
    told: BTreeMap<ServiceId, (PoolStatus, Instant)>,
    decisions: Vec<(u64, Placement)>,
    outbox: BTreeMap<Box<str>, Vec<NodeMessage>>,
    output: TickOutput,
    next_beat: Instant,
    next_summary: Instant,
    next_entries: Instant,
    lapses: u64,
    last_live: BTreeSet<NodeId>,
    last_tick: Option<Instant>,
    ranked: RankedKeepers,
}

impl ControlNode {
    /// Makes the tables of a node that has just started.
    pub fn new(
        identity: NodeIdentity,
        seeds: &[Box<str>],
        now: Instant,
        verdict: VerdictPolicy,
        policy: RoutePolicy,
    ) -> Self {
        let contacts = seeds
            .iter()
            .filter(|seed| ***seed != *identity.peer)
            .map(|seed| (seed.clone(), None))
            .collect();
        let mut ledger = ConfigLedger::default();
        ledger.set_patience(
            LONGEST_PATIENCE.mul_f64((identity.incarnation % 1_024) as f64 / 1_024.0),
        );
        Self {
            members: MemberTable::new(&identity.node, verdict),
            random: identity.incarnation | 1,
            identity,
            ledger,
            holder: SlotHolder::default(),
            keeper: PoolKeeper::default(),
            remotes: RemoteTable::default(),
            backends: BackendTable::default(),
            belief: CacheBelief::default(),
            policy,
            started: now,
            leaving: false,
            ready: false,
            contacts,
            foreign: BTreeMap::new(),
            heir_of: Vec::new(),
            pools: BTreeMap::new(),
            told: BTreeMap::new(),
            decisions: Vec::new(),
            outbox: BTreeMap::new(),
            output: TickOutput::default(),
            next_beat: now,
            next_summary: now,
            next_entries: now,
            lapses: 0,
            last_live: BTreeSet::new(),
            last_tick: None,
            ranked: RankedKeepers::default(),
        }
    }

    /// Gives who this node is.
    pub fn identity(&self) -> &NodeIdentity {
        &self.identity
    }

    /// Gives the configuration in force here.
    pub fn config(&self) -> Arc<ClusterConfig> {
        Arc::clone(self.ledger.config())
    }

    /// Gives the ledger of the configuration.
    pub fn ledger(&self) -> &ConfigLedger {
        &self.ledger
    }

    /// Gives the members of the data centre.
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// Gives the slots held here.
    pub fn holder(&self) -> &SlotHolder {
        &self.holder
    }

    /// Gives the pools kept here.
    pub fn keeper(&self) -> &PoolKeeper {
        &self.keeper
    }

    /// Gives the other data centres.
    pub fn remotes(&self) -> &RemoteTable {
        &self.remotes
    }

    /// Gives the other data centres, for notes from the directory.
    pub fn remotes_mut(&mut self) -> &mut RemoteTable {
        &mut self.remotes
    }

    /// Gives the backend servers, for marks from polls and calls.
    pub fn backends_mut(&mut self) -> &mut BackendTable {
        &mut self.backends
    }

    /// Gives the beliefs about caches, for what answers report.
    pub fn belief_mut(&mut self) -> &mut CacheBelief {
        &mut self.belief
    }

    /// Gives the states of this data centre's pools as last told.
    pub fn pools(&self) -> &BTreeMap<ServiceId, PoolStatus> {
        &self.pools
    }

    /// Says whether this node is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Says whether this node serves.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Gives how often a lease lapsed here.
    pub fn lapses(&self) -> u64 {
        self.lapses
    }

    /// Says whether this node is one of those that do a duty for the data centre.
    pub fn has_duty(&self, now: Instant, duty: &str, count: usize) -> bool {
        let mut owners = self.members.owners(now, self.leaving || !self.ready);
        owners.sort_by_key(|name| std::cmp::Reverse(rank_member(duty, name)));
        owners
            .iter()
            .take(count)
            .any(|name| *name == self.identity.node)
    }

    /// Says whether this node watches the store's head.
    pub fn is_watcher(&self, now: Instant) -> bool {
        self.has_duty(now, "watch", WATCHERS)
    }

    /// Says whether this node keeps a service's pool.
    pub fn keeps(&self, now: Instant, service: &str) -> bool {
        let owners = self.members.owners(now, self.leaving || !self.ready);
        owner_of(service, &owners).is_some_and(|name| *name == self.identity.node)
    }

    /// Gives the node that does a duty for the data centre.
    pub fn duty_owner(&self, now: Instant, duty: &str) -> Option<NodeId> {
        let owners = self.members.owners(now, self.leaving || !self.ready);
        owner_of(duty, &owners).cloned()
    }

    /// Queues a message for a member, or hands it over directly where it is this node.
    pub fn send_to(&mut self, now: Instant, node: &NodeId, message: NodeMessage) {
        self.deliver(now, node, message);
    }

    /// Gives the entry VMs of this data centre that take requests, this one included.
    pub fn entries(&self, now: Instant) -> Vec<EntryAddress> {
        let mut entries = Vec::new();
        if !self.leaving {
            entries.push(self.own_address());
        }
        for (name, entry) in self.members.entries() {
            if !entry.ready || entry.leaving || !self.members.is_live(now, name) {
                continue;
            }
            entries.push(EntryAddress {
                node: name.clone(),
                http: entry.http.clone(),
                peer: entry.peer.clone(),
            });
        }
        entries
    }

    /// Gives the newest revision that any peer has shown.
    pub fn newest_seen(&self) -> Revision {
        let foreign = self.foreign.values().copied().max().unwrap_or(0);
        foreign.max(self.ledger.revision())
    }

    /// Says whether the seeds of this data centre had time to answer.
    pub fn contacts_done(&self, now: Instant) -> bool {
        self.contacts.is_empty() || now.duration_since(self.started) > CONTACT_WINDOW
    }

    /// Takes requests from now on.
    pub fn set_ready(&mut self) {
        self.ready = true;
    }

    /// Announces that this node leaves, in the very next tick.
    pub fn set_leaving(&mut self, now: Instant) {
        self.leaving = true;
        self.next_beat = now;
    }

    /// Notes that this node took over another's keys.
    pub fn add_heir(&mut self, now: Instant, node: NodeId, incarnation: Incarnation) {
        self.heir_of.push((node, incarnation));
        self.next_beat = now;
    }

    /// Adds the address of a node to contact.
    pub fn add_contact(&mut self, peer: &str) {
        let known = peer == &*self.identity.peer
            || self
                .members
                .entries()
                .values()
                .any(|entry| &*entry.peer == peer);
        if !known {
            self.contacts.entry(peer.into()).or_insert(None);
        }
    }

    /// Takes a head and parts from the store.
    pub fn take_store(&mut self, head: ConfigHead, texts: Vec<Box<str>>) -> Vec<PartHash> {
        let step = self.ledger.take_head(head);
        self.note_step(&step);
        let step = self.ledger.take_parts(texts);
        self.note_step(&step);
        self.ledger.missing()
    }

    /// Queues a message for the node at an address; it goes out with the next tick.
    pub fn send(&mut self, to: &str, message: NodeMessage) {
        self.outbox.entry(to.into()).or_default().push(message);
    }

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

    /// Runs the systems over the tables.
    pub fn tick(&mut self, now: Instant) -> TickOutput {
        self.note_pause(now);
        let redials = self.members.sweep(now);
        self.output.redials.extend(redials);
        self.note_live(now);
        let lapsed = {
            let lease = |keeper: &str| self.lease_until(now, keeper);
            let leases: BTreeMap<NodeId, Option<Instant>> = self
                .holder
                .keepers()
                .map(|keeper| (keeper.clone(), lease(keeper)))
                .collect();
            self.holder
                .renew(now, |keeper| leases.get(keeper).copied().flatten())
        };
        self.lapses += u64::from(lapsed);
        let keepers = self.keepers(now);
        if self.contacts_done(now) {
            for service in self.holder.follow(now, &keepers) {
                self.backends.forget_told(&service);
            }
        }
        // Before the reports: a slot that is used again at once is not reported as free.
        self.run_waiting(now);
        self.run_pools(now, &keepers);
        self.run_waiting(now);
        self.tell(now);
        self.pack()
    }

    /// Gives what was decided about waiting requests since the last call.
    pub fn take_decisions(&mut self) -> Vec<(u64, Placement)> {
        std::mem::take(&mut self.decisions)
    }

    /// Gives until when slots of a keeper may be used: a lease's time after the sending of the
    /// newest heartbeat that the keeper echoed. This node's own word holds while it ticks.
    fn lease_until(&self, now: Instant, keeper: &str) -> Option<Instant> {
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
    fn note_pause(&mut self, now: Instant) {
        let paused = self
            .last_tick
            .is_some_and(|at| now.duration_since(at) > PAUSE_GAP);
        self.last_tick = Some(now);
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

    fn own_address(&self) -> EntryAddress {
        EntryAddress {
            node: self.identity.node.clone(),
            http: self.identity.http.clone(),
            peer: self.identity.peer.clone(),
        }
    }

    /// Gives the keeper of each pool; computed anew only when members or services changed.
    fn keepers(&mut self, now: Instant) -> BTreeMap<ServiceId, NodeId> {
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
    fn run_pools(&mut self, now: Instant, keepers: &BTreeMap<ServiceId, NodeId>) {
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
        // Two passes: the first opens a new pool, reports reach it, the second grants.
        for _ in 0..2 {
            let config = self.config();
            let view = KeeperView {
                now,
                data_centre: &self.identity.data_centre,
                config: &config,
                backends: &self.backends,
                known: &known,
                kept: &kept,
            };
            let grants = self.keeper.step(&view);
            for (name, grant) in grants {
                self.deliver(now, &name, NodeMessage::Grant(grant));
            }
            for (keeper, report) in self.holder.reports(now) {
                self.deliver(now, &keeper, NodeMessage::Report(report));
            }
        }
        let config = self.config();
        let view = KeeperView {
            now,
            data_centre: &self.identity.data_centre,
            config: &config,
            backends: &self.backends,
            known: &known,
            kept: &kept,
        };
        for status in self.keeper.statuses(&view) {
            self.pools.insert(status.service.clone(), status);
        }
    }

    /// Sends to a member of the data centre, or hands over directly where it is this node.
    fn deliver(&mut self, now: Instant, node: &NodeId, message: NodeMessage) {
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

    fn take_message(&mut self, now: Instant, about: &NodeFrame, home: bool, message: NodeMessage) {
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
                    self.backends
                        .mark(now, *replica, crate::BackendMark::Unreached);
                }
                self.keeper
                    .take_report(now, &about.sender, about.incarnation, report);
            }
            NodeMessage::Grant(grant) => {
                let until = self.lease_until(now, &about.sender);
                self.holder.take_grant(&about.sender, &grant, until);
            }
            NodeMessage::Summary(summary) => self.take_summary(now, &summary, !home),
            NodeMessage::Members(list) => self.take_members(&list),
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

    fn take_heartbeat(
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

    fn take_summary(&mut self, now: Instant, summary: &CentreSummary, direct: bool) {
        if summary.data_centre != self.identity.data_centre {
            self.remotes.take(now, summary, direct);
        }
    }

    fn take_members(&mut self, list: &[(NodeId, DataCentreId, Box<str>)]) {
        for (_, data_centre, peer) in list {
            if *data_centre == self.identity.data_centre {
                self.add_contact(peer);
            }
        }
    }

    fn take_step(&mut self, peer: &str, step: LedgerStep) {
        self.note_step(&step);
        if let LedgerStep::Reply(message) = step {
            self.send(peer, message);
        }
    }

    fn note_step(&mut self, step: &LedgerStep) {
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

    fn note_live(&mut self, now: Instant) {
        let live: BTreeSet<NodeId> = self
            .members
            .entries()
            .keys()
            .filter(|name| self.members.is_live(now, name))
            .cloned()
            .collect();
        for name in live.difference(&self.last_live) {
            self.output.changes.push(format!("member {name} lives"));
        }
        for name in self.last_live.difference(&live) {
            self.output
                .changes
                .push(format!("member {name} is judged failed"));
            if let Some(entry) = self
                .members
                .entries()
                .get(name)
                .filter(|entry| !entry.leaving)
            {
                self.output.deaths.push((name.clone(), entry.incarnation));
            }
        }
        self.last_live = live;
    }
}

fn encode_head(head: &ConfigHead) -> Option<Box<str>> {
    serde_json::to_string(head).ok().map(Box::from)
}

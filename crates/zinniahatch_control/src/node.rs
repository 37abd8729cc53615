//! One node's tables, and the tick that runs the systems over them.

use crate::BackendTable;
use crate::CacheBelief;
use crate::ConfigLedger;
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
use crate::limits::RETELL_EVERY;
use crate::limits::SUMMARY_EVERY;
use crate::limits::SUMMARY_LINK;
use crate::members::owner_of;
use std::sync::Arc;
use zinniahatch_base::prelude::*;
use zinniahatch_base::rendezvous_rank;
use zinniahatch_config::ClusterConfig;
use zinniahatch_config::ConfigHead;
use zinniahatch_protocol::CentreSummary;
use zinniahatch_protocol::CountsNote;
use zinniahatch_protocol::EntryAddress;
use zinniahatch_protocol::HeartbeatNote;
use zinniahatch_protocol::NodeFrame;
use zinniahatch_protocol::NodeMessage;
use zinniahatch_protocol::PoolStatus;

mod pooling;
mod receiving;
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
    /// Members that are heard again after they were judged failed, or for the first time.
    pub returns: Vec<(NodeId, Incarnation)>,
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
    first_tick: Option<Instant>,
    last_tick: Option<Instant>,
    ranked: RankedKeepers,
    told_members: BTreeMap<NodeId, Instant>,
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
            first_tick: None,
            last_tick: None,
            ranked: RankedKeepers::default(),
            told_members: BTreeMap::new(),
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
        owners.sort_by_key(|name| std::cmp::Reverse(rendezvous_rank(duty, name)));
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

    /// Gives the node that does a duty about a member, which is never that member itself.
    pub fn duty_owner_about(&self, now: Instant, duty: &str, member: &str) -> Option<NodeId> {
        let mut owners = self.members.owners(now, self.leaving || !self.ready);
        owners.retain(|name| &**name != member);
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
        // Counted from the first tick: a process paused at its start has contacted nobody.
        let waited = self
            .first_tick
            .is_some_and(|at| now.duration_since(at) > CONTACT_WINDOW);
        self.contacts.is_empty() || waited
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

    fn own_address(&self) -> EntryAddress {
        EntryAddress {
            node: self.identity.node.clone(),
            http: self.identity.http.clone(),
            peer: self.identity.peer.clone(),
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
            if let Some(entry) = self.members.entries().get(name) {
                self.output.returns.push((name.clone(), entry.incarnation));
            }
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

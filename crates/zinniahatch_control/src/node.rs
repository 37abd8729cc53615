//! The control state of one node, and the tick that advances it.

use crate::BackendTable;
use crate::ConfigSyncer;
use crate::FailurePolicy;
use crate::LeaseTable;
use crate::MemberTable;
use crate::Placement;
use crate::PoolCoordinator;
use crate::PrefixCacheTable;
use crate::RemoteTable;
use crate::RoutePolicy;
use crate::limits::CONTACT_INTERVAL;
use crate::limits::DISCOVERY_TIME;
use crate::limits::HEARTBEAT_INTERVAL;
use crate::limits::REFRESH_INTERVAL;
use crate::limits::SUMMARY_INTERVAL;
use crate::limits::SUMMARY_INTERVAL_PER_LINK;
use crate::members::rendezvous_owner;
use std::sync::Arc;
use zinniahatch_base::prelude::*;
use zinniahatch_base::rendezvous_rank;
use zinniahatch_config::ClusterConfig;
use zinniahatch_config::ConfigHead;
use zinniahatch_protocol::DataCentreSummary;
use zinniahatch_protocol::EntryAddress;
use zinniahatch_protocol::Heartbeat;
use zinniahatch_protocol::NodeFrame;
use zinniahatch_protocol::NodeMessage;
use zinniahatch_protocol::PoolStatus;
use zinniahatch_protocol::SealedCounts;

mod pools;
mod receiving;
mod routing;
mod sending;

/// Maximum delay before a node pulls a revision that it has learned of.
const MAX_PULL_DELAY: Duration = Duration::from_millis(800);
/// Number of nodes per data centre that watch the configuration head in the store.
const STORE_WATCHERS: usize = 2;

/// Identity and addresses of this node.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    /// The name of the node.
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
    /// Start time in milliseconds since the epoch; timestamps of summaries and grants start here.
    pub epoch: u64,
}

/// A frame and its destination.
#[derive(Clone, Debug)]
pub struct OutboundFrame {
    /// The destination's address for control messages.
    pub to: Box<str>,
    /// The frame.
    pub frame: NodeFrame,
}

/// Output of a tick.
#[derive(Debug, Default)]
pub struct TickOutput {
    /// Frames to send.
    pub frames: Vec<OutboundFrame>,
    /// Addresses to which the transport opens a new connection.
    pub redials: Vec<Box<str>>,
    /// State changes to log.
    pub changes: Vec<String>,
    /// Counts received from members: sender, incarnation of the sender, counts.
    pub counts: Vec<(NodeId, Incarnation, SealedCounts)>,
    /// Members that failed without having announced that they leave.
    pub failed: Vec<(NodeId, Incarnation)>,
    /// Members that became alive: new ones, and ones that had been considered failed.
    pub recovered: Vec<(NodeId, Incarnation)>,
    /// Batches of this node's counts that are in the store: shard, incarnation, batch numbers.
    pub merged: Vec<(u16, Incarnation, Vec<u64>)>,
}

/// The coordinators of all pools, and the inputs they were computed from.
#[derive(Debug, Default)]
struct CoordinatorCache {
    eligible: Vec<NodeId>,
    revision: Revision,
    coordinators: BTreeMap<ServiceId, NodeId>,
}

/// The control state of one node.
pub struct ControlNode {
    identity: NodeIdentity,
    pub(crate) syncer: ConfigSyncer,
    pub(crate) members: MemberTable,
    pub(crate) leases: LeaseTable,
    pub(crate) coordinator: PoolCoordinator,
    pub(crate) remotes: RemoteTable,
    pub(crate) backends: BackendTable,
    pub(crate) prefix_caches: PrefixCacheTable,
    policy: RoutePolicy,
    random: u64,
    started: Instant,
    leaving: bool,
    ready: bool,
    contacts: BTreeMap<Box<str>, Option<Instant>>,
    remote_revisions: BTreeMap<Box<str>, Revision>,
    successor_of: Vec<(NodeId, Incarnation)>,
    pools: BTreeMap<ServiceId, PoolStatus>,
    announced_pools: BTreeMap<ServiceId, (PoolStatus, Instant)>,
    placements: Vec<(u64, Placement)>,
    outbox: BTreeMap<Box<str>, Vec<NodeMessage>>,
    output: TickOutput,
    next_heartbeat_at: Instant,
    next_summary: Instant,
    next_entries: Instant,
    expired_leases: u64,
    last_live: BTreeSet<NodeId>,
    first_tick: Option<Instant>,
    last_tick: Option<Instant>,
    coordinator_cache: CoordinatorCache,
    reported_members: BTreeMap<NodeId, Instant>,
}

impl ControlNode {
    /// Creates the state of a node that has just started.
    pub fn new(
        identity: NodeIdentity,
        seeds: &[Box<str>],
        now: Instant,
        failure_policy: FailurePolicy,
        policy: RoutePolicy,
    ) -> Self {
        let contacts = seeds
            .iter()
            .filter(|seed| ***seed != *identity.peer)
            .map(|seed| (seed.clone(), None))
            .collect();
        let mut syncer = ConfigSyncer::default();
        syncer.set_pull_delay(
            MAX_PULL_DELAY.mul_f64((identity.incarnation % 1_024) as f64 / 1_024.0),
        );
        Self {
            members: MemberTable::new(&identity.node, failure_policy),
            random: identity.incarnation | 1,
            identity,
            syncer,
            leases: LeaseTable::default(),
            coordinator: PoolCoordinator::default(),
            remotes: RemoteTable::default(),
            backends: BackendTable::default(),
            prefix_caches: PrefixCacheTable::default(),
            policy,
            started: now,
            leaving: false,
            ready: false,
            contacts,
            remote_revisions: BTreeMap::new(),
            successor_of: Vec::new(),
            pools: BTreeMap::new(),
            announced_pools: BTreeMap::new(),
            placements: Vec::new(),
            outbox: BTreeMap::new(),
            output: TickOutput::default(),
            next_heartbeat_at: now,
            next_summary: now,
            next_entries: now,
            expired_leases: 0,
            last_live: BTreeSet::new(),
            first_tick: None,
            last_tick: None,
            coordinator_cache: CoordinatorCache::default(),
            reported_members: BTreeMap::new(),
        }
    }

    /// Returns the identity of this node.
    pub fn identity(&self) -> &NodeIdentity {
        &self.identity
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Arc<ClusterConfig> {
        Arc::clone(self.syncer.config())
    }

    /// Returns the configuration syncer.
    pub fn syncer(&self) -> &ConfigSyncer {
        &self.syncer
    }

    /// Returns the members of the data centre.
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// Returns the slot leases of this node.
    pub fn leases(&self) -> &LeaseTable {
        &self.leases
    }

    /// Returns the coordinator of the pools that this node coordinates.
    pub fn coordinator(&self) -> &PoolCoordinator {
        &self.coordinator
    }

    /// Returns the other data centres.
    pub fn remotes(&self) -> &RemoteTable {
        &self.remotes
    }

    /// Returns the other data centres, to store addresses from the directory.
    pub fn remotes_mut(&mut self) -> &mut RemoteTable {
        &mut self.remotes
    }

    /// Returns the backend servers, to apply statuses from polls and requests.
    pub fn backends_mut(&mut self) -> &mut BackendTable {
        &mut self.backends
    }

    /// Returns the prefix cache records, to record what responses report.
    pub fn prefix_caches_mut(&mut self) -> &mut PrefixCacheTable {
        &mut self.prefix_caches
    }

    /// Returns the last known statuses of this data centre's pools.
    pub fn pools(&self) -> &BTreeMap<ServiceId, PoolStatus> {
        &self.pools
    }

    /// Returns whether this node is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns whether this node serves requests.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns how many leases of this node have expired.
    pub fn expired_leases(&self) -> u64 {
        self.expired_leases
    }

    /// Returns whether this node is one of the `count` nodes that hold a role in the data centre.
    pub fn holds_role(&self, now: Instant, role: &str, count: usize) -> bool {
        let mut eligible = self
            .members
            .eligible_members(now, self.leaving || !self.ready);
        eligible.sort_by_key(|name| std::cmp::Reverse(rendezvous_rank(role, name)));
        eligible
            .iter()
            .take(count)
            .any(|name| *name == self.identity.node)
    }

    /// Returns whether this node watches the configuration head in the store.
    pub fn is_watcher(&self, now: Instant) -> bool {
        self.holds_role(now, "watch", STORE_WATCHERS)
    }

    /// Returns whether this node coordinates a service's pool.
    pub fn coordinates(&self, now: Instant, service: &str) -> bool {
        let eligible = self
            .members
            .eligible_members(now, self.leaving || !self.ready);
        rendezvous_owner(service, &eligible).is_some_and(|name| *name == self.identity.node)
    }

    /// Returns the node that holds a role in the data centre.
    pub fn role_holder(&self, now: Instant, role: &str) -> Option<NodeId> {
        let eligible = self
            .members
            .eligible_members(now, self.leaving || !self.ready);
        rendezvous_owner(role, &eligible).cloned()
    }

    /// Returns the node that holds a role concerning a member, which is never that member itself.
    pub fn role_holder_except(&self, now: Instant, role: &str, member: &str) -> Option<NodeId> {
        let mut eligible = self
            .members
            .eligible_members(now, self.leaving || !self.ready);
        eligible.retain(|name| &**name != member);
        rendezvous_owner(role, &eligible).cloned()
    }

    /// Queues a message for a member, or processes it directly if the member is this node.
    pub fn send_to(&mut self, now: Instant, node: &NodeId, message: NodeMessage) {
        self.deliver(now, node, message);
    }

    /// Returns the entry VMs of this data centre that accept requests, including this one.
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

    /// Returns the newest configuration revision seen here or on nodes of other data centres.
    pub fn newest_seen(&self) -> Revision {
        let newest_remote = self.remote_revisions.values().copied().max().unwrap_or(0);
        newest_remote.max(self.syncer.revision())
    }

    /// Returns whether all contacts have replied or had time to do so.
    pub fn discovery_done(&self, now: Instant) -> bool {
        // Counts from the first tick: a process paused during its start has contacted no node yet.
        let waited = self
            .first_tick
            .is_some_and(|at| now.duration_since(at) > DISCOVERY_TIME);
        self.contacts.is_empty() || waited
    }

    /// Marks this node as ready to serve requests.
    pub fn set_ready(&mut self) {
        self.ready = true;
    }

    /// Marks this node as leaving and announces it in the next tick.
    pub fn set_leaving(&mut self, now: Instant) {
        self.leaving = true;
        self.next_heartbeat_at = now;
    }

    /// Records that this node took over the idempotency keys of another, and announces it.
    pub fn add_succession(&mut self, now: Instant, node: NodeId, incarnation: Incarnation) {
        self.successor_of.push((node, incarnation));
        self.next_heartbeat_at = now;
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

    /// Applies a head and parts from the store and returns the digests of missing parts.
    pub fn apply_stored_config(&mut self, head: ConfigHead, texts: Vec<Box<str>>) -> Vec<PartHash> {
        let step = self.syncer.apply_head(head);
        self.log_step(&step);
        let step = self.syncer.apply_parts(texts);
        self.log_step(&step);
        self.syncer.missing()
    }

    /// Queues a message for the node at an address; the next tick sends it.
    pub fn send(&mut self, to: &str, message: NodeMessage) {
        self.outbox.entry(to.into()).or_default().push(message);
    }

    /// Advances the state and returns the frames to send.
    pub fn tick(&mut self, now: Instant) -> TickOutput {
        self.detect_pause(now);
        let redials = self.members.sweep(now);
        self.output.redials.extend(redials);
        self.track_liveness(now);
        let expired = {
            let lease = |coordinator: &str| self.lease_expiry(now, coordinator);
            let expiries: BTreeMap<NodeId, Option<Instant>> = self
                .leases
                .coordinators()
                .map(|coordinator| (coordinator.clone(), lease(coordinator)))
                .collect();
            self.leases
                .renew(now, |node| expiries.get(node).copied().flatten())
        };
        self.expired_leases += u64::from(expired);
        let coordinators = self.coordinators(now);
        if self.discovery_done(now) {
            for service in self.leases.update_coordinators(now, &coordinators) {
                self.backends.clear_reported_unusable(&service);
            }
        }
        // Runs before the reports, so that a slot that is reused at once is not reported as free.
        self.process_queues(now);
        self.run_pools(now, &coordinators);
        self.process_queues(now);
        self.send_updates(now);
        self.build_output()
    }

    /// Returns the placements of queued requests since the last call.
    pub fn take_placements(&mut self) -> Vec<(u64, Placement)> {
        std::mem::take(&mut self.placements)
    }

    fn own_address(&self) -> EntryAddress {
        EntryAddress {
            node: self.identity.node.clone(),
            http: self.identity.http.clone(),
            peer: self.identity.peer.clone(),
        }
    }

    fn track_liveness(&mut self, now: Instant) {
        let alive: BTreeSet<NodeId> = self
            .members
            .entries()
            .keys()
            .filter(|name| self.members.is_live(now, name))
            .cloned()
            .collect();
        for name in alive.difference(&self.last_live) {
            self.output.changes.push(format!("member {name} is alive"));
            if let Some(entry) = self.members.entries().get(name) {
                self.output
                    .recovered
                    .push((name.clone(), entry.incarnation));
            }
        }
        for name in self.last_live.difference(&alive) {
            self.output
                .changes
                .push(format!("member {name} has failed"));
            if let Some(entry) = self
                .members
                .entries()
                .get(name)
                .filter(|entry| !entry.leaving)
            {
                self.output.failed.push((name.clone(), entry.incarnation));
            }
        }
        self.last_live = alive;
    }
}

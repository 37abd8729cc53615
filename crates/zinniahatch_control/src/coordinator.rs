//! Pool coordinator: leases the slots of a service to the nodes of the data centre.
//!
//! A pool is one service in one data centre. Its coordinator is the member with the highest
//! rendezvous rank. A new coordinator sends no grants until every reachable member has reported
//! the slots it holds.

use crate::BackendTable;
use crate::allocation::AllocationInput;
use crate::allocation::allocate;
use crate::limits::GRANT_RESEND_INTERVAL;
use crate::limits::LEASE_MARGIN;
use crate::limits::LEASE_TTL;
use crate::limits::SUSPECT_AFTER;
use zinniahatch_base::prelude::*;
use zinniahatch_config::ClusterConfig;
use zinniahatch_protocol::PoolStatus;
use zinniahatch_protocol::SlotGrant;
use zinniahatch_protocol::SlotReport;

/// Inputs of the coordinator from the rest of the node.
pub struct CoordinatorView<'a> {
    /// The current time.
    pub now: Instant,
    /// Milliseconds since the epoch. Grant numbers are at least this, so that they also increase
    /// across restarts and pauses of a coordinator.
    pub stamp: u64,
    /// This node's data centre.
    pub data_centre: &'a str,
    /// The configuration.
    pub config: &'a ClusterConfig,
    /// Status of the backend servers.
    pub backends: &'a BackendTable,
    /// All known members, including this node and silent ones, and when each was last heard from.
    pub known: &'a BTreeMap<NodeId, Instant>,
    /// The services whose pools this node coordinates.
    pub coordinated: &'a BTreeSet<ServiceId>,
}

/// The pools that this node coordinates.
#[derive(Debug, Default)]
pub struct PoolCoordinator {
    pools: BTreeMap<ServiceId, PoolState>,
}

/// State of one coordinated pool.
#[derive(Debug)]
pub(crate) struct PoolState {
    created_at: Instant,
    granting: bool,
    dirty: bool,
    contended: bool,
    pub(crate) holders: BTreeMap<NodeId, HolderState>,
    pub(crate) credits: BTreeMap<ShortTag, f64>,
    pub(crate) last_allocation: Instant,
    slots: BTreeMap<ShortTag, u16>,
    ceilings: BTreeMap<ShortTag, u32>,
    ceiling_until: Option<Instant>,
}

/// The lease of one node on a pool.
#[derive(Debug)]
pub(crate) struct HolderState {
    incarnation: Incarnation,
    reported_at: Instant,
    pub(crate) report: SlotReport,
    pub(crate) limits: BTreeMap<ShortTag, u16>,
    /// Slots that the node may be using: at least its previous limit until it has applied a lower
    /// one.
    pub(crate) committed: BTreeMap<ShortTag, u16>,
    grant: Option<SlotGrant>,
    number: u64,
    next_send: Instant,
}

impl PoolCoordinator {
    /// Returns the statuses of the coordinated pools whose lease holders are known.
    pub fn statuses(&self, view: &CoordinatorView<'_>) -> Vec<PoolStatus> {
        self.pools
            .iter()
            .filter(|(_, pool)| pool.granting)
            .map(|(service, pool)| pool.status(service, view))
            .collect()
    }

    /// Returns how many slots of each backend server of a pool are committed to lease holders.
    pub fn committed(&self, service: &str) -> BTreeMap<ShortTag, u32> {
        self.pools
            .get(service)
            .map(|pool| committed_sums(&pool.holders))
            .unwrap_or_default()
    }

    /// Applies the report of a lease holder.
    pub fn apply_report(
        &mut self,
        now: Instant,
        sender: &NodeId,
        incarnation: Incarnation,
        report: SlotReport,
    ) {
        let Some(pool) = self.pools.get_mut(&report.service) else {
            return;
        };
        pool.dirty = true;
        let known = pool
            .holders
            .get(sender)
            .is_some_and(|holder| holder.incarnation == incarnation);
        if !known {
            let holder = HolderState::from_first_report(now, incarnation, report);
            pool.holders.insert(sender.clone(), holder);
            return;
        }
        if let Some(holder) = pool.holders.get_mut(sender) {
            holder.apply_report(now, report);
        }
    }

    /// Updates the coordinated pools and returns the grants to send.
    pub fn step(&mut self, view: &CoordinatorView<'_>) -> Vec<(NodeId, SlotGrant)> {
        self.pools
            .retain(|service, _| view.coordinated.contains(service));
        let mut grants = Vec::new();
        for service in view.coordinated {
            let pool = self
                .pools
                .entry(service.clone())
                .or_insert_with(|| PoolState::new(view.now));
            pool.expire_silent_holders(view);
            if !pool.start_granting(view) {
                continue;
            }
            let slots = pool.grantable_slots(service, view);
            if slots != pool.slots {
                pool.slots = slots;
                pool.dirty = true;
            }
            if pool.dirty {
                pool.dirty = false;
                pool.reallocate(service, view.now, view.stamp);
            }
            pool.collect_due_grants(view.now, &mut grants);
        }
        grants
    }
}

impl PoolState {
    fn new(now: Instant) -> Self {
        Self {
            created_at: now,
            granting: false,
            dirty: true,
            contended: false,
            holders: BTreeMap::new(),
            credits: BTreeMap::new(),
            last_allocation: now,
            slots: BTreeMap::new(),
            ceilings: BTreeMap::new(),
            ceiling_until: None,
        }
    }

    fn status(&self, service: &ServiceId, view: &CoordinatorView<'_>) -> PoolStatus {
        let capacity: u32 = self.slots.values().map(|slots| u32::from(*slots)).sum();
        let mut running = 0_u32;
        let mut waiting = 0_u32;
        let mut hold = (0_u64, 0_u64);
        for holder in self.holders.values() {
            running += holder.running();
            waiting += holder.waiting();
            if holder.report.hold_ms > 0 {
                hold = (hold.0 + u64::from(holder.report.hold_ms), hold.1 + 1);
            }
        }
        let unusable = view
            .config
            .backends_in(service, view.data_centre)
            .map(|(name, _)| tag_of(name))
            .filter(|tag| !self.slots.contains_key(tag))
            .collect();
        PoolStatus {
            service: service.clone(),
            capacity,
            free: capacity.saturating_sub(running),
            waiting,
            hold_ms: hold.0.checked_div(hold.1).unwrap_or(0) as u32,
            unusable,
        }
    }

    /// Removes lease holders that have been silent for longer than a lease.
    ///
    /// Such a holder has stopped using its slots: its lease runs from when it sent its last echoed
    /// heartbeat, which is before the coordinator received that heartbeat.
    fn expire_silent_holders(&mut self, view: &CoordinatorView<'_>) {
        let before = self.holders.len();
        self.holders.retain(|name, holder| {
            let last_heard = view
                .known
                .get(name)
                .copied()
                .unwrap_or(holder.reported_at)
                .max(holder.reported_at);
            view.now.duration_since(last_heard) <= LEASE_TTL + LEASE_MARGIN
        });
        self.dirty |= before != self.holders.len();
    }

    /// Starts granting once every reachable member has reported; returns whether it has started.
    ///
    /// The slots of a silent member are unknown: it may have failed, or be partitioned and still
    /// use its slots. All slots that the other members have not reported count as held by it until
    /// its lease has expired. So the others keep their slots and no slot is leased twice.
    fn start_granting(&mut self, view: &CoordinatorView<'_>) -> bool {
        if self.granting {
            return true;
        }
        let unreported: Vec<Instant> = view
            .known
            .iter()
            .filter(|(name, _)| !self.holders.contains_key(*name))
            .map(|(_, last_heard)| *last_heard)
            .collect();
        let awaited = unreported
            .iter()
            .any(|last_heard| view.now.duration_since(*last_heard) <= SUSPECT_AFTER);
        if awaited && view.now.duration_since(self.created_at) <= LEASE_TTL + LEASE_MARGIN {
            return false;
        }
        self.granting = true;
        if let Some(latest_heard) = unreported.iter().max() {
            self.ceilings = committed_sums(&self.holders);
            self.ceiling_until = Some(*latest_heard + LEASE_TTL + LEASE_MARGIN);
        }
        true
    }

    /// Returns the slots that may be granted now.
    fn grantable_slots(
        &mut self,
        service: &ServiceId,
        view: &CoordinatorView<'_>,
    ) -> BTreeMap<ShortTag, u16> {
        let mut slots = usable_slots(service, view);
        if self.ceiling_until.is_none_or(|until| view.now >= until) {
            self.ceiling_until = None;
            return slots;
        }
        for (replica, count) in &mut slots {
            let ceiling = self.ceilings.get(replica).copied().unwrap_or(0);
            *count = (*count).min(ceiling as u16);
        }
        slots
    }

    fn reallocate(&mut self, service: &ServiceId, now: Instant, stamp: u64) {
        let output = allocate(AllocationInput {
            now,
            slots: &self.slots,
            pool_holders: &self.holders,
            credits: &mut self.credits,
            last_allocation: self.last_allocation,
        });
        self.last_allocation = now;
        self.contended = output.contended;
        for (name, limits, quotas) in output.holders {
            let Some(holder) = self.holders.get_mut(&name) else {
                continue;
            };
            holder.set_grant(service, (now, stamp), limits, output.contended, quotas);
        }
    }

    fn collect_due_grants(&mut self, now: Instant, grants: &mut Vec<(NodeId, SlotGrant)>) {
        for (name, holder) in &mut self.holders {
            let Some(grant) = &holder.grant else {
                continue;
            };
            let applied = holder.report.applied >= grant.number;
            if applied || now < holder.next_send {
                continue;
            }
            holder.next_send = now + GRANT_RESEND_INTERVAL;
            grants.push((name.clone(), grant.clone()));
        }
    }
}

impl HolderState {
    /// Creates the state from a holder's first report; slots granted by the previous coordinator
    /// count as committed.
    fn from_first_report(now: Instant, incarnation: Incarnation, report: SlotReport) -> Self {
        let mut limits = BTreeMap::new();
        let mut committed = BTreeMap::new();
        for held in &report.slots {
            limits.insert(held.replica, held.limit);
            committed.insert(held.replica, held.limit.max(held.running));
        }
        Self {
            incarnation,
            reported_at: now,
            report,
            limits,
            committed,
            grant: None,
            number: 0,
            next_send: now,
        }
    }

    pub(crate) fn running(&self) -> u32 {
        self.report
            .slots
            .iter()
            .map(|held| u32::from(held.running))
            .sum()
    }

    pub(crate) fn waiting(&self) -> u32 {
        self.report
            .tenants
            .iter()
            .map(|load| u32::from(load.waiting))
            .sum()
    }

    /// Returns the node's quota for a tenant, if any.
    pub(crate) fn quota_of(&self, tenant: ShortTag) -> Option<u16> {
        let grant = self.grant.as_ref().filter(|grant| grant.contended)?;
        let entry = grant.quotas.iter().find(|(known, _)| *known == tenant);
        entry.map(|(_, quota)| *quota)
    }

    fn apply_report(&mut self, now: Instant, report: SlotReport) {
        self.reported_at = now;
        if report.applied >= self.number {
            self.committed.clone_from(&self.limits);
            for held in &report.slots {
                let count = self.committed.entry(held.replica).or_default();
                *count = (*count).max(held.running);
            }
            self.committed.retain(|_, count| *count > 0);
        } else {
            // A grant sent before a pause of this coordinator may have reached the holder late.
            for held in &report.slots {
                let count = self.committed.entry(held.replica).or_default();
                *count = (*count).max(held.limit).max(held.running);
            }
        }
        self.report = report;
    }

    fn set_grant(
        &mut self,
        service: &ServiceId,
        (now, stamp): (Instant, u64),
        limits: BTreeMap<ShortTag, u16>,
        contended: bool,
        quotas: Vec<(ShortTag, u16)>,
    ) {
        let same = self.limits == limits
            && self
                .grant
                .as_ref()
                .is_some_and(|grant| grant.contended == contended && grant.quotas == quotas);
        if same {
            return;
        }
        // A holder ignores numbers that do not increase, and its report of an old number must not
        // be taken as confirmation of a new grant.
        self.number = (self.number + 1).max(stamp);
        self.next_send = now;
        for (replica, limit) in &limits {
            let count = self.committed.entry(*replica).or_default();
            *count = (*count).max(*limit);
        }
        self.grant = Some(SlotGrant {
            service: service.clone(),
            number: self.number,
            limits: limits
                .iter()
                .map(|(replica, limit)| (*replica, *limit))
                .collect(),
            contended,
            quotas,
        });
        self.limits = limits;
    }
}

fn committed_sums(holders: &BTreeMap<NodeId, HolderState>) -> BTreeMap<ShortTag, u32> {
    let mut sums = BTreeMap::new();
    for holder in holders.values() {
        for (replica, count) in &holder.committed {
            *sums.entry(*replica).or_default() += u32::from(*count);
        }
    }
    sums
}

fn usable_slots(service: &ServiceId, view: &CoordinatorView<'_>) -> BTreeMap<ShortTag, u16> {
    let mut slots = BTreeMap::new();
    for (name, backend) in view.config.backends_in(service, view.data_centre) {
        let tag = tag_of(name);
        if !view.backends.is_usable_locally(view.now, tag) {
            continue;
        }
        let reported = view.backends.reported_slots(tag).unwrap_or(backend.slots);
        slots.insert(tag, reported.min(backend.slots));
    }
    slots
}

//! The slots leased to this node from each pool, and the requests queued for them.

use crate::BackendTable;
use crate::PlacementQuery;
use crate::PrefixCacheTable;
use crate::SlotPermit;
use crate::cache::top_ranked_replica;
use crate::limits::MIN_REPORT_INTERVAL;
use crate::limits::REPORT_INTERVAL;
use crate::pool_lease::LeasedSlots;
use crate::pool_lease::PoolLease;
use crate::pool_lease::tenant_of;
use zinniahatch_base::prelude::*;
use zinniahatch_config::ClusterConfig;
use zinniahatch_protocol::SlotGrant;
use zinniahatch_protocol::SlotReport;

/// Smoothing factor of the moving average of the hold time.
const HOLD_SMOOTHING: f64 = 0.05;
/// Score penalty, in seconds, of a fully loaded backend server; it spreads load.
const FULL_LOAD_SECONDS: f64 = 0.5;
/// Uncached prompt tokens that an engine prefills per second.
const PREFILL_RATE: f64 = 8_000.0;

/// Inputs for choosing a slot.
pub(crate) struct LeaseView<'a> {
    pub(crate) now: Instant,
    pub(crate) data_centre: &'a str,
    pub(crate) config: &'a ClusterConfig,
    pub(crate) backends: &'a BackendTable,
    pub(crate) prefix_caches: &'a PrefixCacheTable,
}

/// A candidate slot and the score of using it.
pub(crate) struct SlotChoice {
    pub(crate) replica: ReplicaId,
    pub(crate) score: f64,
}

/// The leases of this node on all pools.
#[derive(Debug, Default)]
pub struct LeaseTable {
    pools: BTreeMap<ServiceId, PoolLease>,
}

impl LeaseTable {
    /// Returns the leased slots of a pool.
    pub fn slots(&self, service: &str) -> BTreeMap<ShortTag, LeasedSlots> {
        self.pools
            .get(service)
            .map(|pool| pool.slots.clone())
            .unwrap_or_default()
    }

    /// Returns the number of queued requests of a service.
    pub fn waiting(&self, service: &str) -> usize {
        self.pools.get(service).map_or(0, |pool| pool.queue.len())
    }

    /// Returns the number of running requests of a service.
    pub fn running(&self, service: &str) -> u32 {
        self.pools.get(service).map_or(0, PoolLease::running_total)
    }

    /// Returns the coordinator that leases a pool's slots.
    pub fn coordinator(&self, service: &str) -> Option<&NodeId> {
        self.pools.get(service).map(|pool| &pool.coordinator)
    }

    pub(crate) fn coordinators(&self) -> impl Iterator<Item = &NodeId> {
        self.pools.values().map(|pool| &pool.coordinator)
    }

    pub(crate) fn hold_seconds(&self, service: &str) -> Option<f64> {
        self.pools.get(service).and_then(|pool| pool.hold)
    }

    pub(crate) fn has_guest_capacity(&self, service: &str, share: f64) -> bool {
        self.pools.get(service).is_some_and(|pool| {
            let limit: u32 = pool.slots.values().map(|slot| u32::from(slot.limit)).sum();
            f64::from(pool.guests) < f64::from(limit) * share
        })
    }

    /// Returns the best free leased slot for a request, if any.
    pub(crate) fn choose(
        &self,
        query: &PlacementQuery,
        view: &LeaseView<'_>,
    ) -> Option<SlotChoice> {
        let pool = self.pools.get(&query.service)?;
        // Compares with the current time: the process may have been paused since the last tick.
        if view.now >= pool.lease_expiry {
            return None;
        }
        let candidates: Vec<(&ReplicaId, ShortTag, LeasedSlots)> = view
            .config
            .backends_in(&query.service, view.data_centre)
            .map(|(name, _)| {
                (
                    name,
                    tag_of(name),
                    pool.slots.get(&tag_of(name)).copied().unwrap_or_default(),
                )
            })
            .filter(|(_, tag, slot)| {
                slot.limit > slot.running
                    && !query.avoid.contains(tag)
                    && view.backends.is_usable(view.now, *tag)
            })
            .collect();
        let first = top_ranked_replica(query.prefix, candidates.iter().map(|(_, tag, _)| *tag));
        let mut best: Option<SlotChoice> = None;
        for (name, tag, slot) in candidates {
            let cached = view.prefix_caches.expected_tokens(
                view.now,
                query.prefix,
                tag,
                first == Some(tag),
                query.prompt,
            );
            let load = f64::from(slot.running) / f64::from(slot.limit);
            let score = placement_score(
                view.config,
                query,
                cached,
                load * load * FULL_LOAD_SECONDS,
                false,
            );
            if best.as_ref().is_none_or(|choice| score < choice.score) {
                best = Some(SlotChoice {
                    replica: name.clone(),
                    score,
                });
            }
        }
        best
    }

    /// Returns whether a new request may start without queueing.
    pub(crate) fn may_start(&self, query: &PlacementQuery) -> bool {
        let Some(pool) = self.pools.get(&query.service) else {
            return false;
        };
        pool.queue.is_empty() && (!pool.contended || pool.under_quota(tenant_of(query)))
    }

    pub(crate) fn start(
        &mut self,
        now: Instant,
        query: &PlacementQuery,
        replica: ReplicaId,
    ) -> SlotPermit {
        let tenant = tenant_of(query);
        if let Some(pool) = self.pools.get_mut(&query.service) {
            pool.slots.entry(tag_of(&replica)).or_default().running += 1;
            *pool.running.entry(tenant).or_default() += 1;
            pool.guests += u32::from(query.guest);
        }
        SlotPermit {
            service: query.service.clone(),
            replica,
            tenant,
            issued_at: now,
            guest: query.guest,
        }
    }

    /// Releases a slot and returns whether a tick should run at once.
    pub(crate) fn finish(&mut self, now: Instant, permit: &SlotPermit, refused: bool) -> bool {
        let Some(pool) = self.pools.get_mut(&permit.service) else {
            return false;
        };
        let tag = tag_of(&permit.replica);
        if let Some(slot) = pool.slots.get_mut(&tag) {
            slot.running = slot.running.saturating_sub(1);
            // A lowered limit takes effect as the requests in excess of it finish.
            pool.urgent |= slot.running >= slot.limit;
            pool.urgent |= !pool.queue.is_empty();
        }
        if let Some(count) = pool.running.get_mut(&permit.tenant) {
            *count = count.saturating_sub(1);
        }
        pool.running.retain(|_, count| *count > 0);
        pool.guests = pool.guests.saturating_sub(u32::from(permit.guest));
        if refused {
            pool.refused.insert(tag);
            pool.urgent = true;
            return true;
        }
        let held_for = now.duration_since(permit.issued_at).as_secs_f64();
        pool.hold = Some(
            pool.hold
                .map_or(held_for, |hold| hold + HOLD_SMOOTHING * (held_for - hold)),
        );
        pool.urgent
    }

    /// Queues a request; the pool's coordinator need not be known yet.
    pub(crate) fn enqueue(&mut self, now: Instant, query: PlacementQuery, weight: f64) {
        let unknown = NodeId::default();
        let pool = self
            .pools
            .entry(query.service.clone())
            .or_insert_with(|| PoolLease::new(now, &unknown));
        pool.weights.insert(tenant_of(&query), weight);
        pool.queue.push(query);
        pool.urgent = true;
    }

    /// Requests an immediate report if a slot of a contended pool is idle although requests are
    /// queued here: they lack quota for it, but requests on another node may have quota.
    pub(crate) fn report_if_idle(&mut self, service: &str) {
        if let Some(pool) = self.pools.get_mut(service) {
            let idle = pool.slots.values().any(|slot| slot.limit > slot.running);
            pool.urgent |= pool.contended && idle;
        }
    }

    /// Removes a request from its queue.
    pub(crate) fn withdraw(&mut self, service: &str, number: u64) -> Option<PlacementQuery> {
        let pool = self.pools.get_mut(service)?;
        let index = pool.queue.iter().position(|query| query.number == number)?;
        pool.urgent = true;
        Some(pool.queue.remove(index))
    }

    /// Returns the services that have queued requests.
    pub(crate) fn waiting_services(&self) -> Vec<ServiceId> {
        self.pools
            .iter()
            .filter(|(_, pool)| !pool.queue.is_empty())
            .map(|(service, _)| service.clone())
            .collect()
    }

    /// Returns the queued requests of a service in scheduling order.
    ///
    /// The tenant with the fewest running requests relative to its weight goes first; within a
    /// tenant, the earliest deadline.
    pub(crate) fn scheduling_order(&self, service: &str) -> Vec<PlacementQuery> {
        let Some(pool) = self.pools.get(service) else {
            return Vec::new();
        };
        let mut order: Vec<&PlacementQuery> = pool
            .queue
            .iter()
            .filter(|query| !pool.contended || pool.under_quota(tenant_of(query)))
            .collect();
        let load_level = |query: &PlacementQuery| {
            let tenant = tenant_of(query);
            let running = pool.running.get(&tenant).copied().unwrap_or(0);
            f64::from(running) / pool.weights.get(&tenant).copied().unwrap_or(1.0)
        };
        order.sort_by(|one, other| {
            load_level(one)
                .total_cmp(&load_level(other))
                .then(one.deadline.cmp(&other.deadline))
        });
        order.into_iter().cloned().collect()
    }

    /// Returns every queued request of a service.
    pub(crate) fn queue(&self, service: &str) -> &[PlacementQuery] {
        self.pools.get(service).map_or(&[], |pool| &pool.queue)
    }

    /// Returns how many requests are queued ahead of a new one on this node.
    pub(crate) fn queued_ahead(&self, service: &str) -> u32 {
        self.pools
            .get(service)
            .map_or(0, |pool| pool.queue.len() as u32)
    }

    /// Applies the current coordinators; a new coordinator gets a report at once.
    ///
    /// Returns the services whose coordinator changed.
    pub(crate) fn update_coordinators(
        &mut self,
        now: Instant,
        coordinators: &BTreeMap<ServiceId, NodeId>,
    ) -> Vec<ServiceId> {
        let mut changed = Vec::new();
        for (service, coordinator) in coordinators {
            let pool = self
                .pools
                .entry(service.clone())
                .or_insert_with(|| PoolLease::new(now, coordinator));
            if pool.coordinator == *coordinator {
                continue;
            }
            pool.coordinator.clone_from(coordinator);
            pool.applied = 0;
            pool.reported_at = None;
            pool.urgent = true;
            changed.push(service.clone());
        }
        changed
    }

    /// Applies a grant; grants from nodes other than the coordinator are ignored.
    pub(crate) fn apply_grant(
        &mut self,
        sender: &str,
        grant: &SlotGrant,
        lease_expiry: Option<Instant>,
    ) {
        let Some(pool) = self.pools.get_mut(&grant.service) else {
            return;
        };
        if &*pool.coordinator != sender || grant.number <= pool.applied {
            return;
        }
        pool.applied = grant.number;
        if let Some(until) = lease_expiry {
            pool.lease_expiry = pool.lease_expiry.max(until);
        }
        pool.contended = grant.contended;
        pool.quotas = grant.quotas.iter().copied().collect();
        for slot in pool.slots.values_mut() {
            slot.limit = 0;
        }
        for (replica, limit) in &grant.limits {
            pool.slots.entry(*replica).or_default().limit = *limit;
        }
        pool.slots
            .retain(|_, slot| slot.limit > 0 || slot.running > 0);
        pool.urgent = true;
    }

    /// Renews the leases and drops the limits of expired ones; running requests continue.
    ///
    /// Returns the number of expired leases.
    pub(crate) fn renew(&mut self, now: Instant, lease: impl Fn(&str) -> Option<Instant>) -> u32 {
        let mut expired = 0;
        for pool in self.pools.values_mut() {
            if let Some(until) = lease(&pool.coordinator) {
                pool.lease_expiry = pool.lease_expiry.max(until);
            }
            if now < pool.lease_expiry || pool.slots.values().all(|slot| slot.limit == 0) {
                continue;
            }
            pool.drop_limits();
            expired += 1;
        }
        expired
    }

    /// Drops every limit after a pause, in which the slots may have been leased to other nodes.
    pub(crate) fn drop_all_limits(&mut self) {
        for pool in self.pools.values_mut() {
            pool.drop_limits();
        }
    }

    /// Returns the due reports, each with the coordinator it goes to.
    pub(crate) fn reports(&mut self, now: Instant) -> Vec<(NodeId, SlotReport)> {
        let mut reports = Vec::new();
        for (service, pool) in &mut self.pools {
            let since = pool.reported_at.map(|at| now.duration_since(at));
            let due = match since {
                None => true,
                Some(gap) => gap >= REPORT_INTERVAL || (pool.urgent && gap >= MIN_REPORT_INTERVAL),
            };
            if !due {
                continue;
            }
            pool.reported_at = Some(now);
            pool.urgent = false;
            reports.push((pool.coordinator.clone(), pool.report(service)));
        }
        reports
    }
}

/// Returns the score of a placement: its cost and delay weighted by the preset; lower is better.
pub(crate) fn placement_score(
    config: &ClusterConfig,
    query: &PlacementQuery,
    cached: f64,
    wait: f64,
    away: bool,
) -> f64 {
    let preset = config.preset();
    let money = config
        .prices
        .get(&query.service)
        .map_or(0.0, |rate| rate.cost(query.prompt, cached as u64, 0, away));
    let prefill = (query.prompt as f64 - cached).max(0.0) / PREFILL_RATE;
    preset.cost_weight * money + preset.tail_weight * (wait + prefill)
}

//! Placement of requests: local slot, other data centre, queue or refusal.

use super::ControlNode;
use crate::Placement;
use crate::PlacementQuery;
use crate::PlacementScope;
use crate::RoutePolicy;
use crate::SlotPermit;
use crate::lease_table::LeaseView;
use crate::lease_table::SlotChoice;
use crate::lease_table::placement_score;
use zinniahatch_base::prelude::*;
use zinniahatch_base::rendezvous_rank;

/// Minimum retry time sent to refused callers.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Maximum retry time sent to refused callers.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Maximum number of candidate entry VMs for forwarding a request.
const MAX_FORWARD_ENTRIES: usize = 3;

/// A candidate data centre for a request, with its score and load.
struct RemoteChoice {
    data_centre: DataCentreId,
    score: f64,
    load: f64,
}

impl ControlNode {
    /// Decides the placement of a new request.
    pub fn place(&mut self, now: Instant, query: &PlacementQuery) -> Placement {
        if query.guest && !self.has_guest_capacity(query) {
            return Placement::Refuse(ResultCode::QueueFull, MIN_RETRY_AFTER);
        }
        let may_start = self.leases.may_start(query);
        let local = if may_start {
            self.choose_local(now, query)
        } else {
            None
        };
        let remote = self.choose_remote(now, query);
        let wait = self.expected_wait(&query.service);
        match self.choose_placement(now, query, local, remote, wait) {
            Some(placement) => placement,
            None => self.wait_or_refuse(now, query, wait),
        }
    }

    /// Releases a slot; `refused` tells that the backend server did not accept the request.
    ///
    /// Returns whether a tick should run at once, for example because requests are queued.
    pub fn finish(&mut self, now: Instant, permit: &SlotPermit, refused: bool) -> bool {
        self.leases.finish(now, permit, refused)
    }

    /// Removes a queued request whose caller has disconnected.
    pub fn withdraw(&mut self, service: &str, number: u64) -> bool {
        self.leases.withdraw(service, number).is_some()
    }

    /// Records that another data centre refused a forwarded request.
    pub fn record_remote_refusal(&mut self, now: Instant, data_centre: &str, service: &ServiceId) {
        self.remotes.record_refusal(now, data_centre, service);
    }

    /// Returns the expected queueing time of a new request of a service.
    pub fn expected_wait(&self, service: &str) -> Duration {
        let config = self.syncer.config();
        let typical = config
            .services
            .get(service)
            .map_or(1.0, |entry| entry.typical_hold.as_secs_f64());
        let Some(pool) = self.pools.get(service) else {
            return Duration::ZERO;
        };
        let hold = match (pool.hold_ms, self.leases.hold_seconds(service)) {
            (0, measured) => measured.unwrap_or(typical),
            (published, _) => f64::from(published) / 1_000.0,
        };
        // The published count includes this node's own queue as of its last report.
        let queued_ahead = pool.waiting.max(self.leases.queued_ahead(service));
        if pool.free > queued_ahead {
            return Duration::ZERO;
        }
        let rate = f64::from(pool.capacity.max(1)) / hold.max(1e-3);
        Duration::from_secs_f64(
            (f64::from(queued_ahead + 1 - pool.free.min(queued_ahead)) / rate).min(3_600.0),
        )
    }

    /// Processes the queues: starts, forwards or refuses queued requests.
    pub(super) fn process_queues(&mut self, now: Instant) {
        for service in self.leases.waiting_services() {
            self.start_queued(now, &service);
            self.review_queued(now, &service);
            self.leases.report_if_idle(&service);
        }
    }

    fn start_queued(&mut self, now: Instant, service: &str) {
        for query in self.leases.scheduling_order(service) {
            if now >= query.deadline {
                continue;
            }
            let Some(choice) = self.choose_local(now, &query) else {
                continue;
            };
            self.leases.withdraw(service, query.number);
            let permit = self.leases.start(now, &query, choice.replica);
            self.placements.push((query.number, Placement::Run(permit)));
        }
    }

    /// Refuses queued requests that cannot be served in time and forwards those that are better
    /// served in another data centre.
    fn review_queued(&mut self, now: Instant, service: &str) {
        let queries: Vec<PlacementQuery> = self.leases.queue(service).to_vec();
        let leftover = queries.len();
        let wait = self.expected_wait(service);
        for (index, query) in queries.into_iter().enumerate() {
            let share = wait.mul_f64((index + 1) as f64 / leftover as f64);
            let placement = if now >= query.deadline {
                Placement::Refuse(ResultCode::DeadlinePassed, retry_after(wait))
            } else if now + share > query.deadline {
                Placement::Refuse(ResultCode::WaitTooLong, retry_after(wait))
            } else {
                let remote = self.choose_remote(now, &query);
                let Some(Placement::Remote(data_centre, entries)) =
                    self.choose_placement(now, &query, None, remote, share)
                else {
                    continue;
                };
                Placement::Remote(data_centre, entries)
            };
            self.leases.withdraw(service, query.number);
            self.placements.push((query.number, placement));
        }
    }

    fn choose_placement(
        &mut self,
        now: Instant,
        query: &PlacementQuery,
        local: Option<SlotChoice>,
        remote: Option<RemoteChoice>,
        wait: Duration,
    ) -> Option<Placement> {
        let remote_wins = match (&local, &remote) {
            (_, None) => false,
            (Some(here), Some(there)) => self.prefers_remote(query, here.score, there),
            (None, Some(there)) => self.prefers_remote_to_wait(query, wait, there),
        };
        if remote_wins {
            let there = remote?;
            self.remotes.record_sent(&there.data_centre, &query.service);
            let entries = self.forward_entries(&there.data_centre, query);
            return Some(Placement::Remote(there.data_centre, entries));
        }
        let here = local?;
        let permit = self.leases.start(now, query, here.replica);
        Some(Placement::Run(permit))
    }

    fn prefers_remote(&mut self, query: &PlacementQuery, here: f64, there: &RemoteChoice) -> bool {
        match self.policy {
            RoutePolicy::Score => there.score < here,
            RoutePolicy::AlwaysHome => false,
            RoutePolicy::LeastLoaded => there.load < self.local_load(&query.service),
            RoutePolicy::RandomTwo => {
                self.draw(2) == 1 && there.load < self.local_load(&query.service)
            }
        }
    }

    fn prefers_remote_to_wait(
        &mut self,
        query: &PlacementQuery,
        wait: Duration,
        there: &RemoteChoice,
    ) -> bool {
        match self.policy {
            RoutePolicy::Score => {
                let here =
                    placement_score(self.syncer.config(), query, 0.0, wait.as_secs_f64(), false);
                there.score < here
            }
            RoutePolicy::AlwaysHome => false,
            RoutePolicy::LeastLoaded | RoutePolicy::RandomTwo => there.load < 1.0,
        }
    }

    fn wait_or_refuse(
        &mut self,
        now: Instant,
        query: &PlacementQuery,
        wait: Duration,
    ) -> Placement {
        let config = self.config();
        let preset = config.preset();
        if query.guest {
            return Placement::Refuse(ResultCode::QueueFull, MIN_RETRY_AFTER);
        }
        if config
            .backends_in(&query.service, &self.identity.data_centre)
            .next()
            .is_none()
        {
            return Placement::Refuse(ResultCode::NoBackend, MAX_RETRY_AFTER);
        }
        if self.leases.waiting(&query.service) >= preset.queue_limit {
            return Placement::Refuse(ResultCode::QueueFull, retry_after(wait));
        }
        if now + wait > query.deadline || wait > preset.wait_limit {
            return Placement::Refuse(ResultCode::WaitTooLong, retry_after(wait));
        }
        let weight = preset.weight(&query.class, query.work);
        let mut queued = query.clone();
        queued.deadline = queued.deadline.min(now + preset.wait_limit);
        self.leases.enqueue(now, queued, weight);
        Placement::Wait
    }

    fn choose_local(&self, now: Instant, query: &PlacementQuery) -> Option<SlotChoice> {
        let view = LeaseView {
            now,
            data_centre: &self.identity.data_centre,
            config: self.syncer.config(),
            backends: &self.backends,
            prefix_caches: &self.prefix_caches,
        };
        self.leases.choose(query, &view)
    }

    /// Returns the best other data centre with free slots that the request may use.
    fn choose_remote(&mut self, now: Instant, query: &PlacementQuery) -> Option<RemoteChoice> {
        let config = self.config();
        let mut choices = Vec::new();
        for (name, data_centre) in self.remotes.data_centres() {
            let Some(region) = config.topology.region_of(name) else {
                continue;
            };
            let same = *region == self.identity.region;
            let allowed = match query.scope {
                PlacementScope::Local => false,
                PlacementScope::Region => same,
                PlacementScope::Anywhere => same || config.preset().away,
            };
            let free = self.remotes.free(now, name, &query.service);
            if !allowed
                || query.avoid_data_centres.contains(name)
                || data_centre.entries.is_empty()
                || free < 1.0
            {
                continue;
            }
            let delay = config
                .topology
                .delay(&self.identity.region, region)
                .as_secs_f64();
            let score = placement_score(&config, query, 0.0, 2.0 * delay, !same);
            let capacity = data_centre
                .pools
                .get(&query.service)
                .map_or(1, |pool| pool.capacity.max(1));
            let load = 1.0 - free / f64::from(capacity);
            choices.push(RemoteChoice {
                data_centre: name.clone(),
                score,
                load,
            });
        }
        match self.policy {
            RoutePolicy::Score => choices
                .into_iter()
                .min_by(|one, other| one.score.total_cmp(&other.score)),
            RoutePolicy::AlwaysHome => None,
            RoutePolicy::LeastLoaded => choices
                .into_iter()
                .min_by(|one, other| one.load.total_cmp(&other.load)),
            RoutePolicy::RandomTwo => {
                let count = choices.len();
                if count == 0 {
                    return None;
                }
                Some(choices.swap_remove(self.draw(count)))
            }
        }
    }

    fn local_load(&self, service: &str) -> f64 {
        self.pools.get(service).map_or(1.0, |pool| {
            1.0 - f64::from(pool.free) / f64::from(pool.capacity.max(1))
        })
    }

    fn has_guest_capacity(&self, query: &PlacementQuery) -> bool {
        let config = self.syncer.config();
        let share = config
            .preset()
            .guest_shares
            .get(&self.identity.region)
            .copied()
            .unwrap_or(1.0);
        self.leases.has_guest_capacity(&query.service, share)
    }

    /// Returns candidate entry VMs of a data centre in an order that differs between requests.
    fn forward_entries(
        &self,
        data_centre: &str,
        query: &PlacementQuery,
    ) -> Vec<zinniahatch_protocol::EntryAddress> {
        let mut entries = self.remotes.entries(data_centre).to_vec();
        let object = query.number.to_string();
        entries.sort_by_key(|entry| rendezvous_rank(&object, &entry.node));
        entries.truncate(MAX_FORWARD_ENTRIES);
        entries
    }

    /// Returns a pseudo-random number below a bound.
    ///
    /// It comes from the node's own xorshift sequence, so that a replay yields the same numbers.
    fn draw(&mut self, bound: usize) -> usize {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random % bound.max(1) as u64) as usize
    }
}

fn retry_after(wait: Duration) -> Duration {
    wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}

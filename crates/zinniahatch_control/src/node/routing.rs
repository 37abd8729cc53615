//! Choosing where a request runs.

use super::ControlNode;
use crate::AskScope;
use crate::PlaceAsk;
use crate::PlaceTicket;
use crate::Placement;
use crate::RoutePolicy;
use crate::holder::HolderView;
use crate::holder::SlotChoice;
use crate::holder::place_score;
use zinniahatch_base::prelude::*;
use zinniahatch_base::rendezvous_rank;

/// Least time after which a refused caller is told to come back.
const LEAST_RETRY: Duration = Duration::from_millis(500);
/// Longest such time.
const MOST_RETRY: Duration = Duration::from_secs(30);
/// Entry VMs of a data centre that are named for one forward.
const NAMED_ENTRIES: usize = 3;

/// A data centre that could take a request, and what that would cost.
struct AwayChoice {
    data_centre: DataCentreId,
    score: f64,
    load: f64,
}

impl ControlNode {
    /// Chooses a place for a request that just came.
    pub fn place(&mut self, now: Instant, ask: &PlaceAsk) -> Placement {
        if ask.guest && !self.guest_room(ask) {
            return Placement::Refuse(ResultCode::QueueFull, LEAST_RETRY);
        }
        let may_start = self.holder.may_start(ask);
        let local = if may_start {
            self.choose_local(now, ask)
        } else {
            None
        };
        let away = self.choose_away(now, ask);
        let wait = self.expected_wait(&ask.service);
        match self.pick(now, ask, local, away, wait) {
            Some(placement) => placement,
            None => self.wait_or_refuse(now, ask, wait),
        }
    }

    /// Gives a slot back; `refused` says that the backend server took no work.
    ///
    /// Gives whether a tick is wanted at once, because someone waits for the slot.
    pub fn finish(&mut self, now: Instant, ticket: &PlaceTicket, refused: bool) -> bool {
        self.holder.finish(now, ticket, refused)
    }

    /// Takes a waiting request back, for a caller that went away.
    pub fn withdraw(&mut self, service: &str, number: u64) -> bool {
        self.holder.withdraw(service, number).is_some()
    }

    /// Notes that a forwarded request was refused there.
    pub fn note_away_refused(&mut self, now: Instant, data_centre: &str, service: &ServiceId) {
        self.remotes.note_refused(now, data_centre, service);
    }

    /// Gives the wait that a new request of a service must expect.
    pub fn expected_wait(&self, service: &str) -> Duration {
        let config = self.ledger.config();
        let typical = config
            .services
            .get(service)
            .map_or(1.0, |entry| entry.typical_hold.as_secs_f64());
        let Some(pool) = self.pools.get(service) else {
            return Duration::ZERO;
        };
        let hold = match (pool.hold_ms, self.holder.hold_seconds(service)) {
            (0, own) => own.unwrap_or(typical),
            (told, _) => f64::from(told) / 1_000.0,
        };
        // The told count includes this node's own queue as of the last report.
        let ahead = pool.waiting.max(self.holder.ahead(service));
        if pool.free > ahead {
            return Duration::ZERO;
        }
        let rate = f64::from(pool.capacity.max(1)) / hold.max(1e-3);
        Duration::from_secs_f64((f64::from(ahead + 1 - pool.free.min(ahead)) / rate).min(3_600.0))
    }

    /// Runs over the queues: starts, sends away, refuses.
    pub(super) fn run_waiting(&mut self, now: Instant) {
        for service in self.holder.waiting_services() {
            self.start_waiting(now, &service);
            self.review_waiting(now, &service);
            self.holder.note_idle(&service);
        }
    }

    fn start_waiting(&mut self, now: Instant, service: &str) {
        for ask in self.holder.waiting_order(service) {
            if now >= ask.deadline {
                continue;
            }
            let Some(choice) = self.choose_local(now, &ask) else {
                continue;
            };
            self.holder.withdraw(service, ask.number);
            let ticket = self.holder.start(now, &ask, choice.replica);
            self.decisions.push((ask.number, Placement::Run(ticket)));
        }
    }

    /// Refuses at once what cannot be served in time, and sends away what is better served there.
    fn review_waiting(&mut self, now: Instant, service: &str) {
        let asks: Vec<PlaceAsk> = self.holder.waiters(service).to_vec();
        let leftover = asks.len();
        let wait = self.expected_wait(service);
        for (index, ask) in asks.into_iter().enumerate() {
            let share = wait.mul_f64((index + 1) as f64 / leftover as f64);
            let placement = if now >= ask.deadline {
                Placement::Refuse(ResultCode::DeadlinePassed, retry_after(wait))
            } else if now + share > ask.deadline {
                Placement::Refuse(ResultCode::WaitTooLong, retry_after(wait))
            } else {
                let away = self.choose_away(now, &ask);
                let Some(Placement::Away(centre, entries)) =
                    self.pick(now, &ask, None, away, share)
                else {
                    continue;
                };
                Placement::Away(centre, entries)
            };
            self.holder.withdraw(service, ask.number);
            self.decisions.push((ask.number, placement));
        }
    }

    fn pick(
        &mut self,
        now: Instant,
        ask: &PlaceAsk,
        local: Option<SlotChoice>,
        away: Option<AwayChoice>,
        wait: Duration,
    ) -> Option<Placement> {
        let away_wins = match (&local, &away) {
            (_, None) => false,
            (Some(here), Some(there)) => self.prefers_away(ask, here.score, there),
            (None, Some(there)) => self.prefers_away_to_wait(ask, wait, there),
        };
        if away_wins {
            let there = away?;
            self.remotes.note_sent(&there.data_centre, &ask.service);
            let entries = self.named_entries(&there.data_centre, ask);
            return Some(Placement::Away(there.data_centre, entries));
        }
        let here = local?;
        let ticket = self.holder.start(now, ask, here.replica);
        Some(Placement::Run(ticket))
    }

    fn prefers_away(&mut self, ask: &PlaceAsk, here: f64, there: &AwayChoice) -> bool {
        match self.policy {
            RoutePolicy::Score => there.score < here,
            RoutePolicy::AlwaysHome => false,
            RoutePolicy::LeastLoaded => there.load < self.home_load(&ask.service),
            RoutePolicy::RandomTwo => {
                self.draw(2) == 1 && there.load < self.home_load(&ask.service)
            }
        }
    }

    fn prefers_away_to_wait(&mut self, ask: &PlaceAsk, wait: Duration, there: &AwayChoice) -> bool {
        match self.policy {
            RoutePolicy::Score => {
                let here = place_score(self.ledger.config(), ask, 0.0, wait.as_secs_f64(), false);
                there.score < here
            }
            RoutePolicy::AlwaysHome => false,
            RoutePolicy::LeastLoaded | RoutePolicy::RandomTwo => there.load < 1.0,
        }
    }

    fn wait_or_refuse(&mut self, now: Instant, ask: &PlaceAsk, wait: Duration) -> Placement {
        let config = self.config();
        let preset = config.preset();
        if ask.guest {
            return Placement::Refuse(ResultCode::QueueFull, LEAST_RETRY);
        }
        if config
            .backends_in(&ask.service, &self.identity.data_centre)
            .next()
            .is_none()
        {
            return Placement::Refuse(ResultCode::NoBackend, MOST_RETRY);
        }
        if self.holder.waiting(&ask.service) >= preset.queue_limit {
            return Placement::Refuse(ResultCode::QueueFull, retry_after(wait));
        }
        if now + wait > ask.deadline || wait > preset.wait_limit {
            return Placement::Refuse(ResultCode::WaitTooLong, retry_after(wait));
        }
        let weight = preset.weight(&ask.class, ask.work);
        let mut queued = ask.clone();
        queued.deadline = queued.deadline.min(now + preset.wait_limit);
        self.holder.enqueue(now, queued, weight);
        Placement::Wait
    }

    fn choose_local(&self, now: Instant, ask: &PlaceAsk) -> Option<SlotChoice> {
        let view = HolderView {
            now,
            data_centre: &self.identity.data_centre,
            config: self.ledger.config(),
            backends: &self.backends,
            belief: &self.belief,
        };
        self.holder.choose(ask, &view)
    }

    /// Gives the best other data centre with free slots that the request may go to.
    fn choose_away(&mut self, now: Instant, ask: &PlaceAsk) -> Option<AwayChoice> {
        let config = self.config();
        let mut choices = Vec::new();
        for (name, centre) in self.remotes.centres() {
            let Some(region) = config.topology.region_of(name) else {
                continue;
            };
            let same = *region == self.identity.region;
            let allowed = match ask.scope {
                AskScope::Here => false,
                AskScope::Region => same,
                AskScope::Anywhere => same || config.preset().away,
            };
            let free = self.remotes.free(now, name, &ask.service);
            if !allowed
                || ask.avoid_centres.contains(name)
                || centre.entries.is_empty()
                || free < 1.0
            {
                continue;
            }
            let delay = config
                .topology
                .delay(&self.identity.region, region)
                .as_secs_f64();
            let score = place_score(&config, ask, 0.0, 2.0 * delay, !same);
            let capacity = centre
                .pools
                .get(&ask.service)
                .map_or(1, |pool| pool.capacity.max(1));
            let load = 1.0 - free / f64::from(capacity);
            choices.push(AwayChoice {
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

    fn home_load(&self, service: &str) -> f64 {
        self.pools.get(service).map_or(1.0, |pool| {
            1.0 - f64::from(pool.free) / f64::from(pool.capacity.max(1))
        })
    }

    fn guest_room(&self, ask: &PlaceAsk) -> bool {
        let config = self.ledger.config();
        let share = config
            .preset()
            .guest_shares
            .get(&self.identity.region)
            .copied()
            .unwrap_or(1.0);
        self.holder.guest_room(&ask.service, share)
    }

    /// Names entry VMs of a data centre, each request starting with another one.
    fn named_entries(
        &self,
        data_centre: &str,
        ask: &PlaceAsk,
    ) -> Vec<zinniahatch_protocol::EntryAddress> {
        let mut entries = self.remotes.entries(data_centre).to_vec();
        let object = ask.number.to_string();
        entries.sort_by_key(|entry| rendezvous_rank(&object, &entry.node));
        entries.truncate(NAMED_ENTRIES);
        entries
    }

    /// Draws below a bound from this node's own sequence, so that a replay draws the same.
    fn draw(&mut self, bound: usize) -> usize {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random % bound.max(1) as u64) as usize
    }
}

fn retry_after(wait: Duration) -> Duration {
    wait.clamp(LEAST_RETRY, MOST_RETRY)
}

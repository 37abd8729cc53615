//! Choosing the replica for a request, and the region to go away to.
//!
//! All candidates are compared by one sum, the expected time to the first event and small costs in the
//! same unit (`cost`). Sessions stay on their rendezvous replica because the tokens that
//! it keeps need not be read again, and the penalty of the others covers the memory they would
//! spend on a second copy.

use crate::ColdLimiter;
use crate::MemberTable;
use crate::PromptSize;
use crate::ReplicaBelief;
use crate::ReplicaTable;
use crate::ServiceCapacity;
use crate::StreamModel;
use crate::cost::COLD_COST;
use crate::cost::PlaceCost;
use crate::cost::PromptPlan;
use crate::cost::failure_cost;
use crate::cost::fullness_cost;
use crate::cost::outside_cost;
use crate::cost::second_copy_cost;
use crate::prompt::session_rank;
use std::cmp::Reverse;
use zinniahatch_base::prelude::*;

/// Replicas among which a session is placed by load alone; a few choices give nearly all of what
/// the choice among all would.
const CHOICES: usize = 4;
/// Other replicas that are looked at for one request, drawn anew for each. If all were, every node
/// would send to the one replica that looked idle in the last datagram: on a site of 89 nodes 17,000
/// tokens lay ahead of a prompt on the worst replicas, most of them placed within 60 ms.
const OUTSIDERS: usize = 2;
/// Replicas among which a request is placed in all; the best of them is about the one at this part of
/// the ranks of all.
const CHOSEN_AMONG: usize = CHOICES + OUTSIDERS;
/// Least slowness that counts: a replica that answered fast a few times is not trusted further.
const LEAST_SLOWNESS: f64 = 0.8;
/// Share of the slots that are kept for what other nodes send before they hear of it.
const SLOT_MARGIN: f64 = 0.95;
/// Units of the requests in progress that a digest tells: tenths.
const RUNNING_SCALE: f64 = 10.0;

/// What is asked of a placement.
#[derive(Clone, Debug)]
pub struct PlaceAsk<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// The region in which to look.
    pub region: &'a str,
    /// The size of the request.
    pub size: &'a PromptSize,
    /// Whether engines read it before common requests.
    pub urgent: bool,
    /// Replicas that were tried already.
    pub tried: &'a BTreeSet<ReplicaId>,
    /// The longest time that the answer may take in all.
    pub deadline: Duration,
    /// Time to copy one kept token between replicas; zero where they cannot.
    pub copy_token: Duration,
    /// Bound of a cold replica over all nodes, requests a second.
    pub cold_bound: f64,
    /// A number drawn for the request.
    pub draw: u64,
    /// Own name, for the split of the cold bound.
    pub node: &'a str,
    /// The nodes of the region, for the same.
    pub peers: &'a BTreeSet<NodeId>,
}

/// A replica of the own region.
#[derive(Clone, Debug, PartialEq)]
pub struct LocalChoice {
    /// The replica.
    pub replica: ReplicaId,
    /// Expected time to the first event.
    pub expected: Duration,
    /// What else it costs.
    pub cost: PlaceCost,
    /// The part of it that is spent waiting for others.
    pub wait: Duration,
    /// The part of the wait that is for a slot.
    pub queue: Duration,
    /// Expected time from the first event to the last.
    pub answer: Duration,
    /// Time for which the reading stops the streams of others, summed over them.
    pub hold_up: Duration,
    /// Tokens that the replica must read for this request.
    pub tokens: u32,
    /// Whether the replica is cold.
    pub cold: bool,
    /// The replica from which it copies kept parts instead of reading them.
    pub copy_from: Option<ReplicaId>,
}

/// A node of another region.
#[derive(Clone, Debug, PartialEq)]
pub struct AwayChoice {
    /// The node.
    pub node: NodeId,
    /// Its region.
    pub region: RegionId,
    /// Expected time to the first event, the way there and back included.
    pub expected: Duration,
    /// The part of it that is spent on the way there and back.
    pub trip: Duration,
    /// The part of it that is spent waiting for others there.
    pub wait: Duration,
    /// Expected time from the first event to the last.
    pub answer: Duration,
    /// Time for which the reading stops the streams of others there, summed over them.
    pub hold_up: Duration,
}

impl LocalChoice {
    /// Gives the time that all callers together spend on the request: its own, and that of the streams that
    /// its reading stops.
    pub fn callers_time(&self) -> Duration {
        self.expected + self.answer + self.hold_up
    }
}

impl AwayChoice {
    /// Gives the time that all callers together spend on the request there.
    pub fn callers_time(&self) -> Duration {
        self.expected + self.answer + self.hold_up
    }
}

/// Where a request was sent away to already.
#[derive(Clone, Debug, Default)]
pub struct AwayTried {
    /// Regions that refused it.
    pub regions: BTreeSet<RegionId>,
    /// Nodes that failed it; others of their region may still serve it.
    pub nodes: BTreeSet<NodeId>,
}

/// Chooses the replica with the least expected time among those that may get new work.
pub fn choose_local(
    table: &ReplicaTable,
    gate: &ColdLimiter,
    regions: &BTreeMap<DataCentreId, RegionId>,
    ask: &PlaceAsk<'_>,
    now: Instant,
) -> Option<LocalChoice> {
    let model = table.model_of(ask.service);
    let (choices, outsiders) = first_choices(table, regions, ask, now);
    let keeper = best_keeper(table, regions, ask, now);
    let mut best: Option<LocalChoice> = None;
    for belief in candidates(table, regions, ask, now) {
        let rank = choices.iter().position(|id| **id == *belief.entry.id);
        if !choices.is_empty() && rank.is_none() && !outsiders.contains(&belief.entry.id) {
            continue;
        }
        let cold = belief.is_cold(now);
        if cold {
            let share = ColdLimiter::share(ask.cold_bound, &belief.entry.id, ask.node, ask.peers);
            if !gate.allows(&belief.entry.id, share, now) {
                continue;
            }
        }
        let work = belief.all_work(now);
        let prompt = prompt_plan(belief, keeper.as_ref(), ask);
        let slots = f64::from(belief.entry.slots.max(1));
        let queue = slot_wait(f64::from(work.holding(ask.urgent)), slots, model.hold());
        let wait = model.waiting(work.ahead(ask.urgent), ask.urgent) + queue;
        let pace = belief.slowness.max(LEAST_SLOWNESS);
        let expected = (model.expect(prompt.tokens) + wait).mul_f64(pace) + prompt.copying;
        let cost = PlaceCost {
            failures: failure_cost(belief, now),
            fullness: fullness_cost(f64::from(work.requests) / slots),
            cold: if cold { COLD_COST } else { Duration::ZERO },
            outside: outside_cost(&choices, rank),
            second_copy: second_copy_cost(&model, &prompt, &choices, rank),
        };
        if best
            .as_ref()
            .is_some_and(|least| expected + cost.total() >= least.expected + least.cost.total())
        {
            continue;
        }
        best = Some(LocalChoice {
            replica: belief.entry.id.clone(),
            expected,
            cost,
            wait: wait.mul_f64(pace),
            queue: queue.mul_f64(pace),
            answer: answer_time(table, belief, ask, now),
            hold_up: model.reading(prompt.tokens) * work.requests,
            tokens: prompt.tokens,
            cold,
            copy_from: prompt.copy_from,
        });
    }
    best
}

/// Gives the expected time from the first event to the last on a replica.
fn answer_time(
    table: &ReplicaTable,
    belief: &ReplicaBelief,
    ask: &PlaceAsk<'_>,
    now: Instant,
) -> Duration {
    let Some(model) = table.stream_model(ask.service) else {
        return Duration::ZERO;
    };
    let events = model.events(ask.size.asked_out());
    model.replica_pause(&belief.pace, now).mul_f64(events)
}

fn prompt_plan(
    belief: &ReplicaBelief,
    keeper: Option<&(ReplicaId, usize)>,
    ask: &PlaceAsk<'_>,
) -> PromptPlan {
    let kept = belief.kept.cached_prefix(&ask.size.parts);
    let own = ask
        .size
        .tokens_after(ask.size.parts.len().saturating_sub(1));
    let source = keeper.filter(|(id, parts)| *id != belief.entry.id && *parts > kept);
    let have = source.map_or(kept, |(_, parts)| *parts);
    let tokens = ask.size.tokens_after(have);
    let copied = ask.size.tokens_after(kept) - tokens;
    PromptPlan {
        tokens,
        shared_read: tokens.saturating_sub(own),
        copied,
        copying: ask.copy_token * copied,
        copy_from: source.map(|(id, _)| id.clone()),
    }
}

/// Finds the sound replica that keeps most of a prompt, where replicas can copy.
fn best_keeper(
    table: &ReplicaTable,
    regions: &BTreeMap<DataCentreId, RegionId>,
    ask: &PlaceAsk<'_>,
    now: Instant,
) -> Option<(ReplicaId, usize)> {
    if ask.copy_token.is_zero() || ask.size.parts.len() < 2 {
        return None;
    }
    let shared = &ask.size.parts[..ask.size.parts.len() - 1];
    candidates(table, regions, ask, now)
        .map(|belief| (belief.entry.id.clone(), belief.kept.cached_prefix(shared)))
        .filter(|(_, parts)| *parts > 0)
        .max_by_key(|(_, parts)| *parts)
}

/// Gives the expected wait for a slot: nothing while one is free, then one hold time a round.
fn slot_wait(requests: f64, slots: f64, hold: Duration) -> Duration {
    let over = requests + 1.0 - slots * SLOT_MARGIN;
    if over <= 0.0 {
        return Duration::ZERO;
    }
    hold.mul_f64((over / slots).max(0.5 / slots))
}

/// Tells whether a replica of a service in a region may get new work at all.
pub(crate) fn takes_work(
    table: &ReplicaTable,
    regions: &BTreeMap<DataCentreId, RegionId>,
    service: &str,
    region: &str,
    belief: &ReplicaBelief,
    now: Instant,
) -> bool {
    let entry = &belief.entry;
    let found = regions.get(&entry.data_centre);
    *entry.service == *service
        && found.is_some_and(|found| **found == *region)
        && belief.leaving.is_none()
        && !table.evacuated().contains(&entry.data_centre)
        && !belief.health.is_suspect(now)
}

fn candidates<'a>(
    table: &'a ReplicaTable,
    regions: &'a BTreeMap<DataCentreId, RegionId>,
    ask: &'a PlaceAsk<'_>,
    now: Instant,
) -> impl Iterator<Item = &'a ReplicaBelief> {
    table.rows().filter(move |belief| {
        takes_work(table, regions, ask.service, ask.region, belief, now)
            && !ask.tried.contains(&belief.entry.id)
            && table.limits.allows(belief.tag, now)
            && table.rests.allows(belief.tag, now)
            && belief.gone_at.is_none_or(|gone| now + ask.deadline < gone)
    })
}

/// Gives the replicas with the highest ranks for the session, the highest first, and a few others;
/// both empty for requests without a session.
fn first_choices(
    table: &ReplicaTable,
    regions: &BTreeMap<DataCentreId, RegionId>,
    ask: &PlaceAsk<'_>,
    now: Instant,
) -> (Vec<ReplicaId>, Vec<ReplicaId>) {
    let Some(session) = ask.size.session() else {
        return (Vec::new(), Vec::new());
    };
    let mut ranked: Vec<&ReplicaBelief> = candidates(table, regions, ask, now)
        .filter(|belief| !belief.is_cold(now))
        .collect();
    ranked.sort_unstable_by_key(|belief| Reverse(session_rank(session, belief.tag)));
    let mut others = ranked.split_off(ranked.len().min(CHOICES));
    others.sort_unstable_by_key(|belief| Reverse(session_rank(ask.draw, belief.tag)));
    let ids = |beliefs: Vec<&ReplicaBelief>, most: usize| {
        let ids = beliefs.into_iter().take(most);
        ids.map(|belief| belief.entry.id.clone()).collect()
    };
    (ids(ranked, CHOICES), ids(others, OUTSIDERS))
}

/// Chooses the region in which an answer would end first, and a node there.
///
/// `pick` is a random number; nodes of one region share the load evenly.
pub fn choose_away(
    members: &MemberTable,
    table: &ReplicaTable,
    ask: &PlaceAsk<'_>,
    allowed: &BTreeSet<RegionId>,
    tried: &AwayTried,
    pick: u64,
    now: Instant,
) -> Option<AwayChoice> {
    let model = table.model_of(ask.service);
    let streams = table.stream_model(ask.service);
    let events = streams.map_or(0.0, |streams| streams.events(ask.size.asked_out()));
    let idle = streams.map_or(Duration::ZERO, StreamModel::idle_pause);
    let mut best: Option<AwayChoice> = None;
    for (region, nodes) in members.live_elsewhere(ask.region, now) {
        if tried.regions.contains(&region) || (!allowed.is_empty() && !allowed.contains(&region)) {
            continue;
        }
        let able: Vec<_> = nodes
            .iter()
            .filter(|card| !tried.nodes.contains(&card.node))
            .filter_map(|card| {
                let digest = card.services.get(&tag_of(ask.service))?;
                (digest.healthy > 0).then_some((card, digest))
            })
            .collect();
        if able.is_empty() {
            continue;
        }
        let (card, digest) = able[(pick % able.len() as u64) as usize];
        let wait = Duration::from_millis(u64::from(digest.wait_ms));
        let trip = members.round_trip(&card.node);
        let expected = trip + wait + model.expect(ask.size.tokens_in);
        let pause = Duration::from_micros(u64::from(digest.pause_us)).max(idle);
        let answer = pause.mul_f64(events);
        let hold_up = model
            .reading(ask.size.tokens_in)
            .mul_f64(f64::from(digest.running) / RUNNING_SCALE);
        let choice = AwayChoice {
            node: card.node.clone(),
            region,
            expected,
            trip,
            wait,
            answer,
            hold_up,
        };
        let sooner = |least: &AwayChoice| choice.callers_time() < least.callers_time();
        if best.as_ref().is_none_or(sooner) {
            best = Some(choice);
        }
    }
    best
}

/// Sums up what a region can take of a service.
///
/// A request there has a few choices and not all, so that the least wait of many is not its own: told
/// that, other regions sent requests of which 18 in 100 were refused after a way there and back.
pub(crate) fn digest_of(
    table: &ReplicaTable,
    regions: &BTreeMap<DataCentreId, RegionId>,
    service: &ServiceId,
    region: &str,
    now: Instant,
) -> ServiceCapacity {
    let model = table.model_of(service);
    let mut waits = Vec::new();
    let mut running = 0;
    for belief in table.rows() {
        // What a limited replica takes is for the region's own callers, and one that rests takes nothing.
        let held = table.limits.is_limited(belief.tag) || table.rests.holds(belief.tag);
        if held || belief.is_cold(now) {
            continue;
        }
        if !takes_work(table, regions, service, region, belief, now) {
            continue;
        }
        let work = belief.all_work(now);
        running += work.requests;
        let slots = f64::from(belief.entry.slots.max(1));
        let wait = model.waiting(work.tokens, false)
            + slot_wait(f64::from(work.requests), slots, model.hold());
        let wait = wait + failure_cost(belief, now);
        waits.push(wait.as_millis() as u32);
    }
    waits.sort_unstable();
    let wait = waits.get(waits.len() / CHOSEN_AMONG).copied();
    let mean = f64::from(running) / waits.len().max(1) as f64;
    let streams = table.stream_model(service);
    let pause = streams.map_or(Duration::ZERO, |streams| streams.region_pause(now));
    ServiceCapacity {
        healthy: waits.len() as u16,
        wait_ms: wait.unwrap_or(0),
        pause_us: pause.as_micros() as u32,
        running: (mean * RUNNING_SCALE) as u16,
    }
}

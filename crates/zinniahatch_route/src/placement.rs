//! Placement: choosing the replica for a request, or the remote region to send it to.
//!
//! All candidates are compared by one sum, the expected time to the first event plus costs in the
//! same unit (`placement_cost`). Sessions stay on their rendezvous replica because the tokens in
//! its prefix cache need no new prefill; the penalty of other replicas covers the memory of a
//! second copy.

use crate::ColdLimiter;
use crate::MemberInfo;
use crate::MemberStage;
use crate::MemberTable;
use crate::PromptSize;
use crate::ReplicaState;
use crate::ReplicaTable;
use crate::ServiceCapacity;
use crate::StreamModel;
use crate::StreamOrigin;
use crate::placement_cost::COLD_COST;
use crate::placement_cost::PlacementCost;
use crate::placement_cost::PromptPlan;
use crate::placement_cost::failure_cost;
use crate::placement_cost::fullness_cost;
use crate::placement_cost::outside_cost;
use crate::placement_cost::refusal_cost;
use crate::placement_cost::second_copy_cost;
use crate::prompt::rendezvous_score;
use std::cmp::Reverse;
use zinniahatch_base::prelude::*;

/// Replicas among which a session is placed by load alone; a few choices give nearly all of the
/// benefit of a choice among all.
const CHOICES: usize = 4;
/// Other replicas considered for one request, drawn anew for each. If all were, every node would
/// send to the one replica that looked idle in the last datagram: on a site of 89 nodes 17,000
/// tokens were ahead of a prompt on the worst replicas, most of them placed within 60 ms.
const EXTRA_CANDIDATES: usize = 2;
/// Replicas considered for a request in total; the best of them is about the one at this fraction
/// of the ranking of all.
const CANDIDATES: usize = CHOICES + EXTRA_CANDIDATES;
/// Smallest slowness assumed: a replica that answered fast a few times is not trusted further.
const MIN_SLOWNESS: f64 = 0.8;
/// Share of the slots that is planned with; the rest is left for requests that other nodes send
/// before they learn of each other's.
const USABLE_SLOTS: f64 = 0.95;
/// Unit of the running requests in a digest: tenths.
const RUNNING_SCALE: f64 = 10.0;

/// Inputs of a placement decision.
#[derive(Clone, Debug)]
pub struct PlacementQuery<'a> {
    /// Service of the request.
    pub service: &'a ServiceId,
    /// Region in which to place it.
    pub region: &'a str,
    /// Size of the request.
    pub size: &'a PromptSize,
    /// Whether engines prefill it before common requests.
    pub urgent: bool,
    /// Replicas that were tried already.
    pub tried: &'a BTreeSet<ReplicaId>,
    /// Tag of the only software version that may serve the request.
    pub version: Option<ShortTag>,
    /// What alone the request may begin; any if there is none.
    pub begins_at: Option<&'a BTreeSet<StreamOrigin>>,
    /// Last stage at which nodes of other regions may take it, if none at an earlier one can.
    pub last_stage: MemberStage,
    /// Longest time that the whole response may take.
    pub deadline: Duration,
    /// Time to copy one cached token between replicas; zero if they cannot.
    pub copy_token: Duration,
    /// Rate limit of a cold replica over all nodes, in requests per second.
    pub cold_bound: f64,
    /// Random number of the request.
    pub draw: u64,
    /// Name of this node, for its share of the rate limit of cold replicas.
    pub node: &'a str,
    /// Nodes of the region, for the same.
    pub peers: &'a BTreeSet<NodeId>,
}

impl PlacementQuery<'_> {
    /// Returns whether the software version of a replica may serve the request.
    pub(crate) fn allows_version(&self, state: &ReplicaState) -> bool {
        let may_begin = self
            .begins_at
            .is_none_or(|origins| origins.contains(&state.origin));
        may_begin && (self.version.is_none() || self.version == state.version)
    }
}

/// Placement on a replica of the own region.
#[derive(Clone, Debug, PartialEq)]
pub struct LocalPlacement {
    /// The replica.
    pub replica: ReplicaId,
    /// Expected time to the first event.
    pub expected: Duration,
    /// Additional costs.
    pub cost: PlacementCost,
    /// Queueing time within the expected time.
    pub wait: Duration,
    /// Wait for a slot within the queueing time.
    pub slot_wait: Duration,
    /// Expected time from the first event to the last.
    pub decode_time: Duration,
    /// Time for which the prefill stalls other streams of the replica, summed over them.
    pub stream_stall: Duration,
    /// Tokens that the replica has to prefill for this request.
    pub tokens: u32,
    /// Whether the replica is cold.
    pub cold: bool,
    /// Replica from which it copies cached parts instead of a prefill.
    pub copy_from: Option<ReplicaId>,
}

/// Placement on a node of a remote region.
#[derive(Clone, Debug, PartialEq)]
pub struct RemotePlacement {
    /// The node.
    pub node: NodeId,
    /// Its region.
    pub region: RegionId,
    /// Expected time to the first event, round trip included.
    pub expected: Duration,
    /// Round-trip time within it.
    pub round_trip: Duration,
    /// Queueing time within it.
    pub wait: Duration,
    /// Expected time from the first event to the last.
    pub decode_time: Duration,
    /// Time for which the prefill stalls other streams of the remote replica, summed over them.
    pub stream_stall: Duration,
}

impl LocalPlacement {
    /// Returns the time that the request costs all callers together: its own, and the stall of the
    /// streams that its prefill interrupts.
    pub fn total_caller_time(&self) -> Duration {
        self.expected + self.decode_time + self.stream_stall
    }
}

impl RemotePlacement {
    /// Returns the time that the request costs all callers together in the remote region.
    pub fn total_caller_time(&self) -> Duration {
        self.expected + self.decode_time + self.stream_stall
    }
}

/// Regions and nodes to which a request was already sent.
#[derive(Clone, Debug, Default)]
pub struct RemoteAttempts {
    /// Regions that refused it.
    pub regions: BTreeSet<RegionId>,
    /// Nodes that failed it; other nodes of their region may still serve it.
    pub nodes: BTreeSet<NodeId>,
}

/// Chooses the replica with the lowest sum of expected time and costs among the eligible ones.
pub fn choose_local(
    table: &ReplicaTable,
    limiter: &ColdLimiter,
    regions: &BTreeMap<DataCentreId, RegionId>,
    query: &PlacementQuery<'_>,
    now: Instant,
) -> Option<LocalPlacement> {
    let model = table.model_of(query.service);
    let session = query.size.session();
    let group = candidate_group(table, regions, query, session.unwrap_or(query.draw), now);
    let (choices, considered) = session_choices(table, regions, query, &group, now);
    let cache_holders = best_cache_holders(query, &group);
    let mut best: Option<LocalPlacement> = None;
    for state in considered {
        let rank = choices.iter().position(|id| **id == *state.entry.id);
        let cold = state.is_cold(now);
        if cold {
            let share =
                ColdLimiter::share(query.cold_bound, &state.entry.id, query.node, query.peers);
            if !limiter.allows(&state.entry.id, share, now) {
                continue;
            }
        }
        let work = state.total_work(now);
        let cache_holder = cache_holders.get(&state.version);
        let prompt = prompt_plan(state, cache_holder, query);
        let slots = f64::from(state.entry.slots.max(1));
        let slot_wait = expected_slot_wait(
            f64::from(work.slots_ahead(query.urgent)),
            slots,
            model.slot_time(),
        );
        let wait = model.queue_time(work.tokens_ahead(query.urgent), query.urgent) + slot_wait;
        let slowness = state.slowness.max(MIN_SLOWNESS);
        let expected =
            (model.expected_time(prompt.tokens) + wait).mul_f64(slowness) + prompt.copy_time;
        let cost = PlacementCost {
            failures: failure_cost(state, now),
            refusals: refusal_cost(state, query.tried.is_empty(), now),
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
        best = Some(LocalPlacement {
            replica: state.entry.id.clone(),
            expected,
            cost,
            wait: wait.mul_f64(slowness),
            slot_wait: slot_wait.mul_f64(slowness),
            decode_time: decode_time(table, state, query, now),
            stream_stall: model.prefill_time(prompt.tokens) * work.requests,
            tokens: prompt.tokens,
            cold,
            copy_from: prompt.copy_from,
        });
    }
    best
}

/// Returns the expected time from the first event to the last on a replica.
fn decode_time(
    table: &ReplicaTable,
    state: &ReplicaState,
    query: &PlacementQuery<'_>,
    now: Instant,
) -> Duration {
    let Some(model) = table.stream_model(query.service) else {
        return Duration::ZERO;
    };
    let events = model.events(query.size.output_tokens());
    model.replica_gap(&state.gaps, now).mul_f64(events)
}

fn prompt_plan(
    state: &ReplicaState,
    cache_holder: Option<&(ReplicaId, usize)>,
    query: &PlacementQuery<'_>,
) -> PromptPlan {
    let cached = state.prefix_cache.cached_prefix(&query.size.parts);
    let request_tokens = query
        .size
        .uncached_tokens(query.size.parts.len().saturating_sub(1));
    let source = cache_holder.filter(|(id, parts)| *id != state.entry.id && *parts > cached);
    let available = source.map_or(cached, |(_, parts)| *parts);
    let tokens = query.size.uncached_tokens(available);
    let copied = query.size.uncached_tokens(cached) - tokens;
    PromptPlan {
        tokens,
        shared_read: tokens.saturating_sub(request_tokens),
        copied,
        copy_time: query.copy_token * copied,
        copy_from: source.map(|(id, _)| id.clone()),
    }
}

/// Returns the replicas of a group that cache most of a prompt by their software versions, where
/// replicas can copy cached parts. What one version has cached is of no use to another.
fn best_cache_holders(
    query: &PlacementQuery<'_>,
    group: &[&ReplicaState],
) -> BTreeMap<Option<ShortTag>, (ReplicaId, usize)> {
    let mut best = BTreeMap::new();
    if query.copy_token.is_zero() || query.size.parts.len() < 2 {
        return best;
    }
    let shared = &query.size.parts[..query.size.parts.len() - 1];
    for state in group {
        let parts = state.prefix_cache.cached_prefix(shared);
        if parts == 0 {
            continue;
        }
        let holder = best
            .entry(state.version)
            .or_insert_with(|| (state.entry.id.clone(), parts));
        if parts >= holder.1 {
            *holder = (state.entry.id.clone(), parts);
        }
    }
    best
}

/// Returns the expected wait for a slot: zero while one is free, then one slot time per round of
/// requests.
fn expected_slot_wait(requests: f64, slots: f64, slot_time: Duration) -> Duration {
    let over = requests + 1.0 - slots * USABLE_SLOTS;
    if over <= 0.0 {
        return Duration::ZERO;
    }
    slot_time.mul_f64((over / slots).max(0.5 / slots))
}

/// Returns whether a replica belongs to a service and region and may get new work.
pub(crate) fn is_eligible(
    table: &ReplicaTable,
    regions: &BTreeMap<DataCentreId, RegionId>,
    service: &str,
    region: &str,
    state: &ReplicaState,
    now: Instant,
) -> bool {
    let entry = &state.entry;
    let own_region = regions.get(&entry.data_centre);
    *entry.service == *service
        && own_region.is_some_and(|own_region| **own_region == *region)
        && state.leaving.is_none()
        && !table.evacuated().contains(&entry.data_centre)
        && !state.health.is_suspect(now)
        && !state.doubts_warmth(now)
}

/// Returns the replicas that may get the request among those of the group of `key`, or of the next
/// group that has any.
fn candidate_group<'a>(
    table: &'a ReplicaTable,
    regions: &BTreeMap<DataCentreId, RegionId>,
    query: &PlacementQuery<'_>,
    key: u64,
    now: Instant,
) -> Vec<&'a ReplicaState> {
    for group in table.index.groups(query.service, key) {
        let mut found = Vec::new();
        for state in group.filter_map(|id| table.get(id)) {
            if is_candidate(table, regions, query, state, now) {
                found.push(state);
            }
        }
        if !found.is_empty() {
            // Ties are broken by id, as in a walk over all replicas.
            found.sort_unstable_by(|one, other| one.entry.id.cmp(&other.entry.id));
            return found;
        }
    }
    Vec::new()
}

fn is_candidate(
    table: &ReplicaTable,
    regions: &BTreeMap<DataCentreId, RegionId>,
    query: &PlacementQuery<'_>,
    state: &ReplicaState,
    now: Instant,
) -> bool {
    is_eligible(table, regions, query.service, query.region, state, now)
        && query.allows_version(state)
        && !query.tried.contains(&state.entry.id)
        && table.limits.allows(state.tag, now)
        && table.backoffs.allows(state.tag, now)
        && state
            .terminates_at
            .is_none_or(|end| now + query.deadline < end)
}

/// Returns the replicas of a group with the highest rendezvous scores for the session, the highest
/// first, and all replicas that are considered: those and a few random others. A request without a
/// session has no choices, and is placed among random replicas of the group: if all were compared,
/// every node would prefer the same few, whose short response times it knows.
fn session_choices<'a>(
    table: &'a ReplicaTable,
    regions: &BTreeMap<DataCentreId, RegionId>,
    query: &PlacementQuery<'_>,
    group: &[&'a ReplicaState],
    now: Instant,
) -> (Vec<ReplicaId>, Vec<&'a ReplicaState>) {
    let warm: Vec<&ReplicaState> = group
        .iter()
        .copied()
        .filter(|state| !state.is_cold(now))
        .collect();
    if warm.is_empty() {
        return (Vec::new(), group.to_vec());
    }
    let by_draw = |state: &&ReplicaState| Reverse(rendezvous_score(query.draw, state.tag));
    let Some(session) = query.size.session() else {
        let mut considered = warm;
        considered.sort_unstable_by_key(by_draw);
        considered.truncate(CANDIDATES);
        return (Vec::new(), considered);
    };
    let mut ranked = warm;
    ranked.sort_unstable_by_key(|state| Reverse(rendezvous_score(session, state.tag)));
    let mut others = ranked.split_off(ranked.len().min(CHOICES));
    let choices: Vec<ReplicaId> = ranked.iter().map(|state| state.entry.id.clone()).collect();
    let drawn = candidate_group(table, regions, query, query.draw, now);
    for state in drawn {
        let known = group.iter().any(|other| other.tag == state.tag);
        if !known && !state.is_cold(now) {
            others.push(state);
        }
    }
    others.sort_unstable_by_key(by_draw);
    ranked.extend(others.into_iter().take(EXTRA_CANDIDATES));
    (choices, ranked)
}

/// Stages of nodes that may take a request, by how long they can be expected to live.
const SERVING_STAGES: [MemberStage; 4] = [
    MemberStage::Ready,
    MemberStage::Leaving,
    MemberStage::PlainOnly,
    MemberStage::Closing,
];

/// Chooses the remote region in which the response would end first, and a node there.
///
/// `random` picks the node, so that the nodes of one region share the load evenly.
pub fn choose_remote(
    members: &MemberTable,
    table: &ReplicaTable,
    query: &PlacementQuery<'_>,
    allowed: &BTreeSet<RegionId>,
    tried: &RemoteAttempts,
    random: u64,
    now: Instant,
) -> Option<RemotePlacement> {
    let model = table.model_of(query.service);
    let streams = table.stream_model(query.service);
    let events = streams.map_or(0.0, |streams| streams.events(query.size.output_tokens()));
    let idle = streams.map_or(Duration::ZERO, StreamModel::idle_gap);
    let mut best: Option<RemotePlacement> = None;
    let regions = SERVING_STAGES
        .into_iter()
        .take_while(|stage| *stage <= query.last_stage)
        .map(|stage| serving_elsewhere(members, query, allowed, tried, stage, now))
        .find(|regions| !regions.is_empty())?;
    for (region, serving) in regions {
        let (info, capacity) = serving[(random % serving.len() as u64) as usize];
        let wait = Duration::from_millis(u64::from(capacity.wait_ms));
        let round_trip = members.round_trip(&info.node);
        let expected = round_trip + wait + model.expected_time(query.size.tokens_in);
        let gap = Duration::from_micros(u64::from(capacity.gap_us)).max(idle);
        let decode_time = gap.mul_f64(events);
        let stream_stall = model
            .prefill_time(query.size.tokens_in)
            .mul_f64(f64::from(capacity.running) / RUNNING_SCALE);
        let choice = RemotePlacement {
            node: info.node.clone(),
            region,
            expected,
            round_trip,
            wait,
            decode_time,
            stream_stall,
        };
        let is_faster =
            |least: &RemotePlacement| choice.total_caller_time() < least.total_caller_time();
        if best.as_ref().is_none_or(is_faster) {
            best = Some(choice);
        }
    }
    best
}

/// Returns the nodes of other regions at a stage that can serve a request, with the capacity of their
/// regions.
fn serving_elsewhere<'a>(
    members: &'a MemberTable,
    query: &PlacementQuery<'_>,
    allowed: &BTreeSet<RegionId>,
    tried: &RemoteAttempts,
    stage: MemberStage,
    now: Instant,
) -> BTreeMap<RegionId, Vec<(&'a MemberInfo, &'a ServiceCapacity)>> {
    let mut regions = members.live_elsewhere(query.region, stage, now);
    regions.retain(|region, _| {
        !tried.regions.contains(region) && (allowed.is_empty() || allowed.contains(region))
    });
    let serving = |info: &'a MemberInfo| {
        let capacity = info.services.get(&tag_of(query.service))?;
        let is_serving = capacity.healthy > 0 && !tried.nodes.contains(&info.node);
        is_serving.then_some((info, capacity))
    };
    let mut found = BTreeMap::new();
    for (region, nodes) in regions {
        let nodes: Vec<_> = nodes.into_iter().filter_map(serving).collect();
        if nodes.is_empty() {
            continue;
        }
        found.insert(region, nodes);
    }
    found
}

/// Returns the capacity of a region for a service, to be announced to other regions.
///
/// A request there is placed among a few replicas rather than all, so its wait is not the shortest
/// of many: when that one was announced, other regions sent requests of which 18 in 100 were
/// refused after a round trip.
pub(crate) fn service_capacity(
    table: &ReplicaTable,
    regions: &BTreeMap<DataCentreId, RegionId>,
    service: &ServiceId,
    region: &str,
    now: Instant,
) -> ServiceCapacity {
    let model = table.model_of(service);
    let mut waits = Vec::new();
    let mut running: u32 = 0;
    for state in table.rows() {
        // The capacity of a rate-limited replica is for callers of its own region, and a replica in
        // backoff accepts nothing.
        let restricted =
            table.limits.is_limited(state.tag) || table.backoffs.is_unrecovered(state.tag);
        if restricted || state.is_cold(now) {
            continue;
        }
        if !is_eligible(table, regions, service, region, state, now) {
            continue;
        }
        let work = state.total_work(now);
        running = running.saturating_add(work.requests);
        let slots = f64::from(state.entry.slots.max(1));
        let wait = model.queue_time(work.tokens, false)
            + expected_slot_wait(f64::from(work.requests), slots, model.slot_time());
        let wait = wait + failure_cost(state, now) + refusal_cost(state, true, now);
        waits.push(wait.as_millis() as u32);
    }
    waits.sort_unstable();
    let wait = waits.get(waits.len() / CANDIDATES).copied();
    let mean = f64::from(running) / waits.len().max(1) as f64;
    let streams = table.stream_model(service);
    let gap = streams.map_or(Duration::ZERO, |streams| streams.region_gap(now));
    ServiceCapacity {
        healthy: waits.len() as u16,
        wait_ms: wait.unwrap_or(0),
        gap_us: gap.as_micros() as u32,
        running: (mean * RUNNING_SCALE) as u16,
    }
}

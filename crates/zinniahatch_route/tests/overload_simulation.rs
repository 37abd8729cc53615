//! Simulated overload of replicas that prefill one prompt after the other.
//!
//! Each simulation runs the real placement and admission control against simulated replicas, and
//! compares it with placing and admitting every request.

mod common;

use common::QueryParts;
use common::prompt;
use common::regions;
use common::table;
use zinniahatch_base::prelude::*;
use zinniahatch_route::Admission;
use zinniahatch_route::AdmissionRule;
use zinniahatch_route::ColdLimiter;
use zinniahatch_route::InFlightWork;
use zinniahatch_route::LeaveReason;
use zinniahatch_route::ReplicaTable;
use zinniahatch_route::ServingPreset;
use zinniahatch_route::choose_local;

const GOAL: Duration = Duration::from_millis(800);
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);
/// Prefill time per token, the prior of the model.
const TOKEN_MS: f64 = 0.025;
/// Part of a prompt's prefill that delays the prompts behind it; the rest overlaps with them.
/// Measured at both a small and a large site: 0.021 ms per token ahead, 0.034 ms per own token.
const SERIAL_FRACTION: f64 = 0.75;
/// Time of a response besides the prefill.
const BASE_MS: f64 = 40.0;

/// Request of a caller.
#[derive(Clone, Copy)]
struct SimulatedRequest {
    at: f64,
    session: u64,
    /// When the caller sent the first attempt; the latency of a retry counts from there.
    first: f64,
    retries: u32,
}

/// Counts of a simulation.
#[derive(Debug, Default)]
struct SimulationResult {
    sent: usize,
    in_time: usize,
    answered: usize,
    refused: usize,
}

/// Replicas that prefill in order of arrival, and the node's table of them.
struct Simulation {
    start: Instant,
    table: ReplicaTable,
    /// Per replica, when it is idle, in ms, and the prefills in progress: end and tokens.
    queues: BTreeMap<ReplicaId, (f64, Vec<(f64, u32)>)>,
    admit: bool,
    result: SimulationResult,
}

impl Simulation {
    fn new(ids: &[&str], admit: bool) -> Self {
        let start = Instant::now();
        let queues = ids.iter().map(|id| ((*id).into(), (0.0, Vec::new())));
        Self {
            start,
            table: table(ids, start),
            queues: queues.collect(),
            admit,
            result: SimulationResult::default(),
        }
    }

    fn instant(&self, at: f64) -> Instant {
        self.start + Duration::from_secs_f64(at / 1e3)
    }

    /// Updates the in-flight work of each replica in the table.
    fn refresh(&mut self, at: f64) {
        for (id, (_, prefills)) in &mut self.queues {
            prefills.retain(|(end, _)| *end > at);
            if let Some(replica) = self.table.get_mut(id) {
                replica.local_work = InFlightWork {
                    requests: prefills.len() as u32,
                    tokens: prefills.iter().map(|(_, tokens)| tokens).sum(),
                    urgent_requests: 0,
                    urgent_tokens: 0,
                };
            }
        }
    }

    /// Serves a request; returns when its caller retries if it was refused.
    fn serve(&mut self, request: SimulatedRequest) -> Option<f64> {
        self.refresh(request.at);
        let size = prompt(request.session, request.at.to_bits());
        let parts = QueryParts::new(size);
        let now = self.instant(request.at);
        let placement = choose_local(
            &self.table,
            &ColdLimiter::default(),
            &regions(),
            &parts.query(),
            now,
        );
        let Some(placement) = placement else {
            self.result.refused += 1;
            return Some(request.at + 700.0);
        };
        let preset = ServingPreset::default();
        let rule = AdmissionRule {
            goal: GOAL,
            elapsed: Duration::ZERO,
            remaining: CALLER_TIMEOUT,
            goal_factor: 1.0,
            goal_margin: preset.goal_margin,
            min_wait: preset.least_wait,
        };
        if self.admit
            && let Admission::Refuse(after) =
                rule.decide(placement.expected, Duration::ZERO, placement.wait)
        {
            self.result.refused += 1;
            return Some(request.at + after.as_secs_f64() * 1e3);
        }
        let capacity = 1_000_000;
        if let Some(replica) = self.table.get_mut(&placement.replica) {
            replica.prefix_cache.record(&parts.size.parts, capacity);
        }
        if let Some((idle_at, prefills)) = self.queues.get_mut(&placement.replica) {
            let prefill_time = f64::from(placement.tokens) * TOKEN_MS;
            *idle_at = idle_at.max(request.at) + prefill_time * SERIAL_FRACTION;
            let done = *idle_at + prefill_time * (1.0 - SERIAL_FRACTION);
            prefills.push((done, placement.tokens));
            let took = done + BASE_MS - request.first;
            self.result.answered += 1;
            self.result.in_time += usize::from(took <= GOAL.as_secs_f64() * 1e3);
        }
        None
    }

    /// Simulates requests in order of time; refused callers retry when told, up to `retries` times.
    fn run(mut self, requests: Vec<SimulatedRequest>, retries: u32) -> SimulationResult {
        self.result.sent = requests.len();
        let mut pending = requests;
        while !pending.is_empty() {
            pending.sort_by(|one, other| other.at.total_cmp(&one.at));
            let Some(request) = pending.pop() else {
                break;
            };
            let Some(retry_at) = self.serve(request) else {
                continue;
            };
            if request.retries < retries {
                pending.push(SimulatedRequest {
                    at: retry_at,
                    retries: request.retries + 1,
                    ..request
                });
            }
        }
        self.result
    }
}

/// Builds requests at a constant rate from a time on, spread over a number of sessions.
fn requests(from: f64, every: f64, count: u64, sessions: u64) -> Vec<SimulatedRequest> {
    (0..count)
        .map(|number| {
            let at = from + every * number as f64;
            SimulatedRequest {
                at,
                session: number.wrapping_mul(2_654_435_761) % sessions,
                first: at,
                retries: 0,
            }
        })
        .collect()
}

/// Guards against an unbounded queue after half of a region's replicas are lost and the rest can
/// prefill half of the load: without admission control every response was late after two seconds;
/// with it, what the rest can prefill is in time.
#[test]
fn half_of_the_replicas_lost() {
    let run = |admit| {
        let mut simulation = Simulation::new(&["r1", "r2", "r3", "r4"], admit);
        for id in ["r1", "r2"] {
            if let Some(replica) = simulation.table.get_mut(id) {
                replica.leaving = Some(LeaveReason::EntryGone);
            }
        }
        simulation.run(requests(0.0, 20.0, 1_000, 20), 0)
    };
    let (without, with) = (run(false), run(true));
    assert!(without.in_time * 4 < with.in_time, "{without:?} {with:?}");
    assert!(with.in_time * 100 >= with.sent * 40, "{with:?}");
}

/// Guards against the after-effects of a burst of 2.3 times the prefill rate for three seconds: the
/// requests admitted in it were late, and so were all that arrived in the seconds after it, when
/// there was capacity again.
#[test]
fn burst_and_recovery() {
    let run = |admit| {
        let mut load = requests(0.0, 30.0, 100, 20);
        load.extend(requests(3_000.0, 8.0, 375, 20));
        load.extend(requests(6_000.0, 30.0, 200, 20));
        Simulation::new(&["r1", "r2", "r3", "r4"], admit).run(load, 0)
    };
    let (without, with) = (run(false), run(true));
    assert!(with.in_time > without.in_time, "{without:?} {with:?}");
    assert!(
        with.in_time + with.refused == with.sent,
        "no response is late: {with:?}"
    );
}

/// Guards against refused callers that retry at once and find the same queue. If they are told when
/// it will have shrunk, more of them are answered in the end. Counted from the first attempt they
/// are late by then, and take the place of others, which the simulation shows as well.
#[test]
fn retries_of_refused_callers() {
    let run = |retries| {
        let load = requests(0.0, 10.0, 1_000, 20);
        Simulation::new(&["r1", "r2", "r3", "r4"], true).run(load, retries)
    };
    let (once, again) = (run(0), run(3));
    assert!(again.answered > once.answered, "{once:?} {again:?}");
}

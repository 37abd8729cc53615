//! Costs of placing a request on a replica, in addition to the expected time to the first event.
//!
//! The cost is a sum of named terms, all of them durations, so that they can be compared, logged
//! and left out individually.

use crate::FirstEventModel;
use crate::ReplicaState;
use zinniahatch_base::prelude::*;

/// Weight of the time to process shared tokens on a replica other than the session's first choice:
/// the second copy evicts cached parts of other sessions.
const SECOND_READ_WEIGHT: f64 = 0.5;
/// Weight of the same tokens when they are copied from a replica that caches them: the copy takes
/// memory, but spares the prefill during which all requests of the replica would wait.
const SECOND_COPY_WEIGHT: f64 = 0.15;
/// Cost of a replica that fails all its requests; a request lost there costs its caller a retry,
/// which takes about as long.
const FAILURE_COST: Duration = Duration::from_secs(4);
/// Failure rate that costs nothing; services have errors of their own.
const TOLERATED_FAILURE_RATE: f64 = 0.25;
/// Cost of a replica that refuses all its requests. A refusal is fast, so that such a replica seems
/// idle, and takes one of the few tries of a request.
const REFUSAL_COST: Duration = Duration::from_secs(2);
/// Refusal rate that costs nothing at a request's first try; a busy replica refuses some requests and
/// serves most, and one that refused all is tried again once its refusals have decayed to this.
const TOLERATED_REFUSAL_RATE: f64 = 0.25;
/// Cost of a cold replica: it is slow and may crash.
pub(crate) const COLD_COST: Duration = Duration::from_millis(150);
/// Cost of a replica that is none of the session's choices, about the time of one prompt's prefill.
/// Nodes learn of each other's placements late and would all pick the one replica that looks idle;
/// choices that differ from session to session prevent that.
const OUTSIDE_COST: Duration = Duration::from_millis(80);
/// Cost of a replica whose slots are all in use; it grows with the square of their use. Long
/// responses hold slots for seconds: placed by queued tokens alone, they gathered on replicas with
/// little prefill work, until 60 of 64 slots were in use there and prompts waited 1.5 s for one.
const FULL_COST: Duration = Duration::from_millis(150);

/// Cost terms of one replica for one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementCost {
    /// Cost of recent failures.
    pub failures: Duration,
    /// Cost of recent refusals.
    pub refusals: Duration,
    /// Cost of slots in use.
    pub fullness: Duration,
    /// Cost of a cold replica.
    pub cold: Duration,
    /// Cost of a replica that is none of the session's choices.
    pub outside: Duration,
    /// Cost of a second copy of the session's shared prompt parts.
    pub second_copy: Duration,
}

impl PlacementCost {
    fn terms(&self) -> [(&'static str, Duration); 6] {
        [
            ("failures", self.failures),
            ("refusals", self.refusals),
            ("fullness", self.fullness),
            ("cold", self.cold),
            ("outside", self.outside),
            ("second_copy", self.second_copy),
        ]
    }

    /// Returns the sum of all terms.
    pub fn total(&self) -> Duration {
        self.terms().iter().map(|(_, term)| *term).sum()
    }

    /// Returns the terms of at least one millisecond by name, for the log.
    pub fn named_ms(&self) -> BTreeMap<&'static str, u64> {
        self.terms()
            .into_iter()
            .map(|(name, term)| (name, term.as_millis() as u64))
            .filter(|(_, millis)| *millis > 0)
            .collect()
    }
}

/// How a replica would obtain the tokens of a prompt.
pub(crate) struct PromptPlan {
    /// Tokens that the replica has to prefill.
    pub(crate) tokens: u32,
    /// Those of them that other requests share.
    pub(crate) shared_read: u32,
    /// Tokens that the replica copies from another one.
    pub(crate) copied: u32,
    /// Time to copy them.
    pub(crate) copy_time: Duration,
    /// Replica to copy from.
    pub(crate) copy_from: Option<ReplicaId>,
}

/// Returns the cost of a replica's recent failures.
pub(crate) fn failure_cost(state: &ReplicaState, now: Instant) -> Duration {
    let share = state.health.failure_rate(now);
    FAILURE_COST.mul_f64((share - TOLERATED_FAILURE_RATE).max(0.0))
}

/// Returns the cost of a replica's recent refusals. The later tries of a request tolerate none, so that
/// it does not find out about several replicas in turn.
pub(crate) fn refusal_cost(state: &ReplicaState, is_first_try: bool, now: Instant) -> Duration {
    let tolerated = if is_first_try {
        TOLERATED_REFUSAL_RATE
    } else {
        0.0
    };
    let share = state.health.refusal_rate(now);
    REFUSAL_COST.mul_f64((share - tolerated).max(0.0))
}

/// Returns the cost of slots in use; `fill` is the share in use.
pub(crate) fn fullness_cost(fill: f64) -> Duration {
    FULL_COST.mul_f64(fill * fill)
}

/// Returns the cost of a replica outside the session's choices; `rank` is its place among them.
pub(crate) fn outside_cost(choices: &[ReplicaId], rank: Option<usize>) -> Duration {
    if choices.is_empty() || rank.is_some() {
        return Duration::ZERO;
    }
    OUTSIDE_COST
}

/// Returns the cost of shared prompt parts on a replica other than the session's first choice.
pub(crate) fn second_copy_cost(
    model: &FirstEventModel,
    prompt: &PromptPlan,
    choices: &[ReplicaId],
    rank: Option<usize>,
) -> Duration {
    if choices.is_empty() || rank == Some(0) {
        return Duration::ZERO;
    }
    let read = model
        .prefill_time(prompt.shared_read)
        .mul_f64(SECOND_READ_WEIGHT);
    read + model
        .prefill_time(prompt.copied)
        .mul_f64(SECOND_COPY_WEIGHT)
}

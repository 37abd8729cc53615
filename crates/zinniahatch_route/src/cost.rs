//! What a replica costs a request beside the expected time to the first event: a sum of named parts, all in
//! time, so that they can be compared, logged and left out one by one.

use crate::FirstEventModel;
use crate::ReplicaBelief;
use zinniahatch_base::prelude::*;

/// Cost of reading shared tokens at a replica that is not the session's first choice, as a part of the
/// time that it takes: the second copy pushes out other sessions' parts.
const READ_PART: f64 = 0.5;
/// The same for copying them from a replica that keeps them: the copy takes memory, but spares the
/// time in which all requests of the replica would wait for the reading.
const COPY_PART: f64 = 0.15;
/// Cost of a replica that fails all its requests; a request lost there costs its caller a whole retry,
/// which takes about as long.
const FAILURE_COST: Duration = Duration::from_secs(4);
/// Failure share below which it costs nothing; services have errors of their own.
const FAILURE_TOLERATED: f64 = 0.25;
/// Cost of a cold replica: it is slow and may crash.
pub(crate) const COLD_COST: Duration = Duration::from_millis(150);
/// Cost of a replica that is none of the session's choices, about the time in which a prompt is read.
/// Nodes hear of each other's placements late, and all of them would send to the one replica that looks
/// idle; with choices that differ from session to session they do not.
const OUTSIDE_COST: Duration = Duration::from_millis(80);
/// Cost of a replica whose slots are all in use; it falls with the square of their use. Long answers
/// hold slots for seconds: placed by what lies ahead alone, they gathered on the replicas with little to
/// read, until 60 of 64 slots were held there and prompts waited 1.5 s for one.
const FULL_COST: Duration = Duration::from_millis(150);

/// The cost of one replica for one request, beside the expected time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlaceCost {
    /// For its failures.
    pub failures: Duration,
    /// For the use of its slots.
    pub fullness: Duration,
    /// For being cold.
    pub cold: Duration,
    /// For being none of the session's choices.
    pub outside: Duration,
    /// For a second copy of the session's shared parts.
    pub second_copy: Duration,
}

impl PlaceCost {
    fn parts(&self) -> [(&'static str, Duration); 5] {
        [
            ("failures", self.failures),
            ("fullness", self.fullness),
            ("cold", self.cold),
            ("outside", self.outside),
            ("second_copy", self.second_copy),
        ]
    }

    /// Gives the sum.
    pub fn total(&self) -> Duration {
        self.parts().iter().map(|(_, part)| *part).sum()
    }

    /// Gives the parts of a millisecond or more, for a line of the log.
    pub fn named_ms(&self) -> BTreeMap<&'static str, u64> {
        self.parts()
            .into_iter()
            .map(|(name, part)| (name, part.as_millis() as u64))
            .filter(|(_, millis)| *millis > 0)
            .collect()
    }
}

/// How a replica would come by the tokens of a prompt.
pub(crate) struct PromptPlan {
    /// Tokens that it reads.
    pub(crate) tokens: u32,
    /// The part of these that is shared with other requests.
    pub(crate) shared_read: u32,
    /// Tokens that it copies.
    pub(crate) copied: u32,
    /// Time for the copying.
    pub(crate) copying: Duration,
    /// From where.
    pub(crate) copy_from: Option<ReplicaId>,
}

/// Gives the cost of a replica's failures.
pub(crate) fn failure_cost(belief: &ReplicaBelief, now: Instant) -> Duration {
    let share = belief.health.failure_share(now);
    FAILURE_COST.mul_f64((share - FAILURE_TOLERATED).max(0.0))
}

/// Gives the cost of slots in use, by their share.
pub(crate) fn fullness_cost(fill: f64) -> Duration {
    FULL_COST.mul_f64(fill * fill)
}

/// Gives the cost of a replica outside the session's choices; `rank` is its place among them.
pub(crate) fn outside_cost(choices: &[ReplicaId], rank: Option<usize>) -> Duration {
    if choices.is_empty() || rank.is_some() {
        return Duration::ZERO;
    }
    OUTSIDE_COST
}

/// Gives the cost of shared parts at a replica that is not the session's first choice.
pub(crate) fn second_copy_cost(
    model: &FirstEventModel,
    prompt: &PromptPlan,
    choices: &[ReplicaId],
    rank: Option<usize>,
) -> Duration {
    if choices.is_empty() || rank == Some(0) {
        return Duration::ZERO;
    }
    let read = model.reading(prompt.shared_read).mul_f64(READ_PART);
    read + model.reading(prompt.copied).mul_f64(COPY_PART)
}

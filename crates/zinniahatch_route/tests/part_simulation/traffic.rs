//! Requests and disturbances of a schedule.

use rand::RngExt;
use rand::rngs::StdRng;
use std::time::Duration;
use zinniahatch_route::ScopedPart;

/// Requests with a crashing part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Crashing {
    /// None.
    Nothing,
    /// Behind the first part of everybody's prompts.
    Second,
    /// Behind other parts each time.
    BehindOthers,
    /// In first place in every other request.
    FirstAtTimes,
    /// Two such parts at a time.
    Two,
    /// The part was sound until it began to crash replicas.
    SoundBefore,
    /// Sound requests are few.
    FewSound,
    /// Each request has a caller of its own.
    ManyCallers,
}

/// What else happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Disturbance {
    /// Nothing.
    None,
    /// All replicas of a region end at once, several times.
    RegionLoss,
    /// Replicas are killed one after the other.
    Kills,
    /// Nodes restart one after the other.
    Restarts,
    /// All nodes restart at once.
    MassRestart,
    /// The same, and replicas are killed one after the other from then on.
    KillsAfterRestart,
    /// A region is cut off from the others for some seconds.
    Cuts,
}

/// Kind of a schedule.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) crashing: Crashing,
    pub(crate) disturbance: Disturbance,
}

/// Model and service of all requests.
const SCOPE: u32 = 7;
/// The first part of everybody's prompts.
const EVERYBODY: u64 = 1;
/// Ids of crashing parts.
pub(crate) const CRASHING: [u64; 2] = [1_000, 2_000];
/// Subjects that several requests share.
const SUBJECTS: u64 = 40;
/// The caller of most requests.
const CALLER: u32 = 5;
/// When parts begin to crash replicas.
pub(crate) const CRASHES_FROM: Duration = Duration::from_secs(12);

/// A request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    /// Its content.
    pub(crate) content: u64,
    pub(crate) caller: u32,
    pub(crate) parts: Vec<ScopedPart>,
    /// How long its answer takes.
    pub(crate) lasts: Duration,
}

impl CallerRequest {
    /// Returns the crashing part that it has, if it has one.
    pub(crate) fn crashing_part(&self, elapsed: Duration) -> Option<u64> {
        let part = self.named_part()?;
        (elapsed >= CRASHES_FROM).then_some(part)
    }

    /// Returns whether it has a part that crashes replicas at some time.
    pub(crate) fn named_part(&self) -> Option<u64> {
        let ids = self.parts.iter().map(|part| part.id);
        ids.into_iter().find(|id| CRASHING.contains(id))
    }
}

/// Draws the requests of a schedule.
pub(crate) struct Traffic {
    scenario: Scenario,
    /// Requests with a crashing part a second.
    crashing_rate: f64,
    sound_rate: f64,
    number: u64,
}

impl Traffic {
    pub(crate) fn new(scenario: Scenario, random: &mut StdRng) -> Self {
        let sound_rate = if scenario.crashing == Crashing::FewSound {
            random.random_range(2.0..5.0)
        } else {
            random.random_range(15.0..60.0)
        };
        Self {
            scenario,
            crashing_rate: random.random_range(0.7..5.0),
            sound_rate,
            number: 0,
        }
    }

    /// Returns the requests that arrive in a step.
    pub(crate) fn arrivals(
        &mut self,
        random: &mut StdRng,
        elapsed: Duration,
        step: Duration,
    ) -> Vec<CallerRequest> {
        let mut requests = Vec::new();
        if random.random_bool((self.sound_rate * step.as_secs_f64()).min(1.0)) {
            requests.push(self.sound(random));
        }
        let crashing = self.scenario.crashing;
        let comes = crashing != Crashing::Nothing
            && (elapsed >= CRASHES_FROM || crashing == Crashing::SoundBefore);
        if comes && random.random_bool((self.crashing_rate * step.as_secs_f64()).min(1.0)) {
            requests.push(self.crashing(random));
        }
        requests
    }

    fn build(&mut self, random: &mut StdRng, ids: &[u64], caller: u32) -> CallerRequest {
        self.number += 1;
        let own = 1_000_000 + self.number;
        let ids = ids.iter().copied().chain([own]);
        CallerRequest {
            content: own,
            caller,
            parts: ids.map(|id| ScopedPart { id, scope: SCOPE }).collect(),
            lasts: Duration::from_millis(random.random_range(150..3_000)),
        }
    }

    fn sound(&mut self, random: &mut StdRng) -> CallerRequest {
        let subject = 10 + random.random_range(0..SUBJECTS);
        self.build(random, &[EVERYBODY, subject], CALLER)
    }

    fn crashing(&mut self, random: &mut StdRng) -> CallerRequest {
        let part = match self.scenario.crashing {
            Crashing::Two => CRASHING[random.random_range(0..CRASHING.len())],
            _ => CRASHING[0],
        };
        let other = 500_000 + self.number;
        let ids = match self.scenario.crashing {
            Crashing::BehindOthers => vec![other, part],
            Crashing::FirstAtTimes if self.number.is_multiple_of(2) => vec![part, EVERYBODY],
            _ => vec![EVERYBODY, part],
        };
        let caller = match self.scenario.crashing {
            Crashing::ManyCallers => 100 + self.number as u32,
            _ => CALLER,
        };
        self.build(random, &ids, caller)
    }
}

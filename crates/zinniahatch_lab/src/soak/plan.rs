//! Which faults a seed draws, when they begin and how long they last.

use crate::site::SiteCluster;
use crate::test_doubles::replica::ReplicaBehaviour;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::fmt;
use zinniahatch_base::prelude::*;

/// Mean time between the beginnings of two faults.
const FAULT_EVERY: Duration = Duration::from_millis(900);
/// How long a fault lasts.
const FAULT_MILLIS: std::ops::Range<u64> = 300..4_000;
/// How long a replica that leaves goes on serving before it is gone.
const DRAIN_TIME: Duration = Duration::from_secs(7);
/// Age of the copy from which the store comes back.
const RETURN_MILLIS: std::ops::Range<u64> = 1_500..5_000;
/// Added delay of a slow link.
const SLOW_MILLIS: std::ops::Range<u64> = 50..600;

/// Replicas that name rate limits, and these in tenths of a request a second.
const LIMITS: usize = 3;
const LIMIT_TENTHS: std::ops::Range<u32> = 2..60;
/// Mixed into the seed, so that limits are drawn apart from the other faults.
const LIMIT_DRAW: u64 = 0x11_3175;

/// Replicas that say that they leave or ask for rest, half each; how long the one goes on serving, and what the other
/// asks for in tenths of a second.
const NOTICES: usize = 6;
const LEAVING_TIME: Duration = Duration::from_secs(7);
const REST_TENTHS: std::ops::Range<u32> = 5..60;
/// Mixed into the seed, as for limits.
const NOTICE_DRAW: u64 = 0x0007_1ce5;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum SoakFault {
    /// An entry VM is killed, and started again at the end.
    KillEntry(usize),
    /// Every entry VM is killed at once.
    KillAll,
    /// An entry VM is stopped as planned, and started again when it has ended.
    StopEntry(usize),
    /// An entry VM is paused.
    FreezeEntry(usize),
    /// The store refuses.
    StoreDown,
    /// The store hangs.
    StoreSilent,
    /// The store answers late.
    StoreSlow(u64),
    /// The answers of some writes are lost.
    StoreLosesAnswers(u32),
    /// All leases lapse.
    LeasesLapse,
    /// The store forgets its history.
    HistoryGone,
    /// The store is away and comes back from a copy that was made when it went.
    StoreReturns,
    /// A region's link to the store loses what nodes send.
    StoreCut(&'static str),
    /// A region's connections to the store go silent for good.
    StoreMute(&'static str),
    /// The link to a replica is slow.
    LinkSlow(usize, u64),
    /// The open connections to a replica are closed.
    LinkReset(usize),
    /// Requests to a replica are lost.
    LinkLosesRequests(usize),
    /// Answers of a replica are lost.
    LinkLosesAnswers(usize),
    /// The open connections to a replica go silent for good.
    LinkMute(usize),
    /// A replica ends, and another one takes its place.
    ReplicaReplaced(usize),
    /// A replica says that it is leaving, and starts again under its id at the end.
    ReplicaDrains(usize),
    /// A replica's entry vanishes without a word, and is back at the end.
    ReplicaVanishes(usize),
    /// A replica names a rate limit, in tenths of a request a second.
    ReplicaLimits(usize, u32),
    /// A replica says in its answers that it leaves, which its entry may not say, and starts again under its id at
    /// the end.
    ReplicaSaysLeaving(usize),
    /// A replica turns requests away and asks for rest, in tenths of a second.
    ReplicaRests(usize, u32),
    /// A replica misbehaves.
    ReplicaIll(usize, ReplicaBehaviour),
    /// The operator adds a route.
    AddRoute,
    /// The operator evacuates a data centre.
    Evacuate(&'static str),
}

impl SoakFault {
    /// Tells whether it may delay or hide news from the store.
    pub(crate) fn hides_news(self) -> bool {
        matches!(
            self,
            Self::KillEntry(_)
                | Self::KillAll
                | Self::StopEntry(_)
                | Self::FreezeEntry(_)
                | Self::StoreDown
                | Self::StoreSilent
                | Self::StoreSlow(_)
                | Self::StoreLosesAnswers(_)
                | Self::LeasesLapse
                | Self::HistoryGone
                | Self::StoreReturns
                | Self::StoreCut(_)
                | Self::StoreMute(_)
        )
    }

    /// Tells whether the store may not take or give what must last.
    pub(crate) fn troubles_store(self) -> bool {
        matches!(
            self,
            Self::StoreDown
                | Self::StoreSilent
                | Self::StoreSlow(_)
                | Self::StoreLosesAnswers(_)
                | Self::LeasesLapse
                | Self::StoreReturns
                | Self::StoreCut(_)
                | Self::StoreMute(_)
        )
    }

    /// Gives the replica whose link it harms, which may keep its answers from the nodes or hold up what they sent.
    pub(crate) fn harms_link_of(self) -> Option<usize> {
        match self {
            Self::LinkSlow(index, _)
            | Self::LinkReset(index)
            | Self::LinkLosesRequests(index)
            | Self::LinkLosesAnswers(index)
            | Self::LinkMute(index) => Some(index),
            _ => None,
        }
    }

    /// Gives the replica whose entry in the store it changes.
    pub(crate) fn registers(self) -> Option<usize> {
        match self {
            Self::ReplicaReplaced(index)
            | Self::ReplicaDrains(index)
            | Self::ReplicaVanishes(index)
            | Self::ReplicaSaysLeaving(index) => Some(index),
            _ => None,
        }
    }
}

/// A fault with its time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedFault {
    /// When it begins, from the start of the calls.
    pub(crate) at: Duration,
    /// When it ends.
    pub(crate) until: Duration,
    /// What it is.
    pub(crate) fault: SoakFault,
}

/// Which kinds of faults a seed draws. Among all of them, each is excused by some other one nearly all of
/// the time: a mutant that sent to leaving replicas, and one whose stops did not wait, went unseen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultMix {
    /// Any.
    Any,
    /// Those of replicas and of the links to them: nothing hides what the store says.
    Replicas,
    /// Planned work: stops, leaving replicas, new routes, evacuations. Nothing may be cut off.
    Planned,
}

impl FaultMix {
    fn of_seed(seed: u64) -> Self {
        match seed % 4 {
            2 => Self::Replicas,
            3 => Self::Planned,
            _ => Self::Any,
        }
    }

    fn has(self, fault: SoakFault) -> bool {
        match self {
            Self::Any => true,
            Self::Replicas => !fault.hides_news(),
            Self::Planned => matches!(
                fault,
                SoakFault::StopEntry(_)
                    | SoakFault::ReplicaDrains(_)
                    | SoakFault::AddRoute
                    | SoakFault::Evacuate(_)
            ),
        }
    }
}

/// All faults of a seed, by their beginning.
#[derive(Clone, Debug)]
pub(crate) struct SoakPlan {
    pub(crate) mix: FaultMix,
    pub(crate) faults: Vec<PlannedFault>,
}

impl SoakPlan {
    /// Adds a return of the store from an older copy. It is drawn apart, so that the other faults of a seed stay.
    pub(crate) fn with_return(mut self, seed: u64, time: Duration) -> Self {
        let mut random = StdRng::seed_from_u64(!seed);
        let at = time.mul_f64(random.random_range(0.1..0.6));
        // The copy is made at the beginning; what follows is lost, until the store is away.
        let lasting = Duration::from_millis(random.random_range(RETURN_MILLIS));
        self.faults.push(PlannedFault {
            at,
            until: at + lasting,
            fault: SoakFault::StoreReturns,
        });
        self
    }

    /// Adds replicas that name rate limits. They are drawn apart, so that the other faults of a seed stay.
    pub(crate) fn with_limits(mut self, seed: u64, time: Duration, site: &SiteCluster) -> Self {
        let mut random = StdRng::seed_from_u64(seed ^ LIMIT_DRAW);
        for _ in 0..LIMITS {
            let replica = random.random_range(0..site.replicas.len());
            let fault = SoakFault::ReplicaLimits(replica, random.random_range(LIMIT_TENTHS));
            self.faults.push(PlannedFault {
                at: time.mul_f64(random.random_range(0.0..0.3)),
                until: time.mul_f64(random.random_range(0.8..1.0)),
                fault,
            });
        }
        self
    }

    /// Adds replicas that say that they leave, or ask for rest. They are drawn apart, so that the other faults of a seed
    /// stay.
    pub(crate) fn with_notices(mut self, seed: u64, time: Duration, site: &SiteCluster) -> Self {
        let mut random = StdRng::seed_from_u64(seed ^ NOTICE_DRAW);
        for number in 0..NOTICES {
            let replica = random.random_range(0..site.replicas.len());
            let at = time.mul_f64(random.random_range(0.0..0.7));
            let (fault, lasting) = if number % 2 == 0 {
                (SoakFault::ReplicaSaysLeaving(replica), LEAVING_TIME)
            } else {
                let rest = random.random_range(REST_TENTHS);
                let lasting = Duration::from_millis(random.random_range(FAULT_MILLIS));
                (SoakFault::ReplicaRests(replica, rest), lasting)
            };
            self.faults.push(PlannedFault {
                at,
                until: at + lasting,
                fault,
            });
        }
        self
    }

    /// Draws the faults of a seed.
    pub(crate) fn draw(seed: u64, time: Duration, site: &SiteCluster) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mix = FaultMix::of_seed(seed);
        let mut faults = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            at += FAULT_EVERY.mul_f64(random.random_range(0.1..1.9));
            if at >= time {
                return Self { mix, faults };
            }
            let fault = loop {
                let drawn = draw_fault(&mut random, site);
                if mix.has(drawn) {
                    break drawn;
                }
            };
            let lasting = match fault {
                SoakFault::ReplicaDrains(_) | SoakFault::ReplicaVanishes(_) => DRAIN_TIME,
                _ => Duration::from_millis(random.random_range(FAULT_MILLIS)),
            };
            faults.push(PlannedFault {
                at,
                until: at + lasting,
                fault,
            });
        }
    }
}

impl fmt::Display for SoakPlan {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for planned in &self.faults {
            write!(
                out,
                "{:.1}-{:.1}s {:?}; ",
                planned.at.as_secs_f64(),
                planned.until.as_secs_f64(),
                planned.fault
            )?;
        }
        Ok(())
    }
}

fn draw_fault(random: &mut StdRng, site: &SiteCluster) -> SoakFault {
    const KINDS: u32 = 23;
    let entry = random.random_range(0..site.entries.len());
    let replica = random.random_range(0..site.replicas.len());
    let region = site.entries[entry].region;
    match random.random_range(0..KINDS) {
        0 => SoakFault::KillEntry(entry),
        1 => SoakFault::KillAll,
        2 => SoakFault::StopEntry(entry),
        3 => SoakFault::FreezeEntry(entry),
        4 => SoakFault::StoreDown,
        5 => SoakFault::StoreSilent,
        6 => SoakFault::StoreSlow(random.random_range(SLOW_MILLIS)),
        7 => SoakFault::StoreLosesAnswers(random.random_range(1..6)),
        8 => SoakFault::LeasesLapse,
        9 => SoakFault::HistoryGone,
        10 => SoakFault::StoreCut(region),
        11 => SoakFault::StoreMute(region),
        12 => SoakFault::LinkSlow(replica, random.random_range(SLOW_MILLIS)),
        13 => SoakFault::LinkReset(replica),
        14 => SoakFault::LinkLosesRequests(replica),
        15 => SoakFault::LinkLosesAnswers(replica),
        16 => SoakFault::LinkMute(replica),
        17 => SoakFault::ReplicaReplaced(replica),
        18 => SoakFault::ReplicaDrains(replica),
        19 => SoakFault::ReplicaVanishes(replica),
        20 => SoakFault::ReplicaIll(replica, draw_illness(random)),
        21 => SoakFault::AddRoute,
        _ => SoakFault::Evacuate(region),
    }
}

fn draw_illness(random: &mut StdRng) -> ReplicaBehaviour {
    match random.random_range(0..5) {
        0 => ReplicaBehaviour::Shed,
        1 => ReplicaBehaviour::Fail,
        2 => ReplicaBehaviour::LoseAnswer,
        3 => ReplicaBehaviour::BreakAfter(random.random_range(0..10)),
        _ => ReplicaBehaviour::Mute,
    }
}

//! Randomized fault schedules: which faults a seed yields, when they begin and how long they last.

use crate::site::SiteCluster;
use crate::test_doubles::answer_form::AnswerBreak;
use crate::test_doubles::answer_form::AnswerEnd;
use crate::test_doubles::answer_form::AnswerForm;
use crate::test_doubles::answer_form::AnswerFraming;
use crate::test_doubles::replica::ReplicaBehaviour;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::fmt;
use zinniahatch_base::prelude::*;

/// Mean time between the beginnings of two faults.
const MEAN_FAULT_INTERVAL: Duration = Duration::from_millis(900);
/// Duration of most faults, in ms.
const FAULT_MS: std::ops::Range<u64> = 300..4_000;
/// Time for which a leaving replica goes on serving before it ends.
const DRAIN_TIME: Duration = Duration::from_secs(7);
/// Age of the backup from which the store is restored, in ms.
const BACKUP_AGE_MS: std::ops::Range<u64> = 1_500..5_000;
/// Added delay of a slow link or store, in ms.
const SLOW_MS: std::ops::Range<u64> = 50..600;

/// Number of replicas that announce a rate limit.
const RATE_LIMITS: usize = 3;
/// Announced rate limits, in tenths of a request per second.
const LIMIT_TENTHS: std::ops::Range<u32> = 2..60;
/// Combined with the seed by XOR, so that limits are drawn independently of the other faults.
const LIMIT_SEED_MASK: u64 = 0x11_3175;

/// Number of notices from replicas: half announce that they are leaving, half ask for backoff.
const NOTICES: usize = 6;
/// Time for which a replica goes on serving after it announced that it is leaving.
const LEAVING_TIME: Duration = Duration::from_secs(7);
/// Requested backoff, in tenths of a second.
const BACKOFF_TENTHS: std::ops::Range<u32> = 5..60;
/// Combined with the seed by XOR, as for limits.
const NOTICE_SEED_MASK: u64 = 0x0007_1ce5;

/// Combined with the seed by XOR, as for limits.
const RELEASE_SEED_MASK: u64 = 0x00fe_1ea5;

/// Number of times that a replica gives its answers another form.
const ANSWER_FORMS: usize = 12;
/// Combined with the seed by XOR, as for limits.
const FORM_SEED_MASK: u64 = 0x000f_0436;

/// Number of replicas that end at short notice, with the time they state. Fewer than the crashes after which
/// a request is quarantined: nodes that do not learn of the notice count them as such.
const SHORT_NOTICES: usize = 2;
const SHORT_NOTICE: Duration = Duration::from_secs(2);
/// Combined with the seed by XOR, as for limits.
const SHORT_NOTICE_SEED_MASK: u64 = 0x0005_0407;

/// Number of times that all replicas refuse.
const REFUSALS: usize = 2;
/// Combined with the seed by XOR, as for limits.
const REFUSAL_SEED_MASK: u64 = 0x0005_0388;

/// Mean time between the beginnings of two silences or other steps of a soak with silences.
const MEAN_SILENCE_INTERVAL: Duration = Duration::from_millis(450);
/// Duration of a silence, in ms.
const SILENCE_MS: std::ops::Range<u64> = 100..3_000;
/// Shortest time between two silences of one replica.
const SILENCE_INTERVAL: Duration = Duration::from_millis(500);
/// Short and long idle timeouts of callers' connections, in ms.
pub(crate) const SHORT_IDLE_MS: std::ops::Range<u64> = 3_000..6_000;
const LONG_IDLE_MS: std::ops::RangeInclusive<u64> = 10_000..=15_000;
/// Combined with the seed by XOR, as for limits.
const SILENCE_SEED_MASK: u64 = 0x0051_1e4c;

/// A fault that a soak injects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum SoakFault {
    /// An entry VM is killed, and started again at the end.
    KillEntry(usize),
    /// Every entry VM is killed at once.
    KillAll,
    /// An entry VM is asked to stop, and started again when it has ended.
    StopEntry(usize),
    /// An entry VM is asked to stop, and started again as soon as it has ended.
    RestartEntry(usize),
    /// An entry VM is paused.
    FreezeEntry(usize),
    /// The store refuses all calls.
    StoreDown,
    /// The store accepts calls and never answers.
    StoreSilent,
    /// The store answers with a delay, in ms.
    StoreSlow(u64),
    /// The store executes this many writes and loses their responses.
    StoreLosesAnswers(u32),
    /// All leases in the store expire.
    LeasesLapse,
    /// The store compacts its history, so that open watches get 410.
    HistoryGone,
    /// The store is restored from a backup that was taken at the beginning of the fault.
    StoreReturns,
    /// A region's link to the store drops what nodes send.
    StoreCut(&'static str),
    /// A region's open connections to the store go silent and stay so.
    StoreMute(&'static str),
    /// The link to a replica is slow, by a delay in ms.
    LinkSlow(usize, u64),
    /// The open connections to a replica are closed.
    LinkReset(usize),
    /// The link to a replica drops requests.
    LinkLosesRequests(usize),
    /// The link to a replica drops responses.
    LinkLosesAnswers(usize),
    /// The open connections to a replica go silent and stay so.
    LinkMute(usize),
    /// The link to a replica holds what it carries, which arrives afterwards.
    LinkHeld(usize),
    /// A replica ends and is replaced by another one.
    ReplicaReplaced(usize),
    /// A replica's store entry says that it is draining; the replica restarts under its id at the end.
    ReplicaDrains(usize),
    /// A replica's store entry is removed without notice, and written again at the end.
    ReplicaVanishes(usize),
    /// A replica reports that it will end soon, and is killed at the end, inside answers that have no
    /// length.
    ReplicaKilled(usize),
    /// A replica announces a rate limit, in tenths of a request per second.
    ReplicaLimits(usize, u32),
    /// A replica announces in its responses that it is leaving, which its store entry may not say,
    /// and restarts under its id at the end.
    ReplicaSaysLeaving(usize),
    /// A replica sheds requests and asks for backoff, in tenths of a second.
    ReplicaRests(usize, u32),
    /// All replicas refuse every request.
    AllRefuse,
    /// A replica misbehaves.
    ReplicaIll(usize, ReplicaBehaviour),
    /// The operator adds a route.
    AddRoute,
    /// The operator sets the idle timeout of callers' connections, in ms.
    IdleTimeout(u64),
    /// The operator evacuates a data centre.
    Evacuate(&'static str),
}

impl SoakFault {
    /// Returns whether the fault may delay updates from the store or keep them from nodes.
    pub(crate) fn delays_store_updates(self) -> bool {
        matches!(
            self,
            Self::KillEntry(_)
                | Self::KillAll
                | Self::StopEntry(_)
                | Self::RestartEntry(_)
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

    /// Returns whether the store may fail to persist or return state.
    pub(crate) fn impairs_store(self) -> bool {
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

    /// Returns the replica whose link the fault impairs, so that its responses may be lost or
    /// requests to it delayed.
    pub(crate) fn impaired_link(self) -> Option<usize> {
        match self {
            Self::LinkSlow(index, _)
            | Self::LinkReset(index)
            | Self::LinkLosesRequests(index)
            | Self::LinkLosesAnswers(index)
            | Self::LinkMute(index)
            | Self::LinkHeld(index) => Some(index),
            _ => None,
        }
    }

    /// Returns the replica whose store entry the fault changes.
    pub(crate) fn changed_entry(self) -> Option<usize> {
        match self {
            Self::ReplicaReplaced(index)
            | Self::ReplicaDrains(index)
            | Self::ReplicaVanishes(index)
            | Self::ReplicaKilled(index)
            | Self::ReplicaSaysLeaving(index) => Some(index),
            _ => None,
        }
    }
}

/// A fault with its start and end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedFault {
    /// Start, counted from the beginning of the schedule.
    pub(crate) at: Duration,
    /// End, counted likewise.
    pub(crate) until: Duration,
    /// The fault.
    pub(crate) fault: SoakFault,
}

/// Which kinds of faults a seed draws.
///
/// When all kinds are mixed, nearly every violation is exempted by some other fault: a mutant that
/// sent to leaving replicas, and one whose stops did not wait, went undetected. Two mixes are
/// therefore restricted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultMix {
    /// All kinds.
    Any,
    /// Faults of replicas and of links to them; updates from the store arrive in time.
    Replicas,
    /// Planned operations: stops, leaving replicas, new routes, evacuations. No response may be cut
    /// off.
    Planned,
    /// Silences of replicas beside planned operations and pauses of entry VMs.
    Silences,
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
            Self::Any | Self::Silences => true,
            Self::Replicas => !fault.delays_store_updates(),
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

/// The fault schedule of a seed.
#[derive(Clone, Debug)]
pub(crate) struct SoakPlan {
    pub(crate) mix: FaultMix,
    pub(crate) faults: Vec<PlannedFault>,
}

impl SoakPlan {
    /// Adds a restore of the store from an older backup, drawn independently, so that the seed's
    /// other faults stay.
    pub(crate) fn with_store_restore(mut self, seed: u64, time: Duration) -> Self {
        let mut random = StdRng::seed_from_u64(!seed);
        let at = time.mul_f64(random.random_range(0.1..0.6));
        // The backup is taken at the beginning of the fault; writes after that are lost at its end.
        let duration = Duration::from_millis(random.random_range(BACKUP_AGE_MS));
        self.faults.push(PlannedFault {
            at,
            until: at + duration,
            fault: SoakFault::StoreReturns,
        });
        self
    }

    /// Adds replicas that announce rate limits, drawn independently, so that the seed's other
    /// faults stay.
    pub(crate) fn with_limits(mut self, seed: u64, time: Duration, site: &SiteCluster) -> Self {
        let mut random = StdRng::seed_from_u64(seed ^ LIMIT_SEED_MASK);
        for _ in 0..RATE_LIMITS {
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

    /// Adds replicas that announce that they are leaving or ask for backoff, drawn independently,
    /// so that the seed's other faults stay.
    pub(crate) fn with_notices(mut self, seed: u64, time: Duration, site: &SiteCluster) -> Self {
        let mut random = StdRng::seed_from_u64(seed ^ NOTICE_SEED_MASK);
        for number in 0..NOTICES {
            let replica = random.random_range(0..site.replicas.len());
            let at = time.mul_f64(random.random_range(0.0..0.7));
            let (fault, duration) = if number % 2 == 0 {
                (SoakFault::ReplicaSaysLeaving(replica), LEAVING_TIME)
            } else {
                let backoff = random.random_range(BACKOFF_TENTHS);
                let duration = Duration::from_millis(random.random_range(FAULT_MS));
                (SoakFault::ReplicaRests(replica, backoff), duration)
            };
            self.faults.push(PlannedFault {
                at,
                until: at + duration,
                fault,
            });
        }
        self
    }

    /// Adds replicas that are killed at short notice inside answers without a length, drawn independently,
    /// so that the seed's other faults stay.
    pub(crate) fn with_short_notices(
        mut self,
        seed: u64,
        time: Duration,
        site: &SiteCluster,
    ) -> Self {
        let mut random = StdRng::seed_from_u64(seed ^ SHORT_NOTICE_SEED_MASK);
        for _ in 0..SHORT_NOTICES {
            let replica = random.random_range(0..site.replicas.len());
            let at = time.mul_f64(random.random_range(0.0..0.8));
            self.faults.push(PlannedFault {
                at,
                until: at + SHORT_NOTICE,
                fault: SoakFault::ReplicaKilled(replica),
            });
        }
        self
    }

    /// Adds times at which all replicas refuse, drawn independently, so that the seed's other faults
    /// stay.
    pub(crate) fn with_refusals(mut self, seed: u64, time: Duration) -> Self {
        let mut random = StdRng::seed_from_u64(seed ^ REFUSAL_SEED_MASK);
        for _ in 0..REFUSALS {
            let at = time.mul_f64(random.random_range(0.0..0.6));
            self.faults.push(PlannedFault {
                at,
                until: at + time.mul_f64(random.random_range(0.1..0.4)),
                fault: SoakFault::AllRefuse,
            });
        }
        self
    }

    /// Adds replicas that leave or are replaced one after the other, drawn independently, so that the
    /// seed's other faults stay.
    pub(crate) fn with_release(mut self, seed: u64, time: Duration, site: &SiteCluster) -> Self {
        let mut random = StdRng::seed_from_u64(seed ^ RELEASE_SEED_MASK);
        for replica in 0..site.replicas.len() {
            let at = time.mul_f64(random.random_range(0.1..0.9));
            let fault = if random.random_bool(0.5) {
                SoakFault::ReplicaDrains(replica)
            } else {
                SoakFault::ReplicaReplaced(replica)
            };
            self.faults.push(PlannedFault {
                at,
                until: at + DRAIN_TIME,
                fault,
            });
        }
        self
    }

    /// Adds replicas whose answers have other forms, whole or broken off, drawn independently, so that
    /// the seed's other faults stay.
    pub(crate) fn with_answer_forms(
        mut self,
        seed: u64,
        time: Duration,
        site: &SiteCluster,
    ) -> Self {
        let mut random = StdRng::seed_from_u64(seed ^ FORM_SEED_MASK);
        for _ in 0..ANSWER_FORMS {
            let replica = random.random_range(0..site.replicas.len());
            let form = draw_answer_form(&mut random);
            let at = time.mul_f64(random.random_range(0.0..0.8));
            self.faults.push(PlannedFault {
                at,
                until: at + Duration::from_millis(random.random_range(FAULT_MS)),
                fault: SoakFault::ReplicaIll(replica, ReplicaBehaviour::Answer(form)),
            });
        }
        self
    }

    /// Draws the faults of a seed; the same seed gives the same faults.
    pub(crate) fn draw(seed: u64, time: Duration, site: &SiteCluster) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mix = FaultMix::of_seed(seed);
        let mut faults = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            at += MEAN_FAULT_INTERVAL.mul_f64(random.random_range(0.1..1.9));
            if at >= time {
                return Self { mix, faults };
            }
            let fault = loop {
                let drawn = draw_fault(&mut random, site);
                if mix.has(drawn) {
                    break drawn;
                }
            };
            let duration = match fault {
                SoakFault::ReplicaDrains(_) | SoakFault::ReplicaVanishes(_) => DRAIN_TIME,
                _ => Duration::from_millis(random.random_range(FAULT_MS)),
            };
            faults.push(PlannedFault {
                at,
                until: at + duration,
                fault,
            });
        }
    }
}

impl SoakPlan {
    /// Draws silences beside planned operations and pauses of entry VMs. An idle timeout that is short at
    /// first is raised under open connections.
    pub(crate) fn draw_silences(seed: u64, time: Duration, site: &SiteCluster) -> Self {
        let mut random = StdRng::seed_from_u64(!seed);
        let raised_at = time.mul_f64(random.random_range(0.1..0.3));
        let mut faults = vec![PlannedFault {
            at: raised_at,
            until: raised_at,
            fault: SoakFault::IdleTimeout(random.random_range(LONG_IDLE_MS)),
        }];
        let mut random = StdRng::seed_from_u64(seed ^ SILENCE_SEED_MASK);
        let mut at = Duration::ZERO;
        let mut idle_is_short = false;
        // Silences of one replica do not overlap, so that none lasts longer than drawn.
        let mut next_silence = vec![Duration::ZERO; site.replicas.len()];
        loop {
            at += MEAN_SILENCE_INTERVAL.mul_f64(random.random_range(0.1..1.9));
            if at >= time {
                let mix = FaultMix::Silences;
                return Self { mix, faults };
            }
            let mut until = at + Duration::from_millis(random.random_range(SILENCE_MS));
            let entry = random.random_range(0..site.entries.len());
            let replica = random.random_range(0..site.replicas.len());
            let fault = match random.random_range(0..10) {
                0..5 => {
                    for replica in draw_silent_replicas(&mut random, site, replica) {
                        if at < next_silence[replica] {
                            continue;
                        }
                        next_silence[replica] = until + SILENCE_INTERVAL;
                        let fault = SoakFault::LinkHeld(replica);
                        faults.push(PlannedFault { at, until, fault });
                    }
                    continue;
                }
                5 => SoakFault::RestartEntry(entry),
                6 => SoakFault::FreezeEntry(entry),
                7 => SoakFault::ReplicaDrains(replica),
                8 => {
                    idle_is_short = !idle_is_short;
                    let millis = if idle_is_short {
                        random.random_range(SHORT_IDLE_MS)
                    } else {
                        random.random_range(LONG_IDLE_MS)
                    };
                    SoakFault::IdleTimeout(millis)
                }
                _ => SoakFault::AddRoute,
            };
            if matches!(fault, SoakFault::ReplicaDrains(_)) {
                until = at + DRAIN_TIME;
            }
            faults.push(PlannedFault { at, until, fault });
        }
    }
}

/// Draws which replicas fall silent: `replica`, some of its region, or all of it.
fn draw_silent_replicas(random: &mut StdRng, site: &SiteCluster, replica: usize) -> Vec<usize> {
    let share = [0.0, 0.5, 1.0][random.random_range(0..3)];
    let region = site.replicas[replica].1;
    let others = (0..site.replicas.len()).filter(|other| site.replicas[*other].1 == region);
    others
        .filter(|other| *other == replica || random.random_bool(share))
        .collect()
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
        6 => SoakFault::StoreSlow(random.random_range(SLOW_MS)),
        7 => SoakFault::StoreLosesAnswers(random.random_range(1..6)),
        8 => SoakFault::LeasesLapse,
        9 => SoakFault::HistoryGone,
        10 => SoakFault::StoreCut(region),
        11 => SoakFault::StoreMute(region),
        12 => SoakFault::LinkSlow(replica, random.random_range(SLOW_MS)),
        13 => SoakFault::LinkReset(replica),
        14 => SoakFault::LinkLosesRequests(replica),
        15 => SoakFault::LinkLosesAnswers(replica),
        16 => SoakFault::LinkMute(replica),
        17 => SoakFault::ReplicaReplaced(replica),
        18 => SoakFault::ReplicaDrains(replica),
        19 => SoakFault::ReplicaVanishes(replica),
        20 => SoakFault::ReplicaIll(replica, draw_misbehaviour(random)),
        21 => SoakFault::AddRoute,
        _ => SoakFault::Evacuate(region),
    }
}

/// Draws a form of which a caller can tell whether the answer is whole.
fn draw_answer_form(random: &mut StdRng) -> AnswerForm {
    let framing = match random.random_range(0..3) {
        0 => AnswerFraming::Chunks,
        1 => AnswerFraming::Length,
        _ => AnswerFraming::Close,
    };
    if random.random_range(0..3) == 0 {
        return AnswerForm::whole(framing);
    }
    // A crash is no end here: all callers send the same content, which would be quarantined for it.
    let end = match random.random_range(0..3) {
        0 => AnswerEnd::Close,
        1 => AnswerEnd::Reset,
        _ => AnswerEnd::Silence,
    };
    // Nothing tells where an answer without a length or chunks is closed in order between two events.
    let undecidable = framing == AnswerFraming::Close && end == AnswerEnd::Close;
    let broken = AnswerBreak {
        after: random.random_range(0..super::SHAPE.events),
        inside_event: undecidable || random.random_bool(0.5),
        end,
    };
    AnswerForm {
        framing,
        broken: Some(broken),
    }
}

fn draw_misbehaviour(random: &mut StdRng) -> ReplicaBehaviour {
    match random.random_range(0..5) {
        0 => ReplicaBehaviour::Shed,
        1 => ReplicaBehaviour::Fail,
        2 => ReplicaBehaviour::LoseAnswer,
        3 => ReplicaBehaviour::BreakAfter(random.random_range(0..10)),
        _ => ReplicaBehaviour::Mute,
    }
}

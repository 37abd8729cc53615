//! Randomized soak test: real processes on one machine, with faults injected from outside.
//!
//! The seed determines which faults begin when and how long they last; faults may overlap. Callers
//! send requests throughout and check each response on arrival. After the last fault, the requests
//! recorded by the replicas are compared with the responses that callers got, and every entry VM
//! must serve again.

mod callers;
mod crashing_caller;
mod crashing_part;
mod idle_callers;
mod injector;
mod invariants;
mod limits;
mod notices;
mod plan;
mod retries;
mod silences;
mod slow_readers;
mod stream_follower;

use crate::site::SiteCluster;
use crate::site::SiteRegion;
use crate::test_doubles::replica::StreamShape;
use callers::CallerHabits;
use callers::CallerPool;
use crashing_caller::CrashingCaller;
use crashing_part::PartCallers;
use idle_callers::IdleCallers;
use injector::FaultInjector;
use invariants::OutcomeLog;
use invariants::RouteKind;
use plan::SHORT_IDLE_MS;
use plan::SoakPlan;
use slow_readers::SlowReaders;
use std::sync::Arc;
use zinniahatch_base::prelude::*;

/// Number of events of a stream and the pause before each.
const SHAPE: StreamShape = StreamShape {
    events: 20,
    pause: Duration::from_millis(40),
};

/// The same beside silences: a stream lasts longer than the silence after which it is moved.
const LONG_SHAPE: StreamShape = StreamShape {
    events: SHAPE.events,
    pause: Duration::from_millis(150),
};
/// Shortest and longest time limit that callers give a request, in ms, for the two shapes.
const TIME_LIMIT_MS: (u64, u64) = (1_500, 6_000);
const LONG_TIME_LIMIT_MS: (u64, u64) = (3_500, 9_000);

/// Software versions that serve side by side at first, and the one of replicas that start later.
const VERSIONS: [&str; 2] = ["v1", "v1.1"];
const NEW_VERSION: &str = "v1.2";

/// Which notices replicas send in their response headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaAnnouncements {
    /// Replicas announce rate limits.
    pub limits: bool,
    /// Replicas announce that they are leaving, or ask for backoff.
    pub notices: bool,
}

/// How replicas answer beside the faults that a seed draws.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaAnswers {
    /// All replicas refuse for some time.
    pub refusals: bool,
    /// Replicas give their answers other forms, whole or broken off.
    pub forms: bool,
    /// Replicas of two software versions serve side by side, and are replaced by the newer one.
    pub versions: bool,
}

/// Retry slack of the users' deployments, in retries of all nodes within a window.
pub const USUAL_RETRY_SLACK: f64 = 54.0;

/// Which faults a seed draws.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DrawnFaults {
    /// Faults of any kind, or of a kind that the seed chooses.
    #[default]
    Usual,
    /// Replicas are silent for a time and go on, beside planned operations and pauses of entry VMs.
    Silences,
    /// The usual ones, beside replicas that are killed at short notice inside answers without a length
    /// and callers that read large answers slowly.
    Ends,
}

/// Options of a soak.
#[derive(Clone, Copy, Debug)]
pub struct SoakRun {
    /// The first seed.
    pub seed: u64,
    /// Number of seeds, which run one after the other.
    pub seeds: u64,
    /// Time during which faults begin, for each seed.
    pub time: Duration,
    /// Entry VMs in each of the three regions.
    pub entries: usize,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Whether one more caller repeats a request that crashes each replica that runs it.
    pub crashing_request: bool,
    /// Whether further callers share a prompt part that crashes each replica that begins an answer on
    /// it.
    pub crashing_part: bool,
    /// Which faults the seeds draw.
    pub faults: DrawnFaults,
    /// Whether the store is restored from an older backup.
    pub store_restore: bool,
    /// Which notices replicas send in their response headers.
    pub announcements: ReplicaAnnouncements,
    /// How replicas answer.
    pub answers: ReplicaAnswers,
    /// Retries that all nodes together may send in a window in addition to a share of the requests.
    pub retry_slack: f64,
}

/// Runs all seeds in sequence; returns the number of violated invariants.
pub async fn run(soak: &SoakRun) -> usize {
    let mut broken = 0;
    for seed in soak.seed..soak.seed + soak.seeds {
        let found = run_seed(soak, seed).await;
        broken += found.len();
        for line in &found {
            println!("  BROKEN {line}");
        }
    }
    println!(
        "{}",
        serde_json::json!({"first_seed": soak.seed, "seeds": soak.seeds, "violations": broken})
    );
    broken
}

/// Draws the faults of a seed.
fn draw_plan(soak: &SoakRun, seed: u64, site: &SiteCluster) -> SoakPlan {
    let mut plan = if soak.faults == DrawnFaults::Silences {
        SoakPlan::draw_silences(seed, soak.time, site)
    } else {
        SoakPlan::draw(seed, soak.time, site)
    };
    if soak.store_restore {
        plan = plan.with_store_restore(seed, soak.time);
    }
    if soak.announcements.limits {
        plan = plan.with_limits(seed, soak.time, site);
    }
    if soak.announcements.notices {
        plan = plan.with_notices(seed, soak.time, site);
    }
    if soak.answers.refusals {
        plan = plan.with_refusals(seed, soak.time);
    }
    if soak.answers.forms {
        plan = plan.with_answer_forms(seed, soak.time, site);
    }
    if soak.faults == DrawnFaults::Ends {
        plan = plan.with_short_notices(seed, soak.time, site);
    }
    if soak.answers.versions {
        plan = plan.with_release(seed, soak.time, site);
    }
    plan
}

/// Runs one seed; returns a description of each violated invariant.
pub async fn run_seed(soak: &SoakRun, seed: u64) -> Vec<String> {
    let regions = [("north", 3), ("south", 2), ("west", 1)].map(|(name, replicas)| SiteRegion {
        name,
        entries: soak.entries,
        replicas,
    });
    let silences = soak.faults == DrawnFaults::Silences;
    let shape = if silences { LONG_SHAPE } else { SHAPE };
    let mut site = SiteCluster::prepare(&regions, shape).await;
    if soak.answers.versions {
        for index in 0..site.replicas.len() {
            site.set_version(index, VERSIONS[index % VERSIONS.len()]);
        }
        site.release_version(NEW_VERSION);
    }
    if silences {
        site.configure_idle_timeout(1, &[], SHORT_IDLE_MS.start);
    }
    let mut site = site.start_prepared(soak.retry_slack).await;
    let plan = draw_plan(soak, seed, &site);
    let ends = soak.faults == DrawnFaults::Ends;
    let log = Arc::new(OutcomeLog::default());
    let habits = CallerHabits {
        routes: RouteKind::drawn(soak.answers.forms || ends),
        follow: soak.answers.versions,
        time_limit_ms: if silences {
            LONG_TIME_LIMIT_MS
        } else {
            TIME_LIMIT_MS
        },
        stay: silences,
    };
    let callers = CallerPool::start(seed, soak.callers, habits, &site, &log);
    let idle_callers = silences.then(|| IdleCallers::start(seed, &site, &log));
    let slow_readers = ends.then(|| SlowReaders::start(&site));
    let crashing_caller = soak
        .crashing_request
        .then(|| CrashingCaller::start(seed, &site));
    let part_callers = soak.crashing_part.then(|| PartCallers::start(seed, &site));
    let mut injector = FaultInjector::new(&plan);
    injector.run(&mut site, &log).await;
    callers.stop().await;
    if let Some(slow_readers) = slow_readers {
        let started = injector.started;
        slow_readers.check(&site, &plan, started, &log).await;
    }
    if let Some(idle_callers) = idle_callers {
        idle_callers.check(&site, &injector, &log).await;
        silences::check_lost(&site, &plan, &injector, &log);
        silences::check_overlaps(&site, &plan, injector.started, &log);
    }
    invariants::check_recovery(&mut site, &injector, &log).await;
    if let Some(crashing_caller) = crashing_caller {
        crashing_caller.check(&mut site, &plan, &log).await;
    }
    if let Some(part_callers) = part_callers {
        let started = injector.started;
        part_callers.check(&mut site, &plan, started, &log).await;
    }
    limits::check_limits(&site, &plan, injector.started, &log);
    notices::check_notices(&site, &plan, injector.started, &log);
    retries::check_retries(&site, soak.retry_slack, &log);
    let replicas_fail = soak.crashing_request || soak.crashing_part || soak.answers.forms || ends;
    invariants::check_runs(&site, plan.mix, replicas_fail, &log);
    let broken = log.take_violations();
    println!(
        "seed {seed}: {} faults ({:?}) in {:?}, {}, {} broken",
        plan.faults.len(),
        plan.mix,
        soak.time,
        log.summary(),
        broken.len()
    );
    if !broken.is_empty() {
        println!("  faults: {plan}");
        site.keep_logs();
        println!("  logs: {}", site.folder().display());
    }
    broken
}

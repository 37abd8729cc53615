//! A randomized fault soak: the real programs as processes on one machine, faults injected from outside.
//!
//! A seed draws which faults begin when and how long they last; they overlap freely. Callers keep calling
//! through it all and check each answer as it comes; when all faults are over, the books of the
//! replicas are compared with what callers were told, and every entry VM must serve again.

mod callers;
mod fatal;
mod faults;
mod limits;
mod notices;
mod plan;
mod promises;

use crate::site::SiteCluster;
use crate::site::SiteRegion;
use crate::test_doubles::replica::StreamShape;
use callers::CallerCrowd;
use fatal::FatalCaller;
use faults::FaultBoard;
use plan::SoakPlan;
use promises::PromiseBook;
use std::sync::Arc;
use zinniahatch_base::prelude::*;

/// Events of a stream and the pause before each.
const SHAPE: StreamShape = StreamShape {
    events: 20,
    pause: Duration::from_millis(40),
};

/// What replicas say of themselves in their answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaWords {
    /// They name rate limits.
    pub limits: bool,
    /// They say that they leave, or ask for rest.
    pub notices: bool,
}

/// What to run.
#[derive(Clone, Copy, Debug)]
pub struct SoakRun {
    /// The first seed.
    pub seed: u64,
    /// How many seeds, one after the other.
    pub seeds: u64,
    /// How long faults begin, for each seed.
    pub time: Duration,
    /// Entry VMs in each of the three regions.
    pub entries: usize,
    /// Callers at once.
    pub callers: usize,
    /// Whether one more caller comes with a request that ends each replica which begins it.
    pub fatal: bool,
    /// Whether the store comes back from an older copy.
    pub returns: bool,
    /// What replicas say of themselves in their answers.
    pub words: ReplicaWords,
}

/// Runs seed after seed; gives how many promises broke.
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

/// Runs one seed; gives the promises that broke.
pub async fn run_seed(soak: &SoakRun, seed: u64) -> Vec<String> {
    let regions = [("north", 3), ("south", 2), ("west", 1)].map(|(name, replicas)| SiteRegion {
        name,
        entries: soak.entries,
        replicas,
    });
    let mut site = SiteCluster::start(&regions, SHAPE).await;
    let mut plan = SoakPlan::draw(seed, soak.time, &site);
    if soak.returns {
        plan = plan.with_return(seed, soak.time);
    }
    if soak.words.limits {
        plan = plan.with_limits(seed, soak.time, &site);
    }
    if soak.words.notices {
        plan = plan.with_notices(seed, soak.time, &site);
    }
    let book = Arc::new(PromiseBook::default());
    let crowd = CallerCrowd::start(seed, soak.callers, &site, &book);
    let fatal = soak.fatal.then(|| FatalCaller::start(seed, &site));
    let mut board = FaultBoard::new(&plan);
    board.play(&mut site, &book).await;
    crowd.stop().await;
    promises::check_recovery(&mut site, &board, &book).await;
    if let Some(fatal) = fatal {
        fatal.check(&mut site, &plan, &book).await;
    }
    limits::check_limits(&site, &plan, board.began, &book);
    notices::check_notices(&site, &plan, board.began, &book);
    promises::check_runs(&site, plan.mix, soak.fatal, &book);
    let broken = book.take_broken();
    println!(
        "seed {seed}: {} faults ({:?}) in {:?}, {}, {} broken",
        plan.faults.len(),
        plan.mix,
        soak.time,
        book.summary(),
        broken.len()
    );
    if !broken.is_empty() {
        println!("  faults: {plan}");
        site.keep_logs();
        println!("  logs: {}", site.folder().display());
    }
    broken
}

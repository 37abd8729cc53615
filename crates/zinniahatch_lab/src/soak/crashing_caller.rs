//! A caller that repeats a request which crashes each replica that runs it, through any entry VM.

use super::invariants::OutcomeLog;
use super::plan::SoakFault;
use super::plan::SoakPlan;
use crate::site::HOST;
use crate::site::SiteCluster;
use crate::site::wait_until;
use crate::test_doubles::crashing::RequestContent;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use reqwest::Client;
use reqwest::StatusCode;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;

/// The path of the request.
const PATH: &str = "/stream/fatal";
/// Pause between two tries, in ms.
const PAUSE_MS: std::ops::Range<u64> = 50..400;
/// Number of replica crashes after which the request is quarantined.
const CRASHES_BEFORE_QUARANTINE: u32 = 3;
/// Further crashes allowed once every reachable node has the request in quarantine.
const MAX_LATE_CRASHES: u32 = 3;
/// Time by which a store fault and a kill of all nodes may be apart and still affect each other.
const OVERLAP_MARGIN: Duration = Duration::from_secs(6);

/// The running caller.
pub(crate) struct CrashingCaller {
    content: RequestContent,
    task: JoinHandle<()>,
}

impl CrashingCaller {
    /// Starts the caller.
    pub(crate) fn start(seed: u64, site: &SiteCluster) -> Self {
        let content = RequestContent::from_path(PATH);
        site.crashing_requests.add(content.clone());
        let fronts = site.entries.iter().map(|entry| entry.addresses[0].clone());
        let task = tokio::spawn(send_repeatedly(seed, fronts.collect()));
        Self { content, task }
    }

    /// Stops the caller and checks that every node refuses the request with few further crashes.
    pub(crate) async fn check(self, site: &mut SiteCluster, plan: &SoakPlan, log: &OutcomeLog) {
        self.task.abort();
        let before = site.crashing_requests.crashes(&self.content);
        let tries = AtomicU32::new(0);
        for index in 0..site.entries.len() {
            wait_until("an entry VM refuses the crashing request", async || {
                site.replace_crashed().await;
                let number = tries.fetch_add(1, Ordering::SeqCst);
                let attempt = format!("fatal-after-{number}");
                let response = site.request(index, PATH, &attempt).send().await;
                response.is_ok_and(|response| response.status() == StatusCode::TOO_MANY_REQUESTS)
            })
            .await;
        }
        let late = site.crashing_requests.crashes(&self.content) - before;
        let max_late = CRASHES_BEFORE_QUARANTINE.saturating_sub(before) + MAX_LATE_CRASHES;
        if late > max_late && !may_lose_quarantine(plan) {
            log.record_violation(format!(
                "{late} replicas ended under the fatal request after {before} had"
            ));
        }
    }
}

/// Returns whether all nodes may have lost the quarantine while the store could not persist it.
fn may_lose_quarantine(plan: &SoakPlan) -> bool {
    let overlap = |kill: &super::plan::PlannedFault, other: &super::plan::PlannedFault| {
        other.at < kill.until + OVERLAP_MARGIN && kill.at < other.until + OVERLAP_MARGIN
    };
    let kills = plan
        .faults
        .iter()
        .filter(|kill| kill.fault == SoakFault::KillAll);
    kills.into_iter().any(|kill| {
        let others = plan
            .faults
            .iter()
            .filter(|other| other.fault.impairs_store());
        others.into_iter().any(|other| overlap(kill, other))
    })
}

async fn send_repeatedly(seed: u64, fronts: Vec<Box<str>>) {
    let mut random = StdRng::seed_from_u64(seed);
    let client = Client::new();
    for number in 0_u32.. {
        let front = &fronts[random.random_range(0..fronts.len())];
        let request = client
            .get(format!("http://{front}{PATH}"))
            .header("host", HOST)
            .header("x-attempt-id", format!("fatal-{number}"))
            .header("x-time-remaining", "3000");
        // The caller repeats the request whatever the outcome.
        if let Ok(response) = request.send().await {
            let _ = response.bytes().await;
        }
        sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
    }
}

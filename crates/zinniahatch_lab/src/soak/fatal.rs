//! A caller whose request ends each replica that begins it, and who comes again at any node.

use super::plan::SoakFault;
use super::plan::SoakPlan;
use super::promises::PromiseBook;
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
const PAUSE: std::ops::Range<u64> = 50..400;
/// Ends of replicas after which the request is known.
const KNOWN_ENDS: u32 = 3;
/// Ends that may follow once every node that is in touch knows it.
const LATE_ENDS: u32 = 3;
/// Time within which trouble of the store and a kill of all nodes touch each other.
const NEAR: Duration = Duration::from_secs(6);

/// The caller on its way.
pub(crate) struct FatalCaller {
    content: RequestContent,
    task: JoinHandle<()>,
}

impl FatalCaller {
    /// Starts it.
    pub(crate) fn start(seed: u64, site: &SiteCluster) -> Self {
        let content = RequestContent::from_path(PATH);
        site.crashing_requests.add(content.clone());
        let fronts = site.entries.iter().map(|entry| entry.addresses[0].clone());
        let task = tokio::spawn(repeat(seed, fronts.collect()));
        Self { content, task }
    }

    /// Ends it and checks that every node tells it, once all is well, without many replicas more.
    pub(crate) async fn check(self, site: &mut SiteCluster, plan: &SoakPlan, book: &PromiseBook) {
        self.task.abort();
        let before = site.crashing_requests.crashes(&self.content);
        let tries = AtomicU32::new(0);
        for index in 0..site.entries.len() {
            wait_until("a node knows the fatal request", async || {
                site.replace_crashed().await;
                let number = tries.fetch_add(1, Ordering::SeqCst);
                let attempt = format!("fatal-after-{number}");
                let answer = site.call(index, PATH, &attempt).send().await;
                answer.is_ok_and(|answer| answer.status() == StatusCode::TOO_MANY_REQUESTS)
            })
            .await;
        }
        let late = site.crashing_requests.crashes(&self.content) - before;
        let most = KNOWN_ENDS.saturating_sub(before) + LATE_ENDS;
        if late > most && !forgets(plan) {
            book.note_broken(format!(
                "{late} replicas ended under the fatal request after {before} had"
            ));
        }
    }
}

/// Tells whether all nodes may have lost what they knew while the store could not keep it.
fn forgets(plan: &SoakPlan) -> bool {
    let touch = |kill: &super::plan::PlannedFault, other: &super::plan::PlannedFault| {
        other.at < kill.until + NEAR && kill.at < other.until + NEAR
    };
    let kills = plan
        .faults
        .iter()
        .filter(|kill| kill.fault == SoakFault::KillAll);
    kills.into_iter().any(|kill| {
        let others = plan
            .faults
            .iter()
            .filter(|other| other.fault.troubles_store());
        others.into_iter().any(|other| touch(kill, other))
    })
}

async fn repeat(seed: u64, fronts: Vec<Box<str>>) {
    let mut random = StdRng::seed_from_u64(seed);
    let client = Client::new();
    for number in 0_u32.. {
        let front = &fronts[random.random_range(0..fronts.len())];
        let call = client
            .get(format!("http://{front}{PATH}"))
            .header("host", HOST)
            .header("x-attempt-id", format!("fatal-{number}"))
            .header("x-time-remaining", "3000");
        // Whatever comes of it, the caller comes again.
        if let Ok(answer) = call.send().await {
            let _ = answer.bytes().await;
        }
        sleep(Duration::from_millis(random.random_range(PAUSE))).await;
    }
}

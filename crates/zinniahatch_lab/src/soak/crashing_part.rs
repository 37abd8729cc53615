//! Callers whose prompts have a part that crashes each replica which begins an answer on it, and
//! callers that share the other parts, through any entry VM.

use super::invariants::OutcomeLog;
use super::plan::SoakPlan;
use crate::site::HOST;
use crate::site::SiteCluster;
use crate::site::wait_until;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use reqwest::Client;
use reqwest::StatusCode;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;

/// Id of the crashing part.
const CRASHING: &str = "dead";
/// The first part of sound prompts, which crashing ones share at times.
const SHARED: &str = "aa:800";
/// Pause between two requests with the crashing part, in ms.
const CRASHING_PAUSE_MS: std::ops::Range<u64> = 50..600;
/// Pause between two sound requests, in ms.
const SOUND_PAUSE_MS: std::ops::Range<u64> = 20..400;
/// Number of crashes after which only a few more such requests may reach replicas.
const CRASHES_BEFORE_BOUND: usize = 5;
/// Largest number of those requests.
const MAX_LATE_REQUESTS: usize = 3;
/// Time after that crash, and after a fault that keeps updates from nodes, from which they count.
const CONTACT_TIME: Duration = Duration::from_secs(6);
/// Sound requests sent to each entry VM at the end, of which at least half must be answered.
const FINAL_REQUESTS: u32 = 10;

/// Where the crashing part stands in a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PartPlace {
    BehindShared,
    BehindOthers,
    First,
}

/// The running callers.
pub(crate) struct PartCallers {
    tasks: Vec<JoinHandle<()>>,
}

impl PartCallers {
    /// Starts the callers.
    pub(crate) fn start(seed: u64, site: &SiteCluster) -> Self {
        site.crashing_requests.add_part(CRASHING);
        let fronts = site.entries.iter().map(|entry| entry.addresses[0].clone());
        let fronts: Vec<Box<str>> = fronts.collect();
        let tasks = vec![
            tokio::spawn(send_crashing(seed, fronts.clone())),
            tokio::spawn(send_sound(seed, fronts)),
        ];
        Self { tasks }
    }

    /// Stops the callers and checks both bounds: few requests with the crashing part reached replicas
    /// once it was known, and every node serves sound ones.
    pub(crate) async fn check(
        self,
        site: &mut SiteCluster,
        plan: &SoakPlan,
        started: Instant,
        log: &OutcomeLog,
    ) {
        for task in &self.tasks {
            task.abort();
        }
        let record = site.crashing_requests.part_record(CRASHING);
        let known = record.crash_time(CRASHES_BEFORE_BOUND);
        let late = record.arrivals.iter().filter(|at| {
            known.is_some_and(|known| **at > known + CONTACT_TIME)
                && !is_disturbed(plan, **at - started)
        });
        let late = late.count();
        if late > MAX_LATE_REQUESTS {
            log.record_violation(format!(
                "{late} requests with the crashing part reached replicas late; {} replicas ended",
                record.crashes.len()
            ));
        }
        for index in 0..site.entries.len() {
            check_sound(site, index, log).await;
        }
    }
}

/// Returns whether a fault kept updates from nodes shortly before a time of the schedule.
fn is_disturbed(plan: &SoakPlan, at: Duration) -> bool {
    let mut faults = plan.faults.iter();
    faults.any(|planned| {
        planned.fault.delays_store_updates()
            && planned.at <= at
            && at <= planned.until + CONTACT_TIME
    })
}

async fn check_sound(site: &mut SiteCluster, index: usize, log: &OutcomeLog) {
    let client = Client::new();
    let front = site.entries[index].addresses[0].clone();
    let mut tries = 0;
    wait_until("an entry VM serves a sound request", async || {
        site.replace_crashed().await;
        tries += 1;
        let parts = format!("{SHARED},e{tries}:10");
        send(&client, &front, &format!("ready-{index}-{tries}"), &parts).await
            == Some(StatusCode::OK)
    })
    .await;
    let mut served = 0;
    for number in 0..FINAL_REQUESTS {
        let parts = format!("{SHARED},f{number}:300,{index}{number}:10");
        let status = send(&client, &front, &format!("sound-{index}-{number}"), &parts).await;
        served += u32::from(status == Some(StatusCode::OK));
    }
    if served * 2 < FINAL_REQUESTS {
        log.record_violation(format!(
            "{served} of {FINAL_REQUESTS} sound requests beside the crashing part were served"
        ));
    }
}

async fn send(client: &Client, front: &str, attempt: &str, parts: &str) -> Option<StatusCode> {
    let request = client
        .get(format!("http://{front}/stream/part-{attempt}"))
        .header("host", HOST)
        .header("x-attempt-id", format!("part-{attempt}"))
        .header("x-prompt-prefix", parts)
        .header("x-time-remaining", "3000");
    let response = request.send().await.ok()?;
    let status = response.status();
    response.bytes().await.ok()?;
    Some(status)
}

async fn send_crashing(seed: u64, fronts: Vec<Box<str>>) {
    let mut random = StdRng::seed_from_u64(seed ^ 1);
    let client = Client::new();
    for number in 0_u32.. {
        let place = match random.random_range(0..3) {
            0 => PartPlace::BehindShared,
            1 => PartPlace::BehindOthers,
            _ => PartPlace::First,
        };
        let parts = match place {
            PartPlace::BehindShared => format!("{SHARED},{CRASHING}:400,c{number}:10"),
            PartPlace::BehindOthers => format!("b{number}:90,{CRASHING}:400,c{number}:10"),
            PartPlace::First => format!("{CRASHING}:400,{SHARED},c{number}:10"),
        };
        let front = &fronts[random.random_range(0..fronts.len())];
        // Whatever becomes of it, the next one follows.
        let _ = send(&client, front, &format!("crashing-{number}"), &parts).await;
        sleep(Duration::from_millis(
            random.random_range(CRASHING_PAUSE_MS),
        ))
        .await;
    }
}

async fn send_sound(seed: u64, fronts: Vec<Box<str>>) {
    const SUBJECTS: u32 = 5;
    let mut random = StdRng::seed_from_u64(seed ^ 2);
    let client = Client::new();
    for number in 0_u32.. {
        let subject = random.random_range(0..SUBJECTS);
        let parts = format!("{SHARED},d{subject}:300,9{number}:10");
        let front = &fronts[random.random_range(0..fronts.len())];
        // The outcome is checked at the end alone: replicas crash under it meanwhile.
        let _ = send(&client, front, &format!("beside-{number}"), &parts).await;
        sleep(Duration::from_millis(random.random_range(SOUND_PAUSE_MS))).await;
    }
}

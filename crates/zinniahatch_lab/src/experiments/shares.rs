//! Fair sharing: one account floods a region, and another account's part is compared with its share.

use crate::checker::CheckExemptions;
use crate::checker::check;
use crate::cluster::ClusterOptions;
use crate::cluster::LabCluster;
use crate::experiments::figures::figures;
use crate::history::SendOutcome;
use crate::load::OperationJob;
use crate::load::OperationKind;
use crate::load::OperationSender;
use crate::users;
use crate::users::CallerPlan;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use tokio::task::JoinSet;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;

/// Requests that the flooding account keeps in flight; its region has 56 slots.
const FLOOD: usize = 300;
/// Requests that the other account keeps in flight, more than its share.
const OTHER: usize = 80;
const TOKENS: u64 = 60;
/// Fair share of the other account. The ordinary preset gives its class (drivers) 0.3, and the
/// flooding account's class (wholesale) 0.35.
const FAIR: f64 = 0.3 / 0.65;
/// Tolerated difference between the other account's share and its part.
const TOLERANCE: f64 = 0.1;

/// Runs the experiment; returns the number of violations.
pub async fn run(seconds: u64) -> usize {
    let mut plan = users::aqsu();
    // Requests may not leave their region, so that the accounts share one region's pool.
    let text = plan.parts["preset-ordinary"]
        .replace("allowed = yes", "allowed = no")
        .replace("wait_limit = 20s", "wait_limit = 60s");
    plan.parts.insert("preset-ordinary".into(), text.into());
    let cluster = LabCluster::start(plan, &ClusterOptions::default()).await;
    let sender = OperationSender::new(
        &cluster.history,
        crate::cluster::config_of(&cluster.plan),
        cluster.plan.engine,
        cluster.plan.plain,
    );
    let numbers = Arc::new(AtomicU64::new(1));
    let started = cluster.history.now();
    let until = Instant::now() + Duration::from_secs(seconds);
    let entries: Vec<Box<str>> = cluster
        .nodes
        .iter()
        .filter(|node| &*node.region == "almaty")
        .map(|node| node.http.clone())
        .collect();
    let mut tasks = JoinSet::new();
    let flood = cluster.plan.callers[0].clone();
    let other = cluster.plan.callers[3].clone();
    for (caller, count, delay) in [(flood, FLOOD, 0), (other, OTHER, seconds / 4)] {
        for worker in 0..count {
            let (sender, caller, entries, numbers) = (
                sender.clone(),
                caller.clone(),
                entries.clone(),
                Arc::clone(&numbers),
            );
            tasks.spawn(async move {
                sleep(Duration::from_secs(delay)).await;
                run_worker(
                    &sender,
                    &caller,
                    &entries[worker % entries.len()],
                    &numbers,
                    until,
                )
                .await;
            });
        }
    }
    while tasks.join_next().await.is_some() {}
    let breaks = cluster
        .history
        .with(|data| check(data, &CheckExemptions::default()));
    // Only the second half counts, when both accounts have long had more requests waiting than
    // there are slots.
    let from = Duration::from_secs(seconds / 2);
    let of = |account: &'static str| {
        cluster.history.with(|data| {
            figures(data, cluster.plan.engine, |send| {
                &*send.account == account
                    && send.ended > started + from
                    && send.ended < started + Duration::from_secs(seconds)
            })
        })
    };
    let (flood, other) = (of("almaty-wholesale"), of("route-drivers"));
    let part = other.answered as f64 / (other.answered + flood.answered).max(1) as f64;
    println!(
        "flooding account: {} answered, {} refused; other account: {} answered, {} refused",
        flood.answered, flood.refused, other.answered, other.refused
    );
    println!("the other account got {part:.3} of the answers, its share is {FAIR:.3}");
    let violations = breaks.len() + usize::from(part < FAIR - TOLERANCE);
    println!(
        "{}",
        json!({"experiment": "shares", "violations": violations, "part": part, "share": FAIR, "flood": flood, "other": other})
    );
    violations
}

async fn run_worker(
    sender: &OperationSender,
    caller: &CallerPlan,
    entry: &str,
    numbers: &AtomicU64,
    until: Instant,
) {
    while Instant::now() < until {
        let job = OperationJob {
            number: numbers.fetch_add(1, Ordering::Relaxed),
            caller: caller.clone(),
            kind: OperationKind::Query,
            scheduled: sender.history.now(),
            tokens: TOKENS,
            prompt: "stock check; ".repeat(20),
            first_entry: 0,
        };
        let Some(record) = sender.send(&job, entry, None).await else {
            continue;
        };
        let refused = matches!(record.end, SendOutcome::Told(Execution::NotRun));
        sender.history.add_send(record);
        if refused {
            sleep(Duration::from_millis(500)).await;
        }
    }
}

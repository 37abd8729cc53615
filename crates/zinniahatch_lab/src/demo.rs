//! Demonstration: the systems of both users with load, a preset switch, a planned stop and usage
//! reports.

use crate::checker::CheckExemptions;
use crate::checker::check;
use crate::checker::count_violations;
use crate::cluster::ClusterOptions;
use crate::cluster::LabCluster;
use crate::experiments::figures::RunFigures;
use crate::experiments::figures::figures;
use crate::load::LoadPlan;
use crate::load::LoadRunner;
use crate::operator::AdminClient;
use crate::users;
use serde_json::json;
use std::sync::atomic::Ordering;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;
use zinniahatch_report::ReportResult;
use zinniahatch_report::render_table;

const DURATION: Duration = Duration::from_secs(30);

/// Runs the demonstration; returns the number of violations.
pub async fn run_demo() -> usize {
    println!("starting both users' systems: 14 entry VMs, 27 backend servers, 6 regions");
    let options = ClusterOptions::default();
    let (amiantis, aqsu) = tokio::join!(
        LabCluster::start(users::amiantis(), &options),
        LabCluster::start(users::aqsu(), &options)
    );
    println!(
        "all nodes serve; sending mixed load for {} s",
        DURATION.as_secs()
    );
    let (one, two) = tokio::join!(run_user(amiantis), run_user(aqsu));
    let violations = one.0 + two.0;
    println!(
        "{}",
        json!({"experiment": "demo", "violations": violations, "amiantis": one.1, "aqsu": two.1})
    );
    violations
}

/// Runs one user's system, with load if a rate is given, and prints its addresses.
pub async fn run_up(user: &str, seconds: u64, rate: f64) -> usize {
    let Some(plan) = users::find(user) else {
        println!("no user `{user}`; the users are: amiantis, aqsu");
        return 1;
    };
    let cluster = LabCluster::start(plan, &ClusterOptions::default()).await;
    println!(
        "export ZINNIA_NODE={} ZINNIA_TOKEN={}",
        cluster.nodes[0].http, cluster.plan.chief
    );
    for node in &cluster.nodes {
        println!("{} {} log {}", node.name, node.http, node.log.display());
    }
    let duration = Duration::from_secs(seconds);
    if rate > 0.0 {
        let plan = LoadPlan {
            duration,
            scale: rate / 10.0,
            ..LoadPlan::default()
        };
        LoadRunner::new(&cluster).run(&plan).await;
    } else {
        sleep(duration).await;
    }
    0
}

async fn run_user(mut cluster: LabCluster) -> (usize, RunFigures) {
    let runner = LoadRunner::new(&cluster);
    let plan = LoadPlan {
        duration: DURATION,
        scale: 1.0,
        ..LoadPlan::default()
    };
    let load = tokio::spawn({
        let runner = runner.clone();
        async move { runner.run(&plan).await }
    });
    let mut problems = Vec::new();
    print_progress(&cluster, &runner, DURATION / 3).await;
    if let Err(problem) = switch_preset(&cluster, "peak").await {
        problems.push(problem);
    }
    print_progress(&cluster, &runner, DURATION / 6).await;
    let stopped = 0;
    println!(
        "{}: stopping entry VM {} as planned",
        cluster.plan.name, cluster.nodes[stopped].name
    );
    cluster.terminate(stopped);
    print_progress(&cluster, &runner, DURATION / 2).await;
    let _ = load.await;
    let ended = wait_for_exit(&mut cluster, stopped).await;
    if ended != Some(true) {
        problems.push(format!("the planned stop did not end well: {ended:?}"));
    }
    let report = fetch_settled_report(&cluster).await;
    let breaks = cluster
        .history
        .with(|data| check(data, &CheckExemptions::default()));
    for one in breaks.iter().take(10) {
        println!(
            "{}: broken {}: {}",
            cluster.plan.name,
            one.kind.as_str(),
            one.detail
        );
    }
    for problem in &problems {
        println!("{}: {problem}", cluster.plan.name);
    }
    let figures = cluster
        .history
        .with(|data| figures(data, cluster.plan.engine, |_| true));
    println!("\n{}: who got what", cluster.plan.name);
    print!("{}", render_table(&report));
    println!(
        "cost {:.3}, 99th percentile {:.0} ms, away share {:.1}%, promises broken {:?}\n",
        figures.cost,
        figures.p99_ms,
        figures.away_share * 100.0,
        count_violations(&breaks)
    );
    (breaks.len() + problems.len(), figures)
}

async fn print_progress(cluster: &LabCluster, runner: &LoadRunner, time: Duration) {
    const STEP: Duration = Duration::from_secs(5);
    let until = Instant::now() + time;
    while Instant::now() < until {
        sleep(STEP.min(until.saturating_duration_since(Instant::now()))).await;
        let ended = cluster.history.with(|data| data.sends.len());
        println!(
            "{}: {} operations sent, {ended} answers seen",
            cluster.plan.name,
            runner.sent.load(Ordering::Relaxed)
        );
    }
}

async fn wait_for_exit(cluster: &mut LabCluster, index: usize) -> Option<bool> {
    for _ in 0..300 {
        if let Some(well) = cluster.ended(index) {
            return Some(well);
        }
        sleep(Duration::from_millis(100)).await;
    }
    None
}

/// Switches to a preset through the second node and waits until it is in force on every node.
///
/// # Errors
///
/// Returns an error if the switch is rejected or not in force on every node within 8 s.
pub async fn switch_preset(cluster: &LabCluster, preset: &str) -> Result<Duration, String> {
    const BOUND: Duration = Duration::from_secs(8);
    let operator = AdminClient::new(cluster, 1, &cluster.plan.shift);
    let started = Instant::now();
    operator
        .switch_preset(preset, &format!("switch-to-{preset}"))
        .await?;
    loop {
        let nodes = operator
            .get("cluster")
            .await
            .as_array()
            .cloned()
            .unwrap_or_default();
        let behind = nodes.iter().filter(|node| node["preset"] != preset).count();
        if behind == 0 && nodes.len() == cluster.nodes.len() {
            println!(
                "{}: preset `{preset}` is in force on {} nodes after {} ms",
                cluster.plan.name,
                nodes.len(),
                started.elapsed().as_millis()
            );
            return Ok(started.elapsed());
        }
        if started.elapsed() > BOUND {
            return Err(format!(
                "the switch is not in force everywhere after {BOUND:?}: {behind} of {} nodes are behind",
                nodes.len()
            ));
        }
        sleep(Duration::from_millis(50)).await;
    }
}

/// Fetches the report by account and service once its counts have stopped rising.
pub async fn fetch_settled_report(cluster: &LabCluster) -> ReportResult {
    let mut last = 0;
    let mut same = 0;
    loop {
        let report = fetch_report(cluster, "account,service").await;
        if let Some(report) = report {
            same = if report.total.requests == last {
                same + 1
            } else {
                0
            };
            last = report.total.requests;
            if same >= 3 {
                return report;
            }
        }
        sleep(Duration::from_millis(1_500)).await;
    }
}

/// Fetches a report from the second node.
pub async fn fetch_report(cluster: &LabCluster, by: &str) -> Option<ReportResult> {
    AdminClient::new(cluster, 1, &cluster.plan.reader)
        .report(by)
        .await
}

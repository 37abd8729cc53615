//! Propagation of configuration changes: the delay until all nodes apply one, and whether any node
//! reverts.

use crate::cluster::ClusterOptions;
use crate::cluster::LabCluster;
use crate::experiments::figures::new_histogram;
use crate::operator::AdminClient;
use crate::test_doubles::faults::ServiceMode;
use crate::users;
use futures_util::future::join_all;
use reqwest::Client;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;

const CHANGES: usize = 6;
const PROPAGATION_LIMIT: Duration = Duration::from_secs(8);

#[derive(Debug, Serialize)]
struct PropagationFigures {
    case: &'static str,
    changes: usize,
    p50_ms: f64,
    max_ms: f64,
    beyond_bound: usize,
    went_back: usize,
}

/// Runs the experiment; returns the number of changes that were late, lost or reverted.
pub async fn run() -> usize {
    let cluster = LabCluster::start(users::aqsu(), &ClusterOptions::default()).await;
    let region = cluster.plan.regions[1].region.clone();
    let mut lines = Vec::new();
    for case in [
        "store up",
        "store slow",
        "store losing answers",
        "one region cut from the store",
    ] {
        for switch in cluster.store_faults.values() {
            switch.set(if case == "store slow" {
                ServiceMode::Slow(Duration::from_millis(300))
            } else {
                ServiceMode::Up
            });
        }
        if case == "one region cut from the store" {
            cluster.store_faults[&region].set(ServiceMode::Silent);
        }
        let figures = run_case(&cluster, case).await;
        println!(
            "{case:<32} p50 {:.0} ms, longest {:.0} ms, {} late, {} went back",
            figures.p50_ms, figures.max_ms, figures.beyond_bound, figures.went_back
        );
        lines.push(figures);
    }
    let violations: usize = lines
        .iter()
        .map(|line| line.beyond_bound + line.went_back)
        .sum();
    println!(
        "{}",
        json!({"experiment": "spread", "violations": violations, "nodes": cluster.nodes.len(), "cases": lines})
    );
    violations
}

async fn run_case(cluster: &LabCluster, case: &'static str) -> PropagationFigures {
    let client = Client::new();
    let operator = AdminClient::new(cluster, 0, &cluster.plan.shift);
    let mut delays = new_histogram();
    let mut figures = PropagationFigures {
        case,
        changes: 0,
        p50_ms: 0.0,
        max_ms: 0.0,
        beyond_bound: 0,
        went_back: 0,
    };
    let mut newest: BTreeMap<NodeId, u64> = BTreeMap::new();
    for number in 0..CHANGES {
        if case == "store losing answers" {
            cluster
                .store_faults
                .values()
                .for_each(|switch| switch.lose_responses(1));
        }
        let preset = if number % 2 == 0 { "peak" } else { "ordinary" };
        let Ok(revision) = operator
            .switch_preset(preset, &format!("{case}-{number}"))
            .await
        else {
            figures.beyond_bound += 1;
            continue;
        };
        figures.changes += 1;
        let accepted = Instant::now();
        loop {
            let seen = read_revisions(&client, cluster).await;
            for (node, revision) in &seen {
                let last = newest.entry(node.clone()).or_default();
                figures.went_back += usize::from(revision < last);
                *last = (*last).max(*revision);
            }
            if seen.len() == cluster.nodes.len() && seen.values().all(|seen| *seen >= revision) {
                delays.saturating_record(accepted.elapsed().as_micros() as u64);
                break;
            }
            if accepted.elapsed() > PROPAGATION_LIMIT {
                figures.beyond_bound += 1;
                break;
            }
            sleep(Duration::from_millis(10)).await;
        }
    }
    figures.p50_ms = delays.value_at_quantile(0.5) as f64 / 1_000.0;
    figures.max_ms = delays.max() as f64 / 1_000.0;
    figures
}

async fn read_revisions(client: &Client, cluster: &LabCluster) -> BTreeMap<NodeId, u64> {
    let queries = cluster.nodes.iter().map(|node| async {
        let response = client
            .get(format!("http://{}/internal/brief", node.http))
            .send()
            .await
            .ok()?;
        let status: Value = response.json().await.ok()?;
        Some((node.name.clone(), status["revision"].as_u64()?))
    });
    join_all(queries).await.into_iter().flatten().collect()
}

//! Routing policies under staggered regional peaks: score, always-home, least-loaded and
//! random-two.

use crate::checker::CheckExemptions;
use crate::checker::check;
use crate::cluster::ClusterOptions;
use crate::cluster::LabCluster;
use crate::experiments::figures::RunFigures;
use crate::experiments::figures::figures;
use crate::load::LoadMix;
use crate::load::LoadPlan;
use crate::load::LoadRunner;
use crate::users;
use crate::users::UserPlan;
use serde::Serialize;
use serde_json::json;
use zinniahatch_base::prelude::*;
use zinniahatch_config::RouteRule;

const RULES: [RouteRule; 4] = [
    RouteRule::Score,
    RouteRule::Home,
    RouteRule::LeastLoaded,
    RouteRule::RandomTwo,
];

#[derive(Debug, Serialize)]
struct PolicyResult {
    user: &'static str,
    rule: &'static str,
    broken: usize,
    figures: RunFigures,
}

/// Measures every routing rule with the same load; returns the number of violations.
pub async fn run(seed: u64, seconds: u64, only: Option<&str>) -> usize {
    let mut lines = Vec::new();
    for plan in [users::amiantis(), users::aqsu()] {
        if only.is_some_and(|name| name != plan.name) {
            continue;
        }
        for rule in RULES {
            let line = run_rule(plan.clone(), rule, seed, seconds).await;
            println!(
                "{:<9} {:<13} answered {:>5} of {:>5}, cost a thousand {:.3}, p50 {:.0} ms, p99 {:.0} ms, first token p95 {:.0} ms, away {:.1}%, refused {}",
                line.user,
                line.rule,
                line.figures.answered,
                line.figures.operations,
                line.figures.cost_per_thousand,
                line.figures.p50_ms,
                line.figures.p99_ms,
                line.figures.first_p95_ms,
                line.figures.away_share * 100.0,
                line.figures.refused
            );
            lines.push(line);
        }
    }
    let violations: usize = lines.iter().map(|line| line.broken).sum();
    println!(
        "{}",
        json!({"experiment": "policies", "seed": seed, "violations": violations, "lines": lines})
    );
    violations
}

async fn run_rule(plan: UserPlan, rule: RouteRule, seed: u64, seconds: u64) -> PolicyResult {
    let options = ClusterOptions {
        route: rule,
        ..ClusterOptions::default()
    };
    let cluster = LabCluster::start(plan, &options).await;
    let load = LoadPlan {
        seed,
        duration: Duration::from_secs(seconds),
        rate: staggered_rate,
        mix: LoadMix {
            query: 0.6,
            summary: 0.2,
            lookup: 0.1,
            entry: 0.1,
        },
        ..LoadPlan::default()
    };
    LoadRunner::new(&cluster).run(&load).await;
    let broken = cluster
        .history
        .with(|data| check(data, &CheckExemptions::default()))
        .len();
    let figures = cluster
        .history
        .with(|data| figures(data, cluster.plan.engine, |_| true));
    PolicyResult {
        user: cluster.plan.name,
        rule: rule.as_str(),
        broken,
        figures,
    }
}

/// Returns a region's rate: a base level, and a peak above the region's own capacity at a different
/// time in each region.
fn staggered_rate(region: usize, part: f64) -> f64 {
    const PEAKS: [(f64, f64); 3] = [(70.0, 0.2), (38.0, 0.5), (26.0, 0.8)];
    const WIDTH: f64 = 0.12;
    const QUIET: f64 = 0.2;
    let (height, at) = PEAKS[region % PEAKS.len()];
    let distance = (part - at) / WIDTH;
    height * (QUIET + (1.0 - QUIET) * (-distance * distance).exp())
}

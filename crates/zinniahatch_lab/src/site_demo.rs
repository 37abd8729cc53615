//! Demonstration on the users' platform: a small site under load, a killed node, a planned stop, a
//! report.

use crate::site::SiteCluster;
use crate::site::SiteRegion;
use crate::site::wait_until;
use crate::test_doubles::replica::ReplicaBehaviour;
use crate::test_doubles::replica::StreamShape;
use futures_util::StreamExt;
use futures_util::stream;
use zinniahatch_base::prelude::*;
use zinniahatch_report::CountTable;
use zinniahatch_report::HourlyCounts;
use zinniahatch_report::ReportField;
use zinniahatch_report::ReportQuery;
use zinniahatch_report::render_table;
use zinniahatch_report::run_query;

/// Number of requests in each phase.
const CALLS: usize = 120;
/// Maximum number of requests in flight.
const AT_ONCE: usize = 8;
/// Routes, requested in turn.
const ROUTES: [&str; 4] = ["plain", "once", "stream", "bound"];
/// Shape of the streams.
const SHAPE: StreamShape = StreamShape {
    events: 10,
    pause: Duration::from_millis(5),
};

/// Outcomes that callers saw in one phase.
#[derive(Debug, Default)]
struct PhaseResult {
    answered: usize,
    refused: usize,
    unknown: usize,
    broken: Vec<String>,
}

/// Runs the demonstration; returns the number of violations.
pub async fn run() -> usize {
    let regions =
        [("north", 2, 2), ("south", 1, 2), ("west", 1, 0)].map(|(name, entries, replicas)| {
            SiteRegion {
                name,
                entries,
                replicas,
            }
        });
    let mut site = SiteCluster::start(&regions, SHAPE).await;
    println!("site: 4 entry VMs, 4 replicas, 3 regions; west has no replica of its own");
    let mut broken = phase(&site, "calm", &[0, 1, 2, 3]).await;
    site.replicas[0]
        .0
        .set_behaviour(ReplicaBehaviour::BreakAfter(3));
    broken += phase(&site, "a replica breaks its streams", &[0, 1, 2, 3]).await;
    site.replicas[0].0.set_behaviour(ReplicaBehaviour::Serve);
    site.kill(2);
    broken += phase(&site, "the entry VM of south is killed", &[0, 1, 3]).await;
    site.terminate(0);
    broken += phase(&site, "an entry VM of north is stopped", &[1, 3]).await;
    wait_until("the stopped entry VM ends", async || {
        site.ended(0).is_some()
    })
    .await;
    for index in [1, 3] {
        site.terminate(index);
        wait_until("an entry VM ends", async || site.ended(index).is_some()).await;
    }
    print!("{}", report(&site));
    broken
}

async fn phase(site: &SiteCluster, title: &str, entries: &[usize]) -> usize {
    let mut result = PhaseResult::default();
    let calls = stream::iter(0..CALLS).map(|number| {
        let route = ROUTES[number % ROUTES.len()];
        let entry = entries[(number / ROUTES.len()) % entries.len()];
        let attempt = format!("{title}-{number}").replace(' ', "-");
        async move { (one_call(site, entry, route, &attempt).await, route, attempt) }
    });
    let mut calls = calls.buffer_unordered(AT_ONCE);
    while let Some((status, route, attempt)) = calls.next().await {
        let runs = site.runs(&attempt);
        match status {
            Some(200) => result.answered += 1,
            Some(503) => result.refused += 1,
            _ => result.unknown += 1,
        }
        if status == Some(503) && runs > 0 && route == "once" {
            result
                .broken
                .push(format!("{attempt}: told not run, ran {runs} times"));
        }
        if route == "once" && runs > 1 {
            result.broken.push(format!("{attempt}: ran {runs} times"));
        }
    }
    println!(
        "{title}: {} answered, {} refused as not run, {} unknown, {} promises broken",
        result.answered,
        result.refused,
        result.unknown,
        result.broken.len()
    );
    for line in &result.broken {
        println!("  {line}");
    }
    result.broken.len()
}

/// Sends a request and reads the response to the end; returns `None` if the connection broke.
async fn one_call(site: &SiteCluster, entry: usize, route: &str, attempt: &str) -> Option<u16> {
    let request = site.request(entry, &format!("/{route}/x"), attempt);
    let response = request.send().await.ok()?;
    let status = response.status().as_u16();
    response.bytes().await.ok()?;
    Some(status)
}

fn report(site: &SiteCluster) -> String {
    let mut counts = CountTable::default();
    let mut gaps = Vec::new();
    for (key, value) in site.store.copy_values() {
        if !key.starts_with(zinniahatch_report::ACCOUNTS_PREFIX) {
            continue;
        }
        let Ok(hourly) = serde_json::from_slice::<HourlyCounts>(&value) else {
            continue;
        };
        counts.merge(&hourly.counts);
        gaps.extend(hourly.gaps);
    }
    let query = ReportQuery {
        by: vec![ReportField::Account, ReportField::Region],
        from: 0,
        until: u64::MAX,
        accounts: None,
    };
    render_table(&run_query(&query, &counts, gaps, Vec::new()))
}

//! Diagnostics for differences between the usage reports and the responses that callers saw.

use crate::cluster::LabCluster;
use crate::demo::fetch_report;
use zinniahatch_base::prelude::*;

/// Metrics of a node that concern its usage counts.
const TRACED_COUNTERS: [&str; 5] = [
    "zinnia_results_total",
    "zinnia_own_sheets",
    "zinnia_sheets_waiting",
    "zinnia_merges_total",
    "zinnia_messages_dropped_total",
];

/// Prints the number of requests by result code as seen by callers and as counted in the reports,
/// the parts that the report could not read, and of each node either how it ended or its counters.
pub(crate) async fn print_trace(cluster: &mut LabCluster) {
    let seen = cluster.history.with(|data| {
        let mut seen: BTreeMap<u16, u64> = BTreeMap::new();
        for send in data.sends.iter().filter(|send| send.is_counted()) {
            *seen.entry(send.code).or_default() += 1;
        }
        seen
    });
    println!("    callers saw, by code: {seen:?}");
    let collected = cluster.history.with(|data| {
        let mut collected: BTreeMap<(u16, u16), u64> = BTreeMap::new();
        for late in data.sends.iter().filter(|send| send.collects) {
            let mut own = data.sends.iter().rev();
            let first = own.find(|send| send.operation == late.operation && !send.collects);
            let codes = (first.map_or(0, |send| send.code), late.code);
            *collected.entry(codes).or_default() += 1;
        }
        collected
    });
    println!("    collected later, by the code before and the code found: {collected:?}");
    if let Some(report) = fetch_report(cluster, "served,result").await {
        let lines = report.lines.iter();
        let counted: Vec<String> = lines
            .map(|line| format!("{}: {}", line.fields.join(" "), line.requests))
            .collect();
        println!("    the reports count: {}", counted.join(", "));
        println!("    gaps {:?}, not read {:?}", report.gaps, report.unread);
    }
    for index in 0..cluster.nodes.len() {
        print_node(cluster, index).await;
    }
}

async fn print_node(cluster: &mut LabCluster, index: usize) {
    let ended = cluster.ended(index);
    let node = &cluster.nodes[index];
    if let Some(well) = ended {
        println!("    {} has ended, well: {well}", node.name);
        return;
    }
    let request = reqwest::Client::new()
        .get(format!("http://{}/metrics", node.http))
        .timeout(Duration::from_secs(2));
    let text = match request.send().await {
        Ok(response) => response.text().await.unwrap_or_default(),
        Err(error) => {
            println!("    {} gives no metrics: {error}", node.name);
            return;
        }
    };
    let counters: Vec<&str> = text
        .lines()
        .filter(|line| TRACED_COUNTERS.iter().any(|name| line.starts_with(name)))
        .filter(|line| !line.ends_with(" 0"))
        .collect();
    println!("    {}: {}", node.name, counters.join("; "));
}

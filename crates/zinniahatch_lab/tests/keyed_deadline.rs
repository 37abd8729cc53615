//! Requests that may run once and are still queued at their deadline.

use reqwest::Client;
use serde_json::Value;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;
use zinniahatch_base::Execution;
use zinniahatch_base::ResultCode;
use zinniahatch_lab::cluster::ClusterOptions;
use zinniahatch_lab::cluster::LabCluster;
use zinniahatch_lab::test_doubles::backend::BackendFaults;
use zinniahatch_lab::users;

const KEY: &str = "buyer-almaty-example-key";
const POLL_PAUSE: Duration = Duration::from_millis(200);
/// Number of requests that fill every slot.
const FILLING: usize = 60;
/// Number of requests that wait behind them.
const WAITING: usize = 40;
/// Deadline of the requests that fill the slots.
const FILLING_MS: u64 = 8_000;
/// Deadline of the requests that wait.
const WAITING_MS: u64 = 700;

async fn start() -> LabCluster {
    let mut plan = users::aqsu();
    plan.regions.truncate(1);
    plan.regions[0].entries = 1;
    LabCluster::start(plan, &ClusterOptions::default()).await
}

async fn take_keys(base: &str) -> Vec<String> {
    let request = Client::new()
        .get(format!("{base}/v1/entries"))
        .query(&[("keys", FILLING + WAITING)])
        .bearer_auth(KEY);
    let response = request.send().await.expect("the node answers");
    let body: Value = response.json().await.expect("the response is JSON");
    let keys = body["keys"].as_array().expect("the response lists keys");
    keys.iter()
        .filter_map(|key| key.as_str().map(str::to_owned))
        .collect()
}

/// Sends an entry; returns its operation and its result code.
async fn send_entry(
    client: Client,
    base: String,
    key: String,
    operation: u64,
    deadline: u64,
) -> (u64, u16) {
    let request = client
        .post(format!("{base}/s/coldbook/entry?operation={operation};"))
        .bearer_auth(KEY)
        .header("idempotency-key", key)
        .header("x-zinnia-deadline-ms", deadline)
        .body("entry");
    let response = request.send().await.expect("the node answers");
    let header = response.headers().get("x-zinnia-code");
    let text = header.and_then(|value| value.to_str().ok());
    let code = text.and_then(|text| text.parse().ok());
    (operation, code.unwrap_or(0))
}

/// Guards against reporting "unknown" for a request that was still queued, and never sent to a
/// backend server, when its deadline passed.
#[tokio::test(flavor = "multi_thread")]
async fn queued_request_is_reported_as_not_run() {
    let cluster = start().await;
    let base = format!("http://{}", cluster.nodes[0].http);
    let plain = cluster
        .backends
        .iter()
        .filter(|(name, _)| name.starts_with(cluster.plan.plain));
    for (_, backend) in plain {
        backend.set_faults(BackendFaults {
            frozen: true,
            ..BackendFaults::default()
        });
    }
    let client = Client::new();
    let mut keys = take_keys(&base).await;
    let mut filling = JoinSet::new();
    for (key, operation) in keys.split_off(WAITING).into_iter().zip(1_000..) {
        let sent = send_entry(client.clone(), base.clone(), key, operation, FILLING_MS);
        filling.spawn(sent);
    }
    let runs = || cluster.history.with(|data| data.executions.len());
    let mut before = 0;
    while before == 0 || before != runs() {
        before = runs();
        sleep(POLL_PAUSE).await;
    }
    let mut waiting = JoinSet::new();
    for (key, operation) in keys.into_iter().zip(1..) {
        let sent = send_entry(client.clone(), base.clone(), key, operation, WAITING_MS);
        waiting.spawn(sent);
    }
    let results = waiting.join_all().await;
    let ran: BTreeSet<u64> = cluster.history.with(|data| {
        let executions = data.executions.iter();
        executions.map(|execution| execution.operation).collect()
    });
    let never_ran: Vec<_> = results
        .iter()
        .filter(|(operation, _)| !ran.contains(operation))
        .collect();
    assert!(
        !never_ran.is_empty(),
        "no request was still queued at its deadline"
    );
    let misreported: Vec<_> = never_ran
        .iter()
        .filter(|(_, number)| {
            let code = ResultCode::from_number(*number);
            code.is_none_or(|code| code.execution() != Execution::NotRun)
        })
        .collect();
    assert!(
        misreported.is_empty(),
        "of {}: {misreported:?}",
        never_ran.len()
    );
}

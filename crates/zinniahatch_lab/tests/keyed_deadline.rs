//! Requests that may run once and wait for a backend server until their deadline.

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
const LOOK_GAP: Duration = Duration::from_millis(200);
/// Requests that fill every slot, and those that wait behind them.
const FILLING: usize = 60;
const WAITING: usize = 40;
const FILLING_MS: u64 = 8_000;
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
    let answer = request.send().await.expect("the node answers");
    let body: Value = answer.json().await.expect("the answer is JSON");
    let keys = body["keys"].as_array().expect("keys are given");
    keys.iter()
        .filter_map(|key| key.as_str().map(str::to_owned))
        .collect()
}

/// Sends an entry; gives its operation and the number of its result.
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
    let answer = request.send().await.expect("the node answers");
    let header = answer.headers().get("x-zinnia-code");
    let text = header.and_then(|value| value.to_str().ok());
    let code = text.and_then(|text| text.parse().ok());
    (operation, code.unwrap_or(0))
}

/// Guards against "unknown" for a request that was never sent to a backend server when its deadline passed.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_only_waited_is_told_not_run() {
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
        sleep(LOOK_GAP).await;
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
    let only_waited: Vec<_> = results
        .iter()
        .filter(|(operation, _)| !ran.contains(operation))
        .collect();
    assert!(!only_waited.is_empty(), "all of them were sent");
    let untrue: Vec<_> = only_waited
        .iter()
        .filter(|(_, number)| {
            let code = ResultCode::from_number(*number);
            code.is_none_or(|code| code.execution() != Execution::NotRun)
        })
        .collect();
    assert!(untrue.is_empty(), "of {}: {untrue:?}", only_waited.len());
}

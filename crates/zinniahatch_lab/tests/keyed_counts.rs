//! Usage counts of requests whose idempotency key is owned by another node.

use reqwest::Client;
use reqwest::Response;
use serde_json::Value;
use std::time::Duration;
use test_case::test_case;
use tokio::time::sleep;
use zinniahatch_base::ResultCode;
use zinniahatch_lab::cluster::ClusterOptions;
use zinniahatch_lab::cluster::LabCluster;
use zinniahatch_lab::demo::fetch_report;
use zinniahatch_lab::users;

const KEY: &str = "buyer-almaty-example-key";
const OWNER: usize = 0;
const SENDER: usize = 1;
/// Deadline of a request whose owner is silent.
const SILENT_DEADLINE_MS: u64 = 500;
/// Deadline of a request that must be answered, also on a busy machine.
const ANSWERED_DEADLINE_MS: u64 = 60_000;
/// Maximum number of polls of the report.
const MAX_POLLS: usize = 40;
/// Pause between two polls.
const POLL_PAUSE: Duration = Duration::from_millis(500);

async fn start() -> LabCluster {
    let mut plan = users::aqsu();
    plan.regions.truncate(1);
    plan.regions[0].entries = 2;
    LabCluster::start(plan, &ClusterOptions::default()).await
}

async fn take_key(cluster: &LabCluster, node: usize) -> String {
    let request = Client::new()
        .get(format!("http://{}/v1/entries", cluster.nodes[node].http))
        .query(&[("keys", 1)])
        .bearer_auth(KEY);
    let response = request.send().await.expect("the node answers");
    let body: Value = response.json().await.expect("the response is JSON");
    body["keys"][0]
        .as_str()
        .expect("the response holds a key")
        .to_owned()
}

async fn send_entry(cluster: &LabCluster, node: usize, key: &str, deadline: u64) -> Response {
    let request = Client::new()
        .post(format!(
            "http://{}/s/coldbook/entry?operation=1;",
            cluster.nodes[node].http
        ))
        .bearer_auth(KEY)
        .header("idempotency-key", key)
        .header("x-zinnia-deadline-ms", deadline)
        .body("entry operation=1;");
    request.send().await.expect("the node answers")
}

fn code_of(response: &Response) -> u16 {
    let header = response.headers().get("x-zinnia-code");
    let text = header.and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Returns the requests by result in the reports once there are any.
async fn counted_results(cluster: &LabCluster) -> Vec<(Box<str>, u64)> {
    for _ in 0..MAX_POLLS {
        let report = fetch_report(cluster, "result").await;
        let lines = report.map(|report| report.lines).unwrap_or_default();
        if !lines.is_empty() {
            let results = lines
                .into_iter()
                .map(|line| (line.fields[0].clone(), line.requests));
            return results.collect();
        }
        sleep(POLL_PAUSE).await;
    }
    Vec::new()
}

/// Guards against a request that is counted with another result than its caller saw, or not at all,
/// because the owner of its key is silent.
#[test_case(false; "owner_goes_on")]
#[test_case(true; "owner_dies")]
#[tokio::test(flavor = "multi_thread")]
async fn request_to_silent_owner_is_counted(dies: bool) {
    let mut cluster = start().await;
    let key = take_key(&cluster, OWNER).await;
    cluster.freeze(OWNER, true);
    let response = send_entry(&cluster, SENDER, &key, SILENT_DEADLINE_MS).await;
    assert_eq!(code_of(&response), ResultCode::OutcomeUnknown.number());
    if dies {
        cluster.kill(OWNER);
    } else {
        cluster.freeze(OWNER, false);
    }
    let results = counted_results(&cluster).await;
    assert_eq!(results, [("300 OutcomeUnknown".into(), 1)]);
}

/// Guards against a request with a key that is counted by two nodes or by none.
#[tokio::test(flavor = "multi_thread")]
async fn request_to_owner_is_counted_once() {
    let cluster = start().await;
    let key = take_key(&cluster, OWNER).await;
    let response = send_entry(&cluster, SENDER, &key, ANSWERED_DEADLINE_MS).await;
    assert_eq!(code_of(&response), ResultCode::Answered.number());
    let again = send_entry(&cluster, SENDER, &key, ANSWERED_DEADLINE_MS).await;
    assert_eq!(code_of(&again), ResultCode::AnsweredEarlier.number());
    let mut results = counted_results(&cluster).await;
    while results.len() < 2 {
        sleep(POLL_PAUSE).await;
        results = counted_results(&cluster).await;
    }
    let expected = [
        ("100 Answered".into(), 1),
        ("101 AnsweredEarlier".into(), 1),
    ];
    assert_eq!(results, expected);
}

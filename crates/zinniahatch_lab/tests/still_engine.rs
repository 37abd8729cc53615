//! Engines that stand still during a stream, with one entry VM as a real process.

use reqwest::Client;
use reqwest::Response;
use reqwest::StatusCode;
use serde_json::Value;
use serde_json::json;
use std::time::Duration;
use test_case::test_case;
use tokio::time::sleep;
use zinniahatch_lab::cluster::ClusterOptions;
use zinniahatch_lab::cluster::LabCluster;
use zinniahatch_lab::users;

const KEY: &str = "buyer-almaty-example-key";
/// The engine that is left.
const ENGINE: &str = "zinnia-desk-almaty-hall-a-1";
const STALL: &str = "stall_after = 300ms";
/// Longer than a stall before the first event and an unanswered probe of the replica.
const STILL_TIME: Duration = Duration::from_millis(2_400);
const TOKENS: u32 = 60;

/// Starts one region with one entry VM and the given repeat rule of its model service.
async fn start(repeat: &str) -> LabCluster {
    let mut plan = users::aqsu();
    plan.regions.truncate(1);
    plan.regions[0].entries = 1;
    for text in plan.parts.values_mut() {
        *text = text.replace("stall_after = 2s", STALL).into();
        *text = text
            .replace(
                "repeat = repeatable\nwork",
                &format!("repeat = {repeat}\nwork"),
            )
            .into();
    }
    LabCluster::start(plan, &ClusterOptions::default()).await
}

/// Sends a request for a stream, with the key that the node asks for if the request may run only once.
async fn request_stream(cluster: &LabCluster) -> Response {
    let body =
        json!({"stream": true, "max_tokens": TOKENS, "messages": [{"content": "operation=1;"}]});
    let url = format!(
        "http://{}/s/zinnia-desk/v1/chat/completions",
        cluster.nodes[0].http
    );
    let request = Client::new().post(url).bearer_auth(KEY).json(&body);
    let keyed = request.try_clone().expect("the body is in memory");
    let response = request.send().await.expect("the node answers");
    if response.status() != StatusCode::PRECONDITION_REQUIRED {
        return response;
    }
    let refusal: Value = response.json().await.expect("the refusal is JSON");
    let key = refusal["key"].as_str().expect("the refusal holds a key");
    let keyed = keyed.header("idempotency-key", key);
    keyed.send().await.expect("the node answers")
}

/// Guards against streams that are cut off because the only engine stood still for a while: its connection
/// was closed before another place was found.
#[test_case("repeatable", TOKENS as usize; "repeatable")]
#[test_case("once", 1; "at_most_once")]
#[tokio::test]
async fn stream_outlives_still_engine(repeat: &str, parts: usize) {
    let cluster = start(repeat).await;
    for name in cluster.engines.keys().filter(|name| ***name != *ENGINE) {
        cluster.kill_backend(name);
    }
    let backend = &cluster.engines[ENGINE].backend;
    let disturb = async {
        while backend.running() == 0 {
            tokio::task::yield_now().await;
        }
        backend.set_still(true);
        sleep(STILL_TIME).await;
        backend.set_still(false);
    };
    let (response, ()) = tokio::join!(request_stream(&cluster), disturb);
    assert_eq!(response.status(), StatusCode::OK);
    let text = response.text().await.expect("the stream is not cut off");
    assert_eq!(text.matches("\"content\"").count(), parts);
}

/// Guards against streams that wait until their deadline for an engine that does not go on, although
/// others can take them.
#[tokio::test]
async fn stream_leaves_engine_that_stays_still() {
    let cluster = start("repeatable").await;
    let disturb = async {
        loop {
            let mut engines = cluster.engines.values();
            if let Some(engine) = engines.find(|engine| engine.backend.running() > 0) {
                engine.backend.set_still(true);
                return;
            }
            tokio::task::yield_now().await;
        }
    };
    let (response, ()) = tokio::join!(request_stream(&cluster), disturb);
    let text = response.text().await.expect("the stream is not cut off");
    assert_eq!(text.matches("\"content\"").count(), TOKENS as usize);
}

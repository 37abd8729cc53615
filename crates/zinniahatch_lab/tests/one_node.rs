//! One entry VM as a real process: idempotency keys, operator roles, and invalid or hostile input.

use reqwest::Body;
use reqwest::Client;
use reqwest::Response;
use reqwest::StatusCode;
use serde_json::Value;
use serde_json::json;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;
use test_case::test_case;
use zinniahatch_base::ResultCode;
use zinniahatch_lab::cluster::ClusterOptions;
use zinniahatch_lab::cluster::LabCluster;
use zinniahatch_lab::operator::AdminClient;
use zinniahatch_lab::test_doubles::engine::EngineSpeed;
use zinniahatch_lab::users;

const KEY: &str = "buyer-almaty-example-key";
/// Limit of the bodies of a plain service, and one that uploads stay below.
const BODY_LIMIT: &str = "body_limit_bytes = 500000";
const RAISED_BODY_LIMIT: &str = "body_limit_bytes = 4000000";
/// Size of a body that is still being written when its answer arrives.
const UPLOAD_BYTES: usize = 3 << 20;

async fn start() -> LabCluster {
    start_with(EngineSpeed::default()).await
}

async fn start_with(speed: EngineSpeed) -> LabCluster {
    start_of(ClusterOptions {
        speed,
        ..ClusterOptions::default()
    })
    .await
}

async fn start_of(options: ClusterOptions) -> LabCluster {
    let mut plan = users::aqsu();
    plan.regions.truncate(1);
    plan.regions[0].entries = 1;
    let options = ClusterOptions {
        body_timeout: Duration::from_millis(300),
        ..options
    };
    LabCluster::start(plan, &options).await
}

fn base(cluster: &LabCluster) -> String {
    format!("http://{}", cluster.nodes[0].http)
}

fn code(response: &Response) -> u16 {
    let header = response
        .headers()
        .get("x-zinnia-code")
        .and_then(|value| value.to_str().ok());
    header.and_then(|text| text.parse().ok()).unwrap_or(0)
}

async fn entry(cluster: &LabCluster, key: Option<&str>, body: impl Into<Body>) -> Response {
    let request = Client::new()
        .post(format!("{}/s/coldbook/entry", base(cluster)))
        .bearer_auth(KEY)
        .body(body);
    let request = match key {
        Some(key) => request.header("idempotency-key", key),
        None => request,
    };
    request.send().await.expect("the node answers")
}

async fn metric(cluster: &LabCluster, start: &str) -> f64 {
    let response = Client::new()
        .get(format!("{}/metrics", base(cluster)))
        .send()
        .await
        .expect("the node answers");
    let text = response.text().await.expect("the response is complete");
    let lines = text.lines().filter(|line| line.starts_with(start));
    lines
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

#[tokio::test]
async fn keyed_request_runs_once_and_its_response_is_fetched() {
    let cluster = start().await;
    let first = entry(&cluster, None, "operation=1;").await;
    assert_eq!(
        (first.status(), code(&first)),
        (
            StatusCode::PRECONDITION_REQUIRED,
            ResultCode::KeyMissing.number()
        )
    );
    let body: Value = first.json().await.expect("the refusal is JSON");
    let key = body["key"]
        .as_str()
        .expect("the refusal holds a key")
        .to_owned();
    let second = entry(&cluster, Some(&key), "operation=1;").await;
    assert_eq!(code(&second), ResultCode::Answered.number());
    let response = second.text().await.expect("the response is complete");
    let third = entry(&cluster, Some(&key), "operation=1;").await;
    assert_eq!(code(&third), ResultCode::AnsweredEarlier.number());
    assert_eq!(
        third.text().await.expect("the response is complete"),
        response
    );
    assert_eq!(
        code(&entry(&cluster, Some(&key), "operation=2;").await),
        ResultCode::KeyReused.number()
    );
    let collected = Client::new()
        .get(format!("{}/v1/answers/{key}", base(&cluster)))
        .bearer_auth(KEY)
        .send()
        .await
        .expect("the node answers");
    assert_eq!(
        collected.text().await.expect("the response is complete"),
        response
    );
    let other = Client::new()
        .get(format!("{}/v1/answers/{key}", base(&cluster)))
        .bearer_auth("driver-1-example-key")
        .send()
        .await
        .expect("the node answers");
    assert_eq!(
        code(&other),
        ResultCode::KeyForeign.number(),
        "another account must not see the response"
    );
    assert_eq!(cluster.history.with(|data| data.executions.len()), 1);
}

/// Guards against an answer of a plain service that stops just after its head, has neither a length nor
/// chunks, or of one whose head is spoilt, and that is passed on and kept under its key as a whole one.
#[test_case("connection: close\r\n\r\n"; "cut_after_its_head")]
#[test_case("content-length: +1\r\n\r\nx"; "signed_length")]
#[test_case("no colon here\r\ncontent-length: 1\r\n\r\nx"; "line_that_is_no_field")]
#[test_case("x y: 1\r\ncontent-length: 1\r\n\r\nx"; "blank_in_a_name")]
#[test_case("transfer-encoding: chunke\r\n\r\n1\r\nx\r\n0\r\n\r\n"; "spoilt_coding")]
#[test_case("transfer-encoding: gzip, chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"; "unknown_coding")]
#[test_case("transfer-encoding: gzip\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"; "two_codings")]
#[test_case("keep-alive: timeout=10\r\ntransfer-encodin: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"; "lost_coding")]
#[test_case("transfer-encoding: chunked\r\n\r\n1\r\nx\r\n\r\n\r\n"; "chunk_size_without_a_digit")]
#[tokio::test]
async fn broken_answer_does_not_look_whole(rest: &'static str) {
    let cluster = start_of(ClusterOptions {
        plain_rest: Some(rest),
        ..ClusterOptions::default()
    })
    .await;
    let first = entry(&cluster, None, "operation=1;").await;
    let body: Value = first.json().await.expect("the refusal is JSON");
    let key = body["key"].as_str().expect("the refusal holds a key");
    let once = entry(&cluster, Some(key), "operation=1;").await;
    assert_eq!(
        (once.status(), code(&once)),
        (StatusCode::BAD_GATEWAY, ResultCode::OutcomeUnknown.number())
    );
    let request = Client::new().get(format!("{}/s/coldbook/look?operation=2;", base(&cluster)));
    let repeatable = request.bearer_auth(KEY).send().await;
    let repeatable = repeatable.expect("the node answers");
    assert!(!repeatable.status().is_success(), "{repeatable:?}");
}

/// Guards against a part of an answer without a length that is passed on as a whole one: its connection is reset
/// while the request is still being written.
#[tokio::test]
async fn early_answer_that_is_reset_does_not_look_whole() {
    let mut plan = users::aqsu();
    plan.regions.truncate(1);
    plan.regions[0].entries = 1;
    for text in plan.parts.values_mut() {
        *text = text.replace(BODY_LIMIT, RAISED_BODY_LIMIT).into();
    }
    let options = ClusterOptions {
        plain_rest: Some("connection: close\r\n\r\nx"),
        ..ClusterOptions::default()
    };
    let cluster = LabCluster::start(plan, &options).await;
    let upload = "x".repeat(UPLOAD_BYTES);
    let unknown = ResultCode::OutcomeUnknown.number();
    let answered = ResultCode::Answered.number();
    for (padding, expected) in [("", answered), (&upload, unknown), (&upload, unknown)] {
        let body = format!("operation=1;{padding}");
        let first = entry(&cluster, None, body.clone()).await;
        let refusal: Value = first.json().await.expect("the refusal is JSON");
        let key = refusal["key"].as_str().expect("the refusal holds a key");
        let once = entry(&cluster, Some(key), body).await;
        assert_eq!(code(&once), expected);
    }
}

/// Guards against invalid input that reaches a backend server or goes uncounted: wrong tokens,
/// forged and foreign keys, forwarded requests without a valid proof, oversize and malformed
/// bodies. Each is refused with its own result code.
#[tokio::test]
async fn invalid_input_is_refused_and_counted() {
    let cluster = start().await;
    let client = Client::new();
    let url = base(&cluster);
    let chat = |body: &'static str| {
        client
            .post(format!("{url}/s/zinnia-desk/v1/chat/completions"))
            .bearer_auth(KEY)
            .body(body)
    };
    let cases = [
        (
            client.get(format!("{url}/s/coldbook/x")),
            ResultCode::BadCredential,
        ),
        (
            client
                .get(format!("{url}/s/coldbook/x"))
                .bearer_auth("wrong"),
            ResultCode::BadCredential,
        ),
        (
            client.get(format!("{url}/s/nothing/x")).bearer_auth(KEY),
            ResultCode::UnknownService,
        ),
        (chat("{"), ResultCode::BadRequest),
        (chat("{\"messages\": []}"), ResultCode::BadRequest),
        (
            chat("{\"messages\": [{\"content\": 7}]}"),
            ResultCode::BadRequest,
        ),
        (
            client
                .post(format!("{url}/s/coldbook/x"))
                .bearer_auth(KEY)
                .header("idempotency-key", "zk1.x.1.1.0.aa")
                .body("b"),
            ResultCode::KeyOwnerGone,
        ),
        (
            client
                .post(format!("{url}/s/coldbook/x"))
                .bearer_auth(KEY)
                .header("idempotency-key", "nonsense")
                .body("b"),
            ResultCode::KeyForeign,
        ),
        (
            client
                .get(format!("{url}/s/coldbook/x"))
                .bearer_auth(KEY)
                .body(vec![7; 600_000]),
            ResultCode::BodyTooLarge,
        ),
        (
            client
                .post(format!("{url}/internal/away/coldbook/x"))
                .body("b"),
            ResultCode::BadCredential,
        ),
        (
            client
                .post(format!("{url}/internal/owned/coldbook/x"))
                .header("x-zinnia-request", "r")
                .header("x-zinnia-account", "almaty-wholesale")
                .header("x-zinnia-caller", "buyer-almaty")
                .header("x-zinnia-deadline-ms", "1000")
                .header("x-zinnia-proof", "00")
                .body("b"),
            ResultCode::BadCredential,
        ),
    ];
    for (request, expected) in cases {
        let response = request.send().await.expect("the node answers");
        assert_eq!(code(&response), expected.number(), "{expected:?}");
        assert_eq!(response.status().as_u16(), expected.status());
    }
    let handover = client
        .post(format!("{url}/internal/handover"))
        .body("{\"books\":[]}")
        .send()
        .await
        .expect("the node answers");
    assert_eq!(handover.status(), StatusCode::FORBIDDEN);
    assert_eq!(
        cluster.history.with(|data| data.executions.len()),
        0,
        "nothing reached a backend server"
    );
    assert!(metric(&cluster, "zinnia_proofs_refused_total").await >= 3.0);
    assert!(metric(&cluster, "zinnia_results_total{code=\"202\"").await >= 2.0);
}

/// Guards against a slow caller that holds a connection for ever. The whole body has one time limit,
/// after which the caller gets a 408.
#[tokio::test]
async fn slow_body_is_refused() {
    let cluster = start().await;
    let address = cluster.nodes[0].http.to_string();
    let status = tokio::task::spawn_blocking(move || {
        let mut stream = TcpStream::connect(address).expect("the node listens");
        let head = format!(
            "GET /s/coldbook/x HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\ncontent-length: 10\r\n\r\nab"
        );
        stream.write_all(head.as_bytes()).expect("the head is sent");
        let mut response = [0_u8; 12];
        stream.read_exact(&mut response).expect("the node answers");
        String::from_utf8_lossy(&response).into_owned()
    });
    assert_eq!(
        status.await.expect("the caller does not panic"),
        "HTTP/1.1 408"
    );
}

/// Guards against a slot that stays occupied by a stream that its caller does not read. Such a
/// stream is not polled, so that it cannot notice that its deadline has passed; a watchdog releases
/// the slot.
#[tokio::test]
async fn unread_stream_releases_its_slot() {
    // The stream is faster than any buffer on the path can absorb.
    let cluster = start_with(EngineSpeed {
        token: Duration::ZERO,
        ..EngineSpeed::default()
    })
    .await;
    let address = cluster.nodes[0].http.to_string();
    let prompt =
        "{\"stream\":true,\"max_tokens\":2000000,\"messages\":[{\"content\":\"operation=1;\"}]}";
    let head = format!(
        "POST /s/zinnia-desk/v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\nx-zinnia-deadline-ms: 500\r\ncontent-length: {}\r\n\r\n{prompt}",
        prompt.len()
    );
    let mut stream = TcpStream::connect(address).expect("the node listens");
    stream
        .write_all(head.as_bytes())
        .expect("the request is sent");
    while metric(&cluster, "zinnia_running{service=\"zinnia-desk\"").await < 1.0 {
        tokio::task::yield_now().await;
    }
    while metric(&cluster, "zinnia_running{service=\"zinnia-desk\"").await > 0.0 {
        tokio::task::yield_now().await;
    }
    assert!(
        metric(&cluster, "zinnia_cancels_total").await >= 1.0,
        "the engine is told to stop"
    );
    drop(stream);
}

/// Guards against garbage on the port for nodes. Each frame fails its authentication code before
/// anything is decoded, and the node goes on serving.
#[tokio::test]
async fn garbage_frames_are_refused() {
    let cluster = start().await;
    let address = cluster.nodes[0].peer.to_string();
    tokio::task::spawn_blocking(move || {
        let mut stream = TcpStream::connect(address).expect("the node listens");
        // The transport's handshake as a sender, then a frame of garbage.
        stream
            .write_all(&[0, b'S', b'P', 0, 0, 0x50, 0, 0])
            .expect("the handshake is sent");
        stream
            .write_all(&[0, 0, 0, 0, 0, 0, 0, 64])
            .expect("the length is sent");
        stream.write_all(&[9; 64]).expect("the garbage is sent");
        let mut greeting = [0_u8; 8];
        stream
            .read_exact(&mut greeting)
            .expect("the node sends its handshake");
    })
    .await
    .expect("the sender does not panic");
    while metric(&cluster, "zinnia_frames_refused_total").await < 1.0 {
        tokio::task::yield_now().await;
    }
    let ready = Client::new()
        .get(format!("{}/readyz", base(&cluster)))
        .send()
        .await
        .expect("the node answers");
    assert_eq!(ready.status(), StatusCode::OK);
}

fn switch(change: &str, revision: u64) -> Value {
    json!({"change": change, "expect_revision": revision, "preset": "peak"})
}

#[tokio::test]
async fn operators_switch_as_their_role_allows() {
    let cluster = start().await;
    let reader = AdminClient::new(&cluster, 0, &cluster.plan.reader);
    let shift = AdminClient::new(&cluster, 0, &cluster.plan.shift);
    let stranger = AdminClient::new(&cluster, 0, "wrong");
    let revision = reader.get("config").await["revision"]
        .as_u64()
        .expect("a revision is in force");
    assert_eq!(
        stranger.post("config", &switch("a", revision)).await.0,
        StatusCode::UNAUTHORIZED
    );
    assert_eq!(
        reader.post("config", &switch("a", revision)).await.0,
        StatusCode::FORBIDDEN
    );
    assert_eq!(
        shift.post("config", &switch("b", revision)).await.0,
        StatusCode::OK
    );
    assert_eq!(
        shift.post("config", &switch("b", revision)).await.0,
        StatusCode::OK,
        "a repeated change is idempotent"
    );
    assert_eq!(
        shift.post("config", &switch("c", revision)).await.0,
        StatusCode::CONFLICT
    );
    let report = reader.get("report?by=nonsense").await;
    assert!(
        report["error"]
            .as_str()
            .is_some_and(|text| text.contains("the fields are: account"))
    );
}

#[tokio::test]
async fn invalid_part_is_refused_with_an_explanation() {
    let cluster = start().await;
    let chief = AdminClient::new(&cluster, 0, &cluster.plan.chief);
    let shift = AdminClient::new(&cluster, 0, &cluster.plan.shift);
    let wrong = json!({"change": "d", "expect_revision": 1, "parts": {"prices": "[price zinnia-desk]\nper_call = cheap\n"}});
    assert_eq!(shift.post("config", &wrong).await.0, StatusCode::FORBIDDEN);
    let (status, text) = chief.post("config", &wrong).await;
    assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
    assert!(
        text.contains("prices: [price zinnia-desk] per_call: `cheap` is not a number"),
        "{text}"
    );
    assert_eq!(
        chief.get("config").await["revision"],
        1,
        "nothing was changed"
    );
}

#[tokio::test]
async fn team_lead_changes_only_its_own_team() {
    let cluster = start().await;
    let lead = AdminClient::new(&cluster, 0, "aqsu-team-example-token");
    let account = |change: &str, team: &str| json!({"change": change, "expect_revision": 1, "account": "new", "home": "almaty", "class": "shops", "team": team});
    assert_eq!(
        lead.post("accounts", &account("e", "shymkent-team"))
            .await
            .0,
        StatusCode::FORBIDDEN
    );
    assert_eq!(
        lead.post("accounts", &account("f", "almaty-team")).await.0,
        StatusCode::OK
    );
    let accounts = lead.get("accounts").await;
    assert!(
        accounts.get("new").is_some(),
        "an operator's next command sees the change: {accounts}"
    );
    assert!(
        accounts.get("shymkent-shops").is_none(),
        "another team's account stays hidden"
    );
}

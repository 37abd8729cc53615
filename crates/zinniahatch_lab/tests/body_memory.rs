//! Many large bodies, or answers, at once at an entry VM with little memory.

use futures_util::future::join_all;
use reqwest::StatusCode;
use std::time::Duration;
use test_case::test_case;
use zinniahatch_lab::site::AMPLE_RETRY_SLACK;
use zinniahatch_lab::site::SiteCluster;
use zinniahatch_lab::site::SiteRegion;
use zinniahatch_lab::site::wait_until;
use zinniahatch_lab::slow_reading::SlowReading;
use zinniahatch_lab::test_doubles::answer_form::AnswerBreak;
use zinniahatch_lab::test_doubles::answer_form::AnswerEnd;
use zinniahatch_lab::test_doubles::answer_form::AnswerForm;
use zinniahatch_lab::test_doubles::answer_form::AnswerFraming;
use zinniahatch_lab::test_doubles::replica::ReplicaBehaviour;
use zinniahatch_lab::test_doubles::replica::StreamShape;

const SHAPE: StreamShape = StreamShape {
    events: 3,
    pause: Duration::from_millis(10),
};
const MEMORY_MIB: u32 = 120;
const BYTES_PER_MIB: usize = 1 << 20;
/// Position of the listener that serves the metrics.
const CONTROL_LISTENER: usize = 2;
const BODY_BYTES: usize = 4 << 20;
/// Requests whose bodies together are more than the memory.
const REQUESTS: usize = 40;
/// Length of each answer; a few of them are more than the memory.
const ANSWER_BYTES: usize = 16 << 20;
const ANSWERS: usize = 20;
/// Length of an answer that the memory for answers does not hold.
const LONG_ANSWER_BYTES: usize = 30 << 20;
/// Length of the events of large streams.
const LARGE_EVENT_BYTES: usize = 4 << 20;
const STREAMS: usize = 12;
/// Pauses of a caller that reads the first event.
const READ_PAUSES: usize = 10;
const CALLER_TIME: Duration = Duration::from_secs(4);

async fn metrics_of(site: &SiteCluster) -> String {
    let control = &site.entries[0].addresses[CONTROL_LISTENER];
    let response = reqwest::get(format!("http://{control}/metrics")).await;
    let text = response.expect("the node answers").text().await;
    text.expect("the metrics are text")
}

/// Guards against a process that is killed with all its requests, since it keeps more bodies than it has
/// memory for, some of them twice.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_stay_within_the_memory() {
    let mut site = SiteCluster::prepare(&[SiteRegion::new("north", 1, 1)], SHAPE).await;
    site.set_memory(MEMORY_MIB);
    let site = site.start_prepared(AMPLE_RETRY_SLACK).await;
    site.set_limits(|limits| limits["max_body_bytes"] = BODY_BYTES.into())
        .await;
    let (replica, _) = &site.replicas[0];
    replica.set_behaviour(ReplicaBehaviour::Mute);
    let calls = (0..REQUESTS).map(async |number| {
        let attempt = format!("b-{number}");
        let request = site.request_with_timeout(0, "/once/t", &attempt, CALLER_TIME);
        let response = request.body(vec![b'x'; BODY_BYTES]).send().await;
        let response = response.expect("the node answers");
        let retry = response.headers().contains_key("retry-after");
        (response.status(), retry)
    });
    let answers = join_all(calls).await;
    let refused = (StatusCode::SERVICE_UNAVAILABLE, true);
    assert!(answers.contains(&refused), "{answers:?}");
    let taken = answers.iter().filter(|answer| **answer != refused).count();
    assert!(taken > 0, "{answers:?}");
    let peak = site.peak_memory_kib(0) >> 10;
    assert!(peak < u64::from(MEMORY_MIB), "{peak} MiB, {taken} taken");
    replica.set_behaviour(ReplicaBehaviour::Serve);
    wait_until("memory is given back", async || {
        let request = site.request(0, "/plain/t", "after");
        let response = request.body(vec![b'x'; BODY_BYTES]).send().await;
        response.is_ok_and(|response| response.status().is_success())
    })
    .await;
}

/// Guards against a node whose memory is filled without a trace for those on call.
#[tokio::test(flavor = "multi_thread")]
async fn full_memory_is_counted() {
    let mut site = SiteCluster::prepare(&[SiteRegion::new("north", 1, 1)], SHAPE).await;
    site.set_memory(MEMORY_MIB);
    let site = site.start_prepared(AMPLE_RETRY_SLACK).await;
    let body_bytes = MEMORY_MIB as usize * BYTES_PER_MIB;
    site.set_limits(|limits| limits["max_body_bytes"] = body_bytes.into())
        .await;
    let request = site.request(0, "/plain/t", "large");
    let response = request.body(vec![b'x'; body_bytes]).send().await;
    let response = response.expect("the node answers");
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    let metrics = metrics_of(&site).await;
    let refused = "zinniahatch_memory_full_total{use=\"bodies\"} 1\n";
    assert!(metrics.contains(refused), "{metrics}");
    assert!(site.log(0).contains("memory-full"));
}

/// Guards against a process that is killed with all its requests, since it keeps more answers than it has
/// memory for.
#[tokio::test(flavor = "multi_thread")]
async fn answers_stay_within_the_memory() {
    let mut site = SiteCluster::prepare(&[SiteRegion::new("north", 1, 1)], SHAPE).await;
    site.set_memory(MEMORY_MIB);
    let site = site.start_prepared(AMPLE_RETRY_SLACK).await;
    let front = &site.entries[0].addresses[0];
    let calls = (0..ANSWERS).map(async |number| {
        let attempt = format!("large-{number}");
        SlowReading::begin(front, "plain", &attempt, ANSWER_BYTES).await
    });
    let readings = join_all(calls).await;
    let begun = readings.iter().filter(|reading| reading.is_ok()).count();
    assert!(begun > 0, "no answer begins");
    let peak = site.peak_memory_kib(0) >> 10;
    assert!(peak < u64::from(MEMORY_MIB), "{peak} MiB, {begun} begun");
}

/// Guards against a process that is killed with all its requests, since it keeps more of large events than
/// it has memory for.
#[tokio::test(flavor = "multi_thread")]
async fn events_stay_within_the_memory() {
    let site = start_small().await;
    let front = &site.entries[0].addresses[0];
    let calls = (0..STREAMS).map(async |number| {
        let attempt = format!("events-{number}");
        let mut reading = SlowReading::begin(front, "stream", &attempt, LARGE_EVENT_BYTES).await?;
        reading.read_to(LARGE_EVENT_BYTES, READ_PAUSES).await
    });
    let readings = join_all(calls).await;
    assert!(readings.iter().all(Result::is_ok), "{readings:?}");
    let peak = site.peak_memory_kib(0) >> 10;
    assert!(peak < u64::from(MEMORY_MIB), "{peak} MiB");
    wait_for_release(&site).await;
}

/// Guards against a stream that is lost, or loses a part, since one of its events is longer than the memory for
/// answers.
#[tokio::test(flavor = "multi_thread")]
async fn event_beyond_the_memory_arrives_whole() {
    let site = start_small().await;
    let path = format!("/stream/t?bytes={LONG_ANSWER_BYTES}");
    let response = site.request(0, &path, "long").send().await;
    let response = response.expect("the node answers");
    let body = response.text().await.expect("the stream is whole");
    let padding = "x".repeat(LONG_ANSWER_BYTES);
    let event = |id| format!("id: {id}\ndata: long{padding}\n\n");
    let expected: String = (1..=SHAPE.events).map(event).collect();
    assert!(body == expected, "{} bytes", body.len());
    wait_for_release(&site).await;
}

/// A site of one entry VM with little memory and one replica.
async fn start_small() -> SiteCluster {
    let mut site = SiteCluster::prepare(&[SiteRegion::new("north", 1, 1)], SHAPE).await;
    site.set_memory(MEMORY_MIB);
    site.start_prepared(AMPLE_RETRY_SLACK).await
}

/// Waits until no answer holds memory.
async fn wait_for_release(site: &SiteCluster) {
    wait_until("memory is given back", async || {
        let metrics = metrics_of(site).await;
        metrics.contains("zinniahatch_held_bytes{use=\"answers\"} 0\n")
    })
    .await;
}

/// Guards against an answer that is lost, or loses a part, since it is longer than the memory for answers.
#[test_case(AnswerFraming::Length; "length")]
#[test_case(AnswerFraming::Chunks; "chunks")]
#[test_case(AnswerFraming::Close; "close")]
#[tokio::test(flavor = "multi_thread")]
async fn answer_beyond_the_memory_arrives_whole(framing: AnswerFraming) {
    let site = start_small().await;
    let (replica, _) = &site.replicas[0];
    replica.set_behaviour(ReplicaBehaviour::Answer(AnswerForm::whole(framing)));
    let path = format!("/once/t?bytes={LONG_ANSWER_BYTES}");
    let response = site.request(0, &path, "long").send().await;
    let response = response.expect("the node answers");
    assert_eq!(response.status(), StatusCode::OK);
    let body = response.bytes().await.expect("the answer is whole");
    assert_eq!(body.len(), LONG_ANSWER_BYTES);
    assert!(body.iter().all(|byte| *byte == b'x'));
    let metrics = metrics_of(&site).await;
    assert!(metrics.contains("zinniahatch_memory_full_total{use=\"answers\"} 1\n"));
    wait_for_release(&site).await;
    assert_eq!(replica.observations().runs["long"], 1);
}

/// Guards against an answer without memory that ends early and looks whole, or whose request runs twice.
#[test_case(AnswerFraming::Length; "length")]
#[test_case(AnswerFraming::Chunks; "chunks")]
#[tokio::test(flavor = "multi_thread")]
async fn truncated_answer_beyond_the_memory_does_not_look_whole(framing: AnswerFraming) {
    let site = start_small().await;
    let (replica, _) = &site.replicas[0];
    let broken = AnswerBreak {
        after: 0,
        inside_event: false,
        end: AnswerEnd::Close,
    };
    replica.set_behaviour(ReplicaBehaviour::Answer(AnswerForm {
        framing,
        broken: Some(broken),
    }));
    // Half of it is sent, which the memory does not hold either.
    let path = format!("/once/t?bytes={}", LONG_ANSWER_BYTES * 2);
    let response = site.request(0, &path, "cut").send().await;
    let response = response.expect("the node answers");
    assert_eq!(response.status(), StatusCode::OK);
    let body = response.bytes().await;
    assert!(body.is_err(), "the answer looks whole");
    wait_for_release(&site).await;
    assert_eq!(replica.observations().runs["cut"], 1);
}

/// Guards against a failure that finds no memory and turns into a success, or into another failure.
#[tokio::test(flavor = "multi_thread")]
async fn failure_beyond_the_memory_stays_a_failure() {
    let site = start_small().await;
    let (replica, _) = &site.replicas[0];
    replica.set_behaviour(ReplicaBehaviour::Fail);
    let path = format!("/plain/t?bytes={LONG_ANSWER_BYTES}");
    let response = site.request(0, &path, "failure").send().await;
    let response = response.expect("the node answers");
    assert_eq!(response.status(), StatusCode::INTERNAL_SERVER_ERROR);
    let body = response.bytes().await.expect("the answer is whole");
    assert_eq!(body.len(), LONG_ANSWER_BYTES);
    wait_for_release(&site).await;
}

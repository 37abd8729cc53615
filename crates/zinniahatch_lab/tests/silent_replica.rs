//! Replicas and connections that fall silent during a request, with real entry VMs.

use futures_util::future::join_all;
use std::time::Duration;
use test_case::test_case;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedSender;
use zinniahatch_lab::site::SiteCluster;
use zinniahatch_lab::site::SiteRegion;
use zinniahatch_lab::site::wait_until;
use zinniahatch_lab::test_doubles::answer_form::AnswerBreak;
use zinniahatch_lab::test_doubles::answer_form::AnswerEnd;
use zinniahatch_lab::test_doubles::answer_form::AnswerForm;
use zinniahatch_lab::test_doubles::answer_form::AnswerFraming;
use zinniahatch_lab::test_doubles::replica::ReplicaBehaviour;
use zinniahatch_lab::test_doubles::replica::StreamShape;

const SHAPE: StreamShape = StreamShape {
    events: 60,
    pause: Duration::from_millis(40),
};
/// Number of streams that run when the silence begins.
const STREAMS: usize = 12;
/// Time of a caller whose request goes to a connection that is silent for good.
const CALLER_TIME: Duration = Duration::from_secs(8);

fn whole_stream(attempt: &str) -> String {
    let event = |id| format!("id: {id}\ndata: {attempt}\n\n");
    (1..=SHAPE.events).map(event).collect()
}

/// Starts one region with one entry VM.
async fn start_site(replicas: usize) -> SiteCluster {
    SiteCluster::start(&[SiteRegion::new("north", 1, replicas)], SHAPE).await
}

/// Reads a stream to its end, reporting its first event; returns whether it is whole.
async fn read_stream(
    site: &SiteCluster,
    node: usize,
    path: &str,
    attempt: &str,
    began: UnboundedSender<()>,
) -> bool {
    let request = site.request(node, path, attempt);
    let mut response = request.send().await.expect("the node answers");
    let mut body = Vec::new();
    while let Ok(Some(chunk)) = response.chunk().await {
        if body.is_empty() {
            began.send(()).expect("the test waits for every stream");
        }
        body.extend_from_slice(&chunk);
    }
    body == whole_stream(attempt).as_bytes()
}

/// Begins the streams, calls `disturb` once all have their first event, and returns how many arrive
/// whole.
async fn count_whole(site: &SiteCluster, node: usize, path: &str, disturb: impl Fn()) -> usize {
    let (began, mut beginnings) = mpsc::unbounded_channel();
    let attempts: Vec<String> = (0..STREAMS).map(|number| format!("s-{number}")).collect();
    let streams = attempts
        .iter()
        .map(|attempt| read_stream(site, node, path, attempt, began.clone()));
    let disturbed = async {
        for _ in 0..STREAMS {
            beginnings.recv().await;
        }
        disturb();
    };
    let (whole, ()) = tokio::join!(join_all(streams), disturbed);
    whole.into_iter().filter(|whole| *whole).count()
}

/// Gives the plain route a short goal.
async fn set_plain_goal(site: &SiteCluster) {
    const GOAL_MS: u64 = 500;
    let mut state = site.desired_state(2);
    state["routes"][0]["target_latency_ms"] = GOAL_MS.into();
    site.write_desired_state(&state);
    wait_until("the new goal is in force", async || {
        site.log(0).contains("\"to\":2")
    })
    .await;
}

fn delay_links(site: &SiteCluster, replicas: usize, silence: u64) {
    for index in 0..replicas {
        site.link(index).slow(Duration::from_millis(silence));
    }
}

/// Guards against streams that are cut off because their replica fell silent for a while and no other
/// one could take them.
#[test_case(1, 1_200; "one")]
#[test_case(1, 2_400; "one_for_longer")]
#[test_case(3, 1_200; "all")]
#[test_case(3, 2_400; "all_for_longer")]
#[tokio::test(flavor = "multi_thread")]
async fn stream_outlives_silence(replicas: usize, silence: u64) {
    let site = start_site(replicas).await;
    let disturb = || delay_links(&site, replicas, silence);
    let whole = count_whole(&site, 0, "/stream/t", disturb).await;
    assert_eq!(whole, STREAMS);
}

/// Guards against streams that are cut off where another replica could take them.
#[tokio::test(flavor = "multi_thread")]
async fn stream_moves_from_silent_replicas() {
    let site = start_site(3).await;
    let disturb = || delay_links(&site, 2, 1_500);
    let whole = count_whole(&site, 0, "/stream/t", disturb).await;
    assert_eq!(whole, STREAMS);
}

/// Guards against the same for streams that were forwarded to another region, whose node may not move
/// them itself.
#[test_case(1_200; "briefly")]
#[test_case(2_400; "for_longer")]
#[tokio::test(flavor = "multi_thread")]
async fn forwarded_stream_outlives_silence(silence: u64) {
    let regions = [
        SiteRegion::new("north", 1, 0),
        SiteRegion::new("south", 1, 2),
    ];
    let site = SiteCluster::start(&regions, SHAPE).await;
    let disturb = || delay_links(&site, 2, silence);
    let whole = count_whole(&site, 0, "/stream/t", disturb).await;
    assert_eq!(whole, STREAMS);
}

/// Guards against streams that wait until their deadline on a connection that is silent for good,
/// while their replica serves new connections.
#[tokio::test(flavor = "multi_thread")]
async fn stream_leaves_dead_connection() {
    let site = start_site(3).await;
    let disturb = || site.link(0).silence_open();
    let whole = count_whole(&site, 0, "/stream/t", disturb).await;
    assert_eq!(whole, STREAMS);
}

/// Guards against the same at the only replica, to which a new connection leads.
#[tokio::test(flavor = "multi_thread")]
async fn stream_leaves_dead_connection_to_only_replica() {
    let site = start_site(1).await;
    let disturb = || site.link(0).silence_open();
    let whole = count_whole(&site, 0, "/stream/t", disturb).await;
    assert_eq!(whole, STREAMS);
}

/// Guards against streams whose request went to a connection that had become silent for good.
#[tokio::test(flavor = "multi_thread")]
async fn request_leaves_dead_connection() {
    let site = start_site(1).await;
    assert_eq!(count_whole(&site, 0, "/stream/t", || {}).await, STREAMS);
    site.link(0).silence_open();
    let request = site.request_with_timeout(0, "/stream/t", "next", CALLER_TIME);
    let response = request.send().await.expect("the node answers");
    let body = response.text().await.expect("the stream ends");
    assert_eq!(body, whole_stream("next"));
}

/// Guards against an idempotent request that is given up while its replica is still, although no
/// other replica can take it.
#[tokio::test(flavor = "multi_thread")]
async fn idempotent_request_outlives_silence() {
    const SILENCE_MS: u64 = 1_200;
    let site = start_site(1).await;
    set_plain_goal(&site).await;
    site.link(0).slow(Duration::from_millis(SILENCE_MS));
    let response = site.request(0, "/plain/t", "p").send().await;
    let response = response.expect("the node answers");
    let body = response.text().await.expect("the answer is whole");
    assert_eq!(body, "p@i-north-0");
}

/// Guards against a paused entry VM that takes its own pause for a silence of its replicas.
#[tokio::test(flavor = "multi_thread")]
async fn stream_outlives_pause_of_entry() {
    const PAUSE: Duration = Duration::from_millis(2_500);
    let site = start_site(3).await;
    let (pause, mut paused) = mpsc::unbounded_channel();
    let disturb = || {
        site.signal(0, "-STOP");
        pause.send(()).expect("the test waits for the pause");
    };
    let resume = async {
        paused.recv().await;
        tokio::time::sleep(PAUSE).await;
        site.signal(0, "-CONT");
    };
    let (whole, ()) = tokio::join!(count_whole(&site, 0, "/stream/t", disturb), resume);
    assert_eq!(whole, STREAMS);
    assert!(!site.log(0).contains("\"kind\":\"resume\""));
}

/// Guards against an answer that never comes because a replica accepts requests and says nothing.
#[tokio::test(flavor = "multi_thread")]
async fn mute_replica_is_left_before_the_first_event() {
    let site = start_site(2).await;
    site.replicas[0].0.set_behaviour(ReplicaBehaviour::Mute);
    let whole = count_whole(&site, 0, "/stream/t", || {}).await;
    assert_eq!(whole, STREAMS);
}

/// Guards against streams that are cut off because their connections were reset, although their only
/// replica goes on.
#[tokio::test(flavor = "multi_thread")]
async fn stream_outlives_reset_at_only_replica() {
    let site = start_site(1).await;
    let disturb = || site.link(0).reset_open();
    let whole = count_whole(&site, 0, "/stream/t", disturb).await;
    assert_eq!(whole, STREAMS);
}

/// Guards against streams that move to a connection that is silent for good too.
#[tokio::test(flavor = "multi_thread")]
async fn stream_leaves_dead_connections_everywhere() {
    let site = start_site(3).await;
    assert_eq!(count_whole(&site, 0, "/stream/t", || {}).await, STREAMS);
    let disturb = || (0..3).for_each(|index| site.link(index).silence_open());
    let whole = count_whole(&site, 0, "/stream/u", disturb).await;
    assert_eq!(whole, STREAMS);
}

/// Guards against an idempotent request that waits until its deadline because its replica stopped
/// inside the answer.
#[tokio::test(flavor = "multi_thread")]
async fn idempotent_request_leaves_silent_body() {
    let site = start_site(2).await;
    set_plain_goal(&site).await;
    let form = AnswerForm {
        framing: AnswerFraming::Length,
        broken: Some(AnswerBreak {
            after: 0,
            inside_event: false,
            end: AnswerEnd::Silence,
        }),
    };
    site.replicas[0]
        .0
        .set_behaviour(ReplicaBehaviour::Answer(form));
    for number in 0..STREAMS {
        let attempt = format!("p-{number}");
        let request = site.request_with_timeout(0, "/plain/t", &attempt, CALLER_TIME);
        let response = request.send().await.expect("the node answers");
        let body = response.text().await.expect("the answer is whole");
        assert_eq!(body, format!("{attempt}@i-north-1"));
    }
}

/// Guards against a stream that looks complete because its connection was reset while another replica
/// was looked for, where the end of the connection is the end of the answer.
#[tokio::test(flavor = "multi_thread")]
async fn reset_during_silence_does_not_look_whole() {
    let site = start_site(1).await;
    let form = AnswerForm::whole(AnswerFraming::Close);
    site.replicas[0]
        .0
        .set_behaviour(ReplicaBehaviour::Answer(form));
    let mut response = site.request(0, "/stream/t", "r").send().await;
    let response = response.as_mut().expect("the node answers");
    let mut body = Vec::new();
    let first = response.chunk().await.expect("the stream begins");
    body.extend(first.expect("it has events"));
    delay_links(&site, 1, 60_000);
    wait_until("the silence was noticed", async || {
        site.log(0).contains("connection-silent")
    })
    .await;
    site.link(0).reset_open();
    let ended = loop {
        match response.chunk().await {
            Ok(Some(chunk)) => body.extend(chunk),
            ended => break ended,
        }
    };
    assert!(ended.is_err() || body == whole_stream("r").as_bytes());
}

//! What tells a whole answer from a truncated one, by route, framing and end (`docs/DESIGN.md`).

use reqwest::StatusCode;
use std::time::Duration;
use test_case::test_case;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use zinniahatch_lab::relay::LinkState;
use zinniahatch_lab::relay::TcpRelay;
use zinniahatch_lab::site::AMPLE_RETRY_SLACK;
use zinniahatch_lab::site::HOST;
use zinniahatch_lab::site::SiteCluster;
use zinniahatch_lab::site::SiteRegion;
use zinniahatch_lab::site::wait_until;
use zinniahatch_lab::test_doubles::answer_form::AnswerBreak;
use zinniahatch_lab::test_doubles::answer_form::AnswerEnd;
use zinniahatch_lab::test_doubles::answer_form::AnswerForm;
use zinniahatch_lab::test_doubles::answer_form::AnswerFraming;
use zinniahatch_lab::test_doubles::replica::ReplicaBehaviour;
use zinniahatch_lab::test_doubles::replica::StreamShape;

/// More events than two tries bring that are each broken off: a stream goes on at the same replica.
const SHAPE: StreamShape = StreamShape {
    events: 8,
    pause: Duration::from_millis(5),
};
/// A stream that is running when its replica ends.
const LONG_SHAPE: StreamShape = StreamShape {
    events: 500,
    pause: Duration::from_millis(20),
};
/// One-way delay of a relay, which accepts a connection at once and closes it two of them later if its
/// replica has ended.
const RELAY_DELAY: Duration = Duration::from_millis(50);
/// Number of events before a break.
const EVENTS_BEFORE: u32 = 3;
/// Time of a caller; a replica that goes silent uses all of it.
const CALLER_TIME: Duration = Duration::from_millis(1_500);
/// Number of requests until one is sent to the replica, which is avoided after a failure.
const MAX_REQUESTS: u32 = 100;
/// Pause between these.
const REQUEST_PAUSE: Duration = Duration::from_millis(100);

/// What a caller got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallerView {
    /// The whole answer.
    Whole,
    /// An answer that is visibly truncated, or a failure.
    Truncated,
    /// A part of the answer that looks complete.
    LooksWhole,
}

/// A site whose only replica is in the first of two regions.
async fn start_site() -> SiteCluster {
    let regions = [
        SiteRegion::new("north", 1, 1),
        SiteRegion::new("south", 1, 0),
    ];
    SiteCluster::start(&regions, SHAPE).await
}

fn broken(framing: AnswerFraming, end: AnswerEnd, inside_event: bool) -> AnswerForm {
    let broken = AnswerBreak {
        after: EVENTS_BEFORE,
        inside_event,
        end,
    };
    AnswerForm {
        framing,
        broken: Some(broken),
    }
}

/// Returns the whole stream of an attempt.
fn whole_stream(attempt: &str) -> String {
    let event = |id| format!("id: {id}\ndata: {attempt}\n\n");
    (1..=SHAPE.events).map(event).collect()
}

/// Sends requests until the replica answers one, and returns what its caller got.
async fn call(site: &SiteCluster, node: usize, path: &str, tag: &str) -> CallerView {
    for number in 0..MAX_REQUESTS {
        let attempt = format!("{tag}-{number}");
        let request = site.request_with_timeout(node, path, &attempt, CALLER_TIME);
        let response = request.send().await.expect("the node answers");
        let status = response.status();
        if status == StatusCode::SERVICE_UNAVAILABLE {
            sleep(REQUEST_PAUSE).await;
            continue;
        }
        let Ok(body) = response.text().await else {
            return CallerView::Truncated;
        };
        if status != StatusCode::OK {
            return CallerView::Truncated;
        }
        let whole = if path.starts_with("/stream") {
            body == whole_stream(&attempt)
        } else {
            body.starts_with(&attempt) && body.ends_with("@i-north-0")
        };
        return if whole {
            CallerView::Whole
        } else {
            CallerView::LooksWhole
        };
    }
    panic!("the replica was sent nothing");
}

/// Checks one cell of the table through a node of the replica's region and one of another region.
async fn check(site: &SiteCluster, path: &str, form: AnswerForm, expected: CallerView) {
    let (replica, _) = &site.replicas[0];
    replica.set_behaviour(ReplicaBehaviour::Answer(form));
    for node in 0..site.entries.len() {
        let tag = format!("{form:?}-{node}").replace(|sign: char| !sign.is_alphanumeric(), "");
        let seen = call(site, node, path, &tag).await;
        assert_eq!(seen, expected, "{path} {form:?} through node {node}");
    }
}

/// Guards against a truncated stream that is passed on as complete, on every kind of streaming
/// route; whole streams stay whole in every framing.
///
/// Nothing tells where a stream without a length or chunks ends between two events and its replica
/// goes on running.
#[test_case("/stream/t", AnswerFraming::Chunks; "resumable_chunks")]
#[test_case("/stream/t", AnswerFraming::Length; "resumable_length")]
#[test_case("/stream/t", AnswerFraming::Close; "resumable_close")]
#[test_case("/stream-once/t", AnswerFraming::Chunks; "once_chunks")]
#[test_case("/stream-once/t", AnswerFraming::Length; "once_length")]
#[test_case("/stream-once/t", AnswerFraming::Close; "once_close")]
#[tokio::test(flavor = "multi_thread")]
async fn truncated_stream_does_not_look_whole(path: &str, framing: AnswerFraming) {
    let site = start_site().await;
    check(&site, path, AnswerForm::whole(framing), CallerView::Whole).await;
    for end in [AnswerEnd::Close, AnswerEnd::Reset, AnswerEnd::Silence] {
        check(
            &site,
            path,
            broken(framing, end, true),
            CallerView::Truncated,
        )
        .await;
        let unknown = framing == AnswerFraming::Close && end == AnswerEnd::Close;
        let expected = if unknown {
            CallerView::LooksWhole
        } else {
            CallerView::Truncated
        };
        check(&site, path, broken(framing, end, false), expected).await;
    }
    check(&site, path, AnswerForm::whole(framing), CallerView::Whole).await;
}

/// Guards against a stream that its replica ended by crashing between two events, and that is passed
/// on as complete since its framing is the end of the connection.
#[test_case("/stream/t"; "resumable")]
#[test_case("/stream-once/t"; "once")]
#[test_case("/plain/t"; "plain")]
#[tokio::test(flavor = "multi_thread")]
async fn answer_of_crashed_replica_does_not_look_whole(path: &str) {
    let site = start_site().await;
    let form = broken(AnswerFraming::Close, AnswerEnd::Crash, false);
    let (replica, _) = &site.replicas[0];
    replica.set_behaviour(ReplicaBehaviour::Answer(form));
    let seen = call(&site, 0, path, "crash").await;
    assert_eq!(seen, CallerView::Truncated);
}

/// What a node learned of a replica before that ended inside an answer.
#[derive(Clone, Copy, Debug)]
enum PriorNews {
    /// It is leaving.
    Draining,
    /// Its entry was removed.
    EntryGone,
    /// It ran on after another connection to it had broken.
    Checked,
}

impl PriorNews {
    /// Brings the node to know it.
    async fn tell(self, site: &SiteCluster) {
        let logged = async |text: &str| {
            wait_until("the node knows", async || site.log(0).contains(text)).await;
        };
        match self {
            Self::Draining => {
                site.register(0, "draining");
                logged("\"leaving\":true").await;
            }
            Self::EntryGone => {
                site.unregister(0);
                logged("replica-entry-gone").await;
            }
            Self::Checked => {
                let (replica, _) = &site.replicas[0];
                replica.set_behaviour(ReplicaBehaviour::LoseAnswer);
                let request = site.request_with_timeout(0, "/once/t", "lost", CALLER_TIME);
                let response = request.send().await.expect("the node answers");
                assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
            }
        }
    }
}

/// Begins a stream without a length, ends its replica after what happens `before`, and checks that the
/// stream does not look complete.
async fn end_replica_of_stream(site: &SiteCluster, path: &str, before: impl AsyncFnOnce()) {
    let (replica, _) = &site.replicas[0];
    let form = AnswerForm::whole(AnswerFraming::Close);
    replica.set_behaviour(ReplicaBehaviour::Answer(form));
    let mut response = site.request(0, path, "e").send().await;
    let response = response.as_mut().expect("the node answers");
    let first = response.chunk().await.expect("the stream begins");
    assert!(first.is_some());
    before().await;
    replica.crash();
    let ended = loop {
        match response.chunk().await {
            Ok(Some(_)) => {}
            ended => break ended,
        }
    };
    assert!(ended.is_err(), "the truncated stream looks complete");
}

/// Guards against a truncated stream that is passed on as complete since the end of its replica was not
/// looked for: it was known to leave, or had just been found to run.
#[test_case(PriorNews::Draining, "/stream/t"; "draining_resumable")]
#[test_case(PriorNews::Draining, "/stream-once/t"; "draining_once")]
#[test_case(PriorNews::EntryGone, "/stream/t"; "entry_gone_resumable")]
#[test_case(PriorNews::EntryGone, "/stream-once/t"; "entry_gone_once")]
#[test_case(PriorNews::Checked, "/stream/t"; "checked_resumable")]
#[test_case(PriorNews::Checked, "/stream-once/t"; "checked_once")]
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_ended_replica_does_not_look_whole(news: PriorNews, path: &str) {
    let site = SiteCluster::start(&[SiteRegion::new("north", 1, 1)], LONG_SHAPE).await;
    end_replica_of_stream(&site, path, async || news.tell(&site).await).await;
}

/// Guards against a truncated stream that is passed on as complete since something before its replica
/// accepts connections when the replica has ended, and closes them later.
#[test_case("/stream/t"; "resumable")]
#[test_case("/stream-once/t"; "once")]
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_ended_replica_behind_relay_does_not_look_whole(path: &str) {
    let site = SiteCluster::prepare(&[SiteRegion::new("north", 1, 1)], LONG_SHAPE).await;
    let (replica, _) = &site.replicas[0];
    let to = replica.address.to_string();
    let relay = TcpRelay::start(&to, RELAY_DELAY, LinkState::default()).await;
    let entry = replica.entry_at(&relay.address, "desk", "north-a", "ready");
    let key = format!("servers/{}", replica.id);
    site.store.write(&key, &entry);
    let site = site.start_prepared(AMPLE_RETRY_SLACK).await;
    end_replica_of_stream(&site, path, async || {}).await;
}

/// Guards against plain answers that are truncated and passed on, and against whole ones that are
/// not, in every framing. Nothing tells where one without a length or chunks is closed in order.
#[test_case("/plain/t"; "idempotent")]
#[test_case("/once/t"; "once")]
#[tokio::test(flavor = "multi_thread")]
async fn truncated_plain_answer_does_not_look_whole(path: &str) {
    let site = start_site().await;
    let framings = [
        AnswerFraming::Chunks,
        AnswerFraming::Length,
        AnswerFraming::Close,
    ];
    for framing in framings {
        check(&site, path, AnswerForm::whole(framing), CallerView::Whole).await;
        for end in [AnswerEnd::Close, AnswerEnd::Reset] {
            let unknown = framing == AnswerFraming::Close && end == AnswerEnd::Close;
            let expected = if unknown {
                CallerView::LooksWhole
            } else {
                CallerView::Truncated
            };
            check(&site, path, broken(framing, end, true), expected).await;
        }
    }
}

/// Sends a request as an HTTP/1.0 caller and returns the head and body of the response, or `None`
/// if the connection was reset.
async fn call_by_http_1_0(site: &SiteCluster, attempt: &str) -> Option<(String, String)> {
    let address = &*site.entries[0].addresses[0];
    let mut stream = TcpStream::connect(address).await.expect("the node listens");
    let request = format!(
        "GET /stream-once/t HTTP/1.0\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n\
         X-Time-Remaining: {}\r\n\r\n",
        CALLER_TIME.as_millis()
    );
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the node reads");
    let mut response = String::new();
    stream.read_to_string(&mut response).await.ok()?;
    let (head, body) = response.split_once("\r\n\r\n")?;
    Some((head.to_ascii_lowercase(), body.into()))
}

/// Guards against a truncated stream that looks complete to a caller of HTTP/1.0, which knows no
/// chunks: to it, the end of the connection is the end of the answer.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_stream_does_not_look_whole_to_http_1_0() {
    let site = start_site().await;
    let whole = call_by_http_1_0(&site, "old-whole").await;
    let (head, body) = whole.expect("a whole stream is no failure");
    assert!(head.starts_with("http/1.0 200"), "{head}");
    assert_eq!(body, whole_stream("old-whole"));
    let form = broken(AnswerFraming::Chunks, AnswerEnd::Close, true);
    site.replicas[0]
        .0
        .set_behaviour(ReplicaBehaviour::Answer(form));
    if let Some((head, body)) = call_by_http_1_0(&site, "old-torn").await {
        assert!(!head.starts_with("http/1.0 200"), "{head}\n{body}");
    }
}

//! Answers of replicas in trouble that are no answers in HTTP/1.1 are never passed on as answers.

use futures_util::StreamExt;
use futures_util::stream;
use reqwest::RequestBuilder;
use reqwest::StatusCode;
use std::time::Duration;
use test_case::test_case;
use tokio::time::sleep;
use zinniahatch_lab::site::SiteCluster;
use zinniahatch_lab::site::SiteRegion;
use zinniahatch_lab::site::wait_until;
use zinniahatch_lab::test_doubles::replica::StreamShape;
use zinniahatch_lab::test_doubles::scripted_replica::ScriptEnd;
use zinniahatch_lab::test_doubles::scripted_replica::ScriptedAnswer;
use zinniahatch_lab::test_doubles::scripted_replica::ScriptedReplica;

const SHAPE: StreamShape = StreamShape {
    events: 1,
    pause: Duration::ZERO,
};
/// A stream that another replica begins.
const LONG_SHAPE: StreamShape = StreamShape {
    events: 1_000,
    pause: Duration::from_millis(40),
};
/// Node of the replica's region, and node that forwards to it.
const HERE: usize = 0;
const FORWARDING: usize = 1;
/// Time of a caller.
const CALLER_TIME: Duration = Duration::from_secs(10);
/// Number of requests that are open at once.
const CONCURRENT_REQUESTS: usize = 8;
/// Number of times that a request which was not run is sent, and the pause between these.
const MAX_REQUESTS: u32 = 200;
const REQUEST_PAUSE: Duration = Duration::from_millis(50);
/// Size of a body that is still being written when its answer arrives, and limit of bodies.
const UPLOAD_BYTES: usize = 3 << 20;
const BODY_LIMIT: usize = 4 << 20;
/// Number of uploads to each node, since the answer and its reset race with the writes.
const UPLOADS: usize = 24;
/// The lines of a head that are sound.
const SOUND: &str = "X-Attempt-Id: ATTEMPT\r\nX-Server-Seal: s\r\n";

/// A body that is a whole event too.
const EVENT: &str = "id: 1\ndata: x\n\n";
/// The same body in chunks.
const CHUNKS: &str = "f\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n";

/// What a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
struct CallerView {
    status: StatusCode,
    sealed: bool,
    /// The body, if it looks complete.
    body: Option<String>,
}

impl CallerView {
    /// Returns whether the caller was given what a replica sent as an answer that looks complete.
    fn looks_whole(&self) -> bool {
        self.body.is_some() && (self.sealed || self.status.is_success())
    }
}

/// Starts a site whose only replica answers by a script.
async fn start_site(script: Vec<ScriptedAnswer>) -> (SiteCluster, ScriptedReplica) {
    let regions = [
        SiteRegion::new("north", 1, 0),
        SiteRegion::new("south", 1, 0),
    ];
    let site = SiteCluster::start(&regions, SHAPE).await;
    let replica = ScriptedReplica::start("i-north-0", script).await;
    site.register_scripted(&replica, "north");
    (site, replica)
}

/// Sends a request until a replica was asked, and returns what its caller got; `None` if the connection
/// ended without an answer.
async fn call(prepare: impl Fn(&str) -> RequestBuilder, tag: &str) -> Option<CallerView> {
    for number in 0..MAX_REQUESTS {
        let response = prepare(&format!("{tag}-{number}")).send().await.ok()?;
        let status = response.status();
        if status == StatusCode::SERVICE_UNAVAILABLE {
            sleep(REQUEST_PAUSE).await;
            continue;
        }
        let sealed = response.headers().contains_key("x-server-seal");
        let body = response.text().await.ok();
        return Some(CallerView {
            status,
            sealed,
            body,
        });
    }
    panic!("no replica was asked for {tag}");
}

/// Checks that no answer of the script looks complete to callers of either node, and that a sound one does.
async fn check(route: &str, mut script: Vec<ScriptedAnswer>) {
    script.push(closed(format!(
        "HTTP/1.1 200 OK\r\n{SOUND}Content-Length: 15\r\n\r\n{EVENT}"
    )));
    let sound = script.len() - 1;
    let names: Vec<_> = script.iter().map(|answer| answer.text.clone()).collect();
    let (site, _replica) = start_site(script).await;
    let cells = [HERE, FORWARDING]
        .into_iter()
        .flat_map(|node| (0..names.len()).map(move |position| (node, position)));
    let seen: Vec<_> = stream::iter(cells)
        .map(async |(node, position)| {
            let prepare = |attempt: &str| {
                let path = format!("{route}/{position}");
                site.request_with_timeout(node, &path, attempt, CALLER_TIME)
            };
            let view = call(prepare, &format!("a{node}-{position}")).await;
            let whole = view.as_ref().is_some_and(CallerView::looks_whole);
            (node, &names[position], view, whole == (position == sound))
        })
        .buffer_unordered(CONCURRENT_REQUESTS)
        .collect()
        .await;
    let wrong: Vec<_> = seen.iter().filter(|(.., right)| !right).collect();
    let total = seen.len();
    assert!(wrong.is_empty(), "{} of {total}: {wrong:#?}", wrong.len());
}

fn closed(text: impl Into<Box<str>>) -> ScriptedAnswer {
    ScriptedAnswer {
        text: text.into(),
        end: ScriptEnd::Close,
    }
}

/// Returns answers whose heads hold some lines each, before and after the sound ones.
fn heads_with(lines: &[(&str, &str)]) -> Vec<ScriptedAnswer> {
    let before = |(line, body): &(&str, &str)| {
        closed(format!("HTTP/1.1 200 OK\r\n{line}\r\n{SOUND}\r\n{body}"))
    };
    let after = |(line, body): &(&str, &str)| {
        closed(format!("HTTP/1.1 200 OK\r\n{SOUND}{line}\r\n\r\n{body}"))
    };
    let mut script: Vec<_> = lines.iter().map(after).collect();
    script.extend(lines.iter().map(before));
    script
}

/// Guards against an answer whose head is spoilt where it tells the length of the body, and that is passed on
/// with another body as a complete one.
#[test_case("/plain"; "idempotent")]
#[test_case("/once"; "once")]
#[test_case("/stream"; "resumable")]
#[test_case("/stream-once"; "stream_once")]
#[tokio::test(flavor = "multi_thread")]
async fn answer_with_spoilt_length_is_not_passed_on(route: &str) {
    let lines = [
        ("Content-Length: +5", EVENT),
        ("Content-Length: -5", EVENT),
        ("Content-Length: 5x", EVENT),
        ("Content-Length: 0x5", EVENT),
        ("Content-Length: 1 5", EVENT),
        ("Content-Length: 1\t5", EVENT),
        ("Content-Length: 15.0", EVENT),
        ("Content-Length: ?5", EVENT),
        ("Content-Length:", EVENT),
        ("Content-Length: 1,5", EVENT),
        ("Content-Length: 99999999999999999999", EVENT),
        ("Content-Length: 15\r\nContent-Length: 14", EVENT),
        ("Content-Length: 15\r\nContent-Length: +15", EVENT),
        ("Content-Length : 15", EVENT),
        ("Content-Length 15", EVENT),
        ("Content-Length; 15", EVENT),
        ("Content Length: 15", EVENT),
        ("Content-Length\u{1}: 15", EVENT),
        ("Transfer-Encoding: chunke", CHUNKS),
        ("Transfer-Encoding: xchunked", CHUNKS),
        ("Transfer-Encoding: chunked\u{e9}", CHUNKS),
        ("Transfer-Encoding: chunked chunked", CHUNKS),
        ("Transfer-Encoding: chunked, chunked", CHUNKS),
        (
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip",
            CHUNKS,
        ),
        (
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
            CHUNKS,
        ),
        ("Transfer-Encoding:", CHUNKS),
        ("Transfer-Encoding : chunked", CHUNKS),
        ("Transfer-Encoding: chunked\r\nContent-Length: 1x", CHUNKS),
    ];
    let mut script = heads_with(&lines);
    let status = "HTTP/1.0 200 OK\r\n";
    script.push(closed(format!(
        "{status}{SOUND}Transfer-Encoding: chunked\r\n\r\n{CHUNKS}"
    )));
    for status in ["204 No Content", "304 Not Modified"] {
        let head = format!("HTTP/1.1 {status}\r\n{SOUND}");
        script.push(closed(format!("{head}Content-Length: +5\r\n\r\n")));
        script.push(closed(format!("{head}Transfer-Encoding: chunke\r\n\r\n")));
    }
    script.push(closed("HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\n"));
    check(route, script).await;
}

/// Guards against an answer in chunks whose size line or trailer is spoilt, and whose beginning is passed on as a
/// complete answer.
#[test_case("/plain"; "idempotent")]
#[test_case("/once"; "once")]
#[test_case("/stream"; "resumable")]
#[test_case("/stream-once"; "stream_once")]
#[tokio::test(flavor = "multi_thread")]
async fn answer_with_spoilt_chunks_is_not_passed_on(route: &str) {
    let first = "f\r\nid: 1\ndata: x\n\n\r\n";
    let rests = [
        "\r\n\r\n",
        ";a\r\n\r\n",
        " \r\n\r\n",
        "-f\r\n\r\n",
        "0\r\nid: 2\ndata: x\n\n\r\n0\r\n\r\n",
        "0\r\nno field\r\n\r\n",
        "0\r\nX Blank: 1\r\n\r\n",
        "0\r\n: value\r\n\r\n",
    ];
    let head = format!("HTTP/1.1 200 OK\r\n{SOUND}Transfer-Encoding: chunked\r\n\r\n");
    let answer = |rest: &str| closed(format!("{head}{first}{rest}"));
    check(route, rests.into_iter().map(answer).collect()).await;
}

/// Guards against an answer whose length or coding has another name, and that is passed on with all that follows as
/// a complete one once its connection ends.
#[test_case("/plain"; "idempotent")]
#[test_case("/once"; "once")]
#[test_case("/stream"; "resumable")]
#[test_case("/stream-once"; "stream_once")]
#[tokio::test(flavor = "multi_thread")]
async fn answer_with_a_lost_length_is_not_passed_on(route: &str) {
    let surplus = format!("{EVENT}HTTP/1.1 200 OK\r\n");
    let lines = [
        ("Content-Lengt!: 15", &*surplus),
        ("Content_Length: 15", &surplus),
        ("Transfer-Encodin: chunked", CHUNKS),
        ("Transfer-Encoding!: chunked", CHUNKS),
    ];
    let kept = lines.map(|(line, body)| (format!("Keep-Alive: timeout=10\r\n{line}"), body));
    let kept: Vec<_> = kept.iter().map(|(line, body)| (&**line, *body)).collect();
    check(route, heads_with(&kept)).await;
}

/// Guards against an answer whose head holds a line that is no field, and that is passed on.
#[test_case("/plain"; "idempotent")]
#[test_case("/once"; "once")]
#[test_case("/stream"; "resumable")]
#[tokio::test(flavor = "multi_thread")]
async fn answer_with_a_line_that_is_no_field_is_not_passed_on(route: &str) {
    let lines = [
        "no field",
        "nofield",
        ": value",
        " X-Folded: 1",
        "\tX-Folded: 1",
        "X Blank: 1",
        "X-Blank : 1",
        "X-Tab\t: 1",
        "X\u{1}Control: 1",
        "X-Control\u{7f}: 1",
        "X-\u{0}: 1",
        "X-\u{e9}: 1",
        "X(Paren): 1",
        "X-Value: a\u{0}b",
        "X-Value: a\rb",
        "HTTP/1.1 200 OK",
    ];
    let framed = |line: &str| format!("{line}\r\nContent-Length: 15");
    let lines: Vec<String> = lines.into_iter().map(framed).collect();
    let lines: Vec<_> = lines.iter().map(|line| (&**line, EVENT)).collect();
    let mut script = heads_with(&lines);
    script.push(closed("HTTP/1.1 200 OK\r\nno field\r\n\r\n"));
    check(route, script).await;
}

/// Guards against an answer whose status is no status, and that is passed on.
#[test_case("/plain"; "idempotent")]
#[test_case("/once"; "once")]
#[test_case("/stream"; "resumable")]
#[tokio::test(flavor = "multi_thread")]
async fn answer_with_a_status_that_is_none_is_not_passed_on(route: &str) {
    let statuses = [
        "000 OK", "000", "099 OK", "20 OK", "2000 OK", "20x OK", " 200 OK", "+20 OK", "OK", "",
    ];
    let answer = |status: &str| {
        closed(format!(
            "HTTP/1.1 {status}\r\n{SOUND}Content-Length: 15\r\n\r\n{EVENT}"
        ))
    };
    check(route, statuses.into_iter().map(answer).collect()).await;
}

/// Guards against a part of an answer that is passed on as a complete one: it has no length, and its
/// connection is reset while the request is still being written.
#[test_case("/plain"; "idempotent")]
#[test_case("/once"; "once")]
#[test_case("/stream"; "resumable")]
#[test_case("/stream-once"; "stream_once")]
#[tokio::test(flavor = "multi_thread")]
async fn early_answer_that_is_reset_does_not_look_whole(route: &str) {
    let text = format!("HTTP/1.1 200 OK\r\n{SOUND}Connection: close\r\n\r\n{EVENT}");
    let answer = ScriptedAnswer {
        text: text.into(),
        end: ScriptEnd::Reset,
    };
    let (site, _replica) = start_site(vec![answer]).await;
    site.set_limits(|limits| limits["max_body_bytes"] = BODY_LIMIT.into())
        .await;
    let mut seen = Vec::new();
    for node in [HERE, FORWARDING] {
        for number in 0..UPLOADS {
            let prepare = |attempt: &str| {
                let path = format!("{route}/0");
                let request = site.request_with_timeout(node, &path, attempt, CALLER_TIME);
                request.body(vec![b'x'; UPLOAD_BYTES])
            };
            seen.push((node, call(prepare, &format!("a{node}-{number}")).await));
        }
    }
    let wrong: Vec<_> = seen
        .iter()
        .filter(|(_, view)| view.as_ref().is_some_and(CallerView::looks_whole))
        .collect();
    let total = seen.len();
    assert!(
        wrong.is_empty(),
        "{} of {total}: {:?}",
        wrong.len(),
        wrong.first()
    );
}

/// Guards against an answer in trouble that is taken for the rest of a stream which another replica had begun.
#[tokio::test(flavor = "multi_thread")]
async fn broken_answer_does_not_end_a_resumed_stream() {
    let sound = format!("{SOUND}Content-Length: 15\r\n");
    let unframed = ScriptedAnswer {
        text: format!("HTTP/1.1 200 OK\r\n{SOUND}Connection: close\r\n\r\n{EVENT}").into(),
        end: ScriptEnd::Reset,
    };
    let script = vec![
        closed(format!("HTTP/1.1 200 OK\r\n{sound}\r\n{EVENT}")),
        unframed,
        closed(format!("HTTP/1.1 000 OK\r\n{sound}\r\n{EVENT}")),
        closed(format!("HTTP/1.1 999 OK\r\n{sound}\r\n{EVENT}")),
        closed(format!(
            "HTTP/1.1 200 OK\r\n{SOUND}Content-Length: +5\r\n\r\n{EVENT}"
        )),
        closed(format!(
            "HTTP/1.1 200 OK\r\n{SOUND}Transfer-Encoding: chunked\r\n\r\nf\r\n{EVENT}\r\n-0\r\n\r\n"
        )),
    ];
    let answers = script.len();
    let regions = [
        SiteRegion::new("north", 1, 1),
        SiteRegion::new("south", 1, 0),
    ];
    let site = SiteCluster::start(&regions, LONG_SHAPE).await;
    site.set_limits(|limits| limits["max_body_bytes"] = BODY_LIMIT.into())
        .await;
    let mut streams = Vec::new();
    for node in [HERE, FORWARDING] {
        for position in 0..answers {
            let path = format!("/stream/{position}");
            let attempt = format!("a{node}-{position}");
            let request = site.request_with_timeout(node, &path, &attempt, CALLER_TIME);
            let sent = request.body(vec![b'x'; UPLOAD_BYTES]).send().await;
            let mut stream = sent.expect("the node answers");
            stream.chunk().await.expect("the stream has begun");
            streams.push((node, position, stream));
        }
    }
    let replica = ScriptedReplica::start("i-north-9", script).await;
    site.register_scripted(&replica, "north");
    wait_until("the replica is known", async || {
        site.log(HERE).contains("\"replica\":\"i-north-9\"")
    })
    .await;
    site.replicas[0].0.crash();
    for (node, position, stream) in streams {
        let whole = stream.text().await.is_ok();
        assert_eq!(whole, position == 0, "answer {position} at node {node}");
    }
}

/// Guards against a status outside of the classes of HTTP that does not reach the caller as it came, or is taken for a
/// success.
#[test_case("/plain"; "idempotent")]
#[test_case("/once"; "once")]
#[test_case("/stream"; "resumable")]
#[tokio::test(flavor = "multi_thread")]
async fn answer_of_an_unknown_class_is_passed_on_unchanged(route: &str) {
    let statuses = [600, 777, 999];
    let answer = |status: u16| {
        closed(format!(
            "HTTP/1.1 {status} Odd\r\n{SOUND}Content-Length: 15\r\n\r\n{EVENT}"
        ))
    };
    let (site, _replica) = start_site(statuses.map(answer).into()).await;
    for node in [HERE, FORWARDING] {
        for (position, status) in statuses.into_iter().enumerate() {
            let prepare = |attempt: &str| {
                let path = format!("{route}/{position}");
                site.request_with_timeout(node, &path, attempt, CALLER_TIME)
            };
            let view = call(prepare, &format!("a{node}-{position}")).await;
            let view = view.expect("the node answers");
            assert_eq!(view.status.as_u16(), status);
            assert!(view.sealed);
            assert_eq!(view.body.as_deref(), Some(EVENT));
        }
    }
}

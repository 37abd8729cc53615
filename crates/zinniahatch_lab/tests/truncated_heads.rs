//! Answers that stop inside their head, or just after it, are never taken for whole ones.

use futures_util::StreamExt;
use futures_util::stream;
use reqwest::StatusCode;
use std::time::Duration;
use test_case::test_case;
use tokio::time::sleep;
use zinniahatch_lab::site::SiteCluster;
use zinniahatch_lab::site::SiteRegion;
use zinniahatch_lab::test_doubles::answer_form::AnswerEnd;
use zinniahatch_lab::test_doubles::answer_form::AnswerForm;
use zinniahatch_lab::test_doubles::answer_form::AnswerFraming;
use zinniahatch_lab::test_doubles::head_cut::HeadCut;
use zinniahatch_lab::test_doubles::replica::ReplicaBehaviour;
use zinniahatch_lab::test_doubles::replica::StreamShape;

const SHAPE: StreamShape = StreamShape {
    events: 4,
    pause: Duration::from_millis(5),
};
/// More bytes than a head has.
const MAX_HEAD_BYTES: usize = 220;
/// Time of a caller.
const CALLER_TIME: Duration = Duration::from_secs(10);
/// Number of requests with each cut after the head through each node.
const ROUNDS: usize = 4;
/// Number of requests that are open at once.
const CONCURRENT_REQUESTS: usize = 8;
/// Number of times that a request which was not run is sent, and the pause between these.
const MAX_REQUESTS: u32 = 200;
const REQUEST_PAUSE: Duration = Duration::from_millis(50);
const FRAMINGS: [AnswerFraming; 3] = [
    AnswerFraming::Chunks,
    AnswerFraming::Length,
    AnswerFraming::Close,
];
const ENDS: [AnswerEnd; 2] = [AnswerEnd::Close, AnswerEnd::Reset];

/// What a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
enum CallerView {
    /// The whole answer.
    Whole,
    /// An answer that is visibly truncated, or a failure.
    Truncated(Option<StatusCode>),
    /// A success with another body that looks complete.
    LooksWhole(String),
}

/// A site whose first region has the replicas; the first of them cuts heads.
async fn start_site(replicas: usize) -> SiteCluster {
    let regions = [
        SiteRegion::new("north", 1, replicas),
        SiteRegion::new("south", 1, 0),
    ];
    let site = SiteCluster::start(&regions, SHAPE).await;
    let (replica, _) = &site.replicas[0];
    replica.set_behaviour(ReplicaBehaviour::CutHeads);
    site
}

/// Returns whether a body is that of an attempt after its event `after`.
fn is_whole(path: &str, attempt: &str, after: u32, body: &str) -> bool {
    if path.starts_with("/stream") {
        let event = |id| format!("id: {id}\ndata: {attempt}\n\n");
        let whole: String = (after + 1..=SHAPE.events).map(event).collect();
        return body == whole;
    }
    body.starts_with(&format!("{attempt}@i-north-"))
}

/// Sends a request until a replica has run it, and returns what its caller got, who has the events of
/// the stream up to `after`.
async fn call(
    site: &SiteCluster,
    node: usize,
    (path, after): (&str, u32),
    cut: HeadCut,
    tag: usize,
) -> CallerView {
    let url = format!("{path}{}", cut.query());
    for number in 0..MAX_REQUESTS {
        let attempt = format!("a{tag}-{node}-{number}");
        let mut request = site.request_with_timeout(node, &url, &attempt, CALLER_TIME);
        if after > 0 {
            request = request.header("last-event-id", after.to_string());
        }
        let Ok(response) = request.send().await else {
            return CallerView::Truncated(None);
        };
        let status = response.status();
        if status == StatusCode::SERVICE_UNAVAILABLE {
            sleep(REQUEST_PAUSE).await;
            continue;
        }
        let body = response.text().await;
        return match body {
            Ok(body) if status.is_success() && is_whole(path, &attempt, after, &body) => {
                CallerView::Whole
            }
            Ok(body) if status.is_success() => CallerView::LooksWhole(body),
            _ => CallerView::Truncated(Some(status)),
        };
    }
    panic!("no replica ran the request of {url}");
}

/// Returns what the callers of all cuts got through every node.
async fn call_all(
    site: &SiteCluster,
    path: &str,
    cuts: &[HeadCut],
) -> Vec<(HeadCut, usize, CallerView)> {
    let nodes = 0..site.entries.len();
    let cells = nodes.flat_map(|node| cuts.iter().map(move |cut| (*cut, node)));
    stream::iter(cells.enumerate())
        .map(async |(tag, (cut, node))| {
            let view = call(site, node, (path, 0), cut, tag).await;
            (cut, node, view)
        })
        .buffer_unordered(CONCURRENT_REQUESTS)
        .collect()
        .await
}

fn cut(framing: AnswerFraming, missing: usize, end: AnswerEnd) -> HeadCut {
    HeadCut {
        framing,
        missing,
        end,
        closed: false,
        interim: false,
    }
}

/// Returns the cuts just after the head, in every framing, with every end, with and without an interim
/// response.
fn cuts_after_head() -> Vec<HeadCut> {
    let mut cuts = Vec::new();
    for framing in FRAMINGS {
        for end in ENDS {
            let plain = cut(framing, 0, end);
            cuts.push(plain);
            cuts.push(HeadCut {
                interim: true,
                ..plain
            });
        }
    }
    cuts
}

/// Returns cuts at each byte of the head, whose framings, ends and interim responses take turns.
fn cuts_inside_head() -> Vec<HeadCut> {
    let forms = cuts_after_head().into_iter().cycle();
    (1..MAX_HEAD_BYTES)
        .zip(forms)
        .map(|(missing, form)| HeadCut { missing, ..form })
        .collect()
}

/// Returns the cuts at each byte of a head that something between ends with an empty line.
fn heads_ended_early() -> Vec<HeadCut> {
    let forms = FRAMINGS.into_iter().cycle();
    (1..MAX_HEAD_BYTES)
        .zip(forms)
        .map(|(missing, framing)| HeadCut {
            closed: true,
            ..cut(framing, missing, AnswerEnd::Close)
        })
        .collect()
}

/// Checks that no answer looks whole, and with a sound replica beside that each is whole if its route may
/// be repeated. A node that forwards a request has no other node of that region to send it to.
async fn check(path: &str, cuts: &[HeadCut], beside: bool) {
    let site = start_site(if beside { 2 } else { 1 }).await;
    let seen = call_all(&site, path, cuts).await;
    let may_repeat = matches!(path, "/plain/t" | "/stream/t");
    let wrong: Vec<_> = seen
        .iter()
        .filter(|(_, node, view)| match view {
            CallerView::Whole => !beside,
            CallerView::Truncated(_) => beside && may_repeat && *node == 0,
            CallerView::LooksWhole(_) => true,
        })
        .collect();
    let (total, first) = (seen.len(), wrong.first());
    assert!(wrong.is_empty(), "{} of {total}, {first:?}", wrong.len());
    let (replica, _) = &site.replicas[0];
    assert!(!replica.observations().runs.is_empty(), "nothing was cut");
}

/// Guards against an answer that stops inside its head and is passed on as a whole, empty one.
#[test_case("/plain/t", false; "idempotent_alone")]
#[test_case("/once/t", false; "once_alone")]
#[test_case("/stream/t", false; "resumable_alone")]
#[test_case("/stream-once/t", false; "stream_once_alone")]
#[test_case("/plain/t", true; "idempotent_beside")]
#[test_case("/once/t", true; "once_beside")]
#[test_case("/stream/t", true; "resumable_beside")]
#[test_case("/stream-once/t", true; "stream_once_beside")]
#[tokio::test(flavor = "multi_thread")]
async fn answer_cut_inside_its_head_does_not_look_whole(path: &str, beside: bool) {
    check(path, &cuts_inside_head(), beside).await;
}

/// Guards against an answer that stops just after its head and is passed on as a whole, empty one.
#[test_case("/plain/t", false; "idempotent_alone")]
#[test_case("/once/t", false; "once_alone")]
#[test_case("/stream/t", false; "resumable_alone")]
#[test_case("/stream-once/t", false; "stream_once_alone")]
#[test_case("/plain/t", true; "idempotent_beside")]
#[test_case("/once/t", true; "once_beside")]
#[test_case("/stream/t", true; "resumable_beside")]
#[test_case("/stream-once/t", true; "stream_once_beside")]
#[tokio::test(flavor = "multi_thread")]
async fn answer_cut_after_its_head_does_not_look_whole(path: &str, beside: bool) {
    let cuts = cuts_after_head().repeat(ROUNDS);
    check(path, &cuts, beside).await;
}

/// Guards against a head that something before the replica ends early: without its framing, its answer
/// ends with the connection and is passed on as a whole, empty one.
#[test_case("/plain/t", false; "idempotent_alone")]
#[test_case("/once/t", false; "once_alone")]
#[test_case("/stream/t", false; "resumable_alone")]
#[test_case("/stream-once/t", false; "stream_once_alone")]
#[test_case("/plain/t", true; "idempotent_beside")]
#[test_case("/stream/t", true; "resumable_beside")]
#[tokio::test(flavor = "multi_thread")]
async fn head_ended_early_does_not_look_whole(path: &str, beside: bool) {
    check(path, &heads_ended_early(), beside).await;
}

/// Guards against a stream taken up by its caller that goes on with nothing and looks complete.
#[test_case("/stream/t"; "resumable")]
#[tokio::test(flavor = "multi_thread")]
async fn take_up_cut_after_its_head_does_not_look_whole(path: &str) {
    let site = start_site(1).await;
    for (tag, cut) in cuts_after_head().into_iter().enumerate() {
        let seen = call(&site, 0, (path, 2), cut, tag).await;
        assert!(
            matches!(seen, CallerView::Truncated(_)),
            "{cut:?}: {seen:?}"
        );
    }
}

/// Guards against a stream taken up after its last event that counts as truncated, although the framing of
/// its empty rest shows that nothing is missing.
#[test_case(AnswerFraming::Chunks; "chunks")]
#[test_case(AnswerFraming::Length; "length")]
#[tokio::test(flavor = "multi_thread")]
async fn take_up_after_the_last_event_is_whole(framing: AnswerFraming) {
    let site = start_site(1).await;
    let (replica, _) = &site.replicas[0];
    replica.set_behaviour(ReplicaBehaviour::Answer(AnswerForm::whole(framing)));
    let unused = cut(framing, 0, AnswerEnd::Close);
    let seen = call(&site, 0, ("/stream/t", SHAPE.events), unused, 0).await;
    assert_eq!(seen, CallerView::Whole);
}

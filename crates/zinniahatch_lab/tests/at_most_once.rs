//! Requests that may not be repeated on routes with several attempts, with real entry VMs.

use futures_util::future::join_all;
use reqwest::StatusCode;
use reqwest::Version;
use std::time::Duration;
use test_case::test_case;
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
    events: 20,
    pause: Duration::from_millis(20),
};
/// A stream that lasts longer than a silence that is noticed, with pauses far below it.
const SLOW_SHAPE: StreamShape = StreamShape {
    events: 30,
    pause: Duration::from_millis(100),
};
/// Pause before each byte of a plain answer, which has 13 of them.
const BYTE_PAUSE: Duration = Duration::from_millis(200);
const REQUESTS: usize = 4;
/// Maximum number of attempts of every route.
const ATTEMPTS: u32 = 3;
/// Time of a caller: a silent connection is noticed after 1.5 s, and other places could run the request
/// in the rest.
const CALLER_TIME: Duration = Duration::from_secs(4);
/// The node that callers use.
const NODE: usize = 0;

/// One region in which a request can move.
const HERE: &[SiteRegion] = &[SiteRegion::new("north", 1, 3)];
/// A region without replicas, and two regions to which its node forwards.
const FORWARDED: &[SiteRegion] = &[
    SiteRegion::new("north", 1, 0),
    SiteRegion::new("south", 1, 2),
    SiteRegion::new("west", 1, 2),
];

/// Starts a site all of whose routes allow several attempts.
async fn start_site(regions: &[SiteRegion]) -> SiteCluster {
    start_site_of(regions, SHAPE).await
}

async fn start_site_of(regions: &[SiteRegion], shape: StreamShape) -> SiteCluster {
    let site = SiteCluster::start(regions, shape).await;
    let mut state = site.desired_state(2);
    let routes = state["routes"].as_array_mut().expect("a list of routes");
    for route in routes {
        route["max_attempts"] = ATTEMPTS.into();
    }
    site.write_desired_state(&state);
    for index in 0..site.entries.len() {
        wait_until("the attempts are in force", async || {
            site.log(index).contains("\"to\":2")
        })
        .await;
    }
    site
}

/// Guards against a status that promises that a request has not run, passed on although the replica does not
/// say so: the mark is lost where the head of its answer is ended early.
#[test_case(HERE, StatusCode::SERVICE_UNAVAILABLE; "unavailable")]
#[test_case(HERE, StatusCode::TOO_MANY_REQUESTS; "too_many_requests")]
#[test_case(HERE, StatusCode::REQUEST_TIMEOUT; "request_timeout")]
#[test_case(FORWARDED, StatusCode::SERVICE_UNAVAILABLE; "unavailable_forwarded")]
#[tokio::test(flavor = "multi_thread")]
async fn unmarked_refusal_is_no_promise(regions: &[SiteRegion], status: StatusCode) {
    let site = start_site(regions).await;
    for (replica, _) in &site.replicas {
        replica.set_behaviour(ReplicaBehaviour::FailAs(status.as_u16()));
    }
    for path in ["/once/t", "/stream-once/t", "/plain/t", "/stream/t"] {
        let attempt = format!("unmarked{}", path.replace('/', "-"));
        let request = site.request_with_timeout(NODE, path, &attempt, CALLER_TIME);
        let response = request.send().await.expect("the node answers");
        let seal = response.headers().get("x-server-seal");
        assert_eq!(
            (response.status(), seal),
            (StatusCode::BAD_GATEWAY, None),
            "{path}"
        );
        let runs = site.runs(&attempt);
        let once = path.contains("once");
        assert!(runs == 1 || !once && runs > 0, "{path}: {runs} runs");
    }
}

/// Lets every replica fall silent inside its answers.
fn silence_answers(site: &SiteCluster) {
    let form = AnswerForm {
        framing: AnswerFraming::Chunks,
        broken: Some(AnswerBreak {
            after: 2,
            inside_event: false,
            end: AnswerEnd::Silence,
        }),
    };
    for (replica, _) in &site.replicas {
        replica.set_behaviour(ReplicaBehaviour::Answer(form));
    }
}

/// Sends requests at once; returns the status that each caller gets.
async fn send_all(site: &SiteCluster, path: &str, version: Version) -> Vec<StatusCode> {
    let requests = (0..REQUESTS).map(async |number| {
        let request = site.request_with_timeout(NODE, path, &format!("a-{number}"), CALLER_TIME);
        let response = request.version(version).send().await;
        response.expect("the node answers").status()
    });
    join_all(requests).await
}

/// Guards against a request that may not be repeated and runs again elsewhere because its connection
/// fell silent inside the answer.
#[test_case(HERE, "/once/t", Version::HTTP_11; "plain_here")]
#[test_case(FORWARDED, "/once/t", Version::HTTP_11; "plain_forwarded")]
#[test_case(HERE, "/stream-once/t", Version::HTTP_10; "whole_stream_here")]
#[test_case(FORWARDED, "/stream-once/t", Version::HTTP_10; "whole_stream_forwarded")]
#[tokio::test(flavor = "multi_thread")]
async fn silent_answer_is_not_run_again(regions: &[SiteRegion], path: &str, version: Version) {
    let site = start_site(regions).await;
    silence_answers(&site);
    let statuses = send_all(&site, path, version).await;
    for number in 0..REQUESTS {
        assert_eq!(site.runs(&format!("a-{number}")), 1, "attempt {number}");
    }
    assert_eq!(statuses, [StatusCode::GATEWAY_TIMEOUT; REQUESTS]);
    let log = site.log(NODE);
    assert!(log.contains("\"reason\":\"not_repeatable\""));
}

/// Guards against a request that runs again elsewhere while its answer arrives slowly, since only the end of
/// the body counted as news of it.
#[test_case("/plain/t", Version::HTTP_11; "plain")]
#[test_case("/stream/t", Version::HTTP_10; "whole_stream")]
#[tokio::test(flavor = "multi_thread")]
async fn slow_answer_is_not_run_again(path: &str, version: Version) {
    let site = start_site_of(HERE, SLOW_SHAPE).await;
    for (replica, _) in &site.replicas {
        replica.set_behaviour(ReplicaBehaviour::Trickle(BYTE_PAUSE));
    }
    let statuses = send_all(&site, path, version).await;
    assert_eq!(statuses, [StatusCode::OK; REQUESTS]);
    for number in 0..REQUESTS {
        assert_eq!(site.runs(&format!("a-{number}")), 1, "attempt {number}");
    }
}

/// Guards against a request that may be repeated and waits for its deadline on a silent connection, where
/// another replica could answer.
#[test_case("/plain/t", Version::HTTP_11; "plain")]
#[test_case("/stream/t", Version::HTTP_10; "whole_stream")]
#[tokio::test(flavor = "multi_thread")]
async fn silent_answer_is_run_again_where_allowed(path: &str, version: Version) {
    let site = start_site(HERE).await;
    silence_answers(&site);
    let last = site.replicas.len() - 1;
    site.replicas[last].0.set_behaviour(ReplicaBehaviour::Serve);
    let statuses = send_all(&site, path, version).await;
    assert_eq!(statuses, [StatusCode::OK; REQUESTS]);
}

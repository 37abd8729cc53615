//! The entry VM on the users' platform, as real processes among test doubles that fail.

use reqwest::StatusCode;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use zinniahatch_lab::site::HOST;
use zinniahatch_lab::site::SiteCluster;
use zinniahatch_lab::site::SiteEntry;
use zinniahatch_lab::site::SiteRegion;
use zinniahatch_lab::site::wait_until;
use zinniahatch_lab::test_doubles::faults::ServiceMode;
use zinniahatch_lab::test_doubles::replica::ReplicaBehaviour;
use zinniahatch_lab::test_doubles::replica::StreamShape;

const SHORT: StreamShape = StreamShape {
    events: 12,
    pause: Duration::from_millis(5),
};
const LONG: StreamShape = StreamShape {
    events: 60,
    pause: Duration::from_millis(50),
};

/// Returns the ids of the events in a stream's text, checking that none is torn.
fn event_ids(text: &str) -> Vec<u32> {
    text.split_terminator("\n\n")
        .map(|event| {
            let mut lines = event.lines();
            let id = lines.next().and_then(|line| line.strip_prefix("id: "));
            assert!(lines.next().is_some_and(|line| line.starts_with("data: ")));
            id.and_then(|id| id.parse().ok())
                .expect("an event has an id")
        })
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn serve_on_a_calm_day() {
    let site = SiteCluster::start(
        &[
            SiteRegion::new("north", 2, 2),
            SiteRegion::new("south", 1, 1),
        ],
        SHORT,
    )
    .await;
    for index in 0..3 {
        let attempt = format!("plain-{index}");
        let answer = site.call(index, "/plain/x", &attempt).send().await.unwrap();
        assert_eq!(answer.status(), StatusCode::OK);
        assert!(answer.headers().contains_key("x-server-seal"));
        assert_eq!(answer.headers()["x-attempt-id"], attempt.as_str());
        assert!(answer.text().await.unwrap().starts_with(&attempt));
        assert_eq!(site.runs(&attempt), 1);
        let stream = format!("stream-{index}");
        let answer = site.call(index, "/stream/x", &stream).send().await.unwrap();
        let ids = event_ids(&answer.text().await.unwrap());
        assert_eq!(ids, (1..=12).collect::<Vec<u32>>());
    }
    let unknown = site.call(0, "/nowhere/x", "u").send().await.unwrap();
    assert_eq!(unknown.status(), StatusCode::NOT_FOUND);
    assert!(!unknown.headers().contains_key("x-server-seal"));
    let metrics = format!("http://{}/metrics", site.entries[0].addresses[2]);
    let text = reqwest::get(metrics).await.unwrap().text().await.unwrap();
    assert!(text.contains("zinniahatch_answers_total"));
    let page = include_str!("../../../docs/OPERATIONS.md");
    for line in text.lines() {
        let Some(name) = line.strip_prefix("# TYPE ") else {
            continue;
        };
        let name = name.split(' ').next().unwrap_or_default();
        assert!(
            page.contains(&format!("`{name}`")),
            "{name} is not on the page"
        );
    }
    for line in site.log(0).lines() {
        let fields: serde_json::Value = serde_json::from_str(line).expect("a line is JSON");
        let kind = fields["kind"].as_str().expect("a line has a kind");
        assert!(
            page.contains(&format!("`{kind}`")),
            "{kind} is not on the page"
        );
    }
}

/// A region's only replica of a service was gone and its callers were refused, though the next
/// region's idled. One hop brings them there; what is bound to a home goes to that home alone.
#[tokio::test(flavor = "multi_thread")]
async fn serve_away_when_home_has_no_replica() {
    let site = SiteCluster::start(
        &[
            SiteRegion::new("north", 1, 1),
            SiteRegion::new("south", 1, 0),
            SiteRegion::new("west", 1, 1),
        ],
        SHORT,
    )
    .await;
    let answer = site.call(1, "/plain/x", "a1").send().await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(site.runs("a1"), 1);
    for index in 0..3 {
        let attempt = format!("bound-{index}");
        let answer = site.call(index, "/bound/x", &attempt).send().await.unwrap();
        assert_eq!(answer.status(), StatusCode::OK);
        assert!(answer.text().await.unwrap().ends_with("@i-north-0"));
    }
    let streamed = site.call(1, "/stream/x", "s1").send().await.unwrap();
    assert_eq!(event_ids(&streamed.text().await.unwrap()).len(), 12);
}

/// Many replicas were gone and their addresses in use by others, which refused what expected the former
/// ones. Each request was tried four times, and all nodes together passed the bound of repeats.
#[tokio::test(flavor = "multi_thread")]
async fn misdirected_requests_draw_on_the_budget() {
    const FORMER: usize = 120;
    const CALLS: u32 = 30;
    let site = SiteCluster::start(&[SiteRegion::new("north", 1, 1)], SHORT).await;
    for number in 0..FORMER {
        site.register_stale(0, &format!("a-former-{number}"));
    }
    wait_until("the node knows them", async || {
        site.log(0).matches("a-former-").count() >= FORMER
    })
    .await;
    for number in 0..CALLS {
        let attempt = format!("f{number}");
        // Refused or answered, both are right; what counts is how often it was sent.
        let answer = site.call(0, "/plain/x", &attempt).send().await.unwrap();
        assert_ne!(answer.status(), StatusCode::BAD_GATEWAY);
    }
    let observations = site.replicas[0].0.observations();
    let arrivals = observations.misdirected + observations.runs.values().sum::<u32>();
    let bound = CALLS / 5 + 54;
    assert!(arrivals <= CALLS + bound, "{arrivals} arrivals of {CALLS}");
}

/// A lookup whose answers failed ran on three replicas of the two that its route allows: the node that
/// it was handed to tried as often as the first one could. All its tries count together.
#[tokio::test(flavor = "multi_thread")]
async fn handed_over_request_keeps_its_attempts() {
    let site = SiteCluster::start(
        &[
            SiteRegion::new("north", 2, 3),
            SiteRegion::new("south", 1, 0),
        ],
        SHORT,
    )
    .await;
    for (replica, _) in &site.replicas {
        replica.set_behaviour(ReplicaBehaviour::Fail);
    }
    for number in 0..4 {
        let attempt = format!("h{number}");
        let answer = site.call(2, "/plain/x", &attempt).send().await.unwrap();
        assert_eq!(answer.status(), StatusCode::INTERNAL_SERVER_ERROR);
        let runs = site.runs(&attempt);
        assert!((1..=2).contains(&runs), "{runs} runs of 2");
    }
}

/// The home of bound requests lost its only replica. Nobody else may serve them: they are refused
/// at once, as not run, with a time to come back.
#[tokio::test(flavor = "multi_thread")]
async fn refuse_bound_requests_without_their_home() {
    let site = SiteCluster::start(
        &[
            SiteRegion::new("north", 1, 0),
            SiteRegion::new("south", 1, 1),
        ],
        SHORT,
    )
    .await;
    for index in 0..2 {
        let answer = site.call(index, "/bound/x", "b1").send().await.unwrap();
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.headers().contains_key("retry-after"));
        assert_eq!(answer.headers()["x-zinnia-execution"], "not-run");
    }
    assert_eq!(site.runs("b1"), 0);
}

/// A replica crashed in the middle of a stream. The caller saw a torn event, or the same event
/// twice, or nothing more. It must see every event once, the rest from another replica.
#[tokio::test(flavor = "multi_thread")]
async fn resume_a_broken_stream() {
    let site = SiteCluster::start(&[SiteRegion::new("north", 1, 2)], SHORT).await;
    let mut resumed = 0;
    for number in 0..6 {
        for (replica, _) in &site.replicas {
            replica.set_behaviour(ReplicaBehaviour::Serve);
        }
        let (broken, _) = &site.replicas[number % 2];
        broken.set_behaviour(ReplicaBehaviour::BreakAfter(5));
        let attempt = format!("s{number}");
        let answer = site.call(0, "/stream/x", &attempt).send().await.unwrap();
        let ids = event_ids(&answer.text().await.unwrap());
        assert_eq!(ids, (1..=12).collect::<Vec<u32>>());
        resumed += u32::from(site.runs(&attempt) == 2);
    }
    assert!(resumed > 0, "no stream met the broken replica");
}

/// A replica ran an entry and its answer was lost. Told "not run", the caller entered it again and
/// it stood twice. The answer must say that the outcome is not known, and no second run follows.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_of_what_may_run_once() {
    let site = SiteCluster::start(&[SiteRegion::new("north", 1, 2)], SHORT).await;
    for (replica, _) in &site.replicas {
        replica.set_behaviour(ReplicaBehaviour::LoseAnswer);
    }
    for number in 0..5 {
        let attempt = format!("o{number}");
        let answer = site.call(0, "/once/x", &attempt).send().await.unwrap();
        assert_eq!(answer.status(), StatusCode::BAD_GATEWAY);
        assert!(!answer.headers().contains_key("x-server-seal"));
        assert_eq!(site.runs(&attempt), 1);
    }
}

/// A replica took an entry and never answered, and the caller's time ran out. Told "not run", it
/// would enter it again; whether it ran is not known, and the answer must say so.
#[tokio::test(flavor = "multi_thread")]
async fn deadline_while_a_replica_is_silent() {
    let site = SiteCluster::start(&[SiteRegion::new("north", 1, 1)], SHORT).await;
    site.replicas[0].0.set_behaviour(ReplicaBehaviour::Mute);
    let patience = Duration::from_millis(400);
    let call = site.call_with_timeout(0, "/once/x", "q1", patience);
    let answer = call.send().await.unwrap();
    assert_eq!(answer.status(), StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(answer.headers()["x-zinnia-execution"], "unknown");
}

/// A replica that is full refuses without running; the caller is told so and when to come back.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_a_full_replica_is_passed_on() {
    let site = SiteCluster::start(&[SiteRegion::new("north", 1, 1)], SHORT).await;
    site.replicas[0].0.set_behaviour(ReplicaBehaviour::Shed);
    let answer = site.call(0, "/once/x", "f1").send().await.unwrap();
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers().contains_key("retry-after"));
    assert_eq!(site.runs("f1"), 0);
}

/// A replica answers lookups with failures while its health check is good. What may be repeated is
/// sent to another one; what the replica said is passed on unchanged where there is none.
#[tokio::test(flavor = "multi_thread")]
async fn repeat_a_failed_answer_elsewhere() {
    let site = SiteCluster::start(&[SiteRegion::new("north", 1, 2)], SHORT).await;
    site.replicas[0].0.set_behaviour(ReplicaBehaviour::Fail);
    for number in 0..6 {
        let attempt = format!("r{number}");
        let answer = site.call(0, "/plain/x", &attempt).send().await.unwrap();
        assert_eq!(answer.status(), StatusCode::OK);
    }
    site.replicas[1].0.set_behaviour(ReplicaBehaviour::Fail);
    let answer = site.call(0, "/plain/x", "r9").send().await.unwrap();
    assert_eq!(answer.status(), StatusCode::INTERNAL_SERVER_ERROR);
    assert!(answer.headers().contains_key("x-server-seal"));
}

/// A caller closed its browser in the middle of a long answer, and the replica went on generating
/// for nobody. It is told by the closing of its channel.
#[tokio::test(flavor = "multi_thread")]
async fn cancel_when_the_caller_leaves() {
    let site = SiteCluster::start(&[SiteRegion::new("north", 1, 1)], LONG).await;
    let mut answer = site.call(0, "/stream/x", "c1").send().await.unwrap();
    assert!(answer.chunk().await.unwrap().is_some());
    drop(answer);
    wait_until("the replica sees that the caller left", async || {
        site.replicas[0].0.observations().closed_early == 1
    })
    .await;
}

/// A planned stop cut off a summary in progress. The stream ends whole, the directory no longer
/// names the node, and the process ends by itself.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_cuts_off_nothing() {
    let mut site = SiteCluster::start(&[SiteRegion::new("north", 2, 1)], LONG).await;
    let mut answer = site.call(0, "/stream/x", "t1").send().await.unwrap();
    let mut text = answer.chunk().await.unwrap().unwrap_or_default().to_vec();
    site.terminate(0);
    let front = site.entries[0].addresses[0].clone();
    wait_until("the directory drops the node", async || {
        !site.resolve(1, "north").await.contains(&front)
    })
    .await;
    while let Some(chunk) = answer.chunk().await.unwrap() {
        text.extend_from_slice(&chunk);
    }
    let ids = event_ids(&String::from_utf8(text).unwrap());
    assert_eq!(ids, (1..=60).collect::<Vec<u32>>());
    wait_until("the process ends", async || site.ended(0).is_some()).await;
    assert_eq!(site.ended(0), Some(true));
}

/// A node started while the store was down, knew no route, and answered 404 to everybody. It takes
/// over what its peers know, and until then it says 503.
#[tokio::test(flavor = "multi_thread")]
async fn start_while_the_store_is_down() {
    let mut site = SiteCluster::start(&[SiteRegion::new("north", 2, 1)], SHORT).await;
    site.kill(0);
    site.store_faults.set(ServiceMode::Down);
    site.spawn(0);
    wait_until(
        "the node serves by what its peer knows",
        async || match site.call(0, "/plain/x", "d1").send().await {
            Ok(answer) => {
                assert_ne!(answer.status(), StatusCode::NOT_FOUND);
                answer.status() == StatusCode::OK
            }
            Err(_) => false,
        },
    )
    .await;
}

/// Entries of living replicas lapsed while the store was away, and callers were refused. They are
/// served throughout.
#[tokio::test(flavor = "multi_thread")]
async fn serve_while_the_store_is_away() {
    let site = SiteCluster::start(&[SiteRegion::new("north", 1, 1)], SHORT).await;
    site.store_faults.set(ServiceMode::Down);
    wait_until("the node notices the outage", async || {
        site.log(0).contains("store-lost")
    })
    .await;
    for number in 0..20 {
        let attempt = format!("w{number}");
        let answer = site.call(0, "/plain/x", &attempt).send().await.unwrap();
        assert_eq!(answer.status(), StatusCode::OK);
    }
    site.store_faults.set(ServiceMode::Up);
    wait_until("the node notices the end", async || {
        site.log(0).contains("store-back")
    })
    .await;
}

/// A replica that said it is leaving got new work, and lost it when it went.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_replica_gets_no_new_work() {
    let site = SiteCluster::start(&[SiteRegion::new("north", 1, 2)], SHORT).await;
    site.register(0, "draining");
    wait_until("the node knows", async || {
        site.log(0).contains("\"leaving\":true")
    })
    .await;
    let before = site.replicas[0].0.observations().runs.len();
    for number in 0..20 {
        let attempt = format!("l{number}");
        let answer = site.call(0, "/plain/x", &attempt).send().await.unwrap();
        assert_eq!(answer.status(), StatusCode::OK);
    }
    assert_eq!(site.replicas[0].0.observations().runs.len(), before);
}

/// The store dropped its history in the middle of changes, and a node that was waiting for them
/// never heard. It lists anew; and an older state that is written late does not come back.
#[tokio::test(flavor = "multi_thread")]
async fn desired_state_survives_forgotten_history() {
    let site = SiteCluster::start(&[SiteRegion::new("north", 2, 1)], SHORT).await;
    site.configure(5, &["fresh"]);
    site.store.compact_history();
    for index in 0..2 {
        wait_until("the new route is in force", async || {
            let answer = site.call(index, "/fresh/x", "n1").send().await.unwrap();
            answer.status() == StatusCode::OK
        })
        .await;
    }
    site.configure(4, &[]);
    site.configure(6, &["fresh", "newer"]);
    wait_until("the next version is in force", async || {
        let old = site.call(0, "/fresh/x", "n2").send().await.unwrap();
        assert_eq!(old.status(), StatusCode::OK, "no version goes back");
        let new = site.call(0, "/newer/x", "n3").send().await.unwrap();
        new.status() == StatusCode::OK
    })
    .await;
}

/// An operator wrote a state that cannot be understood. The last good one stays in force.
#[tokio::test(flavor = "multi_thread")]
async fn bad_desired_state_changes_nothing() {
    let site = SiteCluster::start(&[SiteRegion::new("north", 1, 1)], SHORT).await;
    site.store
        .write("op/config", "{\"version\": 9, \"routes\": 3}");
    site.store.write("servers/odd", "[]");
    wait_until("the node says so", async || {
        site.log(0).matches("value-rejected").count() >= 2
    })
    .await;
    let answer = site.call(0, "/plain/x", "k1").send().await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
}

/// Managers found fewer requests in the report than callers had made. Counts of nodes that stop as
/// planned are all in the store; those of one that died are a named gap.
#[tokio::test(flavor = "multi_thread")]
async fn counts_reach_the_store() {
    let mut site = SiteCluster::start(&[SiteRegion::new("north", 2, 1)], SHORT).await;
    for number in 0..10 {
        let index = number % 2;
        let attempt = format!("m{number}");
        let answer = site.call(index, "/plain/x", &attempt).send().await.unwrap();
        assert_eq!(answer.status(), StatusCode::OK);
    }
    for index in 0..2 {
        site.terminate(index);
        wait_until("the process ends", async || site.ended(index).is_some()).await;
    }
    let mut total = 0;
    for (key, text) in site.store.copy_values() {
        if !key.starts_with("zinniahatch/accounts/north/") {
            continue;
        }
        let ledger: serde_json::Value = serde_json::from_str(&text).unwrap();
        for row in ledger["sheet"]["rows"].as_array().unwrap() {
            assert_eq!(row[0]["account"], "plain");
            total += row[1]["requests"].as_u64().unwrap();
        }
    }
    assert_eq!(total, 10);
}

/// Input that is wrong or hostile: refused with the reason, and the node lives on.
#[tokio::test(flavor = "multi_thread")]
async fn refuse_bad_input() {
    let site = SiteCluster::start(&[SiteRegion::new("north", 1, 1)], SHORT).await;
    let url = format!("http://{}/plain/x", site.entries[0].addresses[0]);
    let client = reqwest::Client::new();
    let nameless = client.get(&url).header("host", HOST).send().await.unwrap();
    assert_eq!(nameless.status(), StatusCode::BAD_REQUEST);
    let large = client
        .post(&url)
        .header("host", HOST)
        .header("x-attempt-id", "big")
        .body(vec![b'x'; 70_000])
        .send()
        .await
        .unwrap();
    assert_eq!(large.status(), StatusCode::PAYLOAD_TOO_LARGE);
    let answer = site.call(0, "/plain/x", "g1").send().await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
}

/// All entry VMs lost power; their callers came back with the power, and for the moment in which a node
/// reads the store each was refused with its last retry. Here the store takes 150 ms for each call, so
/// that a fresh node never knows its routes when the first caller comes; of three starts one at least
/// serves that one.
#[tokio::test(flavor = "multi_thread")]
async fn serve_the_first_caller_of_a_start() {
    let mut site = SiteCluster::start(&[SiteRegion::new("north", 1, 1)], SHORT).await;
    site.store_faults
        .set(ServiceMode::Slow(Duration::from_millis(150)));
    let mut served = 0;
    for start in 0..3 {
        site.kill(0);
        site.spawn(0);
        let attempt = format!("early-{start}");
        let mut answer = None;
        wait_until("the node listens", async || {
            answer = site.call(0, "/plain/x", &attempt).send().await.ok();
            answer.is_some()
        })
        .await;
        let status = answer.map(|answer| answer.status());
        served += usize::from(status == Some(StatusCode::OK));
    }
    assert!(served > 0, "every first caller was refused");
}

/// The settings file was announced as changed although nothing in it had changed. A summary in progress
/// must go on to its end, the node stays ready, and its log says that nothing is new.
#[tokio::test(flavor = "multi_thread")]
async fn reload_without_a_change_disturbs_nobody() {
    let site = SiteCluster::start(&[SiteRegion::new("north", 1, 1)], LONG).await;
    let mut answer = site.call(0, "/stream/x", "h1").send().await.unwrap();
    let mut text = answer.chunk().await.unwrap().unwrap_or_default().to_vec();
    for _ in 0..3 {
        site.signal(0, "-HUP");
    }
    wait_until("the reload is logged", async || {
        site.log(0).contains(r#""outcome":"unchanged""#)
    })
    .await;
    site.wait_ready(0).await;
    while let Some(chunk) = answer.chunk().await.unwrap() {
        text.extend_from_slice(&chunk);
    }
    let ids = event_ids(&String::from_utf8(text).unwrap());
    assert_eq!(ids, (1..=60).collect::<Vec<u32>>());
}

/// Returns the last way of the news of a node's work, as its log says.
fn work_path(site: &SiteCluster, index: usize) -> String {
    let lines = site.log(index);
    let last = lines.lines().rfind(|line| line.contains("work-path"));
    let Some(last) = last else {
        return String::new();
    };
    let fields: serde_json::Value = serde_json::from_str(last).expect("a line is JSON");
    fields["path"].as_str().unwrap_or_default().to_owned()
}

/// The node that gathered its region's news of open work died. The others went on telling it alone, and
/// nobody knew what they had placed. They notice that it passes nothing on, and agree on another.
#[tokio::test(flavor = "multi_thread")]
async fn collector_that_died_is_left() {
    let mut site = SiteCluster::start(&[SiteRegion::new("north", 10, 2)], SHORT).await;
    let collector_of = |site: &SiteCluster, index: usize| {
        let path = work_path(site, index);
        let gathers = |entry: &SiteEntry| path.contains(&*entry.addresses[4]);
        site.entries.iter().position(gathers)
    };
    wait_until("most nodes tell a collector", async || {
        (0..10)
            .filter(|index| collector_of(&site, *index).is_some())
            .count()
            >= 8
    })
    .await;
    let asking = (0..10).find(|index| collector_of(&site, *index).is_some());
    let asking = asking.expect("a node tells a collector");
    let first = collector_of(&site, asking).expect("it has one");
    site.kill(first);
    let number = AtomicU32::new(0);
    wait_until("another one gathers", async || {
        let number = number.fetch_add(1, Ordering::Relaxed);
        let attempt = format!("c{number}");
        let answer = site
            .call(asking, "/plain/x", &attempt)
            .send()
            .await
            .unwrap();
        assert_eq!(answer.status(), StatusCode::OK);
        collector_of(&site, asking) != Some(first)
    })
    .await;
}

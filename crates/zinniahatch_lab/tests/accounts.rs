//! Client accounts on real processes: whose request runs, for whom, and when a key no longer counts.

use reqwest::Response;
use reqwest::StatusCode;
use serde_json::Value;
use serde_json::json;
use std::time::Duration;
use std::time::Instant;
use test_case::test_case;
use zinniahatch_lab::site::SiteCluster;
use zinniahatch_lab::site::SiteRegion;
use zinniahatch_lab::site::wait_until;
use zinniahatch_lab::test_doubles::faults::ServiceMode;
use zinniahatch_lab::test_doubles::replica::ReplicaBehaviour;
use zinniahatch_lab::test_doubles::replica::StreamShape;

/// Time after which a key that was taken away must run nowhere, as the settings of a guarded site say.
const REVOKE: Duration = Duration::from_secs(5);
const SHORT: StreamShape = StreamShape {
    events: 12,
    pause: Duration::from_millis(5),
};
const LONG: StreamShape = StreamShape {
    events: 200,
    pause: Duration::from_millis(50),
};

fn account(name: &str, keys: &[&str]) -> Value {
    json!({"name": name, "api_keys": keys, "priority": 1})
}

async fn send(site: &SiteCluster, node: usize, path: &str, attempt: &str, key: &str) -> Response {
    let call = site.call(node, path, attempt);
    let call = call.header("authorization", format!("Token {key}"));
    call.send().await.expect("the node answers")
}

fn result(answer: &Response) -> &str {
    let code = answer.headers().get("x-zinnia-code");
    code.and_then(|code| code.to_str().ok()).unwrap_or_default()
}

/// Returns the account that an attempt was run for, and whether any replica saw a credential.
fn seen(site: &SiteCluster, attempt: &str) -> (Option<Box<str>>, bool) {
    let mut account = None;
    let mut shown = false;
    for (replica, _) in &site.replicas {
        let observations = replica.observations();
        account = account.or_else(|| observations.accounts.get(attempt).cloned());
        shown |= observations.credentials > 0;
    }
    (account, shown)
}

/// A caller named another account than its key's in the header by which replicas are told, and the key
/// went on to them. Replicas are told the account of the key, at every way on which a request leaves:
/// here, by another region, and once more after a replica's failure; none of them sees a key.
#[tokio::test(flavor = "multi_thread")]
async fn replicas_are_told_the_account_of_the_key() {
    let accounts = json!([account("acme", &["k1", "k2"]), account("other", &["k3"])]);
    let regions = [
        SiteRegion::new("north", 2, 2),
        SiteRegion::new("south", 1, 0),
    ];
    let site = SiteCluster::start_with_accounts(&regions, SHORT, &accounts).await;
    for (node, attempt) in [(0, "a0"), (1, "a1"), (2, "a2")] {
        let call = site
            .call(node, "/plain/x", attempt)
            .header("x-tenant", "other");
        let call = call.header("authorization", "Token k2");
        let answer = call.send().await.expect("the node answers");
        assert_eq!(answer.status(), StatusCode::OK);
        assert_eq!(seen(&site, attempt), (Some("acme".into()), false));
    }
    for (replica, _) in &site.replicas {
        replica.set_behaviour(ReplicaBehaviour::Fail);
    }
    send(&site, 0, "/plain/x", "a3", "k3").await;
    assert!(site.runs("a3") > 1, "it is tried once more");
    assert_eq!(seen(&site, "a3"), (Some("other".into()), false));
    for node in 0..3 {
        let log = site.log(node);
        assert!(!log.contains("k1") && !log.contains("k2") && !log.contains("k3"));
    }
}

/// Requests without a key, with one that nobody has, or with something that is none: refused at once,
/// not run.
#[test_case(None; "missing")]
#[test_case(Some("Token nobodys"); "unknown")]
#[test_case(Some("Bearer k1"); "other_scheme")]
#[test_case(Some("Token"); "empty")]
#[tokio::test(flavor = "multi_thread")]
async fn wrong_keys_are_refused(credential: Option<&str>) {
    let accounts = json!([account("acme", &["k1"])]);
    let site =
        SiteCluster::start_with_accounts(&[SiteRegion::new("north", 1, 1)], SHORT, &accounts).await;
    let mut call = site.call(0, "/once/x", "w");
    if let Some(credential) = credential {
        call = call.header("authorization", credential);
    }
    let answer = call.send().await.expect("the node answers");
    assert_eq!(answer.status(), StatusCode::UNAUTHORIZED);
    assert_eq!(answer.headers()["x-zinnia-execution"], "not-run");
    assert_eq!(site.runs("w"), 0);
    assert_eq!(
        send(&site, 0, "/once/x", "r", "k1").await.status(),
        StatusCode::OK
    );
}

/// The homes of route and account both bind: an account at home in the south may not use a route of the
/// north, and its other requests are served in the south, wherever they come in.
#[tokio::test(flavor = "multi_thread")]
async fn homes_of_the_account_bind() {
    let mut homed = account("acme", &["k1"]);
    homed["home_regions"] = json!(["south"]);
    let regions = [
        SiteRegion::new("north", 1, 1),
        SiteRegion::new("south", 1, 1),
    ];
    let site = SiteCluster::start_with_accounts(&regions, SHORT, &json!([homed])).await;
    for node in 0..2 {
        let attempt = format!("p{node}");
        let answer = send(&site, node, "/plain/x", &attempt, "k1").await;
        assert!(
            answer
                .text()
                .await
                .expect("it is whole")
                .ends_with("@i-south-0")
        );
        let answer = send(&site, node, "/bound/x", "b", "k1").await;
        assert_eq!(result(&answer), "213");
        assert_eq!(answer.headers()["x-zinnia-execution"], "not-run");
    }
    assert_eq!(site.runs("b"), 0);
    assert!(site.runs_outside("south").is_empty());
}

/// A key is taken away while one of its streams runs. The stream's replica breaks off, and the stream
/// must not go on at another; no new request runs at any node.
#[tokio::test(flavor = "multi_thread")]
async fn key_taken_away_resumes_nothing() {
    let accounts = json!([account("acme", &["k1", "k2"])]);
    let site =
        SiteCluster::start_with_accounts(&[SiteRegion::new("north", 2, 2)], LONG, &accounts).await;
    let answer = send(&site, 0, "/stream/x", "s", "k1").await;
    assert_eq!(answer.status(), StatusCode::OK);
    site.configure_accounts(3, &json!([account("acme", &["k2"])]));
    wait_until("all nodes refuse the key", async || {
        let mut refused = true;
        for node in 0..2 {
            refused &= result(&send(&site, node, "/plain/x", "n", "k1").await) == "202";
        }
        refused
    })
    .await;
    for index in 0..2 {
        site.link(index).reset_open();
    }
    // The caller sees that it is not whole.
    assert!(answer.text().await.is_err());
    assert_eq!(site.runs("s"), 1);
    assert_eq!(
        send(&site, 1, "/plain/x", "k", "k2").await.status(),
        StatusCode::OK
    );
}

/// The store is silent for everybody and nobody can know which keys are taken away. Keys count for less
/// than the bound; then their requests are refused as not run, with a time to come back, and served
/// again with the store.
#[tokio::test(flavor = "multi_thread")]
async fn silent_store_ends_the_trust_in_keys() {
    let accounts = json!([account("acme", &["k1"])]);
    let regions = [
        SiteRegion::new("north", 2, 1),
        SiteRegion::new("south", 1, 1),
    ];
    let site = SiteCluster::start_with_accounts(&regions, SHORT, &accounts).await;
    site.store_faults.set(ServiceMode::Silent);
    let since = Instant::now();
    let mut last_served = Duration::ZERO;
    wait_until("every node refuses", async || {
        let mut refused = 0;
        for node in 0..3 {
            let at = since.elapsed();
            let answer = send(&site, node, "/plain/x", "x", "k1").await;
            if answer.status() == StatusCode::OK {
                last_served = at;
            } else {
                assert_eq!(result(&answer), "229");
                assert!(answer.headers().contains_key("retry-after"));
                refused += 1;
            }
        }
        refused == 3
    })
    .await;
    assert!(last_served < REVOKE, "{last_served:?}");
    // A route that needs no key is served all the same.
    let open = site
        .call(0, "/open/x", "o")
        .send()
        .await
        .expect("the node answers");
    assert_eq!(open.status(), StatusCode::OK);
    site.store_faults.set(ServiceMode::Up);
    for node in 0..3 {
        wait_until("the node serves again", async || {
            send(&site, node, "/plain/x", "y", "k1").await.status() == StatusCode::OK
        })
        .await;
    }
}

/// A region's way to the store is cut, and to nothing else. Its nodes hear of proofs from the others
/// and go on for longer than the bound; a key that is taken away meanwhile runs nowhere once the bound
/// is over.
#[tokio::test(flavor = "multi_thread")]
async fn region_without_the_store_lives_on_proofs_of_others() {
    let accounts = json!([account("acme", &["k1", "k2"])]);
    let regions = [
        SiteRegion::new("north", 2, 1),
        SiteRegion::new("south", 2, 1),
    ];
    let site = SiteCluster::start_with_accounts(&regions, SHORT, &accounts).await;
    site.store_link("north").cut();
    let cut = Instant::now();
    wait_until("the bound is over twice", async || {
        let answer = send(&site, 0, "/plain/x", "x", "k2").await;
        assert_eq!(answer.status(), StatusCode::OK, "{}", result(&answer));
        cut.elapsed() > REVOKE * 2
    })
    .await;
    site.configure_accounts(3, &json!([account("acme", &["k2"])]));
    let taken = Instant::now();
    wait_until("the bound is over", async || {
        let late = taken.elapsed() > REVOKE;
        for node in 0..2 {
            let answer = send(&site, node, "/plain/x", "late", "k1").await;
            assert!(!late || answer.status() != StatusCode::OK);
        }
        taken.elapsed() > REVOKE + Duration::from_secs(1)
    })
    .await;
    assert_eq!(
        send(&site, 0, "/plain/x", "z", "k2").await.status(),
        StatusCode::OK
    );
}

/// A node is frozen while a key is taken away, and wakes later than the bound. What it believed before
/// must not count for the first request that it reads.
#[tokio::test(flavor = "multi_thread")]
async fn node_that_wakes_does_not_trust_what_it_knew() {
    let accounts = json!([account("acme", &["k1", "k2"])]);
    let site =
        SiteCluster::start_with_accounts(&[SiteRegion::new("north", 2, 1)], SHORT, &accounts).await;
    assert_eq!(
        send(&site, 0, "/plain/x", "a", "k1").await.status(),
        StatusCode::OK
    );
    site.signal(0, "-STOP");
    site.configure_accounts(3, &json!([account("acme", &["k2"])]));
    let taken = Instant::now();
    wait_until("the bound is over", async || taken.elapsed() > REVOKE).await;
    let woken = send(&site, 0, "/plain/x", "late", "k1");
    let wake = async { site.signal(0, "-CONT") };
    let (answer, ()) = tokio::join!(woken, wake);
    assert_ne!(answer.status(), StatusCode::OK);
    assert_eq!(site.runs("late"), 0);
    wait_until("the node serves the other key", async || {
        send(&site, 0, "/plain/x", "b", "k2").await.status() == StatusCode::OK
    })
    .await;
}

/// An account may send ten requests a second and ten at once, and sends hundreds to all nodes of two
/// regions. All nodes together let pass what is allowed and little more; who is refused is told when
/// there is room, and nobody else is refused.
#[tokio::test(flavor = "multi_thread")]
async fn allowance_holds_over_all_nodes() {
    const RATE: f64 = 10.0;
    let mut limited = account("acme", &["k1"]);
    limited["rate_per_s"] = json!(RATE);
    limited["burst_size"] = json!(RATE);
    let accounts = json!([limited, account("other", &["k2"])]);
    let regions = [
        SiteRegion::new("north", 3, 1),
        SiteRegion::new("south", 2, 1),
    ];
    let site = SiteCluster::start_with_accounts(&regions, SHORT, &accounts).await;
    let since = Instant::now();
    let mut passed = 0;
    let mut retry = None;
    for number in 0..300 {
        let attempt = format!("q{number}");
        let answer = send(&site, number % 5, "/plain/x", &attempt, "k1").await;
        if answer.status() == StatusCode::OK {
            passed += 1;
            continue;
        }
        assert_eq!(answer.status(), StatusCode::TOO_MANY_REQUESTS);
        assert_eq!(result(&answer), "231");
        assert_eq!(answer.headers()["x-zinnia-execution"], "not-run");
        assert_eq!(site.runs(&attempt), 0);
        let after = answer.headers()["retry-after"]
            .to_str()
            .expect("it is text");
        retry = Some(after.parse::<f64>().expect("it is a number"));
    }
    let allowed = RATE * since.elapsed().as_secs_f64() + RATE;
    // Of each region one more may pass before the other hears of it, and one at each node at once.
    assert!(
        f64::from(passed) <= allowed * 1.1 + 7.0,
        "{passed} of {allowed}"
    );
    assert!(retry.is_some_and(|after| after > 0.0), "{retry:?}");
    assert_eq!(
        send(&site, 0, "/plain/x", "o", "k2").await.status(),
        StatusCode::OK
    );
    wait_until("there is room again", async || {
        send(&site, 0, "/plain/x", "r", "k1").await.status() == StatusCode::OK
    })
    .await;
}

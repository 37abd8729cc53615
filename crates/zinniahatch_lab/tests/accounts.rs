//! Client accounts with real processes: which requests run, for which account, and when a revoked
//! key stops working.

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

/// Time after which a revoked key must not work at any node, as set for sites with accounts.
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
    let request = site.request(node, path, attempt);
    let request = request.header("authorization", format!("Token {key}"));
    request.send().await.expect("the node answers")
}

fn result(response: &Response) -> &str {
    let code = response.headers().get("x-zinnia-code");
    code.and_then(|code| code.to_str().ok()).unwrap_or_default()
}

/// Returns the account for which an attempt ran, and whether any replica received a credential.
fn seen(site: &SiteCluster, attempt: &str) -> (Option<Box<str>>, bool) {
    let mut account = None;
    let mut received_credential = false;
    for (replica, _) in &site.replicas {
        let observations = replica.observations();
        account = account.or_else(|| observations.accounts.get(attempt).cloned());
        received_credential |= observations.credentials > 0;
    }
    (account, received_credential)
}

/// Guards against a forged account and leaked keys. A caller names another account in the header
/// meant for replicas. On every path (same node, forwarded from another region, retried after a
/// failure), replicas must receive the account of the key and never the key.
#[tokio::test(flavor = "multi_thread")]
async fn replicas_are_told_the_account_of_the_key() {
    let accounts = json!([account("acme", &["k1", "k2"]), account("other", &["k3"])]);
    let regions = [
        SiteRegion::new("north", 2, 2),
        SiteRegion::new("south", 1, 0),
    ];
    let site = SiteCluster::start_with_accounts(&regions, SHORT, &accounts).await;
    for (node, attempt) in [(0, "a0"), (1, "a1"), (2, "a2")] {
        let request = site
            .request(node, "/plain/x", attempt)
            .header("x-tenant", "other");
        let request = request.header("authorization", "Token k2");
        let response = request.send().await.expect("the node answers");
        assert_eq!(response.status(), StatusCode::OK);
        assert_eq!(seen(&site, attempt), (Some("acme".into()), false));
    }
    for (replica, _) in &site.replicas {
        replica.set_behaviour(ReplicaBehaviour::Fail);
    }
    send(&site, 0, "/plain/x", "a3", "k3").await;
    assert!(site.runs("a3") > 1, "the request is retried");
    assert_eq!(seen(&site, "a3"), (Some("other".into()), false));
    for node in 0..3 {
        let log = site.log(node);
        assert!(!log.contains("k1") && !log.contains("k2") && !log.contains("k3"));
    }
}

/// Guards against running requests with a missing, unknown or malformed key. They are refused at
/// once as not run.
#[test_case(None; "missing")]
#[test_case(Some("Token nobodys"); "unknown")]
#[test_case(Some("Bearer k1"); "other_scheme")]
#[test_case(Some("Token"); "empty")]
#[tokio::test(flavor = "multi_thread")]
async fn wrong_keys_are_refused(credential: Option<&str>) {
    let accounts = json!([account("acme", &["k1"])]);
    let site =
        SiteCluster::start_with_accounts(&[SiteRegion::new("north", 1, 1)], SHORT, &accounts).await;
    let mut request = site.request(0, "/once/x", "w");
    if let Some(credential) = credential {
        request = request.header("authorization", credential);
    }
    let response = request.send().await.expect("the node answers");
    assert_eq!(response.status(), StatusCode::UNAUTHORIZED);
    assert_eq!(response.headers()["x-zinnia-execution"], "not-run");
    assert_eq!(site.runs("w"), 0);
    assert_eq!(
        send(&site, 0, "/once/x", "r", "k1").await.status(),
        StatusCode::OK
    );
}

/// Guards against ignoring the home regions of the account, which apply together with those of the
/// route: an account homed in the south may not use a route bound to the north, and its other
/// requests are served in the south wherever they arrive.
#[tokio::test(flavor = "multi_thread")]
async fn home_regions_of_the_account_are_enforced() {
    let mut homed = account("acme", &["k1"]);
    homed["home_regions"] = json!(["south"]);
    let regions = [
        SiteRegion::new("north", 1, 1),
        SiteRegion::new("south", 1, 1),
    ];
    let site = SiteCluster::start_with_accounts(&regions, SHORT, &json!([homed])).await;
    for node in 0..2 {
        let attempt = format!("p{node}");
        let response = send(&site, node, "/plain/x", &attempt, "k1").await;
        assert!(
            response
                .text()
                .await
                .expect("the response is complete")
                .ends_with("@i-south-0")
        );
        let response = send(&site, node, "/bound/x", "b", "k1").await;
        assert_eq!(result(&response), "213");
        assert_eq!(response.headers()["x-zinnia-execution"], "not-run");
    }
    assert_eq!(site.runs("b"), 0);
    assert!(site.runs_outside("south").is_empty());
}

/// Guards against resuming a stream whose key was revoked while it ran. When its replica breaks
/// off, the stream must not continue on another replica, and no node may run new requests with the
/// key.
#[tokio::test(flavor = "multi_thread")]
async fn revoked_key_resumes_no_stream() {
    let accounts = json!([account("acme", &["k1", "k2"])]);
    let site =
        SiteCluster::start_with_accounts(&[SiteRegion::new("north", 2, 2)], LONG, &accounts).await;
    let response = send(&site, 0, "/stream/x", "s", "k1").await;
    assert_eq!(response.status(), StatusCode::OK);
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
    // The caller can tell that the stream is truncated.
    assert!(response.text().await.is_err());
    assert_eq!(site.runs("s"), 1);
    assert_eq!(
        send(&site, 1, "/plain/x", "k", "k2").await.status(),
        StatusCode::OK
    );
}

/// Guards against accepting keys that may have been revoked while the store is silent for all
/// nodes. Keys are accepted for less than the bound; then requests are refused as not run, with a
/// Retry-After, and served again once the store responds.
#[tokio::test(flavor = "multi_thread")]
async fn keys_expire_while_the_store_is_silent() {
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
            let response = send(&site, node, "/plain/x", "x", "k1").await;
            if response.status() == StatusCode::OK {
                last_served = at;
            } else {
                assert_eq!(result(&response), "229");
                assert!(response.headers().contains_key("retry-after"));
                refused += 1;
            }
        }
        refused == 3
    })
    .await;
    assert!(last_served < REVOKE, "{last_served:?}");
    // A route that needs no key is still served.
    let open = site
        .request(0, "/open/x", "o")
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

/// Guards against refusing requests in a region that has lost only its connection to the store. Its
/// nodes receive freshness proofs from the others and serve for longer than the bound, but a key
/// revoked meanwhile must not work after the bound.
#[tokio::test(flavor = "multi_thread")]
async fn region_without_store_access_uses_proofs_of_others() {
    let accounts = json!([account("acme", &["k1", "k2"])]);
    let regions = [
        SiteRegion::new("north", 2, 1),
        SiteRegion::new("south", 2, 1),
    ];
    let site = SiteCluster::start_with_accounts(&regions, SHORT, &accounts).await;
    site.store_link("north").cut();
    let cut = Instant::now();
    wait_until("twice the bound has passed", async || {
        let response = send(&site, 0, "/plain/x", "x", "k2").await;
        assert_eq!(response.status(), StatusCode::OK, "{}", result(&response));
        cut.elapsed() > REVOKE * 2
    })
    .await;
    site.configure_accounts(3, &json!([account("acme", &["k2"])]));
    let taken = Instant::now();
    wait_until("the bound has passed", async || {
        let late = taken.elapsed() > REVOKE;
        for node in 0..2 {
            let response = send(&site, node, "/plain/x", "late", "k1").await;
            assert!(!late || response.status() != StatusCode::OK);
        }
        taken.elapsed() > REVOKE + Duration::from_secs(1)
    })
    .await;
    assert_eq!(
        send(&site, 0, "/plain/x", "z", "k2").await.status(),
        StatusCode::OK
    );
}

/// Guards against a frozen node that accepts a key revoked in the meantime when it resumes later
/// than the bound: its former state must not count for the first request that it reads.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_node_does_not_accept_revoked_keys() {
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
    wait_until("the bound has passed", async || taken.elapsed() > REVOKE).await;
    let request = send(&site, 0, "/plain/x", "late", "k1");
    let wake = async { site.signal(0, "-CONT") };
    let (response, ()) = tokio::join!(request, wake);
    assert_ne!(response.status(), StatusCode::OK);
    assert_eq!(site.runs("late"), 0);
    wait_until("the node serves the other key", async || {
        send(&site, 0, "/plain/x", "b", "k2").await.status() == StatusCode::OK
    })
    .await;
}

/// Guards against exceeding the rate limit of an account across nodes. An account with 10 requests
/// per second and a burst of 10 sends hundreds to all nodes of two regions. All nodes together must
/// let hardly more pass than allowed, refusals must carry a Retry-After, and other accounts must
/// not be refused.
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
        let response = send(&site, number % 5, "/plain/x", &attempt, "k1").await;
        if response.status() == StatusCode::OK {
            passed += 1;
            continue;
        }
        assert_eq!(response.status(), StatusCode::TOO_MANY_REQUESTS);
        assert_eq!(result(&response), "231");
        assert_eq!(response.headers()["x-zinnia-execution"], "not-run");
        assert_eq!(site.runs(&attempt), 0);
        let after = response.headers()["retry-after"]
            .to_str()
            .expect("the header is text");
        retry = Some(after.parse::<f64>().expect("the header is a number"));
    }
    let allowed = RATE * since.elapsed().as_secs_f64() + RATE;
    // One more request per region may pass before the other region learns of it, and one per node at
    // the same time.
    assert!(
        f64::from(passed) <= allowed * 1.1 + 7.0,
        "{passed} of {allowed}"
    );
    assert!(retry.is_some_and(|after| after > 0.0), "{retry:?}");
    assert_eq!(
        send(&site, 0, "/plain/x", "o", "k2").await.status(),
        StatusCode::OK
    );
    wait_until("the account may send again", async || {
        send(&site, 0, "/plain/x", "r", "k1").await.status() == StatusCode::OK
    })
    .await;
}

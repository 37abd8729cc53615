//! Operators' tasks on the platform, with the real command-line tool and real entry VMs.

use std::process::Command;
use std::process::Output;
use std::time::Duration;
use zinniahatch_lab::site::SiteCluster;
use zinniahatch_lab::site::SiteRegion;
use zinniahatch_lab::site::wait_until;
use zinniahatch_lab::test_doubles::replica::ReplicaBehaviour;
use zinniahatch_lab::test_doubles::replica::StreamShape;

const SHAPE: StreamShape = StreamShape {
    events: 5,
    pause: Duration::from_millis(5),
};
const PRESETS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/presets");

/// Starts a site with more nodes in one region than those that follow the preset in the store.
async fn site() -> SiteCluster {
    let regions = [("north", 4, 1), ("south", 1, 1)].map(|(name, entries, replicas)| SiteRegion {
        name,
        entries,
        replicas,
    });
    SiteCluster::start(&regions, SHAPE).await
}

/// Runs `zinniactl`, which is built into the same folder as the daemon.
async fn ctl(site: &SiteCluster, args: &[&str]) -> Output {
    let mut command = Command::new(zinniahatch_lab::site::tool_path());
    command.args(args).env("ZINNIA_STORE", site.store_address());
    let run = tokio::task::spawn_blocking(move || command.output());
    run.await.unwrap().expect("zinniactl is built")
}

/// Guards against a preset switch that reaches only the two nodes of each region that follow it in
/// the store, while the others apply it only after a restart.
#[tokio::test(flavor = "multi_thread")]
async fn switch_reaches_every_node() {
    let site = site().await;
    let file = format!("{PRESETS}/peak.ini");
    let done = ctl(&site, &["site", "switch", &file]).await;
    let text = String::from_utf8_lossy(&done.stdout).into_owned();
    assert!(text.contains("preset peak is in force"), "{done:?}");
    for index in 0..site.entries.len() {
        wait_until("the preset is in force", async || {
            site.log(index)
                .lines()
                .any(|line| line.contains(r#""kind":"preset""#) && line.contains(r#""to":"peak""#))
        })
        .await;
    }
    let output = ctl(&site, &["site", "preset"]).await;
    assert!(String::from_utf8_lossy(&output.stdout).contains("[preset peak]"));
    let late = format!("{PRESETS}/maintenance.ini");
    let refused = ctl(&site, &["site", "switch", "--from", "ordinary", &late]).await;
    assert!(!refused.status.success());
    assert!(String::from_utf8_lossy(&refused.stderr).contains("`peak`"));
}

/// Checks that a single request can be explained from its id and the logs.
#[tokio::test(flavor = "multi_thread")]
async fn explain_tells_a_request_from_logs() {
    let site = site().await;
    let response = site.request(0, "/plain/x", "told-1").send().await.unwrap();
    assert!(response.status().is_success());
    let path = site.log_path(0).display().to_string();
    wait_until("the response is logged", async || {
        site.log(0).contains("told-1") && site.log(0).contains("answered")
    })
    .await;
    let told = ctl(&site, &["explain", "told-1", &path]).await;
    let text = String::from_utf8_lossy(&told.stdout).into_owned();
    assert!(text.starts_with("request told-1\n"), "{told:?}");
    assert!(text.contains("placed") && text.contains("answered by the replica with status 200"));
    let unknown = ctl(&site, &["explain", "told-2", &path]).await;
    assert!(String::from_utf8_lossy(&unknown.stderr).contains("left_out"));
}

/// Checks that lost requests are counted by cause, each once, at the node that received it.
#[tokio::test(flavor = "multi_thread")]
async fn losses_count_by_cause() {
    let site = site().await;
    for number in 0..3 {
        let attempt = format!("counted-{number}");
        let response = site.request(0, "/plain/x", &attempt).send().await.unwrap();
        assert!(response.status().is_success());
    }
    for (replica, _) in &site.replicas {
        replica.set_behaviour(ReplicaBehaviour::Shed);
    }
    let refused = site
        .request(0, "/plain/x", "counted-not")
        .send()
        .await
        .unwrap();
    assert!(!refused.status().is_success());
    let path = site.log_path(0).display().to_string();
    wait_until("the responses are logged", async || {
        let log = site.log(0);
        log.matches("\"kind\":\"answered\"").count() >= 3 && log.contains("\"kind\":\"refused\"")
    })
    .await;
    let output = ctl(
        &site,
        &["losses", "--by", "cause", "--format", "json", &path],
    )
    .await;
    let rows: Vec<serde_json::Value> = serde_json::from_slice(&output.stdout).unwrap();
    let count = |cause: &str| {
        let mut found = rows.iter().filter(|row| {
            let name = row["cause"].as_str().unwrap_or_default();
            name.starts_with(cause)
        });
        found.next().and_then(|row| row["requests"].as_u64())
    };
    assert_eq!(count("in time"), Some(3), "{rows:?}");
    assert_eq!(count("refused"), Some(1), "{rows:?}");
    let unknown = ctl(&site, &["losses", "--by", "weather", &path]).await;
    assert!(String::from_utf8_lossy(&unknown.stderr).contains("route, region, window, cause"));
}

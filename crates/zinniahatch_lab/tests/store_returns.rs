//! Tests of a store that is restored from an older snapshot: how the client treats its responses,
//! and what nodes write again.

use std::time::Duration;
use test_case::test_case;
use zinniahatch_base::StoreRevision;
use zinniahatch_config::PRESET_KEY;
use zinniahatch_config::format_serving_preset;
use zinniahatch_config::parse_serving_preset;
use zinniahatch_lab::site::SiteCluster;
use zinniahatch_lab::site::SiteRegion;
use zinniahatch_lab::site::wait_until;
use zinniahatch_lab::test_doubles::faults::FaultSwitch;
use zinniahatch_lab::test_doubles::replica::StreamShape;
use zinniahatch_lab::test_doubles::serve::FakeServer;
use zinniahatch_lab::test_doubles::store::FakeStore;
use zinniahatch_platform::CommitOutcome;
use zinniahatch_platform::KvClient;
use zinniahatch_platform::KvError;
use zinniahatch_platform::StoreTransaction;
use zinniahatch_route::ServingPreset;

const LIMIT: Duration = Duration::from_secs(2);
/// Long wait of a watch, which a restore must end.
const LONG_WAIT: Duration = Duration::from_secs(20);

const SHAPE: StreamShape = StreamShape {
    events: 3,
    pause: Duration::from_millis(5),
};

async fn open_store() -> (FakeStore, FakeServer, KvClient) {
    let store = FakeStore::default();
    let server = store.start_endpoint(FaultSwitch::default()).await;
    let client = KvClient::new(&server.url());
    (store, server, client)
}

/// Guards against a watch that misses changes after a restore. It waits for changes after revision
/// 5; the store is restored at revision 3 and counts up past 5 again, so that the watch would skip
/// revisions 4 and 5 of the new era, in which an operator may have revoked a key.
#[test_case(false; "while_it_waits")]
#[test_case(true; "before_it_asks")]
#[tokio::test]
async fn watch_ends_when_revisions_go_back(before: bool) {
    let (store, _server, client) = open_store().await;
    for number in 0..3 {
        store.write("op/config", &number.to_string());
    }
    let copy = store.snapshot();
    store.write("op/a", "1");
    store.write("op/b", "1");
    let listing = client
        .items("op/", LIMIT)
        .await
        .expect("the store responds");
    assert_eq!(listing.revision, StoreRevision { era: 0, number: 5 });
    if before {
        store.restore_snapshot(&copy);
        for _ in 0..4 {
            store.write("op/config", "new");
        }
    }
    let watch = client.changes("op/", listing.revision, LONG_WAIT);
    let other = async {
        if !before {
            store.restore_snapshot(&copy);
            for _ in 0..4 {
                store.write("op/config", "new");
            }
            // Another request of the same client reaches the restored store first.
            client
                .items("other/", LIMIT)
                .await
                .expect("the store responds");
        }
    };
    let (changes, ()) = tokio::join!(watch, other);
    assert_eq!(changes, Err(KvError::Compacted));
    let again = client
        .items("op/", LIMIT)
        .await
        .expect("the store responds");
    assert!(again.revision > listing.revision, "{again:?}");
    assert_eq!(again.revision, StoreRevision { era: 1, number: 7 });
}

/// Guards against a conditional write that succeeds after a restore although its condition refers
/// to the old era. A node read a value at revision 4; after the restore, revision 4 is another
/// process's write.
#[tokio::test]
async fn condition_on_an_old_era_fails() {
    let (store, _server, client) = open_store().await;
    store.write("k", "1");
    let copy = store.snapshot();
    store.write("k", "old");
    let read = client
        .item("k")
        .await
        .expect("the store responds")
        .expect("the key exists");
    store.restore_snapshot(&copy);
    store.write("k", "another's");
    client
        .items("other/", LIMIT)
        .await
        .expect("the store responds");
    let commit = StoreTransaction::new()
        .expect("k", read.revision)
        .set("k", b"mine", None);
    assert_eq!(client.commit(&commit).await, Ok(CommitOutcome::Conflict));
    assert_eq!(store.read("k").as_deref(), Some("another's"));
}

/// Guards against renewing a lease granted before a restore. Its number may since have been granted
/// to another node; a renewal would keep the other node's key alive, and the own key would never be
/// written again.
#[tokio::test]
async fn lease_of_an_old_era_has_expired() {
    let (store, server, client) = open_store().await;
    store.write("k", "1");
    let copy = store.snapshot();
    let own_lease = client
        .grant(Duration::from_secs(9))
        .await
        .expect("the store responds");
    store.restore_snapshot(&copy);
    let other = KvClient::new(&server.url());
    let other_lease = other
        .grant(Duration::from_secs(9))
        .await
        .expect("the store responds");
    assert_eq!(own_lease.number, other_lease.number);
    client
        .items("other/", LIMIT)
        .await
        .expect("the store responds");
    assert_eq!(client.renew(own_lease).await, Ok(false));
    assert_eq!(other.renew(other_lease).await, Ok(true));
}

fn accounts(keys: &[&str]) -> serde_json::Value {
    serde_json::json!([{"name": "acme", "api_keys": keys}])
}

/// Returns the status with which a node responds; 0 if it does not listen yet.
async fn status_for_key(site: &SiteCluster, node: usize, key: &str) -> u16 {
    let request = site.request(node, "/plain/x", "a");
    let request = request.header("authorization", format!("Token {key}"));
    let response = request.send().await;
    response.map_or(0, |response| response.status().as_u16())
}

/// Guards against a node that starts after a restore, finds a revoked key in the store and accepts
/// it. The other nodes have the newer version and inform it.
#[tokio::test(flavor = "multi_thread")]
async fn revoked_key_stays_revoked_at_starting_nodes() {
    let regions = [SiteRegion::new("north", 3, 2)];
    let mut site =
        SiteCluster::start_with_accounts(&regions, SHAPE, &accounts(&["k1", "k2"])).await;
    let copy = site.store.snapshot();
    site.configure_accounts(5, &accounts(&["k2"]));
    for node in 0..3 {
        wait_until("the key is refused", async || {
            status_for_key(&site, node, "k1").await == 401
        })
        .await;
    }
    site.store.restore_snapshot(&copy);
    site.kill(0);
    site.spawn(0);
    wait_until("the node serves the other key", async || {
        for node in 0..3 {
            assert_ne!(status_for_key(&site, node, "k1").await, 200);
        }
        status_for_key(&site, 0, "k2").await == 200
    })
    .await;
    site.configure_accounts(5, &accounts(&["k2"]));
    for node in 0..3 {
        wait_until("all nodes serve", async || {
            status_for_key(&site, node, "k2").await == 200
        })
        .await;
        assert_eq!(status_for_key(&site, node, "k1").await, 401);
    }
}

/// Guards against losing an acknowledged preset switch in a restore. The preset stays in force, and
/// the nodes write it to the store again.
#[tokio::test(flavor = "multi_thread")]
async fn preset_in_force_is_written_again() {
    let site = SiteCluster::start(&[SiteRegion::new("north", 2, 1)], SHAPE).await;
    let copy = site.store.snapshot();
    let preset = ServingPreset {
        name: "peak".into(),
        revision: 7,
        ..ServingPreset::default()
    };
    site.store
        .write(PRESET_KEY, &format_serving_preset(&preset));
    for node in 0..2 {
        wait_until("the preset is in force", async || {
            site.log(node).contains("\"to\":\"peak\"")
        })
        .await;
    }
    site.store.restore_snapshot(&copy);
    assert_eq!(site.store.read(PRESET_KEY), None);
    wait_until("the preset is written again", async || {
        let text = site.store.read(PRESET_KEY).unwrap_or_default();
        parse_serving_preset(PRESET_KEY, &text).is_ok_and(|kept| kept == preset)
    })
    .await;
}

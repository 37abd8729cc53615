//! The store comes back from an older copy: what the client makes of its answers, and what nodes write
//! again.

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
use zinniahatch_platform::StoreCommit;
use zinniahatch_route::ServingPreset;

const LIMIT: Duration = Duration::from_secs(2);
/// Wait of a watch that a return must end.
const LONG_WAIT: Duration = Duration::from_secs(20);

const SHAPE: StreamShape = StreamShape {
    events: 3,
    pause: Duration::from_millis(5),
};

async fn open_store() -> (FakeStore, FakeServer, KvClient) {
    let store = FakeStore::default();
    let front = store.start_endpoint(FaultSwitch::default()).await;
    let client = KvClient::new(&front.url());
    (store, front, client)
}

/// A watch waits for what follows revision 5. The store comes back at revision 3 and counts up again,
/// past 5. The watch would have slept through 4 and 5 of the new era, in which an operator took a key
/// away.
#[test_case(false; "while_it_waits")]
#[test_case(true; "before_it_asks")]
#[tokio::test]
async fn watch_ends_when_revisions_go_back(before: bool) {
    let (store, _front, client) = open_store().await;
    for number in 0..3 {
        store.write("op/config", &number.to_string());
    }
    let copy = store.snapshot();
    store.write("op/a", "1");
    store.write("op/b", "1");
    let listing = client.items("op/", LIMIT).await.expect("it answers");
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
            // Another call of the same process meets the store first.
            client.items("other/", LIMIT).await.expect("it answers");
        }
    };
    let (changes, ()) = tokio::join!(watch, other);
    assert_eq!(changes, Err(KvError::Compacted));
    let again = client.items("op/", LIMIT).await.expect("it answers");
    assert!(again.revision > listing.revision, "{again:?}");
    assert_eq!(again.revision, StoreRevision { era: 1, number: 7 });
}

/// A node read a value at revision 4 and writes it under that condition. The store has come back
/// meanwhile, and its revision 4 is somebody else's write, which the condition would let pass.
#[tokio::test]
async fn condition_of_an_era_that_is_over_does_not_hold() {
    let (store, _front, client) = open_store().await;
    store.write("k", "1");
    let copy = store.snapshot();
    store.write("k", "old");
    let read = client
        .item("k")
        .await
        .expect("it answers")
        .expect("it is there");
    store.restore_snapshot(&copy);
    store.write("k", "another's");
    client.items("other/", LIMIT).await.expect("it answers");
    let commit = StoreCommit::new()
        .expect("k", read.revision)
        .set("k", b"mine", None);
    assert_eq!(client.commit(&commit).await, Ok(CommitOutcome::Conflict));
    assert_eq!(store.read("k").as_deref(), Some("another's"));
}

/// A node's lease was given after the copy was made; its number goes to another node after the return.
/// Renewed as its own, it would keep the other's key alive, and its own would never come back.
#[tokio::test]
async fn lease_of_an_era_that_is_over_has_lapsed() {
    let (store, front, client) = open_store().await;
    store.write("k", "1");
    let copy = store.snapshot();
    let mine = client
        .grant(Duration::from_secs(9))
        .await
        .expect("it answers");
    store.restore_snapshot(&copy);
    let other = KvClient::new(&front.url());
    let theirs = other
        .grant(Duration::from_secs(9))
        .await
        .expect("it answers");
    assert_eq!(mine.number, theirs.number);
    client.items("other/", LIMIT).await.expect("it answers");
    assert_eq!(client.keep(mine).await, Ok(false));
    assert_eq!(other.keep(theirs).await, Ok(true));
}

fn accounts(keys: &[&str]) -> serde_json::Value {
    serde_json::json!([{"name": "acme", "api_keys": keys}])
}

/// Returns the status that a node answers with; 0 where it does not listen yet.
async fn code_of(site: &SiteCluster, node: usize, key: &str) -> u16 {
    let call = site.call(node, "/plain/x", "a");
    let call = call.header("authorization", format!("Token {key}"));
    let answer = call.send().await;
    answer.map_or(0, |answer| answer.status().as_u16())
}

/// A key is taken away, and the store comes back from a copy that still has it. A node that starts just
/// then finds it there, and must not serve it: the others follow the newer version, and say so.
#[tokio::test(flavor = "multi_thread")]
async fn key_taken_away_stays_so_at_nodes_that_start() {
    let regions = [SiteRegion::new("north", 3, 2)];
    let mut site =
        SiteCluster::start_with_accounts(&regions, SHAPE, &accounts(&["k1", "k2"])).await;
    let copy = site.store.snapshot();
    site.configure_accounts(5, &accounts(&["k2"]));
    for node in 0..3 {
        wait_until("the key is refused", async || {
            code_of(&site, node, "k1").await == 401
        })
        .await;
    }
    site.store.restore_snapshot(&copy);
    site.kill(0);
    site.spawn(0);
    wait_until("the node serves the other key", async || {
        for node in 0..3 {
            assert_ne!(code_of(&site, node, "k1").await, 200);
        }
        code_of(&site, 0, "k2").await == 200
    })
    .await;
    site.configure_accounts(5, &accounts(&["k2"]));
    for node in 0..3 {
        wait_until("all serve", async || {
            code_of(&site, node, "k2").await == 200
        })
        .await;
        assert_eq!(code_of(&site, node, "k1").await, 401);
    }
}

/// An operator's switch was acknowledged and in force, and the store comes back from a copy without it.
/// It stays in force, and the nodes write it again.
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

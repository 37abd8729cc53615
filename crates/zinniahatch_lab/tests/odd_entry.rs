//! Tests that one odd item in the store, written by another program, affects nothing but itself.

use serde_json::Value;
use serde_json::json;
use std::time::Duration;
use test_case::test_case;
use zinniahatch_lab::site::AMPLE_RETRY_SLACK;
use zinniahatch_lab::site::SiteCluster;
use zinniahatch_lab::site::SiteRegion;
use zinniahatch_lab::site::wait_until;
use zinniahatch_lab::test_doubles::faults::FaultSwitch;
use zinniahatch_lab::test_doubles::replica::StreamShape;
use zinniahatch_lab::test_doubles::serve::FakeServer;
use zinniahatch_lab::test_doubles::store::FakeStore;
use zinniahatch_platform::KvClient;
use zinniahatch_platform::StoreEvent;

const LIMIT: Duration = Duration::from_secs(2);
const LONG_WAIT: Duration = Duration::from_secs(20);
/// Sound entries, which take several pages of a listing.
const SOUND_ENTRIES: usize = 120;
/// Depth of a nested value, far beyond the recursion limit of a JSON parser.
const DEPTH: usize = 20_000;
/// Length of a text that no datagram holds.
const LONG_TEXT: usize = 100_000;
const SHAPE: StreamShape = StreamShape {
    events: 3,
    pause: Duration::from_millis(5),
};

/// Returns the JSON text of an item that cannot be decoded.
fn raw_item(kind: &str, key: &str) -> String {
    let nested = format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let with = |fields: &str| format!("{{\"key\":\"{key}\",\"revision\":{{revision}},{fields}}}");
    match kind {
        "value_not_base64" => with("\"value\":\"*\""),
        "value_number" => with("\"value\":7"),
        "value_nested" => with(&format!("\"value\":{nested}")),
        "lease_negative" => with("\"value\":\"\",\"lease\":-1"),
        "lease_too_large" => with("\"value\":\"\",\"lease\":1e999"),
        "deleted_text" => with("\"value\":\"\",\"deleted\":\"no\""),
        "key_twice" => with(&format!("\"key\":\"{key}\",\"value\":\"\"")),
        "revision_too_large" => {
            format!("{{\"key\":\"{key}\",\"value\":\"\",\"revision\":18446744073709551616}}")
        }
        "revision_text" => format!("{{\"key\":\"{key}\",\"value\":\"\",\"revision\":\"7\"}}"),
        "key_number" => "{\"key\":5,\"value\":\"\",\"revision\":{revision}}".into(),
        "key_missing" => "{\"value\":\"\",\"revision\":{revision}}".into(),
        "key_half_a_character" => {
            "{\"key\":\"\\ud800\",\"value\":\"\",\"revision\":{revision}}".into()
        }
        "no_object" => "null".into(),
        "nested" => nested,
        other => panic!("no item is called {other}"),
    }
}

const RAW_KINDS: [&str; 14] = [
    "value_not_base64",
    "value_number",
    "value_nested",
    "lease_negative",
    "lease_too_large",
    "deleted_text",
    "key_twice",
    "revision_too_large",
    "revision_text",
    "key_number",
    "key_missing",
    "key_half_a_character",
    "no_object",
    "nested",
];

async fn open_store() -> (FakeStore, FakeServer, KvClient) {
    let store = FakeStore::default();
    let server = store.start_endpoint(FaultSwitch::default()).await;
    let client = KvClient::new(&server.url());
    (store, server, client)
}

/// Guards against giving up a whole listing because one of its items cannot be decoded.
#[test_case("servers/a"; "first")]
#[test_case("servers/i-048x"; "last_of_a_page")]
#[test_case("servers/i-049x"; "first_of_a_page")]
#[test_case("servers/z"; "last")]
#[tokio::test]
async fn listing_goes_on_past_odd_item(odd_key: &str) {
    let mut lost = Vec::new();
    for kind in RAW_KINDS {
        let (store, _server, client) = open_store().await;
        for number in 0..SOUND_ENTRIES {
            store.write(&format!("servers/i-{number:03}"), "{}");
        }
        store.write_raw(odd_key, &raw_item(kind, odd_key));
        let listing = client.items("servers/", LIMIT).await;
        if listing.is_ok_and(|listing| listing.items.len() == SOUND_ENTRIES) {
            continue;
        }
        lost.push(kind);
    }
    assert!(lost.is_empty(), "not listed beside {lost:?}");
}

/// Guards against a watch that fails at the same change for ever.
#[tokio::test]
async fn watch_goes_on_past_odd_item() {
    let is_sound = |event: &StoreEvent| matches!(event, StoreEvent::Written(item) if *item.key == *"servers/i-2");
    let mut lost = Vec::new();
    for kind in RAW_KINDS {
        let (store, _server, client) = open_store().await;
        store.write("servers/i-1", "{}");
        let listing = client.items("servers/", LIMIT).await.unwrap();
        store.write_raw("servers/a", &raw_item(kind, "servers/a"));
        store.write("servers/i-2", "{}");
        let changes = client
            .changes("servers/", listing.revision, LONG_WAIT)
            .await;
        if changes.is_ok_and(|changes| {
            changes.events.iter().any(is_sound) && changes.revision.number == 3
        }) {
            continue;
        }
        lost.push(kind);
    }
    assert!(lost.is_empty(), "not followed past {lost:?}");
}

/// Returns values of entries that name no replica that can be used.
fn odd_values(sound: &Value) -> Vec<(&'static str, String)> {
    let with = |field: &str, value: Value| {
        let mut entry = sound.clone();
        entry[field] = value;
        entry.to_string()
    };
    let nested = format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let too_large = with("born", Value::Null).replace("null", "1e400");
    vec![
        ("nested", nested.clone()),
        (
            "nested_slots",
            with("slots", Value::Null).replace("null", &nested),
        ),
        ("born_too_large", too_large),
        ("slots_too_large", with("slots", json!(4_294_967_296_u64))),
        ("slots_out_of_range", with("slots", json!(u32::MAX))),
        ("no_slots", with("slots", json!(0))),
        ("port_too_large", with("address", json!("127.0.0.1:65536"))),
        ("port_zero", with("address", json!("127.0.0.1:0"))),
        ("any_address", with("address", json!("0.0.0.0:80"))),
        ("multicast", with("address", json!("224.0.0.1:80"))),
        ("broadcast", with("address", json!("255.255.255.255:80"))),
        ("cold_too_long", with("cold_left_ms", json!(1e300))),
        ("zone_too_long", with("zone", json!("z".repeat(LONG_TEXT)))),
        (
            "service_too_long",
            with("service", json!("s".repeat(LONG_TEXT))),
        ),
        (
            "version_too_long",
            with("version", json!("v".repeat(LONG_TEXT))),
        ),
        ("no_json", "\u{0}\u{1}{{{".into()),
    ]
}

/// Returns values of a sound entry with an unknown field that is odd.
fn odd_fields(sound: &Value) -> Vec<(&'static str, String)> {
    let sound = sound.to_string();
    let insert = |field: &str| sound.replacen('{', &format!("{{\"x\":{field},"), 1);
    let objects = format!("{}1{}", "{\"x\":".repeat(DEPTH), "}".repeat(DEPTH));
    vec![
        ("unknown_nested", insert(&objects)),
        ("unknown_too_large", insert("1e999999")),
        ("unknown_not_text", insert("\"\\ud800\"")),
    ]
}

/// Waits until every entry VM has logged a kind of line on a replica.
async fn wait_logged(site: &SiteCluster, case: &str, kind: &str, id: &str) {
    for index in 0..site.entries.len() {
        let what = format!("{case}: entry VM {index} logs `{kind}` of {id}");
        wait_until(&what, async || {
            site.log(index).lines().any(|line| {
                let fields: Value = serde_json::from_str(line).unwrap_or_default();
                fields["kind"] == kind && fields["replica"] == id
            })
        })
        .await;
    }
}

/// Writes and removes the entry of a further replica, waits until every entry VM has followed both, and
/// sends each a request.
async fn check_followed(site: &mut SiteCluster, case: &str) {
    let id = format!("i-after-{case}");
    site.register_stale(0, &id);
    wait_logged(site, case, "replica", &id).await;
    site.store.remove(&format!("servers/{id}"));
    wait_logged(site, case, "replica-entry-gone", &id).await;
    check_serving(site, case).await;
}

async fn check_serving(site: &mut SiteCluster, case: &str) {
    for index in 0..site.entries.len() {
        let attempt = format!("{case}-{index}");
        let response = site.request(index, "/plain/x", &attempt).send().await;
        assert_eq!(response.expect(case).status(), 200, "{case}");
        assert_eq!(site.ended(index), None, "{case}");
    }
}

async fn check_started_again(site: &mut SiteCluster) {
    for index in 0..site.entries.len() {
        site.kill(index);
        site.spawn(index);
        site.wait_ready(index).await;
    }
    check_followed(site, "started-again").await;
}

/// Guards against a node that no longer follows the replicas, or does not start, beside an item that
/// cannot be decoded.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_follow_replicas_past_odd_items() {
    let mut site = SiteCluster::start(&[SiteRegion::new("north", 2, 2)], SHAPE).await;
    for kind in RAW_KINDS {
        let key = format!("servers/odd-{kind}");
        site.store.write_raw(&key, &raw_item(kind, &key));
        check_followed(&mut site, kind).await;
    }
    check_started_again(&mut site).await;
}

/// Guards against requests that are refused or sent in vain for entries that name no usable replica,
/// and against a sound replica that is not used for an odd field that nobody reads.
#[tokio::test(flavor = "multi_thread")]
async fn odd_values_name_no_replica() {
    let mut site = SiteCluster::start(&[SiteRegion::new("north", 2, 2)], SHAPE).await;
    let key = "servers/i-north-1";
    let sound = site.store.read(key).expect("the replica has an entry");
    let sound: Value = serde_json::from_str(&sound).expect("an entry is JSON");
    for (case, value) in odd_fields(&sound) {
        site.store.write(key, &value);
        check_followed(&mut site, case).await;
    }
    for (case, value) in odd_values(&sound) {
        site.store.write(&format!("servers/odd-{case}"), &value);
        check_followed(&mut site, case).await;
    }
    check_started_again(&mut site).await;
    site.store.write(key, &odd_values(&sound)[0].1);
    wait_logged(&site, "under_a_sound_id", "replica-entry-gone", "i-north-1").await;
    check_serving(&mut site, "under_a_sound_id").await;
    let sent = site.sending_nodes().into_keys();
    let odd: Vec<_> = sent
        .filter(|(_, replica)| replica.starts_with("odd-"))
        .collect();
    assert!(odd.is_empty(), "sent to odd entries: {odd:?}");
}

/// Guards against the same for what operators write; an evacuation is requested by its key alone.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_follow_operators_past_odd_items() {
    let site = SiteCluster::start(&[SiteRegion::new("north", 2, 1)], SHAPE).await;
    for (number, kind) in RAW_KINDS.into_iter().enumerate() {
        site.store
            .write_raw("op/config", &raw_item(kind, "op/config"));
        let route = format!("route-{kind}");
        site.configure(2 + number as u64, &[&route]);
        for index in 0..site.entries.len() {
            wait_until(&format!("{kind}: the new route is served"), async || {
                let attempt = format!("{kind}-{index}");
                let request = site.request(index, &format!("/{route}/x"), &attempt);
                request
                    .send()
                    .await
                    .is_ok_and(|answer| answer.status() == 200)
            })
            .await;
        }
    }
    let key = "op/evacuate/north-a";
    site.store
        .write_raw(key, &raw_item("value_not_base64", key));
    for index in 0..site.entries.len() {
        wait_until("the evacuation is in force", async || {
            let lines = site.log(index);
            lines.contains("\"kind\":\"evacuation\"") && lines.contains("\"on\":true")
        })
        .await;
    }
}

/// Guards against nodes that do not start, or do not find each other, beside odd values under the keys
/// that nodes write themselves.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_start_beside_odd_values_of_their_keys() {
    const KEYS: [&str; 6] = [
        "zinniahatch/nodes/odd",
        "zinniahatch/preset",
        "zinniahatch/versions/north",
        "zinniahatch/quarantine/odd",
        "zinniahatch/quarantined-parts/odd",
        "op/evacuate/odd",
    ];
    let regions = [SiteRegion::new("north", 2, 2)];
    let nested = format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let long = "x".repeat(LONG_TEXT);
    let crashes = format!(
        "{{\"replica\":1,\"at_ms\":{},\"ran_ms\":{}}}",
        u64::MAX,
        u32::MAX
    );
    let values = [
        nested,
        "1e400".into(),
        format!("{long} 127.0.0.1:7000"),
        "north 127.0.0.1:0".into(),
        "north 0.0.0.0:65535".into(),
        "north 127.0.0.1:65536".into(),
        format!("[preset {long}]\nrevision = 0\n"),
        "[preset odd]\nrevision = 1\ngoal_margin = NaN\n".into(),
        format!("[preset odd]\nrevision = {}\n", u64::MAX),
        format!("{{\"era\":0,\"versions\":[{}]}}", ["7"; 1_000].join(",")),
        format!(
            "{{\"content\":7,\"ends\":[{}]}}",
            vec![crashes; 1_000].join(",")
        ),
    ];
    let mut site = SiteCluster::prepare(&regions, SHAPE).await;
    for key in KEYS {
        for (number, value) in values.iter().enumerate() {
            let is_list =
                key.contains('/') && !key.ends_with("preset") && !key.contains("versions");
            let suffix = if is_list {
                format!("-{number}")
            } else {
                String::new()
            };
            site.store.write(&format!("{key}{suffix}"), value);
        }
    }
    site = site.start_prepared(AMPLE_RETRY_SLACK).await;
    check_followed(&mut site, "at-the-start").await;
    for (number, value) in values.iter().enumerate() {
        site.store.write("zinniahatch/preset", value);
        check_followed(&mut site, &format!("preset-{number}")).await;
    }
    for kind in RAW_KINDS {
        for key in KEYS.into_iter().filter(|key| key.ends_with("odd")) {
            let key = format!("{key}-{kind}");
            site.store.write_raw(&key, &raw_item(kind, &key));
        }
    }
    check_started_again(&mut site).await;
}

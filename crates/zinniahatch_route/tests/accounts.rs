//! Client accounts: the owner of a key, the regions that may serve, the units that a request uses,
//! and for how long keys are trusted.

mod common;

use common::desired_state;
use common::route;
use std::collections::BTreeSet;
use std::time::Duration;
use test_case::test_case;
use zinniahatch_base::KeyDigest;
use zinniahatch_route::AccountTable;
use zinniahatch_route::Allowance;
use zinniahatch_route::AllowanceUnit;
use zinniahatch_route::DesiredAccount;
use zinniahatch_route::KeyFreshness;
use zinniahatch_route::KeyLookup;
use zinniahatch_route::PromptSize;
use zinniahatch_route::common_homes;

fn account(name: &str, keys: &[&str], homes: &[&str]) -> DesiredAccount {
    DesiredAccount {
        name: name.into(),
        keys: keys.iter().map(|key| digest(key)).collect(),
        priority: None,
        homes: homes.iter().map(|home| (*home).into()).collect(),
        allowance: None,
    }
}

fn digest(key: &str) -> KeyDigest {
    KeyDigest::of(key.as_bytes())
}

fn table(version: u64, accounts: Vec<DesiredAccount>, before: &AccountTable) -> AccountTable {
    let mut desired = desired_state(version, Vec::new());
    desired.accounts = accounts;
    AccountTable::new(&desired, before)
}

/// A key that is revoked, and assigned to another account in a later version, is resolved by each
/// version on its own. A revoked key is distinguished from one that never existed.
#[test]
fn find_key_by_version() {
    let empty = AccountTable::default();
    assert!(!empty.requires_key());
    let first = table(1, vec![account("a", &["k", "l"], &[])], &empty);
    assert!(first.requires_key() && first.holds(&digest("k"), "a"));
    assert_eq!(first.find(&digest("m")), KeyLookup::Unknown);
    let second = table(2, vec![account("a", &["l"], &[])], &first);
    assert_eq!(second.find(&digest("k")), KeyLookup::Revoked);
    assert!(!second.holds(&digest("k"), "a"));
    let third = table(3, vec![account("b", &["k"], &[])], &second);
    assert!(third.holds(&digest("k"), "b") && !third.holds(&digest("k"), "a"));
    assert_eq!(third.find(&digest("l")), KeyLookup::Revoked);
}

/// Guards against a key that is revoked after thousands of others, while requests with it are in
/// progress, and is taken for one that never existed.
#[test]
fn find_key_revoked_last() {
    const EARLIER: usize = 10_000;
    let names: Vec<String> = (0..EARLIER).map(|number| format!("k{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let first = table(
        1,
        vec![account("old", &names, &[]), account("new", &["zzz"], &[])],
        &AccountTable::default(),
    );
    let second = table(2, vec![account("new", &["zzz"], &[])], &first);
    let third = table(3, vec![account("new", &[], &[])], &second);
    assert_eq!(third.find(&digest("zzz")), KeyLookup::Revoked);
}

/// Guards against a forwarded request whose key this node never knew, and which continues after the
/// key was revoked.
#[test]
fn still_holds_unknown_key_until_caught_up() {
    let fourth = table(4, vec![account("a", &["l"], &[])], &AccountTable::default());
    assert!(fourth.still_holds(&digest("k"), "a", 5, 4));
    let sixth = table(6, vec![account("a", &["l"], &[])], &fourth);
    assert_eq!(sixth.find(&digest("k")), KeyLookup::Unknown);
    assert!(!sixth.still_holds(&digest("k"), "a", 5, 6));
    assert!(sixth.still_holds(&digest("l"), "a", 5, 6));
}

#[test]
fn key_digest_debug_hides_value() {
    assert_eq!(format!("{:?}", digest("k")), "KeyDigest");
    assert_eq!(KeyDigest::parse(&digest("k").hex()), Some(digest("k")));
    assert_eq!(KeyDigest::parse("zz"), None);
}

/// The homes of route and account both apply; if they have none in common, no region may serve the
/// request.
#[test_case(&[], None, Some(&[]); "neither")]
#[test_case(&["n", "s"], None, Some(&["n", "s"]); "route")]
#[test_case(&[], Some(&["n"]), Some(&["n"]); "account")]
#[test_case(&["n", "s"], Some(&["n", "w"]), Some(&["n"]); "both")]
#[test_case(&["n", "s"], Some(&["w"]), None; "nothing_in_common")]
#[test_case(&["n"], Some(&[]), Some(&["n"]); "account_without")]
fn common_homes_of_route_and_account(
    of_route: &[&str],
    of_account: Option<&[&str]>,
    expected: Option<&[&str]>,
) {
    let set = |homes: &[&str]| -> BTreeSet<Box<str>> {
        homes.iter().map(|home| (*home).into()).collect()
    };
    let mut route = route("r", "h", "/", "s");
    route.homes = set(of_route);
    let account = of_account.map(|homes| account("a", &[], homes));
    let homes = common_homes(&route, account.as_ref());
    assert_eq!(homes, expected.map(set));
}

#[test_case(AllowanceUnit::Requests, 900, 50, 1; "requests")]
#[test_case(AllowanceUnit::Tokens, 900, 50, 950; "tokens")]
#[test_case(AllowanceUnit::Tokens, 0, 0, 200; "tokens_not_told")]
fn charge_of(unit: AllowanceUnit, tokens_in: u32, tokens_out: u32, expected: u64) {
    let allowance = Allowance {
        unit,
        rate: 1.0,
        burst: 1.0,
        plain_tokens: 200,
    };
    let size = PromptSize {
        tokens_in,
        tokens_out,
        ..PromptSize::default()
    };
    assert_eq!(allowance.charge(&size), expected);
}

const BOUND: Duration = Duration::from_secs(5);

fn at(millis: u64) -> Duration {
    Duration::from_millis(100_000 + millis)
}

/// Guards against a revoked key that a node accepts while it is cut off from the store and from all
/// other nodes: 5 s after a revocation the key must not be accepted anywhere, so the node stops in
/// time on its own.
#[test]
fn proof_expires_before_the_bound() {
    let mut freshness = KeyFreshness::default();
    assert!(!freshness.is_fresh(BOUND, at(0)));
    freshness.record(3, at(0), 3);
    assert!(freshness.is_fresh(BOUND, at(4_400)));
    assert!(!freshness.is_fresh(BOUND, at(4_600)));
    // A response to an earlier call that arrives late does not extend the proof.
    freshness.record(3, at(0), 3);
    assert!(!freshness.is_fresh(BOUND, at(4_600)));
}

/// A peer reports as the newest a version that this node does not know yet. That proves nothing
/// about the keys that the node knows until it uses that version.
#[test]
fn proof_of_newer_version_waits_for_update() {
    let mut freshness = KeyFreshness::default();
    freshness.record(3, at(0), 3);
    freshness.record(4, at(4_000), 3);
    assert!(!freshness.is_fresh(BOUND, at(4_600)));
    freshness.set_version(4);
    assert!(freshness.is_fresh(BOUND, at(8_000)));
}

/// Guards against a proof that becomes younger as nodes pass it on: each node dates it back from
/// when it sent its own request, so that network delay and queueing make it older, never younger.
#[test]
fn proof_ages_in_transit() {
    let (mut first, mut second) = (KeyFreshness::default(), KeyFreshness::default());
    first.record(3, at(0), 3);
    let shared = first.to_share(at(1_000)).expect("a proof was recorded");
    assert_eq!(shared.age_ms, 1_000);
    // Requested at 900, answered at 1,000, received at 9,000.
    second.merge(shared, at(900), 3);
    assert_eq!(second.age(at(9_000)), Some(Duration::from_millis(9_100)));
    assert!(!second.is_fresh(BOUND, at(9_000)));
    assert!(second.is_fresh(BOUND, at(2_000)));
}

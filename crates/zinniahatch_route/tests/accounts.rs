//! Client accounts: whose key it is, which regions may serve, what a request uses, and for how long keys are trusted.

mod common;

use common::route;
use common::state;
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
    let mut desired = state(version, Vec::new());
    desired.accounts = accounts;
    AccountTable::new(&desired, before)
}

/// A key is taken away, and is given to another account in a later version. Each version decides for itself, and one
/// that was taken away is told from one that nobody ever had.
#[test]
fn keys_follow_their_version() {
    let none = AccountTable::default();
    assert!(!none.requires_key());
    let first = table(1, vec![account("a", &["k", "l"], &[])], &none);
    assert!(first.requires_key() && first.holds(&digest("k"), "a"));
    assert_eq!(first.find(&digest("m")), KeyLookup::Unknown);
    let second = table(2, vec![account("a", &["l"], &[])], &first);
    assert_eq!(second.find(&digest("k")), KeyLookup::Revoked);
    assert!(!second.holds(&digest("k"), "a"));
    let third = table(3, vec![account("b", &["k"], &[])], &second);
    assert!(third.holds(&digest("k"), "b") && !third.holds(&digest("k"), "a"));
    assert_eq!(third.find(&digest("l")), KeyLookup::Revoked);
}

/// Guards against a key that is taken away after thousands of others and runs on, taken for one that never was.
#[test]
fn key_taken_away_last_is_remembered() {
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

/// Guards against a forwarded request whose key this node never knew, and that runs on after the key was taken away.
#[test]
fn key_never_known_here_is_judged_once_the_node_is_as_new() {
    let fourth = table(4, vec![account("a", &["l"], &[])], &AccountTable::default());
    assert!(fourth.still_holds(&digest("k"), "a", 5, 4));
    let sixth = table(6, vec![account("a", &["l"], &[])], &fourth);
    assert_eq!(sixth.find(&digest("k")), KeyLookup::Unknown);
    assert!(!sixth.still_holds(&digest("k"), "a", 5, 6));
    assert!(sixth.still_holds(&digest("l"), "a", 5, 6));
}

#[test]
fn key_digests_show_nothing() {
    assert_eq!(format!("{:?}", digest("k")), "KeyDigest");
    assert_eq!(KeyDigest::parse(&digest("k").hex()), Some(digest("k")));
    assert_eq!(KeyDigest::parse("zz"), None);
}

/// The homes of route and account both bind; where they have none in common, nobody may serve the request.
#[test_case(&[], None, Some(&[]); "neither")]
#[test_case(&["n", "s"], None, Some(&["n", "s"]); "route")]
#[test_case(&[], Some(&["n"]), Some(&["n"]); "account")]
#[test_case(&["n", "s"], Some(&["n", "w"]), Some(&["n"]); "both")]
#[test_case(&["n", "s"], Some(&["w"]), None; "nothing_in_common")]
#[test_case(&["n"], Some(&[]), Some(&["n"]); "account_without")]
fn homes_of_both_bind(of_route: &[&str], of_account: Option<&[&str]>, expected: Option<&[&str]>) {
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

/// A node is cut off from the store and from all others. A key that is taken away meanwhile must run nowhere 5 s
/// later; the node stops in time by itself.
#[test]
fn proof_lapses_before_the_bound() {
    let mut book = KeyFreshness::default();
    assert!(!book.is_fresh(BOUND, at(0)));
    book.record(3, at(0), 3);
    assert!(book.is_fresh(BOUND, at(4_400)));
    assert!(!book.is_fresh(BOUND, at(4_600)));
    // An answer that was asked for earlier and comes late proves no more.
    book.record(3, at(0), 3);
    assert!(!book.is_fresh(BOUND, at(4_600)));
}

/// A peer says that a version this node does not know yet is the newest. That is no proof of the keys that the node
/// knows; once it follows the version, it is.
#[test]
fn proof_of_a_newer_version_waits_for_it() {
    let mut book = KeyFreshness::default();
    book.record(3, at(0), 3);
    book.record(4, at(4_000), 3);
    assert!(!book.is_fresh(BOUND, at(4_600)));
    book.set_version(4);
    assert!(book.is_fresh(BOUND, at(8_000)));
}

/// A proof goes from node to node. Each counts its age from when it had itself asked the other, so that time on the
/// way, or in a queue, makes it older and never younger.
#[test]
fn proof_ages_on_its_way() {
    let (mut first, mut second) = (KeyFreshness::default(), KeyFreshness::default());
    first.record(3, at(0), 3);
    let told = first.to_share(at(1_000)).expect("there is one");
    assert_eq!(told.age_ms, 1_000);
    // Asked at 900, answered at 1,000, heard at 9,000.
    second.merge(told, at(900), 3);
    assert_eq!(second.age(at(9_000)), Some(Duration::from_millis(9_100)));
    assert!(!second.is_fresh(BOUND, at(9_000)));
    assert!(second.is_fresh(BOUND, at(2_000)));
}

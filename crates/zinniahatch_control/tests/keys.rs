//! Idempotency keys, with a fuzz test against a simple model.

use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;
use test_case::test_case;
use zinniahatch_control::KeyClaim;
use zinniahatch_control::KeyRefusal;
use zinniahatch_control::KeyTable;
use zinniahatch_control::MintedKey;

const VALID: Duration = Duration::from_secs(100);

fn table(now: Instant) -> KeyTable<u32> {
    KeyTable::new("n1", 7, [3; 32], now, VALID)
}

fn parse(text: &str) -> MintedKey {
    MintedKey::parse(text).expect("issued keys can be parsed")
}

#[test_case("zk1.n1.7.1.0"; "no code")]
#[test_case("zk2.n1.7.1.0.aa"; "another version")]
#[test_case("zk1.n1.7.1.0.aa.bb"; "a field too many")]
#[test_case("zk1.n1.7.x.0.aa"; "no number")]
#[test_case(""; "empty")]
fn parse_refuses(text: &str) {
    assert_eq!(MintedKey::parse(text), None);
}

#[test]
fn claim_once_runs_once() {
    let now = Instant::now();
    let mut table = table(now);
    let key = parse(&table.mint(now, "a"));
    assert_eq!(table.claim(now, &key, "a", "d"), KeyClaim::Fresh);
    assert_eq!(table.claim(now, &key, "a", "d"), KeyClaim::Running);
    table.record_response(key.number, 42);
    assert_eq!(table.claim(now, &key, "a", "d"), KeyClaim::Answered(42));
}

#[test]
fn claim_other_account_or_body_is_refused() {
    let now = Instant::now();
    let mut table = table(now);
    let key = parse(&table.mint(now, "a"));
    assert_eq!(
        table.claim(now, &key, "b", "d"),
        KeyClaim::Refused(KeyRefusal::Foreign)
    );
    assert_eq!(table.claim(now, &key, "a", "d"), KeyClaim::Fresh);
    assert_eq!(
        table.claim(now, &key, "a", "e"),
        KeyClaim::Refused(KeyRefusal::Reused)
    );
}

#[test]
fn claim_forged_code_is_refused() {
    let now = Instant::now();
    let mut table = table(now);
    let text = table.mint(now, "a");
    let forged = text.replace(".1.0.", ".2.0.");
    assert_eq!(
        table.claim(now, &parse(&forged), "a", "d"),
        KeyClaim::Refused(KeyRefusal::Foreign)
    );
}

/// Guards against a request running twice hours apart: its key was used, evicted to bound memory
/// and then sent again. A key never starts a request after its validity.
#[test]
fn claim_past_validity_never_starts() {
    let now = Instant::now();
    let mut table = table(now);
    let key = parse(&table.mint(now, "a"));
    assert_eq!(table.claim(now, &key, "a", "d"), KeyClaim::Fresh);
    table.record_response(key.number, 1);
    let late = now + VALID * 3;
    table.sweep(late, Duration::ZERO);
    assert!(table.is_empty());
    assert_eq!(table.claim(late, &key, "a", "d"), KeyClaim::Lost);
}

/// Guards against a retry and a late copy of a request both running after the caller was told
/// "not run". The key is marked before the caller is told, and stays so.
#[test]
fn claim_not_run_stays_not_run() {
    let now = Instant::now();
    let mut table = table(now);
    let key = parse(&table.mint(now, "a"));
    assert_eq!(table.claim(now, &key, "a", "d"), KeyClaim::Fresh);
    table.mark_not_run(key.number);
    assert_eq!(
        table.claim(now, &key, "a", "d"),
        KeyClaim::Refused(KeyRefusal::NotRun)
    );
}

/// Guards against a request running again because its response was evicted. Beyond a memory limit
/// the oldest responses are evicted, but their keys stay used.
#[test]
fn trim_responses_keeps_keys_used() {
    let mut now = Instant::now();
    let mut table = table(now);
    let mut keys = Vec::new();
    for _ in 0..4 {
        let key = parse(&table.mint(now, "a"));
        assert_eq!(table.claim(now, &key, "a", "d"), KeyClaim::Fresh);
        table.record_response(key.number, 10);
        keys.push(key);
        now += Duration::from_secs(1);
    }
    table.trim_responses(20, |size| *size as usize);
    let claims: Vec<_> = keys
        .iter()
        .map(|key| table.claim(now, key, "a", "d"))
        .collect();
    assert_eq!(
        claims,
        [
            KeyClaim::Lost,
            KeyClaim::Lost,
            KeyClaim::Answered(10),
            KeyClaim::Answered(10)
        ]
    );
}

#[derive(Clone, Debug)]
enum KeyStep {
    Mint,
    Claim(usize, u8),
    RecordResponse(usize),
    MarkLost(usize),
    MarkNotRun(usize),
    HandOver,
    Sweep,
    Wait(u8),
}

fn key_step() -> impl Strategy<Value = KeyStep> {
    prop_oneof![
        4 => Just(KeyStep::Mint),
        8 => (0..8_usize, 0..2_u8).prop_map(|(key, digest)| KeyStep::Claim(key, digest)),
        2 => (0..8_usize).prop_map(KeyStep::RecordResponse),
        1 => (0..8_usize).prop_map(KeyStep::MarkLost),
        1 => (0..8_usize).prop_map(KeyStep::MarkNotRun),
        1 => Just(KeyStep::HandOver),
        1 => Just(KeyStep::Sweep),
        2 => (0..60_u8).prop_map(KeyStep::Wait),
    ]
}

/// State of a key in the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeyState {
    Running(u8),
    Ended(u8),
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Across handovers, evictions and time, a key starts at most one request in any table, and a
    /// different request with the same key never starts or gets the response of the first one.
    #[test]
    fn claim_fuzz(steps in proptest::collection::vec(key_step(), 1..80)) {
        let mut now = Instant::now();
        let mut tables = vec![table(now)];
        let mut keys: Vec<MintedKey> = Vec::new();
        let mut model: BTreeMap<u64, KeyState> = BTreeMap::new();
        for step in steps {
            let last = tables.len() - 1;
            match step {
                KeyStep::Mint => {
                    let text = tables[0].mint(now, "a");
                    if last == 0 {
                        keys.push(parse(&text));
                    }
                }
                KeyStep::Claim(index, digest) => {
                    let Some(key) = keys.get(index).cloned() else {
                        continue;
                    };
                    // A request may reach any table that ever held the key.
                    for table in &mut tables {
                        let claim = table.claim(now, &key, "a", &digest.to_string());
                        let state = model.get(&key.number).copied();
                        match (claim, state) {
                            (KeyClaim::Fresh, None) => {
                                model.insert(key.number, KeyState::Running(digest));
                            }
                            (KeyClaim::Fresh, Some(_)) => prop_assert!(false, "key {} started twice", key.number),
                            (KeyClaim::Answered(response), Some(KeyState::Ended(recorded))) => {
                                prop_assert_eq!((u64::from(response), recorded), (key.number, digest));
                            }
                            (KeyClaim::Answered(_), state) => prop_assert!(false, "unexpected response in state {:?}", state),
                            (KeyClaim::Running | KeyClaim::Closed | KeyClaim::Lost | KeyClaim::Refused(_), _) => {}
                        }
                    }
                }
                KeyStep::RecordResponse(index) => {
                    if let Some(key) = keys.get(index)
                        && let Some(KeyState::Running(digest)) = model.get(&key.number).copied()
                    {
                        tables[last].record_response(key.number, u32::try_from(key.number).unwrap_or(0));
                        model.insert(key.number, KeyState::Ended(digest));
                    }
                }
                KeyStep::MarkLost(index) => {
                    if let Some(key) = keys.get(index)
                        && let Some(KeyState::Running(_)) = model.get(&key.number)
                    {
                        tables[last].mark_lost(key.number);
                    }
                }
                KeyStep::MarkNotRun(index) => {
                    if let Some(key) = keys.get(index)
                        && let Some(KeyState::Running(_)) = model.get(&key.number)
                    {
                        tables[last].mark_not_run(key.number);
                    }
                }
                KeyStep::HandOver => {
                    let (secret, age, entries) = tables[last].close(now);
                    tables.push(KeyTable::inherit("n1", 7, secret, age, now, VALID, entries));
                }
                KeyStep::Sweep => {
                    for table in &mut tables {
                        table.sweep(now, Duration::ZERO);
                    }
                }
                KeyStep::Wait(seconds) => now += Duration::from_secs(u64::from(seconds)),
            }
        }
    }
}

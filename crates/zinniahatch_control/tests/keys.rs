//! Keys of requests that may not be repeated, against a simple oracle.

use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;
use test_case::test_case;
use zinniahatch_control::KeyBook;
use zinniahatch_control::KeyClaim;
use zinniahatch_control::KeyRefusal;
use zinniahatch_control::MintedKey;

const VALID: Duration = Duration::from_secs(100);

fn book(now: Instant) -> KeyBook<u32> {
    KeyBook::new("n1", 7, [3; 32], now, VALID)
}

fn parse(text: &str) -> MintedKey {
    MintedKey::parse(text).expect("the book makes keys that can be read")
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
    let mut book = book(now);
    let key = parse(&book.mint(now, "a"));
    assert_eq!(book.claim(now, &key, "a", "d"), KeyClaim::Fresh);
    assert_eq!(book.claim(now, &key, "a", "d"), KeyClaim::Running);
    book.answer(key.number, 42);
    assert_eq!(book.claim(now, &key, "a", "d"), KeyClaim::Answered(42));
}

#[test]
fn claim_other_account_or_body_is_refused() {
    let now = Instant::now();
    let mut book = book(now);
    let key = parse(&book.mint(now, "a"));
    assert_eq!(
        book.claim(now, &key, "b", "d"),
        KeyClaim::Refused(KeyRefusal::Foreign)
    );
    assert_eq!(book.claim(now, &key, "a", "d"), KeyClaim::Fresh);
    assert_eq!(
        book.claim(now, &key, "a", "e"),
        KeyClaim::Refused(KeyRefusal::Reused)
    );
}

#[test]
fn claim_forged_code_is_refused() {
    let now = Instant::now();
    let mut book = book(now);
    let text = book.mint(now, "a");
    let forged = text.replace(".1.0.", ".2.0.");
    assert_eq!(
        book.claim(now, &parse(&forged), "a", "d"),
        KeyClaim::Refused(KeyRefusal::Foreign)
    );
}

/// A reorder runs a second time hours later. Its key was used, forgotten to bound the memory,
/// and then sent again. Past its validity a key never starts anything.
#[test]
fn claim_past_validity_never_starts() {
    let now = Instant::now();
    let mut book = book(now);
    let key = parse(&book.mint(now, "a"));
    assert_eq!(book.claim(now, &key, "a", "d"), KeyClaim::Fresh);
    book.answer(key.number, 1);
    let late = now + VALID * 3;
    book.sweep(late, Duration::ZERO);
    assert!(book.is_empty());
    assert_eq!(book.claim(late, &key, "a", "d"), KeyClaim::Lost);
}

/// A caller is told "not run", sends the same key again, and both it and a late copy run. The
/// key is buried before the caller hears it, and nothing digs it up.
#[test]
fn claim_buried_stays_buried() {
    let now = Instant::now();
    let mut book = book(now);
    let key = parse(&book.mint(now, "a"));
    assert_eq!(book.claim(now, &key, "a", "d"), KeyClaim::Fresh);
    book.bury(key.number);
    assert_eq!(
        book.claim(now, &key, "a", "d"),
        KeyClaim::Refused(KeyRefusal::Buried)
    );
}

/// A node's memory grows with every kept answer. The oldest answers are forgotten beyond a limit,
/// but their keys stay used: forgetting an answer must not let its request run again.
#[test]
fn fit_answers_keeps_keys_used() {
    let mut now = Instant::now();
    let mut book = book(now);
    let mut keys = Vec::new();
    for _ in 0..4 {
        let key = parse(&book.mint(now, "a"));
        assert_eq!(book.claim(now, &key, "a", "d"), KeyClaim::Fresh);
        book.answer(key.number, 10);
        keys.push(key);
        now += Duration::from_secs(1);
    }
    book.fit_answers(20, |size| *size as usize);
    let claims: Vec<_> = keys
        .iter()
        .map(|key| book.claim(now, key, "a", "d"))
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
    Answer(usize),
    Lose(usize),
    Bury(usize),
    HandOver,
    Sweep,
    Wait(u8),
}

fn key_step() -> impl Strategy<Value = KeyStep> {
    prop_oneof![
        4 => Just(KeyStep::Mint),
        8 => (0..8_usize, 0..2_u8).prop_map(|(key, digest)| KeyStep::Claim(key, digest)),
        2 => (0..8_usize).prop_map(KeyStep::Answer),
        1 => (0..8_usize).prop_map(KeyStep::Lose),
        1 => (0..8_usize).prop_map(KeyStep::Bury),
        1 => Just(KeyStep::HandOver),
        1 => Just(KeyStep::Sweep),
        2 => (0..60_u8).prop_map(KeyStep::Wait),
    ]
}

/// What the oracle knows of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OracleKey {
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

    /// Over hand-overs, sweeps and time, a key starts at most one request, in whichever book, and
    /// a second request under it is never started or answered with the first one's answer.
    #[test]
    fn claim_fuzz(steps in proptest::collection::vec(key_step(), 1..80)) {
        let mut now = Instant::now();
        let mut books = vec![book(now)];
        let mut keys: Vec<MintedKey> = Vec::new();
        let mut oracle: BTreeMap<u64, OracleKey> = BTreeMap::new();
        for step in steps {
            let last = books.len() - 1;
            match step {
                KeyStep::Mint => {
                    let text = books[0].mint(now, "a");
                    if last == 0 {
                        keys.push(parse(&text));
                    }
                }
                KeyStep::Claim(index, digest) => {
                    let Some(key) = keys.get(index).cloned() else {
                        continue;
                    };
                    // A call may reach any book that ever held the key.
                    for book in &mut books {
                        let claim = book.claim(now, &key, "a", &digest.to_string());
                        let known = oracle.get(&key.number).copied();
                        match (claim, known) {
                            (KeyClaim::Fresh, None) => {
                                oracle.insert(key.number, OracleKey::Running(digest));
                            }
                            (KeyClaim::Fresh, Some(_)) => prop_assert!(false, "key {} started twice", key.number),
                            (KeyClaim::Answered(answer), Some(OracleKey::Ended(first))) => {
                                prop_assert_eq!((u64::from(answer), first), (key.number, digest));
                            }
                            (KeyClaim::Answered(_), known) => prop_assert!(false, "an answer of {:?}", known),
                            (KeyClaim::Running | KeyClaim::Closed | KeyClaim::Lost | KeyClaim::Refused(_), _) => {}
                        }
                    }
                }
                KeyStep::Answer(index) => {
                    if let Some(key) = keys.get(index)
                        && let Some(OracleKey::Running(digest)) = oracle.get(&key.number).copied()
                    {
                        books[last].answer(key.number, u32::try_from(key.number).unwrap_or(0));
                        oracle.insert(key.number, OracleKey::Ended(digest));
                    }
                }
                KeyStep::Lose(index) => {
                    if let Some(key) = keys.get(index)
                        && let Some(OracleKey::Running(_)) = oracle.get(&key.number)
                    {
                        books[last].lose(key.number);
                    }
                }
                KeyStep::Bury(index) => {
                    if let Some(key) = keys.get(index)
                        && let Some(OracleKey::Running(_)) = oracle.get(&key.number)
                    {
                        books[last].bury(key.number);
                    }
                }
                KeyStep::HandOver => {
                    let (secret, age, lines) = books[last].close(now);
                    books.push(KeyBook::inherit("n1", 7, secret, age, now, VALID, lines));
                }
                KeyStep::Sweep => {
                    for book in &mut books {
                        book.sweep(now, Duration::ZERO);
                    }
                }
                KeyStep::Wait(seconds) => now += Duration::from_secs(u64::from(seconds)),
            }
        }
    }
}

//! The configuration that a node holds only moves forward, and only as a whole.

#[allow(dead_code, reason = "each test file uses a part of the fake")]
mod fake;

use fake::config;
use std::time::Duration;
use std::time::Instant;
use zinniahatch_base::digest_text;
use zinniahatch_config::ConfigHead;
use zinniahatch_control::ConfigLedger;
use zinniahatch_control::LedgerStep;
use zinniahatch_protocol::NodeMessage;

fn head_at(revision: u64) -> (ConfigHead, Vec<Box<str>>) {
    let (head, texts) = config(1, 4);
    (
        ConfigHead { revision, ..head },
        texts.into_values().collect(),
    )
}

fn holding(revision: u64) -> ConfigLedger {
    let (head, texts) = head_at(revision);
    let mut ledger = ConfigLedger::default();
    ledger.take_head(head);
    assert!(matches!(ledger.take_parts(texts), LedgerStep::Adopted(_)));
    ledger
}

/// After a repair of the store the preset of last week is in force again. The store was restored
/// from an older copy and shows a lower revision. Nobody goes back.
#[test]
fn take_head_older_is_ignored() {
    let mut ledger = holding(5);
    let (older, texts) = head_at(3);
    assert!(matches!(ledger.take_head(older), LedgerStep::Nothing));
    ledger.take_parts(texts);
    assert_eq!(ledger.revision(), 5);
}

#[test]
fn take_head_with_missing_parts_asks_for_them() {
    let (head, texts) = head_at(1);
    let mut ledger = ConfigLedger::default();
    let LedgerStep::Reply(NodeMessage::PartPull(wanted)) = ledger.take_head(head) else {
        panic!("the parts are asked for");
    };
    assert_eq!(wanted.len(), texts.len());
    for (index, text) in texts.iter().enumerate() {
        assert_eq!(
            ledger.revision(),
            0,
            "nothing is in force before all parts are there"
        );
        ledger.take_parts(vec![text.clone()]);
        assert_eq!(
            ledger.missing().len(),
            if index + 1 == texts.len() {
                0
            } else {
                texts.len() - index - 1
            }
        );
    }
    assert_eq!(ledger.revision(), 1);
}

/// One node obeys other rules than the rest under the same revision. A peer offered a part with
/// other content. A part is kept under the digest of what it says, so it is not the one asked for.
#[test]
fn take_parts_with_other_content_is_not_used() {
    let (head, mut texts) = head_at(1);
    let mut ledger = ConfigLedger::default();
    ledger.take_head(head);
    let last = texts.pop().expect("there are parts");
    ledger.take_parts(texts);
    ledger.take_parts(vec![format!("{last}\n").into()]);
    assert_eq!(ledger.revision(), 0);
    ledger.take_parts(vec![last]);
    assert_eq!(ledger.revision(), 1);
}

/// A node drops to nothing when a newer revision cannot be read. It keeps the one it holds.
#[test]
fn take_head_unreadable_keeps_the_old_one() {
    let mut ledger = holding(1);
    let (mut head, _) = head_at(2);
    let wrong = "[region\n";
    head.parts.insert("topology".into(), digest_text(wrong));
    ledger.take_head(head);
    assert!(matches!(
        ledger.take_parts(vec![wrong.into()]),
        LedgerStep::Refused(_)
    ));
    assert_eq!(ledger.revision(), 1);
    assert!(ledger.config().services.contains_key("llm"));
}

/// At design size the node that has a change first is asked for it by all others in one second.
/// They wait unequally long; a fresh node, which cannot serve, does not wait.
#[test]
fn wants_pull_waits_its_own_time() {
    let now = Instant::now();
    let later = |millis| now + Duration::from_millis(millis);
    let mut fresh = ConfigLedger::default();
    fresh.set_patience(Duration::from_millis(500));
    assert!(fresh.wants_pull(now, &"a".into(), 1));
    let mut ledger = holding(1);
    ledger.set_patience(Duration::from_millis(500));
    assert!(!ledger.wants_pull(now, &"a".into(), 2));
    assert!(!ledger.wants_pull(later(400), &"b".into(), 2));
    assert!(ledger.wants_pull(later(600), &"b".into(), 2));
    assert!(
        !ledger.wants_pull(later(700), &"c".into(), 2),
        "one peer is asked at a time"
    );
    assert!(
        ledger.wants_pull(later(1_400), &"c".into(), 2),
        "another is asked when it does not answer"
    );
}

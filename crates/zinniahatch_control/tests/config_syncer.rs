//! A node's configuration revision only increases, and only complete revisions take effect.

#[allow(dead_code, reason = "each test file uses a part of the fake")]
mod fake;

use fake::config;
use std::time::Duration;
use std::time::Instant;
use zinniahatch_base::digest_text;
use zinniahatch_config::ConfigHead;
use zinniahatch_control::ConfigSyncer;
use zinniahatch_control::SyncStep;
use zinniahatch_protocol::NodeMessage;

fn head_at(revision: u64) -> (ConfigHead, Vec<Box<str>>) {
    let (head, texts) = config(1, 4);
    (
        ConfigHead { revision, ..head },
        texts.into_values().collect(),
    )
}

fn syncer_at(revision: u64) -> ConfigSyncer {
    let (head, texts) = head_at(revision);
    let mut syncer = ConfigSyncer::default();
    syncer.apply_head(head);
    assert!(matches!(syncer.apply_parts(texts), SyncStep::Adopted(_)));
    syncer
}

/// Guards against an old preset taking effect after the store was restored from a backup: the
/// store then has a lower revision, which nodes must ignore.
#[test]
fn apply_head_older_is_ignored() {
    let mut syncer = syncer_at(5);
    let (older, texts) = head_at(3);
    assert!(matches!(syncer.apply_head(older), SyncStep::Nothing));
    syncer.apply_parts(texts);
    assert_eq!(syncer.revision(), 5);
}

#[test]
fn apply_head_with_missing_parts_requests_them() {
    let (head, texts) = head_at(1);
    let mut syncer = ConfigSyncer::default();
    let SyncStep::Reply(NodeMessage::PartPull(wanted)) = syncer.apply_head(head) else {
        panic!("the missing parts must be requested");
    };
    assert_eq!(wanted.len(), texts.len());
    for (index, text) in texts.iter().enumerate() {
        assert_eq!(
            syncer.revision(),
            0,
            "no revision may be in force before all parts are present"
        );
        syncer.apply_parts(vec![text.clone()]);
        assert_eq!(
            syncer.missing().len(),
            if index + 1 == texts.len() {
                0
            } else {
                texts.len() - index - 1
            }
        );
    }
    assert_eq!(syncer.revision(), 1);
}

/// Guards against nodes with different content under the same revision: a peer sent a part with
/// other content. Parts are stored under the digest of their content, so it does not match.
#[test]
fn apply_parts_with_other_content_is_not_used() {
    let (head, mut texts) = head_at(1);
    let mut syncer = ConfigSyncer::default();
    syncer.apply_head(head);
    let last = texts.pop().expect("the configuration has parts");
    syncer.apply_parts(texts);
    syncer.apply_parts(vec![format!("{last}\n").into()]);
    assert_eq!(syncer.revision(), 0);
    syncer.apply_parts(vec![last]);
    assert_eq!(syncer.revision(), 1);
}

/// Guards against a node losing its configuration when a newer revision is invalid: it must keep
/// the revision in force.
#[test]
fn apply_head_invalid_keeps_the_old_one() {
    let mut syncer = syncer_at(1);
    let (mut head, _) = head_at(2);
    let wrong = "[region\n";
    head.parts.insert("topology".into(), digest_text(wrong));
    syncer.apply_head(head);
    assert!(matches!(
        syncer.apply_parts(vec![wrong.into()]),
        SyncStep::Refused(_)
    ));
    assert_eq!(syncer.revision(), 1);
    assert!(syncer.config().services.contains_key("llm"));
}

/// Guards against all nodes pulling a change within one second from the node that has it first.
/// Their delays differ; a new node, which cannot serve yet, pulls at once.
#[test]
fn should_pull_waits_for_its_own_delay() {
    let now = Instant::now();
    let later = |millis| now + Duration::from_millis(millis);
    let mut fresh = ConfigSyncer::default();
    fresh.set_pull_delay(Duration::from_millis(500));
    assert!(fresh.should_pull(now, &"a".into(), 1));
    let mut syncer = syncer_at(1);
    syncer.set_pull_delay(Duration::from_millis(500));
    assert!(!syncer.should_pull(now, &"a".into(), 2));
    assert!(!syncer.should_pull(later(400), &"b".into(), 2));
    assert!(syncer.should_pull(later(600), &"b".into(), 2));
    assert!(
        !syncer.should_pull(later(700), &"c".into(), 2),
        "only one pull may be in flight"
    );
    assert!(
        syncer.should_pull(later(1_400), &"c".into(), 2),
        "another peer must be tried after the timeout"
    );
}

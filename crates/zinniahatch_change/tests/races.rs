//! Operators' races and lost answers, judged against a simple oracle.

use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use test_case::test_case;
use zinniahatch_change::ChangeError;
use zinniahatch_change::ChangeOutcome;
use zinniahatch_change::ChangeRequest;
use zinniahatch_change::ConfigUpdater;
use zinniahatch_change::HEAD_KEY;
use zinniahatch_config::ConfigHead;
use zinniahatch_platform::PutOutcome;
use zinniahatch_platform::StoreClient;
use zinniahatch_platform::StoreError;
use zinniahatch_platform::StoreLease;
use zinniahatch_platform::StoredValue;

/// What becomes of a write of the head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteFate {
    Answered,
    LostAfter,
    LostBefore,
    Refused,
}

#[derive(Default)]
struct FakeData {
    revision: u64,
    values: BTreeMap<String, (u64, String)>,
    fates: Vec<WriteFate>,
    down: bool,
    history: Vec<ConfigHead>,
}

/// A store in memory that loses answers as told.
#[derive(Clone, Default)]
struct FakeStore(Arc<Mutex<FakeData>>);

impl FakeStore {
    fn with<T>(&self, action: impl FnOnce(&mut FakeData) -> T) -> T {
        action(
            &mut self
                .0
                .lock()
                .expect("no test panics while it holds the lock"),
        )
    }
}

impl StoreClient for FakeStore {
    async fn get(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        tokio::task::yield_now().await;
        self.with(|data| {
            if data.down {
                return Err(StoreError::Unavailable("down".into()));
            }
            Ok(data.values.get(key).map(|(revision, value)| StoredValue {
                value: value.as_str().into(),
                revision: *revision,
            }))
        })
    }

    async fn put(
        &self,
        key: &str,
        value: &str,
        expect: Option<u64>,
        _: Option<&str>,
    ) -> Result<PutOutcome, StoreError> {
        tokio::task::yield_now().await;
        self.with(|data| {
            let fate = if key == HEAD_KEY && !data.fates.is_empty() {
                data.fates.remove(0)
            } else {
                WriteFate::Answered
            };
            if data.down || fate == WriteFate::Refused {
                return Err(StoreError::Unavailable("down".into()));
            }
            if fate == WriteFate::LostBefore {
                return Err(StoreError::ResponseLost("before".into()));
            }
            let current = data.values.get(key).map_or(0, |(revision, _)| *revision);
            if expect.is_some_and(|expect| expect != current) {
                return Ok(PutOutcome::Conflict);
            }
            data.revision += 1;
            let revision = data.revision;
            data.values
                .insert(key.to_owned(), (revision, value.to_owned()));
            if key == HEAD_KEY {
                data.history
                    .push(serde_json::from_str(value).expect("the head is JSON"));
            }
            if fate == WriteFate::LostAfter {
                Err(StoreError::ResponseLost("after".into()))
            } else {
                Ok(PutOutcome::Done(revision))
            }
        })
    }

    async fn delete(&self, _: &str) -> Result<(), StoreError> {
        Ok(())
    }

    async fn watch(
        &self,
        key: &str,
        _: u64,
        _: Duration,
    ) -> Result<Option<StoredValue>, StoreError> {
        self.get(key).await
    }

    async fn list(&self, _: &str) -> Result<Vec<Box<str>>, StoreError> {
        Ok(Vec::new())
    }

    async fn grant_lease(&self, _: Duration) -> Result<StoreLease, StoreError> {
        Err(StoreError::Unavailable("no leases here".into()))
    }

    async fn renew_lease(&self, _: &str) -> Result<bool, StoreError> {
        Ok(false)
    }
}

fn preset(title: &str) -> Box<str> {
    format!("[preset]\ntitle = {title}\n[weights]\ncost = 1\ntail = 1\n[classes]\nstandard = 1\n[work]\ninteractive = 0.5\n[away]\nallowed = yes\n[waits]\nwait_limit = 60s\n[budgets]\nretry = 0.1\nhedge = 0\n").into()
}

fn ask(change: &str, expect_revision: u64, part: &str) -> ChangeRequest {
    ChangeRequest {
        change: change.into(),
        expect_revision,
        preset: (expect_revision == 0).then(|| "a".into()),
        parts: BTreeMap::from([(part.into(), Some(preset(change)))]),
        check: false,
    }
}

async fn started(store: &FakeStore) -> ConfigUpdater<FakeStore> {
    let desk = ConfigUpdater::new(store.clone());
    let verdict = desk
        .apply(&ask("first", 0, "preset-a"), "test", |_| None)
        .await;
    assert_eq!(verdict, Ok(ChangeOutcome::Accepted(1)));
    desk
}

/// An operator is told "failed" and applies the change again, and it is in force twice. The
/// store's answer was lost after the swap took effect. The desk looks for the change's id in the
/// head before it says anything.
#[test_case(WriteFate::LostAfter; "lost after it took effect")]
#[test_case(WriteFate::LostBefore; "lost before it took effect")]
#[test_case(WriteFate::Refused; "refused once")]
#[tokio::test(start_paused = true)]
async fn apply_settles(fate: WriteFate) {
    let store = FakeStore::default();
    let desk = started(&store).await;
    store.with(|data| data.fates = vec![fate]);
    let verdict = desk
        .apply(&ask("second", 1, "preset-a"), "test", |_| None)
        .await;
    assert_eq!(verdict, Ok(ChangeOutcome::Accepted(2)));
    assert_eq!(
        store.with(|data| data.history.len()),
        2,
        "it is in force once"
    );
}

/// Two operators switch at once and the later one silently wins. Both read revision 1 and change
/// the same part. The one that loses the swap is told of the conflict; nothing of it remains.
#[tokio::test(start_paused = true)]
async fn apply_same_part_conflicts() {
    let store = FakeStore::default();
    let desk = started(&store).await;
    let (one, two) = (ask("one", 1, "preset-a"), ask("two", 1, "preset-a"));
    let (first, second) = tokio::join!(
        desk.apply(&one, "x", |_| None),
        desk.apply(&two, "y", |_| None)
    );
    let verdicts = [
        first.expect("the store is up"),
        second.expect("the store is up"),
    ];
    let accepted = verdicts
        .iter()
        .filter(|verdict| **verdict == ChangeOutcome::Accepted(2))
        .count();
    assert_eq!(
        (accepted, verdicts.contains(&ChangeOutcome::Conflict(2))),
        (1, true),
        "{verdicts:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn apply_other_part_is_rebased() {
    let store = FakeStore::default();
    let desk = started(&store).await;
    assert_eq!(
        desk.apply(&ask("one", 1, "preset-b"), "x", |_| None).await,
        Ok(ChangeOutcome::Accepted(2))
    );
    assert_eq!(
        desk.apply(&ask("two", 1, "preset-c"), "y", |_| None).await,
        Ok(ChangeOutcome::Accepted(3))
    );
}

#[tokio::test(start_paused = true)]
async fn apply_wrong_part_changes_nothing() {
    let store = FakeStore::default();
    let desk = started(&store).await;
    let mut wrong = ask("wrong", 1, "preset-a");
    wrong
        .parts
        .insert("preset-a".into(), Some("[preset]\ntitle = x\n".into()));
    assert!(matches!(
        desk.apply(&wrong, "x", |_| None).await,
        Err(ChangeError::Invalid(_))
    ));
    assert_eq!(store.with(|data| data.history.len()), 1);
}

/// An operator hears "nothing was changed" of a change that is in force later. Every answer of
/// the store is lost and it cannot be read any more. The desk says "unknown", and the same id
/// settles it once the store is back.
#[tokio::test(start_paused = true)]
async fn apply_unreadable_store_says_unknown() {
    let store = FakeStore::default();
    let desk = started(&store).await;
    store.with(|data| data.fates = vec![WriteFate::LostAfter]);
    let asked = ask("second", 1, "preset-a");
    let watcher = store.clone();
    let breaker = tokio::spawn(async move {
        while watcher.with(|data| data.history.len()) < 2 {
            tokio::task::yield_now().await;
        }
        watcher.with(|data| data.down = true);
    });
    let verdict = desk.apply(&asked, "x", |_| None).await;
    breaker.await.expect("the breaker ends");
    assert_eq!(verdict, Ok(ChangeOutcome::Unknown));
    store.with(|data| data.down = false);
    assert_eq!(
        desk.apply(&asked, "x", |_| None).await,
        Ok(ChangeOutcome::Accepted(2))
    );
}

/// What an operator of the fuzz does.
#[derive(Clone, Debug)]
struct FuzzChange {
    part: u8,
    behind: u8,
    fates: Vec<u8>,
}

fn fuzz_change() -> impl Strategy<Value = FuzzChange> {
    (0..3_u8, 0..3_u8, proptest::collection::vec(0..4_u8, 0..4)).prop_map(
        |(part, behind, fates)| FuzzChange {
            part,
            behind,
            fates,
        },
    )
}

fn fate_of(number: u8) -> WriteFate {
    match number {
        0 => WriteFate::Answered,
        1 => WriteFate::LostAfter,
        2 => WriteFate::LostBefore,
        _ => WriteFate::Refused,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The oracle is the store's own list of heads: revisions rise by one, a change that was
    /// accepted stands in it once, one that was refused stands in it never.
    #[test]
    fn apply_fuzz(rounds in proptest::collection::vec(proptest::collection::vec(fuzz_change(), 1..4), 1..8)) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().expect("a runtime");
        runtime.block_on(async {
            let store = FakeStore::default();
            started(&store).await;
            let mut verdicts = Vec::new();
            for (round, changes) in rounds.iter().enumerate() {
                let revision = store.with(|data| data.history.last().map_or(0, |head| head.revision));
                store.with(|data| data.fates = changes.iter().flat_map(|change| change.fates.iter().map(|fate| fate_of(*fate))).collect());
                let mut tasks = Vec::new();
                for (index, change) in changes.iter().enumerate() {
                    let desk = ConfigUpdater::new(store.clone());
                    let name = format!("c{round}-{index}");
                    let asked = ask(&name, revision.saturating_sub(u64::from(change.behind)).max(1), &format!("preset-{}", change.part));
                    tasks.push(tokio::spawn(async move { (name, desk.apply(&asked, "x", |_| None).await) }));
                }
                for task in tasks {
                    verdicts.push(task.await.expect("a change does not panic"));
                }
            }
            let history = store.with(|data| data.history.clone());
            for (index, head) in history.iter().enumerate() {
                prop_assert_eq!(head.revision, index as u64 + 1);
            }
            for (name, verdict) in verdicts {
                let made: Vec<u64> = history.iter().filter(|head| head.changes.last().is_some_and(|note| *note.change == *name)).map(|head| head.revision).collect();
                match verdict {
                    Ok(ChangeOutcome::Accepted(revision)) => prop_assert_eq!(made, vec![revision]),
                    Ok(ChangeOutcome::Conflict(_)) | Err(_) => prop_assert!(made.is_empty(), "{} was refused and is in force", name),
                    Ok(ChangeOutcome::Unknown) => prop_assert!(made.len() <= 1),
                    Ok(ChangeOutcome::Checked) => prop_assert!(false, "nothing was only checked"),
                }
            }
            Ok(())
        })?;
    }
}

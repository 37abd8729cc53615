//! Concurrent changes and lost store responses, checked against the history of heads.

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

/// Outcome of a write of the head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteOutcome {
    Answered,
    LostAfter,
    LostBefore,
    Refused,
}

#[derive(Default)]
struct FakeData {
    revision: u64,
    values: BTreeMap<String, (u64, String)>,
    outcomes: Vec<WriteOutcome>,
    down: bool,
    history: Vec<ConfigHead>,
}

/// In-memory store that fails writes of the head or loses their responses as configured.
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
            let outcome = if key == HEAD_KEY && !data.outcomes.is_empty() {
                data.outcomes.remove(0)
            } else {
                WriteOutcome::Answered
            };
            if data.down || outcome == WriteOutcome::Refused {
                return Err(StoreError::Unavailable("down".into()));
            }
            if outcome == WriteOutcome::LostBefore {
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
            if outcome == WriteOutcome::LostAfter {
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

fn change_request(change: &str, expect_revision: u64, part: &str) -> ChangeRequest {
    ChangeRequest {
        change: change.into(),
        expect_revision,
        preset: (expect_revision == 0).then(|| "a".into()),
        parts: BTreeMap::from([(part.into(), Some(preset(change)))]),
        check: false,
    }
}

async fn initialized_updater(store: &FakeStore) -> ConfigUpdater<FakeStore> {
    let updater = ConfigUpdater::new(store.clone());
    let result = updater
        .apply(&change_request("first", 0, "preset-a"), "test", |_| None)
        .await;
    assert_eq!(result, Ok(ChangeOutcome::Accepted(1)));
    updater
}

/// Guards against a change that is applied twice: the store's response is lost after the swap took
/// effect, the operator gets the result "failed" and applies the change again. The updater
/// therefore looks for the id of the change in the head before it reports a result.
#[test_case(WriteOutcome::LostAfter; "lost after it took effect")]
#[test_case(WriteOutcome::LostBefore; "lost before it took effect")]
#[test_case(WriteOutcome::Refused; "refused once")]
#[tokio::test(start_paused = true)]
async fn apply_settles(outcome: WriteOutcome) {
    let store = FakeStore::default();
    let updater = initialized_updater(&store).await;
    store.with(|data| data.outcomes = vec![outcome]);
    let result = updater
        .apply(&change_request("second", 1, "preset-a"), "test", |_| None)
        .await;
    assert_eq!(result, Ok(ChangeOutcome::Accepted(2)));
    assert_eq!(
        store.with(|data| data.history.len()),
        2,
        "the change must be applied exactly once"
    );
}

/// Guards against a concurrent change that silently overwrites another one: both operators read
/// revision 1 and change the same part. The one that loses the swap gets a conflict, and none of
/// its change remains.
#[tokio::test(start_paused = true)]
async fn apply_same_part_conflicts() {
    let store = FakeStore::default();
    let updater = initialized_updater(&store).await;
    let (one, two) = (
        change_request("one", 1, "preset-a"),
        change_request("two", 1, "preset-a"),
    );
    let (first, second) = tokio::join!(
        updater.apply(&one, "x", |_| None),
        updater.apply(&two, "y", |_| None)
    );
    let results = [
        first.expect("the store is up"),
        second.expect("the store is up"),
    ];
    let accepted = results
        .iter()
        .filter(|result| **result == ChangeOutcome::Accepted(2))
        .count();
    assert_eq!(
        (accepted, results.contains(&ChangeOutcome::Conflict(2))),
        (1, true),
        "{results:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn apply_other_part_is_rebased() {
    let store = FakeStore::default();
    let updater = initialized_updater(&store).await;
    assert_eq!(
        updater
            .apply(&change_request("one", 1, "preset-b"), "x", |_| None)
            .await,
        Ok(ChangeOutcome::Accepted(2))
    );
    assert_eq!(
        updater
            .apply(&change_request("two", 1, "preset-c"), "y", |_| None)
            .await,
        Ok(ChangeOutcome::Accepted(3))
    );
}

#[tokio::test(start_paused = true)]
async fn apply_wrong_part_changes_nothing() {
    let store = FakeStore::default();
    let updater = initialized_updater(&store).await;
    let mut wrong = change_request("wrong", 1, "preset-a");
    wrong
        .parts
        .insert("preset-a".into(), Some("[preset]\ntitle = x\n".into()));
    assert!(matches!(
        updater.apply(&wrong, "x", |_| None).await,
        Err(ChangeError::Invalid(_))
    ));
    assert_eq!(store.with(|data| data.history.len()), 1);
}

/// Guards against reporting "nothing was changed" for a change that takes effect: the store's
/// response is lost and the store can no longer be read. The updater reports "unknown", and a
/// repeated request with the same id settles the outcome once the store is back.
#[tokio::test(start_paused = true)]
async fn apply_unreadable_store_says_unknown() {
    let store = FakeStore::default();
    let updater = initialized_updater(&store).await;
    store.with(|data| data.outcomes = vec![WriteOutcome::LostAfter]);
    let request = change_request("second", 1, "preset-a");
    let task_store = store.clone();
    let outage_task = tokio::spawn(async move {
        while task_store.with(|data| data.history.len()) < 2 {
            tokio::task::yield_now().await;
        }
        task_store.with(|data| data.down = true);
    });
    let result = updater.apply(&request, "x", |_| None).await;
    outage_task.await.expect("the outage task does not panic");
    assert_eq!(result, Ok(ChangeOutcome::Unknown));
    store.with(|data| data.down = false);
    assert_eq!(
        updater.apply(&request, "x", |_| None).await,
        Ok(ChangeOutcome::Accepted(2))
    );
}

/// A randomly generated change.
#[derive(Clone, Debug)]
struct FuzzChange {
    part: u8,
    behind: u8,
    outcomes: Vec<u8>,
}

fn fuzz_change() -> impl Strategy<Value = FuzzChange> {
    (0..3_u8, 0..3_u8, proptest::collection::vec(0..4_u8, 0..4)).prop_map(
        |(part, behind, outcomes)| FuzzChange {
            part,
            behind,
            outcomes,
        },
    )
}

fn outcome_of(number: u8) -> WriteOutcome {
    match number {
        0 => WriteOutcome::Answered,
        1 => WriteOutcome::LostAfter,
        2 => WriteOutcome::LostBefore,
        _ => WriteOutcome::Refused,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Checks against the store's own list of heads: revisions increase by one, an accepted change
    /// is in the list exactly once and a refused one never.
    #[test]
    fn apply_fuzz(rounds in proptest::collection::vec(proptest::collection::vec(fuzz_change(), 1..4), 1..8)) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().expect("a runtime");
        runtime.block_on(async {
            let store = FakeStore::default();
            initialized_updater(&store).await;
            let mut results = Vec::new();
            for (round, changes) in rounds.iter().enumerate() {
                let revision = store.with(|data| data.history.last().map_or(0, |head| head.revision));
                store.with(|data| data.outcomes = changes.iter().flat_map(|change| change.outcomes.iter().map(|outcome| outcome_of(*outcome))).collect());
                let mut tasks = Vec::new();
                for (index, change) in changes.iter().enumerate() {
                    let updater = ConfigUpdater::new(store.clone());
                    let name = format!("c{round}-{index}");
                    let request = change_request(&name, revision.saturating_sub(u64::from(change.behind)).max(1), &format!("preset-{}", change.part));
                    tasks.push(tokio::spawn(async move { (name, updater.apply(&request, "x", |_| None).await) }));
                }
                for task in tasks {
                    results.push(task.await.expect("a change does not panic"));
                }
            }
            let history = store.with(|data| data.history.clone());
            for (index, head) in history.iter().enumerate() {
                prop_assert_eq!(head.revision, index as u64 + 1);
            }
            for (name, result) in results {
                let revisions: Vec<u64> = history.iter().filter(|head| head.changes.last().is_some_and(|record| *record.change == *name)).map(|head| head.revision).collect();
                match result {
                    Ok(ChangeOutcome::Accepted(revision)) => prop_assert_eq!(revisions, vec![revision]),
                    Ok(ChangeOutcome::Conflict(_)) | Err(_) => prop_assert!(revisions.is_empty(), "change {} was refused but applied", name),
                    Ok(ChangeOutcome::Unknown) => prop_assert!(revisions.len() <= 1),
                    Ok(ChangeOutcome::Checked) => prop_assert!(false, "no change was a dry run"),
                }
            }
            Ok(())
        })?;
    }
}

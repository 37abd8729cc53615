//! Tasks that panic.

use std::cell::Cell;
use std::cell::RefCell;
use std::time::Duration;
use tokio::time::timeout;
use zinniahatch_entry::TaskPanic;
use zinniahatch_entry::catch_panic;
use zinniahatch_entry::run_restarted;

/// Guards against a process that lives on without a task that panicked, while nobody notices.
#[tokio::test]
async fn task_that_panicked_is_gone_unnoticed() {
    let starts = Cell::new(0);
    let reports: RefCell<Vec<TaskPanic>> = RefCell::default();
    let start = || {
        starts.set(starts.get() + 1);
        let number = starts.get();
        async move {
            assert!(number > 2, "start {number}");
        }
    };
    let report = |panic| reports.borrow_mut().push(panic);
    run_restarted("sample", Duration::ZERO, start, report).await;
    assert_eq!(starts.get(), 3, "it runs again until it ends");
    let reports = reports.take();
    let told: Vec<_> = reports
        .iter()
        .map(|panic| (panic.task, &*panic.message))
        .collect();
    assert_eq!(told, [("sample", "start 1"), ("sample", "start 2")]);
}

/// Guards against a task that panics at once, again and again, and takes all the processor time.
#[tokio::test]
async fn task_that_always_panics_takes_little_time() {
    const PAUSE: Duration = Duration::from_millis(20);
    const PAUSES: u32 = 10;
    let panics = Cell::new(0);
    let start = || async { panic!("each time") };
    let task = run_restarted("sample", PAUSE, start, |_| panics.set(panics.get() + 1));
    assert!(timeout(PAUSE * PAUSES, task).await.is_err());
    assert!(panics.get() <= PAUSES + 1, "{} panics", panics.get());
}

#[tokio::test]
async fn task_that_ends_is_not_reported() {
    assert_eq!(catch_panic("sample", async {}).await, Ok(()));
}

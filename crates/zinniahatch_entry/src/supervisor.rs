//! Tasks whose panics are noticed.
//!
//! The runtime catches the panic of a task and drops it with its result, so that the process lives on
//! without the task.

use futures_util::FutureExt;
use std::any::Any;
use std::panic::AssertUnwindSafe;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;

/// Pause before a task that panicked starts again, which bounds the work of one that panics at once.
pub const RESTART_PAUSE: Duration = Duration::from_secs(1);

/// Name of a kind of task in logs and metrics.
pub type TaskName = &'static str;

/// The panic of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskPanic {
    /// The task.
    pub task: TaskName,
    /// The message of the panic.
    pub message: Box<str>,
    /// For how long the task had run.
    pub lasted: Duration,
}

/// Runs a task until it ends, and again after a pause when it panicked, which is reported.
///
/// The process does not end instead: what one node cannot bear, such as an entry of the store, the others
/// and its own next process would not bear either.
pub async fn run_restarted<F: Future<Output = ()>>(
    task: TaskName,
    pause: Duration,
    start: impl Fn() -> F,
    report: impl Fn(TaskPanic),
) {
    while let Err(panic) = catch_panic(task, start()).await {
        report(panic);
        sleep(pause).await;
    }
}

/// Runs a task to its end.
///
/// # Errors
///
/// The task panicked.
pub async fn catch_panic<T>(task: TaskName, run: impl Future<Output = T>) -> Result<T, TaskPanic> {
    let began = Instant::now();
    // What the task shares is behind cells, whose borrows end while the stack unwinds.
    let outcome = AssertUnwindSafe(run).catch_unwind().await;
    outcome.map_err(|payload| TaskPanic {
        task,
        message: message_of(&*payload).into(),
        lasted: began.elapsed(),
    })
}

/// Returns the message of a panic.
pub(crate) fn message_of(payload: &(dyn Any + Send)) -> &str {
    if let Some(text) = payload.downcast_ref::<&str>() {
        return text;
    }
    payload.downcast_ref::<String>().map_or("", String::as_str)
}

//! Tasks that run as long as the daemon.

use log::error;
use std::sync::Arc;
use zinniahatch_entry::RESTART_PAUSE;
use zinniahatch_entry::TaskName;
use zinniahatch_entry::TaskPanic;
use zinniahatch_entry::run_restarted;
use zinniahatch_gateway::GatewayCore;

/// Starts a task, which starts again after a panic.
pub(crate) fn spawn_restarted<F: Future<Output = ()> + Send + 'static>(
    core: &Arc<GatewayCore>,
    task: TaskName,
    start: impl Fn(Arc<GatewayCore>) -> F + Send + Sync + 'static,
) {
    let core = Arc::clone(core);
    tokio::spawn(async move {
        let report = |panic| report_panic(&core, &panic);
        run_restarted(task, RESTART_PAUSE, || start(Arc::clone(&core)), report).await;
    });
}

/// Logs and counts the panic of a task.
pub(crate) fn report_panic(core: &GatewayCore, panic: &TaskPanic) {
    let panics = &core.counters.task_panics;
    panics.with_label_values(&[panic.task]).inc();
    let lasted = panic.lasted.as_millis();
    error!(
        "task {} panicked after {lasted} ms: {}",
        panic.task, panic.message
    );
}

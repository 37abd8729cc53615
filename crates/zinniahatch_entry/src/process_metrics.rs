//! Metrics of the process itself.

use crate::supervisor::TaskName;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;

/// Counters of what keeps the process from its work.
#[derive(Debug)]
pub(crate) struct ProcessMetrics {
    listen_retries: IntCounterVec,
    task_panics: IntCounterVec,
}

impl ProcessMetrics {
    /// Creates and registers the counters.
    ///
    /// # Errors
    ///
    /// A metric name is already registered.
    pub(crate) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let counter = |name: &str, help: &str, label: &str| {
            let counter = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        Ok(Self {
            listen_retries: counter(
                "zinniahatch_listen_retries_total",
                "Tries to listen at an address that could not be used yet, by settings key.",
                "key",
            )?,
            task_panics: counter(
                "zinniahatch_task_panics_total",
                "Tasks that panicked, by task.",
                "task",
            )?,
        })
    }

    /// Counts a listen address that cannot be used yet.
    pub(crate) fn note_listen_retry(&self, key: &str) {
        self.listen_retries.with_label_values(&[key]).inc();
    }

    /// Counts a task that panicked.
    pub(crate) fn note_task_panic(&self, task: TaskName) {
        self.task_panics.with_label_values(&[task]).inc();
    }
}

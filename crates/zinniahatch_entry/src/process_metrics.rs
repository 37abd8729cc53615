//! Metrics of the process itself.

use crate::memory_metrics::MemoryMetrics;
use crate::supervisor::TaskName;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;

/// Metrics of what keeps the process from its work, or may end it.
#[derive(Debug)]
pub(crate) struct ProcessMetrics {
    listen_retries: IntCounterVec,
    task_panics: IntCounterVec,
    resident: IntGauge,
    open_files: IntGauge,
    /// Memory that is held for others.
    pub(crate) memory: MemoryMetrics,
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
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        Ok(Self {
            memory: MemoryMetrics::new(registry)?,
            resident: gauge(
                "zinniahatch_resident_bytes",
                "Memory that the process occupies, without the kernel's buffers of its connections.",
            )?,
            open_files: gauge(
                "zinniahatch_open_files",
                "File descriptors that the process has open.",
            )?,
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

    /// Reads from the system what the process uses now.
    pub(crate) fn update(&self) {
        const BYTES_PER_KIB: i64 = 1 << 10;
        let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = resident.and_then(|text| text.trim().strip_suffix(" kB"));
        if let Some(kib) = resident.and_then(|text| text.parse::<i64>().ok()) {
            self.resident.set(kib * BYTES_PER_KIB);
        }
        if let Ok(files) = std::fs::read_dir("/proc/self/fd") {
            self.open_files.set(files.count() as i64);
        }
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

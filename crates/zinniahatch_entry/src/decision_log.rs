//! The decision log: JSON lines on standard output, bounded and non-blocking.
//!
//! Each kind of line has a budget per second. Lines over budget are counted, and the count is
//! reported with the next line of that kind. Lines pass through a bounded queue to a writer thread.
//! A full queue drops and counts lines, so that a stalled reader of the output cannot block
//! requests.

use crate::supervisor::message_of;
use serde::Serialize;
use std::cell::RefCell;
use std::io::Write;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;
use tracing_appender::non_blocking::NonBlocking;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;
use zinniahatch_base::prelude::*;

/// Maximum number of lines queued for the writer thread.
const MAX_QUEUED_LINES: usize = 2_000;

/// Budget of one kind of line.
#[derive(Debug, Default)]
struct KindBudget {
    second: u64,
    written: u32,
    /// Lines over budget that have not been reported yet.
    left_out: u64,
}

/// The decision log of one process.
#[derive(Debug)]
pub(crate) struct DecisionLog {
    writer: RefCell<NonBlocking>,
    budgets: RefCell<BTreeMap<&'static str, KindBudget>>,
    budget: u32,
    node: NodeId,
    _guard: WorkerGuard,
}

#[derive(Serialize)]
struct LogLine<'a, T: Serialize> {
    time_ms: u64,
    node: &'a str,
    kind: &'static str,
    #[serde(skip_serializing_if = "is_zero")]
    left_out: u64,
    #[serde(flatten)]
    fields: T,
}

#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_zero(count: &u64) -> bool {
    *count == 0
}

impl DecisionLog {
    /// Starts the writer thread.
    pub(crate) fn new(node: NodeId, budget: u32) -> Self {
        let (writer, guard) = NonBlockingBuilder::default()
            .buffered_lines_limit(MAX_QUEUED_LINES)
            .lossy(true)
            .thread_name("log")
            .finish(std::io::stdout());
        Self {
            writer: RefCell::new(writer),
            budgets: RefCell::default(),
            budget,
            node,
            _guard: guard,
        }
    }

    /// Writes a line if the budget of its kind allows it.
    pub(crate) fn write(&self, kind: &'static str, fields: impl Serialize) {
        let millis = unix_millis();
        let Some(left_out) = self.admit(kind, millis / 1_000) else {
            return;
        };
        let line = LogLine {
            time_ms: millis,
            node: &self.node,
            kind,
            left_out,
            fields,
        };
        let Ok(mut text) = serde_json::to_vec(&line) else {
            return;
        };
        text.push(b'\n');
        // The writer is lossy by design and reports no error for a dropped line.
        let _ = self.writer.borrow_mut().write_all(&text);
    }

    /// Writes panics to this log and no longer to standard error.
    ///
    /// A write to standard error that nobody reads would block, and the process with it.
    pub(crate) fn take_panics(&self) {
        let writer = self.writer.borrow().clone();
        let node = self.node.clone();
        std::panic::set_hook(Box::new(move |panic| {
            let place = panic.location().map(ToString::to_string);
            let line = LogLine {
                time_ms: unix_millis(),
                node: &node,
                kind: "panic",
                left_out: 0,
                fields: serde_json::json!({"place": place, "message": message_of(panic.payload())}),
            };
            let Ok(mut text) = serde_json::to_vec(&line) else {
                return;
            };
            text.push(b'\n');
            // The writer is lossy by design and reports no error for a dropped line.
            let _ = writer.clone().write_all(&text);
        }));
    }

    fn admit(&self, kind: &'static str, second: u64) -> Option<u64> {
        let mut budgets = self.budgets.borrow_mut();
        let row = budgets.entry(kind).or_default();
        if row.second != second {
            row.second = second;
            row.written = 0;
        }
        if row.written >= self.budget {
            row.left_out += 1;
            return None;
        }
        row.written += 1;
        Some(std::mem::take(&mut row.left_out))
    }
}

/// Returns the wall-clock time in Unix milliseconds.
pub(crate) fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

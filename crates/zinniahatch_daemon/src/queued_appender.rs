//! A log whose lines a thread writes to standard output.

use log::Record;
use log4rs::append::Append;
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::writer::simple::SimpleWriter;
use std::io::Write;
use tracing_appender::non_blocking::NonBlocking;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;

/// Maximum number of lines queued for the writer thread.
const MAX_QUEUED_LINES: usize = 2_000;

/// Queues lines for the writer thread and drops them where the queue is full, so that a stalled reader of the
/// output cannot block requests.
#[derive(Debug)]
pub(crate) struct QueuedAppender {
    encoder: JsonEncoder,
    writer: NonBlocking,
}

impl QueuedAppender {
    /// Starts the writer thread; lines are written until the guard is dropped.
    pub(crate) fn new(encoder: JsonEncoder) -> (Self, WorkerGuard) {
        let (writer, guard) = NonBlockingBuilder::default()
            .buffered_lines_limit(MAX_QUEUED_LINES)
            .lossy(true)
            .thread_name("log")
            .finish(std::io::stdout());
        (Self { encoder, writer }, guard)
    }
}

impl Append for QueuedAppender {
    fn append(&self, record: &Record) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::new());
        self.encoder.encode(&mut line, record)?;
        // The writer is lossy by design and reports no error for a dropped line.
        self.writer.clone().write_all(&line.0)?;
        Ok(())
    }

    fn flush(&self) {}
}

//! Logging as JSON lines, to the console or a file.

use crate::queued_appender::QueuedAppender;
use log::LevelFilter;
use log::error;
use log4rs::append::file::FileAppender;
use log4rs::config::Appender;
use log4rs::config::Config;
use log4rs::config::Root;
use log4rs::encode::json::JsonEncoder;
use std::str::FromStr;
use tracing_appender::non_blocking::WorkerGuard;

/// Initialises logging with a level and a file; an empty file name means the console, whose lines are written until
/// the guard is dropped.
///
/// Panics go to the log and no longer to standard error: a write that nobody reads would block, and the
/// process with it.
///
/// # Errors
///
/// If the level is unknown or the file cannot be opened.
pub(crate) fn start(level: &str, file: &str) -> Result<Option<WorkerGuard>, String> {
    let level = LevelFilter::from_str(level).map_err(|_| {
        format!("[log] level: `{level}` is not a log level; use error, warn, info, debug or trace")
    })?;
    let encoder = JsonEncoder::new();
    let (appender, guard) = if file.is_empty() {
        let (appender, guard) = QueuedAppender::new(encoder);
        let appender = Appender::builder().build("main", Box::new(appender));
        (appender, Some(guard))
    } else {
        let appender = FileAppender::builder()
            .encoder(Box::new(encoder))
            .build(file)
            .map_err(|error| format!("[log] file: `{file}`: {error}"))?;
        (Appender::builder().build("main", Box::new(appender)), None)
    };
    let config = Config::builder()
        .appender(appender)
        .build(Root::builder().appender("main").build(level))
        .map_err(|error| error.to_string())?;
    log4rs::init_config(config).map_err(|error| error.to_string())?;
    std::panic::set_hook(Box::new(|panic| error!("{panic}")));
    Ok(guard)
}

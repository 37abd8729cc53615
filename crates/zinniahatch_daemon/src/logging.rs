//! Logging as JSON lines, to the console or a file.

use log::LevelFilter;
use log4rs::append::console::ConsoleAppender;
use log4rs::append::file::FileAppender;
use log4rs::config::Appender;
use log4rs::config::Config;
use log4rs::config::Root;
use log4rs::encode::json::JsonEncoder;
use std::str::FromStr;

/// Initialises logging with a level and a file; an empty file name means the console.
///
/// # Errors
///
/// If the level is unknown or the file cannot be opened.
pub(crate) fn start(level: &str, file: &str) -> Result<(), String> {
    let level = LevelFilter::from_str(level).map_err(|_| {
        format!("[log] level: `{level}` is not a log level; use error, warn, info, debug or trace")
    })?;
    let encoder = Box::new(JsonEncoder::new());
    let appender = if file.is_empty() {
        Appender::builder().build(
            "main",
            Box::new(ConsoleAppender::builder().encoder(encoder).build()),
        )
    } else {
        let appender = FileAppender::builder()
            .encoder(encoder)
            .build(file)
            .map_err(|error| format!("[log] file: `{file}`: {error}"))?;
        Appender::builder().build("main", Box::new(appender))
    };
    let config = Config::builder()
        .appender(appender)
        .build(Root::builder().appender("main").build(level))
        .map_err(|error| error.to_string())?;
    log4rs::init_config(config).map_err(|error| error.to_string())?;
    Ok(())
}

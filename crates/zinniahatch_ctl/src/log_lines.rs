//! The decision logs of nodes, read line by line.

use crate::CtlError;
use serde_json::Map;
use serde_json::Value;
use std::io::Read;
use zinniahatch_base::ResultCode;

/// One line of a log.
#[derive(Clone, Debug)]
pub(crate) struct LogLine {
    /// Unix milliseconds by the node's clock.
    pub(crate) time: u64,
    /// The node that wrote it.
    pub(crate) node: String,
    /// What it tells of.
    pub(crate) kind: String,
    /// The rest.
    pub(crate) fields: Map<String, Value>,
}

impl LogLine {
    /// Gives a field that is text.
    pub(crate) fn text(&self, key: &str) -> Option<&str> {
        self.fields.get(key).and_then(Value::as_str)
    }

    /// Gives the result code that the line tells.
    pub(crate) fn result(&self) -> Option<ResultCode> {
        let number = self.number("result")?;
        let mut known = ResultCode::ALL.iter().copied();
        known.find(|code| u64::from(code.number()) == number)
    }

    /// Gives a field that is a whole number.
    pub(crate) fn number(&self, key: &str) -> Option<u64> {
        self.fields.get(key).and_then(Value::as_u64)
    }
}

/// Reads the lines of log files in the order of time; no file means the standard input.
///
/// # Errors
///
/// A file cannot be read.
pub(crate) fn read_logs(files: &[String]) -> Result<Vec<LogLine>, CtlError> {
    let mut lines = Vec::new();
    if files.is_empty() {
        let mut text = String::new();
        std::io::stdin()
            .read_to_string(&mut text)
            .map_err(|error| CtlError::Refused(format!("standard input: {error}")))?;
        read_lines(&text, &mut lines);
    }
    for file in files {
        let text = std::fs::read_to_string(file)
            .map_err(|error| CtlError::Refused(format!("{file}: {error}")))?;
        read_lines(&text, &mut lines);
    }
    lines.sort_by_key(|line| line.time);
    Ok(lines)
}

/// Reads the lines that are JSON objects of the decision log; a prefix before the object, such as
/// a collector's time stamp, is passed over.
fn read_lines(text: &str, lines: &mut Vec<LogLine>) {
    for line in text.lines() {
        let Some(start) = line.find('{') else {
            continue;
        };
        let Ok(Value::Object(mut fields)) = serde_json::from_str(&line[start..]) else {
            continue;
        };
        let time = fields.remove("time_ms").and_then(|time| time.as_u64());
        let mut text = |key: &str| {
            let value = fields.remove(key)?;
            value.as_str().map(str::to_owned)
        };
        let (Some(time), Some(node), Some(kind)) = (time, text("node"), text("kind")) else {
            continue;
        };
        lines.push(LogLine {
            time,
            node,
            kind,
            fields,
        });
    }
}

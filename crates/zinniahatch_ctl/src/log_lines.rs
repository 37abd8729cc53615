//! Reader for the decision logs of nodes.

use crate::CtlError;
use serde_json::Map;
use serde_json::Value;
use std::io::Read;
use zinniahatch_base::ResultCode;

/// One line of a decision log.
#[derive(Clone, Debug)]
pub(crate) struct LogLine {
    /// Time by the node's clock, in Unix milliseconds.
    pub(crate) time: u64,
    /// The node that wrote the line.
    pub(crate) node: String,
    /// The kind of event.
    pub(crate) kind: String,
    /// The remaining fields.
    pub(crate) fields: Map<String, Value>,
}

impl LogLine {
    /// Returns the value of a string field.
    pub(crate) fn text(&self, key: &str) -> Option<&str> {
        self.fields.get(key).and_then(Value::as_str)
    }

    /// Returns the result code of the line.
    pub(crate) fn result(&self) -> Option<ResultCode> {
        let number = self.number("result")?;
        let mut codes = ResultCode::ALL.iter().copied();
        codes.find(|code| u64::from(code.number()) == number)
    }

    /// Returns the value of an unsigned integer field.
    pub(crate) fn number(&self, key: &str) -> Option<u64> {
        self.fields.get(key).and_then(Value::as_u64)
    }
}

/// Reads the lines of log files, sorted by time; without files, reads the standard input.
///
/// # Errors
///
/// If a file cannot be read.
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

/// Parses the lines that contain a JSON object of the decision log.
///
/// A prefix before the object, such as the time stamp of a log collector, is skipped.
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

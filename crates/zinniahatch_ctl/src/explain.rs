//! The timeline of one request, from the decision logs of several nodes.

use crate::CtlError;
use crate::log_lines::LogLine;
use crate::log_lines::read_logs;
use crate::site_args::ExplainArgs;
use serde_json::Value;

/// Time before and after a request, in ms, within which state changes of its nodes are shown.
const CONTEXT_MS: u64 = 3_000;
/// Kinds of lines that record a state change of a node and not a step of a request.
const STATE_KINDS: [&str; 21] = [
    "version",
    "preset",
    "member",
    "member-gone",
    "replica",
    "replica-entry-gone",
    "replica-dropped",
    "replica-unreached",
    "replica-replaced",
    "probe",
    "evacuation",
    "store-lost",
    "store-back",
    "store-compacted",
    "lease-lapsed",
    "lease-failed",
    "starting",
    "start",
    "stop",
    "stopped",
    "reload",
];

/// Prints the timeline of the request.
pub(crate) fn run(args: &ExplainArgs) -> Result<String, CtlError> {
    explain(&args.request, &read_logs(&args.files)?)
}

fn explain(request: &str, lines: &[LogLine]) -> Result<String, CtlError> {
    let own: Vec<&LogLine> = lines
        .iter()
        .filter(|line| line.text("request") == Some(request))
        .collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Err(CtlError::Refused(format!(
            "no log line names the request {request}; pass the logs of the node that the caller used, \
             and note that lines may have been dropped under load (`left_out`)"
        )));
    };
    let replicas: Vec<&str> = own
        .iter()
        .flat_map(|line| ["replica", "at", "copy_from"].map(|key| line.fields.get(key)))
        .filter_map(|value| value.and_then(Value::as_str))
        .collect();
    let nodes: Vec<&str> = own.iter().map(|line| line.node.as_str()).collect();
    let time_range = first.time.saturating_sub(CONTEXT_MS)..=last.time + CONTEXT_MS;
    let mut text = format!("request {request}\n");
    for line in lines {
        let is_own = own.iter().any(|own| std::ptr::eq(*own, line));
        let same_replica = line
            .fields
            .get("replica")
            .and_then(Value::as_str)
            .is_none_or(|replica| replicas.contains(&replica));
        let is_context = STATE_KINDS.contains(&line.kind.as_str())
            && time_range.contains(&line.time)
            && nodes.contains(&line.node.as_str())
            && same_replica;
        if is_own || is_context {
            text += &render(line, first.time, is_own);
        }
    }
    text += &final_result(&own);
    Ok(text)
}

fn render(line: &LogLine, start: u64, is_own: bool) -> String {
    let offset = line.time as f64 - start as f64;
    let mark = if is_own { '*' } else { ' ' };
    let mut text = format!("{mark} {offset:>8.0} ms  {}  {}", line.node, line.kind);
    for (key, value) in &line.fields {
        if key == "request" || value.is_null() {
            continue;
        }
        text += &match value.as_str() {
            Some(word) => format!("  {key}={word}"),
            None => format!("  {key}={value}"),
        };
    }
    text.push('\n');
    text
}

/// Describes the last result that the lines of a request record.
fn final_result(own: &[&LogLine]) -> String {
    let with_result = own
        .iter()
        .rev()
        .find(|line| line.number("result").is_some());
    if let Some(code) = with_result.and_then(|line| line.result()) {
        return format!(
            "result {} {} ({}): {}\n",
            code.number(),
            code.name(),
            code.execution().as_str(),
            code.text()
        );
    }
    let status = own.iter().rev().find_map(|line| line.number("status"));
    match status {
        Some(status) => format!("answered by the replica with status {status}\n"),
        None => "no end is logged: the caller left, the node died, or the line was left out\n"
            .to_owned(),
    }
}

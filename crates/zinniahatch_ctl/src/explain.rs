//! The story of one request, told from the decision logs of several nodes.

use crate::CtlError;
use crate::log_lines::LogLine;
use crate::log_lines::read_logs;
use crate::site_args::ExplainArgs;
use serde_json::Value;

/// Time around a request, in ms, in which changes of belief are shown with it.
const AROUND_MS: u64 = 3_000;
/// Kinds of lines that tell of a belief and not of a request.
const BELIEFS: [&str; 20] = [
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
    "start",
    "stop",
    "stopped",
    "reload",
];

/// Tells the story.
pub(crate) fn run(args: &ExplainArgs) -> Result<String, CtlError> {
    tell(&args.request, &read_logs(&args.files)?)
}

fn tell(request: &str, lines: &[LogLine]) -> Result<String, CtlError> {
    let own: Vec<&LogLine> = lines
        .iter()
        .filter(|line| line.text("request") == Some(request))
        .collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Err(CtlError::Refused(format!(
            "no line names the request {request}; give the logs of the node that the caller used, \
             and mind lines that were left out under load (`left_out`)"
        )));
    };
    let names: Vec<&str> = own
        .iter()
        .flat_map(|line| ["replica", "at", "copy_from"].map(|key| line.fields.get(key)))
        .filter_map(|value| value.and_then(Value::as_str))
        .collect();
    let nodes: Vec<&str> = own.iter().map(|line| line.node.as_str()).collect();
    let span = first.time.saturating_sub(AROUND_MS)..=last.time + AROUND_MS;
    let mut text = format!("request {request}\n");
    for line in lines {
        let mine = own.iter().any(|own| std::ptr::eq(*own, line));
        let about = line
            .fields
            .get("replica")
            .and_then(Value::as_str)
            .is_none_or(|replica| names.contains(&replica));
        let belief = BELIEFS.contains(&line.kind.as_str())
            && span.contains(&line.time)
            && nodes.contains(&line.node.as_str())
            && about;
        if mine || belief {
            text += &render(line, first.time, mine);
        }
    }
    text += &verdict(&own);
    Ok(text)
}

fn render(line: &LogLine, start: u64, mine: bool) -> String {
    let offset = line.time as f64 - start as f64;
    let mark = if mine { '*' } else { ' ' };
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

/// Gives the last result in words.
fn verdict(own: &[&LogLine]) -> String {
    let told = own
        .iter()
        .rev()
        .find(|line| line.number("result").is_some());
    if let Some(code) = told.and_then(|line| line.result()) {
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

//! Where service was lost: requests that were not answered whole and in time, counted by cause.
//!
//! A request counts once, at the node that its caller asked; lines of the node that it was handed over to
//! only tell how it went on.

use crate::CtlError;
use crate::log_lines::LogLine;
use crate::log_lines::read_logs;
use crate::site_args::LossesArgs;
use crate::table::render;
use serde_json::Value;
use serde_json::json;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use zinniahatch_base::ResultCode;

/// Columns to count by.
const COLUMNS: [&str; 4] = ["route", "region", "window", "cause"];
/// Cause of what was answered whole and in time; it is counted with the others, so that shares show.
const IN_TIME: &str = "in time";
/// Time from arrival to a refusal, in ms, beyond which the caller could have been elsewhere already; a way to
/// another region and back takes longer.
const LATE_REFUSAL_MS: u64 = 100;

/// What became of one request.
#[derive(Clone, Debug, Default)]
struct CallStory {
    /// When the caller's node first wrote of it.
    began: Option<u64>,
    node: String,
    route: Option<String>,
    /// Tokens that it brought.
    tokens: u64,
    /// Its end in words; none where no line tells one.
    cause: Option<String>,
    /// Time from arrival to the last event.
    took: Option<u64>,
}

/// The sums of one row.
#[derive(Clone, Copy, Debug, Default)]
struct LossRow {
    requests: u64,
    tokens: u64,
    took: u64,
    timed: u64,
}

/// Counts and renders.
///
/// # Errors
///
/// A file cannot be read, or a column or format is unknown.
pub(crate) fn run(args: &LossesArgs) -> Result<String, CtlError> {
    let columns: Vec<&str> = args.by.split(',').map(str::trim).collect();
    if let Some(other) = columns.iter().find(|column| !COLUMNS.contains(column)) {
        return Err(CtlError::Refused(format!(
            "`{other}` is no column; the columns are: {}",
            COLUMNS.join(", ")
        )));
    }
    let lines = read_logs(&args.files)?;
    let rows = count(&lines, &columns, args.window.max(1) * 1_000);
    render(&args.format, &rows)
}

fn count(lines: &[LogLine], columns: &[&str], window: u64) -> Vec<Value> {
    let regions: BTreeMap<&str, &str> = lines
        .iter()
        .filter(|line| line.kind == "start")
        .filter_map(|line| Some((line.node.as_str(), line.text("region")?)))
        .collect();
    let starts: BTreeSet<(&str, u64)> = lines
        .iter()
        .filter(|line| line.kind == "start")
        .map(|line| (line.node.as_str(), line.time))
        .collect();
    let stories = stories(lines);
    let start = stories.values().filter_map(|story| story.began).min();
    let mut rows: BTreeMap<Vec<String>, LossRow> = BTreeMap::new();
    for story in stories.values() {
        let Some(began) = story.began else {
            continue;
        };
        let key = columns.iter().map(|column| match *column {
            "route" => story.route.clone().unwrap_or_default(),
            "region" => (*regions.get(story.node.as_str()).unwrap_or(&"")).to_owned(),
            "window" => {
                let seconds = (began - start.unwrap_or(began)) / window * window / 1_000;
                format!("{seconds:>5}")
            }
            _ => story
                .cause
                .clone()
                .unwrap_or_else(|| unfinished(story, began, &starts)),
        });
        let row = rows.entry(key.collect()).or_default();
        row.requests += 1;
        row.tokens += story.tokens;
        if let Some(took) = story.took {
            row.took += took;
            row.timed += 1;
        }
    }
    rows.into_iter()
        .map(|(key, row)| to_object(columns, key, row))
        .collect()
}

/// Names why a request has no end in the logs.
fn unfinished(story: &CallStory, began: u64, starts: &BTreeSet<(&str, u64)>) -> String {
    let node = story.node.as_str();
    let died = starts
        .range((node, began)..=(node, u64::MAX))
        .next()
        .is_some();
    let cause = if died {
        "its node died"
    } else {
        "no end logged"
    };
    cause.to_owned()
}

fn to_object(columns: &[&str], key: Vec<String>, row: LossRow) -> Value {
    let mut object = serde_json::Map::new();
    for (column, value) in columns.iter().zip(key) {
        object.insert((*column).to_owned(), value.into());
    }
    object.insert("requests".into(), row.requests.into());
    object.insert("tokens".into(), row.tokens.into());
    let mean = row.took.checked_div(row.timed);
    object.insert("mean_ms".into(), json!(mean));
    Value::Object(object)
}

/// Follows each request through the lines of the node that its caller asked.
fn stories(lines: &[LogLine]) -> BTreeMap<&str, CallStory> {
    let mut stories: BTreeMap<&str, CallStory> = BTreeMap::new();
    for line in lines {
        let Some(request) = line.text("request") else {
            continue;
        };
        let story = stories.entry(request).or_default();
        if line.fields.get("direct").and_then(Value::as_bool) == Some(false) {
            continue;
        }
        if story.began.is_none() {
            story.began = Some(line.time);
            story.node.clone_from(&line.node);
        }
        if story.route.is_none() {
            story.route = line.text("route").map(str::to_owned);
        }
        story.tokens = story.tokens.max(line.number("tokens_in").unwrap_or(0));
        let Some(cause) = cause_of(line) else {
            continue;
        };
        story.cause = Some(cause);
        story.took = line.number("took_ms").or(line.number("age_ms"));
    }
    stories
}

/// Names how a request ended, where a line tells that.
fn cause_of(line: &LogLine) -> Option<String> {
    let late = |key, limit| line.number(key) > line.number(limit) && line.number(limit) > Some(0);
    match line.kind.as_str() {
        "answered" => {
            let status = line.number("status").unwrap_or(0);
            Some(match status {
                500.. => format!("the replica answered {status}"),
                _ if late("took_ms", "goal_ms") => "late".to_owned(),
                _ => IN_TIME.to_owned(),
            })
        }
        "stream-end" => {
            if line.result() != Some(ResultCode::Answered) {
                return Some(broken(line));
            }
            let cause = if late("first_ms", "goal_ms") {
                "late first event"
            } else if late("pause_ms", "pause_limit_ms") {
                "long pause"
            } else {
                IN_TIME
            };
            Some(cause.to_owned())
        }
        "refused" | "unrouted" => {
            let code = line.result()?;
            let kind = if line.number("age_ms").unwrap_or(0) > LATE_REFUSAL_MS {
                "refused late"
            } else {
                "refused"
            };
            Some(format!("{kind}: {}", code.name()))
        }
        _ => None,
    }
}

/// Names why a stream was not whole, and whether it had begun.
fn broken(line: &LogLine) -> String {
    let end = line.text("end").unwrap_or("");
    let begun = if line.number("events") > Some(0) {
        "after its first event"
    } else {
        "before its first event"
    };
    let why = end.split('(').next().unwrap_or("");
    match why {
        "CallerGone" => format!("the caller left {begun}"),
        "Deadline" => format!("the deadline passed {begun}"),
        _ => format!("the replica broke off {begun}"),
    }
}

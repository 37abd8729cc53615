//! The `losses` command: counts the requests that were not answered completely and in time, by cause.
//!
//! A request counts once, at the node to which its caller sent it. Lines of nodes to which it was
//! forwarded are ignored.

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

/// Columns by which the requests can be grouped.
const COLUMNS: [&str; 4] = ["route", "region", "window", "cause"];
/// Value of the `cause` column for requests answered completely and in time. They are counted with the
/// others, so that the shares of the causes are visible.
const IN_TIME: &str = "in time";
/// Time from arrival to a refusal, in ms, above which the refusal counts as late: in this time the
/// caller could have tried elsewhere. A round trip to another region takes longer.
const LATE_REFUSAL_MS: u64 = 100;

/// What the logs record of one request.
#[derive(Clone, Debug, Default)]
struct LoggedRequest {
    /// Time of the first line of the node to which the caller sent the request.
    began: Option<u64>,
    /// The node to which the caller sent the request.
    node: String,
    route: Option<String>,
    /// Prompt tokens.
    tokens: u64,
    /// How the request ended; `None` if no line records it.
    cause: Option<String>,
    /// Time from arrival to the end, in ms.
    took: Option<u64>,
}

/// Totals of one row.
#[derive(Clone, Copy, Debug, Default)]
struct LossRow {
    requests: u64,
    tokens: u64,
    took: u64,
    timed: u64,
}

/// Counts the requests and renders the rows.
///
/// # Errors
///
/// If a file cannot be read, or a column or format is unknown.
pub(crate) fn run(args: &LossesArgs) -> Result<String, CtlError> {
    let columns: Vec<&str> = args.by.split(',').map(str::trim).collect();
    if let Some(other) = columns.iter().find(|column| !COLUMNS.contains(column)) {
        return Err(CtlError::Refused(format!(
            "`{other}` is not a column; the columns are: {}",
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
    let requests = logged_requests(lines);
    let start = requests.values().filter_map(|request| request.began).min();
    let mut rows: BTreeMap<Vec<String>, LossRow> = BTreeMap::new();
    for request in requests.values() {
        let Some(began) = request.began else {
            continue;
        };
        let key = columns.iter().map(|column| match *column {
            "route" => request.route.clone().unwrap_or_default(),
            "region" => (*regions.get(request.node.as_str()).unwrap_or(&"")).to_owned(),
            "window" => {
                let seconds = (began - start.unwrap_or(began)) / window * window / 1_000;
                format!("{seconds:>5}")
            }
            _ => request
                .cause
                .clone()
                .unwrap_or_else(|| missing_end(request, began, &starts)),
        });
        let row = rows.entry(key.collect()).or_default();
        row.requests += 1;
        row.tokens += request.tokens;
        if let Some(took) = request.took {
            row.took += took;
            row.timed += 1;
        }
    }
    rows.into_iter()
        .map(|(key, row)| to_object(columns, key, row))
        .collect()
}

/// Returns the cause for a request whose end is not logged.
fn missing_end(request: &LoggedRequest, began: u64, starts: &BTreeSet<(&str, u64)>) -> String {
    let node = request.node.as_str();
    let restarted = starts
        .range((node, began)..=(node, u64::MAX))
        .next()
        .is_some();
    let cause = if restarted {
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

/// Collects each request from the lines of the node to which its caller sent it.
fn logged_requests(lines: &[LogLine]) -> BTreeMap<&str, LoggedRequest> {
    let mut requests: BTreeMap<&str, LoggedRequest> = BTreeMap::new();
    for line in lines {
        let Some(id) = line.text("request") else {
            continue;
        };
        let request = requests.entry(id).or_default();
        if line.fields.get("direct").and_then(Value::as_bool) == Some(false) {
            continue;
        }
        if request.began.is_none() {
            request.began = Some(line.time);
            request.node.clone_from(&line.node);
        }
        if request.route.is_none() {
            request.route = line.text("route").map(str::to_owned);
        }
        request.tokens = request.tokens.max(line.number("tokens_in").unwrap_or(0));
        let Some(cause) = cause_of(line) else {
            continue;
        };
        request.cause = Some(cause);
        request.took = line.number("took_ms").or(line.number("age_ms"));
    }
    requests
}

/// Returns how a request ended, if the line records that.
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
                return Some(stream_failure(line));
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

/// Returns why a stream was incomplete, and whether its first event had been sent.
fn stream_failure(line: &LogLine) -> String {
    let end = line.text("end").unwrap_or("");
    let phase = if line.number("events") > Some(0) {
        "after its first event"
    } else {
        "before its first event"
    };
    let reason = end.split('(').next().unwrap_or("");
    match reason {
        "CallerGone" => format!("the caller left {phase}"),
        "Deadline" => format!("the deadline passed {phase}"),
        _ => format!("the replica broke off {phase}"),
    }
}

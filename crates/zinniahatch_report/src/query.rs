//! Report queries on counts.

use crate::CountGap;
use crate::CountKey;
use crate::CountRow;
use crate::CountTable;
use zinniahatch_base::prelude::*;

/// Millionths per currency unit.
const MICROS_PER_UNIT: f64 = 1e6;

string_enum! {
    /// A field by which the lines of a report can be grouped.
    pub enum ReportField {
        Account = "account",
        Caller = "caller",
        Region = "region",
        Served = "served",
        Service = "service",
        Preset = "preset",
        Result = "result"
    }
}

domain! {
    /// A query for a report.
    #[derive(Default)]
    pub struct ReportQuery {
        /// The fields by which the lines are grouped.
        pub by: Vec<ReportField>,
        /// First hour, since the epoch.
        pub from: u64,
        /// Last hour, since the epoch.
        pub until: u64,
        /// The accounts to include; `None` means all.
        pub accounts: Option<BTreeSet<AccountId>>
    }

    /// One line of a report.
    pub struct ReportLine {
        /// The values of the fields by which the report is grouped.
        pub fields: Vec<Box<str>>,
        /// Requests.
        pub requests: u64,
        /// Requests that were answered completely.
        pub answered: u64,
        /// Requests that were refused and not executed ("not run").
        pub refused: u64,
        /// Requests whose outcome is unknown, or that failed after they were executed.
        pub unknown: u64,
        /// Prompt tokens.
        pub tokens_in: u64,
        /// Prompt tokens found in a prefix cache.
        pub tokens_cached: u64,
        /// Tokens generated.
        pub tokens_out: u64,
        /// Cost, in the price list's currency unit.
        pub cost: f64,
        /// Share of the answered requests that were served outside the home region.
        pub away_share: f64,
        /// Median of the time to the first byte, in milliseconds.
        pub first_p50_ms: f64,
        /// 95th percentile of the time to the first byte, in milliseconds.
        pub first_p95_ms: f64,
        /// Median of the time to the end of the response, in milliseconds.
        pub whole_p50_ms: f64,
        /// 99th percentile of the time to the end of the response, in milliseconds.
        pub whole_p99_ms: f64
    }

    /// A report, and the counts that are missing from it.
    pub struct ReportResult {
        /// The fields by which the lines are grouped.
        pub by: Vec<ReportField>,
        /// The lines, in the order of their fields.
        pub lines: Vec<ReportLine>,
        /// The total of all lines.
        pub total: ReportLine,
        /// Minutes for which the counts of a node are missing.
        pub gaps: Vec<CountGap>,
        /// What could not be read: keys of stored values, or the store with its error.
        pub unread: Vec<Box<str>>
    }
}

#[derive(Default)]
struct LineTotals {
    row: CountRow,
    answered: u64,
    refused: u64,
    unknown: u64,
    away: u64,
}

/// Runs a query on a table of counts.
pub fn run_query(
    query: &ReportQuery,
    counts: &CountTable,
    gaps: Vec<CountGap>,
    unread: Vec<Box<str>>,
) -> ReportResult {
    let mut groups: BTreeMap<Vec<Box<str>>, LineTotals> = BTreeMap::new();
    let mut total = LineTotals::default();
    for (key, row) in &counts.rows {
        let selected = (query.from..=query.until).contains(&key.hour)
            && query
                .accounts
                .as_ref()
                .is_none_or(|accounts| accounts.contains(&key.account));
        if !selected {
            continue;
        }
        let fields = query
            .by
            .iter()
            .map(|field| field_value(*field, key))
            .collect();
        groups.entry(fields).or_default().add(key, row);
        total.add(key, row);
    }
    ReportResult {
        by: query.by.clone(),
        lines: groups
            .into_iter()
            .map(|(fields, totals)| totals.line(fields))
            .collect(),
        total: total.line(vec!["total".into()]),
        gaps,
        unread,
    }
}

impl LineTotals {
    fn add(&mut self, key: &CountKey, row: &CountRow) {
        self.row.merge(row);
        let code = ResultCode::from_number(key.code);
        match code.map(|code| (code.execution(), code.status() < 300)) {
            Some((Execution::Ran, true)) => {
                self.answered += row.requests;
                if key.home != key.served {
                    self.away += row.requests;
                }
            }
            Some((Execution::NotRun, _)) => self.refused += row.requests,
            Some((Execution::Ran | Execution::Unknown, _)) | None => self.unknown += row.requests,
        }
    }

    fn line(self, fields: Vec<Box<str>>) -> ReportLine {
        let millis =
            |delay: Option<Duration>| delay.map_or(0.0, |delay| delay.as_secs_f64() * 1_000.0);
        ReportLine {
            fields,
            requests: self.row.requests,
            answered: self.answered,
            refused: self.refused,
            unknown: self.unknown,
            tokens_in: self.row.tokens_in,
            tokens_cached: self.row.tokens_cached,
            tokens_out: self.row.tokens_out,
            cost: self.row.cost_micros as f64 / MICROS_PER_UNIT,
            away_share: if self.answered == 0 {
                0.0
            } else {
                self.away as f64 / self.answered as f64
            },
            first_p50_ms: millis(self.row.first_byte.quantile(0.5)),
            first_p95_ms: millis(self.row.first_byte.quantile(0.95)),
            whole_p50_ms: millis(self.row.whole.quantile(0.5)),
            whole_p99_ms: millis(self.row.whole.quantile(0.99)),
        }
    }
}

fn field_value(field: ReportField, key: &CountKey) -> Box<str> {
    match field {
        ReportField::Account => key.account.clone(),
        ReportField::Caller => key.caller.clone(),
        ReportField::Region => key.home.clone(),
        ReportField::Served => key.served.clone(),
        ReportField::Service => key.service.clone(),
        ReportField::Preset => key.preset.clone(),
        ReportField::Result => ResultCode::from_number(key.code).map_or_else(
            || key.code.to_string().into(),
            |code| format!("{} {}", key.code, code.name()).into(),
        ),
    }
}

//! Questions to the counts.

use crate::CountKey;
use crate::CountRow;
use crate::CountSheet;
use crate::GapNote;
use zinniahatch_base::prelude::*;

/// Millionths in one unit of money.
const MICROS: f64 = 1e6;

string_enum! {
    /// What a report can be broken down by.
    pub enum ReportField {
        Account = "account",
        Caller = "caller",
        Region = "region",
        Served = "served",
        Service = "service",
        Preset = "preset",
        Result = "result",
    }
}

domain! {
    /// A question.
    #[derive(Default)]
    pub struct ReportQuery {
        /// What the lines are broken down by.
        pub by: Vec<ReportField>,
        /// First hour, from the epoch.
        pub from: u64,
        /// Last hour, from the epoch.
        pub until: u64,
        /// Only these accounts; `None` means every account.
        pub accounts: Option<BTreeSet<AccountId>>,
    }

    /// One line of a report.
    pub struct ReportLine {
        /// The values of the fields asked for.
        pub fields: Vec<Box<str>>,
        /// Requests.
        pub requests: u64,
        /// Requests answered whole.
        pub answered: u64,
        /// Requests refused, "not run".
        pub refused: u64,
        /// Requests whose outcome is not known, or that failed after they ran.
        pub unknown: u64,
        /// Prompt tokens.
        pub tokens_in: u64,
        /// Prompt tokens found in a cache.
        pub tokens_cached: u64,
        /// Tokens generated.
        pub tokens_out: u64,
        /// Cost, in the price list's money.
        pub cost: f64,
        /// Share of answered requests served away from the home region.
        pub away_share: f64,
        /// Median delay to the first byte, in milliseconds.
        pub first_p50_ms: f64,
        /// 95th percentile of the delay to the first byte, in milliseconds.
        pub first_p95_ms: f64,
        /// Median delay to the end, in milliseconds.
        pub whole_p50_ms: f64,
        /// 99th percentile of the delay to the end, in milliseconds.
        pub whole_p99_ms: f64,
    }

    /// An answer, with what it cannot know.
    pub struct ReportResult {
        /// The fields asked for.
        pub by: Vec<ReportField>,
        /// The lines, in the order of their fields.
        pub lines: Vec<ReportLine>,
        /// The sum of all lines.
        pub total: ReportLine,
        /// Minutes of nodes about which nothing is known.
        pub gaps: Vec<GapNote>,
        /// Data centres whose counts could not be read.
        pub unread: Vec<Box<str>>,
    }
}

#[derive(Default)]
struct LineSum {
    row: CountRow,
    answered: u64,
    refused: u64,
    unknown: u64,
    away: u64,
}

/// Answers a question from a sheet.
pub fn run_query(
    query: &ReportQuery,
    sheet: &CountSheet,
    gaps: Vec<GapNote>,
    unread: Vec<Box<str>>,
) -> ReportResult {
    let mut sums: BTreeMap<Vec<Box<str>>, LineSum> = BTreeMap::new();
    let mut total = LineSum::default();
    for (key, row) in &sheet.rows {
        let wanted = (query.from..=query.until).contains(&key.hour)
            && query
                .accounts
                .as_ref()
                .is_none_or(|accounts| accounts.contains(&key.account));
        if !wanted {
            continue;
        }
        let fields = query.by.iter().map(|field| value_of(*field, key)).collect();
        sums.entry(fields).or_default().add(key, row);
        total.add(key, row);
    }
    ReportResult {
        by: query.by.clone(),
        lines: sums
            .into_iter()
            .map(|(fields, sum)| sum.line(fields))
            .collect(),
        total: total.line(vec!["total".into()]),
        gaps,
        unread,
    }
}

impl LineSum {
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
            cost: self.row.cost_micros as f64 / MICROS,
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

fn value_of(field: ReportField, key: &CountKey) -> Box<str> {
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

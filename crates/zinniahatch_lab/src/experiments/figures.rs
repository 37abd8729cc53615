//! Summary statistics of a history.

use crate::history::HistoryData;
use crate::history::SendOutcome;
use crate::history::SendRecord;
use hdrhistogram::Histogram;
use serde::Serialize;
use zinniahatch_base::prelude::*;

/// Summary statistics of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RunFigures {
    /// Operations sent.
    pub operations: usize,
    /// Operations with a complete response.
    pub answered: usize,
    /// Operations whose last response was "not run".
    pub refused: usize,
    /// Operations whose outcome is unknown, whose response was cut off, or which got no response.
    pub unknown: usize,
    /// Share of complete responses that were served outside the home region.
    pub away_share: f64,
    /// Cost of all complete responses.
    pub cost: f64,
    /// Cost of a thousand complete responses.
    pub cost_per_thousand: f64,
    /// Median time from the scheduled send to the end of the response, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of that time.
    pub p99_ms: f64,
    /// 95th percentile of the time to the first byte of the streaming service, in milliseconds.
    pub first_p95_ms: f64,
    /// Number of sends by result code.
    pub codes: BTreeMap<u16, usize>,
}

/// Computes the statistics of the sends that a filter selects.
///
/// # Panics
///
/// Never panics: the bounds of the histograms are constants.
pub fn figures(
    data: &HistoryData,
    stream_service: &str,
    wanted: impl Fn(&SendRecord) -> bool,
) -> RunFigures {
    let mut final_sends: BTreeMap<u64, &SendRecord> = BTreeMap::new();
    let mut figures = RunFigures::default();
    for send in data.sends.iter().filter(|send| wanted(send)) {
        *figures.codes.entry(send.code).or_default() += 1;
        let replaces = final_sends
            .get(&send.operation)
            .is_none_or(|known| !is_complete(known));
        if replaces {
            final_sends.insert(send.operation, send);
        }
    }
    let mut durations = new_histogram();
    let mut first_byte_delays = new_histogram();
    let mut away = 0;
    for send in final_sends.values() {
        figures.operations += 1;
        match &send.end {
            SendOutcome::Whole { .. } => {
                figures.answered += 1;
                away += usize::from(send.served != send.home);
                figures.cost += send.cost;
                durations.saturating_record(
                    send.ended.saturating_sub(send.scheduled).as_micros() as u64
                );
                if let Some(delay) = send.first_byte.filter(|_| &*send.service == stream_service) {
                    first_byte_delays.saturating_record(delay.as_micros() as u64);
                }
            }
            SendOutcome::Told(Execution::NotRun) => figures.refused += 1,
            SendOutcome::Told(_)
            | SendOutcome::CutOff
            | SendOutcome::FalseEnd
            | SendOutcome::NoAnswer => {
                figures.unknown += 1;
            }
        }
    }
    let millis = |histogram: &Histogram<u64>, quantile: f64| {
        histogram.value_at_quantile(quantile) as f64 / 1_000.0
    };
    figures.away_share = ratio(away, figures.answered);
    figures.cost_per_thousand = if figures.answered == 0 {
        0.0
    } else {
        figures.cost / figures.answered as f64 * 1_000.0
    };
    figures.p50_ms = millis(&durations, 0.5);
    figures.p99_ms = millis(&durations, 0.99);
    figures.first_p95_ms = millis(&first_byte_delays, 0.95);
    figures
}

/// Returns `part / whole`, or 0 if `whole` is 0.
pub fn ratio(part: usize, whole: usize) -> f64 {
    if whole == 0 {
        0.0
    } else {
        part as f64 / whole as f64
    }
}

/// Creates a histogram of durations in microseconds, up to ten minutes.
///
/// # Panics
///
/// Never panics: the bounds are constants.
pub fn new_histogram() -> Histogram<u64> {
    const MAX_MICROS: u64 = 600_000_000;
    Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("the bounds are valid")
}

fn is_complete(send: &SendRecord) -> bool {
    matches!(send.end, SendOutcome::Whole { .. })
}

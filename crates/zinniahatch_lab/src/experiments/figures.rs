//! Figures of a history.

use crate::history::HistoryData;
use crate::history::SendOutcome;
use crate::history::SendRecord;
use hdrhistogram::Histogram;
use serde::Serialize;
use zinniahatch_base::prelude::*;

/// What a run gave.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RunFigures {
    /// Operations sent.
    pub operations: usize,
    /// Operations answered whole.
    pub answered: usize,
    /// Operations whose last word was "not run".
    pub refused: usize,
    /// Operations whose outcome stayed unknown, cut off or without an answer.
    pub unknown: usize,
    /// Share of answers served away from the home region.
    pub away_share: f64,
    /// Cost of all answers.
    pub cost: f64,
    /// Cost of a thousand answers.
    pub cost_per_thousand: f64,
    /// Median delay to the end, in milliseconds, from the intended send.
    pub p50_ms: f64,
    /// 99th percentile of it.
    pub p99_ms: f64,
    /// 95th percentile of the delay to the first token of streams, in milliseconds.
    pub first_p95_ms: f64,
    /// Answers refused, by code.
    pub codes: BTreeMap<u16, usize>,
}

/// Computes the figures of the sends that a filter takes.
///
/// # Panics
///
/// Never: the histograms' bounds are constants.
pub fn figures(
    data: &HistoryData,
    stream_service: &str,
    wanted: impl Fn(&SendRecord) -> bool,
) -> RunFigures {
    let mut ends: BTreeMap<u64, &SendRecord> = BTreeMap::new();
    let mut figures = RunFigures::default();
    for send in data.sends.iter().filter(|send| wanted(send)) {
        *figures.codes.entry(send.code).or_default() += 1;
        let better = ends
            .get(&send.operation)
            .is_none_or(|known| !is_whole(known));
        if better {
            ends.insert(send.operation, send);
        }
    }
    let mut whole = new_histogram();
    let mut first = new_histogram();
    let mut away = 0;
    for send in ends.values() {
        figures.operations += 1;
        match &send.end {
            SendOutcome::Whole { .. } => {
                figures.answered += 1;
                away += usize::from(send.served != send.home);
                figures.cost += send.cost;
                whole.saturating_record(
                    send.ended.saturating_sub(send.scheduled).as_micros() as u64
                );
                if let Some(delay) = send.first_byte.filter(|_| &*send.service == stream_service) {
                    first.saturating_record(delay.as_micros() as u64);
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
    figures.p50_ms = millis(&whole, 0.5);
    figures.p99_ms = millis(&whole, 0.99);
    figures.first_p95_ms = millis(&first, 0.95);
    figures
}

/// Gives a share, 0 of nothing.
pub fn ratio(part: usize, whole: usize) -> f64 {
    if whole == 0 {
        0.0
    } else {
        part as f64 / whole as f64
    }
}

/// Makes a histogram of microseconds up to ten minutes.
///
/// # Panics
///
/// Never: the bounds are constants.
pub fn new_histogram() -> Histogram<u64> {
    const MOST: u64 = 600_000_000;
    Histogram::new_with_bounds(1, MOST, 3).expect("the bounds are right")
}

fn is_whole(send: &SendRecord) -> bool {
    matches!(send.end, SendOutcome::Whole { .. })
}

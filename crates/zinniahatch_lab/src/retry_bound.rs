//! The bound on retries over all nodes, checked from outside: sends that reached replicas beyond the
//! first of each request, against the requests that callers sent.

use zinniahatch_base::prelude::*;

/// The bound as operators state it.
#[derive(Clone, Copy, Debug)]
pub struct RetryBound {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in addition.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl RetryBound {
    /// The platform's bound with another slack.
    pub const fn with_slack(slack: f64) -> Self {
        Self {
            ratio: 0.2,
            slack,
            window: Duration::from_secs(10),
        }
    }
}

/// A window in which replicas received more retries than the bound allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExceededWindow {
    /// Start of the window, from the first request.
    pub from: Duration,
    /// Retries that reached replicas.
    pub retries: usize,
    /// Requests that the bound is derived from.
    pub requests: usize,
    /// Retries allowed.
    pub allowed: f64,
}

/// When callers sent requests, and when sends of them reached replicas.
#[derive(Clone, Debug, Default)]
pub struct RetryRecord {
    requests: Vec<Instant>,
    arrivals: Vec<(Instant, Box<str>)>,
}

impl RetryRecord {
    /// Records a request that a caller sent.
    pub fn record_request(&mut self, at: Instant) {
        self.requests.push(at);
    }

    /// Records that a send of a request reached a replica.
    pub fn record_arrival(&mut self, attempt: &str, at: Instant) {
        self.arrivals.push((at, attempt.into()));
    }

    /// Returns when sends beyond the first of each request arrived, in order.
    pub fn retries(&self) -> Vec<Instant> {
        let mut arrivals = self.arrivals.clone();
        arrivals.sort();
        let mut seen = BTreeSet::new();
        arrivals.retain(|(_, attempt)| !seen.insert(attempt.clone()));
        arrivals.into_iter().map(|(at, _)| at).collect()
    }

    /// Finds the window that exceeds the bound by most.
    ///
    /// The requests of the window, of the one before it or of the one half a window before it
    /// count, whichever are most.
    pub fn exceeded_window(&self, bound: &RetryBound) -> Option<ExceededWindow> {
        let mut requests = self.requests.clone();
        requests.sort();
        let start = *requests.first()?;
        let retries = self.retries();
        let ends = retries.iter().filter_map(|at| at.checked_sub(bound.window));
        let starts = retries.iter().copied().chain(ends);
        let exceeded = starts.filter_map(|from| {
            let requests = [Duration::ZERO, bound.window, bound.window / 2]
                .iter()
                .filter_map(|back| from.checked_sub(*back))
                .map(|from| count_in(&requests, from, bound.window))
                .max()?;
            let retries = count_in(&retries, from, bound.window);
            let allowed = bound.ratio * requests as f64 + bound.slack;
            (retries as f64 > allowed).then_some(ExceededWindow {
                from: from.saturating_duration_since(start),
                retries,
                requests,
                allowed,
            })
        });
        exceeded.max_by(|one, other| one.excess().total_cmp(&other.excess()))
    }
}

impl ExceededWindow {
    fn excess(&self) -> f64 {
        self.retries as f64 / self.allowed
    }
}

/// Returns how many of the sorted `times` fall into a window, both ends included.
fn count_in(times: &[Instant], from: Instant, window: Duration) -> usize {
    let first = times.partition_point(|at| *at < from);
    let last = times.partition_point(|at| *at <= from + window);
    last - first
}

//! Rate limits that a replica announced, checked against the requests that reached it.

use zinniahatch_base::prelude::*;

/// Length of the sliding window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Tolerance factor on the requests that the limit allows in a window.
const OVERRUN_FACTOR: f64 = 1.5;
/// Requests tolerated in addition.
const SLACK: f64 = 5.0;

/// A window with more requests than the limit and the tolerance allow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BrokenWindow {
    /// End of the window, from the first announcement of the limit.
    pub ended: Duration,
    /// Requests in the window.
    pub requests: usize,
    /// Requests that the limit and the tolerance allow.
    pub allowed: f64,
}

/// The rate limits that a replica announced, and the arrival times of requests.
#[derive(Clone, Debug, Default)]
pub struct LimitRecord {
    /// Changes of the limit with their times; `None` lifts it.
    announced: Vec<(Instant, Option<RequestRate>)>,
    arrivals: Vec<Instant>,
}

impl LimitRecord {
    /// Records that the replica announces a limit from `now` on, or none.
    pub fn record_limit(&mut self, rate: Option<RequestRate>, now: Instant) {
        self.announced.push((now, rate));
    }

    /// Records a request.
    pub fn record_arrival(&mut self, now: Instant) {
        self.arrivals.push(now);
    }

    /// Returns the limit that is announced now.
    pub fn rate(&self) -> Option<RequestRate> {
        self.announced.last().and_then(|(_, rate)| *rate)
    }

    /// Returns the number of requests that arrived since `from`.
    pub fn arrivals_since(&self, from: Instant) -> usize {
        self.arrivals.iter().filter(|at| **at >= from).count()
    }

    /// Returns the largest number of requests in any interval of length `span` since `from`.
    pub fn max_within(&self, span: Duration, from: Instant) -> usize {
        let arrivals: Vec<&Instant> = self.arrivals.iter().filter(|at| **at >= from).collect();
        let counts = arrivals.iter().enumerate().map(|(index, end)| {
            let before = arrivals[..index].iter().rev();
            1 + before
                .take_while(|at| end.saturating_duration_since(***at) < span)
                .count()
        });
        counts.max().unwrap_or(0)
    }

    /// Finds the first window with more requests than allowed.
    ///
    /// Only windows that end later than `grace` after the limit was first announced and before it is
    /// lifted count, and only those for which `is_exempt` returns `false`.
    pub fn broken_window(
        &self,
        grace: Duration,
        is_exempt: impl Fn(Instant, Instant) -> bool,
    ) -> Option<BrokenWindow> {
        let mut since: Option<Instant> = None;
        for (index, (from, rate)) in self.announced.iter().enumerate() {
            if rate.is_none() {
                since = None;
                continue;
            }
            let first = *since.get_or_insert(*from);
            let until = self.announced.get(index + 1).map(|(at, _)| *at);
            let found = self.broken_between(first, first + grace, *from, until, &is_exempt);
            if found.is_some() {
                return found;
            }
        }
        None
    }

    /// Checks the windows that end at `begin` or later, while one limit was in force.
    fn broken_between(
        &self,
        first: Instant,
        begin: Instant,
        from: Instant,
        until: Option<Instant>,
        is_exempt: &impl Fn(Instant, Instant) -> bool,
    ) -> Option<BrokenWindow> {
        for (index, end) in self.arrivals.iter().enumerate() {
            if *end < from.max(begin) || until.is_some_and(|until| *end >= until) {
                continue;
            }
            let start = end.checked_sub(WINDOW).unwrap_or(*end);
            if is_exempt(start, *end) {
                continue;
            }
            let before = self.arrivals[..index].iter().rev();
            let requests = 1 + before.take_while(|at| **at > start).count();
            let allowed = OVERRUN_FACTOR * self.allowed(start, *end) + SLACK;
            if requests as f64 > allowed {
                return Some(BrokenWindow {
                    ended: end.saturating_duration_since(first),
                    requests,
                    allowed,
                });
            }
        }
        None
    }

    /// Returns the number of requests that the announced limits allow between two times.
    fn allowed(&self, start: Instant, end: Instant) -> f64 {
        let mut sum = 0.0;
        for (index, (from, rate)) in self.announced.iter().enumerate() {
            let Some(rate) = rate else {
                continue;
            };
            let until = self.announced.get(index + 1).map_or(end, |(at, _)| *at);
            let span = until.min(end).saturating_duration_since((*from).max(start));
            sum += rate * span.as_secs_f64();
        }
        sum
    }
}

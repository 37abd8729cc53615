//! Checks the operators' bounds against the requests that reached the simulated replicas.

use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which a leaving replica is sent nothing by a node that it has notified.
const DRAIN_TIME: Duration = Duration::from_secs(4);
/// Time after which a node observes a backoff or a rate limit.
const REACTION_TIME: Duration = Duration::from_millis(500);
/// Number of requests during a backoff that are no violation.
const BACKOFF_SLACK: usize = 2;
/// Bound on rate-limited requests: a window, the factor on what the limit allows in it, and a
/// number of requests on top.
const WINDOW: Duration = Duration::from_secs(4);
const OVERRUN: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Time after the start of a limit, or after a fault of a node, for which that bound does not
/// apply.
const SETTLING_TIME: Duration = Duration::from_secs(6);
/// Bound on the requests to a cold replica: a window, and the number of requests in it.
const COLD_WINDOW: Duration = Duration::from_secs(1);
const MAX_COLD_REQUESTS: usize = 6;

/// Bound that was exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ViolatedBound {
    Leaving,
    Rest,
    Limit,
    Cold,
}

#[derive(Clone, Copy)]
struct ReplicaArrival {
    tag: u32,
    node: usize,
    incarnation: u64,
    probe: bool,
    at: Duration,
}

#[derive(Clone, Copy)]
struct RequestedBackoff {
    tag: u32,
    node: usize,
    incarnation: u64,
    backoff: Duration,
    at: Duration,
}

#[derive(Default)]
pub(crate) struct BoundChecker {
    arrivals: Vec<ReplicaArrival>,
    backoffs: Vec<RequestedBackoff>,
    /// When a run of a node was first notified that a replica incarnation leaves, or of its limit.
    leaving_known_since: BTreeMap<(u32, usize, u64), Duration>,
    limit_known_since: BTreeMap<(u32, usize, u64), Duration>,
    limits: BTreeMap<u32, Vec<(Duration, Option<f64>)>>,
    cold: BTreeMap<u32, Duration>,
    /// Restarts and freezes of nodes.
    faults: Vec<(usize, Duration, Duration)>,
    /// Network partitions of nodes.
    partitions: Vec<(usize, Duration, Duration)>,
}

impl BoundChecker {
    pub(crate) fn note_fault(&mut self, node: usize, from: Duration, until: Duration) {
        self.faults.push((node, from, until));
    }

    pub(crate) fn note_partition(&mut self, node: usize, from: Duration, until: Duration) {
        self.partitions.push((node, from, until));
    }

    pub(crate) fn note_limit(&mut self, tag: u32, at: Duration, limit: Option<f64>) {
        self.limits.entry(tag).or_default().push((at, limit));
    }

    pub(crate) fn note_cold(&mut self, tag: u32, until: Duration) {
        self.cold.insert(tag, until);
    }

    pub(crate) fn note_leaving_received(
        &mut self,
        tag: u32,
        node: usize,
        incarnation: u64,
        at: Duration,
    ) {
        self.leaving_known_since
            .entry((tag, node, incarnation))
            .or_insert(at);
    }

    pub(crate) fn note_limit_received(
        &mut self,
        tag: u32,
        node: usize,
        incarnation: u64,
        at: Duration,
    ) {
        self.limit_known_since
            .entry((tag, node, incarnation))
            .or_insert(at);
    }

    pub(crate) fn note_backoff(
        &mut self,
        tag: u32,
        node: usize,
        incarnation: u64,
        backoff: Duration,
        at: Duration,
    ) {
        self.backoffs.push(RequestedBackoff {
            tag,
            node,
            incarnation,
            backoff,
            at,
        });
    }

    pub(crate) fn note_arrival(
        &mut self,
        tag: u32,
        node: usize,
        incarnation: u64,
        probe: bool,
        at: Duration,
    ) {
        self.arrivals.push(ReplicaArrival {
            tag,
            node,
            incarnation,
            probe,
            at,
        });
    }

    /// Returns the number of notices that bound a node, so that a run without notices is detected.
    pub(crate) fn notice_count(&self) -> usize {
        self.backoffs.len()
            + self.leaving_known_since.len()
            + self.limit_known_since.len()
            + self.cold.len()
    }

    /// Returns the bounds that were exceeded.
    pub(crate) fn violations(&self) -> Vec<ViolatedBound> {
        let bounds = [
            (ViolatedBound::Leaving, self.leaving_violated()),
            (ViolatedBound::Rest, self.backoff_violated()),
            (ViolatedBound::Limit, self.limit_violated()),
            (ViolatedBound::Cold, self.cold_violated()),
        ];
        let violated = bounds.iter().filter(|(_, violated)| *violated);
        violated.map(|(bound, _)| *bound).collect()
    }

    /// Returns whether a node was restarted, frozen or, with `include_partitions`, partitioned in a
    /// period.
    fn is_exempt(
        &self,
        node: usize,
        from: Duration,
        until: Duration,
        include_partitions: bool,
    ) -> bool {
        let hits = |(other, begin, end): &(usize, Duration, Duration)| {
            *other == node && *begin <= until && from <= *end
        };
        self.faults.iter().any(hits) || (include_partitions && self.partitions.iter().any(hits))
    }

    fn leaving_violated(&self) -> bool {
        self.arrivals.iter().any(|arrival| {
            let key = (arrival.tag, arrival.node, arrival.incarnation);
            let first = self.leaving_known_since.get(&key);
            first.is_some_and(|first| {
                let late = arrival.at > *first + DRAIN_TIME && !arrival.probe;
                late && !self.is_exempt(arrival.node, *first, arrival.at, false)
            })
        })
    }

    fn backoff_violated(&self) -> bool {
        self.backoffs.iter().any(|requested| {
            let (from, until) = (
                requested.at + REACTION_TIME,
                requested.at + requested.backoff,
            );
            let within = self.arrivals.iter().filter(|arrival| {
                let same = arrival.tag == requested.tag
                    && arrival.node == requested.node
                    && arrival.incarnation == requested.incarnation;
                same && arrival.at > from
                    && arrival.at < until
                    && !self.is_exempt(requested.node, requested.at, arrival.at, true)
            });
            within.count() > BACKOFF_SLACK
        })
    }

    fn limit_violated(&self) -> bool {
        self.limits
            .iter()
            .any(|(tag, limits)| self.limit_violated_for(*tag, limits))
    }

    fn limit_violated_for(&self, tag: u32, limits: &[(Duration, Option<f64>)]) -> bool {
        let counted = self.arrivals.iter().filter(|arrival| {
            let key = (arrival.tag, arrival.node, arrival.incarnation);
            let first = self.limit_known_since.get(&key);
            arrival.tag == tag
                && first.is_some_and(|first| *first + REACTION_TIME <= arrival.at)
                && !self.is_exempt(
                    arrival.node,
                    arrival.at.saturating_sub(SETTLING_TIME),
                    arrival.at,
                    true,
                )
        });
        let arrivals: Vec<Duration> = counted.map(|arrival| arrival.at).collect();
        arrivals.iter().enumerate().any(|(index, end)| {
            let spans = limits
                .iter()
                .enumerate()
                .filter_map(|(position, (from, rate))| {
                    let until = limits.get(position + 1).map(|(at, _)| *at);
                    Some((*from, until.unwrap_or(Duration::MAX), (*rate)?))
                });
            let mut within =
                spans.filter(|(from, until, _)| *from + SETTLING_TIME <= *end && *end < *until);
            let Some((from, _, rate)) = within.next() else {
                return false;
            };
            let start = end.saturating_sub(WINDOW);
            let span = end.saturating_sub(from.max(start)).as_secs_f64();
            let before = arrivals[..index].iter().rev();
            let requests = 1 + before.take_while(|at| **at > start).count();
            requests as f64 > OVERRUN * rate * span + SLACK
        })
    }

    fn cold_violated(&self) -> bool {
        self.cold.iter().any(|(tag, until)| {
            let counted = self.arrivals.iter().filter(|arrival| arrival.tag == *tag);
            let arrivals: Vec<Duration> = counted
                .map(|arrival| arrival.at)
                .filter(|at| at < until)
                .collect();
            arrivals
                .windows(MAX_COLD_REQUESTS + 1)
                .any(|run| run[MAX_COLD_REQUESTS].saturating_sub(run[0]) < COLD_WINDOW)
        })
    }
}

//! The operators' bounds, on what reached the replicas of the model.

use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which a replica that leaves gets nothing from a node that it has told.
const DRAIN: Duration = Duration::from_secs(4);
/// Time after which a node keeps to a rest, and requests in it that break nothing.
const HEED: Duration = Duration::from_millis(500);
const REST_SLACK: usize = 2;
/// The bound of rate limits: a span, a factor, requests beyond that, and the time after which it holds.
const WINDOW: Duration = Duration::from_secs(4);
const OVERRUN: f64 = 1.5;
const SLACK: f64 = 5.0;
const CONTACT: Duration = Duration::from_secs(6);
/// The bound of cold replicas: requests in a second.
const COLD_SPAN: Duration = Duration::from_secs(1);
const MOST_COLD: usize = 6;

/// A bound that was passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum BrokenBound {
    Leaving,
    Rest,
    Limit,
    Cold,
}

#[derive(Clone, Copy)]
struct FleetArrival {
    tag: u32,
    node: usize,
    start: u64,
    probe: bool,
    at: Duration,
}

#[derive(Clone, Copy)]
struct AskedRest {
    tag: u32,
    node: usize,
    start: u64,
    rest: Duration,
    at: Duration,
}

#[derive(Default)]
pub(crate) struct FleetJudge {
    arrivals: Vec<FleetArrival>,
    rests: Vec<AskedRest>,
    /// When a node's start was first told that a life leaves, or of its limit.
    told_leaving: BTreeMap<(u32, usize, u64), Duration>,
    told_limit: BTreeMap<(u32, usize, u64), Duration>,
    limits: BTreeMap<u32, Vec<(Duration, Option<f64>)>>,
    cold: BTreeMap<u32, Duration>,
    /// Restarts and freezes by node, and cuts.
    faults: Vec<(usize, Duration, Duration)>,
    cuts: Vec<(usize, Duration, Duration)>,
}

impl FleetJudge {
    pub(crate) fn excuse(&mut self, node: usize, from: Duration, until: Duration) {
        self.faults.push((node, from, until));
    }

    pub(crate) fn note_cut(&mut self, node: usize, from: Duration, until: Duration) {
        self.cuts.push((node, from, until));
    }

    pub(crate) fn note_limit(&mut self, tag: u32, at: Duration, limit: Option<f64>) {
        self.limits.entry(tag).or_default().push((at, limit));
    }

    pub(crate) fn note_cold(&mut self, tag: u32, until: Duration) {
        self.cold.insert(tag, until);
    }

    pub(crate) fn note_told_leaving(&mut self, tag: u32, node: usize, start: u64, at: Duration) {
        self.told_leaving.entry((tag, node, start)).or_insert(at);
    }

    pub(crate) fn note_told_limit(&mut self, tag: u32, node: usize, start: u64, at: Duration) {
        self.told_limit.entry((tag, node, start)).or_insert(at);
    }

    pub(crate) fn note_rest(
        &mut self,
        tag: u32,
        node: usize,
        start: u64,
        rest: Duration,
        at: Duration,
    ) {
        self.rests.push(AskedRest {
            tag,
            node,
            start,
            rest,
            at,
        });
    }

    pub(crate) fn note_arrival(
        &mut self,
        tag: u32,
        node: usize,
        start: u64,
        probe: bool,
        at: Duration,
    ) {
        self.arrivals.push(FleetArrival {
            tag,
            node,
            start,
            probe,
            at,
        });
    }

    /// Gives how often replicas said something that bound a node, so that a test that nobody plays is seen.
    pub(crate) fn said(&self) -> usize {
        self.rests.len() + self.told_leaving.len() + self.told_limit.len() + self.cold.len()
    }

    /// Gives the bounds that were passed.
    pub(crate) fn broken(&self) -> Vec<BrokenBound> {
        let bounds = [
            (BrokenBound::Leaving, self.leaving_broken()),
            (BrokenBound::Rest, self.rest_broken()),
            (BrokenBound::Limit, self.limit_broken()),
            (BrokenBound::Cold, self.cold_broken()),
        ];
        let broken = bounds.iter().filter(|(_, broken)| *broken);
        broken.map(|(bound, _)| *bound).collect()
    }

    /// Tells whether a node was restarted, frozen or, where `cuts` count, cut off in a span.
    fn excused(&self, node: usize, from: Duration, until: Duration, cuts: bool) -> bool {
        let hits = |(other, begin, end): &(usize, Duration, Duration)| {
            *other == node && *begin <= until && from <= *end
        };
        self.faults.iter().any(hits) || (cuts && self.cuts.iter().any(hits))
    }

    fn leaving_broken(&self) -> bool {
        self.arrivals.iter().any(|arrival| {
            let told = (arrival.tag, arrival.node, arrival.start);
            let first = self.told_leaving.get(&told);
            first.is_some_and(|first| {
                let late = arrival.at > *first + DRAIN && !arrival.probe;
                late && !self.excused(arrival.node, *first, arrival.at, false)
            })
        })
    }

    fn rest_broken(&self) -> bool {
        self.rests.iter().any(|asked| {
            let (from, until) = (asked.at + HEED, asked.at + asked.rest);
            let within = self.arrivals.iter().filter(|arrival| {
                let same = arrival.tag == asked.tag
                    && arrival.node == asked.node
                    && arrival.start == asked.start;
                same && arrival.at > from
                    && arrival.at < until
                    && !self.excused(asked.node, asked.at, arrival.at, true)
            });
            within.count() > REST_SLACK
        })
    }

    fn limit_broken(&self) -> bool {
        self.limits
            .iter()
            .any(|(tag, named)| self.limit_broken_by(*tag, named))
    }

    fn limit_broken_by(&self, tag: u32, named: &[(Duration, Option<f64>)]) -> bool {
        let counted = self.arrivals.iter().filter(|arrival| {
            let told = (arrival.tag, arrival.node, arrival.start);
            let first = self.told_limit.get(&told);
            arrival.tag == tag
                && first.is_some_and(|first| *first + HEED <= arrival.at)
                && !self.excused(
                    arrival.node,
                    arrival.at.saturating_sub(CONTACT),
                    arrival.at,
                    true,
                )
        });
        let arrivals: Vec<Duration> = counted.map(|arrival| arrival.at).collect();
        arrivals.iter().enumerate().any(|(index, end)| {
            let spans = named
                .iter()
                .enumerate()
                .filter_map(|(number, (from, rate))| {
                    let until = named.get(number + 1).map(|(at, _)| *at);
                    Some((*from, until.unwrap_or(Duration::MAX), (*rate)?))
                });
            let mut within =
                spans.filter(|(from, until, _)| *from + CONTACT <= *end && *end < *until);
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

    fn cold_broken(&self) -> bool {
        self.cold.iter().any(|(tag, until)| {
            let counted = self.arrivals.iter().filter(|arrival| arrival.tag == *tag);
            let arrivals: Vec<Duration> = counted
                .map(|arrival| arrival.at)
                .filter(|at| at < until)
                .collect();
            arrivals
                .windows(MOST_COLD + 1)
                .any(|run| run[MOST_COLD].saturating_sub(run[0]) < COLD_SPAN)
        })
    }
}

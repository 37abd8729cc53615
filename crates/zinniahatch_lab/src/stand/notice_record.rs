//! What a replica told of its leaving and of its rests, and whether what reached it kept to that.

use zinniahatch_base::prelude::*;

/// Time after which a node must keep to a rest that it was told of.
const HEED_TIME: Duration = Duration::from_millis(500);
/// Requests from one node in a rest that break no promise.
const REST_SLACK: usize = 2;

/// What an answer said.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SaidNotice {
    Leaving,
    Rest(Duration),
}

/// An answer that said something.
#[derive(Clone, Debug)]
struct SaidAnswer {
    at: Instant,
    attempt: Box<str>,
    said: SaidNotice,
}

/// Requests that reached a replica though it had told their node otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrokenNotice {
    /// The node.
    pub node: usize,
    /// Time from the answer that said so to the last of the requests.
    pub after: Duration,
    /// The requests.
    pub requests: usize,
}

/// The notices of one life of a replica, and the requests that reached it.
#[derive(Clone, Debug, Default)]
pub struct NoticeRecord {
    said: Vec<SaidAnswer>,
    arrivals: Vec<(Instant, Box<str>)>,
}

impl NoticeRecord {
    /// Notes a request of a caller.
    pub(crate) fn note_arrival(&mut self, attempt: &str, now: Instant) {
        self.arrivals.push((now, attempt.into()));
    }

    /// Notes an answer that said that the replica leaves.
    pub(crate) fn note_leaving(&mut self, attempt: &str, now: Instant) {
        self.note(attempt, SaidNotice::Leaving, now);
    }

    /// Notes an answer that asked for a rest.
    pub(crate) fn note_rest(&mut self, attempt: &str, rest: Duration, now: Instant) {
        self.note(attempt, SaidNotice::Rest(rest), now);
    }

    fn note(&mut self, attempt: &str, said: SaidNotice, now: Instant) {
        self.said.push(SaidAnswer {
            at: now,
            attempt: attempt.into(),
            said,
        });
    }

    /// Gives the answers that asked for a rest.
    pub fn rests(&self) -> usize {
        let rests = self.said.iter().map(|answer| answer.said);
        rests.filter(|said| *said != SaidNotice::Leaving).count()
    }

    /// Gives the requests of callers that arrived since a moment.
    pub fn arrivals_since(&self, from: Instant) -> usize {
        self.arrivals.iter().filter(|(at, _)| *at >= from).count()
    }

    /// Finds a request that came later than `bound` after its node had been told that the replica leaves.
    ///
    /// `node_of` names the node that sent an attempt; `excused` tells whether something befell it in a span.
    pub fn broken_leaving(
        &self,
        bound: Duration,
        node_of: impl Fn(&str) -> Option<usize>,
        excused: impl Fn(usize, Instant, Instant) -> bool,
    ) -> Option<BrokenNotice> {
        let mut told: BTreeMap<usize, Instant> = BTreeMap::new();
        for answer in &self.said {
            if let (SaidNotice::Leaving, Some(node)) = (answer.said, node_of(&answer.attempt)) {
                told.entry(node).or_insert(answer.at);
            }
        }
        self.arrivals.iter().find_map(|(at, attempt)| {
            let node = node_of(attempt)?;
            let first = *told.get(&node)?;
            let after = at.checked_duration_since(first)?;
            (after > bound && !excused(node, first, *at)).then_some(BrokenNotice {
                node,
                after,
                requests: 1,
            })
        })
    }

    /// Finds a rest in which more requests than two came from the node that was asked for it.
    pub fn broken_rest(
        &self,
        node_of: impl Fn(&str) -> Option<usize>,
        excused: impl Fn(usize, Instant, Instant) -> bool,
    ) -> Option<BrokenNotice> {
        self.said.iter().find_map(|answer| {
            let SaidNotice::Rest(rest) = answer.said else {
                return None;
            };
            let node = node_of(&answer.attempt)?;
            let (from, until) = (answer.at + HEED_TIME, answer.at + rest);
            let within = self
                .arrivals
                .iter()
                .filter(|(at, attempt)| *at > from && *at < until && node_of(attempt) == Some(node))
                .filter(|(at, _)| !excused(node, answer.at, *at));
            let found: Vec<Instant> = within.map(|(at, _)| *at).collect();
            (found.len() > REST_SLACK).then_some(BrokenNotice {
                node,
                after: found.last()?.saturating_duration_since(answer.at),
                requests: found.len(),
            })
        })
    }
}

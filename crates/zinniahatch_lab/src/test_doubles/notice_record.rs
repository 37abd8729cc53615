//! What a replica told of its leaving and of its rests, and whether what reached it kept to that.

use zinniahatch_base::prelude::*;

/// Time after which a node must keep to a rest that it was told of.
const REACTION_TIME: Duration = Duration::from_millis(500);
/// Requests from one node in a rest that break no promise.
const BACKOFF_SLACK: usize = 2;

/// What an answer said.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Notice {
    Leaving,
    Backoff(Duration),
}

/// An answer that said something.
#[derive(Clone, Debug)]
struct SentNotice {
    at: Instant,
    attempt: Box<str>,
    notice: Notice,
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
    sent: Vec<SentNotice>,
    arrivals: Vec<(Instant, Box<str>)>,
}

impl NoticeRecord {
    /// Notes a request of a caller.
    pub(crate) fn record_arrival(&mut self, attempt: &str, now: Instant) {
        self.arrivals.push((now, attempt.into()));
    }

    /// Notes an answer that said that the replica leaves.
    pub(crate) fn record_leaving(&mut self, attempt: &str, now: Instant) {
        self.record(attempt, Notice::Leaving, now);
    }

    /// Notes an answer that asked for a rest.
    pub(crate) fn record_backoff(&mut self, attempt: &str, backoff: Duration, now: Instant) {
        self.record(attempt, Notice::Backoff(backoff), now);
    }

    fn record(&mut self, attempt: &str, notice: Notice, now: Instant) {
        self.sent.push(SentNotice {
            at: now,
            attempt: attempt.into(),
            notice,
        });
    }

    /// Gives the answers that asked for a rest.
    pub fn backoffs(&self) -> usize {
        let notices = self.sent.iter().map(|sent| sent.notice);
        notices.filter(|notice| *notice != Notice::Leaving).count()
    }

    /// Gives the requests of callers that arrived since a moment.
    pub fn arrivals_since(&self, from: Instant) -> usize {
        self.arrivals.iter().filter(|(at, _)| *at >= from).count()
    }

    /// Finds a request that came later than `bound` after its node had been told that the replica leaves.
    ///
    /// `node_of` names the node that sent an attempt; `excused` tells whether something befell it in a span.
    pub fn leaving_violation(
        &self,
        bound: Duration,
        node_of: impl Fn(&str) -> Option<usize>,
        excused: impl Fn(usize, Instant, Instant) -> bool,
    ) -> Option<BrokenNotice> {
        let mut told: BTreeMap<usize, Instant> = BTreeMap::new();
        for sent in &self.sent {
            if let (Notice::Leaving, Some(node)) = (sent.notice, node_of(&sent.attempt)) {
                told.entry(node).or_insert(sent.at);
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
    pub fn backoff_violation(
        &self,
        node_of: impl Fn(&str) -> Option<usize>,
        excused: impl Fn(usize, Instant, Instant) -> bool,
    ) -> Option<BrokenNotice> {
        self.sent.iter().find_map(|sent| {
            let Notice::Backoff(backoff) = sent.notice else {
                return None;
            };
            let node = node_of(&sent.attempt)?;
            let (from, until) = (sent.at + REACTION_TIME, sent.at + backoff);
            let within = self
                .arrivals
                .iter()
                .filter(|(at, attempt)| *at > from && *at < until && node_of(attempt) == Some(node))
                .filter(|(at, _)| !excused(node, sent.at, *at));
            let found: Vec<Instant> = within.map(|(at, _)| *at).collect();
            (found.len() > BACKOFF_SLACK).then_some(BrokenNotice {
                node,
                after: found.last()?.saturating_duration_since(sent.at),
                requests: found.len(),
            })
        })
    }
}

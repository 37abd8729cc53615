//! Drain and backoff notices that a replica sent, checked against the requests that reached it.

use zinniahatch_base::prelude::*;

/// Time within which a node must react to a backoff notice.
const REACTION_TIME: Duration = Duration::from_millis(500);
/// Requests that one node may send during a backoff without violating it.
const BACKOFF_SLACK: usize = 2;

/// A notice in a response.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Notice {
    Leaving,
    Backoff(Duration),
}

/// A response with a notice.
#[derive(Clone, Debug)]
struct SentNotice {
    at: Instant,
    attempt: Box<str>,
    notice: Notice,
}

/// Requests that reached a replica in spite of a notice to the node that sent them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrokenNotice {
    /// The node.
    pub node: usize,
    /// Time from the response with the notice to the last of the requests.
    pub after: Duration,
    /// Number of requests.
    pub requests: usize,
}

/// The notices sent by one incarnation of a replica, and the requests that reached it.
#[derive(Clone, Debug, Default)]
pub struct NoticeRecord {
    sent: Vec<SentNotice>,
    arrivals: Vec<(Instant, Box<str>)>,
}

impl NoticeRecord {
    /// Records a request of a caller.
    pub(crate) fn record_arrival(&mut self, attempt: &str, now: Instant) {
        self.arrivals.push((now, attempt.into()));
    }

    /// Records a response that announced that the replica is leaving.
    pub(crate) fn record_leaving(&mut self, attempt: &str, now: Instant) {
        self.record(attempt, Notice::Leaving, now);
    }

    /// Records a response that requested a backoff.
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

    /// Returns the number of responses that requested a backoff.
    pub fn backoffs(&self) -> usize {
        let notices = self.sent.iter().map(|sent| sent.notice);
        notices.filter(|notice| *notice != Notice::Leaving).count()
    }

    /// Returns the number of callers' requests that arrived since `from`.
    pub fn arrivals_since(&self, from: Instant) -> usize {
        self.arrivals.iter().filter(|(at, _)| *at >= from).count()
    }

    /// Finds a request that arrived more than `bound` after the node that sent it had got the notice
    /// that the replica is leaving.
    ///
    /// `node_of` returns the node that sent an attempt; `is_exempt` returns whether a fault hit that
    /// node in an interval.
    pub fn leaving_violation(
        &self,
        bound: Duration,
        node_of: impl Fn(&str) -> Option<usize>,
        is_exempt: impl Fn(usize, Instant, Instant) -> bool,
    ) -> Option<BrokenNotice> {
        let mut notified: BTreeMap<usize, Instant> = BTreeMap::new();
        for sent in &self.sent {
            if let (Notice::Leaving, Some(node)) = (sent.notice, node_of(&sent.attempt)) {
                notified.entry(node).or_insert(sent.at);
            }
        }
        self.arrivals.iter().find_map(|(at, attempt)| {
            let node = node_of(attempt)?;
            let first = *notified.get(&node)?;
            let after = at.checked_duration_since(first)?;
            (after > bound && !is_exempt(node, first, *at)).then_some(BrokenNotice {
                node,
                after,
                requests: 1,
            })
        })
    }

    /// Finds a backoff during which the node that got the notice sent more than `BACKOFF_SLACK`
    /// requests.
    ///
    /// The first `REACTION_TIME` does not count.
    pub fn backoff_violation(
        &self,
        node_of: impl Fn(&str) -> Option<usize>,
        is_exempt: impl Fn(usize, Instant, Instant) -> bool,
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
                .filter(|(at, _)| !is_exempt(node, sent.at, *at));
            let found: Vec<Instant> = within.map(|(at, _)| *at).collect();
            (found.len() > BACKOFF_SLACK).then_some(BrokenNotice {
                node,
                after: found.last()?.saturating_duration_since(sent.at),
                requests: found.len(),
            })
        })
    }
}

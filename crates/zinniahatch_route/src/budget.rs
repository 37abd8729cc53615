//! Budgets that hold over all nodes without a message between them.
//!
//! Each node takes a fixed share of what the fleet may do, so that the sum holds also where nodes
//! cannot hear each other.

use std::collections::VecDeque;
use zinniahatch_base::prelude::*;

/// Part of the allowed ratio that a node uses; the rest covers requests that were cut off before
/// a backend server's side counted them.
const RATIO_SAFETY: f64 = 0.85;
/// Part of the shared slack that nodes use together. A process that is restarted forgets what its
/// predecessor spent; all of ten nodes may start anew within the window, and their slacks still
/// fit. The ratio needs no such care: a fresh process starts with no requests to take it from.
const SLACK_SAFETY: f64 = 0.5;

/// Sending a request once more, for one service on one node.
#[derive(Clone, Debug)]
pub struct RepeatBudget {
    window: Duration,
    ratio: f64,
    slack: f64,
    firsts: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl RepeatBudget {
    /// Makes the share of one node out of `nodes`.
    pub fn new(window: Duration, ratio: f64, slack: f64, nodes: usize) -> Self {
        Self {
            window,
            ratio: ratio * RATIO_SAFETY,
            slack: slack * SLACK_SAFETY / nodes.max(1) as f64,
            firsts: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    fn prune(&mut self, now: Instant) {
        for queue in [&mut self.firsts, &mut self.repeats] {
            while queue
                .front()
                .is_some_and(|at| now.saturating_duration_since(*at) > self.window)
            {
                queue.pop_front();
            }
        }
    }

    /// Notes a request that callers sent.
    pub fn note_first(&mut self, now: Instant) {
        self.prune(now);
        self.firsts.push_back(now);
    }

    /// Takes one repeat if the budget allows it.
    pub fn take(&mut self, now: Instant) -> bool {
        self.prune(now);
        let allowed = self.ratio * self.firsts.len() as f64 + self.slack;
        if self.repeats.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.repeats.push_back(now);
        true
    }
}

/// Requests to cold replicas, of one node.
///
/// The bound counts any span of a second over all nodes, so a token bucket, which lets a burst
/// and a refill into one second, would not hold; this counts the last second and a bit, for
/// requests that are delayed on the way.
#[derive(Clone, Debug, Default)]
pub struct ColdGate {
    sent: BTreeMap<ReplicaId, VecDeque<Instant>>,
}

/// The span counted; one second and 100 ms for differing delays on the way.
const COLD_SPAN: Duration = Duration::from_millis(1100);
/// Nodes that send to one cold replica at most; more would leave each less than one a second.
const COLD_SENDERS: usize = 3;

impl ColdGate {
    /// Gives what this node may send to a cold replica in a second: the fleet's bound split over
    /// the few nodes with the highest rank for that replica, 0 for the others. The split is the same
    /// where there are fewer nodes, since a node cannot tell that from not knowing them.
    pub fn share(bound: f64, replica: &str, node: &str, peers: &BTreeSet<NodeId>) -> usize {
        let own = zinniahatch_base::rendezvous_rank(replica, node);
        let above = peers
            .iter()
            .filter(|peer| &***peer != node)
            .filter(|peer| zinniahatch_base::rendezvous_rank(replica, peer) > own)
            .count();
        // A node that has just started may know nobody yet; counted alone, it took the whole bound
        // beside the parts of the others, and a cold replica got eight requests of six.
        let senders = COLD_SENDERS.min(bound.max(1.0) as usize);
        if above >= senders {
            return 0;
        }
        (bound / senders as f64) as usize
    }

    /// Tells whether one more request may go to the replica.
    pub fn allows(&self, replica: &str, share: usize, now: Instant) -> bool {
        let recent = self.sent.get(replica).map_or(0, |queue| {
            queue
                .iter()
                .filter(|at| now.saturating_duration_since(**at) <= COLD_SPAN)
                .count()
        });
        recent < share
    }

    /// Notes a request to a cold replica.
    pub fn note(&mut self, replica: &ReplicaId, now: Instant) {
        let queue = self.sent.entry(replica.clone()).or_default();
        while queue
            .front()
            .is_some_and(|at| now.saturating_duration_since(*at) > COLD_SPAN)
        {
            queue.pop_front();
        }
        queue.push_back(now);
    }

    /// Forgets a replica that is gone.
    pub fn forget(&mut self, replica: &str) {
        self.sent.remove(replica);
    }
}

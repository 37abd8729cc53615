//! Rate budgets that hold across all nodes without communication between them.
//!
//! Each node gets a fixed share of the total budget, so that the sum also holds during a network
//! partition.

use std::collections::VecDeque;
use zinniahatch_base::prelude::*;

/// Part of the allowed ratio that a node uses; the rest covers requests that were cut off before
/// the backend server counted them.
const RATIO_SAFETY: f64 = 0.85;
/// Part of the shared slack that all nodes together use. A restarted process does not know what
/// its predecessor spent; even if all of ten nodes restart within the window, their slacks still
/// fit. The ratio needs no such margin, since a fresh process starts without requests to derive
/// retries from.
const SLACK_SAFETY: f64 = 0.5;

/// A retry taken from a budget.
#[derive(Debug)]
pub struct RetryCharge {
    at: Instant,
}

/// How much of a retry budget is used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLevel {
    /// Requests within the window.
    pub requests: usize,
    /// Retries taken within the window.
    pub retries: usize,
    /// Retries that may be taken within the window.
    pub allowed: f64,
}

/// Retry budget of one service on one node.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    window: Duration,
    ratio: f64,
    slack: f64,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// Creates the share of one node out of `nodes`.
    pub fn new(window: Duration, ratio: f64, slack: f64, nodes: usize) -> Self {
        Self {
            window,
            ratio: ratio * RATIO_SAFETY,
            slack: slack * SLACK_SAFETY / nodes.max(1) as f64,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    fn prune(&mut self, now: Instant) {
        for queue in [&mut self.requests, &mut self.retries] {
            while queue
                .front()
                .is_some_and(|at| now.saturating_duration_since(*at) > self.window)
            {
                queue.pop_front();
            }
        }
    }

    /// Records a request received from a caller.
    pub fn record_request(&mut self, now: Instant) {
        self.prune(now);
        self.requests.push_back(now);
    }

    /// Takes one retry if the budget allows it.
    pub fn try_take(&mut self, now: Instant) -> Option<RetryCharge> {
        let level = self.level(now);
        if level.retries as f64 + 1.0 > level.allowed {
            return None;
        }
        self.retries.push_back(now);
        Some(RetryCharge { at: now })
    }

    /// Gives back a retry that was taken and not sent.
    pub fn give_back(&mut self, charge: RetryCharge) {
        if let Some(index) = self.retries.iter().rposition(|at| *at == charge.at) {
            self.retries.remove(index);
        }
    }

    /// Returns how much of the budget is used.
    pub fn level(&mut self, now: Instant) -> BudgetLevel {
        self.prune(now);
        BudgetLevel {
            requests: self.requests.len(),
            retries: self.retries.len(),
            allowed: self.ratio * self.requests.len() as f64 + self.slack,
        }
    }
}

/// Rate limit of one node's requests to cold replicas.
///
/// The bound applies to any one-second span over all nodes. A token bucket would not hold it,
/// since a burst and a refill can fall into the same second; this counts the requests in a sliding
/// window slightly longer than a second, to allow for network delay.
#[derive(Clone, Debug, Default)]
pub struct ColdLimiter {
    sent: BTreeMap<ReplicaId, VecDeque<Instant>>,
}

/// Length of the sliding window: one second plus 100 ms for varying network delay.
const COLD_SPAN: Duration = Duration::from_millis(1100);
/// Maximum number of nodes that send to one cold replica; more would leave each of them less than
/// one request per second.
const COLD_SENDERS: usize = 3;

impl ColdLimiter {
    /// Returns how many requests per second this node may send to a cold replica.
    ///
    /// The bound is split over the few nodes with the highest rendezvous rank for the replica; the
    /// others get 0. The split is the same in smaller regions, since a node cannot tell missing
    /// nodes from nodes that it does not know yet.
    pub fn share(bound: f64, replica: &str, node: &str, peers: &BTreeSet<NodeId>) -> usize {
        let own = zinniahatch_base::rendezvous_rank(replica, node);
        let above = peers
            .iter()
            .filter(|peer| &***peer != node)
            .filter(|peer| zinniahatch_base::rendezvous_rank(replica, peer) > own)
            .count();
        // The number of senders does not depend on the known peers: a node that has just started
        // may know none, and when it took the whole bound beside the shares of the others, a cold
        // replica got eight requests instead of six.
        let senders = COLD_SENDERS.min(bound.max(1.0) as usize);
        if above >= senders {
            return 0;
        }
        (bound / senders as f64) as usize
    }

    /// Returns whether one more request may be sent to the replica.
    pub fn allows(&self, replica: &str, share: usize, now: Instant) -> bool {
        let recent = self.sent.get(replica).map_or(0, |queue| {
            queue
                .iter()
                .filter(|at| now.saturating_duration_since(**at) <= COLD_SPAN)
                .count()
        });
        recent < share
    }

    /// Records a request to a cold replica.
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

    /// Removes a replica that is gone.
    pub fn forget(&mut self, replica: &str) {
        self.sent.remove(replica);
    }
}

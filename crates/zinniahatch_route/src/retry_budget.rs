//! Retry budget that holds across all nodes without communication between them.
//!
//! Each node gets a fixed share of the total budget, so that the sum also holds during a network
//! partition.

use crate::members::DISCOVERY_TIME;
use std::collections::VecDeque;
use zinniahatch_base::prelude::*;

/// Part of the allowed ratio that each request earns.
const EARNED_RATIO: f64 = 0.5;
/// Part of the allowed ratio that a node may save up, of the requests of the last window.
const SAVED_RATIO: f64 = 0.45;
/// Part of the node's slack that it may save up, and that time earns within a window.
const SLACK_PART: f64 = 0.45;
/// Minimum number of nodes assumed to share the slack, since a node may not know all others.
const MIN_NODES: usize = 10;
/// Number of nodes assumed until a node that has started knows the others: the size of the largest
/// deployment that the system is designed for.
const MOST_NODES: usize = 330;

/// A retry taken from a budget.
#[derive(Debug)]
pub struct RetryCharge;

/// How much of a retry budget is left.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLevel {
    /// Requests within the window.
    pub requests: usize,
    /// Retries that may be taken now.
    pub left: f64,
    /// Retries that may be saved up.
    pub limit: f64,
}

/// Retry budget of one service on one node: a token bucket that requests and time fill.
///
/// Retries in any window are at most those saved up at its start and those earned within it. What is
/// saved up is bounded by the requests of the window before, so that the bound holds for all windows
/// together, and a restart, which begins with an empty bucket, adds nothing.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    window: Duration,
    ratio: f64,
    /// Slack of all nodes together.
    slack: f64,
    /// Most nodes that were known at one time.
    nodes: usize,
    requests: VecDeque<Instant>,
    left: f64,
    filled_at: Instant,
    /// When this node knows the others.
    discovered_at: Instant,
}

impl RetryBudget {
    /// Creates an empty budget of a node that was started at `started`.
    pub fn new(window: Duration, ratio: f64, slack: f64, started: Instant) -> Self {
        Self {
            window,
            ratio,
            slack,
            nodes: 0,
            requests: VecDeque::new(),
            left: 0.0,
            filled_at: started,
            discovered_at: started + DISCOVERY_TIME,
        }
    }

    /// Splits the slack between `nodes`, if more were never known before.
    ///
    /// It is not split between fewer later, since a node that is no longer known may go on spending
    /// its share.
    pub fn note_nodes(&mut self, nodes: usize) {
        self.nodes = self.nodes.max(nodes);
    }

    /// Records a request received from a caller.
    pub fn record_request(&mut self, now: Instant) {
        self.requests.push_back(now);
        self.left += self.ratio * EARNED_RATIO;
        self.fill(now);
    }

    /// Takes one retry if the budget allows it.
    pub fn try_take(&mut self, now: Instant) -> Option<RetryCharge> {
        self.fill(now);
        if self.left < 1.0 {
            return None;
        }
        self.left -= 1.0;
        Some(RetryCharge)
    }

    /// Gives back a retry that was taken and not sent.
    pub fn give_back(&mut self, _charge: RetryCharge) {
        self.left += 1.0;
    }

    /// Returns how much of the budget is left.
    pub fn level(&mut self, now: Instant) -> BudgetLevel {
        self.fill(now);
        BudgetLevel {
            requests: self.requests.len(),
            left: self.left,
            limit: self.limit(now),
        }
    }

    /// Adds what was earned by time, and drops what exceeds the limit.
    fn fill(&mut self, now: Instant) {
        while let Some(at) = self.requests.front()
            && now.saturating_duration_since(*at) > self.window
        {
            self.requests.pop_front();
        }
        let waited = now.saturating_duration_since(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        self.left += self.slack_share(now) * waited.div_duration_f64(self.window);
        self.left = self.left.min(self.limit(now));
    }

    fn limit(&self, now: Instant) -> f64 {
        self.ratio * SAVED_RATIO * self.requests.len() as f64 + self.slack_share(now)
    }

    /// Returns the retries that the slack adds within a window.
    fn slack_share(&self, now: Instant) -> f64 {
        let least = if now < self.discovered_at {
            MOST_NODES
        } else {
            MIN_NODES
        };
        self.slack * SLACK_PART / self.nodes.max(least) as f64
    }
}

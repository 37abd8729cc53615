//! Rate limit of requests to cold replicas that holds across all nodes without communication between
//! them.

use crate::ReplicaTable;
use std::collections::VecDeque;
use zinniahatch_base::prelude::*;

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

    /// Records a request to a replica that was not known to be cold, so that it counts once the replica
    /// turns out to be.
    pub fn note_unless_cold(&mut self, table: &ReplicaTable, replica: &str, now: Instant) {
        let state = table.get(replica).filter(|state| !state.is_cold(now));
        if let Some(state) = state {
            self.note(&state.entry.id, now);
        }
    }

    /// Removes a replica that is gone.
    pub fn forget(&mut self, replica: &str) {
        self.sent.remove(replica);
    }
}

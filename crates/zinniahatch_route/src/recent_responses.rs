//! What was answered in full a short time ago: contents of requests, and parts of prompts.

use std::collections::VecDeque;
use zinniahatch_base::prelude::*;

/// Time for which a complete response is remembered. Without it, a request that many callers make
/// was blamed when all replicas that served it were lost at once, although each of them had just
/// answered it.
const RETENTION: Duration = Duration::from_secs(30);
/// Largest number of keys remembered, some 200 KB; covers 64 requests/s per node for 30 s.
const MAX_KEYS: usize = 2_048;

/// Keys with the time of their last complete response.
#[derive(Clone, Debug)]
pub(crate) struct RecentResponses<K> {
    last: BTreeMap<K, Instant>,
    /// The same in order of time, for eviction.
    order: VecDeque<(Instant, K)>,
}

impl<K> Default for RecentResponses<K> {
    fn default() -> Self {
        Self {
            last: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }
}

impl<K: Copy + Ord> RecentResponses<K> {
    /// Records a complete response.
    pub(crate) fn note(&mut self, key: K, at: Instant) {
        if let Some(last) = self.last.get_mut(&key) {
            *last = at.max(*last);
        } else {
            self.last.insert(key, at);
            self.order.push_back((at, key));
        }
        self.evict(at);
    }

    /// Returns when a key was last answered, if that is within the retention period.
    pub(crate) fn last(&self, key: K, now: Instant) -> Option<Instant> {
        let at = self.last.get(&key).copied()?;
        (now.saturating_duration_since(at) <= RETENTION).then_some(at)
    }

    /// Returns whether a key was answered within the retention period.
    pub(crate) fn contains(&self, key: K, now: Instant) -> bool {
        self.last(key, now).is_some()
    }

    /// Evicts expired keys and, above the size limit, the oldest of those that were not answered
    /// again.
    pub(crate) fn evict(&mut self, now: Instant) {
        while let Some((at, key)) = self.order.front().copied() {
            let overfull = self.order.len() > MAX_KEYS;
            if !overfull && now.saturating_duration_since(at) <= RETENTION {
                return;
            }
            self.order.pop_front();
            match self.last.get(&key).copied() {
                // Answered again since: requeue it under the newer time.
                Some(last) if last > at => self.order.push_back((last, key)),
                _ => {
                    self.last.remove(&key);
                }
            }
        }
    }
}

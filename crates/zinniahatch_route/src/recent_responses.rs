//! Contents of requests that were answered in full a short time ago.

use std::collections::VecDeque;
use zinniahatch_base::prelude::*;

/// Time for which a complete response clears a content of suspicion. Without it, a request that
/// many callers make was blamed when all replicas that served it were lost at once, although each
/// of them had just answered it.
const RETENTION: Duration = Duration::from_secs(30);
/// Largest number of contents remembered, some 200 KB; covers 64 requests/s per node for 30 s.
const MAX_CONTENTS: usize = 2_048;

/// Contents with the time of their last complete response.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentResponses {
    last: BTreeMap<ContentDigest, Instant>,
    /// The same in order of time, for eviction.
    order: VecDeque<(Instant, ContentDigest)>,
}

impl RecentResponses {
    /// Records a complete response.
    pub(crate) fn note(&mut self, content: ContentDigest, now: Instant) {
        if self.last.insert(content, now).is_none() {
            self.order.push_back((now, content));
        }
        self.evict(now);
    }

    /// Returns whether a content was answered within the retention period.
    pub(crate) fn contains(&self, content: ContentDigest, now: Instant) -> bool {
        self.last
            .get(&content)
            .is_some_and(|at| now.saturating_duration_since(*at) <= RETENTION)
    }

    /// Evicts expired contents, and the oldest ones above the size limit.
    pub(crate) fn evict(&mut self, now: Instant) {
        while let Some((at, content)) = self.order.front().copied() {
            let overfull = self.order.len() > MAX_CONTENTS;
            if !overfull && now.saturating_duration_since(at) <= RETENTION {
                return;
            }
            self.order.pop_front();
            match self.last.get(&content).copied() {
                // Answered again since: requeue it under the newer time.
                Some(last) if last > at && !overfull => self.order.push_back((last, content)),
                _ => {
                    self.last.remove(&content);
                }
            }
        }
    }
}

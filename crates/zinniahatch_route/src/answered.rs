//! Contents of requests that were answered whole a moment ago.

use std::collections::VecDeque;
use zinniahatch_base::prelude::*;

/// Time for which a whole answer speaks for a content. Replicas that serve a request many callers make were
/// all lost at once: it stood on each of them, and had been answered by each a moment before.
const ANSWERED_TIME: Duration = Duration::from_secs(30);
/// Contents whose whole answers are remembered at most, some 200 KB; 64 requests/s a node for 30 s.
const MOST_ANSWERED: usize = 2_048;

/// The contents, with the time of the last whole answer to each.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswerMemory {
    last: BTreeMap<ContentDigest, Instant>,
    /// The same in the order of time, to forget them by.
    order: VecDeque<(Instant, ContentDigest)>,
}

impl AnswerMemory {
    /// Notes a whole answer.
    pub(crate) fn note(&mut self, content: ContentDigest, now: Instant) {
        if self.last.insert(content, now).is_none() {
            self.order.push_back((now, content));
        }
        self.forget(now);
    }

    /// Tells whether a content was answered a moment ago.
    pub(crate) fn has(&self, content: ContentDigest, now: Instant) -> bool {
        self.last
            .get(&content)
            .is_some_and(|at| now.saturating_duration_since(*at) <= ANSWERED_TIME)
    }

    /// Forgets what is older, and the oldest where there are too many.
    pub(crate) fn forget(&mut self, now: Instant) {
        while let Some((at, content)) = self.order.front().copied() {
            let many = self.order.len() > MOST_ANSWERED;
            if !many && now.saturating_duration_since(at) <= ANSWERED_TIME {
                return;
            }
            self.order.pop_front();
            match self.last.get(&content).copied() {
                // Answered again meanwhile: it goes to the end, under its newer time.
                Some(last) if last > at && !many => self.order.push_back((last, content)),
                _ => {
                    self.last.remove(&content);
                }
            }
        }
    }
}

//! Bounded in-memory cache of responses for later collection.

use crate::response::CachedResponse;
use std::collections::VecDeque;
use std::sync::Arc;
use zinniahatch_base::prelude::*;

/// Responses by request id; the oldest are evicted first.
#[derive(Debug)]
pub(crate) struct ResponseCache {
    limit: usize,
    size: usize,
    answers: BTreeMap<RequestId, CacheEntry>,
    order: VecDeque<RequestId>,
}

#[derive(Debug)]
struct CacheEntry {
    account: AccountId,
    until: Instant,
    answer: Arc<CachedResponse>,
}

impl ResponseCache {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            size: 0,
            answers: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    pub(crate) fn find(
        &self,
        now: Instant,
        account: &str,
        request: &str,
    ) -> Option<Arc<CachedResponse>> {
        self.answers
            .get(request)
            .filter(|line| &*line.account == account && now < line.until)
            .map(|line| Arc::clone(&line.answer))
    }

    pub(crate) fn put(
        &mut self,
        request: RequestId,
        account: AccountId,
        until: Instant,
        answer: Arc<CachedResponse>,
    ) {
        self.size += answer.body.len();
        self.order.push_back(request.clone());
        self.answers.insert(
            request,
            CacheEntry {
                account,
                until,
                answer,
            },
        );
        while self.size > self.limit {
            let Some(oldest) = self.order.pop_front() else {
                break;
            };
            if let Some(line) = self.answers.remove(&oldest) {
                self.size -= line.answer.body.len();
            }
        }
    }
}

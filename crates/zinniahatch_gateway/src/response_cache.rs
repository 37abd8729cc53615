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
    responses: BTreeMap<RequestId, CacheEntry>,
    order: VecDeque<RequestId>,
}

#[derive(Debug)]
struct CacheEntry {
    account: AccountId,
    until: Instant,
    response: Arc<CachedResponse>,
}

impl ResponseCache {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            size: 0,
            responses: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    pub(crate) fn find(
        &self,
        now: Instant,
        account: &str,
        request: &str,
    ) -> Option<Arc<CachedResponse>> {
        self.responses
            .get(request)
            .filter(|entry| &*entry.account == account && now < entry.until)
            .map(|entry| Arc::clone(&entry.response))
    }

    pub(crate) fn put(
        &mut self,
        request: RequestId,
        account: AccountId,
        until: Instant,
        response: Arc<CachedResponse>,
    ) {
        self.size += response.body.len();
        self.order.push_back(request.clone());
        self.responses.insert(
            request,
            CacheEntry {
                account,
                until,
                response,
            },
        );
        while self.size > self.limit {
            let Some(oldest) = self.order.pop_front() else {
                break;
            };
            if let Some(entry) = self.responses.remove(&oldest) {
                self.size -= entry.response.body.len();
            }
        }
    }
}

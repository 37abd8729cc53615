//! The other way to keep a limit: every node keeps the whole bucket and tells the others what it sent.

use super::LimitWay;
use super::REPLICA;
use std::collections::BTreeSet;
use std::time::Instant;
use zinniahatch_route::RateLimitNotice;
use zinniahatch_route::RateLimitTable;
use zinniahatch_route::RateLimitUpdate;

/// Requests that may be sent at once beyond a second's worth of the rate.
const BURST: f64 = 2.0;

#[derive(Clone)]
pub(crate) enum BucketNews {
    /// The limit changed.
    Limit(RateLimitUpdate),
    /// So many requests were sent.
    Sent(f64),
}

/// The bucket of all nodes as one of them sees it.
#[derive(Default)]
pub(crate) struct SharedBucket {
    limits: RateLimitTable,
    level: f64,
    at: Option<Instant>,
    untold: f64,
    knows_others: bool,
}

impl SharedBucket {
    fn advance(&mut self, now: Instant) {
        let rate = self.limits.rate(REPLICA).unwrap_or(0.0);
        let passed = self
            .at
            .map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.level = (self.level + rate * passed).min(BURST + rate);
        self.at = Some(now);
    }
}

impl LimitWay for SharedBucket {
    type News = BucketNews;

    fn note_answer(&mut self, named: RateLimitNotice, sent: Instant, now: Instant) {
        self.advance(now);
        self.limits.note_response(REPLICA, named, sent, now);
    }

    fn hear(&mut self, news: &BucketNews, now: Instant) {
        self.advance(now);
        match news {
            BucketNews::Limit(news) => {
                self.limits.apply_update(news, now);
            }
            BucketNews::Sent(requests) => self.level -= requests,
        }
    }

    fn take_news(&mut self) -> Vec<BucketNews> {
        let limits = self.limits.take_updates(10).into_iter();
        let mut news: Vec<BucketNews> = limits.map(BucketNews::Limit).collect();
        let sent = std::mem::take(&mut self.untold);
        news.extend((sent > 0.0).then_some(BucketNews::Sent(sent)));
        news
    }

    fn known(&self) -> (u64, Vec<BucketNews>) {
        let known = self.limits.active_limits().map(BucketNews::Limit);
        (self.limits.digest(), known.collect())
    }

    fn set_sharers(&mut self, own: Option<u32>, _others: BTreeSet<u32>, _now: Instant) {
        self.knows_others = own.is_some();
    }

    fn take(&mut self, now: Instant) -> bool {
        self.advance(now);
        if !self.is_limited() {
            return true;
        }
        if self.level < 1.0 || !self.knows_others {
            return false;
        }
        self.level -= 1.0;
        self.untold += 1.0;
        true
    }

    fn is_limited(&self) -> bool {
        self.limits.is_limited(REPLICA)
    }
}

//! Alternative strategy: each node keeps a token bucket with the whole rate, and announces to the
//! others what it sent.

use super::LimitStrategy;
use super::REPLICA;
use std::collections::BTreeSet;
use std::time::Instant;
use zinniahatch_route::RateLimitNotice;
use zinniahatch_route::RateLimitTable;
use zinniahatch_route::RateLimitUpdate;

/// Burst size of the bucket, on top of the requests of one second.
const BURST: f64 = 2.0;

#[derive(Clone)]
pub(crate) enum BucketUpdate {
    /// A limit began, changed or ended.
    Limit(RateLimitUpdate),
    /// The sender sent this number of requests since its last update.
    Sent(f64),
}

/// Token bucket of all nodes as seen by one of them.
#[derive(Default)]
pub(crate) struct SharedBucket {
    limits: RateLimitTable,
    level: f64,
    updated_at: Option<Instant>,
    unannounced: f64,
    knows_others: bool,
}

impl SharedBucket {
    fn advance(&mut self, now: Instant) {
        let rate = self.limits.rate(REPLICA).unwrap_or(0.0);
        let passed = self
            .updated_at
            .map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.level = (self.level + rate * passed).min(BURST + rate);
        self.updated_at = Some(now);
    }
}

impl LimitStrategy for SharedBucket {
    type Update = BucketUpdate;

    fn on_response(&mut self, notice: RateLimitNotice, sent: Instant, now: Instant) {
        self.advance(now);
        self.limits.note_response(REPLICA, notice, sent, now);
    }

    fn on_update(&mut self, update: &BucketUpdate, now: Instant) {
        self.advance(now);
        match update {
            BucketUpdate::Limit(limit) => {
                self.limits.apply_update(limit, now);
            }
            BucketUpdate::Sent(requests) => self.level -= requests,
        }
    }

    fn drain_updates(&mut self) -> Vec<BucketUpdate> {
        let limits = self.limits.take_updates(10).into_iter();
        let mut updates: Vec<BucketUpdate> = limits.map(BucketUpdate::Limit).collect();
        let sent = std::mem::take(&mut self.unannounced);
        updates.extend((sent > 0.0).then_some(BucketUpdate::Sent(sent)));
        updates
    }

    fn snapshot(&self) -> (u64, Vec<BucketUpdate>) {
        let snapshot = self.limits.active_limits().map(BucketUpdate::Limit);
        (self.limits.digest(), snapshot.collect())
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
        self.unannounced += 1.0;
        true
    }

    fn is_limited(&self) -> bool {
        self.limits.is_limited(REPLICA)
    }
}

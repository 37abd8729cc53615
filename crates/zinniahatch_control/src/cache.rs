//! Estimates which prompt prefixes are cached by which replicas.

use std::collections::VecDeque;
use zinniahatch_base::prelude::*;
use zinniahatch_base::rendezvous_rank;

/// Maximum number of prefixes; at about 60 bytes each, half a megabyte.
const MAX_PREFIXES: usize = 8_192;
/// Time after which a record expires; engines evict under memory pressure and report it late.
const RECORD_TTL: Duration = Duration::from_secs(300);
/// Fraction of a prompt assumed to be cached on the replica with the highest rendezvous rank.
///
/// All nodes compute the same rank without communication, so requests with a common prefix reach
/// the same replica even if this node has never seen the prefix. The fraction is small because
/// nothing confirms the assumption.
const PRIOR_FRACTION: f64 = 0.25;

/// Cached tokens by prefix and replica, learned from responses and cache events.
#[derive(Debug, Default)]
pub struct PrefixCacheTable {
    records: BTreeMap<ShortTag, BTreeMap<ShortTag, (u64, Instant)>>,
    insertion_order: VecDeque<ShortTag>,
}

impl PrefixCacheTable {
    /// Returns the number of prompt tokens that are expected to be cached on a replica.
    pub fn expected_tokens(
        &self,
        now: Instant,
        prefix: Option<ShortTag>,
        replica: ShortTag,
        is_top_ranked: bool,
        prompt: u64,
    ) -> f64 {
        let Some(prefix) = prefix else {
            return 0.0;
        };
        let record = self
            .records
            .get(&prefix)
            .and_then(|replicas| replicas.get(&replica));
        match record {
            Some((tokens, at)) if now.duration_since(*at) < RECORD_TTL => {
                (*tokens).min(prompt) as f64
            }
            Some(_) | None if is_top_ranked => prompt as f64 * PRIOR_FRACTION,
            Some(_) | None => 0.0,
        }
    }

    /// Records that a replica has processed a prompt, after which the whole prompt is cached.
    pub fn record(&mut self, now: Instant, prefix: ShortTag, replica: ShortTag, prompt: u64) {
        if !self.records.contains_key(&prefix) {
            self.insertion_order.push_back(prefix);
        }
        self.records
            .entry(prefix)
            .or_default()
            .insert(replica, (prompt, now));
        if self.insertion_order.len() <= MAX_PREFIXES {
            return;
        }
        if let Some(oldest) = self.insertion_order.pop_front() {
            self.records.remove(&oldest);
        }
    }

    /// Removes a replica's record of a prefix after an eviction, or all its records after a gap in
    /// its events.
    pub fn invalidate(&mut self, replica: ShortTag, prefix: Option<ShortTag>) {
        for (recorded, replicas) in &mut self.records {
            if prefix.is_none_or(|wanted| wanted == *recorded) {
                replicas.remove(&replica);
            }
        }
    }
}

/// Returns the replica with the highest rendezvous rank for a prefix.
pub(crate) fn top_ranked_replica(
    prefix: Option<ShortTag>,
    replicas: impl Iterator<Item = ShortTag>,
) -> Option<ShortTag> {
    let object = prefix?.to_string();
    replicas.max_by_key(|replica| rendezvous_rank(&object, &replica.to_string()))
}

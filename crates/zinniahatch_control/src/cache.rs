//! What this node believes about cached prompt prefixes.

use std::collections::VecDeque;
use zinniahatch_base::prelude::*;
use zinniahatch_base::rendezvous_rank;

/// Prefixes remembered; at some 60 bytes each, half a megabyte.
const KEPT_PREFIXES: usize = 8_192;
/// Time after which a belief is dropped; engines evict under pressure and say so late.
const BELIEF_TIME: Duration = Duration::from_secs(300);
/// Part of a prompt that is hoped to be cached on the replica with the highest rendezvous rank.
///
/// All nodes compute the same rank without a message, so a prefix meets its cache even where this
/// node has never seen it; a small part only, since nothing proves it.
const PRIOR_PART: f64 = 0.25;

/// Beliefs by prefix, from the cached tokens that answers report and from cache events.
#[derive(Debug, Default)]
pub struct CacheBelief {
    seen: BTreeMap<ShortTag, BTreeMap<ShortTag, (u64, Instant)>>,
    order: VecDeque<ShortTag>,
}

impl CacheBelief {
    /// Gives the tokens of a prompt that are expected to be cached on a replica.
    pub fn expected(
        &self,
        now: Instant,
        prefix: Option<ShortTag>,
        replica: ShortTag,
        first: bool,
        prompt: u64,
    ) -> f64 {
        let Some(prefix) = prefix else {
            return 0.0;
        };
        let belief = self
            .seen
            .get(&prefix)
            .and_then(|replicas| replicas.get(&replica));
        match belief {
            Some((tokens, at)) if now.duration_since(*at) < BELIEF_TIME => {
                (*tokens).min(prompt) as f64
            }
            Some(_) | None if first => prompt as f64 * PRIOR_PART,
            Some(_) | None => 0.0,
        }
    }

    /// Takes the cached tokens that an answer reported, after which the whole prompt is cached.
    pub fn learn(&mut self, now: Instant, prefix: ShortTag, replica: ShortTag, prompt: u64) {
        if !self.seen.contains_key(&prefix) {
            self.order.push_back(prefix);
        }
        self.seen
            .entry(prefix)
            .or_default()
            .insert(replica, (prompt, now));
        if self.order.len() <= KEPT_PREFIXES {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.seen.remove(&oldest);
        }
    }

    /// Takes an eviction, or a gap in a replica's events after which nothing about it is sure.
    pub fn forget(&mut self, replica: ShortTag, prefix: Option<ShortTag>) {
        for (known, replicas) in &mut self.seen {
            if prefix.is_none_or(|one| one == *known) {
                replicas.remove(&replica);
            }
        }
    }
}

/// Gives the replica with the highest rendezvous rank for a prefix.
pub(crate) fn first_replica(
    prefix: Option<ShortTag>,
    replicas: impl Iterator<Item = ShortTag>,
) -> Option<ShortTag> {
    let object = prefix?.to_string();
    replicas.max_by_key(|replica| rendezvous_rank(&object, &replica.to_string()))
}

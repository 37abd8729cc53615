//! Estimates which prompt parts a replica has cached, from the prompts sent to it.

use crate::PromptPart;
use zinniahatch_base::prelude::*;

/// LRU model of the prompt parts cached by one replica.
///
/// Only a hint: other nodes send prompts too, and the replica evicts parts under memory pressure.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    entries: BTreeMap<u64, (u64, u32)>,
    lru_order: BTreeMap<u64, u64>,
    tokens: u64,
    clock: u64,
}

impl PrefixCache {
    /// Records that the replica read a prompt; `capacity` is the number of tokens that its cache
    /// holds.
    pub fn record(&mut self, parts: &[PromptPart], capacity: u64) {
        for part in parts {
            self.clock += 1;
            if let Some((old, _)) = self.entries.insert(part.tag, (self.clock, part.tokens)) {
                self.lru_order.remove(&old);
            } else {
                self.tokens += u64::from(part.tokens);
            }
            self.lru_order.insert(self.clock, part.tag);
        }
        while self.tokens > capacity {
            let Some((_, tag)) = self.lru_order.pop_first() else {
                break;
            };
            let Some((_, tokens)) = self.entries.remove(&tag) else {
                continue;
            };
            self.tokens = self.tokens.saturating_sub(u64::from(tokens));
        }
    }

    /// Returns how many leading parts of a prompt the replica has probably cached.
    pub fn cached_prefix(&self, parts: &[PromptPart]) -> usize {
        parts
            .iter()
            .take_while(|part| self.entries.contains_key(&part.tag))
            .count()
    }
}

//! Which prompt parts a replica probably keeps, from what was sent to it.

use crate::PromptPart;
use zinniahatch_base::prelude::*;

/// The parts sent to one replica, forgotten in the order of their last use.
///
/// A hint, never a promise: other nodes send too, and the replica forgets under memory pressure.
#[derive(Clone, Debug, Default)]
pub struct KeptParts {
    uses: BTreeMap<u64, (u64, u32)>,
    order: BTreeMap<u64, u64>,
    tokens: u64,
    clock: u64,
}

impl KeptParts {
    /// Notes that a prompt was read, with the tokens that the replica can hold in all.
    pub fn note(&mut self, parts: &[PromptPart], capacity: u64) {
        for part in parts {
            self.clock += 1;
            if let Some((old, _)) = self.uses.insert(part.tag, (self.clock, part.tokens)) {
                self.order.remove(&old);
            } else {
                self.tokens += u64::from(part.tokens);
            }
            self.order.insert(self.clock, part.tag);
        }
        while self.tokens > capacity {
            let Some((_, tag)) = self.order.pop_first() else {
                break;
            };
            let Some((_, tokens)) = self.uses.remove(&tag) else {
                continue;
            };
            self.tokens = self.tokens.saturating_sub(u64::from(tokens));
        }
    }

    /// Gives the number of leading parts that the replica probably keeps.
    pub fn leading(&self, parts: &[PromptPart]) -> usize {
        parts
            .iter()
            .take_while(|part| self.uses.contains_key(&part.tag))
            .count()
    }
}

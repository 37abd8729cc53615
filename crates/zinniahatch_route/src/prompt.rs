//! Parts of a prompt, which replicas keep in their prefix caches between requests.

use zinniahatch_base::prelude::*;

domain! {
    /// One part of a prompt.
    #[derive(Copy, Eq)]
    pub struct PromptPart {
        /// Hash of its id; equal ids have equal hashes.
        pub tag: u64,
        /// Number of tokens.
        pub tokens: u32,
    }
}

/// Size of a request, as declared by its caller; all zero for plain services.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptSize {
    /// Prompt tokens.
    pub tokens_in: u32,
    /// Largest number of tokens to generate.
    pub tokens_out: u32,
    /// Number of generated tokens that the caller expects; 0 if not given.
    pub expected_out: u32,
    /// Parts in order; the last belongs to the request itself or to its session. Empty if the list
    /// cannot be parsed.
    pub parts: Vec<PromptPart>,
    /// Each different part by itself, in order, also those of a list that cannot be parsed.
    pub part_ids: Vec<PromptPartId>,
    /// Tag of the model that reads the prompt.
    pub model: ShortTag,
}

impl PromptSize {
    /// Returns the number of generated tokens to expect.
    pub fn output_tokens(&self) -> u32 {
        if self.expected_out > 0 {
            self.expected_out
        } else {
            self.tokens_out
        }
    }

    /// Returns the key that requests with the same shared parts have in common.
    pub fn session(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(2)?;
        Some(self.parts[shared].tag)
    }

    /// Returns the tokens left to prefill on a replica that caches the first `cached` parts.
    pub fn uncached_tokens(&self, cached: usize) -> u32 {
        let spared: u32 = self.parts.iter().take(cached).map(|part| part.tokens).sum();
        self.tokens_in.saturating_sub(spared)
    }
}

/// Returns the rendezvous hash of a replica for a session; the replica with the highest score is
/// its first choice.
pub(crate) fn rendezvous_score(session: u64, replica: ShortTag) -> u64 {
    // Mixing two numbers suffices here, at a hundredth of the cost of hashing text.
    let mut mixed = session ^ (u64::from(replica) << 17);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

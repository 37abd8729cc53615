//! The parts of a prompt, which replicas keep in memory between requests.

use zinniahatch_base::prelude::*;

domain! {
    /// One part of a prompt.
    #[derive(Copy, Eq)]
    pub struct PromptPart {
        /// Tag of its id; equal ids have equal tags.
        pub tag: u64,
        /// Its tokens.
        pub tokens: u32,
    }
}

/// What a request says of its size; all zero for plain services.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptSize {
    /// Tokens to read.
    pub tokens_in: u32,
    /// Tokens to generate at most.
    pub tokens_out: u32,
    /// Tokens that the caller expects; 0 where it does not say.
    pub expected_out: u32,
    /// The parts in order; the last belongs to the request itself or to its session.
    pub parts: Vec<PromptPart>,
}

impl PromptSize {
    /// Gives the tokens that the answer may be expected to have.
    pub fn asked_out(&self) -> u32 {
        if self.expected_out > 0 {
            self.expected_out
        } else {
            self.tokens_out
        }
    }

    /// Gives the key that requests with the same shared parts have in common.
    pub fn session(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(2)?;
        Some(self.parts[shared].tag)
    }

    /// Gives the tokens that a replica must read if it keeps the first `kept` parts.
    pub fn tokens_after(&self, kept: usize) -> u32 {
        let spared: u32 = self.parts.iter().take(kept).map(|part| part.tokens).sum();
        self.tokens_in.saturating_sub(spared)
    }
}

/// Gives the rendezvous rank of a replica for a session; the highest rank is its first choice.
pub(crate) fn session_rank(session: u64, replica: ShortTag) -> u64 {
    // Mixing two numbers is enough here and a hundredth of the cost of a digest of text.
    let mut mixed = session ^ (u64::from(replica) << 17);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

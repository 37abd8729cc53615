//! Retry and hedge budgets, as a share of the requests.

/// Burst size of the token bucket, so that a few failures after an idle period are always retried.
const MAX_SAVED_TOKENS: f64 = 10.0;

/// A token budget for extra sends.
///
/// Without it, a failing backend would receive every request several times while it is least able
/// to handle the load.
#[derive(Debug)]
pub(crate) struct SendBudget {
    tokens: f64,
}

impl Default for SendBudget {
    fn default() -> Self {
        Self {
            tokens: MAX_SAVED_TOKENS,
        }
    }
}

impl SendBudget {
    /// Adds the share that one request earns.
    pub(crate) fn earn(&mut self, share: f64) {
        self.tokens = (self.tokens + share).min(MAX_SAVED_TOKENS);
    }

    /// Takes a token if one is available.
    pub(crate) fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

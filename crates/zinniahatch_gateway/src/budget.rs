//! Budgets of retries and hedges, as a share of requests.

/// Tokens that a quiet time saves up, so that a few failures are always retried.
const MAX_SAVED_TOKENS: f64 = 10.0;

/// One budget.
///
/// Without it a failing backend would get every request several times just when it can least
/// bear it.
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
    /// Notes a request, which earns its share.
    pub(crate) fn earn(&mut self, share: f64) {
        self.tokens = (self.tokens + share).min(MAX_SAVED_TOKENS);
    }

    /// Takes a token if there is one.
    pub(crate) fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

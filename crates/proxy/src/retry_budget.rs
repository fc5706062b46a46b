//! A retry budget over all requests of a proxy, as a token bucket. Retries cost what an overloaded fleet
//! has least of; the budget limits them to a fraction of first attempts, so that they can't multiply load.

/// Tokens that first attempts add and retries take.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Tokens added by each first attempt: retries allowed per first attempt.
    ratio: f64,
    tokens: f64,
    max_tokens: f64,
}

/// The bucket holds the tokens of at most this many first attempts, so that a quiet time does not pay for a
/// retry storm.
const MAX_SAVED_ATTEMPTS: f64 = 100.0;

impl RetryBudget {
    /// A full budget of `ratio` retries per first attempt: 0 allows none, infinity any number.
    #[must_use]
    pub fn new(ratio: f64) -> Self {
        let max_tokens = if ratio > 0.0 { (ratio * MAX_SAVED_ATTEMPTS).max(1.0) } else { 0.0 };
        RetryBudget { ratio, tokens: max_tokens, max_tokens }
    }

    /// Adds what one first attempt earns.
    pub fn record_first_attempt(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.max_tokens);
    }

    /// Takes one token for a retry; `false` if there is none, and the retry must not be made.
    #[must_use]
    pub fn try_reserve(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    /// Gives back the token of a retry that was not made.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.max_tokens);
    }
}

//! A token bucket that limits the retries of a proxy to a fraction of its first attempts. Retries use capacity
//! of endpoints that may be overloaded already; the limit keeps them from multiplying the load.

/// The retry budget of a proxy: first attempts add tokens, and retries take them.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// The number of tokens added per first attempt, which is the number of retries allowed per first attempt.
    ratio: f64,
    tokens: f64,
    max_tokens: f64,
}

/// The capacity of the bucket, as a number of first attempts whose tokens it holds. It limits the burst of
/// retries that follows a period with few failures.
const MAX_SAVED_ATTEMPTS: f64 = 100.0;

impl RetryBudget {
    /// Returns a full budget that allows `ratio` retries per first attempt: 0 allows none, infinity any number.
    #[must_use]
    pub fn new(ratio: f64) -> Self {
        let max_tokens = if ratio > 0.0 { (ratio * MAX_SAVED_ATTEMPTS).max(1.0) } else { 0.0 };
        RetryBudget { ratio, tokens: max_tokens, max_tokens }
    }

    /// Adds the tokens of one first attempt.
    pub fn record_first_attempt(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.max_tokens);
    }

    /// Takes one token for a retry. Returns false if there is none; the retry must not be made then.
    #[must_use]
    pub fn try_reserve(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    /// Returns the token of a retry that was not made to the bucket.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.max_tokens);
    }
}

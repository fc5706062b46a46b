//! Statistics of the attempts that proxies made at an endpoint.

use std::time::Duration;

/// Sums over completed attempts.
#[derive(Clone, Copy, Default)]
pub struct AttemptStats {
    /// The number of completed attempts; fractional, as older attempts are exponentially decayed.
    pub attempts: f64,
    /// The number of failed attempts.
    pub failed: f64,
    /// The total latency of the answered attempts, in seconds.
    pub answered_seconds: f64,
}

impl AttemptStats {
    /// Returns the statistics of one report; `mean_latency` is that of the answered attempts.
    pub fn new(attempts: u32, failed: u32, mean_latency: Duration) -> Self {
        let attempts = f64::from(attempts);
        let failed = f64::from(failed).min(attempts);
        AttemptStats { attempts, failed, answered_seconds: (attempts - failed) * mean_latency.as_secs_f64() }
    }

    /// Returns the sum of these statistics and the given fraction of `earlier`.
    #[must_use]
    pub fn add_scaled(self, earlier: AttemptStats, fraction: f64) -> AttemptStats {
        AttemptStats {
            attempts: self.attempts + earlier.attempts * fraction,
            failed: self.failed + earlier.failed * fraction,
            answered_seconds: self.answered_seconds + earlier.answered_seconds * fraction,
        }
    }

    /// Returns failed over all attempts; 0 if there are none.
    pub fn failure_ratio(&self) -> f64 {
        if self.attempts > 0.0 { self.failed / self.attempts } else { 0.0 }
    }

    /// Returns the mean latency divided by `latency_objective`, which is in seconds. A failed attempt counts
    /// as one that took exactly the objective. 0 if there are no attempts.
    pub fn latency_ratio(&self, latency_objective: f64) -> f64 {
        if self.attempts > 0.0 {
            (self.answered_seconds / latency_objective + self.failed) / self.attempts
        } else {
            0.0
        }
    }
}

//! Sums over the attempts that proxies made at an endpoint.

use std::time::Duration;

/// How many attempts ended, how many of them failed, and how long the others took.
#[derive(Clone, Copy, Default)]
pub struct AttemptStats {
    /// Attempts that ended. Sums fade over time, so this is not a whole number.
    pub attempts: f64,
    /// Attempts that failed.
    pub failed: f64,
    /// Seconds spent on attempts that were answered.
    pub answered_seconds: f64,
}

impl AttemptStats {
    /// The attempts of one report; `mean_latency` is that of the answered ones.
    pub fn new(attempts: u32, failed: u32, mean_latency: Duration) -> Self {
        let attempts = f64::from(attempts);
        let failed = f64::from(failed).min(attempts);
        AttemptStats { attempts, failed, answered_seconds: (attempts - failed) * mean_latency.as_secs_f64() }
    }

    /// These attempts and the given fraction of earlier ones.
    #[must_use]
    pub fn plus(self, earlier: AttemptStats, fraction: f64) -> AttemptStats {
        AttemptStats {
            attempts: self.attempts + earlier.attempts * fraction,
            failed: self.failed + earlier.failed * fraction,
            answered_seconds: self.answered_seconds + earlier.answered_seconds * fraction,
        }
    }

    /// Failed over all attempts; 0 where there were none.
    pub fn failure_ratio(&self) -> f64 {
        if self.attempts > 0.0 { self.failed / self.attempts } else { 0.0 }
    }

    /// Mean latency over the latency objective, in seconds, where a failure counts as an attempt that just
    /// missed the objective; 0 where there were no attempts.
    pub fn latency_ratio(&self, latency_objective: f64) -> f64 {
        if self.attempts > 0.0 {
            (self.answered_seconds / latency_objective + self.failed) / self.attempts
        } else {
            0.0
        }
    }
}

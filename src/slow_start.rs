//! Slow start: how much of its weight an endpoint has after its process started.
//!
//! Decides, from the time since the start, the fraction of the listed weight that an endpoint can surely do;
//! it grows evenly from the stated initial fraction, as Envoy's and HAProxy's slow start do. While a subset
//! is unstable, its endpoints that are warming up get nothing: proxies that fail elsewhere, that have ejected
//! what they could not reach, or whose requests come back as admission grows, all turn to a started endpoint,
//! however small its weight.

use std::time::Duration;

use crate::state::EndpointState;

/// A subset stays unstable for this fraction of the slow-start window.
const UNSTABLE_FRACTION: f64 = 0.5;

impl EndpointState {
    /// The fraction of its weight that it can do, from `initial_fraction` at its start to 1.
    #[must_use]
    pub fn slow_start_factor(&self, now: Duration, initial_fraction: f64) -> f64 {
        let remaining = self.warmed_up_at.saturating_sub(now).as_secs_f64();
        let window = (self.warmed_up_at - self.started_at).as_secs_f64().max(1e-6);
        1.0 - (1.0 - initial_fraction) * remaining / window
    }

    /// Takes a start of its process in, where it is a later one than is known. Repeated or older news of a
    /// start changes nothing.
    pub(crate) fn record_start(&mut self, now: Duration, age: Duration, window: Duration) -> bool {
        let warmed_up_at = (now + window).saturating_sub(age);
        let is_new = warmed_up_at > now && warmed_up_at > self.warmed_up_at;
        if is_new {
            self.started_at = now.saturating_sub(age);
            self.warmed_up_at = warmed_up_at;
        }
        is_new
    }
}

/// Until when each subset is unstable.
#[derive(Default)]
pub struct Stability {
    unstable_until: Vec<Duration>,
}

impl Stability {
    /// All subsets stable.
    pub fn new(subsets: usize) -> Self {
        Stability { unstable_until: vec![Duration::ZERO; subsets] }
    }

    /// Notes that started endpoints of a subset are at risk now.
    pub fn mark_unstable(&mut self, now: Duration, subset: usize, slow_start_window: Duration) {
        self.unstable_until[subset] = now + slow_start_window.mul_f64(UNSTABLE_FRACTION);
    }

    /// Whether started endpoints of a subset are at risk.
    pub fn is_unstable(&self, now: Duration, subset: usize) -> bool {
        now < self.unstable_until[subset]
    }
}

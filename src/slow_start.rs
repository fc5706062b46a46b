//! Slow start: the fraction of its weight that an endpoint has after its process started.
//!
//! Decides, from the time since the start, the fraction of the listed weight that an endpoint can serve. It
//! grows linearly from the configured initial fraction, as in the slow start of Envoy and HAProxy. While a
//! subset is unstable, its endpoints that are warming up get little or no weight: proxies whose attempts fail
//! elsewhere, that have ejected unreachable endpoints, or that send more requests as the admission rate rises
//! would all send their requests to the started endpoint, however small its weight.

use std::time::Duration;

use crate::state::EndpointState;

/// Fraction of the slow-start window for which a subset stays unstable.
const UNSTABLE_FRACTION: f64 = 0.5;

impl EndpointState {
    /// Returns the fraction of its weight that the endpoint can serve, from `initial_fraction` at its start
    /// to 1.
    #[must_use]
    pub fn slow_start_factor(&self, now: Duration, initial_fraction: f64) -> f64 {
        let remaining = self.warmed_up_at.saturating_sub(now).as_secs_f64();
        let window = (self.warmed_up_at - self.started_at).as_secs_f64().max(1e-6);
        1.0 - (1.0 - initial_fraction) * remaining / window
    }

    /// Records a start of the endpoint's process `age` ago. Returns true if it is later than the known start
    /// and still warming up; any other changes nothing.
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

/// The stability of each subset: while unstable, its endpoints that are warming up are at risk of overload.
#[derive(Default)]
pub struct Stability {
    /// The end of the unstable time, by subset.
    unstable_until: Vec<Duration>,
}

impl Stability {
    /// Returns the state in which all subsets are stable.
    pub fn new(subsets: usize) -> Self {
        Stability { unstable_until: vec![Duration::ZERO; subsets] }
    }

    /// Marks a subset as unstable for a fraction of the slow-start window.
    pub fn mark_unstable(&mut self, now: Duration, subset: usize, slow_start_window: Duration) {
        self.unstable_until[subset] = now + slow_start_window.mul_f64(UNSTABLE_FRACTION);
    }

    /// Returns true if a subset is unstable.
    pub fn is_unstable(&self, now: Duration, subset: usize) -> bool {
        now < self.unstable_until[subset]
    }
}

//! How much a fake endpoint can do while it warms up. The rules on warming endpoints are checked by the same figures.

use std::time::Duration;

/// The warm-up of an endpoint's process: its capacity grows in a straight line from a fraction to the whole.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// The fraction of full capacity right after the start, from 0 to 1.
    pub initial_fraction: f64,
    /// From the start to full capacity.
    pub window: Duration,
    /// How many times its present capacity an endpoint bears while it warms up.
    pub overload_factor: f64,
    /// The time over which that work is counted.
    pub overload_window: Duration,
}

impl SlowStart {
    /// The fraction of full capacity this long after the start; above 1 once the endpoint is warm.
    #[must_use]
    pub fn fraction_at(&self, age: Duration) -> f64 {
        let progress = age.as_secs_f64() / self.window.as_secs_f64();
        self.initial_fraction + (1.0 - self.initial_fraction) * progress
    }
}

//! The capacity of a fake endpoint while it warms up. The rule on warming endpoints is checked with the same model.

use std::time::Duration;

/// The warm-up of an endpoint's process: its capacity grows linearly from an initial fraction to full capacity.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// The fraction of full capacity immediately after the start, from 0 to 1.
    pub initial_fraction: f64,
    /// The time from the start to full capacity.
    pub window: Duration,
    /// The highest load that a warming endpoint survives, as a multiple of its current capacity.
    pub overload_factor: f64,
    /// The sliding window over which that load is measured.
    pub overload_window: Duration,
}

impl SlowStart {
    /// Returns the fraction of full capacity at this time after the start. It exceeds 1 after the warm-up.
    #[must_use]
    pub fn fraction_at(&self, age: Duration) -> f64 {
        let progress = age.as_secs_f64() / self.window.as_secs_f64();
        self.initial_fraction + (1.0 - self.initial_fraction) * progress
    }
}

//! The seeded random numbers that spread health checks over time.
//!
//! An instance with the same seed and the same inputs decides the same, so that a run can be repeated.

use nanorand::{Rng, WyRand};

/// A source of random fractions.
pub struct Random(WyRand);

impl Random {
    /// A source that gives the same sequence for the same seed.
    pub fn new(seed: u64) -> Self {
        Random(WyRand::new_seed(seed))
    }

    /// The next random number, from 0 to 1.
    pub fn fraction(&mut self) -> f64 {
        f64::from(self.0.generate::<u32>()) / f64::from(u32::MAX)
    }
}

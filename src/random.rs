//! The seeded random numbers that spread health checks over time.
//!
//! An instance with the same seed and the same inputs makes the same decisions, so that runs are
//! reproducible.

use nanorand::{Rng, WyRand};

/// A source of random fractions.
pub struct Random(WyRand);

impl Random {
    /// Returns a source; equal seeds produce equal sequences.
    pub fn new(seed: u64) -> Self {
        Random(WyRand::new_seed(seed))
    }

    /// Returns the next random number, from 0 to 1.
    pub fn fraction(&mut self) -> f64 {
        f64::from(self.0.generate::<u32>()) / f64::from(u32::MAX)
    }
}

//! Chance, from the seed that an instance is given.

use nanorand::{Rng, WyRand};

pub struct Chance(WyRand);

impl Chance {
    pub fn new(seed: u64) -> Self {
        Chance(WyRand::new_seed(seed))
    }

    /// From 0 up to 1.
    pub fn draw(&mut self) -> f64 {
        f64::from(self.0.generate::<u32>()) / f64::from(u32::MAX)
    }
}

impl Default for Chance {
    fn default() -> Self {
        Chance::new(0)
    }
}

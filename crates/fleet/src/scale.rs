//! Weights in units of the runtime API.

/// Weights as the runtime API has them: whole numbers up to 256, which stands for the greatest
/// weight that the terms let a list state.
#[derive(Clone, Copy, Debug)]
pub struct WeightScale {
    pub most: f64,
}

impl WeightScale {
    const UNITS: f64 = 256.0;

    /// At least 1 for any weight above 0: rounding takes nobody out of a table.
    pub fn units(&self, weight: f64) -> u32 {
        if weight <= 0.0 {
            0
        } else {
            (weight / self.most * Self::UNITS).round().clamp(1.0, Self::UNITS) as u32
        }
    }

    pub fn weight(&self, units: f64) -> f64 {
        units / Self::UNITS * self.most
    }
}

//! Weights in units of the runtime API.

/// Converts weights to the whole numbers from 0 to 256 of the runtime API, where 256 stands for the greatest
/// weight that the settings let an endpoint list state.
#[derive(Clone, Copy, Debug)]
pub struct WeightScale {
    /// The weight that 256 units stand for.
    pub max_weight: f64,
}

impl WeightScale {
    /// Units of the greatest weight.
    pub const MAX_UNITS: u32 = 256;

    /// At least 1 for any weight above 0, so that rounding takes no endpoint out of a table.
    #[must_use]
    pub fn units(&self, weight: f64) -> u32 {
        if weight <= 0.0 {
            return 0;
        }
        let max_units = f64::from(Self::MAX_UNITS);
        (weight / self.max_weight * max_units).round().clamp(1.0, max_units) as u32
    }

    /// The weight that so many units stand for.
    #[must_use]
    pub fn weight(&self, units: f64) -> f64 {
        units / f64::from(Self::MAX_UNITS) * self.max_weight
    }
}

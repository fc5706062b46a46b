//! Conversion of weights to units of the runtime API.

/// Converts weights to the units of the runtime API, integers from 0 to 256, where 256 units are the greatest weight
/// that the settings allow in an endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct WeightScale {
    /// The weight of 256 units.
    pub max_weight: f64,
}

impl WeightScale {
    /// The units of the greatest weight.
    pub const MAX_UNITS: u32 = 256;

    /// Returns the units of a weight: at least 1 for a weight above 0, so that rounding does not remove an endpoint
    /// from a table, and at most 256.
    #[must_use]
    pub fn units(&self, weight: f64) -> u32 {
        if weight <= 0.0 {
            return 0;
        }
        let max_units = f64::from(Self::MAX_UNITS);
        (weight / self.max_weight * max_units).round().clamp(1.0, max_units) as u32
    }

    /// Returns the weight of a number of units.
    #[must_use]
    pub fn weight(&self, units: f64) -> f64 {
        units / f64::from(Self::MAX_UNITS) * self.max_weight
    }
}

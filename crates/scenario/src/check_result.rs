//! The result of the check of one rule.

use serde::Serialize;

/// A rule with the worst value that was measured, which must not exceed the limit. Other programs read the names in
/// JSON, which are fixed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CheckResult {
    /// The name of the rule.
    pub rule: &'static str,
    /// The unit of the value, or what it counts.
    #[serde(rename = "of")]
    pub unit: &'static str,
    /// The highest value that was measured, or the number of violations.
    #[serde(rename = "figure")]
    pub worst_value: f64,
    /// The highest value that the rule allows.
    pub limit: f64,
    /// The endpoint, proxy, request or time at which the worst value was measured; empty if there is none.
    #[serde(rename = "at")]
    pub location: String,
}

impl CheckResult {
    /// Returns the result of a rule for which nothing was measured yet.
    pub(crate) fn new(rule: &'static str, unit: &'static str, limit: f64) -> Self {
        CheckResult { rule, unit, worst_value: 0.0, limit, location: String::new() }
    }

    /// Adds a measured value. The highest one and its location are kept.
    pub(crate) fn observe(&mut self, value: f64, location: impl FnOnce() -> String) {
        if value > self.worst_value {
            self.worst_value = value;
            self.location = location();
        }
    }

    /// Counts one more violation, whose location is kept.
    pub(crate) fn count_violation(&mut self, location: impl FnOnce() -> String) {
        self.observe(self.worst_value + 1.0, location);
    }

    /// Returns true if the worst value does not exceed the limit.
    #[must_use]
    pub fn passed(&self) -> bool {
        self.worst_value <= self.limit
    }
}

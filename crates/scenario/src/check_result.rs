//! What came of the check of one rule.

use serde::Serialize;

/// One rule with its figure, which must not exceed its limit. The names in JSON are read by other programs and stay.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CheckResult {
    /// The rule's name.
    pub rule: &'static str,
    /// What the figure counts, with its unit.
    #[serde(rename = "of")]
    pub unit: &'static str,
    /// The worst that was seen.
    #[serde(rename = "figure")]
    pub worst_value: f64,
    /// The most that the rule allows.
    pub limit: f64,
    /// Who and when, at the figure.
    #[serde(rename = "at")]
    pub location: String,
}

impl CheckResult {
    pub(crate) fn new(rule: &'static str, unit: &'static str, limit: f64) -> Self {
        CheckResult { rule, unit, worst_value: 0.0, limit, location: String::new() }
    }

    /// Takes a figure that was seen; the worst one stays.
    pub(crate) fn observe(&mut self, value: f64, location: impl FnOnce() -> String) {
        if value > self.worst_value {
            self.worst_value = value;
            self.location = location();
        }
    }

    /// Counts one violation more.
    pub(crate) fn count(&mut self, location: impl FnOnce() -> String) {
        self.observe(self.worst_value + 1.0, location);
    }

    /// Whether the rule was kept.
    #[must_use]
    pub fn passed(&self) -> bool {
        self.worst_value <= self.limit
    }
}

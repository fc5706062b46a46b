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
    pub figure: f64,
    /// The most that the rule allows.
    pub limit: f64,
    /// Who and when, at the figure.
    #[serde(rename = "at")]
    pub location: String,
}

impl CheckResult {
    pub(crate) fn new(rule: &'static str, unit: &'static str, limit: f64) -> Self {
        CheckResult { rule, unit, figure: 0.0, limit, location: String::new() }
    }

    /// Takes a figure that was seen; the worst one stays.
    pub(crate) fn observe(&mut self, figure: f64, location: impl FnOnce() -> String) {
        if figure > self.figure {
            self.figure = figure;
            self.location = location();
        }
    }

    /// Counts one violation more.
    pub(crate) fn count(&mut self, location: impl FnOnce() -> String) {
        self.observe(self.figure + 1.0, location);
    }

    /// Whether the rule was kept.
    #[must_use]
    pub fn passed(&self) -> bool {
        self.figure <= self.limit
    }
}

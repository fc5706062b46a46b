//! The report of a scenario, as JSON for programs and as text for people. The names in JSON and the words of the text
//! are fixed.

use std::fmt;

use lockcroft_testbed::TrafficRecord;
use serde::{Deserialize, Serialize};

use crate::check_result::CheckResult;
use crate::resource_meter::ResourceUsage;
use crate::score::{RestartScore, Score};

/// The rows of the controller's `show info` that the text contains.
const INFO_ROWS: [&str; 13] = [
    "OrderMsP50",
    "OrderMsP99",
    "OrderMsMost",
    "LinesWaitingMost",
    "Lines",
    "Messages",
    "FilesGenerations",
    "FilesFailures",
    "FilesWritten",
    "FilesBytes",
    "LaidMsP50",
    "LaidMsP99",
    "LaidMsMost",
];

/// The report of a scenario.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The result of each rule.
    #[serde(rename = "verdicts")]
    pub checks: Vec<CheckResult>,
    /// The goodput and related figures.
    pub score: Score,
    /// The lines of the controller's `show info` at the end. The checks don't use them.
    #[serde(rename = "pilot")]
    pub controller_info: Vec<String>,
    /// The resource usage of the controller and of the proxies.
    #[serde(rename = "load")]
    pub resource_usage: ResourceUsage,
    /// The exit code of the controller's process, if it ended within its timeout.
    #[serde(rename = "exit")]
    pub exit_code: Option<i32>,
    /// The recorded traffic.
    pub records: Vec<TrafficRecord>,
}

/// The report of a scenario without the recorded traffic.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Summary {
    /// The goodput and related figures.
    pub score: Score,
    /// The names of the rules that were broken.
    #[serde(rename = "broken")]
    pub broken_rules: Vec<String>,
}

impl Report {
    /// Returns the report without the recorded traffic.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let broken_rules = self.broken_rules().map(String::from).collect();
        Summary { score: self.score.clone(), broken_rules }
    }

    /// Returns true if all rules were kept.
    #[must_use]
    pub fn all_checks_passed(&self) -> bool {
        self.checks.iter().all(CheckResult::passed)
    }

    fn broken_rules(&self) -> impl Iterator<Item = &'static str> {
        self.checks.iter().filter(|check| !check.passed()).map(|check| check.rule)
    }

    fn write_checks(&self, out: &mut fmt::Formatter) -> fmt::Result {
        for check in &self.checks {
            let CheckResult { rule, unit, worst_value, limit, location } = check;
            let result = if check.passed() { "kept" } else { "BROKEN" };
            let location = if location.is_empty() { String::new() } else { format!(" ({location})") };
            writeln!(out, "{result:6} {rule:20} {worst_value:.2} of {limit:.2} {unit}{location}")?;
        }
        Ok(())
    }

    fn write_score(&self, out: &mut fmt::Formatter) -> fmt::Result {
        let score = &self.score;
        writeln!(
            out,
            "fulfilled earnings {:.3} of {} visits, {:.3} in the worst 10 s (from {:.0} s)",
            score.goodput, score.requests, score.worst_window_goodput, score.worst_window_at_s
        )?;
        let windows: Vec<String> =
            score.window_goodput.iter().map(|goodput| format!("{goodput:.3}")).collect();
        writeln!(out, "  each 10 s: {}", windows.join(" "))?;
        for (class, goodput) in &score.class_goodput {
            writeln!(out, "  {class}: {goodput:.3}")?;
        }
        writeln!(out, "  visits that crossed zones: {:.3}", score.cross_zone_fraction)?;
        writeln!(out, "  weights and levels changed, each 10 s: {:?}", score.changes)?;
        for RestartScore { at_s, goodput, changes, settled_s } in &score.restarts {
            writeln!(
                out,
                "  20 s behind the start at {at_s:.0} s: {goodput:.3}, {changes} changed, tables laid in {settled_s:.1} s"
            )?;
        }
        Ok(())
    }

    fn write_controller_info(&self, out: &mut fmt::Formatter) -> fmt::Result {
        for name in INFO_ROWS {
            let prefix = format!("{name}:");
            if let Some(row) = self.controller_info.iter().find(|row| row.starts_with(&prefix)) {
                writeln!(out, "  {row}")?;
            }
        }
        Ok(())
    }
}

impl fmt::Display for Report {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        self.write_checks(out)?;
        self.write_score(out)?;
        writeln!(out, "{}", self.resource_usage)?;
        self.write_controller_info(out)?;
        if self.all_checks_passed() {
            return write!(out, "rules kept");
        }
        let broken: Vec<&str> = self.broken_rules().collect();
        write!(out, "rules broken: {}", broken.join(", "))
    }
}

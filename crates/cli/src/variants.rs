//! `lockcroft scenario --ways` and `--search`: runs several variants of one scenario, each in a separate process, and
//! compares their scores.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::time::Duration;

use lockcroft_scenario::{Scenario, Summary, Variant, search_variants};
use serde_json::json;

use crate::error::{CliError, report};
use crate::serve::EXIT_USAGE;

/// The interval between two checks for processes that have exited.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the variants that a scenario's file defines, followed by those of its search space.
pub fn all(scenario: &Scenario) -> Vec<Variant> {
    scenario.variants.iter().cloned().chain(search_variants(&scenario.search_spaces)).collect()
}

/// The settings of a comparison of variants.
pub struct Comparison<'a> {
    /// The file of the scenario.
    pub file: &'a Path,
    /// True to run the variants of the search space instead of those that the file defines.
    pub search: bool,
    /// The maximum number of processes that run at the same time.
    pub max_concurrent: usize,
    /// True to print JSON instead of a table.
    pub json: bool,
}

/// A variant and the summary of its run.
struct VariantResult<'a> {
    variant: &'a Variant,
    summary: Summary,
}

impl Comparison<'_> {
    /// Runs the variants and prints one row for each; the variants of a search are sorted by descending goodput.
    pub fn run(&self, scenario: &Scenario) -> ExitCode {
        let variants =
            if self.search { search_variants(&scenario.search_spaces) } else { scenario.variants.clone() };
        // A scenario without a search space still yields one variant, which changes no weight.
        if variants.is_empty() || self.search && scenario.search_spaces.is_empty() {
            let element = if self.search { "search" } else { "way" };
            eprintln!("lockcroft: {}: no element {element}", self.file.display());
            return ExitCode::from(EXIT_USAGE);
        }
        report(self.compare(&variants))
    }

    fn compare(&self, variants: &[Variant]) -> Result<ExitCode, CliError> {
        let summaries = VariantRunner::new(self.file, variants)?.run_all(self.max_concurrent)?;
        let mut results: Vec<VariantResult> = variants
            .iter()
            .zip(summaries)
            .map(|(variant, summary)| VariantResult { variant, summary })
            .collect();
        if self.search {
            results.sort_by(|a, b| b.summary.score.goodput.total_cmp(&a.summary.score.goodput));
        }
        if self.json {
            print_json(&results);
        } else {
            print_rows(&results);
        }
        let rules_kept = results.iter().all(|result| result.summary.broken_rules.is_empty());
        Ok(if rules_kept { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }
}

fn print_json(results: &[VariantResult]) {
    let row = |result: &VariantResult| json!({"way": result.variant.name, "played": result.summary});
    println!("{}", json!({"ways": results.iter().map(row).collect::<Vec<_>>()}));
}

fn print_rows(results: &[VariantResult]) {
    println!("{:24} fulfilled  worst 10 s  crossing  changes  each 10 s, rules", "way");
    for VariantResult { variant, summary: Summary { score, broken_rules } } in results {
        let windows: Vec<String> =
            score.window_goodput.iter().map(|fraction| format!("{fraction:.3}")).collect();
        let rules = if broken_rules.is_empty() {
            "kept".into()
        } else {
            format!("BROKEN: {}", broken_rules.join(", "))
        };
        let changes: usize = score.changes.iter().sum();
        println!(
            "{:24} {:9.3}  {:10.3}  {:8.3}  {changes:7}  {}, {rules}",
            variant.name,
            score.goodput,
            score.worst_window_goodput,
            score.cross_zone_fraction,
            windows.join(" ")
        );
        for restart in &score.restarts {
            println!(
                "{:24} 20 s behind the start at {:.0} s: {:.3}, {} changed, tables laid in {:.1} s",
                "", restart.at_s, restart.goodput, restart.changes, restart.settled_s
            );
        }
    }
}

/// A process that runs a variant. Dropping it kills the process, so that a failed comparison leaves none behind.
struct RunningVariant {
    child: Child,
    /// The file to which the process writes its summary.
    summary: PathBuf,
    /// The position of the variant.
    index: usize,
}

impl Drop for RunningVariant {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs variants of one scenario, each in a process of this program.
struct VariantRunner<'a> {
    file: &'a Path,
    variants: &'a [Variant],
    /// The folder in which the processes write their summaries and logs.
    folder: tempfile::TempDir,
    running: Vec<RunningVariant>,
    summaries: Vec<Option<Summary>>,
}

impl<'a> VariantRunner<'a> {
    fn new(file: &'a Path, variants: &'a [Variant]) -> Result<Self, CliError> {
        let summaries = variants.iter().map(|_| None).collect();
        Ok(VariantRunner { file, variants, folder: tempfile::tempdir()?, running: Vec::new(), summaries })
    }

    /// Runs all variants and returns their summaries in the order of the variants.
    fn run_all(mut self, max_concurrent: usize) -> Result<Vec<Summary>, CliError> {
        let mut pending = 0..self.variants.len();
        while self.summaries.iter().any(Option::is_none) {
            while self.running.len() < max_concurrent.max(1) {
                let Some(index) = pending.next() else { break };
                eprintln!("running {}", self.variants[index].name);
                let started = self.start(index)?;
                self.running.push(started);
            }
            std::thread::sleep(POLL_INTERVAL);
            self.collect_finished()?;
        }
        Ok(self.summaries.into_iter().flatten().collect())
    }

    /// Reads the summaries of the processes that have exited.
    fn collect_finished(&mut self) -> Result<(), CliError> {
        for variant in &mut self.running {
            if variant.child.try_wait()?.is_some() {
                let file = File::open(&variant.summary)
                    .map_err(|_| CliError::VariantFailed(self.variants[variant.index].name.clone()))?;
                self.summaries[variant.index] = Some(serde_json::from_reader(file)?);
            }
        }
        let summaries = &self.summaries;
        self.running.retain(|variant| summaries[variant.index].is_none());
        Ok(())
    }

    fn start(&self, index: usize) -> Result<RunningVariant, CliError> {
        let program = std::env::current_exe()?;
        let summary = self.folder.path().join(format!("{index}.json"));
        let log = File::create(self.folder.path().join(format!("{index}.txt")))?;
        let mut command = Command::new(program);
        command.arg("scenario").arg(self.file).arg("--way").arg(&self.variants[index].name);
        command.arg("--summary").arg(&summary);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        Ok(RunningVariant { child: command.spawn()?, summary, index })
    }
}

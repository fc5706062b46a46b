//! `lockcroft scenario`: runs a scripted scenario once, in each of its variants, or in each variant of its search space.

use std::fs::{self, File};
use std::io::BufWriter;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Args;
use lockcroft_scenario::{Report, Scenario, run};
use serde::Serialize;

use crate::error::{CliError, report};
use crate::serve::EXIT_USAGE;
use crate::variants::{self, Comparison};

#[derive(Args)]
pub struct ScenarioCommand {
    #[arg(value_name = "DAY")]
    file: PathBuf,
    /// Write the rule results, the score and the recorded traffic to this file as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Write only the score and the broken rules to this file as JSON.
    #[arg(long)]
    summary: Option<PathBuf>,
    /// Keep the controller's configuration, endpoint list and log in this folder.
    #[arg(long)]
    keep: Option<PathBuf>,
    /// Run only the variant (element way, or one of its search) with this name.
    #[arg(long = "way", value_name = "WAY", conflicts_with_all = ["all_variants", "search"])]
    variant: Option<String>,
    /// Run every variant in the file (elements way) and compare their scores.
    #[arg(long = "ways", conflicts_with_all = ["search", "json", "summary", "keep"])]
    all_variants: bool,
    /// Run every combination of the weights in its elements search, without the solver, and print the best first.
    #[arg(long, conflicts_with_all = ["json", "summary", "keep"])]
    search: bool,
    /// The maximum number of variants that run at the same time.
    #[arg(long = "at-once", value_name = "AT_ONCE", default_value_t = 2)]
    max_concurrent: usize,
    /// Print the rows of --ways or --search as JSON.
    #[arg(long = "rows")]
    json_rows: bool,
}

impl ScenarioCommand {
    pub fn run(self) -> ExitCode {
        let scenario = match Scenario::open(&self.file) {
            Ok(scenario) => scenario,
            Err(errors) => {
                eprintln!("{errors}");
                return ExitCode::from(EXIT_USAGE);
            }
        };
        if self.all_variants || self.search {
            let comparison = Comparison {
                file: &self.file,
                search: self.search,
                max_concurrent: self.max_concurrent,
                json: self.json_rows,
            };
            return comparison.run(&scenario);
        }
        match self.with_variant(scenario) {
            Ok(scenario) => report(self.run_once(&scenario)),
            Err(error) => {
                eprintln!("lockcroft: {}: {error}", self.file.display());
                ExitCode::from(EXIT_USAGE)
            }
        }
    }

    /// Returns the scenario in the variant that the command line names.
    fn with_variant(&self, scenario: Scenario) -> Result<Scenario, CliError> {
        let Some(name) = &self.variant else { return Ok(scenario) };
        let all = variants::all(&scenario);
        let Some(variant) = all.iter().find(|variant| variant.name == *name) else {
            let names: Vec<&str> = all.iter().map(|variant| variant.name.as_str()).collect();
            return Err(CliError::UnknownVariant { name: name.clone(), known: names.join(", ") });
        };
        Ok(scenario.with_variant(variant)?)
    }

    fn run_once(&self, scenario: &Scenario) -> Result<ExitCode, CliError> {
        let report = self.run_scenario(scenario)?;
        println!("{report}");
        if let Some(path) = &self.json {
            write_json(path, &report)?;
        }
        if let Some(path) = &self.summary {
            write_json(path, &report.summary())?;
        }
        Ok(if report.all_checks_passed() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }

    fn run_scenario(&self, scenario: &Scenario) -> Result<Report, CliError> {
        let program = std::env::current_exe()?;
        let temporary = tempfile::tempdir()?;
        let folder = self.keep.clone().unwrap_or_else(|| temporary.path().into());
        fs::create_dir_all(&folder).map_err(|error| CliError::at(&folder, error))?;
        let folder = folder.canonicalize()?;
        // One core is left for the controller's process.
        let workers = std::thread::available_parallelism().map_or(2, |cores| cores.get() - 1).max(1);
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(workers).enable_all().build()?;
        let running = run(scenario, &program, &folder, |text| eprintln!("{text}"));
        Ok(runtime.block_on(running)?)
    }
}

fn write_json(path: &Path, value: &impl Serialize) -> Result<(), CliError> {
    let file = File::create(path).map_err(|error| CliError::at(path, error))?;
    serde_json::to_writer(BufWriter::new(file), value).map_err(|error| CliError::at(path, error))
}

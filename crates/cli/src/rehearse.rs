//! `lockcroft rehearse`.

use std::fs::{self, File};
use std::io::BufWriter;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Args;
use lockcroft_scenario::{Report, Scenario, play};
use serde::Serialize;

use crate::ways;

#[derive(Args)]
pub struct Rehearsal {
    day: PathBuf,
    /// Write verdicts, earnings and all that passed to this file.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Write earnings and broken rules alone to this file.
    #[arg(long)]
    summary: Option<PathBuf>,
    /// Keep the pilot's settings, list and log in this folder.
    #[arg(long)]
    keep: Option<PathBuf>,
    /// Play it in one of the ways that its file names.
    #[arg(long, conflicts_with_all = ["ways", "search"])]
    way: Option<String>,
    /// Play it in each of its ways and lay them side by side.
    #[arg(long, conflicts_with_all = ["search", "json", "summary", "keep"])]
    ways: bool,
    /// Play it with all listed weights of its search, without plans, the best first.
    #[arg(long, conflicts_with_all = ["json", "summary", "keep"])]
    search: bool,
    /// So many ways at the same time.
    #[arg(long, default_value_t = 2)]
    at_once: usize,
    /// Print the rows of --ways or --search as JSON.
    #[arg(long)]
    rows: bool,
}

impl Rehearsal {
    pub fn run(self) -> ExitCode {
        let day = match Scenario::open(&self.day) {
            Ok(day) => day,
            Err(faults) => {
                eprintln!("{faults}");
                return ExitCode::from(2);
            }
        };
        if self.ways || self.search {
            return ways::compare(&self.day, &day, self.search, self.at_once, self.rows);
        }
        let day = match self.in_way(day) {
            Ok(day) => day,
            Err(wrong) => {
                eprintln!("lockcroft: {}: {wrong}", self.day.display());
                return ExitCode::from(2);
            }
        };
        let (json, summary) = (self.json, self.summary);
        let told = run(&day, self.keep).and_then(|report| {
            println!("{report}");
            json.map_or(Ok(()), |path| write(&path, &report))?;
            summary.map_or(Ok(()), |path| write(&path, &report.summary()))?;
            Ok(report.kept())
        });
        match told {
            Ok(true) => ExitCode::SUCCESS,
            Ok(false) => ExitCode::FAILURE,
            Err(wrong) => {
                eprintln!("lockcroft: {wrong}");
                ExitCode::FAILURE
            }
        }
    }

    fn in_way(&self, day: Scenario) -> Result<Scenario, String> {
        let Some(name) = &self.way else { return Ok(day) };
        let all = ways::all(&day);
        match all.iter().find(|way| way.name == *name) {
            Some(way) => day.in_way(way),
            None => {
                let names: Vec<&str> = all.iter().map(|way| way.name.as_str()).collect();
                Err(format!("no way {name:?}; there are {}", names.join(", ")))
            }
        }
    }
}

fn write(path: &Path, what: &impl Serialize) -> Result<(), String> {
    let file = File::create(path).map_err(|e| format!("{}: {e}", path.display()))?;
    serde_json::to_writer(BufWriter::new(file), what).map_err(|e| format!("{}: {e}", path.display()))
}

fn run(day: &Scenario, keep: Option<PathBuf>) -> Result<Report, String> {
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let passing = tempfile::tempdir().map_err(|e| e.to_string())?;
    let folder = keep.unwrap_or_else(|| passing.path().into());
    fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let folder = folder.canonicalize().map_err(|e| e.to_string())?;
    // One core is the pilot's.
    let workers = std::thread::available_parallelism().map_or(2, |cores| cores.get() - 1).max(1);
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(workers).enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    runtime.block_on(play(day, &program, &folder, |text| eprintln!("{text}")))
}

//! `lockcroft rehearse`.

use std::fs::{self, File};
use std::io::BufWriter;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use lockcroft_rehearsal::{Day, Report, play};

pub fn rehearse(file: &Path, json: Option<&Path>, keep: Option<PathBuf>) -> ExitCode {
    let day = match Day::open(file) {
        Ok(day) => day,
        Err(faults) => {
            eprintln!("{faults}");
            return ExitCode::from(2);
        }
    };
    let report = match run(&day, keep) {
        Ok(report) => report,
        Err(wrong) => {
            eprintln!("lockcroft: {wrong}");
            return ExitCode::FAILURE;
        }
    };
    println!("{report}");
    if let Some(path) = json {
        let written = File::create(path).map(BufWriter::new).map_err(|e| e.to_string());
        let written =
            written.and_then(|file| serde_json::to_writer(file, &report).map_err(|e| e.to_string()));
        if let Err(wrong) = written {
            eprintln!("lockcroft: {}: {wrong}", path.display());
            return ExitCode::FAILURE;
        }
    }
    if report.kept() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn run(day: &Day, keep: Option<PathBuf>) -> Result<Report, String> {
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

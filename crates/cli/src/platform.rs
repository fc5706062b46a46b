//! `lockcroft platform`: a pilot on the users' platform.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use lockcroft_config::LogConfig;
use lockcroft_platform::io;
use serde_json::json;

#[derive(Args)]
pub struct Platform {
    /// What the platform tells this pilot, as JSON.
    #[arg(long, env = "LB_CONFIG")]
    config: Option<PathBuf>,
    /// Levels of the log, as info,lockcroft::update=debug
    #[arg(long, env = "LOCKCROFT_LOG", default_value = "info")]
    log: String,
    /// Read the file, say whether it can be used, and start nothing.
    #[arg(long)]
    check: bool,
    /// Print what --check found as JSON.
    #[arg(long, requires = "check")]
    json: bool,
}

impl Platform {
    pub fn run(self) -> ExitCode {
        let path = self.config.unwrap_or_default();
        let config = match path.as_os_str().is_empty() {
            true => Err("LB_CONFIG: not set, nor --config; allowed: the path of the configuration".into()),
            false => io::open(&path).map_err(|e| e.to_string()),
        };
        if self.json {
            println!("{}", json!({"fault": config.as_ref().err()}));
        }
        let config = match config {
            Ok(config) => config,
            Err(fault) => {
                eprintln!("lockcroft: {fault}");
                return ExitCode::from(2);
            }
        };
        if self.check {
            return ExitCode::SUCCESS;
        }
        let logs = lockcroft_daemon::start_logs(&LogConfig { levels: Some(self.log), json: false });
        let started = logs.map_err(|error| error.to_string());
        match started.and_then(|_logs| io::serve(&path, config).map_err(|error| error.to_string())) {
            Ok(()) => ExitCode::SUCCESS,
            Err(fault) => {
                eprintln!("lockcroft: {fault}");
                ExitCode::FAILURE
            }
        }
    }
}

//! `lockcroft platform`: a controller on the platform, which configures it by a JSON file.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Args;
use lockcroft_config::LogConfig;
use lockcroft_platform::Config;
use lockcroft_platform::io;
use serde_json::json;

use crate::error::{CliError, report};
use crate::serve::EXIT_USAGE;

#[derive(Args)]
pub struct PlatformCommand {
    /// Path of the controller's configuration, a JSON file.
    #[arg(long, env = "LB_CONFIG")]
    config: Option<PathBuf>,
    /// Log levels, such as info,lockcroft::update=debug
    #[arg(long = "log", value_name = "LOG", env = "LOCKCROFT_LOG", default_value = "info")]
    log_levels: String,
    /// Validate the configuration without starting anything.
    #[arg(long)]
    check: bool,
    /// Print the result of --check as JSON.
    #[arg(long, requires = "check")]
    json: bool,
}

impl PlatformCommand {
    pub fn run(self) -> ExitCode {
        // The signal handlers come first: a signal that arrives before them would end the process by its default action.
        let (runtime, signals) = match lockcroft_signals::start_runtime() {
            Ok(started) => started,
            Err(error) => return report(Err(CliError::other(error))),
        };
        let path = self.config.unwrap_or_default();
        let config = open_config(&path);
        if self.json {
            println!("{}", json!({"fault": config.as_ref().err().map(ToString::to_string)}));
        }
        let config = match config {
            Ok(config) => config,
            Err(error) => {
                eprintln!("lockcroft: {error}");
                return ExitCode::from(EXIT_USAGE);
            }
        };
        if self.check {
            return ExitCode::SUCCESS;
        }
        if let Err(error) = start_logs(self.log_levels) {
            return report(Err(error));
        }
        let served = io::serve(&path, config, &runtime, signals);
        report(served.map(|()| ExitCode::SUCCESS).map_err(CliError::other))
    }
}

fn open_config(path: &Path) -> Result<Config, CliError> {
    if path.as_os_str().is_empty() {
        return Err(CliError::NoPlatformConfig);
    }
    io::read_config(path).map_err(CliError::other)
}

fn start_logs(levels: String) -> Result<(), CliError> {
    let log = LogConfig { filter: Some(levels), json: false };
    lockcroft_daemon::start_logging(&log).map(drop).map_err(CliError::other)
}

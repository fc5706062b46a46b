//! `lockcroft serve`, `lockcroft proxy` and `lockcroft check`: the verbs that take a configuration file.

use std::path::Path;
use std::process::ExitCode;

use lockcroft_config::{ConfigError, ConfigErrors, DaemonConfig};
use lockcroft_proxy::ProxyConfig;
use lockcroft_signals::Signals;
use serde_json::{Value, json};
use tokio::runtime::Runtime;
use tokio::task::LocalSet;

use crate::error::{CliError, report};

/// The exit code for an invalid file or command line.
pub const EXIT_USAGE: u8 = 2;

/// Runs a controller until SIGTERM.
pub fn serve(file: &Path) -> ExitCode {
    let (runtime, signals) = match lockcroft_signals::start_runtime() {
        Ok(started) => started,
        Err(error) => return report(Err(CliError::other(error))),
    };
    let config = match open_config(file, false) {
        Ok(config) => config,
        Err(code) => return code,
    };
    let served = lockcroft_daemon::serve(&config, &runtime, signals);
    report(served.map(|()| ExitCode::SUCCESS).map_err(CliError::other))
}

/// Runs a proxy until SIGTERM.
pub fn proxy(file: &Path) -> ExitCode {
    let (runtime, signals) = match lockcroft_signals::start_runtime() {
        Ok(started) => started,
        Err(error) => return report(Err(CliError::other(error))),
    };
    let config = match ProxyConfig::open(file) {
        Ok(config) => config,
        Err(errors) => {
            eprintln!("{errors}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    report(run_proxy(config, &runtime, signals).map(|()| ExitCode::SUCCESS))
}

fn run_proxy(config: ProxyConfig, runtime: &Runtime, signals: Signals) -> Result<(), CliError> {
    lockcroft_daemon::start_logging(&config.log).map_err(CliError::other)?;
    let serving = lockcroft_proxy::serve(config, signals);
    LocalSet::new().block_on(runtime, serving).map_err(CliError::other)
}

/// Validates a controller's configuration, and the endpoint list that it names, without starting anything.
pub fn check(file: &Path, json: bool) -> ExitCode {
    match open_config(file, json) {
        Ok(config) if json => println!("{}", json!({"faults": [], "proxies": config.proxies.len()})),
        Ok(config) => println!("{}: valid, {} proxies", file.display(), config.proxies.len()),
        Err(code) => return code,
    }
    ExitCode::SUCCESS
}

/// Reads a controller's configuration. Prints the errors of an invalid one, and returns the exit code for it.
fn open_config(file: &Path, json: bool) -> Result<DaemonConfig, ExitCode> {
    DaemonConfig::open(file).map_err(|errors| {
        if json {
            println!("{}", config_errors_json(&errors));
        } else {
            eprintln!("{errors}");
        }
        ExitCode::from(EXIT_USAGE)
    })
}

/// Returns the errors of a file in the form that `--json` prints.
pub fn config_errors_json(errors: &ConfigErrors) -> Value {
    let row = |error: &ConfigError| {
        json!({"file": error.file, "line": error.line, "element": error.element, "wrong": error.message,
            "allowed": error.expected})
    };
    json!({"faults": errors.0.iter().map(row).collect::<Vec<_>>()})
}

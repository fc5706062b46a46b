//! The `lockcroft` command: the controller's daemon, a proxy, and tools for operators. Each module implements one verb,
//! or helpers that several verbs share.

mod ask;
mod error;
mod files;
mod platform;
mod scenario;
mod serve;
mod snapshot_name;
mod snapshot_rows;
mod solve;
mod state;
mod variants;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// The parsed command line. Its help text begins with the description of the package.
#[derive(Parser)]
#[command(name = "lockcroft", version, about, after_help = EXIT_CODES)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

const EXIT_CODES: &str = "Exit codes: 0 success; 1 failure, invalid data, or rules broken in a scenario; \
    2 invalid file or command line.";

#[derive(Subcommand)]
enum Command {
    /// Run a controller until SIGTERM; proxies keep their tables after that.
    #[command(after_help = "Example: lockcroft serve /etc/lockcroft/pilot.xml")]
    Serve { file: PathBuf },
    /// Run a controller on the platform until SIGTERM; SIGHUP reloads its configuration.
    #[command(after_help = "Example: LB_CONFIG=/run/balancer/config.json lockcroft platform")]
    Platform(platform::PlatformCommand),
    /// Run a proxy that applies the tables of a controller, until SIGTERM.
    #[command(after_help = "Example: lockcroft proxy /etc/lockcroft/proxy.xml")]
    Proxy { file: PathBuf },
    /// Validate a configuration and the endpoint list that it names, without starting anything.
    #[command(after_help = "Example: lockcroft check --json /etc/lockcroft/pilot.xml")]
    Check {
        file: PathBuf,
        /// Print errors as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Send one runtime API command to a controller or a proxy and print the answer.
    #[command(after_help = "Examples:\n  lockcroft ask /run/lockcroft.sock show proxies\n  \
        lockcroft ask 127.0.0.1:9901 set server servers/e3 state drain")]
    Ask(ask::AskCommand),
    /// Show, verify, compare and republish the snapshots in a folder of table files.
    #[command(subcommand)]
    Files(files::FilesCommand),
    /// Show, verify and compact the state that a controller persisted in a folder.
    #[command(subcommand, visible_alias = "memory")]
    State(state::StateCommand),
    /// Compute weights for a problem, and report the demand that exceeds the capacity.
    #[command(after_help = "Examples:\n  lockcroft solve examples/problem.xml --picture load.svg\n  \
        lockcroft ask /run/lockcroft.sock show plan problem > now.xml && lockcroft solve now.xml")]
    Solve(solve::SolveCommand),
    /// Run a scripted scenario against a controller process, and check the five rules from the traffic on the sockets.
    #[command(
        visible_alias = "rehearse",
        after_help = "Examples:\n  lockcroft scenario examples/bad-day.xml --json day.json\n  \
        lockcroft scenario examples/mixed-fleet.xml --ways --at-once 3"
    )]
    Scenario(scenario::ScenarioCommand),
}

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Serve { file } => serve::serve(&file),
        Command::Platform(command) => command.run(),
        Command::Proxy { file } => serve::proxy(&file),
        Command::Check { file, json } => serve::check(&file, json),
        Command::Ask(command) => command.run(),
        Command::Files(command) => command.run(),
        Command::State(command) => command.run(),
        Command::Solve(command) => command.run(),
        Command::Scenario(command) => command.run(),
    }
}

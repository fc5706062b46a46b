//! The `lockcroft` command: the controller's daemon, a proxy, and the tools around them. Each module holds one verb, or
//! what several verbs share.

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

/// Publishes weights and tables of servers to a fleet of plain proxies.
#[derive(Parser)]
#[command(name = "lockcroft", version, about, after_help = EXITS)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

const EXITS: &str =
    "Exit codes: 0 done; 1 not done, rules broken, or the other end said no; 2 a wrong file or command line.";

#[derive(Subcommand)]
enum Command {
    /// Run a pilot until SIGTERM; proxies keep their tables then.
    #[command(after_help = "Example: lockcroft serve /etc/lockcroft/pilot.xml")]
    Serve { file: PathBuf },
    /// Run a pilot on the users' platform until SIGTERM; SIGHUP reads the file again.
    #[command(after_help = "Example: LB_CONFIG=/run/balancer/config.json lockcroft platform")]
    Platform(platform::PlatformCommand),
    /// Run a proxy that follows the tables of a pilot, until SIGTERM.
    #[command(after_help = "Example: lockcroft proxy /etc/lockcroft/proxy.xml")]
    Proxy { file: PathBuf },
    /// Check a settings file, and the roster that it names, without starting anything.
    #[command(after_help = "Example: lockcroft check --json /etc/lockcroft/pilot.xml")]
    Check {
        file: PathBuf,
        /// Print faults as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Ask a pilot or a proxy one runtime command and print the answer.
    #[command(after_help = "Examples:\n  lockcroft ask /run/lockcroft.sock show proxies\n  \
        lockcroft ask 127.0.0.1:9901 set server servers/e3 state drain")]
    Ask(ask::AskCommand),
    /// Look into a folder of table files: what a generation holds, whether it is sound, what changed.
    #[command(subcommand)]
    Files(files::FilesCommand),
    /// Look into the folder in which a pilot keeps what it learned.
    #[command(subcommand, visible_alias = "memory")]
    State(state::StateCommand),
    /// Work out weights for a problem, and say what finds no room.
    #[command(after_help = "Examples:\n  lockcroft solve examples/problem.xml --picture load.svg\n  \
        lockcroft ask /run/lockcroft.sock show plan problem > now.xml && lockcroft solve now.xml")]
    Solve(solve::SolveCommand),
    /// Play a scripted day against a pilot of this program and judge the five rules from the sockets.
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

//! The `lockcroft` command: a daemon, its questions, and rehearsals.

mod files;
mod memory;
mod platform;
mod rehearse;
mod solve;
mod ways;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand};
use lockcroft_config::{ConfigErrors, DaemonConfig};
use lockcroft_proxy::ProxyConfig;
use lockcroft_runtime_api::{Address, request};
use serde_json::json;

/// Publishes weights and tables of servers to a fleet of plain proxies.
#[derive(Parser)]
#[command(name = "lockcroft", version, about, after_help = EXITS)]
struct Cli {
    #[command(subcommand)]
    task: Task,
}

const EXITS: &str =
    "Exit codes: 0 done; 1 not done, rules broken, or the other end said no; 2 a wrong file or command line.";

#[derive(Subcommand)]
enum Task {
    /// Run a pilot until SIGTERM; proxies keep their tables then.
    #[command(after_help = "Example: lockcroft serve /etc/lockcroft/pilot.xml")]
    Serve { file: PathBuf },
    /// Run a pilot on the users' platform until SIGTERM; SIGHUP reads the file again.
    #[command(after_help = "Example: LB_CONFIG=/run/balancer/config.json lockcroft platform")]
    Platform(platform::Platform),
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
    Ask {
        /// unix:PATH, /PATH or IP:PORT
        address: Address,
        #[arg(required = true, trailing_var_arg = true, allow_hyphen_values = true)]
        command: Vec<String>,
        /// Seconds to wait for the whole answer.
        #[arg(long, default_value_t = 5.0)]
        within: f64,
        /// Print address, command and answer lines as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Look into a folder of table files: what a generation holds, whether it is sound, what changed.
    #[command(subcommand)]
    Files(files::Files),
    /// Look into the folder in which a pilot keeps what it learned.
    #[command(subcommand)]
    Memory(memory::Memory),
    /// Work out weights for a problem, and say what finds no room.
    #[command(after_help = "Examples:\n  lockcroft solve examples/problem.xml --picture load.svg\n  \
        lockcroft ask /run/lockcroft.sock show plan problem > now.xml && lockcroft solve now.xml")]
    Solve {
        file: PathBuf,
        /// Print the answer as JSON, with the tables of each class and zone.
        #[arg(long)]
        json: bool,
        /// Draw load against capacity, before and after, as SVG.
        #[arg(long)]
        picture: Option<PathBuf>,
    },
    /// Play a scripted day against a pilot of this program and judge the five rules from the sockets.
    #[command(after_help = "Examples:\n  lockcroft rehearse examples/bad-day.xml --json day.json\n  \
        lockcroft rehearse examples/mixed-fleet.xml --ways --at-once 3")]
    Rehearse(rehearse::Rehearsal),
}

fn main() -> ExitCode {
    match Cli::parse().task {
        Task::Serve { file } => serve(&file),
        Task::Platform(platform) => platform.run(),
        Task::Proxy { file } => proxy(&file),
        Task::Check { file, json } => check(&file, json),
        Task::Ask { address, command, within, json } => ask_one(&address, &command, within, json),
        Task::Files(files) => files.run(),
        Task::Memory(memory) => memory.run(),
        Task::Solve { file, json, picture } => solve::solve(&file, json, picture.as_deref()),
        Task::Rehearse(rehearsal) => rehearsal.run(),
    }
}

fn open(file: &std::path::Path, json: bool) -> Result<DaemonConfig, ExitCode> {
    DaemonConfig::open(file).map_err(|faults| {
        if json {
            println!("{}", faults_json(&faults))
        } else {
            eprintln!("{faults}")
        }
        ExitCode::from(2)
    })
}

pub(crate) fn faults_json(faults: &ConfigErrors) -> serde_json::Value {
    let fault = |fault: &lockcroft_config::ConfigError| {
        json!({"file": fault.file, "line": fault.line, "element": fault.element, "wrong": fault.message,
            "allowed": fault.expected})
    };
    json!({"faults": faults.0.iter().map(fault).collect::<Vec<_>>()})
}

fn serve(file: &std::path::Path) -> ExitCode {
    let post = match open(file, false) {
        Ok(post) => post,
        Err(code) => return code,
    };
    match lockcroft_daemon::serve(&post) {
        Ok(()) => ExitCode::SUCCESS,
        Err(wrong) => {
            eprintln!("lockcroft: {wrong}");
            ExitCode::FAILURE
        }
    }
}

fn proxy(file: &std::path::Path) -> ExitCode {
    let post = match ProxyConfig::open(file) {
        Ok(post) => post,
        Err(faults) => {
            eprintln!("{faults}");
            return ExitCode::from(2);
        }
    };
    let run = || {
        let _logs = lockcroft_daemon::start_logs(&post.log).map_err(|e| e.to_string())?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|e| e.to_string())?;
        let serving = lockcroft_proxy::serve(post.clone());
        tokio::task::LocalSet::new().block_on(&runtime, serving).map_err(|e| e.to_string())
    };
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(wrong) => {
            eprintln!("lockcroft: {wrong}");
            ExitCode::FAILURE
        }
    }
}

fn check(file: &std::path::Path, json: bool) -> ExitCode {
    match open(file, json) {
        Ok(post) if json => println!("{}", json!({"faults": [], "proxies": post.proxies.len()})),
        Ok(post) => println!("{}: sound, {} proxies", file.display(), post.proxies.len()),
        Err(code) => return code,
    }
    ExitCode::SUCCESS
}

fn ask_one(address: &Address, command: &[String], within: f64, json: bool) -> ExitCode {
    let line = command.join(" ");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let asked = match (runtime, Duration::try_from_secs_f64(within)) {
        (Ok(runtime), Ok(within)) => {
            runtime.block_on(request(address, &line, within)).map_err(|e| e.to_string())
        }
        (Err(error), _) => Err(error.to_string()),
        (_, Err(error)) => Err(format!("--within: {error}")),
    };
    match asked {
        Ok(text) if json => {
            let lines: Vec<&str> = text.lines().filter(|line| !line.is_empty()).collect();
            println!("{}", json!({"address": address.to_string(), "command": line, "lines": lines}));
        }
        Ok(text) => print!("{}", text.strip_suffix('\n').unwrap_or(&text)),
        Err(wrong) => {
            eprintln!("lockcroft: {address} {wrong}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

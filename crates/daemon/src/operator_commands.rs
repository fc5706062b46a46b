//! The commands of the controller's runtime API.

use std::rc::Rc;

use lockcroft_fleet::{FleetController, OperatorError};
use lockcroft_runtime_api::{AccessLevel, Command, CommandHandler, CommandResult, CommandSpec};
use lockcroft_solver_format::NamedProblem;
use thiserror::Error;
use tokio::sync::Notify;

use crate::logging::{Logging, LoggingError};

/// The only command with output that can be followed.
const SHOW_EVENTS: &str = "show events [-w]";

/// The reason why a command is rejected. Its text is the response.
#[derive(Debug, Error)]
enum CommandError {
    #[error(transparent)]
    Operator(#[from] OperatorError),
    #[error(transparent)]
    Logging(#[from] LoggingError),
    #[error("'set server <srv> state' expects 'ready', 'drain' and 'maint'.")]
    UnknownState,
    #[error("usage: set server <backend>/<server> state|weight <value>")]
    SetServerUsage,
    #[error("usage: set log <levels>")]
    SetLogUsage,
    #[error("No plan yet.")]
    NoPlan,
}

/// The command handler of the runtime API: the fleet controller, the log levels and the reload of the endpoint list.
pub struct OperatorCommands {
    /// The fleet controller that the event loop runs.
    pub fleet: FleetController,
    logging: Logging,
    /// Notified to reload the endpoint list file.
    reload_requested: Rc<Notify>,
}

impl OperatorCommands {
    /// Returns the handler. `reload_requested` is notified by `reload roster`.
    pub fn new(fleet: FleetController, logging: Logging, reload_requested: Rc<Notify>) -> Self {
        OperatorCommands { fleet, logging, reload_requested }
    }

    /// Executes a command and returns its response. Commands that are not matched here change something.
    fn execute(&mut self, spec: &CommandSpec, command: &Command) -> Result<String, CommandError> {
        let fleet = &self.fleet;
        let text = match spec.words {
            "show info" => fleet.show_info(),
            "show version" => format!("lockcroft {}\n", env!("CARGO_PKG_VERSION")),
            "show stat" => fleet.show_stat(),
            "show servers state [<backend>]" => fleet.show_endpoints(command.word(3))?,
            "show backend" => fleet.show_tables(),
            "show proxies" => fleet.show_proxies(),
            "show levels" => fleet.show_admission(),
            "show plan" => fleet.show_plan(),
            "show plan problem" => write_problem(fleet)?,
            "show memory" => fleet.show_state_store(),
            "show log" => format!("{}\n", self.logging.levels),
            _ => return self.execute_change(spec, command),
        };
        Ok(text)
    }

    fn execute_change(&mut self, spec: &CommandSpec, command: &Command) -> Result<String, CommandError> {
        match spec.words {
            "set log <levels>" => {
                self.logging.set_levels(command.word(2).ok_or(CommandError::SetLogUsage)?)?;
            }
            "clear counters" => self.fleet.clear_counters(),
            "reload roster" => {
                self.reload_requested.notify_one();
                return Ok("The roster will be read again.\n".into());
            }
            "set weight <b>/<s> <value>" => {
                let endpoint = command.word(2).unwrap_or_default();
                self.override_endpoint(endpoint, Some("weight"), Some(command.word(3).unwrap_or_default()))?;
            }
            _ => {
                let endpoint = command.word(2).unwrap_or_default();
                self.override_endpoint(endpoint, command.word(3), command.word(4))?;
            }
        }
        Ok(String::new())
    }

    /// Executes `set server`: sets or removes the operator override of an endpoint's state or weight.
    fn override_endpoint(
        &mut self,
        endpoint: &str,
        property: Option<&str>,
        value: Option<&str>,
    ) -> Result<(), CommandError> {
        let endpoint = self.fleet.find_endpoint(endpoint)?;
        match (property, value) {
            (Some("state"), Some("drain" | "maint")) => {
                self.fleet.override_endpoint(endpoint, |current| current.draining = true);
            }
            (Some("state"), Some("ready")) => {
                self.fleet.override_endpoint(endpoint, |current| current.draining = false);
            }
            (Some("state"), _) => return Err(CommandError::UnknownState),
            (Some("weight"), Some(text)) => {
                let weight = self.fleet.parse_weight(endpoint, text)?;
                // 100% of the listed weight removes the override.
                let weight = (text != "100%").then_some(weight);
                self.fleet.override_endpoint(endpoint, |current| current.weight = weight);
            }
            _ => return Err(CommandError::SetServerUsage),
        }
        Ok(())
    }

    fn show_events(&self, command: &Command) -> CommandResult {
        let mut position = 0;
        let text = self.fleet.events_since(&mut position);
        match command.word(2) {
            Some("-w") => CommandResult::Follow(text, position),
            _ => CommandResult::Text(text),
        }
    }
}

/// The commands with their help texts.
const COMMANDS: [CommandSpec; 17] = [
    user("show info", "version, uptime and statistics of this controller"),
    user("show version", "the version of the program"),
    user("show stat", "counters by class, table and server, as CSV"),
    user("show servers state [<backend>]", "state and weight of each server"),
    user("show backend", "tables: proxies, entries, published and desired weight"),
    user("show proxies", "proxies: connection state, tables, waiting lines, last response"),
    user("show levels", "admission rates by class and table"),
    user("show plan", "the last plan: shed requests with the reason, load and capacity of servers"),
    user("show plan problem", "the problem of the last plan, as a file for lockcroft solve"),
    user("show memory", "the store of learned state: size, last flush, last error"),
    user(SHOW_EVENTS, "the last events and actions; -w follows"),
    user("show log", "the log levels"),
    admin(
        "set server <b>/<s> state|weight <value>",
        "override the state (drain, maint, ready) or the weight (N, N%) of a server",
    ),
    admin("set weight <b>/<s> <value>", "the same as set server <b>/<s> weight"),
    admin("set log <levels>", "set the log levels, such as info,lockcroft::update=debug"),
    admin("clear counters", "reset the latencies of updates and the maximum of waiting lines"),
    admin("reload roster", "reload the endpoint list file"),
];

const fn user(words: &'static str, help: &'static str) -> CommandSpec {
    CommandSpec { words, level: AccessLevel::User, help }
}

const fn admin(words: &'static str, help: &'static str) -> CommandSpec {
    CommandSpec { words, level: AccessLevel::Admin, help }
}

/// Returns the problem of the last plan in the file format of `lockcroft solve`.
fn write_problem(fleet: &FleetController) -> Result<String, CommandError> {
    let (problem, endpoints) = fleet.last_problem().ok_or(CommandError::NoPlan)?;
    let names = fleet.names();
    Ok(lockcroft_solver_format::problem_xml(&NamedProblem {
        problem: problem.clone(),
        zones: names.zones.clone(),
        endpoints,
        classes: names.classes.clone(),
    }))
}

impl CommandHandler for OperatorCommands {
    fn commands(&self) -> &'static [CommandSpec] {
        &COMMANDS
    }

    fn handle_command(&mut self, spec: &CommandSpec, command: &Command) -> CommandResult {
        if spec.words == SHOW_EVENTS {
            return self.show_events(command);
        }
        CommandResult::Text(self.execute(spec, command).unwrap_or_else(|error| format!("{error}\n")))
    }

    fn read_since(&mut self, position: &mut u64) -> String {
        self.fleet.events_since(position)
    }
}

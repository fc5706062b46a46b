//! The controller's own runtime API: what its commands show and change.

use std::rc::Rc;

use lockcroft_fleet::{FleetController, OperatorError};
use lockcroft_runtime_api::{AccessLevel, Command, CommandHandler, CommandResult, CommandSpec};
use lockcroft_solver_format::NamedProblem;
use thiserror::Error;
use tokio::sync::Notify;

use crate::logging::{Logging, LoggingError};

/// The one command that can be followed.
const SHOW_EVENTS: &str = "show events [-w]";

/// Why a command is refused, as operators read it.
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

/// The fleet controller, and what operators may change beside it.
pub struct OperatorCommands {
    pub fleet: FleetController,
    logging: Logging,
    /// Notified when the file of the endpoint list is to be read again.
    reread: Rc<Notify>,
}

impl OperatorCommands {
    pub fn new(fleet: FleetController, logging: Logging, reread: Rc<Notify>) -> Self {
        OperatorCommands { fleet, logging, reread }
    }

    /// The answer to a command that shows something; any other is one that changes something.
    fn execute(&mut self, entry: &CommandSpec, command: &Command) -> Result<String, CommandError> {
        let fleet = &self.fleet;
        let text = match entry.words {
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
            _ => return self.change(entry, command),
        };
        Ok(text)
    }

    fn change(&mut self, entry: &CommandSpec, command: &Command) -> Result<String, CommandError> {
        match entry.words {
            "set log <levels>" => {
                self.logging.set_levels(command.word(2).ok_or(CommandError::SetLogUsage)?)?;
            }
            "clear counters" => self.fleet.clear_counters(),
            "reload roster" => {
                self.reread.notify_one();
                return Ok("The roster will be read again.\n".into());
            }
            "set weight <b>/<s> <value>" => {
                let endpoint = command.word(2).unwrap_or_default();
                self.set_server(endpoint, Some("weight"), Some(command.word(3).unwrap_or_default()))?;
            }
            _ => {
                let endpoint = command.word(2).unwrap_or_default();
                self.set_server(endpoint, command.word(3), command.word(4))?;
            }
        }
        Ok(String::new())
    }

    fn set_server(
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
                // All of the listed weight is no override.
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

/// The commands, with the words and the help that operators see.
const ENTRIES: [CommandSpec; 17] = [
    user("show info", "what this pilot is and how it fares"),
    user("show version", "the version of the program"),
    user("show stat", "counters by class, table and server, as CSV"),
    user("show servers state [<backend>]", "what is believed of servers"),
    user("show backend", "tables: members, published, wanted"),
    user("show proxies", "proxies: stream, tables, waiting lines, last answer"),
    user("show levels", "what is let in, by class and table"),
    user("show plan", "the last plan: what is dropped and why, load against capacity"),
    user("show plan problem", "the problem that was solved last, as a file for lockcroft solve"),
    user("show memory", "what is kept across restarts: size, last flush, trouble"),
    user(SHOW_EVENTS, "the last notes and decisions; -w follows"),
    user("show log", "the levels of the logs"),
    admin(
        "set server <b>/<s> state|weight <value>",
        "an operator's word on a server: drain, maint, ready, N, N%",
    ),
    admin("set weight <b>/<s> <value>", "the same as set server <b>/<s> weight"),
    admin("set log <levels>", "levels of the logs, as info,lockcroft::update=debug"),
    admin("clear counters", "forget the times of orders and the most lines that waited"),
    admin("reload roster", "read the roster file again now"),
];

const fn user(words: &'static str, help: &'static str) -> CommandSpec {
    CommandSpec { words, level: AccessLevel::User, help }
}

const fn admin(words: &'static str, help: &'static str) -> CommandSpec {
    CommandSpec { words, level: AccessLevel::Admin, help }
}

/// The problem that was solved last, as a file for `lockcroft solve`.
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
        &ENTRIES
    }

    fn handle_command(&mut self, entry: &CommandSpec, command: &Command) -> CommandResult {
        if entry.words == SHOW_EVENTS {
            return self.show_events(command);
        }
        CommandResult::Text(self.execute(entry, command).unwrap_or_else(|error| format!("{error}\n")))
    }

    fn read_since(&mut self, position: &mut u64) -> String {
        self.fleet.events_since(position)
    }
}

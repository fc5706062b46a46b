//! The pilot's own runtime API: what its commands show and change.

use std::rc::Rc;

use lockcroft_fleet::FleetController;
use lockcroft_runtime_api::{Command, CommandEntry, CommandHandler, CommandResult, Level};
use lockcroft_solver_format::NamedProblem;
use tokio::sync::Notify;

use crate::logs::Logging;

/// The helm, and what operators may turn beside it.
pub struct OperatorCommands {
    pub helm: FleetController,
    logs: Logging,
    reread: Rc<Notify>,
}

impl OperatorCommands {
    pub fn new(helm: FleetController, logs: Logging, reread: Rc<Notify>) -> Self {
        OperatorCommands { helm, logs, reread }
    }

    fn set_server(&mut self, command: &Command) -> Result<String, String> {
        let server =
            self.helm.find_endpoint(command.word(2).unwrap_or_default()).map_err(|e| e.to_string())?;
        match (command.word(3), command.word(4)) {
            (Some("state"), Some("drain" | "maint")) => {
                self.helm.override_endpoint(server, |word| word.draining = true)
            }
            (Some("state"), Some("ready")) => {
                self.helm.override_endpoint(server, |word| word.draining = false)
            }
            (Some("state"), _) => {
                return Err("'set server <srv> state' expects 'ready', 'drain' and 'maint'.".into());
            }
            (Some("weight"), Some(text)) => {
                let weight = self.helm.parse_weight(server, text).map_err(|e| e.to_string())?;
                self.helm.override_endpoint(server, |word| word.weight = (text != "100%").then_some(weight));
            }
            _ => return Err("usage: set server <backend>/<server> state|weight <value>".into()),
        }
        Ok(String::new())
    }
}

const ENTRIES: [CommandEntry; 17] = [
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
    user("show events [-w]", "the last notes and decisions; -w follows"),
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

const fn user(words: &'static str, help: &'static str) -> CommandEntry {
    CommandEntry { words, level: Level::User, help }
}

const fn admin(words: &'static str, help: &'static str) -> CommandEntry {
    CommandEntry { words, level: Level::Admin, help }
}

fn problem(helm: &FleetController) -> Result<String, String> {
    let (problem, servers) = helm.last_problem().ok_or("No plan yet.")?;
    let places = helm.names();
    let (zones, classes) = (places.zones.clone(), places.classes.clone());
    Ok(lockcroft_solver_format::write(&NamedProblem { problem: problem.clone(), zones, servers, classes }))
}

impl CommandHandler for OperatorCommands {
    fn entries(&self) -> &'static [CommandEntry] {
        &ENTRIES
    }

    fn answer(&mut self, entry: &CommandEntry, command: &Command) -> CommandResult {
        let helm = &self.helm;
        let said = match entry.words {
            "show info" => Ok(helm.show_info()),
            "show version" => Ok(format!("lockcroft {}\n", env!("CARGO_PKG_VERSION"))),
            "show stat" => Ok(helm.show_stat()),
            "show servers state [<backend>]" => {
                helm.show_endpoints(command.word(3)).map_err(|e| e.to_string())
            }
            "show backend" => Ok(helm.show_tables()),
            "show proxies" => Ok(helm.show_proxies()),
            "show levels" => Ok(helm.show_admission()),
            "show plan" => Ok(helm.show_plan()),
            "show plan problem" => problem(helm),
            "show memory" => Ok(helm.show_state_store()),
            "show events [-w]" => {
                let mut mark = 0;
                let text = helm.events_since(&mut mark);
                if command.word(2) == Some("-w") {
                    return CommandResult::Follow(text, mark);
                }
                Ok(text)
            }
            "show log" => Ok(format!("{}\n", self.logs.levels)),
            "set log <levels>" => match command.word(2) {
                Some(levels) => self.logs.set(levels).map(|()| String::new()),
                None => Err("usage: set log <levels>".into()),
            },
            "clear counters" => {
                self.helm.clear_counters();
                Ok(String::new())
            }
            "reload roster" => {
                self.reread.notify_one();
                Ok("The roster will be read again.\n".into())
            }
            "set weight <b>/<s> <value>" => {
                let words =
                    ["set", "server", command.word(2).unwrap_or(""), "weight", command.word(3).unwrap_or("")];
                let words = words.into_iter().map(String::from).collect();
                self.set_server(&Command { words, payload: None })
            }
            _ => self.set_server(command),
        };
        CommandResult::Text(said.unwrap_or_else(|wrong| wrong + "\n"))
    }

    fn more(&mut self, mark: &mut u64) -> String {
        self.helm.events_since(mark)
    }
}

//! The proxy's side of the runtime API: commands and answers as in HAProxy's Management Guide, executed on the
//! routing state. Only this module maps the names of the runtime API to the routing state.

mod error;
mod maps;
mod servers;
mod show;
mod variables;

use lockcroft_runtime_api::{AccessLevel, Command, CommandHandler, CommandResult, CommandSpec};

pub use error::CommandError;
pub use maps::{MAX_MAP_ENTRIES, MAX_PREPARED_MAPS};
pub use servers::{MAX_BACKENDS, MAX_SERVERS};
pub use variables::MAX_VARIABLES;
pub(crate) use variables::parse_int_expression;

use crate::routing::RoutingState;

const COMMANDS: [CommandSpec; 21] = [
    command(AccessLevel::Admin, "add server <b>/<s> <addr> [weight <n>]", "add a server, in maintenance"),
    command(AccessLevel::Admin, "del server <b>/<s>", "delete a server that is in maintenance"),
    command(AccessLevel::Admin, "set server <b>/<s> weight|state|addr <v>", "change a server"),
    command(AccessLevel::Admin, "enable server <b>/<s>", "end maintenance"),
    command(AccessLevel::Admin, "disable server <b>/<s>", "begin maintenance"),
    command(AccessLevel::Admin, "set weight <b>/<s> <n>", "change a server's weight"),
    command(AccessLevel::User, "get weight <b>/<s>", "a server's weight, now and at first"),
    command(AccessLevel::User, "show servers state [<backend>]", "all servers with state and weight"),
    command(AccessLevel::User, "show stat", "counters as CSV"),
    command(AccessLevel::User, "show info", "what this proxy is"),
    command(AccessLevel::User, "show backend", "the backends in use"),
    command(AccessLevel::User, "show version", "the version of the program"),
    command(AccessLevel::Operator, "show map [<map>]", "the entries of a map"),
    command(AccessLevel::Admin, "set map <map> <key> <value>", "change an entry that is there"),
    command(
        AccessLevel::Admin,
        "add map [@<ver>] <map> [<key> <value>]",
        "add an entry, or those of a payload",
    ),
    command(AccessLevel::Admin, "del map <map> <key>", "delete an entry"),
    command(AccessLevel::Admin, "clear map <map>", "delete all entries"),
    command(AccessLevel::Admin, "prepare map <map>", "begin a new version of a map"),
    command(AccessLevel::Admin, "commit map @<ver> <map>", "put a prepared version in force"),
    command(AccessLevel::Admin, "set var <name> int(<n>)", "set a variable of the process"),
    command(AccessLevel::Operator, "get var <name>", "a variable of the process"),
];

const fn command(level: AccessLevel, words: &'static str, help: &'static str) -> CommandSpec {
    CommandSpec { words, level, help }
}

/// Returns true if a command may change the routing state.
#[must_use]
pub fn changes_state(command: &Command) -> bool {
    let first = command.word(0);
    matches!(first, Some("add" | "del" | "set" | "prepare" | "commit" | "clear" | "enable" | "disable"))
}

impl CommandHandler for RoutingState {
    fn commands(&self) -> &'static [CommandSpec] {
        &COMMANDS
    }

    fn handle_command(&mut self, _: &CommandSpec, command: &Command) -> CommandResult {
        CommandResult::Text(self.execute(command).unwrap_or_else(|error| format!("{error}\n")))
    }
}

impl RoutingState {
    /// Executes one command and returns the text of its answer.
    ///
    /// # Errors
    /// The command was refused and changed nothing, except that the payload lines before a malformed one were added.
    pub fn execute(&mut self, command: &Command) -> Result<String, CommandError> {
        let words: Vec<&str> = command.words.iter().map(String::as_str).collect();
        match words[..] {
            ["add", "server", path, address, ref options @ ..] => self.add_server(path, address, options),
            ["del", "server", path] => self.delete_server(path),
            ["set", "server", path, "weight", value] => self.set_weight(path, value),
            ["set", "weight", path, value] => self.set_weight(path, value),
            ["set", "server", path, "state", state] => self.set_state(path, state),
            ["set", "server", path, "addr", ip, ref options @ ..] => self.set_address(path, ip, options),
            ["enable", "server", path] => self.set_state(path, "ready"),
            ["disable", "server", path] => self.set_state(path, "maint"),
            ["get", "weight", path] => self.get_weight(path),
            ["show", "servers", "state", ref rest @ ..] => self.show_servers_state(rest.first().copied()),
            ["show", "stat", ..] => Ok(self.show_stat()),
            ["show", "info", ..] => Ok(self.show_info()),
            ["show", "backend"] => Ok(self.show_backends()),
            ["show", "version"] => Ok(format!("lockcroft {}\n", env!("CARGO_PKG_VERSION"))),
            ["show", "map"] => Ok("# id (file) description\n0 (classes) class to backend\n".into()),
            ["show" | "set" | "add" | "del" | "clear" | "prepare" | "commit", "map", ..] => {
                self.map_command(&words, command.payload.as_deref())
            }
            ["set", "var", name, expression] => self.set_variable(name, expression),
            ["get", "var", name] => Ok(self.get_variable(name)),
            _ => Err(CommandError::Arguments),
        }
    }
}

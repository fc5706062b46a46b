//! The session of one connection: its mode, its access level and the built-in commands. A [`CommandHandler`] executes
//! all other commands.

use crate::command_handler::{CommandHandler, CommandResult, CommandSpec};
use crate::level::AccessLevel;
use crate::server::MAX_RESPONSE_BYTES;
use crate::tokenizer::Command;

/// The state of the connection after a command or a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionState {
    /// The connection stays open for more commands.
    Stay,
    /// The connection is to be closed.
    Close,
    /// The connection is to be sent the output of [`CommandHandler::read_since`] from this position on.
    Follow(u64),
}

/// A command that every session executes without the handler.
struct BuiltInCommand {
    words: &'static str,
    help: &'static str,
}

const BUILT_IN_COMMANDS: [BuiltInCommand; 6] = [
    BuiltInCommand { words: "help", help: "list the commands" },
    BuiltInCommand {
        words: "prompt [i|n|p]",
        help: "stay connected, with a prompt (i: without one; n: close after a line)",
    },
    BuiltInCommand { words: "quit", help: "end the connection" },
    BuiltInCommand { words: "show cli level", help: "the level of this connection" },
    BuiltInCommand { words: "operator", help: "lower the level to operator" },
    BuiltInCommand { words: "user", help: "lower the level to user" },
];

/// The state of one connection.
#[derive(Clone, Copy, Debug)]
pub struct Session {
    level: AccessLevel,
    /// True if the connection stays open after a line.
    is_interactive: bool,
    /// True if a prompt follows each response.
    has_prompt: bool,
}

impl Session {
    /// Returns the session of a new connection with the given access level. It closes after one line.
    #[must_use]
    pub fn new(level: AccessLevel) -> Self {
        Session { level, is_interactive: false, has_prompt: false }
    }

    /// Executes the commands of a line, and appends their responses, each with its empty line, to `out`. Commands after
    /// one that closes or follows are skipped, and those after [`MAX_RESPONSE_BYTES`] of responses.
    pub fn execute_line(
        &mut self,
        commands: &[Command],
        handler: &mut dyn CommandHandler,
        out: &mut String,
    ) -> SessionState {
        if commands.is_empty() {
            // An empty line gets an empty response.
            self.end_response(out);
        }
        for command in commands {
            let state = self.execute(command, handler, out);
            self.end_response(out);
            if state != SessionState::Stay {
                return state;
            }
            if out.len() > MAX_RESPONSE_BYTES {
                return SessionState::Close;
            }
        }
        if self.is_interactive { SessionState::Stay } else { SessionState::Close }
    }

    /// Executes a command and appends its response to `out`, which [`Session::end_response`] has to end.
    pub fn execute(
        &mut self,
        command: &Command,
        handler: &mut dyn CommandHandler,
        out: &mut String,
    ) -> SessionState {
        let words: Vec<&str> = command.words.iter().map(String::as_str).collect();
        match words[..] {
            ["quit"] => return SessionState::Close,
            ["prompt", ref mode @ ..] => self.set_mode(mode, out),
            ["operator"] => self.level = self.level.min(AccessLevel::Operator),
            ["user"] => self.level = AccessLevel::User,
            ["show", "cli", "level"] => append_lines(out, &self.level.to_string()),
            ["help", ..] => self.write_help(handler, out),
            _ => return self.delegate(command, &words, handler, out),
        }
        SessionState::Stay
    }

    /// Returns true if the connection stays open after a line.
    #[must_use]
    pub fn is_interactive(&self) -> bool {
        self.is_interactive
    }

    /// Returns true if the session may execute commands that need this access level.
    #[must_use]
    pub fn allows(&self, level: AccessLevel) -> bool {
        self.level >= level
    }

    /// Appends the empty line that ends a response, and the prompt if the session has one.
    pub fn end_response(&self, out: &mut String) {
        out.push('\n');
        if self.has_prompt {
            out.push_str("> ");
        }
    }

    /// Passes a command to the handler, if the handler knows it and the access level allows it.
    fn delegate(
        &self,
        command: &Command,
        words: &[&str],
        handler: &mut dyn CommandHandler,
        out: &mut String,
    ) -> SessionState {
        let Some(spec) = CommandSpec::find(handler.commands(), words) else {
            append_lines(out, "Unknown command, but maybe one of the following ones is a better match:");
            self.write_help(handler, out);
            return SessionState::Stay;
        };
        if !self.allows(spec.level) {
            append_lines(out, "Permission denied");
            return SessionState::Stay;
        }
        match handler.handle_command(spec, command) {
            CommandResult::Text(text) => {
                append_lines(out, &text);
                SessionState::Stay
            }
            CommandResult::Follow(text, position) => {
                append_lines(out, &text);
                SessionState::Follow(position)
            }
        }
    }

    fn set_mode(&mut self, mode: &[&str], out: &mut String) {
        let (is_interactive, has_prompt) = match mode {
            [] => (true, !self.has_prompt),
            ["i"] => (true, false),
            ["p"] => (true, true),
            ["n"] => (false, false),
            _ => return append_lines(out, "prompt [i|n|p]"),
        };
        self.is_interactive = is_interactive;
        self.has_prompt = has_prompt;
    }

    fn write_help(&self, handler: &dyn CommandHandler, out: &mut String) {
        for BuiltInCommand { words, help } in BUILT_IN_COMMANDS {
            append_lines(out, &format!("  {words:<40} : {help}"));
        }
        for CommandSpec { words, help, .. } in
            handler.commands().iter().filter(|spec| self.allows(spec.level))
        {
            append_lines(out, &format!("  {words:<40} : {help}"));
        }
    }
}

/// Appends text, and a line feed if its last line has none.
fn append_lines(out: &mut String, text: &str) {
    out.push_str(text);
    if !text.is_empty() && !text.ends_with('\n') {
        out.push('\n');
    }
}

//! One connection's conversation: its mode, its level, and help. What other commands do is the matter of a
//! [`CommandHandler`].

use crate::command_handler::{CommandHandler, CommandResult, CommandSpec};
use crate::level::AccessLevel;
use crate::tokenizer::Command;

/// What becomes of the connection after a command or line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionState {
    /// It takes more commands.
    Stay,
    /// It is closed.
    Close,
    /// It is sent what [`CommandHandler::read_since`] gives from this position on.
    Follow(u64),
}

/// A command that every session knows itself.
struct BuiltIn {
    words: &'static str,
    help: &'static str,
}

const BUILT_IN: [BuiltIn; 6] = [
    BuiltIn { words: "help", help: "list the commands" },
    BuiltIn {
        words: "prompt [i|n|p]",
        help: "stay connected, with a prompt (i: without one; n: close after a line)",
    },
    BuiltIn { words: "quit", help: "end the connection" },
    BuiltIn { words: "show cli level", help: "the level of this connection" },
    BuiltIn { words: "operator", help: "lower the level to operator" },
    BuiltIn { words: "user", help: "lower the level to user" },
];

/// The state of one connection.
#[derive(Clone, Copy, Debug)]
pub struct Session {
    level: AccessLevel,
    /// Whether the connection stays open after a line.
    interactive: bool,
    /// Whether a prompt is written after each answer.
    prompt: bool,
}

impl Session {
    /// A connection of this level, which closes after one line.
    #[must_use]
    pub fn new(level: AccessLevel) -> Self {
        Session { level, interactive: false, prompt: false }
    }

    /// Carries out the commands of one line and writes their answers, each with the empty line that ends it.
    pub fn execute_line(
        &mut self,
        commands: &[Command],
        handler: &mut dyn CommandHandler,
        out: &mut String,
    ) -> SessionState {
        if commands.is_empty() {
            // An empty line: just the prompt, or the end of a connection that is for one line.
            self.end_response(out);
        }
        for command in commands {
            let state = self.execute(command, handler, out);
            self.end_response(out);
            if state != SessionState::Stay {
                return state;
            }
        }
        if self.interactive { SessionState::Stay } else { SessionState::Close }
    }

    /// Carries out one command; [`Session::end_response`] ends its answer.
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

    /// Whether the connection stays open after a line.
    #[must_use]
    pub fn is_interactive(&self) -> bool {
        self.interactive
    }

    /// Whether commands of a level are allowed.
    #[must_use]
    pub fn allows(&self, level: AccessLevel) -> bool {
        self.level >= level
    }

    /// Writes the empty line behind an answer, and the prompt if there is one.
    pub fn end_response(&self, out: &mut String) {
        out.push('\n');
        if self.prompt {
            out.push_str("> ");
        }
    }

    /// Leaves a command to the handler, if it knows it and the level allows it.
    fn delegate(
        &self,
        command: &Command,
        words: &[&str],
        handler: &mut dyn CommandHandler,
        out: &mut String,
    ) -> SessionState {
        let Some(entry) = CommandSpec::find(handler.commands(), words) else {
            append_lines(out, "Unknown command, but maybe one of the following ones is a better match:");
            self.write_help(handler, out);
            return SessionState::Stay;
        };
        if !self.allows(entry.level) {
            append_lines(out, "Permission denied");
            return SessionState::Stay;
        }
        match handler.handle_command(entry, command) {
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
        let (interactive, prompt) = match mode {
            [] => (true, !self.prompt),
            ["i"] => (true, false),
            ["p"] => (true, true),
            ["n"] => (false, false),
            _ => return append_lines(out, "prompt [i|n|p]"),
        };
        self.interactive = interactive;
        self.prompt = prompt;
    }

    fn write_help(&self, handler: &dyn CommandHandler, out: &mut String) {
        for BuiltIn { words, help } in BUILT_IN {
            append_lines(out, &format!("  {words:<40} : {help}"));
        }
        for CommandSpec { words, help, .. } in
            handler.commands().iter().filter(|entry| self.allows(entry.level))
        {
            append_lines(out, &format!("  {words:<40} : {help}"));
        }
    }
}

/// Appends text, and the end of its last line if that is missing.
fn append_lines(out: &mut String, text: &str) {
    out.push_str(text);
    if !text.is_empty() && !text.ends_with('\n') {
        out.push('\n');
    }
}

//! One connection's conversation: modes, levels, help. What commands do is the desk's matter.

use std::fmt;
use std::str::FromStr;

use crate::tokenizer::Command;

/// What a connection may do, by the guide's levels.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    User,
    Operator,
    Admin,
}

impl FromStr for Level {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "user" => Ok(Level::User),
            "operator" => Ok(Level::Operator),
            "admin" => Ok(Level::Admin),
            _ => Err(format!("{text:?} is none of user, operator, admin")),
        }
    }
}

impl fmt::Display for Level {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(match self {
            Level::User => "user",
            Level::Operator => "operator",
            Level::Admin => "admin",
        })
    }
}

/// A command that a desk knows: its first words, the level that it needs, a line of help.
#[derive(Clone, Copy, Debug)]
pub struct CommandEntry {
    pub words: &'static str,
    pub level: Level,
    pub help: &'static str,
}

/// What a desk says to a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandResult {
    Text(String),
    /// The text, and then whatever [`CommandHandler::more`] has, until the connection ends.
    Follow(String, u64),
}

/// Whoever carries commands out.
pub trait CommandHandler {
    /// The commands it knows.
    fn entries(&self) -> &'static [CommandEntry];

    fn answer(&mut self, entry: &CommandEntry, command: &Command) -> CommandResult;

    /// What there is to follow from this mark on; the mark moves with it.
    fn more(&mut self, mark: &mut u64) -> String {
        let _ = mark;
        String::new()
    }
}

/// What becomes of the connection after a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionState {
    Stay,
    Close,
    Follow(u64),
}

/// Built into every session.
const OWN: [(&str, &str); 6] = [
    ("help", "list the commands"),
    ("prompt [i|n|p]", "stay connected, with a prompt (i: without one; n: close after a line)"),
    ("quit", "end the connection"),
    ("show cli level", "the level of this connection"),
    ("operator", "lower the level to operator"),
    ("user", "lower the level to user"),
];

/// The state of one connection.
#[derive(Clone, Copy, Debug)]
pub struct Session {
    level: Level,
    lasting: bool,
    prompt: bool,
}

impl Session {
    pub fn new(level: Level) -> Self {
        Session { level, lasting: false, prompt: false }
    }

    /// Carries out the commands of one line; each answer ends with an empty line.
    pub fn line(
        &mut self,
        commands: &[Command],
        desk: &mut dyn CommandHandler,
        out: &mut String,
    ) -> SessionState {
        if commands.is_empty() {
            // An empty line: just the prompt, or the end of a connection that is for one line.
            self.end(out);
        }
        for command in commands {
            let after = self.command(command, desk, out);
            self.end(out);
            if after != SessionState::Stay {
                return after;
            }
        }
        if self.lasting { SessionState::Stay } else { SessionState::Close }
    }

    /// Carries out one command; [`Session::end`] ends its answer.
    pub fn command(
        &mut self,
        command: &Command,
        desk: &mut dyn CommandHandler,
        out: &mut String,
    ) -> SessionState {
        let words: Vec<&str> = command.words.iter().map(String::as_str).collect();
        match words[..] {
            ["quit"] => return SessionState::Close,
            ["prompt", ref rest @ ..] => self.set_mode(rest, out),
            ["operator"] => self.level = self.level.min(Level::Operator),
            ["user"] => self.level = Level::User,
            ["show", "cli", "level"] => say(out, &self.level.to_string()),
            ["help", ..] => self.help(desk, out),
            _ => {
                let Some(entry) = find(desk.entries(), &words) else {
                    say(out, "Unknown command, but maybe one of the following ones is a better match:");
                    self.help(desk, out);
                    return SessionState::Stay;
                };
                if entry.level > self.level {
                    say(out, "Permission denied");
                    return SessionState::Stay;
                }
                match desk.answer(entry, command) {
                    CommandResult::Text(text) => say(out, &text),
                    CommandResult::Follow(text, mark) => {
                        say(out, &text);
                        return SessionState::Follow(mark);
                    }
                }
            }
        }
        SessionState::Stay
    }

    /// Whether the connection stays after a line.
    pub fn lasting(&self) -> bool {
        self.lasting
    }

    pub fn may(&self, level: Level) -> bool {
        self.level >= level
    }

    /// The empty line behind an answer, and the prompt if there is one.
    pub fn end(&self, out: &mut String) {
        out.push('\n');
        if self.prompt {
            out.push_str("> ");
        }
    }

    fn set_mode(&mut self, rest: &[&str], out: &mut String) {
        (self.lasting, self.prompt) = match rest {
            [] => (true, !self.prompt),
            ["i"] => (true, false),
            ["p"] => (true, true),
            ["n"] => (false, false),
            _ => return say(out, "prompt [i|n|p]"),
        };
    }

    fn help(&self, desk: &dyn CommandHandler, out: &mut String) {
        for (words, text) in OWN {
            say(out, &format!("  {words:<40} : {text}"));
        }
        for entry in desk.entries().iter().filter(|entry| entry.level <= self.level) {
            say(out, &format!("  {:<40} : {}", entry.words, entry.help));
        }
    }
}

fn say(out: &mut String, text: &str) {
    out.push_str(text);
    if !text.is_empty() && !text.ends_with('\n') {
        out.push('\n');
    }
}

/// The entry whose plain words all stand at the start; of several the longest.
fn find<'a>(entries: &'a [CommandEntry], words: &[&str]) -> Option<&'a CommandEntry> {
    let met = |entry: &CommandEntry| {
        let mut count = 0;
        for wanted in entry.words.split(' ').take_while(|word| !word.starts_with(['<', '[', '@'])) {
            if words.get(count) != Some(&wanted) {
                return 0;
            }
            count += 1;
        }
        count
    };
    entries
        .iter()
        .map(|entry| (met(entry), entry))
        .filter(|(met, _)| *met > 0)
        .max_by_key(|(met, _)| *met)
        .map(|(_, entry)| entry)
}

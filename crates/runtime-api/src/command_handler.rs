//! The interface between a session and the program that executes its commands.

use crate::level::AccessLevel;
use crate::tokenizer::Command;

/// The specification of a command that a handler supports.
#[derive(Clone, Copy, Debug)]
pub struct CommandSpec {
    /// The syntax as `help` shows it: literal words, followed by arguments that begin with `<`, `[` or `@`.
    pub words: &'static str,
    /// The access level that the command needs.
    pub level: AccessLevel,
    /// The help text, a single line.
    pub help: &'static str,
}

impl CommandSpec {
    /// Returns the number of literal words if the given words begin with all of them, otherwise 0.
    fn matching_words(&self, words: &[&str]) -> usize {
        let literals = self.words.split(' ').take_while(|word| !word.starts_with(['<', '[', '@']));
        let mut count = 0;
        for expected in literals {
            if words.get(count) != Some(&expected) {
                return 0;
            }
            count += 1;
        }
        count
    }

    /// Returns the specification that matches the words of a command. If several match, returns the one with the most
    /// literal words.
    pub(crate) fn find<'a>(specs: &'a [CommandSpec], words: &[&str]) -> Option<&'a CommandSpec> {
        let (_, spec) = specs
            .iter()
            .map(|spec| (spec.matching_words(words), spec))
            .filter(|(count, _)| *count > 0)
            .max_by_key(|(count, _)| *count)?;
        Some(spec)
    }
}

/// The response of a handler to a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandResult {
    /// A complete response.
    Text(String),
    /// The beginning of a response. The output of [`CommandHandler::read_since`] from this position on follows until the
    /// connection ends.
    Follow(String, u64),
}

/// Executes the commands of a session that are not built in.
pub trait CommandHandler {
    /// Returns the supported commands.
    fn commands(&self) -> &'static [CommandSpec];

    /// Executes a command that matches `spec`, one of [`CommandHandler::commands`], and returns its response.
    fn handle_command(&mut self, spec: &CommandSpec, command: &Command) -> CommandResult;

    /// Returns the output that was added since `position`, and advances the position past it. Only called for commands
    /// that returned [`CommandResult::Follow`].
    fn read_since(&mut self, position: &mut u64) -> String {
        let _ = position;
        String::new()
    }
}

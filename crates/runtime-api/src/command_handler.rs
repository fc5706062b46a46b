//! What carries commands out behind a session.

use crate::level::AccessLevel;
use crate::tokenizer::Command;

/// A command that a handler knows.
#[derive(Clone, Copy, Debug)]
pub struct CommandSpec {
    /// The command as `help` shows it: plain words first, then arguments that begin with `<`, `[` or `@`.
    pub words: &'static str,
    /// The level that the command needs.
    pub level: AccessLevel,
    /// One line of help.
    pub help: &'static str,
}

impl CommandSpec {
    /// How many plain words the command begins with, if these words begin with all of them; else 0.
    fn matching_words(&self, words: &[&str]) -> usize {
        let plain = self.words.split(' ').take_while(|word| !word.starts_with(['<', '[', '@']));
        let mut count = 0;
        for expected in plain {
            if words.get(count) != Some(&expected) {
                return 0;
            }
            count += 1;
        }
        count
    }

    /// The entry that a command's words begin with; of several the longest.
    pub(crate) fn find<'a>(entries: &'a [CommandSpec], words: &[&str]) -> Option<&'a CommandSpec> {
        let (_, entry) = entries
            .iter()
            .map(|entry| (entry.matching_words(words), entry))
            .filter(|(count, _)| *count > 0)
            .max_by_key(|(count, _)| *count)?;
        Some(entry)
    }
}

/// What a handler answers to a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandResult {
    /// This text.
    Text(String),
    /// This text, and then whatever [`CommandHandler::read_since`] gives from this position on, until the connection
    /// ends.
    Follow(String, u64),
}

/// Carries commands out.
pub trait CommandHandler {
    /// The commands that it knows.
    fn commands(&self) -> &'static [CommandSpec];

    /// Carries out a command, of which the entry was found among [`CommandHandler::commands`].
    fn handle_command(&mut self, entry: &CommandSpec, command: &Command) -> CommandResult;

    /// What there is to follow from a position on; the position moves with it.
    fn read_since(&mut self, position: &mut u64) -> String {
        let _ = position;
        String::new()
    }
}

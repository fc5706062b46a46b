//! The tokenizer for a line of commands: `;` separates commands, spaces and tabs separate words, and `\` escapes the
//! character after it.

/// A command, split into words.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Command {
    /// The words, unescaped.
    pub words: Vec<String>,
    /// The lines of the payload that the command announced with `<<`, each with its line feed.
    pub payload: Option<String>,
}

impl Command {
    fn new(words: Vec<String>) -> Self {
        Command { words, payload: None }
    }

    /// Returns the word at a position, counted from 0.
    #[must_use]
    pub fn word(&self, position: usize) -> Option<&str> {
        self.words.get(position).map(String::as_str)
    }

    /// Returns the words separated by spaces, unescaped, for messages and logs.
    #[must_use]
    pub fn joined_words(&self) -> String {
        self.words.join(" ")
    }
}

/// Returns the commands of a line. Empty commands are omitted.
#[must_use]
pub fn parse_line(line: &str) -> Vec<Command> {
    if line.contains('\\') {
        return parse_escaped_line(line);
    }
    let words = |command: &str| -> Vec<String> {
        command.split([' ', '\t']).filter(|word| !word.is_empty()).map(str::to_string).collect()
    };
    line.split(';').map(words).filter(|words| !words.is_empty()).map(Command::new).collect()
}

fn parse_escaped_line(line: &str) -> Vec<Command> {
    let mut commands = Vec::new();
    let mut words = Vec::new();
    let mut word: Option<String> = None;
    let mut characters = line.chars();
    while let Some(character) = characters.next() {
        match character {
            '\\' => word.get_or_insert_default().extend(characters.next()),
            ';' => {
                words.extend(word.take());
                commands.push(Command::new(std::mem::take(&mut words)));
            }
            ' ' | '\t' => words.extend(word.take()),
            _ => word.get_or_insert_default().push(character),
        }
    }
    words.extend(word);
    commands.push(Command::new(words));
    commands.retain(|command| !command.words.is_empty());
    commands
}

/// Escapes a word, so that [`parse_line`] returns it unchanged as a single word if it is not empty.
#[must_use]
pub fn escape_word(word: &str) -> String {
    let mut text = String::with_capacity(word.len());
    for character in word.chars() {
        if matches!(character, '\\' | ';' | ' ' | '\t') {
            text.push('\\');
        }
        text.push(character);
    }
    text
}

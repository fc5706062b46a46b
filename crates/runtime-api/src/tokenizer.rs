//! One line of commands, taken apart: `;` separates commands, blanks separate words, and `\` takes the meaning
//! off the character behind it.

/// One command as words.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Command {
    /// The words, without escapes.
    pub words: Vec<String>,
    /// The lines that came behind `<<`, if the command asked for them.
    pub payload: Option<String>,
}

impl Command {
    fn new(words: Vec<String>) -> Self {
        Command { words, payload: None }
    }

    /// The word at a position, from 0.
    #[must_use]
    pub fn word(&self, position: usize) -> Option<&str> {
        self.words.get(position).map(String::as_str)
    }

    /// The words in one line, for messages and logs.
    #[must_use]
    pub fn joined_words(&self) -> String {
        self.words.join(" ")
    }
}

/// The commands of a line; empty ones are left out.
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

/// A word with escapes, so that it is read as it is.
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

//! One line of commands, taken apart: `;` sets commands apart, blanks set words apart, and `\` takes
//! the meaning off the character behind it.

/// One command, as words; with the lines that came behind `<<`, if it asked for them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Command {
    pub words: Vec<String>,
    pub payload: Option<String>,
}

impl Command {
    pub fn word(&self, place: usize) -> Option<&str> {
        self.words.get(place).map(String::as_str)
    }

    /// The words in one line, for messages and logs.
    pub fn text(&self) -> String {
        self.words.join(" ")
    }
}

/// The commands of a line; empty ones are left out.
pub fn split(line: &str) -> Vec<Command> {
    if !line.contains('\\') {
        let words = |command: &str| -> Vec<String> {
            command.split([' ', '\t']).filter(|word| !word.is_empty()).map(str::to_string).collect()
        };
        let commands = line.split(';').map(words).filter(|words| !words.is_empty());
        return commands.map(|words| Command { words, payload: None }).collect();
    }
    split_escaped(line)
}

fn split_escaped(line: &str) -> Vec<Command> {
    let mut commands = Vec::new();
    let (mut words, mut word) = (Vec::new(), None::<String>);
    let mut signs = line.chars();
    while let Some(sign) = signs.next() {
        match sign {
            '\\' => word.get_or_insert_default().extend(signs.next()),
            ';' => {
                words.extend(word.take());
                commands.push(Command { words: std::mem::take(&mut words), payload: None });
            }
            ' ' | '\t' => words.extend(word.take()),
            _ => word.get_or_insert_default().push(sign),
        }
    }
    words.extend(word);
    commands.push(Command { words, payload: None });
    commands.retain(|command| !command.words.is_empty());
    commands
}

/// A word written so that it is read as it is.
pub fn escaped(word: &str) -> String {
    let mut text = String::with_capacity(word.len());
    for sign in word.chars() {
        if matches!(sign, '\\' | ';' | ' ' | '\t') {
            text.push('\\');
        }
        text.push(sign);
    }
    text
}

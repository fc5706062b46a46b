//! Orders on one control connection. A line of orders is a set: it takes effect as a whole or not at
//! all. Sets that need several lines are prepared and committed, in the guide's form for maps, under
//! the name `tables`. A pilot that names its epoch is fenced off by a later one.

use lockcroft_runtime::{After, Answer, Command, Desk, Entry, Level, Session};

use crate::held::{Held, Tables};

/// The state of one control connection.
pub struct Orders {
    session: Session,
    epoch: Option<i64>,
    /// A set that is being prepared: its version, and what would be held with it.
    prepared: Option<(u64, Held, Vec<Command>)>,
}

impl Orders {
    pub fn new(level: Level) -> Self {
        Orders { session: Session::new(level), epoch: None, prepared: None }
    }

    /// Carries out a line. If an order in it is refused, none of them was done, and each says so.
    pub fn line(&mut self, commands: &[Command], held: &mut Held, out: &mut String) -> After {
        let orders = commands.iter().filter(|command| changes(command)).count();
        let before: Option<Tables> = (orders > 0).then(|| held.tables());
        let begun = out.len();
        let (mut refused, mut after) = (None, After::Stay);
        if commands.is_empty() {
            return self.session.line(commands, held, out);
        }
        for command in commands {
            after = match self.own(command, held) {
                Some(said) => {
                    let said = note(said, command, &mut refused);
                    out.push_str(&said);
                    if !said.is_empty() {
                        out.push('\n');
                    }
                    After::Stay
                }
                None => {
                    let (desk, refused) =
                        (self.prepared.as_mut().map_or(&mut *held, |(_, held, _)| held), &mut refused);
                    let after = self.session.command(command, &mut Noting { held: desk, refused }, out);
                    if changes(command)
                        && let Some((_, _, commands)) = &mut self.prepared
                    {
                        commands.push(command.clone());
                    }
                    after
                }
            };
            self.session.end(out);
            if after != After::Stay {
                break;
            }
        }
        match (refused, before) {
            (Some(why), Some(before)) if orders > 1 => {
                held.restore(before);
                out.truncate(begun);
                for command in commands {
                    if changes(command) {
                        out.push_str(&format!(
                            "Not done, as an order of its set was refused: {}\n",
                            why.trim()
                        ));
                    }
                    self.session.end(out);
                }
            }
            (None, Some(before)) if self.prepared.is_none() => held.took_effect(&before),
            _ => {}
        }
        if self.session.lasting() || after != After::Stay { after } else { After::Close }
    }

    /// What concerns the connection and its sets rather than a table.
    fn own(&mut self, command: &Command, held: &mut Held) -> Option<Result<String, String>> {
        if !self.session.may(Level::Admin) {
            return None;
        }
        // Most orders are about servers, of any number in a set.
        let about_server = command.word(1) == Some("server");
        if about_server && self.epoch.is_none_or(|epoch| epoch >= held.epoch) {
            return None;
        }
        let words: Vec<&str> = command.words.iter().map(String::as_str).collect();
        if let ["set", "var", "proc.epoch", value] = words[..] {
            return Some(self.take_over(value, held));
        }
        if changes(command) && self.epoch.is_some_and(|epoch| epoch < held.epoch) {
            return Some(Err(superseded(held)));
        }
        match words[..] {
            ["prepare", "map", "tables"] => {
                held.versions += 1;
                self.prepared = Some((held.versions, held.clone(), Vec::new()));
                Some(Ok(format!("New version created: {}", held.versions)))
            }
            ["commit", "map", version, "tables"] => Some(self.commit(version, held)),
            _ => None,
        }
    }

    fn take_over(&mut self, value: &str, held: &mut Held) -> Result<String, String> {
        let epoch = value.strip_prefix("int(").and_then(|rest| rest.strip_suffix(')'));
        let epoch: i64 = epoch.and_then(|epoch| epoch.parse().ok()).ok_or("Only int(<n>) is known here.")?;
        self.epoch = Some(epoch);
        if epoch < held.epoch {
            return Err(superseded(held));
        }
        held.epoch = epoch;
        Ok(String::new())
    }

    fn commit(&mut self, version: &str, held: &mut Held) -> Result<String, String> {
        let out_of_range = || "Version number out of range.".to_string();
        let version: u64 = version.strip_prefix('@').and_then(|v| v.parse().ok()).ok_or_else(out_of_range)?;
        let (_, _, commands) =
            self.prepared.take().filter(|(own, ..)| *own == version).ok_or_else(out_of_range)?;
        if version <= held.committed {
            return Err(out_of_range());
        }
        let before = held.tables();
        for command in &commands {
            if let Err(why) = held.carry_out(command) {
                held.restore(before);
                return Err(format!("Not done, as an order of its set was refused: {}", why.trim()));
            }
        }
        held.committed = version;
        Ok(String::new())
    }
}

fn superseded(held: &Held) -> String {
    format!("Superseded: a pilot of epoch {} has taken over.", held.epoch)
}

fn note(said: Result<String, String>, command: &Command, refused: &mut Option<String>) -> String {
    said.unwrap_or_else(|why| {
        if changes(command) {
            refused.get_or_insert(why.clone());
        }
        why
    })
}

/// Whether a command changes what is held.
pub fn changes(command: &Command) -> bool {
    let first = command.word(0);
    matches!(first, Some("add" | "del" | "set" | "commit" | "clear" | "enable" | "disable"))
}

/// A desk that remembers the first order that was refused.
struct Noting<'a> {
    held: &'a mut Held,
    refused: &'a mut Option<String>,
}

impl Desk for Noting<'_> {
    fn entries(&self) -> &'static [Entry] {
        self.held.entries()
    }

    fn answer(&mut self, _: &Entry, command: &Command) -> Answer {
        Answer::Text(note(self.held.carry_out(command), command, self.refused))
    }
}

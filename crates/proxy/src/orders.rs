//! Orders on one control connection. A line of orders is a set: it takes effect as a whole or not at
//! all. Sets that need several lines are prepared and committed, in the guide's form for maps, under
//! the name `tables`. A pilot that names its epoch is fenced off by a later one.
//!
//! A set is laid in pieces on a copy of what is held, and adopted in one short step: visits that come
//! meanwhile choose by the tables as they were, and none waits until a long set is through.

use std::collections::VecDeque;

use lockcroft_runtime_api::{
    Command, CommandEntry, CommandHandler, CommandResult, Level, Session, SessionState,
};

use crate::held::{RoutingState, TableSet};

/// Orders laid before visits have their turn: some microseconds.
pub const PIECE: usize = 4;

/// The state of one control connection.
pub struct CommandQueue {
    session: Session,
    epoch: Option<i64>,
    /// A set that is being prepared: its version, and what would be held with it.
    prepared: Option<(u64, RoutingState, Vec<Command>)>,
}

/// A line of orders on its way.
pub struct TableTransaction {
    left: VecDeque<Command>,
    /// Orders of a prepared set that is being committed, with its version and what was laid before it.
    replay: Option<(VecDeque<Command>, u64, TableSet)>,
    /// Places of the commands that change something, among the line's answers.
    orders: Vec<usize>,
    laid: RoutingState,
    before: TableSet,
    refused: Option<String>,
    after: SessionState,
    answers: Vec<String>,
}

impl TableTransaction {
    fn done(&self) -> bool {
        self.after != SessionState::Stay || (self.left.is_empty() && self.replay.is_none())
    }
}

impl CommandQueue {
    pub fn new(level: Level) -> Self {
        CommandQueue { session: Session::new(level), epoch: None, prepared: None }
    }

    /// Carries out a line, all of it at once. If an order in it is refused, none of them was done, and
    /// each says so.
    pub fn line(&mut self, commands: &[Command], held: &mut RoutingState, out: &mut String) -> SessionState {
        let mut laying = self.begin(commands.to_vec(), held);
        while !self.step(&mut laying) {}
        self.finish(laying, held, out)
    }

    /// Takes up a line. Between this and [`CommandQueue::finish`] no other set may be adopted.
    pub fn begin(&self, commands: Vec<Command>, held: &RoutingState) -> TableTransaction {
        let orders = (0..commands.len()).filter(|place| changes(&commands[*place]));
        TableTransaction {
            orders: orders.collect(),
            left: commands.into(),
            replay: None,
            laid: held.clone(),
            before: held.tables(),
            refused: None,
            after: SessionState::Stay,
            answers: Vec::new(),
        }
    }

    /// Lays some more of its orders, at most [`PIECE`]; `true` once none is left.
    pub fn step(&mut self, laying: &mut TableTransaction) -> bool {
        for _ in 0..PIECE {
            if laying.done() {
                return true;
            }
            if laying.replay.is_some() {
                replay(laying);
            } else if let Some(command) = laying.left.pop_front() {
                self.command(&command, laying);
            }
        }
        laying.done()
    }

    /// What was laid becomes what is held, or nothing of it; the answers go out.
    pub fn finish(
        &mut self,
        mut laying: TableTransaction,
        held: &mut RoutingState,
        out: &mut String,
    ) -> SessionState {
        let refused = laying.refused.take().filter(|_| laying.orders.len() > 1);
        if let Some(why) = &refused {
            let said = format!("Not done, as an order of its set was refused: {}\n", why.trim());
            for answer in &mut laying.answers {
                answer.clear();
            }
            for place in &laying.orders {
                if let Some(answer) = laying.answers.get_mut(*place) {
                    answer.clone_from(&said);
                }
            }
        } else if !laying.orders.is_empty() {
            if self.prepared.is_none() {
                laying.laid.took_effect(&laying.before);
            }
            held.adopt(laying.laid, &laying.before);
        }
        let empty = laying.answers.is_empty();
        for answer in laying.answers {
            out.push_str(&answer);
            self.session.end_answer(out);
        }
        if empty {
            return self.session.execute_line(&[], held, out);
        }
        if self.session.is_interactive() || laying.after != SessionState::Stay {
            laying.after
        } else {
            SessionState::Close
        }
    }

    fn command(&mut self, command: &Command, laying: &mut TableTransaction) {
        if let Some(said) = self.own(command, laying) {
            let mut said = note(said, command, &mut laying.refused);
            if !said.is_empty() {
                said.push('\n');
            }
            laying.answers.push(said);
            return;
        }
        let (prepared, refused) = (self.prepared.as_mut(), &mut laying.refused);
        let desk = prepared.map_or(&mut laying.laid, |(_, held, _)| held);
        let mut out = String::new();
        laying.after = self.session.execute(command, &mut Noting { held: desk, refused }, &mut out);
        laying.answers.push(out);
        if changes(command)
            && let Some((_, _, commands)) = &mut self.prepared
        {
            commands.push(command.clone());
        }
    }

    /// What concerns the connection and its sets rather than a table.
    fn own(&mut self, command: &Command, laying: &mut TableTransaction) -> Option<Result<String, String>> {
        if !self.session.allows(Level::Admin) {
            return None;
        }
        let held = &mut laying.laid;
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
            ["commit", "map", version, "tables"] => Some(self.commit(version, laying)),
            _ => None,
        }
    }

    fn take_over(&mut self, value: &str, held: &mut RoutingState) -> Result<String, String> {
        let epoch = value.strip_prefix("int(").and_then(|rest| rest.strip_suffix(')'));
        let epoch: i64 = epoch.and_then(|epoch| epoch.parse().ok()).ok_or("Only int(<n>) is known here.")?;
        self.epoch = Some(epoch);
        if epoch < held.epoch {
            return Err(superseded(held));
        }
        held.epoch = epoch;
        Ok(String::new())
    }

    /// Begins to commit a prepared set: its orders are laid anew, on what is held by now.
    fn commit(&mut self, version: &str, laying: &mut TableTransaction) -> Result<String, String> {
        let out_of_range = || "Version number out of range.".to_string();
        let version: u64 = version.strip_prefix('@').and_then(|v| v.parse().ok()).ok_or_else(out_of_range)?;
        let (_, _, commands) =
            self.prepared.take().filter(|(own, ..)| *own == version).ok_or_else(out_of_range)?;
        if version <= laying.laid.committed {
            return Err(out_of_range());
        }
        laying.replay = Some((commands.into(), version, laying.laid.tables()));
        Ok(String::new())
    }
}

/// One more order of a set that is being committed; the first that is refused undoes the set.
fn replay(laying: &mut TableTransaction) {
    let Some((mut commands, version, before)) = laying.replay.take() else { return };
    let Some(command) = commands.pop_front() else {
        laying.laid.committed = version;
        return;
    };
    match laying.laid.carry_out(&command) {
        Ok(_) => laying.replay = Some((commands, version, before)),
        Err(why) => {
            laying.laid.restore(before);
            let why = format!("Not done, as an order of its set was refused: {}", why.trim());
            laying.refused.get_or_insert(why.clone());
            if let Some(answer) = laying.answers.last_mut() {
                *answer = why + "\n";
            }
        }
    }
}

fn superseded(held: &RoutingState) -> String {
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
    matches!(first, Some("add" | "del" | "set" | "prepare" | "commit" | "clear" | "enable" | "disable"))
}

/// A desk that remembers the first order that was refused.
struct Noting<'a> {
    held: &'a mut RoutingState,
    refused: &'a mut Option<String>,
}

impl CommandHandler for Noting<'_> {
    fn entries(&self) -> &'static [CommandEntry] {
        self.held.entries()
    }

    fn answer(&mut self, _: &CommandEntry, command: &Command) -> CommandResult {
        CommandResult::Text(note(self.held.carry_out(command), command, self.refused))
    }
}

//! The commands of one control connection. A line of commands is a batch: it takes effect as a whole or not
//! at all. Batches that need several lines are prepared and committed under the name `tables`, in the form
//! that HAProxy's Management Guide has for maps. A controller that names its epoch is fenced off by a later one.

use lockcroft_runtime_api::{
    AccessLevel, Command, CommandHandler, CommandResult, CommandSpec, Session, SessionState,
};

use crate::commands::{CommandError, changes_state, parse_int_expression};
use crate::routing::RoutingState;
use crate::table_transaction::{Replay, TableTransaction};

/// Commands staged in one step of a transaction, before requests have their turn: some microseconds.
const MAX_COMMANDS_PER_STEP: usize = 4;

/// The state of one control connection.
pub struct ControlSession {
    session: Session,
    /// The epoch that the controller on this connection named.
    epoch: Option<i64>,
    prepared: Option<PreparedBatch>,
}

/// A batch of commands over several lines that is not committed yet.
struct PreparedBatch {
    version: u64,
    /// The routing state with the commands so far, by which they are answered.
    state: RoutingState,
    commands: Vec<Command>,
}

impl ControlSession {
    /// A connection on which commands of this level are allowed.
    #[must_use]
    pub fn new(level: AccessLevel) -> Self {
        ControlSession { session: Session::new(level), epoch: None, prepared: None }
    }

    /// Carries out a line of commands at once. If one of them is refused, none takes effect, and each says so.
    pub fn execute_line(
        &mut self,
        commands: &[Command],
        state: &mut RoutingState,
        out: &mut String,
    ) -> SessionState {
        let mut transaction = self.begin(commands.to_vec(), state);
        while !self.step(&mut transaction) {}
        self.finish(transaction, state, out)
    }

    /// Begins a line of commands. Until [`ControlSession::finish`] no other line may take effect.
    #[must_use]
    pub fn begin(&self, commands: Vec<Command>, state: &RoutingState) -> TableTransaction {
        TableTransaction::new(commands, state)
    }

    /// Stages a few more commands of the line; `true` once none is left.
    pub fn step(&mut self, transaction: &mut TableTransaction) -> bool {
        for _ in 0..MAX_COMMANDS_PER_STEP {
            if transaction.is_complete() {
                return true;
            }
            if transaction.replay.is_some() {
                transaction.replay_next();
            } else if let Some(command) = transaction.remaining.pop_front() {
                self.stage(&command, transaction);
            }
        }
        transaction.is_complete()
    }

    /// Puts a completed line in force, or nothing of it, and writes the answers.
    pub fn finish(
        &mut self,
        transaction: TableTransaction,
        state: &mut RoutingState,
        out: &mut String,
    ) -> SessionState {
        let session_state = transaction.session_state;
        let answers = transaction.conclude(state, self.prepared.is_none());
        if answers.is_empty() {
            return self.session.execute_line(&[], state, out);
        }
        for answer in answers {
            out.push_str(&answer);
            self.session.end_response(out);
        }
        if self.session.is_interactive() || session_state != SessionState::Stay {
            session_state
        } else {
            SessionState::Close
        }
    }

    /// Ends the answer to a line that was carried out elsewhere, and says what becomes of the connection.
    pub fn end_line(&self, out: &mut String) -> SessionState {
        self.session.end_response(out);
        if self.session.is_interactive() { SessionState::Stay } else { SessionState::Close }
    }

    fn stage(&mut self, command: &Command, transaction: &mut TableTransaction) {
        if let Some(result) = self.connection_command(command, transaction) {
            let mut text = TableTransaction::answer_text(&mut transaction.rejection, command, result);
            if !text.is_empty() {
                text.push('\n');
            }
            transaction.answers.push(text);
            return;
        }
        let state = match &mut self.prepared {
            Some(prepared) => &mut prepared.state,
            None => &mut transaction.staged,
        };
        let mut handler = StagingHandler { state, rejection: &mut transaction.rejection };
        let mut text = String::new();
        transaction.session_state = self.session.execute(command, &mut handler, &mut text);
        transaction.answers.push(text);
        if changes_state(command)
            && let Some(prepared) = &mut self.prepared
        {
            prepared.commands.push(command.clone());
        }
    }

    /// Answers a command that concerns the connection and its batches rather than a table; `None` for others.
    fn connection_command(
        &mut self,
        command: &Command,
        transaction: &mut TableTransaction,
    ) -> Option<Result<String, CommandError>> {
        if !self.session.allows(AccessLevel::Admin) {
            return None;
        }
        let state = &mut transaction.staged;
        let superseded = self.epoch.is_some_and(|epoch| epoch < state.epoch);
        // Most commands are about servers, any number of them in a batch.
        if command.word(1) == Some("server") && !superseded {
            return None;
        }
        let words: Vec<&str> = command.words.iter().map(String::as_str).collect();
        if let ["set", "var", "proc.epoch", expression] = words[..] {
            return Some(self.set_epoch(expression, state));
        }
        if changes_state(command) && superseded {
            return Some(Err(CommandError::Superseded { epoch: state.epoch }));
        }
        match words[..] {
            ["prepare", "map", "tables"] => Some(Ok(self.prepare(state))),
            ["commit", "map", version, "tables"] => Some(self.commit(version, transaction)),
            _ => None,
        }
    }

    fn set_epoch(&mut self, expression: &str, state: &mut RoutingState) -> Result<String, CommandError> {
        let epoch = parse_int_expression(expression)?;
        self.epoch = Some(epoch);
        if epoch < state.epoch {
            return Err(CommandError::Superseded { epoch: state.epoch });
        }
        state.epoch = epoch;
        Ok(String::new())
    }

    fn prepare(&mut self, state: &mut RoutingState) -> String {
        state.last_prepared_version += 1;
        let version = state.last_prepared_version;
        self.prepared = Some(PreparedBatch { version, state: state.clone(), commands: Vec::new() });
        format!("New version created: {version}")
    }

    /// Begins to commit the prepared batch: its commands are carried out anew, on the state as it is by now.
    fn commit(&mut self, version: &str, transaction: &mut TableTransaction) -> Result<String, CommandError> {
        let version = version.strip_prefix('@').and_then(|number| number.parse::<u64>().ok());
        let version = version.ok_or(CommandError::VersionOutOfRange)?;
        let prepared = self.prepared.take().filter(|prepared| prepared.version == version);
        let prepared = prepared.ok_or(CommandError::VersionOutOfRange)?;
        let staged = &transaction.staged;
        if version <= staged.committed_version {
            return Err(CommandError::VersionOutOfRange);
        }
        transaction.replay =
            Some(Replay { commands: prepared.commands.into(), version, base: staged.tables() });
        Ok(String::new())
    }
}

/// Carries out commands on a staged state, and keeps the first error.
struct StagingHandler<'a> {
    state: &'a mut RoutingState,
    rejection: &'a mut Option<CommandError>,
}

impl CommandHandler for StagingHandler<'_> {
    fn commands(&self) -> &'static [CommandSpec] {
        self.state.commands()
    }

    fn handle_command(&mut self, _: &CommandSpec, command: &Command) -> CommandResult {
        let result = self.state.execute(command);
        CommandResult::Text(TableTransaction::answer_text(self.rejection, command, result))
    }
}

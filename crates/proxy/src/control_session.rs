//! The commands of one control connection. A line of commands is a batch, which takes effect as a whole or not
//! at all. Batches that span several lines are prepared and committed with the commands that HAProxy's Management
//! Guide defines for maps, under the map name `tables`. A controller that has set its epoch is fenced off once a
//! controller sets a later one.

use lockcroft_runtime_api::{
    AccessLevel, Command, CommandHandler, CommandResult, CommandSpec, Session, SessionState,
};

use crate::commands::{CommandError, MAX_SERVERS, changes_state, parse_int_expression};
use crate::routing::RoutingState;
use crate::table_transaction::{Replay, TableTransaction};

/// Commands staged per step of a transaction. A step takes some microseconds, after which requests can be served.
const MAX_COMMANDS_PER_STEP: usize = 4;

/// The maximum number of commands of a prepared batch: each server may be added, changed and deleted.
const MAX_PREPARED_COMMANDS: usize = 3 * MAX_SERVERS;

/// The session of one control connection: its access level, epoch and prepared batch.
pub struct ControlSession {
    session: Session,
    /// The epoch that the controller set on this connection.
    epoch: Option<i64>,
    prepared: Option<PreparedBatch>,
}

/// A batch of commands over several lines that is not committed yet.
struct PreparedBatch {
    version: u64,
    /// A copy of the routing state on which the commands so far were executed to answer them.
    state: RoutingState,
    commands: Vec<Command>,
}

impl ControlSession {
    /// Returns a session in which commands up to this access level are allowed.
    #[must_use]
    pub fn new(level: AccessLevel) -> Self {
        ControlSession { session: Session::new(level), epoch: None, prepared: None }
    }

    /// Executes a line of commands without interruption and appends the answers to `out`. If one of several
    /// commands that change something is refused, none of them takes effect, and each answers with the error.
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

    /// Begins to execute a line of commands. No other line that changes something may take effect until
    /// [`ControlSession::finish`] was called.
    #[must_use]
    pub fn begin(&self, commands: Vec<Command>, state: &RoutingState) -> TableTransaction {
        TableTransaction::new(commands, state)
    }

    /// Stages the next few commands of the line; returns true once none is left.
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

    /// Applies a completed line, or nothing of it if a command was refused, and appends the answers to `out`.
    /// Returns whether the connection stays open.
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

    /// Ends the answer to a line that was executed elsewhere. Returns whether the connection stays open.
    pub fn end_line(&self, out: &mut String) -> SessionState {
        self.session.end_response(out);
        if self.session.is_interactive() { SessionState::Stay } else { SessionState::Close }
    }

    /// Executes a command on the staged state, or on that of the prepared batch, and stores its answer.
    fn stage(&mut self, command: &Command, transaction: &mut TableTransaction) {
        if let Some(result) = self.connection_command(command, transaction) {
            let mut text = TableTransaction::answer_text(&mut transaction.rejection, command, result);
            if !text.is_empty() {
                text.push('\n');
            }
            transaction.push_answer(text);
            return;
        }
        let state = match &mut self.prepared {
            Some(prepared) => &mut prepared.state,
            None => &mut transaction.staged,
        };
        let mut handler = StagingHandler { state, rejection: &mut transaction.rejection };
        let mut text = String::new();
        transaction.session_state = self.session.execute(command, &mut handler, &mut text);
        transaction.push_answer(text);
        if changes_state(command)
            && let Some(prepared) = &mut self.prepared
        {
            prepared.commands.push(command.clone());
            if prepared.commands.len() > MAX_PREPARED_COMMANDS {
                let error =
                    CommandError::TooMany { what: "prepared commands", allowed: MAX_PREPARED_COMMANDS };
                transaction.rejection.get_or_insert(error);
                self.prepared = None;
            }
        }
    }

    /// Executes a command that concerns the epoch or the prepared batch of this connection, and rejects changes once
    /// the epoch is superseded. Returns `None` if the command must be executed on the routing state instead.
    fn connection_command(
        &mut self,
        command: &Command,
        transaction: &mut TableTransaction,
    ) -> Option<Result<String, CommandError>> {
        if !self.session.allows(AccessLevel::Admin) {
            return None;
        }
        let state = &mut transaction.staged;
        let is_superseded = self.epoch.is_some_and(|epoch| epoch < state.epoch);
        // Fast path: most commands of a batch change servers.
        if command.word(1) == Some("server") && !is_superseded {
            return None;
        }
        let words: Vec<&str> = command.words.iter().map(String::as_str).collect();
        if let ["set", "var", "proc.epoch", expression] = words[..] {
            return Some(self.set_epoch(expression, state));
        }
        if changes_state(command) && is_superseded {
            return Some(Err(CommandError::Superseded { epoch: state.epoch }));
        }
        match words[..] {
            ["prepare", "map", "tables"] => Some(Ok(self.prepare(state))),
            ["commit", "map", version, "tables"] => Some(self.commit(version, transaction)),
            _ => None,
        }
    }

    /// Sets the epoch of this connection, and that of the proxy unless the proxy has a later one.
    fn set_epoch(&mut self, expression: &str, state: &mut RoutingState) -> Result<String, CommandError> {
        let epoch = parse_int_expression(expression)?;
        self.epoch = Some(epoch);
        if epoch < state.epoch {
            return Err(CommandError::Superseded { epoch: state.epoch });
        }
        state.epoch = epoch;
        Ok(String::new())
    }

    /// Begins a prepared batch, which replaces one that was not committed.
    fn prepare(&mut self, state: &mut RoutingState) -> String {
        state.last_prepared_version += 1;
        let version = state.last_prepared_version;
        self.prepared = Some(PreparedBatch { version, state: state.clone(), commands: Vec::new() });
        format!("New version created: {version}")
    }

    /// Begins to commit the prepared batch: its commands are executed again, on the current state.
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

/// Executes commands on a staged state, and stores the first error of a command that changes something.
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

//! A line of commands that takes effect as a whole or not at all. The commands change a staged copy of the routing
//! state, a few at a time; meanwhile requests are routed by the unchanged state.

use std::collections::VecDeque;

use lockcroft_runtime_api::{Command, MAX_RESPONSE_BYTES, SessionState};

use crate::commands::{CommandError, changes_state};
use crate::routing::{RoutingState, TableSet};

/// One line of commands, staged on a copy of the routing state.
pub struct TableTransaction {
    pub(crate) remaining: VecDeque<Command>,
    /// The prepared batch that a `commit map` command of the line is committing. Its commands are executed before the
    /// remaining ones of the line. `None` if no commit is under way.
    pub(crate) replay: Option<Replay>,
    /// The positions of the commands that change something, in the line and among the answers.
    change_positions: Vec<usize>,
    pub(crate) staged: RoutingState,
    /// The tables of the routing state from which the staged copy was taken.
    base: TableSet,
    /// The first error of a command that changes something.
    pub(crate) rejection: Option<CommandError>,
    pub(crate) session_state: SessionState,
    answers: Vec<String>,
    /// The length of the answers together.
    answer_bytes: usize,
}

/// A prepared batch of commands that is executed again on the state at the time of its commit.
pub(crate) struct Replay {
    pub commands: VecDeque<Command>,
    /// The number under which the batch was prepared.
    pub version: u64,
    /// The tables to restore if a command is refused.
    pub base: TableSet,
}

impl TableTransaction {
    pub(crate) fn new(commands: Vec<Command>, state: &RoutingState) -> Self {
        let positions = commands.iter().enumerate().filter(|(_, command)| changes_state(command));
        TableTransaction {
            change_positions: positions.map(|(position, _)| position).collect(),
            remaining: commands.into(),
            replay: None,
            staged: state.clone(),
            base: state.tables(),
            rejection: None,
            session_state: SessionState::Stay,
            answers: Vec::new(),
            answer_bytes: 0,
        }
    }

    /// Adds the answer to a command. Once the answers are too long together, the line is rejected, its remaining
    /// commands are skipped, and the connection is to be closed.
    pub(crate) fn push_answer(&mut self, text: String) {
        self.answer_bytes += text.len();
        if self.answer_bytes <= MAX_RESPONSE_BYTES {
            self.answers.push(text);
            return;
        }
        self.rejection.get_or_insert(CommandError::AnswersTooLong);
        self.answers.push(format!("{}\n", CommandError::AnswersTooLong));
        self.session_state = SessionState::Close;
    }

    /// Returns the length of the answers so far, in bytes.
    pub(crate) fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Returns true if no command is left to be staged.
    pub(crate) fn is_complete(&self) -> bool {
        self.session_state != SessionState::Stay || (self.remaining.is_empty() && self.replay.is_none())
    }

    /// Executes the next command of the batch that is being committed. The first one that is refused undoes the
    /// batch.
    pub(crate) fn replay_next(&mut self) {
        let Some(mut replay) = self.replay.take() else { return };
        let Some(command) = replay.commands.pop_front() else {
            self.staged.committed_version = replay.version;
            return;
        };
        match self.staged.execute(&command) {
            Ok(_) => self.replay = Some(replay),
            Err(error) => {
                self.staged.restore(replay.base);
                let error = error.for_batch();
                if let Some(answer) = self.answers.last_mut() {
                    *answer = format!("{error}\n");
                }
                self.rejection.get_or_insert(error);
            }
        }
    }

    /// Returns the text of a command's answer, and stores the first error of a command that changes something in
    /// `rejection`.
    pub(crate) fn answer_text(
        rejection: &mut Option<CommandError>,
        command: &Command,
        result: Result<String, CommandError>,
    ) -> String {
        result.unwrap_or_else(|error| {
            let text = error.to_string();
            if changes_state(command) {
                rejection.get_or_insert(error);
            }
            text
        })
    }

    /// Adopts the staged state, or nothing of it if one of several commands that change something was refused.
    /// Returns the answers to the commands. `has_version` is true if the line is a batch that gets a new version.
    pub(crate) fn conclude(mut self, state: &mut RoutingState, has_version: bool) -> Vec<String> {
        let rejection = self.rejection.take();
        // A single command that was refused may have added the payload lines before a malformed one.
        let has_effect = rejection.is_none() || self.staged.differs_from(&self.base);
        if let Some(error) = rejection.filter(|_| self.change_positions.len() > 1) {
            self.reject_all(&error.for_batch());
        } else if !self.change_positions.is_empty() {
            if has_version && has_effect {
                self.staged.stamp_version(&self.base);
            }
            state.adopt(self.staged, &self.base);
        }
        self.answers
    }

    /// Replaces the answers of commands that change something by the error, and all others by an empty answer.
    fn reject_all(&mut self, error: &CommandError) {
        for answer in &mut self.answers {
            answer.clear();
        }
        for position in &self.change_positions {
            if let Some(answer) = self.answers.get_mut(*position) {
                *answer = format!("{error}\n");
            }
        }
    }
}

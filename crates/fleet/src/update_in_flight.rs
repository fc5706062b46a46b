//! An update in flight to a proxy: its text, its commands without a response, and the transaction that makes a
//! message of several lines take effect as a whole.

use std::collections::VecDeque;
use std::ops::Range;
use std::time::Duration;

use lockcroft_runtime_api::MAX_LINE_BYTES;

use crate::applied_state::AppliedState;
use crate::error::SessionError;
use crate::ledger_change::Change;
use crate::update_context::UpdateContext;

/// A line of a message ends after the command that makes it longer than this: half of the longest line that a proxy
/// accepts. A message of several lines is prepared and then committed, so that it takes effect as a whole.
const LINE_SPLIT_BYTES: usize = MAX_LINE_BYTES / 2;

const PREPARE: &str = "prepare map tables";

/// A message to one proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpdateMessage {
    /// Lines of the runtime API.
    pub text: String,
    /// The number of commands, each of which is answered by one response.
    pub commands: usize,
    /// The number of ledger keys whose changes it carries.
    pub entries: usize,
    /// The update batch that it belongs to.
    pub batch: u64,
}

/// An update, reported once the proxy has carried it out in full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcknowledgedUpdate {
    /// The time of the oldest decision in it.
    pub since: Duration,
    /// The update batch that it belongs to.
    pub batch: u64,
    /// The number of ledger keys whose changes it carried.
    pub entries: usize,
}

#[derive(Clone, Copy, Debug)]
enum Command {
    /// Opens a transaction; its response is the version to commit.
    Prepare,
    Change(Change),
    /// Makes the prepared changes take effect.
    Commit,
}

/// A command without a response, and its range in the text of the message.
#[derive(Debug)]
struct OutstandingCommand {
    range: Range<usize>,
    command: Command,
}

/// A change that the proxy carried out, and its response.
#[derive(Debug)]
pub struct AppliedChange {
    pub change: Change,
    pub response: String,
}

/// A transaction that the proxy opened. A proxy without support for transactions returns no version; it carries a
/// message out line by line.
#[derive(Debug)]
struct Transaction {
    version: String,
    /// The changes that take effect with the commit.
    prepared: Vec<AppliedChange>,
    /// True if all changes are prepared and the commit is still to be sent.
    commit_due: bool,
}

/// An update from its first message to the last response.
#[derive(Debug)]
pub struct UpdateInFlight {
    /// The text of the message that was built last.
    text: String,
    outstanding: VecDeque<OutstandingCommand>,
    transaction: Option<Transaction>,
    update: AcknowledgedUpdate,
}

impl UpdateInFlight {
    /// Creates the update with the commands of these changes. `update` is returned once all of them are acknowledged.
    pub fn new(
        changes: impl Iterator<Item = Change>,
        update: AcknowledgedUpdate,
        applied: &AppliedState,
        context: &UpdateContext,
    ) -> Self {
        let mut text = String::new();
        let mut outstanding = VecDeque::new();
        let mut line_start = 0;
        for change in changes {
            if text.len() - line_start > LINE_SPLIT_BYTES {
                text.push('\n');
                line_start = text.len();
            }
            if text.len() > line_start {
                text.push_str("; ");
            }
            let start = text.len();
            // Writing to a `String` does not fail.
            let _ = context.write_command(change, applied, &mut text);
            let command = Command::Change(change);
            outstanding.push_back(OutstandingCommand { range: start..text.len(), command });
        }
        text.push('\n');
        let mut in_flight = UpdateInFlight { text, outstanding, transaction: None, update };
        if line_start > 0 {
            in_flight.open_transaction();
        }
        in_flight
    }

    fn open_transaction(&mut self) {
        let shift = PREPARE.len() + 1;
        self.text.insert_str(0, &format!("{PREPARE}\n"));
        for OutstandingCommand { range, .. } in &mut self.outstanding {
            *range = range.start + shift..range.end + shift;
        }
        let prepare = OutstandingCommand { range: 0..PREPARE.len(), command: Command::Prepare };
        self.outstanding.push_front(prepare);
    }

    /// Returns the first message of the update.
    pub fn message(&self) -> UpdateMessage {
        UpdateMessage {
            text: self.text.clone(),
            commands: self.outstanding.len(),
            entries: self.update.entries,
            batch: self.update.batch,
        }
    }

    /// Returns the number of ledger keys whose changes it carries.
    pub fn entries(&self) -> usize {
        self.update.entries
    }

    /// Returns true if all changes are prepared and the commit is still to be sent.
    pub fn is_commit_due(&self) -> bool {
        self.transaction.as_ref().is_some_and(|transaction| transaction.commit_due)
    }

    /// Returns the message with the commit if it is due, once.
    pub fn take_commit(&mut self) -> Option<UpdateMessage> {
        let transaction = self.transaction.as_mut().filter(|transaction| transaction.commit_due)?;
        transaction.commit_due = false;
        let batch = self.update.batch;
        Some(UpdateMessage { text: self.text.clone(), commands: 1, entries: 0, batch })
    }

    /// Handles the response to the oldest outstanding command, and returns the changes that took effect with it: none
    /// while a transaction is prepared, all of its changes when it is committed.
    ///
    /// # Errors
    /// Returns an error if no command is outstanding, or if the proxy did not carry the command out and its state has
    /// to be read again.
    pub fn acknowledge(&mut self, response: &str) -> Result<Vec<AppliedChange>, SessionError> {
        let OutstandingCommand { range, command } =
            self.outstanding.pop_front().ok_or(SessionError::TooManyResponses)?;
        let response = response.trim();
        let mut applied = Vec::new();
        let succeeded = match command {
            Command::Prepare => {
                self.transaction = response.strip_prefix("New version created: ").map(|version| {
                    Transaction { version: version.into(), prepared: Vec::new(), commit_due: false }
                });
                true
            }
            Command::Change(change) => {
                let applied_change = AppliedChange { change, response: response.into() };
                match &mut self.transaction {
                    Some(transaction) => transaction.prepared.push(applied_change),
                    None => applied.push(applied_change),
                }
                change.succeeded(response)
            }
            Command::Commit => {
                applied.extend(self.transaction.take().into_iter().flat_map(|committed| committed.prepared));
                response.is_empty()
            }
        };
        if !succeeded {
            let command = self.text[range].to_string();
            return Err(SessionError::CommandFailed { command, response: response.into() });
        }
        self.prepare_commit();
        Ok(applied)
    }

    /// Replaces the text by the commit of the transaction once no command is outstanding.
    fn prepare_commit(&mut self) {
        if !self.outstanding.is_empty() {
            return;
        }
        let Some(transaction) = &mut self.transaction else { return };
        self.text = format!("commit map @{} tables\n", transaction.version);
        transaction.commit_due = true;
        let range = 0..self.text.len() - 1;
        self.outstanding.push_back(OutstandingCommand { range, command: Command::Commit });
    }

    /// Returns the update once no command is outstanding.
    pub fn acknowledged(&self) -> Option<AcknowledgedUpdate> {
        self.outstanding.is_empty().then_some(self.update)
    }
}

//! One message on its way to a proxy: its text, the commands that are still to be answered, and the transaction
//! that a message of several lines is wrapped in.

use std::collections::VecDeque;
use std::ops::Range;
use std::time::Duration;

use lockcroft_runtime_api::MAX_LINE_BYTES;

use crate::applied_state::AppliedState;
use crate::error::SessionError;
use crate::ledger_change::Change;
use crate::update_context::UpdateContext;

/// A line of a message is ended behind the command with which it grows beyond this, in bytes: half of what a proxy
/// takes. A message of several lines is prepared and committed, so that it takes effect as a whole.
const LINE_BYTES: usize = MAX_LINE_BYTES / 2;

const PREPARE: &str = "prepare map tables";

/// A message to one proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpdateMessage {
    /// Lines for its socket.
    pub text: String,
    /// How many responses will come.
    pub commands: usize,
    /// How many pending changes of the ledger it carries.
    pub entries: usize,
    /// The update batch that it belongs to.
    pub batch: u64,
}

/// An update that the proxy has carried out in full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcknowledgedUpdate {
    /// When the oldest change in it was decided.
    pub since: Duration,
    /// The update batch that it belongs to.
    pub batch: u64,
    /// How many pending changes of the ledger it carried.
    pub entries: usize,
}

#[derive(Clone, Copy, Debug)]
enum Command {
    /// Opens a transaction of several lines.
    Prepare,
    Change(Change),
    Commit,
}

/// A command, and where it stands in the text.
#[derive(Debug)]
struct OutstandingCommand {
    range: Range<usize>,
    command: Command,
}

/// A change that the proxy carried out, and what it said.
#[derive(Debug)]
pub struct AppliedChange {
    pub change: Change,
    pub response: String,
}

/// A proxy that knows no transactions gives no version, and carries a message out line by line.
#[derive(Debug)]
struct Transaction {
    version: String,
    /// What is held once it is committed.
    prepared: Vec<AppliedChange>,
    /// All was prepared; the commit is still to be sent.
    commit_due: bool,
}

#[derive(Debug)]
pub struct UpdateInFlight {
    text: String,
    outstanding: VecDeque<OutstandingCommand>,
    transaction: Option<Transaction>,
    update: AcknowledgedUpdate,
}

impl UpdateInFlight {
    /// Writes the commands of these changes. `update` is what is told once all of them are acknowledged.
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
            if text.len() - line_start > LINE_BYTES {
                text.push('\n');
                line_start = text.len();
            }
            if text.len() > line_start {
                text.push_str("; ");
            }
            let start = text.len();
            // Writing to a String cannot fail.
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

    /// The message as it is sent first.
    pub fn message(&self) -> UpdateMessage {
        UpdateMessage {
            text: self.text.clone(),
            commands: self.outstanding.len(),
            entries: self.update.entries,
            batch: self.update.batch,
        }
    }

    /// How many pending changes of the ledger it carries.
    pub fn entries(&self) -> usize {
        self.update.entries
    }

    /// Whether the proxy waits for the commit of what it prepared.
    pub fn is_commit_due(&self) -> bool {
        self.transaction.as_ref().is_some_and(|transaction| transaction.commit_due)
    }

    /// The commit, if it is due. It is given once.
    pub fn take_commit(&mut self) -> Option<UpdateMessage> {
        let transaction = self.transaction.as_mut().filter(|transaction| transaction.commit_due)?;
        transaction.commit_due = false;
        let batch = self.update.batch;
        Some(UpdateMessage { text: self.text.clone(), commands: 1, entries: 0, batch })
    }

    /// The response to the oldest outstanding command. Gives what the proxy holds from now on.
    ///
    /// # Errors
    /// The proxy did not carry the command out: what it holds has to be read again.
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
                let carried_out = AppliedChange { change, response: response.into() };
                match &mut self.transaction {
                    Some(transaction) => transaction.prepared.push(carried_out),
                    None => applied.push(carried_out),
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

    /// Once all is prepared, the commit is the one command that is left.
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

    /// What was acknowledged, once no command is outstanding.
    pub fn acknowledged(&self) -> Option<AcknowledgedUpdate> {
        self.outstanding.is_empty().then_some(self.update)
    }
}

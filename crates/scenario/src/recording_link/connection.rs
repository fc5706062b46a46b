//! A control stream through the link.

use std::collections::VecDeque;
use std::io;
use std::time::Duration;

use bytes::BytesMut;
use lockcroft_proxy::changes_state;
use lockcroft_runtime_api::{ResponseReader, Stream, parse_line};
use lockcroft_testbed::{AnsweredCommand, TrafficEvent};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::recording_link::link_state::{LinkState, StreamFault};

/// The longest wait for a further answer of the proxy after the controller has closed the stream.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// A command that was sent to the proxy and not answered yet.
struct PendingCommand {
    text: String,
    /// The number of state-changing commands that follow this one in its message; `None` if this one changes no state.
    remaining_changes: Option<usize>,
}

/// A control stream through the link.
pub struct Connection<'a> {
    link: &'a LinkState,
    pending: VecDeque<PendingCommand>,
    /// The state-changing commands of the current message that were answered so far.
    answered: Vec<AnsweredCommand>,
    /// The commands of a prepared transaction, which take effect with its commit; `None` outside of a transaction.
    prepared: Option<Vec<AnsweredCommand>>,
    answers: ResponseReader,
    /// True after an injected disconnect: answers are discarded, and the stream is closed once all commands are
    /// answered.
    discards_answers: bool,
}

impl<'a> Connection<'a> {
    /// Returns the state of a stream before any traffic.
    pub fn new(link: &'a LinkState) -> Self {
        Connection {
            link,
            pending: VecDeque::new(),
            answered: Vec::new(),
            prepared: None,
            answers: ResponseReader::default(),
            discards_answers: false,
        }
    }

    /// Forwards and records traffic until one side closes the stream or an injected disconnect is complete.
    ///
    /// # Errors
    /// The connection to the proxy failed.
    pub async fn forward(&mut self, mut controller: TcpStream, mut proxy: Box<dyn Stream>) -> io::Result<()> {
        let mut from_controller = BytesMut::new();
        let mut from_proxy = BytesMut::new();
        loop {
            tokio::select! {
                read = controller.read_buf(&mut from_controller) => {
                    if !matches!(read, Ok(1..)) {
                        return self.drain(&mut proxy).await;
                    }
                    while let Some(end) = from_controller.iter().position(|byte| *byte == b'\n') {
                        let message = from_controller.split_to(end + 1);
                        self.forward_message(&message, &mut proxy).await?;
                    }
                }
                read = proxy.read_buf(&mut from_proxy) => {
                    if read? == 0 {
                        return Ok(());
                    }
                    self.read_answers(&from_proxy);
                    if self.discards_answers {
                        if self.pending.is_empty() {
                            return Ok(());
                        }
                        from_proxy.clear();
                        continue;
                    }
                    if controller.write_all(&from_proxy).await.is_err() {
                        return self.drain(&mut proxy).await;
                    }
                    from_proxy.clear();
                }
            }
        }
    }

    /// Forwards a message to the proxy and applies the next stream fault if the message triggers it.
    async fn forward_message(&mut self, message: &[u8], proxy: &mut Box<dyn Stream>) -> io::Result<()> {
        let change_count = self.register_commands(message);
        match self.link.take_fault(change_count) {
            Some(StreamFault::Stall { duration, .. }) => {
                let (first, second) = message.split_at(message.len() / 2);
                proxy.write_all(first).await?;
                self.link.record_stalled(true);
                tokio::time::sleep(duration).await;
                self.link.record_stalled(false);
                proxy.write_all(second).await
            }
            Some(StreamFault::Disconnect { .. }) => {
                self.discards_answers = true;
                proxy.write_all(message).await
            }
            None => proxy.write_all(message).await,
        }
    }

    /// Registers the commands of a message as pending and returns the number of those that change the state.
    fn register_commands(&mut self, message: &[u8]) -> usize {
        let commands = parse_line(String::from_utf8_lossy(message).trim_end());
        let change_count = commands.iter().filter(|command| changes_state(command)).count();
        if change_count > 0 {
            let proxy = self.link.proxy.clone();
            self.link.recorder.record(TrafficEvent::UpdateReceived { proxy, commands: change_count });
        }
        let mut remaining = change_count;
        for command in &commands {
            let is_change = changes_state(command);
            remaining -= usize::from(is_change);
            let remaining_changes = is_change.then_some(remaining);
            self.pending.push_back(PendingCommand { text: command.joined_words(), remaining_changes });
        }
        change_count
    }

    /// Assigns the answers in these bytes to the pending commands, in order.
    fn read_answers(&mut self, bytes: &[u8]) {
        self.answers.push(bytes);
        while let Some(answer) = self.answers.next_response() {
            let Some(command) = self.pending.pop_front() else { return };
            if let Some(remaining_changes) = command.remaining_changes {
                let answered = AnsweredCommand { command: command.text, answer: answer.trim().into() };
                self.handle_answer(answered, remaining_changes);
            }
        }
    }

    /// Handles an answer to a state-changing command and records the update after the last one of its message.
    /// The commands of a transaction are recorded with its commit.
    fn handle_answer(&mut self, answered: AnsweredCommand, remaining_changes: usize) {
        let AnsweredCommand { command, answer } = &answered;
        if command == "prepare map tables" {
            self.prepared = answer.starts_with("New version").then(Vec::new);
            return;
        }
        if command.starts_with("commit map") && command.ends_with(" tables") {
            let committed = answer.is_empty();
            let prepared = self.prepared.take().unwrap_or_default();
            self.answered.extend(prepared.into_iter().filter(|_| committed));
        } else if let Some(prepared) = &mut self.prepared {
            prepared.push(answered);
            return;
        } else {
            self.answered.push(answered);
        }
        if remaining_changes == 0 && !self.answered.is_empty() {
            let proxy = self.link.proxy.clone();
            let commands = std::mem::take(&mut self.answered);
            self.link.recorder.record(TrafficEvent::UpdateAnswered { proxy, commands });
        }
    }

    /// Reads and records the remaining answers after the controller has closed the stream, since the proxy still
    /// executes the commands that it has received.
    async fn drain(&mut self, proxy: &mut Box<dyn Stream>) -> io::Result<()> {
        let mut from_proxy = BytesMut::new();
        while !self.pending.is_empty() {
            let read = tokio::time::timeout(DRAIN_TIMEOUT, proxy.read_buf(&mut from_proxy)).await;
            if !matches!(read, Ok(Ok(1..))) {
                break;
            }
            self.read_answers(&from_proxy);
            from_proxy.clear();
        }
        Ok(())
    }
}

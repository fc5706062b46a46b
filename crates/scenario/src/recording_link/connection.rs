//! One control stream through the link.

use std::collections::VecDeque;
use std::io;
use std::time::Duration;

use bytes::BytesMut;
use lockcroft_proxy::changes_state;
use lockcroft_runtime_api::{ResponseReader, Stream, split};
use lockcroft_testbed::{AnsweredCommand, TrafficEvent};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::recording_link::link_state::{LinkState, StallPoint};

/// A proxy answers the commands it has within this, once nobody stalls it.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// A command that was sent and not answered yet.
struct PendingCommand {
    text: String,
    /// For a command that changes something: how many such commands follow it in its message.
    remaining_changes: Option<usize>,
}

/// One control stream through the link.
pub struct Connection<'a> {
    link: &'a LinkState,
    pending: VecDeque<PendingCommand>,
    /// Commands of a message that were answered so far.
    answered: Vec<AnsweredCommand>,
    /// Commands of a transaction that is being prepared; they take effect with its commit.
    prepared: Option<Vec<AnsweredCommand>>,
    answers: ResponseReader,
    /// No answer reaches the controller any more; the stream breaks once all commands are answered.
    cut: bool,
}

impl<'a> Connection<'a> {
    pub fn new(link: &'a LinkState) -> Self {
        Connection {
            link,
            pending: VecDeque::new(),
            answered: Vec::new(),
            prepared: None,
            answers: ResponseReader::default(),
            cut: false,
        }
    }

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
                    if self.cut {
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

    async fn forward_message(&mut self, message: &[u8], proxy: &mut Box<dyn Stream>) -> io::Result<()> {
        let changing = self.expect_answers(message);
        match self.link.take_stall(changing) {
            Some(StallPoint::Stall { duration, .. }) => {
                let (first, second) = message.split_at(message.len() / 2);
                proxy.write_all(first).await?;
                self.link.record_stalled(true);
                tokio::time::sleep(duration).await;
                self.link.record_stalled(false);
                proxy.write_all(second).await
            }
            Some(StallPoint::Disconnect { .. }) => {
                self.cut = true;
                proxy.write_all(message).await
            }
            None => proxy.write_all(message).await,
        }
    }

    /// Notes the commands of a message; gives the number of those that change something.
    fn expect_answers(&mut self, message: &[u8]) -> usize {
        let commands = split(String::from_utf8_lossy(message).trim_end());
        let changing = commands.iter().filter(|command| changes_state(command)).count();
        if changing > 0 {
            let proxy = self.link.proxy.clone();
            self.link.recorder.record(TrafficEvent::UpdateReceived { proxy, commands: changing });
        }
        let mut remaining = changing;
        for command in &commands {
            let is_change = changes_state(command);
            remaining -= usize::from(is_change);
            let remaining_changes = is_change.then_some(remaining);
            self.pending.push_back(PendingCommand { text: command.joined_words(), remaining_changes });
        }
        changing
    }

    fn read_answers(&mut self, bytes: &[u8]) {
        self.answers.push(bytes);
        while let Some(answer) = self.answers.next_response() {
            let Some(command) = self.pending.pop_front() else { return };
            if let Some(remaining_changes) = command.remaining_changes {
                let answered = AnsweredCommand { command: command.text, answer: answer.trim().into() };
                self.take_answer(answered, remaining_changes);
            }
        }
    }

    /// Takes the answer of a command that changes something. Commands of a transaction count once it is committed.
    fn take_answer(&mut self, answered: AnsweredCommand, remaining_changes: usize) {
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

    /// The controller is gone; the proxy still carries out the commands it has, and their answers are recorded.
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

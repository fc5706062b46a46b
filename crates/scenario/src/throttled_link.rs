//! A link in front of a proxy's control socket: controllers dial it, it dials the proxy, and what passes either way is
//! recorded. It can also stall within a message, or break between an update and its answer.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::BytesMut;
use lockcroft_proxy::changes;
use lockcroft_runtime_api::{Address, ResponseReader, Stream, dial, split};
use lockcroft_testbed::{AnsweredCommand, TrafficEvent, TrafficRecorder};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use crate::owned_task::OwnedTask;

/// A proxy answers the commands it has within this, once nobody stalls it.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// What happens to the next message with more than so many commands that change something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StallPoint {
    /// It stops in the middle for a while, then goes on.
    Stall {
        /// A message with more commands than this is stalled.
        after_commands: usize,
        /// For how long.
        duration: Duration,
    },
    /// It is carried out, and the stream breaks before its answer.
    Disconnect {
        /// A message with more commands than this is cut off.
        after_commands: usize,
    },
}

/// The link; it ends, with its streams, when this is dropped.
pub struct ThrottledLink {
    /// Where controllers dial it.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    _accept_task: OwnedTask,
}

struct Shared {
    /// The proxy's name.
    proxy: String,
    /// Where the link dials the proxy.
    proxy_address: Address,
    next_stall: Mutex<Option<StallPoint>>,
    recorder: TrafficRecorder,
}

impl ThrottledLink {
    /// Opens a link to the proxy's control socket.
    ///
    /// # Errors
    /// The link's own socket can't be bound.
    pub async fn open(proxy: &str, proxy_address: Address, recorder: TrafficRecorder) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Shared { proxy: proxy.into(), proxy_address, next_stall: Mutex::default(), recorder };
        let shared = Arc::new(shared);
        let accept_task = OwnedTask::spawn(shared.clone().accept_loop(listener));
        Ok(ThrottledLink { address, shared, _accept_task: accept_task })
    }

    /// Stalls the next message that is long enough.
    pub fn stall_next(&self, stall: StallPoint) {
        *self.shared.next_stall.lock().unwrap_or_else(PoisonError::into_inner) = Some(stall);
    }
}

impl Shared {
    async fn accept_loop(self: Arc<Self>, listener: TcpListener) {
        let mut connections = JoinSet::new();
        while let Ok((controller, _)) = listener.accept().await {
            connections.spawn(self.clone().serve_connection(controller));
            while connections.try_join_next().is_some() {}
        }
    }

    async fn serve_connection(self: Arc<Self>, controller: TcpStream) {
        let _ = controller.set_nodelay(true);
        let Ok(proxy) = dial(&self.proxy_address).await else { return };
        self.recorder.record(TrafficEvent::ControlStream { proxy: self.proxy.clone(), open: true });
        // However the stream ends, it ends for both.
        let _ = Connection::new(&self).forward(controller, proxy).await;
        self.recorder.record(TrafficEvent::ControlStream { proxy: self.proxy.clone(), open: false });
    }

    /// The stall that is due for a message with so many commands.
    fn take_stall(&self, commands: usize) -> Option<StallPoint> {
        let mut next_stall = self.next_stall.lock().unwrap_or_else(PoisonError::into_inner);
        next_stall.take_if(|stall| match stall {
            StallPoint::Stall { after_commands, .. } | StallPoint::Disconnect { after_commands } => {
                commands > *after_commands
            }
        })
    }

    fn record_stalled(&self, stalled: bool) {
        let proxy = self.proxy.clone();
        self.recorder.record(TrafficEvent::ControlStreamStalled { proxy, stalled });
    }
}

/// A command that was sent and not answered yet.
struct PendingCommand {
    text: String,
    /// For a command that changes something: how many such commands follow it in its message.
    remaining_changes: Option<usize>,
}

/// One control stream through the link.
struct Connection<'a> {
    link: &'a Shared,
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
    fn new(link: &'a Shared) -> Self {
        Connection {
            link,
            pending: VecDeque::new(),
            answered: Vec::new(),
            prepared: None,
            answers: ResponseReader::default(),
            cut: false,
        }
    }

    async fn forward(&mut self, mut controller: TcpStream, mut proxy: Box<dyn Stream>) -> io::Result<()> {
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
        let changing = commands.iter().filter(|command| changes(command)).count();
        if changing > 0 {
            let proxy = self.link.proxy.clone();
            self.link.recorder.record(TrafficEvent::UpdateReceived { proxy, commands: changing });
        }
        let mut remaining = changing;
        for command in &commands {
            let is_change = changes(command);
            remaining -= usize::from(is_change);
            let remaining_changes = is_change.then_some(remaining);
            self.pending.push_back(PendingCommand { text: command.text(), remaining_changes });
        }
        changing
    }

    fn read_answers(&mut self, bytes: &[u8]) {
        self.answers.push(bytes);
        while let Some(answer) = self.answers.next_answer() {
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

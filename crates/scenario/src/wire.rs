//! The tap on a proxy's control socket: pilots dial it, it dials the proxy, and what passes either way
//! is recorded. It can also hold a line in the middle, or break between order and answer.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::BytesMut;
use lockcroft_proxy::changes;
use lockcroft_runtime_api::{Address, ResponseReader, Stream, dial, split};
use lockcroft_testbed::{TrafficEvent, TrafficRecorder};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A proxy answers what it was told within this, once nobody holds it up.
const DRAIN: Duration = Duration::from_secs(1);

/// What happens to the next line with more orders than this.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StallPoint {
    /// It stops in the middle for so long, then goes on.
    Still(usize, Duration),
    /// It is carried out, and the stream breaks before its answer.
    Break(usize),
}

#[derive(Clone)]
pub struct ThrottledLink {
    pub address: SocketAddr,
    name: String,
    to: Address,
    stall: Arc<Mutex<Option<StallPoint>>>,
    tap: TrafficRecorder,
}

impl ThrottledLink {
    /// # Errors
    /// The socket can't be had.
    pub async fn lay(name: &str, to: Address, tap: TrafficRecorder) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let wire = ThrottledLink { address, name: name.into(), to, stall: Arc::default(), tap };
        tokio::spawn(wire.clone().listen(listener));
        Ok(wire)
    }

    pub fn stall(&self, stall: StallPoint) {
        *self.stall.lock().unwrap_or_else(PoisonError::into_inner) = Some(stall);
    }

    async fn listen(self, listener: TcpListener) {
        while let Ok((pilot, _)) = listener.accept().await {
            let wire = self.clone();
            tokio::spawn(async move {
                let _ = pilot.set_nodelay(true);
                let Ok(proxy) = dial(&wire.to).await else { return };
                wire.tap.put(TrafficEvent::Stream { relay: wire.name.clone(), open: true });
                let mut talk = Talk {
                    wire: &wire,
                    asked: VecDeque::new(),
                    set: Vec::new(),
                    prepared: None,
                    answers: ResponseReader::default(),
                    cut: false,
                };
                // However it ends, it ends for both.
                let _ = talk.pass(pilot, proxy).await;
                wire.tap.put(TrafficEvent::Stream { relay: wire.name.clone(), open: false });
            });
        }
    }
}

/// One stream through the wire.
struct Talk<'a> {
    wire: &'a ThrottledLink,
    /// Commands whose answers are still to come, orders with the number of those that come behind them
    /// in their line.
    asked: VecDeque<(String, Option<usize>)>,
    /// Orders of a line that were answered so far.
    set: Vec<(String, String)>,
    /// Orders of a set that is being prepared; they take effect with its commit.
    prepared: Option<Vec<(String, String)>>,
    answers: ResponseReader,
    /// No answer reaches the pilot any more; the stream breaks once all were given.
    cut: bool,
}

impl Talk<'_> {
    async fn pass(&mut self, mut pilot: TcpStream, mut proxy: Box<dyn Stream>) -> io::Result<()> {
        let (mut down, mut up) = (BytesMut::new(), BytesMut::new());
        loop {
            tokio::select! {
                read = pilot.read_buf(&mut down) => {
                    if !matches!(read, Ok(1..)) {
                        return self.drain(&mut proxy).await;
                    }
                    while let Some(end) = down.iter().position(|byte| *byte == b'\n') {
                        let line = down.split_to(end + 1);
                        self.line(&line, &mut proxy).await?;
                    }
                }
                read = proxy.read_buf(&mut up) => {
                    if read? == 0 {
                        return Ok(());
                    }
                    self.answers.push(&up);
                    self.answered();
                    if self.cut {
                        if self.asked.is_empty() {
                            return Ok(());
                        }
                        up.clear();
                        continue;
                    }
                    if pilot.write_all(&up).await.is_err() {
                        return self.drain(&mut proxy).await;
                    }
                    up.clear();
                }
            }
        }
    }

    async fn line(&mut self, line: &[u8], proxy: &mut Box<dyn Stream>) -> io::Result<()> {
        let commands = split(String::from_utf8_lossy(line).trim_end());
        let orders = commands.iter().filter(|command| changes(command)).count();
        let relay = || self.wire.name.clone();
        if orders > 0 {
            self.wire.tap.put(TrafficEvent::Line { relay: relay(), commands: orders });
        }
        let mut left = orders;
        for command in &commands {
            let order = changes(command);
            left -= usize::from(order);
            self.asked.push_back((command.text(), order.then_some(left)));
        }
        let stall = {
            let mut stall = self.wire.stall.lock().unwrap_or_else(PoisonError::into_inner);
            stall.take_if(|stall| match stall {
                StallPoint::Still(after, _) | StallPoint::Break(after) => orders > *after,
            })
        };
        match stall {
            Some(StallPoint::Still(_, time)) => {
                let half = line.len() / 2;
                proxy.write_all(&line[..half]).await?;
                self.wire.tap.put(TrafficEvent::Stalled { relay: relay(), on: true });
                tokio::time::sleep(time).await;
                self.wire.tap.put(TrafficEvent::Stalled { relay: relay(), on: false });
                proxy.write_all(&line[half..]).await
            }
            Some(StallPoint::Break(_)) => {
                self.cut = true;
                proxy.write_all(line).await
            }
            None => proxy.write_all(line).await,
        }
    }

    fn answered(&mut self) {
        while let Some(answer) = self.answers.next_answer() {
            let Some((command, left)) = self.asked.pop_front() else { return };
            let Some(left) = left else { continue };
            let answer = answer.trim().to_string();
            if command == "prepare map tables" {
                self.prepared = answer.starts_with("New version").then(Vec::new);
                continue;
            }
            if command.starts_with("commit map") && command.ends_with(" tables") {
                let done = answer.is_empty();
                self.set.extend(self.prepared.take().into_iter().flatten().filter(|_| done));
            } else if let Some(prepared) = &mut self.prepared {
                prepared.push((command, answer));
                continue;
            } else {
                self.set.push((command, answer));
            }
            if left == 0 && !self.set.is_empty() {
                let (relay, orders) = (self.wire.name.clone(), std::mem::take(&mut self.set));
                self.wire.tap.put(TrafficEvent::Set { relay, orders });
            }
        }
    }

    /// The pilot is gone; what the proxy was told it still carries out, and its answers are heard.
    async fn drain(&mut self, proxy: &mut Box<dyn Stream>) -> io::Result<()> {
        let mut up = BytesMut::new();
        while !self.asked.is_empty() {
            let read = tokio::time::timeout(DRAIN, proxy.read_buf(&mut up)).await;
            if !matches!(read, Ok(Ok(1..))) {
                break;
            }
            self.answers.push(&up);
            up.clear();
            self.answered();
        }
        Ok(())
    }
}

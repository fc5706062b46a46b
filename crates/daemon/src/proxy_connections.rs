//! Connections to proxies: one task for each proxy connects, writes and reads as the controller says.

use std::io;
use std::time::Duration;

use bytes::BytesMut;
use lockcroft::ProxyId;
use lockcroft_runtime_api::{Address, MAX_RESPONSE_BYTES, ResponseReader, Stream, connect};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::error::ConnectionError;
use crate::event::{Event, EventSender};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

enum Request {
    Connect { connection: u64, after: Duration },
    Write { connection: u64, text: String },
    Close,
}

/// The inbox of one proxy's task. What waits in it is bounded by the proxy's ledger, which has one message and one
/// question on the way at a time.
pub struct ProxyConnection(mpsc::UnboundedSender<Request>);

impl ProxyConnection {
    /// Makes the task; it waits for the first [`ProxyConnection::connect`].
    pub fn spawn(proxy: ProxyId, address: Address, events: EventSender, tasks: &mut JoinSet<()>) -> Self {
        let (sender, inbox) = mpsc::unbounded_channel();
        tasks.spawn_local(ConnectionTask { proxy, address, events, inbox }.run());
        ProxyConnection(sender)
    }

    // A task ends only with the daemon, so nobody misses what can't be sent any more.

    pub fn connect(&self, connection: u64, after: Duration) {
        let _ = self.0.send(Request::Connect { connection, after });
    }

    pub fn write(&self, connection: u64, text: String) {
        let _ = self.0.send(Request::Write { connection, text });
    }

    pub fn close(&self) {
        let _ = self.0.send(Request::Close);
    }
}

struct ConnectionTask {
    proxy: ProxyId,
    address: Address,
    events: EventSender,
    inbox: mpsc::UnboundedReceiver<Request>,
}

impl ConnectionTask {
    async fn run(mut self) {
        while let Some(request) = self.inbox.recv().await {
            let Request::Connect { connection, after } = request else { continue };
            sleep(after).await;
            if let Err(reason) = self.connect_and_talk(connection).await {
                let proxy = self.proxy;
                let _ = self.events.send(Event::Disconnected { proxy, connection, reason }).await;
            }
        }
    }

    /// Ends well once the controller has given the connection up.
    async fn connect_and_talk(&mut self, connection: u64) -> Result<(), ConnectionError> {
        let attempt = timeout(CONNECT_TIMEOUT, connect(&self.address)).await;
        let socket = attempt
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
            .map_err(ConnectionError::Connect)?;
        let _ = self.events.send(Event::Connected { proxy: self.proxy, connection }).await;
        self.talk(connection, socket).await
    }

    async fn talk(&mut self, connection: u64, mut socket: Box<dyn Stream>) -> Result<(), ConnectionError> {
        let mut responses = ResponseReader::default();
        let mut out = BytesMut::new();
        let (mut reader, mut writer) = tokio::io::split(&mut socket);
        loop {
            tokio::select! {
                request = self.inbox.recv() => match request {
                    Some(Request::Write { connection: meant_for, text }) => {
                        if meant_for == connection {
                            out.extend_from_slice(text.as_bytes());
                        }
                    }
                    Some(Request::Connect { .. }) => {}
                    Some(Request::Close) | None => return Ok(()),
                },
                written = writer.write_buf(&mut out), if !out.is_empty() => {
                    written.map_err(ConnectionError::Write)?;
                }
                read = reader.read_buf(responses.buffer()) => {
                    if read.map_err(ConnectionError::Read)? == 0 {
                        return Err(ConnectionError::ClosedByProxy);
                    }
                    if !self.report_responses(connection, &mut responses).await {
                        return Ok(());
                    }
                    if responses.pending_len() > MAX_RESPONSE_BYTES {
                        return Err(ConnectionError::ResponseTooLong);
                    }
                }
            }
        }
    }

    /// Hands on the responses that are complete. Returns whether anybody still takes them.
    async fn report_responses(&self, connection: u64, reader: &mut ResponseReader) -> bool {
        let responses: Vec<String> = std::iter::from_fn(|| reader.next_response()).collect();
        if responses.is_empty() {
            return true;
        }
        let event = Event::ResponsesReceived { proxy: self.proxy, connection, responses };
        self.events.send(event).await.is_ok()
    }
}

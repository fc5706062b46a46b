//! Connections to proxies. A task per proxy connects, writes commands and reads responses as the controller requests.

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

/// A request of the controller to the task of a proxy.
enum ConnectionRequest {
    Connect { connection: u64, after: Duration },
    Write { connection: u64, text: String },
    Close,
}

/// The channel to the task of one proxy. The channel itself is unbounded, but the fleet controller keeps at most one
/// update message and one request for state or counters in flight per proxy.
pub struct ProxyConnection(mpsc::UnboundedSender<ConnectionRequest>);

impl ProxyConnection {
    /// Spawns the task, which waits for the first [`ProxyConnection::connect`].
    pub fn spawn(proxy: ProxyId, address: Address, events: EventSender, tasks: &mut JoinSet<()>) -> Self {
        let (sender, requests) = mpsc::unbounded_channel();
        tasks.spawn_local(ConnectionTask { proxy, address, events, requests }.run());
        ProxyConnection(sender)
    }

    // The methods below ignore errors of sending: the task ends only at shutdown.

    /// Connects after a delay. `connection` is the number that the events of this connection carry. Ignored while a
    /// connection is open.
    pub fn connect(&self, connection: u64, after: Duration) {
        let _ = self.0.send(ConnectionRequest::Connect { connection, after });
    }

    /// Writes commands if the given connection is the open one, and drops them otherwise.
    pub fn write(&self, connection: u64, text: String) {
        let _ = self.0.send(ConnectionRequest::Write { connection, text });
    }

    /// Closes the open connection without an event.
    pub fn close(&self) {
        let _ = self.0.send(ConnectionRequest::Close);
    }
}

struct ConnectionTask {
    proxy: ProxyId,
    address: Address,
    events: EventSender,
    requests: mpsc::UnboundedReceiver<ConnectionRequest>,
}

impl ConnectionTask {
    async fn run(mut self) {
        while let Some(request) = self.requests.recv().await {
            let ConnectionRequest::Connect { connection, after } = request else { continue };
            sleep(after).await;
            if let Err(reason) = self.run_connection(connection).await {
                let proxy = self.proxy;
                let _ = self.events.send(Event::Disconnected { proxy, connection, reason }).await;
            }
        }
    }

    /// Connects, and returns `Ok` once the controller has closed the connection.
    async fn run_connection(&mut self, connection: u64) -> Result<(), ConnectionError> {
        let connected = timeout(CONNECT_TIMEOUT, connect(&self.address)).await;
        let stream = connected
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
            .map_err(ConnectionError::Connect)?;
        let _ = self.events.send(Event::Connected { proxy: self.proxy, connection }).await;
        self.exchange_messages(connection, stream).await
    }

    async fn exchange_messages(
        &mut self,
        connection: u64,
        mut stream: Box<dyn Stream>,
    ) -> Result<(), ConnectionError> {
        let mut responses = ResponseReader::default();
        let mut out = BytesMut::new();
        let (mut reader, mut writer) = tokio::io::split(&mut stream);
        loop {
            tokio::select! {
                request = self.requests.recv() => match request {
                    Some(ConnectionRequest::Write { connection: target, text }) => {
                        if target == connection {
                            out.extend_from_slice(text.as_bytes());
                        }
                    }
                    Some(ConnectionRequest::Connect { .. }) => {}
                    Some(ConnectionRequest::Close) | None => return Ok(()),
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

    /// Sends the complete responses to the event loop. Returns false if the event channel is closed.
    async fn report_responses(&self, connection: u64, reader: &mut ResponseReader) -> bool {
        let responses: Vec<String> = std::iter::from_fn(|| reader.next_response()).collect();
        if responses.is_empty() {
            return true;
        }
        let event = Event::ResponsesReceived { proxy: self.proxy, connection, responses };
        self.events.send(event).await.is_ok()
    }
}

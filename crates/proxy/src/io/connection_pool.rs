//! Connections to endpoints. They are kept open between requests and reused; a new one is opened if none is
//! idle.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::bodies::Body;

/// An open connection to an endpoint.
pub type Connection = SendRequest<Body>;

/// The maximum size of the HTTP library's buffer for one direction of a connection, and so of a head.
pub const MAX_CONNECTION_BUFFER_BYTES: usize = 1 << 15;

const MAX_IDLE_PER_ENDPOINT: usize = 512;

struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
}

impl IdleConnection {
    fn is_usable(&self, idle_timeout: Duration) -> bool {
        !self.connection.is_closed() && self.idle_since.elapsed() < idle_timeout
    }
}

/// The idle connections, by endpoint address.
pub struct ConnectionPool {
    idle: HashMap<SocketAddr, Vec<IdleConnection>>,
    idle_timeout: Duration,
}

impl ConnectionPool {
    pub fn new(idle_timeout: Duration) -> Self {
        ConnectionPool { idle: HashMap::new(), idle_timeout }
    }

    /// Removes and returns the most recently used idle connection to an endpoint that is still open, within the
    /// idle timeout and ready: one whose endpoint answered before the end of a request still waits for that.
    pub fn take(&mut self, address: SocketAddr) -> Option<Connection> {
        let idle = self.idle.get_mut(&address)?;
        idle.retain(|candidate| candidate.is_usable(self.idle_timeout));
        let ready = idle.iter().rposition(|candidate| candidate.connection.is_ready())?;
        Some(idle.remove(ready).connection)
    }

    /// Adds a connection whose last response was received completely. Drops it if it is closed, or if the
    /// pool is full for this endpoint.
    pub fn put(&mut self, address: SocketAddr, connection: Connection) {
        let idle = self.idle.entry(address).or_default();
        if idle.len() < MAX_IDLE_PER_ENDPOINT && !connection.is_closed() {
            idle.push(IdleConnection { connection, idle_since: Instant::now() });
        }
    }

    /// Closes connections that exceeded the idle timeout, including those to endpoints that are in no table
    /// any more.
    pub fn close_idle(&mut self) {
        self.idle.retain(|_, idle| {
            idle.retain(|candidate| candidate.is_usable(self.idle_timeout));
            !idle.is_empty()
        });
    }
}

/// Opens a connection. Returns `None` if it fails or takes longer than `connect_timeout`.
pub async fn connect(address: SocketAddr, connect_timeout: Duration) -> Option<Connection> {
    let stream = timeout(connect_timeout, TcpStream::connect(address)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let mut http = Builder::new();
    http.max_buf_size(MAX_CONNECTION_BUFFER_BYTES);
    let (connection, driver) = http.handshake(TokioIo::new(stream)).await.ok()?;
    // The driver task ends when the last handle of the connection is dropped.
    spawn_local(driver);
    Some(connection)
}

/// The result of sending a request, up to the head of the response.
pub enum SendResult {
    /// The head of the response was received; the body is still read from the connection.
    Response(Response<Incoming>, Connection),
    /// No byte of the request was written. Contains the request, which can be sent over another connection.
    NotSent(Request<Body>),
    /// The connection broke after at least part of the request was written.
    ConnectionBroken,
}

/// Sends a request and waits for the head of the response. Returns the request in [`SendResult::NotSent`] if
/// the connection turns out to be closed before a byte was written.
pub async fn send(mut connection: Connection, request: Request<Body>) -> SendResult {
    if connection.ready().await.is_err() {
        return SendResult::NotSent(request);
    }
    match connection.try_send_request(request).await {
        Ok(response) => SendResult::Response(response, connection),
        Err(mut error) => match error.take_message() {
            Some(request) => SendResult::NotSent(request),
            None => SendResult::ConnectionBroken,
        },
    }
}

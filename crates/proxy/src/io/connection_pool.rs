//! Connections to endpoints: kept open between requests, made anew where none is idle.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::bodies::Body;

/// An open connection to an endpoint.
pub type Connection = SendRequest<Body>;

const MAX_IDLE_PER_ENDPOINT: usize = 512;

struct IdleConnection {
    connection: Connection,
    since: Instant,
}

impl IdleConnection {
    fn is_usable(&self, timeout: Duration) -> bool {
        !self.connection.is_closed() && self.since.elapsed() < timeout
    }
}

/// Idle connections by endpoint.
pub struct ConnectionPool {
    idle: HashMap<SocketAddr, Vec<IdleConnection>>,
    idle_timeout: Duration,
}

impl ConnectionPool {
    pub fn new(idle_timeout: Duration) -> Self {
        ConnectionPool { idle: HashMap::new(), idle_timeout }
    }

    /// The connection that was used last, if one is still open.
    pub fn take(&mut self, address: SocketAddr) -> Option<Connection> {
        let idle = self.idle.get_mut(&address)?;
        while let Some(candidate) = idle.pop() {
            if candidate.is_usable(self.idle_timeout) {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Keeps a connection whose last response is complete.
    pub fn put(&mut self, address: SocketAddr, connection: Connection) {
        let idle = self.idle.entry(address).or_default();
        if idle.len() < MAX_IDLE_PER_ENDPOINT && !connection.is_closed() {
            idle.push(IdleConnection { connection, since: Instant::now() });
        }
    }

    /// Closes connections that were idle for too long, also those to endpoints that no table holds any more.
    pub fn close_idle(&mut self) {
        self.idle.retain(|_, idle| {
            idle.retain(|candidate| candidate.is_usable(self.idle_timeout));
            !idle.is_empty()
        });
    }
}

/// Opens a connection; `None` if none is established in time.
pub async fn connect(address: SocketAddr, connect_timeout: Duration) -> Option<Connection> {
    let stream = timeout(connect_timeout, TcpStream::connect(address)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let (connection, driver) = handshake(TokioIo::new(stream)).await.ok()?;
    // The driver ends with the connection's last handle.
    spawn_local(driver);
    Some(connection)
}

/// What came of sending a request, before the body of its response.
pub enum SendResult {
    /// The head of the response, and the connection for its body.
    Response(Response<Incoming>, Connection),
    /// No byte of the request was written; here it is again.
    NotSent(Request<Body>),
    /// The request was written, at least in part, and the connection broke.
    Broken,
}

/// Sends a request and waits for the head of the response. A connection that turns out to be closed before a
/// byte was written gives the request back.
pub async fn send(mut connection: Connection, request: Request<Body>) -> SendResult {
    if connection.ready().await.is_err() {
        return SendResult::NotSent(request);
    }
    match connection.try_send_request(request).await {
        Ok(response) => SendResult::Response(response, connection),
        Err(mut error) => match error.take_message() {
            Some(request) => SendResult::NotSent(request),
            None => SendResult::Broken,
        },
    }
}

//! Connections to endpoints: kept for the next visit, made anew where none is free.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// What goes to endpoints: kept bodies, or ones that pass through.
pub type Body = UnsyncBoxBody<Bytes, hyper::Error>;

pub type Sender = SendRequest<Body>;

/// So many are kept for an endpoint.
const KEPT: usize = 512;

/// How a visit fared at an endpoint, before its answer's body.
pub enum Sent {
    Answered(Response<Incoming>, Sender),
    /// No byte of it was written; it comes back where it was taken at all.
    Unsent,
    /// It was written, at least in part, and the connection broke.
    Broken,
}

pub struct Pool {
    idle: HashMap<SocketAddr, Vec<(Sender, Instant)>>,
    /// A connection that was not used for so long is closed.
    most: Duration,
}

impl Pool {
    pub fn new(most: Duration) -> Self {
        Pool { idle: HashMap::new(), most }
    }

    /// The connection that was used last, if one is still open.
    pub fn take(&mut self, to: SocketAddr) -> Option<Sender> {
        let idle = self.idle.get_mut(&to)?;
        while let Some((sender, since)) = idle.pop() {
            if !sender.is_closed() && since.elapsed() < self.most {
                return Some(sender);
            }
        }
        None
    }

    pub fn give(&mut self, to: SocketAddr, sender: Sender) {
        let idle = self.idle.entry(to).or_default();
        if idle.len() < KEPT && !sender.is_closed() {
            idle.push((sender, Instant::now()));
        }
    }

    /// Connections that are not used any more go, also to endpoints that no table holds.
    pub fn tidy(&mut self) {
        self.idle.retain(|_, idle| {
            idle.retain(|(sender, since)| !sender.is_closed() && since.elapsed() < self.most);
            !idle.is_empty()
        });
    }
}

/// A new connection; `None` if none comes about in time.
pub async fn dial(to: SocketAddr, within: Duration) -> Option<Sender> {
    let stream = timeout(within, TcpStream::connect(to)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(connection);
    Some(sender)
}

/// Sends a visit and waits for the head of its answer. A kept connection that turns out to be closed
/// before a byte was written gives the visit back.
pub async fn send(mut sender: Sender, visit: Request<Body>) -> (Sent, Option<Request<Body>>) {
    if sender.ready().await.is_err() {
        return (Sent::Unsent, Some(visit));
    }
    match sender.try_send_request(visit).await {
        Ok(answer) => (Sent::Answered(answer, sender), None),
        Err(mut error) => match error.take_message() {
            Some(visit) => (Sent::Unsent, Some(visit)),
            None => (Sent::Broken, None),
        },
    }
}

//! HTTP calls over a connection of the caller's own, so that a listener that is gone shows and no pool hides
//! what a connection went through. Time limits are the caller's: a call that is dropped ends its connection.

use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::header::{CONNECTION, HOST};
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, spawn_local};

/// Why a call got no answer.
#[derive(Debug)]
pub enum Fault {
    /// Nothing listens there, or the connection broke before the head of an answer.
    Broken(String),
    /// The head came and the rest did not, or it is longer than allowed.
    Cut(String),
}

impl fmt::Display for Fault {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Fault::Broken(why) => write!(out, "the connection broke: {why}"),
            Fault::Cut(why) => write!(out, "the answer is cut off: {why}"),
        }
    }
}

pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// A connection for one call after the other.
pub struct Line {
    address: SocketAddr,
    sender: SendRequest<Empty<Bytes>>,
    connection: JoinHandle<hyper::Result<()>>,
}

impl Line {
    /// # Errors
    /// The connection can't be made.
    pub async fn open(address: SocketAddr) -> Result<Self, Fault> {
        let broken = |e: &dyn fmt::Display| Fault::Broken(e.to_string());
        let stream = TcpStream::connect(address).await.map_err(|e| broken(&e))?;
        let _ = stream.set_nodelay(true);
        let made = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = made.map_err(|e| broken(&e))?;
        Ok(Line { address, sender, connection: spawn_local(connection) })
    }

    async fn head(&mut self, path: &str, last: bool) -> Result<Response<Incoming>, Fault> {
        let broken = |e: &dyn fmt::Display| Fault::Broken(e.to_string());
        self.sender.ready().await.map_err(|e| broken(&e))?;
        let mut call = Request::get(path).header(HOST, self.address.to_string());
        if last {
            call = call.header(CONNECTION, "close");
        }
        let call = call.body(Empty::<Bytes>::new()).map_err(|e| broken(&e))?;
        self.sender.send_request(call).await.map_err(|e| broken(&e))
    }

    /// Calls and reads an answer of at most so many bytes; after the last call the other end may close.
    ///
    /// # Errors
    /// The connection breaks, or the answer is longer.
    pub async fn get(&mut self, path: &str, last: bool, most: usize) -> Result<Answer, Fault> {
        let (head, body) = self.head(path, last).await?.into_parts();
        let body = Limited::new(body, most).collect().await.map_err(|e| Fault::Cut(e.to_string()))?;
        Ok(Answer { status: head.status, headers: head.headers, body: body.to_bytes() })
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        self.connection.abort();
    }
}

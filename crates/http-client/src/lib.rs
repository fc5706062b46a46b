//! HTTP calls over a connection of the caller's own, so that a listener that is gone shows and no pool hides
//! what a connection went through. Time limits are the caller's: a call that is dropped ends its connection.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::SendRequest;
use hyper::header::{CONNECTION, HOST};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::TokioIo;
use lockcroft::HEALTH_CHECK_TIMEOUT;
use lockcroft::HealthCheckOutcome;
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::timeout;

/// Why a call got no answer.
#[derive(Debug)]
pub enum CallError {
    /// Nothing listens there, or the connection broke before the head of an answer.
    Broken(String),
    /// The head came and the rest did not, or it is longer than allowed.
    Cut(String),
}

impl CallError {
    fn broken(why: impl fmt::Display) -> Self {
        CallError::Broken(why.to_string())
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            CallError::Broken(why) => write!(out, "the connection broke: {why}"),
            CallError::Cut(why) => write!(out, "the answer is cut off: {why}"),
        }
    }
}

pub struct HttpResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// A connection for one call after the other.
pub struct HttpConnection {
    address: SocketAddr,
    sender: SendRequest<Empty<Bytes>>,
    connection: JoinHandle<hyper::Result<()>>,
}

impl HttpConnection {
    /// # Errors
    /// The connection can't be made.
    pub async fn open(address: SocketAddr) -> Result<Self, CallError> {
        let stream = TcpStream::connect(address).await.map_err(CallError::broken)?;
        let _ = stream.set_nodelay(true);
        let made = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = made.map_err(CallError::broken)?;
        Ok(HttpConnection { address, sender, connection: spawn_local(connection) })
    }

    /// Calls and reads an answer of at most so many bytes; after the last call the other end may close.
    ///
    /// # Errors
    /// The connection breaks, or the answer is longer.
    pub async fn get(&mut self, path: &str, last: bool, most: usize) -> Result<HttpResponse, CallError> {
        self.sender.ready().await.map_err(CallError::broken)?;
        let mut call = Request::get(path).header(HOST, self.address.to_string());
        if last {
            call = call.header(CONNECTION, "close");
        }
        let call = call.body(Empty::<Bytes>::new()).map_err(CallError::broken)?;
        let answer = self.sender.send_request(call).await.map_err(CallError::broken)?;
        let (head, body) = answer.into_parts();
        let body = Limited::new(body, most).collect().await.map_err(|e| CallError::Cut(e.to_string()))?;
        Ok(HttpResponse { status: head.status, headers: head.headers, body: body.to_bytes() })
    }
}

/// What the status of an answer tells of a server; `load` is what it told beside it. One that answers that
/// it has no room says nothing of its health, as it may just be asked by too many.
pub fn outcome_of_status(status: StatusCode, load: Option<f64>) -> HealthCheckOutcome {
    match status {
        status if status.is_success() => HealthCheckOutcome::Passed(load),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => HealthCheckOutcome::Rejected,
        _ => HealthCheckOutcome::Failed,
    }
}

/// Looks at a server, over a connection of its own so that a listener that is gone shows, and says how long
/// it took. `read` tells what an answer of at most so many bytes means.
pub async fn check_health(
    address: SocketAddr,
    path: &str,
    most: usize,
    read: impl FnOnce(&HttpResponse) -> HealthCheckOutcome,
) -> (HealthCheckOutcome, Duration) {
    let sent = Instant::now();
    let call = async { HttpConnection::open(address).await?.get(path, true, most).await };
    let outcome = match timeout(HEALTH_CHECK_TIMEOUT, call).await {
        Ok(Ok(answer)) => read(&answer),
        Ok(Err(CallError::Broken(_))) => HealthCheckOutcome::Refused,
        Ok(Err(CallError::Cut(_))) | Err(_) => HealthCheckOutcome::Failed,
    };
    (outcome, sent.elapsed())
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.connection.abort();
    }
}

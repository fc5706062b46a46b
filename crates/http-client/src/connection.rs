//! An HTTP/1.1 connection that carries one request at a time.

use std::error::Error as StdError;
use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{CONNECTION, HOST};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, spawn_local};

/// An error of a call that did not yield a complete response.
#[derive(Debug, Error)]
pub enum CallError {
    /// The connection could not be established.
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    /// The connection failed before the head of the response was received.
    #[error("connection failed before a response: {0}")]
    ConnectionBroken(#[source] hyper::Error),
    /// The path is not valid in a request.
    #[error("invalid request: {0}")]
    InvalidRequest(#[source] hyper::http::Error),
    /// The body of the response is incomplete or longer than allowed.
    #[error("response body is truncated or too long: {0}")]
    ResponseTruncated(#[source] Box<dyn StdError + Send + Sync>),
}

/// A complete response.
pub struct HttpResponse {
    /// The status of the response.
    pub status: StatusCode,
    /// The headers of the response.
    pub headers: HeaderMap,
    /// The body, no longer than the limit of the call.
    pub body: Bytes,
}

/// An HTTP/1.1 connection for sequential calls. Dropping it closes the connection.
pub struct HttpConnection {
    address: SocketAddr,
    sender: SendRequest<Empty<Bytes>>,
    /// The task that drives the connection; aborted when this value is dropped.
    driver: JoinHandle<hyper::Result<()>>,
}

/// The handling of the connection after a call.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AfterCall {
    KeepOpen,
    Close,
}

impl HttpConnection {
    /// Connects to an address, without a timeout. Dropping the future cancels the attempt.
    ///
    /// # Errors
    /// Returns an error if the connection can't be established.
    ///
    /// # Panics
    /// Panics outside of a [`tokio::task::LocalSet`].
    pub async fn open(address: SocketAddr) -> Result<Self, CallError> {
        let stream = TcpStream::connect(address).await.map_err(CallError::Connect)?;
        // A failure is ignored, as the option only reduces latency.
        let _ = stream.set_nodelay(true);
        let (sender, driver) = handshake(TokioIo::new(stream)).await.map_err(CallError::ConnectionBroken)?;
        Ok(HttpConnection { address, sender, driver: spawn_local(driver) })
    }

    /// Sends `GET path` and reads a response with a body of at most `max_body_bytes`.
    ///
    /// # Errors
    /// Returns an error if the connection fails, the path is invalid or the body is longer.
    pub async fn get(&mut self, path: &str, max_body_bytes: usize) -> Result<HttpResponse, CallError> {
        self.call(path, AfterCall::KeepOpen, max_body_bytes).await
    }

    /// Sends a request like [`HttpConnection::get`] with `connection: close`, and closes the connection after the
    /// response.
    ///
    /// # Errors
    /// Returns an error if the connection fails, the path is invalid or the body is longer.
    pub async fn get_and_close(
        mut self,
        path: &str,
        max_body_bytes: usize,
    ) -> Result<HttpResponse, CallError> {
        self.call(path, AfterCall::Close, max_body_bytes).await
    }

    async fn call(
        &mut self,
        path: &str,
        after_call: AfterCall,
        max_body_bytes: usize,
    ) -> Result<HttpResponse, CallError> {
        self.sender.ready().await.map_err(CallError::ConnectionBroken)?;
        let mut request = Request::get(path).header(HOST, self.address.to_string());
        if after_call == AfterCall::Close {
            request = request.header(CONNECTION, "close");
        }
        let request = request.body(Empty::<Bytes>::new()).map_err(CallError::InvalidRequest)?;
        let response = self.sender.send_request(request).await.map_err(CallError::ConnectionBroken)?;
        let (head, body) = response.into_parts();
        let body =
            Limited::new(body, max_body_bytes).collect().await.map_err(CallError::ResponseTruncated)?;
        Ok(HttpResponse { status: head.status, headers: head.headers, body: body.to_bytes() })
    }
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

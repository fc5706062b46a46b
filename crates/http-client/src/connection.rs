//! One HTTP/1.1 connection and the calls on it, one after the other.

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

/// Why a call got no response.
#[derive(Debug, Error)]
pub enum CallError {
    /// Nothing listens there.
    #[error("the connection broke: {0}")]
    Connect(#[source] io::Error),
    /// The connection broke before the head of a response.
    #[error("the connection broke: {0}")]
    ConnectionBroken(#[source] hyper::Error),
    /// The path can't be requested.
    #[error("the connection broke: {0}")]
    InvalidRequest(#[source] hyper::http::Error),
    /// The head of the response came and the rest did not, or it is longer than allowed.
    #[error("the answer is cut off: {0}")]
    ResponseTruncated(#[source] Box<dyn StdError + Send + Sync>),
}

/// A whole response.
pub struct HttpResponse {
    /// The status of the response.
    pub status: StatusCode,
    /// The headers of the response.
    pub headers: HeaderMap,
    /// The whole body, within the limit that the caller gave.
    pub body: Bytes,
}

/// A connection for one call after the other. Dropping it closes it.
pub struct HttpConnection {
    address: SocketAddr,
    sender: SendRequest<Empty<Bytes>>,
    /// Drives the connection; aborted when this value is dropped.
    driver: JoinHandle<hyper::Result<()>>,
}

/// What the other end is asked to do with the connection after a call.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AfterCall {
    Stay,
    Close,
}

impl HttpConnection {
    /// Connects. Has to be called within a [`tokio::task::LocalSet`].
    ///
    /// # Errors
    /// The connection can't be made.
    pub async fn open(address: SocketAddr) -> Result<Self, CallError> {
        let stream = TcpStream::connect(address).await.map_err(CallError::Connect)?;
        // The call works without it, only later.
        let _ = stream.set_nodelay(true);
        let (sender, driver) = handshake(TokioIo::new(stream)).await.map_err(CallError::ConnectionBroken)?;
        Ok(HttpConnection { address, sender, driver: spawn_local(driver) })
    }

    /// Sends `GET path` and reads a response with a body of at most `max_body_bytes`.
    ///
    /// # Errors
    /// The connection breaks, or the response is longer.
    pub async fn get(&mut self, path: &str, max_body_bytes: usize) -> Result<HttpResponse, CallError> {
        self.call(path, AfterCall::Stay, max_body_bytes).await
    }

    /// As [`HttpConnection::get`], and asks the other end to close the connection after it.
    ///
    /// # Errors
    /// The connection breaks, or the response is longer.
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
        after: AfterCall,
        max_body_bytes: usize,
    ) -> Result<HttpResponse, CallError> {
        self.sender.ready().await.map_err(CallError::ConnectionBroken)?;
        let mut request = Request::get(path).header(HOST, self.address.to_string());
        if after == AfterCall::Close {
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

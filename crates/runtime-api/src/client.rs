//! A client that sends a single line of commands.

use std::io;
use std::time::Duration;

use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

use crate::address::{Address, connect};
use crate::server::MAX_RESPONSE_BYTES;

/// The reason why a line of commands got no complete response.
#[derive(Debug, Error)]
pub enum RequestError {
    /// The connection could not be established.
    #[error("cannot be reached: {0}")]
    Unreachable(#[source] io::Error),
    /// Reading or writing failed.
    #[error("connection failed before the response was complete: {0}")]
    Broken(#[source] io::Error),
    /// The server did not close the connection within the time limit.
    #[error("timed out before the response was complete")]
    TimedOut,
    /// The response is longer than [`MAX_RESPONSE_BYTES`].
    #[error("received more than {MAX_RESPONSE_BYTES} bytes, the maximum length of a response")]
    TooLong,
}

/// Sends a line of commands on a new connection, and returns everything that the server sends until it closes the
/// connection. `time_limit` covers the whole exchange. Invalid UTF-8 is replaced.
///
/// # Errors
/// The connection could not be established, reading or writing failed, the time limit expired, or the response is too
/// long.
pub async fn request(address: &Address, line: &str, time_limit: Duration) -> Result<String, RequestError> {
    timeout(time_limit, exchange(address, line)).await.unwrap_or(Err(RequestError::TimedOut))
}

async fn exchange(address: &Address, line: &str) -> Result<String, RequestError> {
    let mut stream = connect(address).await.map_err(RequestError::Unreachable)?;
    stream.write_all(format!("{line}\n").as_bytes()).await.map_err(RequestError::Broken)?;
    let mut response = Vec::new();
    while stream.read_buf(&mut response).await.map_err(RequestError::Broken)? > 0 {
        if response.len() > MAX_RESPONSE_BYTES {
            return Err(RequestError::TooLong);
        }
    }
    Ok(String::from_utf8_lossy(&response).into_owned())
}

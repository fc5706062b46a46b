//! A client for one line of commands.

use std::io;
use std::time::Duration;

use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

use crate::address::{Address, connect};
use crate::server::MAX_RESPONSE_BYTES;

/// Why a line of commands got no answer.
#[derive(Debug, Error)]
pub enum RequestError {
    /// The connection can't be made.
    #[error("cannot be reached: {0}")]
    Unreachable(#[source] io::Error),
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Broken(#[source] io::Error),
    /// The answer did not end in time.
    #[error("no whole answer in time")]
    TimedOut,
    /// The answer is longer than [`MAX_RESPONSE_BYTES`].
    #[error("the answer is longer than {MAX_RESPONSE_BYTES} bytes")]
    TooLong,
}

/// Sends one line of commands and reads until the other end closes.
///
/// # Errors
/// The connection can't be made or breaks, or all is not over within the time limit.
pub async fn request(address: &Address, line: &str, time_limit: Duration) -> Result<String, RequestError> {
    timeout(time_limit, exchange(address, line)).await.unwrap_or(Err(RequestError::TimedOut))
}

async fn exchange(address: &Address, line: &str) -> Result<String, RequestError> {
    let mut stream = connect(address).await.map_err(RequestError::Unreachable)?;
    stream.write_all(format!("{line}\n").as_bytes()).await.map_err(RequestError::Broken)?;
    let mut text = Vec::new();
    while stream.read_buf(&mut text).await.map_err(RequestError::Broken)? > 0 {
        if text.len() > MAX_RESPONSE_BYTES {
            return Err(RequestError::TooLong);
        }
    }
    Ok(String::from_utf8_lossy(&text).into_owned())
}

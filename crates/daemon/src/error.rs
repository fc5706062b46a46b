//! Errors that prevent the start of the daemon, and errors that end a connection to a proxy.

use std::io;

use lockcroft_runtime_api::{Address, MAX_RESPONSE_BYTES};
use thiserror::Error;

use crate::logging::LoggingError;

/// An error that prevents the start of the daemon.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// Logging could not be initialized.
    #[error(transparent)]
    Logging(#[from] LoggingError),
    /// A listening socket of the runtime API could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The configured address.
        address: Address,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The keys that seal table files could not be read.
    #[error("failed to read the keys that seal table files: {0}")]
    Keys(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The thread that writes table files could not be spawned.
    #[error("failed to spawn the thread that writes table files: {0}")]
    Thread(#[source] io::Error),
}

/// The reason why a connection attempt failed or a connection ended. `show proxies` shows its text.
#[derive(Debug, Error)]
pub enum ConnectionError {
    #[error("failed to connect: {0}")]
    Connect(#[source] io::Error),
    #[error("failed to write to the connection: {0}")]
    Write(#[source] io::Error),
    #[error("failed to read from the connection: {0}")]
    Read(#[source] io::Error),
    #[error("connection closed by the proxy")]
    ClosedByProxy,
    /// The proxy sent more than [`MAX_RESPONSE_BYTES`] bytes without ending the response.
    #[error("received more than {MAX_RESPONSE_BYTES} bytes without the end of a response")]
    ResponseTooLong,
}

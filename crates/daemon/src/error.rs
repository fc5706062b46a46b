//! Why the daemon does not start, and why a connection to a proxy ends.

use std::io;

use lockcroft_runtime_api::Address;
use thiserror::Error;

use crate::logging::LoggingError;

/// Why the daemon does not start.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// The logs can't be set up.
    #[error(transparent)]
    Logging(#[from] LoggingError),
    /// A socket of the runtime API can't be had.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address that was tried.
        address: Address,
        /// What the operating system says.
        source: io::Error,
    },
    /// The keys of table files can't be read.
    #[error("{0}")]
    Keys(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The thread that writes table files can't be had.
    #[error("{0}")]
    Thread(#[source] io::Error),
}

/// Why a connection could not be made, or broke. The text is the reason that `show proxies` gives.
#[derive(Debug, Error)]
pub enum ConnectionError {
    #[error("cannot be dialled: {0}")]
    Connect(#[source] io::Error),
    #[error("writing: {0}")]
    Write(#[source] io::Error),
    #[error("reading: {0}")]
    Read(#[source] io::Error),
    #[error("closed by the proxy")]
    ClosedByProxy,
    /// The response is longer than any that a proxy gives.
    #[error("an answer without an end")]
    ResponseTooLong,
}

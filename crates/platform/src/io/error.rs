//! Why the controller does not start.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;

use crate::config::ConfigError;

/// Why a configuration file can't be used.
#[derive(Debug, Error)]
pub enum ConfigFileError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// What stands in the file can't be used.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// Why.
        source: ConfigError,
    },
}

/// Why the controller can't serve.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The address to listen on can't be had.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
}

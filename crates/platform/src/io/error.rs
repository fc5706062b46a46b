//! Errors of loading the configuration file and of starting to serve.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;

use crate::config::ConfigError;

/// An error of loading a configuration file.
#[derive(Debug, Error)]
pub enum ConfigFileError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The path of the file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The content of the file is invalid.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The path of the file.
        path: PathBuf,
        /// The error in the content.
        source: ConfigError,
    },
}

/// An error of starting to serve.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The controller can't listen on its address.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
}

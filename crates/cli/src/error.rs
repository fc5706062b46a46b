//! Errors of commands. The text of each error is printed to standard error after `lockcroft: `.

use std::error::Error;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use lockcroft_runtime_api::Address;
use lockcroft_scenario::{ScenarioError, VariantError};
use thiserror::Error;

use crate::snapshot_name::SnapshotName;

/// An error of another crate, whose text is printed unchanged.
pub type BoxedError = Box<dyn Error + Send + Sync>;

/// An error that makes a command fail.
#[derive(Debug, Error)]
pub enum CliError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    #[error(transparent)]
    Variant(#[from] VariantError),
    #[error(transparent)]
    Other(BoxedError),
    #[error("{}: {source}", .path.display())]
    AtPath { path: PathBuf, source: BoxedError },
    #[error("{}: {name}: {source}", .folder.display())]
    Snapshot { folder: PathBuf, name: SnapshotName, source: BoxedError },
    #[error("{}: no current snapshot is valid", .0.display())]
    NoValidSnapshot(PathBuf),
    #[error("{}: contains no persisted state", .0.display())]
    NoState(PathBuf),
    #[error("{}: in use by a controller", .0.display())]
    StateInUse(PathBuf),
    #[error("{address}: {source}")]
    Ask { address: Address, source: BoxedError },
    #[error("--within: {0}")]
    InvalidTimeout(#[source] std::time::TryFromFloatSecsError),
    #[error("neither --config nor LB_CONFIG is set; allowed: the path of the configuration")]
    NoPlatformConfig,
    #[error("unknown way {name:?}; allowed: {known}")]
    UnknownVariant { name: String, known: String },
    #[error("way {0}: its process ended without a summary")]
    VariantFailed(String),
}

impl CliError {
    /// Returns an error that concerns this file or folder.
    pub fn at(path: impl Into<PathBuf>, source: impl Into<BoxedError>) -> Self {
        CliError::AtPath { path: path.into(), source: source.into() }
    }

    /// Returns an error whose text is printed without a prefix.
    pub fn other(source: impl Into<BoxedError>) -> Self {
        CliError::Other(source.into())
    }
}

/// Returns the exit code of a command. Prints the error of a failed command, whose exit code is 1.
pub fn report(result: Result<ExitCode, CliError>) -> ExitCode {
    result.unwrap_or_else(|error| {
        eprintln!("lockcroft: {error}");
        ExitCode::FAILURE
    })
}

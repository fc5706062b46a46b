//! What can go wrong in a command; the text of each error is what the user reads after `lockcroft: `.

use std::error::Error;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use lockcroft_runtime_api::Address;
use lockcroft_scenario::{ScenarioError, VariantError};
use thiserror::Error;

use crate::snapshot_name::SnapshotName;

/// An error of another crate, whose text is shown as it stands.
pub type BoxedError = Box<dyn Error + Send + Sync>;

/// Why a command was not done.
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
    #[error("{}: no sound generation is current", .0.display())]
    NoSoundSnapshot(PathBuf),
    #[error("{}: no memory", .0.display())]
    NoState(PathBuf),
    #[error("{}: a pilot holds it", .0.display())]
    StateInUse(PathBuf),
    #[error("{address} {source}")]
    Ask { address: Address, source: BoxedError },
    #[error("--within: {0}")]
    InvalidTimeout(#[source] std::time::TryFromFloatSecsError),
    #[error("LB_CONFIG: not set, nor --config; allowed: the path of the configuration")]
    NoPlatformConfig,
    #[error("no way {name:?}; there are {known}")]
    UnknownVariant { name: String, known: String },
    #[error("{0}: it did not end")]
    VariantFailed(String),
}

impl CliError {
    /// An error that concerns this file or folder.
    pub fn at(path: impl Into<PathBuf>, source: impl Into<BoxedError>) -> Self {
        CliError::AtPath { path: path.into(), source: source.into() }
    }

    /// An error whose text needs nothing added.
    pub fn other(source: impl Into<BoxedError>) -> Self {
        CliError::Other(source.into())
    }
}

/// Tells the user of a failed command; the exit code is 1 then.
pub fn report(result: Result<ExitCode, CliError>) -> ExitCode {
    result.unwrap_or_else(|error| {
        eprintln!("lockcroft: {error}");
        ExitCode::FAILURE
    })
}

//! The name of a snapshot on the command line, such as `e7g41`: epoch 7, version 41.

use std::fmt;
use std::str::FromStr;

use lockcroft_table_store::{Epoch, Version};
use thiserror::Error;

/// The writer epoch of a snapshot and its version within the epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotName {
    pub epoch: Epoch,
    pub version: Version,
}

/// An error for a text that is not the name of a snapshot.
#[derive(Debug, Error)]
#[error("{0:?} is not a snapshot name; allowed: an epoch and a version such as e7g41")]
pub struct ParseSnapshotNameError(String);

impl FromStr for SnapshotName {
    type Err = ParseSnapshotNameError;

    fn from_str(text: &str) -> Result<Self, ParseSnapshotNameError> {
        let parts = text.strip_prefix('e').and_then(|rest| rest.split_once('g'));
        let name = parts.and_then(|(epoch, version)| {
            Some(SnapshotName { epoch: epoch.parse().ok()?, version: version.parse().ok()? })
        });
        name.ok_or_else(|| ParseSnapshotNameError(text.into()))
    }
}

impl fmt::Display for SnapshotName {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "e{}g{}", self.epoch, self.version)
    }
}

//! The name of a snapshot in a folder of table files, as users write it: `e7g41`.

use std::fmt;
use std::str::FromStr;

use lockcroft_table_store::{Epoch, Version};
use thiserror::Error;

/// A snapshot's writer epoch and its version within it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotName {
    pub epoch: Epoch,
    pub version: Version,
}

/// A text that is no snapshot's name.
#[derive(Debug, Error)]
#[error("{0:?} is no generation; e7g41 is one")]
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

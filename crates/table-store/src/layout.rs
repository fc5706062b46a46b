//! Names of the directories and files of the store.

use std::io;
use std::path::{Path, PathBuf};

/// Fencing token of a writer. Each new writer acquires a higher epoch, which fences all earlier writers.
pub type Epoch = u64;
/// Version of a snapshot within its epoch, starting at 1.
pub type Version = u64;

/// Identifies a snapshot. Identifiers are ordered by epoch, then by version, so a newer snapshot compares as greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SnapshotId {
    /// Epoch of the writer.
    pub epoch: Epoch,
    /// Version of the snapshot within its epoch.
    pub version: Version,
}

impl From<(Epoch, Version)> for SnapshotId {
    fn from((epoch, version): (Epoch, Version)) -> Self {
        SnapshotId { epoch, version }
    }
}

/// Prefix of the name of an epoch's directory.
const EPOCH_PREFIX: char = 'e';
/// Prefix of the name of a snapshot's directory.
const SNAPSHOT_PREFIX: char = 'g';

/// The paths within the directory of a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreLayout {
    directory: PathBuf,
}

impl StoreLayout {
    /// Returns the layout of the store in this directory. Does not access the file system.
    #[must_use]
    pub fn new(directory: &Path) -> Self {
        StoreLayout { directory: directory.into() }
    }

    /// Returns the directory of an epoch.
    #[must_use]
    pub fn epoch_directory(&self, epoch: Epoch) -> PathBuf {
        self.directory.join(format!("{EPOCH_PREFIX}{epoch}"))
    }

    /// Returns the directory of a snapshot.
    #[must_use]
    pub fn snapshot(&self, id: SnapshotId) -> PathBuf {
        self.epoch_directory(id.epoch).join(snapshot_name(id.version))
    }

    /// Returns the path of the symbolic link to the current snapshot of an epoch.
    #[must_use]
    pub fn current_link(&self, epoch: Epoch) -> PathBuf {
        self.epoch_directory(epoch).join("current")
    }

    /// Returns the directory that contains the status files of the proxies.
    #[must_use]
    pub fn status_directory(&self) -> PathBuf {
        self.directory.join("status")
    }

    /// Lists all epochs that exist in the directory, the highest first.
    ///
    /// # Errors
    /// Fails if the directory can't be read.
    pub fn epochs(&self) -> io::Result<Vec<Epoch>> {
        numbered_entries(&self.directory, EPOCH_PREFIX)
    }

    /// Lists all snapshots of an epoch, the newest first, without verifying them.
    ///
    /// # Errors
    /// Fails if the epoch's directory can't be read.
    pub fn versions(&self, epoch: Epoch) -> io::Result<Vec<Version>> {
        numbered_entries(&self.epoch_directory(epoch), SNAPSHOT_PREFIX)
    }

    /// Returns the version of the current snapshot of an epoch; `None` if there is no link to one, or if its target is
    /// not the name of a snapshot.
    #[must_use]
    pub fn current_version(&self, epoch: Epoch) -> Option<Version> {
        let target = std::fs::read_link(self.current_link(epoch)).ok()?;
        parse_number(target.to_str()?, SNAPSHOT_PREFIX)
    }
}

/// Returns the name of a snapshot's directory within its epoch, which is also the target of the `current` link.
pub(crate) fn snapshot_name(version: Version) -> String {
    format!("{SNAPSHOT_PREFIX}{version}")
}

/// Lists the numbers of the directory entries whose names are this prefix and a number, the highest first.
fn numbered_entries(directory: &Path, prefix: char) -> io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for entry in std::fs::read_dir(directory)? {
        let name = entry?.file_name();
        numbers.extend(name.to_str().and_then(|name| parse_number(name, prefix)));
    }
    numbers.sort_unstable_by(|a, b| b.cmp(a));
    Ok(numbers)
}

fn parse_number(name: &str, prefix: char) -> Option<u64> {
    let digits = name.strip_prefix(prefix)?;
    // Rejects leading zeros and signs, so that each number has exactly one name.
    digits.parse().ok().filter(|number: &u64| number.to_string() == digits)
}

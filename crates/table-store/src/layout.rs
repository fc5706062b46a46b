//! Names of directories and files in the store.

use std::io;
use std::path::{Path, PathBuf};

/// The number of a writer's term. Each new writer acquires a higher one, which fences the writers before it.
pub type Epoch = u64;
/// The number of a snapshot within its epoch, from 1.
pub type Version = u64;

/// Identifies a snapshot; a later one is greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SnapshotId {
    /// Epoch of its writer.
    pub epoch: Epoch,
    /// Its number within the epoch.
    pub version: Version,
}

impl From<(Epoch, Version)> for SnapshotId {
    fn from((epoch, version): (Epoch, Version)) -> Self {
        SnapshotId { epoch, version }
    }
}

/// How the name of an epoch's directory starts.
const EPOCH_PREFIX: char = 'e';
/// How the name of a snapshot's directory starts.
const SNAPSHOT_PREFIX: char = 'g';

/// The paths in a store's directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreLayout {
    directory: PathBuf,
}

impl StoreLayout {
    /// The layout of the store in this directory.
    #[must_use]
    pub fn new(directory: &Path) -> Self {
        StoreLayout { directory: directory.into() }
    }

    /// The directory of an epoch.
    #[must_use]
    pub fn epoch_directory(&self, epoch: Epoch) -> PathBuf {
        self.directory.join(format!("{EPOCH_PREFIX}{epoch}"))
    }

    /// The directory of a snapshot.
    #[must_use]
    pub fn snapshot(&self, id: SnapshotId) -> PathBuf {
        self.epoch_directory(id.epoch).join(snapshot_name(id.version))
    }

    /// The link to the current snapshot of an epoch.
    #[must_use]
    pub fn current_link(&self, epoch: Epoch) -> PathBuf {
        self.epoch_directory(epoch).join("current")
    }

    /// The directory with the status files of the proxies.
    #[must_use]
    pub fn status_directory(&self) -> PathBuf {
        self.directory.join("status")
    }

    /// All epochs that were acquired, the highest first.
    ///
    /// # Errors
    /// The directory can't be read.
    pub fn epochs(&self) -> io::Result<Vec<Epoch>> {
        numbered_entries(&self.directory, EPOCH_PREFIX)
    }

    /// All snapshots of an epoch, the newest first, sound or not.
    ///
    /// # Errors
    /// The epoch's directory can't be read.
    pub fn versions(&self, epoch: Epoch) -> io::Result<Vec<Version>> {
        numbered_entries(&self.epoch_directory(epoch), SNAPSHOT_PREFIX)
    }

    /// The current snapshot of an epoch; `None` before the first one, or if the link leads elsewhere.
    #[must_use]
    pub fn current_version(&self, epoch: Epoch) -> Option<Version> {
        let target = std::fs::read_link(self.current_link(epoch)).ok()?;
        parse_number(target.to_str()?, SNAPSHOT_PREFIX)
    }
}

/// The name of a snapshot's directory within its epoch, which is also the target of the link to it.
pub(crate) fn snapshot_name(version: Version) -> String {
    format!("{SNAPSHOT_PREFIX}{version}")
}

/// The numbers of the entries with this prefix, the highest first.
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
    // Each number has one name: leading zeros and signs are not accepted.
    digits.parse().ok().filter(|number: &u64| number.to_string() == digits)
}

//! Names in the folder.

use std::io;
use std::path::{Path, PathBuf};

pub type Epoch = u64;
pub type Version = u64;

/// Where things stand in a folder of generations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreLayout(pub PathBuf);

impl StoreLayout {
    pub fn new(folder: &Path) -> Self {
        StoreLayout(folder.into())
    }

    pub fn epoch(&self, epoch: Epoch) -> PathBuf {
        self.0.join(format!("e{epoch}"))
    }

    pub fn generation(&self, epoch: Epoch, version: Version) -> PathBuf {
        self.epoch(epoch).join(format!("g{version}"))
    }

    pub fn current(&self, epoch: Epoch) -> PathBuf {
        self.epoch(epoch).join("current")
    }

    pub fn status(&self) -> PathBuf {
        self.0.join("status")
    }

    /// Epochs that were taken, the highest first.
    ///
    /// # Errors
    /// As the file system says.
    pub fn epochs(&self) -> io::Result<Vec<Epoch>> {
        numbered(&self.0, 'e')
    }

    /// Generations of an epoch, the newest first, whether sound or not.
    ///
    /// # Errors
    /// As the file system says.
    pub fn versions(&self, epoch: Epoch) -> io::Result<Vec<Version>> {
        numbered(&self.epoch(epoch), 'g')
    }

    /// The generation that is current in an epoch; none before the first, or if the link leads elsewhere.
    pub fn current_version(&self, epoch: Epoch) -> Option<Version> {
        let to = std::fs::read_link(self.current(epoch)).ok()?;
        number(to.to_str()?, 'g')
    }
}

fn numbered(folder: &Path, mark: char) -> io::Result<Vec<u64>> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        found.extend(entry?.file_name().to_str().and_then(|name| number(name, mark)));
    }
    found.sort_unstable_by(|a, b| b.cmp(a));
    Ok(found)
}

fn number(name: &str, mark: char) -> Option<u64> {
    let digits = name.strip_prefix(mark)?;
    // One name for each number: no leading zeros or signs.
    digits.parse().ok().filter(|number: &u64| number.to_string() == digits)
}

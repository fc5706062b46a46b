//! Names of the files of a store, each made up of a role and a snapshot number.

use std::fmt;

/// The role of a file of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FileRole {
    /// The complete state at the time when the snapshot was started.
    Snapshot,
    /// Entries that were appended since the snapshot of the same number.
    Journal,
    /// A snapshot that is being written. A crash may leave an incomplete one.
    Unfinished,
}

impl FileRole {
    /// The part of the file name before the number.
    const fn prefix(self) -> &'static str {
        match self {
            FileRole::Snapshot => "snapshot",
            FileRole::Journal => "journal",
            FileRole::Unfinished => "new",
        }
    }

    /// Returns the number of a file, or `None` if the file does not have this role.
    pub fn number_of(self, file_name: &str) -> Option<u64> {
        file_name.strip_prefix(self.prefix())?.strip_prefix('-')?.parse().ok()
    }

    /// Returns the name of the file of this role and number.
    pub fn file_name(self, number: u64) -> String {
        format!("{self}-{number}")
    }

    /// Returns the numbers of all files of this role, in ascending order.
    pub fn numbers_in(self, file_names: &[String]) -> Vec<u64> {
        let mut numbers: Vec<u64> = file_names.iter().filter_map(|name| self.number_of(name)).collect();
        numbers.sort_unstable();
        numbers
    }
}

impl fmt::Display for FileRole {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(self.prefix())
    }
}

/// Returns the number of a snapshot or journal file, or `None` for any other file.
pub(crate) fn snapshot_or_journal_number(file_name: &str) -> Option<u64> {
    FileRole::Snapshot.number_of(file_name).or_else(|| FileRole::Journal.number_of(file_name))
}

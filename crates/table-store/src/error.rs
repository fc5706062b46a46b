//! The errors of reading and of writing snapshots.

use std::io;

use lockcroft_table_format::FormatError;

use crate::layout::{Epoch, SnapshotId};

/// Why a snapshot, or another file of the directory, is not used.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The file system reported an error.
    #[error("{file}: {source}")]
    Io {
        /// Name of the file.
        file: String,
        /// The error.
        source: io::Error,
    },
    /// The file is longer than what is read.
    #[error("{file}: over {max_bytes} bytes")]
    TooLong {
        /// Name of the file.
        file: String,
        /// The longest that is read.
        max_bytes: u64,
    },
    /// The bytes are not sound.
    #[error(transparent)]
    Format(#[from] FormatError),
    /// The manifest belongs to another snapshot: somebody copied it here.
    #[error("a copy of epoch {}, version {}", .stated.epoch, .stated.version)]
    Misplaced {
        /// The snapshot to which the manifest belongs.
        stated: SnapshotId,
    },
    /// A group refers to a table that the manifest does not list.
    #[error("{member}: named by a group and not there")]
    MissingTable {
        /// Name of the missing member.
        member: String,
    },
    /// A member holds the table of another member.
    #[error("{member}: says that it is table {stated}")]
    WrongTable {
        /// Name of the member.
        member: String,
        /// The number that it states.
        stated: u32,
    },
}

/// Why a snapshot was not published.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    /// Another controller has acquired this higher epoch: the writer has to stop.
    #[error("superseded: a pilot of epoch {0} has taken over")]
    Fenced(Epoch),
    /// The file system reported an error. The last published snapshot is still current.
    #[error(transparent)]
    Io(#[from] io::Error),
}

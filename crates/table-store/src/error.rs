//! Errors of reading and of writing snapshots.

use std::io;

use lockcroft_table_format::FormatError;

use crate::layout::{Epoch, SnapshotId};

/// The reason why a snapshot, or another file of the store, is not used.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The file system reported an error.
    #[error("{file}: {source}")]
    Io {
        /// Name of the file.
        file: String,
        /// Error reported by the file system.
        source: io::Error,
    },
    /// The file is longer than the limit for its type.
    #[error("{file}: longer than {max_bytes} bytes")]
    TooLong {
        /// Name of the file.
        file: String,
        /// Maximum length.
        max_bytes: u64,
    },
    /// The file is malformed or fails verification.
    #[error(transparent)]
    Format(#[from] FormatError),
    /// The manifest states another epoch or version than its directory: it was copied from another snapshot.
    #[error("manifest: a copy of epoch {}, version {}", .stated.epoch, .stated.version)]
    Misplaced {
        /// The snapshot to which the manifest belongs.
        stated: SnapshotId,
    },
    /// A group assigns a table that the manifest does not list.
    #[error("{member}: assigned by a group, but not listed in the manifest")]
    MissingTable {
        /// Name of the missing member.
        member: String,
    },
    /// The number stored in a table file is not the one in the file's name.
    #[error("{member}: contains table {stated}")]
    WrongTable {
        /// Name of the member.
        member: String,
        /// The table number stored in the member.
        stated: u32,
    },
}

/// The reason why a snapshot was not published.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    /// Another controller has acquired this higher epoch; this writer has to stop.
    #[error("superseded: a controller of epoch {0} has taken over")]
    Fenced(Epoch),
    /// The file system reported an error. The snapshot that was published last is still current, unless the error
    /// occurred after the link to the current snapshot was replaced.
    #[error(transparent)]
    Io(#[from] io::Error),
}

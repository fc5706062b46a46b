//! Reads key files, which only their owner may have access to.

use std::fs::File;
use std::io::{self, Read};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

use lockcroft_table_format::{KeyRing, KeyRingError};

/// Maximum length of a key file, in bytes.
const MAX_KEY_FILE_BYTES: u64 = 64 << 10;
/// Permission bits of the group and of others, none of which may be set.
const GROUP_AND_OTHERS_MODE: u32 = 0o077;
/// All permission bits of owner, group and others.
const PERMISSIONS_MODE: u32 = 0o777;

/// The reason why a key file is refused.
#[derive(Debug, thiserror::Error)]
pub enum KeyFileError {
    /// The file system reported an error.
    #[error("{}: {source}", .path.display())]
    Io {
        /// Path of the key file.
        path: PathBuf,
        /// Error reported by the file system.
        source: io::Error,
    },
    /// The path is not a regular file, or the file is too long.
    #[error("{}: not a regular file of at most {MAX_KEY_FILE_BYTES} bytes", .path.display())]
    NotRegularOrTooLong {
        /// Path of the key file.
        path: PathBuf,
    },
    /// The group or others have permissions on the file.
    #[error("{}: accessible to group or others (mode {mode:03o}), expected mode 600 or 400", .path.display())]
    OpenToOthers {
        /// Path of the key file.
        path: PathBuf,
        /// Permission bits of the file.
        mode: u32,
    },
    /// The text of the file is not a valid list of keys.
    #[error("{}: {source}", .path.display())]
    InvalidKeys {
        /// Path of the key file.
        path: PathBuf,
        /// The error in the text.
        source: KeyRingError,
    },
}

/// Reads and parses a key file.
///
/// # Errors
/// Fails if the file can't be read, is too long, is accessible to the group or others, or does not contain valid keys.
/// The error's text names the file and what was expected.
pub fn read_keys(path: &Path) -> Result<KeyRing, KeyFileError> {
    let io_error = |source: io::Error| KeyFileError::Io { path: path.into(), source };
    let mut file = File::open(path).map_err(io_error)?;
    // The metadata is that of the open file, because the path may lead to another file at a second lookup.
    let metadata = file.metadata().map_err(io_error)?;
    if !metadata.is_file() || metadata.len() > MAX_KEY_FILE_BYTES {
        return Err(KeyFileError::NotRegularOrTooLong { path: path.into() });
    }
    if metadata.mode() & GROUP_AND_OTHERS_MODE != 0 {
        let mode = metadata.mode() & PERMISSIONS_MODE;
        return Err(KeyFileError::OpenToOthers { path: path.into(), mode });
    }
    let mut text = String::new();
    file.read_to_string(&mut text).map_err(io_error)?;
    text.parse().map_err(|source| KeyFileError::InvalidKeys { path: path.into(), source })
}

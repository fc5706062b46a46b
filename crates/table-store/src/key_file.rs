//! Key files, which only their owner may read.

use std::fs::File;
use std::io::{self, Read};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

use lockcroft_table_format::{KeyRing, KeyRingError};

/// The longest key file that is read, in bytes.
const MAX_KEY_FILE_BYTES: u64 = 64 << 10;
/// The permission bits of the group and of others; none may be set.
const GROUP_AND_OTHERS_MODE: u32 = 0o077;
/// All permission bits.
const PERMISSIONS_MODE: u32 = 0o777;

/// Why a key file is refused.
#[derive(Debug, thiserror::Error)]
pub enum KeyFileError {
    /// The file system reported an error.
    #[error("{}: {source}", .path.display())]
    Io {
        /// Path of the key file.
        path: PathBuf,
        /// The error.
        source: io::Error,
    },
    /// The path is no regular file, or the file is too long.
    #[error("{}: no file of {MAX_KEY_FILE_BYTES} bytes at most", .path.display())]
    NotRegularOrTooLong {
        /// Path of the key file.
        path: PathBuf,
    },
    /// The group or others have permissions on the file.
    #[error("{}: others may use it (mode {mode:03o}); 600 or 400 is allowed", .path.display())]
    OpenToOthers {
        /// Path of the key file.
        path: PathBuf,
        /// Its permission bits.
        mode: u32,
    },
    /// The text holds no valid keys.
    #[error("{}: {source}", .path.display())]
    InvalidKeys {
        /// Path of the key file.
        path: PathBuf,
        /// What is wrong.
        source: KeyRingError,
    },
}

/// Reads a key file.
///
/// # Errors
/// The file can't be read, is open to others, or holds no valid keys. The text names the file and what is allowed.
pub fn read_keys(path: &Path) -> Result<KeyRing, KeyFileError> {
    let io_error = |source: io::Error| KeyFileError::Io { path: path.into(), source };
    let mut file = File::open(path).map_err(io_error)?;
    // The metadata of the open file: the path may be replaced between two look-ups.
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

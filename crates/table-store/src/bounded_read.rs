//! Reads files of untrusted length into memory.

use std::fs::File;
use std::io::{self, Read};
use std::path::Path;

use crate::error::ReadError;

/// Reads a file of at most `max_bytes` bytes. A longer file is rejected before anything is read or allocated for it.
pub(crate) fn read_bounded(path: &Path, max_bytes: u64) -> Result<Vec<u8>, ReadError> {
    let file = || path.file_name().unwrap_or_default().to_string_lossy().into_owned();
    match try_read(path, max_bytes) {
        Ok(Some(bytes)) => Ok(bytes),
        Ok(None) => Err(ReadError::TooLong { file: file(), max_bytes }),
        Err(source) => Err(ReadError::Io { file: file(), source }),
    }
}

/// Reads a file; returns `None` if it is longer than `max_bytes`.
fn try_read(path: &Path, max_bytes: u64) -> io::Result<Option<Vec<u8>>> {
    let file = File::open(path)?;
    let length = file.metadata()?.len();
    if length > max_bytes {
        return Ok(None);
    }
    let mut bytes = Vec::with_capacity(length as usize);
    // The file may have grown since its length was checked, so the number of bytes read is limited, too.
    file.take(max_bytes + 1).read_to_end(&mut bytes)?;
    Ok(Some(bytes))
}

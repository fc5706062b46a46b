//! Reads and writes the status files of proxies. Each proxy overwrites its own file in place.

use std::collections::BTreeMap;
use std::fs::{self, DirEntry, Metadata, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::time::Duration;

use lockcroft_table_format::proto::Status;
use lockcroft_table_format::{decode_status, encode_status};

use crate::bounded_read::read_bounded;
use crate::layout::StoreLayout;

/// Maximum length of a status file, in bytes.
const MAX_STATUS_BYTES: u64 = 64 << 10;
/// Assumed upper bound of the resolution of modification times, on any file system.
const MAX_TIMESTAMP_RESOLUTION: Duration = Duration::from_millis(50);
/// Maximum length of the name of a proxy that writes a status, in bytes.
const MAX_PROXY_NAME_BYTES: usize = 128;

/// Returns true if the name of a proxy can be used as the name of its status file. An allowed name contains no path
/// separator and does not start with a dot, so it can't refer to a file outside of the directory.
fn is_file_name(proxy: &str) -> bool {
    let is_allowed = |char: char| char.is_ascii_alphanumeric() || "-_.".contains(char);
    (1..=MAX_PROXY_NAME_BYTES).contains(&proxy.len())
        && proxy.chars().all(is_allowed)
        && !proxy.starts_with('.')
}

/// Overwrites the status file of a proxy. The file is not flushed to disk: after a crash of the machine the proxy reads
/// its tables again.
///
/// # Errors
/// Fails if the file system reports an error, or with [`io::ErrorKind::InvalidInput`] if the proxy's name is not usable
/// as a file name.
pub fn write_status(directory: &Path, status: &Status) -> io::Result<()> {
    if !is_file_name(&status.proxy) {
        let text = format!(
            "proxy {:?}: expected a name of 1 to {MAX_PROXY_NAME_BYTES} letters, digits, dashes, underscores and dots, \
             not starting with a dot",
            status.proxy
        );
        return Err(io::Error::new(io::ErrorKind::InvalidInput, text));
    }
    let status_directory = StoreLayout::new(directory).status_directory();
    let path = status_directory.join(&status.proxy);
    let bytes = encode_status(status);
    match overwrite(&path, &bytes) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            fs::create_dir_all(&status_directory)?;
            overwrite(&path, &bytes)
        }
        result => result,
    }
}

/// Overwrites a file without truncating it first, because some file systems flush a truncated file to disk when it is
/// closed.
fn overwrite(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = OpenOptions::new().write(true).create(true).truncate(false).open(path)?;
    file.write_all(bytes)?;
    if file.metadata()?.len() != bytes.len() as u64 {
        file.set_len(bytes.len() as u64)?;
    }
    Ok(())
}

/// Reads the status files of all proxies, skipping files that have not changed since the previous call.
#[derive(Default)]
pub struct StatusReader {
    seen: BTreeMap<String, SeenStatus>,
}

/// The status that was last read from a proxy's file.
struct SeenStatus {
    /// Stamp of the file when it was read; `None` if a later write could yield the same stamp.
    stamp: Option<FileStamp>,
    status: Status,
}

/// Inode and modification time of a file. A different stamp means that the file has changed.
#[derive(Clone, Copy, PartialEq, Eq)]
struct FileStamp {
    inode: u64,
    modified_secs: i64,
    modified_nanos: i64,
}

impl FileStamp {
    fn of(metadata: &Metadata) -> Self {
        FileStamp {
            inode: metadata.ino(),
            modified_secs: metadata.mtime(),
            modified_nanos: metadata.mtime_nsec(),
        }
    }

    /// Returns the stamp of a file, or `None` if it was modified so recently that another write could yield the same
    /// stamp.
    fn if_settled(metadata: &Metadata) -> Option<Self> {
        let age = metadata.modified().ok().and_then(|modified| modified.elapsed().ok());
        let is_settled = age.is_none_or(|age| age > MAX_TIMESTAMP_RESOLUTION);
        is_settled.then(|| FileStamp::of(metadata))
    }
}

impl StatusReader {
    /// Returns the statuses that have changed since the previous call, sorted by proxy name. Files without a valid
    /// status are skipped and read again at the next call. If the directory does not exist yet, the result is empty.
    ///
    /// # Errors
    /// Fails if the directory exists and can't be read.
    pub fn read_changed(&mut self, directory: &Path) -> io::Result<Vec<Status>> {
        let entries = match fs::read_dir(StoreLayout::new(directory).status_directory()) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
            entries => entries?,
        };
        let mut changed = Vec::new();
        for entry in entries {
            changed.extend(self.read_if_changed(&entry?));
        }
        changed.sort_by(|a, b| a.proxy.cmp(&b.proxy));
        Ok(changed)
    }

    fn read_if_changed(&mut self, entry: &DirEntry) -> Option<Status> {
        let name = entry.file_name().into_string().ok().filter(|name| is_file_name(name))?;
        // The file may have been removed since the directory was listed.
        let metadata = entry.metadata().ok()?;
        let seen = self.seen.get(&name);
        if seen.is_some_and(|seen| seen.stamp == Some(FileStamp::of(&metadata))) {
            return None;
        }
        let status = read_status(&entry.path(), &name)?;
        let stamp = FileStamp::if_settled(&metadata);
        let before = self.seen.insert(name, SeenStatus { stamp, status: status.clone() });
        before.is_none_or(|before| before.status != status).then_some(status)
    }

    /// Reads the current status of one proxy; `None` if there is no valid one.
    #[must_use]
    pub fn read_one(directory: &Path, proxy: &str) -> Option<Status> {
        if !is_file_name(proxy) {
            return None;
        }
        read_status(&StoreLayout::new(directory).status_directory().join(proxy), proxy)
    }
}

/// Reads the status in a file; `None` if it can't be read, is invalid, or belongs to another proxy.
fn read_status(path: &Path, proxy: &str) -> Option<Status> {
    let bytes = read_bounded(path, MAX_STATUS_BYTES).ok()?;
    decode_status(&bytes).ok().filter(|status| status.proxy == proxy)
}

//! The status files of the proxies, each overwritten in place by its proxy.

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

/// The longest status file that is read, in bytes.
const MAX_STATUS_BYTES: u64 = 64 << 10;
/// Longer than the resolution of the time stamps of any file system.
const MAX_TIMESTAMP_RESOLUTION: Duration = Duration::from_millis(50);
/// The longest name of a proxy that writes a status, in bytes.
const MAX_PROXY_NAME_BYTES: usize = 128;

/// Whether a proxy of this name may have a status file. No such name leads out of the directory.
fn is_file_name(proxy: &str) -> bool {
    let is_allowed = |char: char| char.is_ascii_alphanumeric() || "-_.".contains(char);
    (1..=MAX_PROXY_NAME_BYTES).contains(&proxy.len())
        && proxy.chars().all(is_allowed)
        && !proxy.starts_with('.')
}

/// Overwrites a proxy's status. It is not flushed: after a crash of the machine the proxy reads its tables anew.
///
/// # Errors
/// The file system reported an error, or the proxy's name can't be a file name.
pub fn write_status(directory: &Path, status: &Status) -> io::Result<()> {
    if !is_file_name(&status.proxy) {
        let text = format!(
            "proxy {:?}: a name of letters, digits, dashes, dots and underlines is wanted",
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

/// Overwrites a file without truncating it first: a file that was truncated is flushed by some file systems when it is
/// closed.
fn overwrite(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = OpenOptions::new().write(true).create(true).truncate(false).open(path)?;
    file.write_all(bytes)?;
    if file.metadata()?.len() != bytes.len() as u64 {
        file.set_len(bytes.len() as u64)?;
    }
    Ok(())
}

/// Reads the statuses of all proxies, and only those that changed since the last time.
#[derive(Default)]
pub struct StatusReader {
    seen: BTreeMap<String, SeenStatus>,
}

/// What a proxy's file held.
struct SeenStatus {
    /// The file's stamp; `None` if the next write could have the same one.
    stamp: Option<FileStamp>,
    status: Status,
}

/// Tells whether a file changed.
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

    /// The stamp of a file, unless the file was modified so recently that another write could yield the same stamp.
    fn if_settled(metadata: &Metadata) -> Option<Self> {
        let age = metadata.modified().ok().and_then(|modified| modified.elapsed().ok());
        let is_settled = age.is_none_or(|age| age > MAX_TIMESTAMP_RESOLUTION);
        is_settled.then(|| FileStamp::of(metadata))
    }
}

impl StatusReader {
    /// The statuses that changed since the last call, by name of the proxy. A file that is no status is skipped until it
    /// changes.
    ///
    /// # Errors
    /// The directory can't be read; it need not exist yet.
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
        // The file may have been removed since the directory was read.
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

    /// The present status of one proxy.
    #[must_use]
    pub fn read_one(directory: &Path, proxy: &str) -> Option<Status> {
        if !is_file_name(proxy) {
            return None;
        }
        read_status(&StoreLayout::new(directory).status_directory().join(proxy), proxy)
    }
}

/// The status in a file, if it is sound and of this proxy.
fn read_status(path: &Path, proxy: &str) -> Option<Status> {
    let bytes = read_bounded(path, MAX_STATUS_BYTES).ok()?;
    decode_status(&bytes).ok().filter(|status| status.proxy == proxy)
}

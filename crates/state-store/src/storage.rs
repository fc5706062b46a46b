//! The file operations that a store needs, as a trait, so that a test can answer them with every possible fault.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use rustix::fs::{FlockOperation, flock};

/// A directory of files by name.
///
/// Written bytes survive a crash once their file was flushed, and a created, renamed or removed name once the directory
/// was synced. Until then any part of a change may be there after a crash.
pub trait Storage {
    /// The names of all files.
    ///
    /// # Errors
    /// As the file system reports.
    fn list(&self) -> io::Result<Vec<String>>;
    /// The bytes of a file.
    ///
    /// # Errors
    /// As the file system reports.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Appends bytes to a file, which is created if it does not exist.
    ///
    /// # Errors
    /// As the file system reports; a part of the bytes may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Flushes the bytes of a file.
    ///
    /// # Errors
    /// As the file system reports; nobody knows then which bytes are stored.
    fn flush(&mut self, name: &str) -> io::Result<()>;
    /// Flushes the names of the files.
    ///
    /// # Errors
    /// As the file system reports.
    fn sync_directory(&mut self) -> io::Result<()>;
    /// Renames a file, over another one of that name.
    ///
    /// # Errors
    /// As the file system reports.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    /// As the file system reports.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A directory of the file system, locked by at most one writer at a time.
#[derive(Debug)]
pub struct DirectoryStorage {
    path: PathBuf,
    /// The file that is being written, kept open between writes.
    open_file: Option<OpenFile>,
    /// Locked while this value lives; `None` for a reader.
    lock: Option<File>,
}

#[derive(Debug)]
struct OpenFile {
    name: String,
    file: File,
}

/// The file whose lock the writer holds.
const LOCK_FILE: &str = "lock";

impl DirectoryStorage {
    /// Opens a directory for its one writer and creates it if it does not exist.
    ///
    /// # Errors
    /// [`io::ErrorKind::WouldBlock`] while another writer has it open; else as the file system reports.
    pub fn open_exclusive(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path.join(LOCK_FILE))?;
        flock(&lock, FlockOperation::NonBlockingLockExclusive)?;
        Ok(DirectoryStorage { path: path.into(), open_file: None, lock: Some(lock) })
    }

    /// Opens a directory for reading, whether or not a writer has it open.
    #[must_use]
    pub fn open_read_only(path: &Path) -> Self {
        DirectoryStorage { path: path.into(), open_file: None, lock: None }
    }
}

impl Drop for DirectoryStorage {
    /// Unlocks explicitly. Closing the file would not be enough: a process that was forked meanwhile keeps it open
    /// until it executes its program.
    fn drop(&mut self) {
        if let Some(lock) = &self.lock {
            // A failure can't be handled here, and the end of the process releases the lock anyway.
            let _ = flock(lock, FlockOperation::Unlock);
        }
    }
}

impl Storage for DirectoryStorage {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            // Names that are not UTF-8 are not the store's.
            if let Ok(name) = entry?.file_name().into_string()
                && name != LOCK_FILE
            {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        if let Some(open) = &mut self.open_file
            && open.name == name
        {
            return open.file.write_all(bytes);
        }
        let file = OpenOptions::new().create(true).append(true).open(self.path.join(name))?;
        let open = self.open_file.insert(OpenFile { name: name.into(), file });
        open.file.write_all(bytes)
    }

    fn flush(&mut self, name: &str) -> io::Result<()> {
        match &self.open_file {
            Some(open) if open.name == name => open.file.sync_data(),
            _ => File::open(self.path.join(name))?.sync_data(),
        }
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open_file = None;
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }
}

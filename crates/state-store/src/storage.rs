//! The file operations of a store. They are a trait, so that tests can simulate crashes and failures at each operation.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use rustix::fs::{FlockOperation, flock};

/// A directory of files, addressed by name.
///
/// Appended bytes survive a crash once their file has been flushed, and created, renamed or removed names once the
/// directory has been synced. Before that, a crash may leave any part of a change.
pub trait Storage {
    /// Returns the names of all files, in any order.
    ///
    /// # Errors
    /// Fails if the directory can't be read.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Returns the bytes of a file.
    ///
    /// # Errors
    /// Fails if the file does not exist or can't be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Appends bytes to a file, and creates it if it does not exist.
    ///
    /// # Errors
    /// Fails if the file can't be opened or written; a part of the bytes may have been written then.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Flushes the bytes of a file to disk.
    ///
    /// # Errors
    /// Fails if the file system reports an error; it is unknown then which of the unflushed bytes are stored.
    fn flush(&mut self, name: &str) -> io::Result<()>;
    /// Flushes the directory, so that created, renamed and removed names survive a crash.
    ///
    /// # Errors
    /// Fails if the file system reports an error.
    fn sync_directory(&mut self) -> io::Result<()>;
    /// Renames a file, replacing any existing file of the new name.
    ///
    /// # Errors
    /// Fails if the file system reports an error.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    /// Fails if the file does not exist or can't be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A directory of the file system, locked by at most one writer at a time.
#[derive(Debug)]
pub struct DirectoryStorage {
    path: PathBuf,
    /// The file that was appended to last, kept open for further writes.
    open_file: Option<OpenFile>,
    /// The lock file, locked until this value is dropped; `None` for a reader.
    lock: Option<File>,
}

#[derive(Debug)]
struct OpenFile {
    name: String,
    file: File,
}

/// Name of the file that the writer locks.
const LOCK_FILE: &str = "lock";

impl DirectoryStorage {
    /// Opens a directory for writing, and creates it if it does not exist. Does not wait for the lock, which is
    /// released when the returned value is dropped.
    ///
    /// # Errors
    /// Fails with [`io::ErrorKind::WouldBlock`] while another writer has the directory open, or with the error that the
    /// file system reports.
    pub fn open_exclusive(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path.join(LOCK_FILE))?;
        flock(&lock, FlockOperation::NonBlockingLockExclusive)?;
        Ok(DirectoryStorage { path: path.into(), open_file: None, lock: Some(lock) })
    }

    /// Opens a directory for reading, without a lock: a writer may have it open. Does not access the file system.
    #[must_use]
    pub fn open_read_only(path: &Path) -> Self {
        DirectoryStorage { path: path.into(), open_file: None, lock: None }
    }
}

impl Drop for DirectoryStorage {
    /// Releases the lock explicitly. Closing the file is not sufficient: a child process that was forked meanwhile has
    /// a duplicate of the file descriptor, which keeps the lock until the child calls `exec`.
    fn drop(&mut self) {
        if let Some(lock) = &self.lock {
            // A failure can't be handled here, and the lock is released at the end of the process anyway.
            let _ = flock(lock, FlockOperation::Unlock);
        }
    }
}

impl Storage for DirectoryStorage {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            // The store creates no file whose name is not UTF-8.
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

//! The few things that a store asks of a folder, so that a test can answer them with every fault there is.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use rustix::fs::{FlockOperation, flock};

/// A folder of files by name. What was written is there after a crash once it was flushed, and a name once the folder
/// was; before that it may be there in part.
pub trait Storage {
    /// # Errors
    /// As the file system says.
    fn list(&self) -> io::Result<Vec<String>>;
    /// # Errors
    /// As the file system says.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Puts bytes behind what a file holds, and makes it if it is not there.
    ///
    /// # Errors
    /// As the file system says; some of the bytes may be there.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// # Errors
    /// As the file system says.
    fn flush(&mut self, name: &str) -> io::Result<()>;
    /// # Errors
    /// As the file system says.
    fn flush_names(&mut self) -> io::Result<()>;
    /// # Errors
    /// As the file system says.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// # Errors
    /// As the file system says.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A folder of the machine, held by one writer at a time.
#[derive(Debug)]
pub struct DirectoryStorage {
    path: PathBuf,
    /// The file that is being written, kept open.
    open: Option<(String, File)>,
    /// Held while this lives; none for one that only reads.
    lock: Option<File>,
}

/// The file whose lock the writer holds.
const LOCK: &str = "lock";

impl DirectoryStorage {
    /// For one writer: made if it is not there, refused while another process writes in it.
    ///
    /// # Errors
    /// Another holds it ([`io::ErrorKind::WouldBlock`]), or as the file system says.
    pub fn hold(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path.join(LOCK))?;
        flock(&lock, FlockOperation::NonBlockingLockExclusive)?;
        Ok(DirectoryStorage { path: path.into(), open: None, lock: Some(lock) })
    }

    /// For those who only read, whoever writes.
    pub fn look(path: &Path) -> Self {
        DirectoryStorage { path: path.into(), open: None, lock: None }
    }
}

impl Drop for DirectoryStorage {
    /// Closing is not enough: a process that was forked meanwhile has the lock's file open until it runs
    /// its program.
    fn drop(&mut self) {
        if let Some(lock) = &self.lock {
            // Nothing more can be done here, and the end of the process ends it anyway.
            let _ = flock(lock, FlockOperation::Unlock);
        }
    }
}

impl Storage for DirectoryStorage {
    fn list(&self) -> io::Result<Vec<String>> {
        let names = fs::read_dir(&self.path)?.map(|entry| Ok(entry?.file_name().to_str().map(String::from)));
        let names: io::Result<Vec<Option<String>>> = names.collect();
        Ok(names?.into_iter().flatten().filter(|name| name != LOCK).collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        if self.open.as_ref().is_none_or(|(open, _)| open != name) {
            let file = OpenOptions::new().create(true).append(true).open(self.path.join(name))?;
            self.open = Some((name.into(), file));
        }
        self.open.iter_mut().try_for_each(|(_, file)| file.write_all(bytes))
    }

    fn flush(&mut self, name: &str) -> io::Result<()> {
        match &self.open {
            Some((open, file)) if open == name => file.sync_data(),
            _ => File::open(self.path.join(name))?.sync_data(),
        }
    }

    fn flush_names(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open = None;
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }
}

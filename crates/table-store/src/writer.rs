//! Writes snapshots for one controller: acquires an epoch, writes complete snapshots into it and makes each one
//! current.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Write};
use std::os::unix::fs::symlink;
use std::path::{Path, PathBuf};

use lockcroft_table_format::{KeyRing, MANIFEST_FILE, SealedSnapshot, Sha256Digest, SnapshotContent, seal};

use crate::error::WriteError;
use crate::layout::{Epoch, SnapshotId, StoreLayout, Version, snapshot_name};
use crate::retention::RetentionPolicy;

/// Number of threads that write and flush files concurrently: most of the time is spent waiting for the disk.
const WRITER_THREADS: usize = 8;

/// A published snapshot, with the amount of data that was written for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WrittenSnapshot {
    /// Epoch of the writer.
    pub epoch: Epoch,
    /// Version of the snapshot within its epoch.
    pub version: Version,
    /// Number of files that were written.
    pub files: usize,
    /// Number of files that were hard-linked because they have not changed.
    pub linked: usize,
    /// Number of bytes that were written.
    pub bytes: u64,
}

/// A file to be written.
struct NewFile<'a> {
    name: &'a str,
    bytes: &'a [u8],
}

/// The only writer of an epoch.
#[derive(Debug)]
pub struct SnapshotWriter {
    layout: StoreLayout,
    controller: String,
    keys: KeyRing,
    epoch: Epoch,
    /// Version of the current snapshot; 0 before the first one.
    current_version: Version,
    /// The last version whose writing was started. A version is never reused, even if writing it failed.
    started_version: Version,
    /// Digests of the members of the current snapshot, by name.
    current_members: BTreeMap<String, Sha256Digest>,
}

impl SnapshotWriter {
    /// Acquires the next epoch by creating its directory, which succeeds for one process only. All writers of lower
    /// epochs are fenced from then on.
    ///
    /// # Errors
    /// Fails if the store's directory does not exist or can't be written to.
    pub fn acquire_epoch(directory: &Path, controller: &str, keys: KeyRing) -> io::Result<Self> {
        let layout = StoreLayout::new(directory);
        let mut epoch = layout.epochs()?.first().copied().unwrap_or(0) + 1;
        while let Err(error) = fs::create_dir(layout.epoch_directory(epoch)) {
            if error.kind() != io::ErrorKind::AlreadyExists {
                return Err(error);
            }
            epoch += 1;
        }
        sync_directory(directory)?;
        Ok(SnapshotWriter {
            layout,
            controller: controller.into(),
            keys,
            epoch,
            current_version: 0,
            started_version: 0,
            current_members: BTreeMap::new(),
        })
    }

    /// Returns the epoch that was acquired.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the version of the current snapshot; 0 before the first one.
    #[must_use]
    pub fn version(&self) -> Version {
        self.current_version
    }

    /// Replaces the keys, for use after a key rotation. The next snapshot is sealed with the new keys.
    pub fn replace_keys(&mut self, keys: KeyRing) {
        self.keys = keys;
    }

    /// Writes a snapshot, makes it current and removes the snapshots and epochs that the policy does not keep. Blocks
    /// until all files are flushed to disk.
    ///
    /// # Errors
    /// [`WriteError::Fenced`] if another writer has taken over: this writer's snapshots are no longer read.
    /// [`WriteError::Io`] if the file system reports an error: the last snapshot stays current, unless the error occurs
    /// after the link to the current snapshot was replaced.
    pub fn write(
        &mut self,
        content: &SnapshotContent,
        retention: RetentionPolicy,
    ) -> Result<WrittenSnapshot, WriteError> {
        self.check_not_fenced()?;
        self.started_version += 1;
        let snapshot = seal(&self.controller, self.epoch, self.started_version, content, &self.keys);
        let written = match self.publish(&snapshot) {
            Ok(written) => written,
            Err(error) => {
                // A failure is ignored: readers never open an unfinished snapshot, and the next write removes it.
                let _ = fs::remove_dir_all(self.unfinished_directory());
                // The writer that took over may have removed this epoch's directory, which is not an I/O failure.
                self.check_not_fenced()?;
                return Err(error.into());
            }
        };
        self.current_version = snapshot.version;
        let members = snapshot.members.into_iter();
        self.current_members = members.map(|(name, member)| (name, member.digest)).collect();
        self.remove_outdated(retention);
        // A writer that was paused between the first check and the last rename detects here that it was fenced
        // meanwhile and that its snapshot is not read.
        self.check_not_fenced()?;
        Ok(written)
    }

    fn check_not_fenced(&self) -> Result<(), WriteError> {
        match self.layout.epochs()?.first() {
            Some(highest) if *highest > self.epoch => Err(WriteError::Fenced(*highest)),
            _ => Ok(()),
        }
    }

    fn unfinished_directory(&self) -> PathBuf {
        self.layout.epoch_directory(self.epoch).join("new")
    }

    fn id(&self, version: Version) -> SnapshotId {
        SnapshotId { epoch: self.epoch, version }
    }

    /// Writes and flushes all files in a new directory, renames this directory to its final name, and replaces the
    /// link to the current snapshot. Only the rename of the link publishes the snapshot, so a crash at any earlier
    /// point leaves the previous one current.
    fn publish(&self, snapshot: &SealedSnapshot) -> io::Result<WrittenSnapshot> {
        let unfinished = self.unfinished_directory();
        ignore_missing(fs::remove_dir_all(&unfinished))?;
        fs::create_dir(&unfinished)?;
        let new_files = self.link_unchanged_members(snapshot, &unfinished)?;
        write_in_parallel(&unfinished, &new_files)?;
        sync_directory(&unfinished)?;
        fs::rename(&unfinished, self.layout.snapshot(self.id(snapshot.version)))?;
        self.replace_current_link(snapshot.version)?;
        let files = new_files.len();
        Ok(WrittenSnapshot {
            epoch: self.epoch,
            version: snapshot.version,
            files,
            linked: snapshot.members.len() + 1 - files,
            bytes: new_files.iter().map(|file| file.bytes.len() as u64).sum(),
        })
    }

    /// Hard-links the members that are identical in the current snapshot, and returns all other files.
    fn link_unchanged_members<'a>(
        &self,
        snapshot: &'a SealedSnapshot,
        directory: &Path,
    ) -> io::Result<Vec<NewFile<'a>>> {
        let current = self.layout.snapshot(self.id(self.current_version));
        let mut new_files = vec![NewFile { name: MANIFEST_FILE, bytes: &snapshot.manifest }];
        for (name, member) in &snapshot.members {
            if self.current_members.get(name) == Some(&member.digest) {
                fs::hard_link(current.join(name), directory.join(name))?;
            } else {
                new_files.push(NewFile { name, bytes: &member.bytes });
            }
        }
        Ok(new_files)
    }

    fn replace_current_link(&self, version: Version) -> io::Result<()> {
        let epoch_directory = self.layout.epoch_directory(self.epoch);
        let new_link = epoch_directory.join("current.new");
        ignore_missing(fs::remove_file(&new_link))?;
        symlink(snapshot_name(version), &new_link)?;
        sync_directory(&epoch_directory)?;
        fs::rename(&new_link, self.layout.current_link(self.epoch))?;
        sync_directory(&epoch_directory)
    }

    /// Removes the snapshots and epochs that the policy does not keep. Failures are ignored: the next write tries
    /// again.
    fn remove_outdated(&self, retention: RetentionPolicy) {
        let versions = self.layout.versions(self.epoch).unwrap_or_default();
        let epochs = self.layout.epochs().unwrap_or_default();
        let outdated = retention.outdated(self.epoch, self.current_version, &versions, &epochs);
        for version in outdated.versions {
            let _ = fs::remove_dir_all(self.layout.snapshot(self.id(version)));
        }
        for epoch in outdated.epochs {
            let _ = fs::remove_dir_all(self.layout.epoch_directory(epoch));
        }
    }
}

/// Treats the removal of a missing file or directory as a success.
fn ignore_missing(removed: io::Result<()>) -> io::Result<()> {
    match removed {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}

/// Creates, writes and flushes all files, distributed over up to [`WRITER_THREADS`] threads.
fn write_in_parallel(directory: &Path, files: &[NewFile]) -> io::Result<()> {
    let files_per_thread = files.len().div_ceil(WRITER_THREADS).max(1);
    std::thread::scope(|scope| {
        let spawn = |chunk| scope.spawn(move || write_files(directory, chunk));
        let threads: Vec<_> = files.chunks(files_per_thread).map(spawn).collect();
        threads
            .into_iter()
            .try_for_each(|thread| thread.join().unwrap_or_else(|_| Err(io::ErrorKind::Other.into())))
    })
}

fn write_files(directory: &Path, files: &[NewFile]) -> io::Result<()> {
    for new_file in files {
        let mut file = File::create_new(directory.join(new_file.name))?;
        file.write_all(new_file.bytes)?;
        file.sync_all()?;
    }
    Ok(())
}

/// Flushes the entries of a directory, so that created and renamed files survive a crash.
fn sync_directory(directory: &Path) -> io::Result<()> {
    File::open(directory)?.sync_all()
}

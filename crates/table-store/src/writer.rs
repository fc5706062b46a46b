//! A pilot's side: epochs are taken, generations written whole and swapped in.

use std::collections::BTreeMap;
use std::fmt;
use std::fs::{self, File};
use std::io::{self, Write};
use std::os::unix::fs::symlink;
use std::path::Path;

use lockcroft_table_format::{KeyRing, MANIFEST, SealedSnapshot, SnapshotContent, seal};

use crate::keep::{RetentionPolicy, outdated};
use crate::layout::{Epoch, StoreLayout, Version};

/// Files are written and flushed by so many threads at once: most of the time is the disk's.
const HANDS: usize = 8;

/// What one generation cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WrittenSnapshot {
    pub epoch: Epoch,
    pub version: Version,
    /// Files written, files linked as they did not change, and bytes written.
    pub files: usize,
    pub linked: usize,
    pub bytes: u64,
}

#[derive(Debug)]
pub enum WriteError {
    /// Another pilot has taken this epoch since: this one has to stop.
    Fenced(Epoch),
    /// The last generation stands.
    Io(io::Error),
}

impl fmt::Display for WriteError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            WriteError::Fenced(epoch) => write!(out, "superseded: a pilot of epoch {epoch} has taken over"),
            WriteError::Io(error) => write!(out, "{error}"),
        }
    }
}

impl std::error::Error for WriteError {}

impl From<io::Error> for WriteError {
    fn from(error: io::Error) -> Self {
        WriteError::Io(error)
    }
}

/// The one writer of an epoch.
#[derive(Debug)]
pub struct SnapshotWriter {
    layout: StoreLayout,
    pilot: String,
    keys: KeyRing,
    epoch: Epoch,
    /// The generation that is current, and the last that was begun: a number is not used again.
    version: Version,
    begun: Version,
    /// Digests of the members of the generation that is current.
    last: BTreeMap<String, [u8; 32]>,
}

impl SnapshotWriter {
    /// Takes the next epoch: the folder of an epoch is made by one alone.
    ///
    /// # Errors
    /// The folder is not there, or can't be written to.
    pub fn take(folder: &Path, pilot: &str, keys: KeyRing) -> io::Result<Self> {
        let layout = StoreLayout::new(folder);
        let mut epoch = layout.epochs()?.first().copied().unwrap_or(0) + 1;
        while let Err(error) = fs::create_dir(layout.epoch(epoch)) {
            if error.kind() != io::ErrorKind::AlreadyExists {
                return Err(error);
            }
            epoch += 1;
        }
        flush(folder)?;
        Ok(SnapshotWriter {
            layout,
            pilot: pilot.into(),
            keys,
            epoch,
            version: 0,
            begun: 0,
            last: BTreeMap::new(),
        })
    }

    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    pub fn version(&self) -> Version {
        self.version
    }

    /// Keys that were turned over: the next generation is sealed with these.
    pub fn turn_over(&mut self, keys: KeyRing) {
        self.keys = keys;
    }

    /// Writes a generation and makes it current. After an error the last one stands as it was.
    ///
    /// # Errors
    /// Another has taken over, or as the file system says.
    pub fn write(
        &mut self,
        content: &SnapshotContent,
        keep: RetentionPolicy,
    ) -> Result<WrittenSnapshot, WriteError> {
        self.still_first()?;
        self.begun += 1;
        let version = self.begun;
        let generation = seal(&self.pilot, self.epoch, version, content, &self.keys);
        let written = match self.lay(&generation) {
            Ok(written) => written,
            Err(error) => {
                // What is left of it is in nobody's way, and is tried to be taken away again.
                let _ = fs::remove_dir_all(self.new_folder());
                // Whoever took over may have taken this epoch's folder away: that is no trouble of the disk.
                self.still_first()?;
                return Err(error.into());
            }
        };
        self.version = version;
        self.last = generation.members.into_iter().map(|(name, member)| (name, member.digest)).collect();
        self.prune(keep);
        // One that was paused before its last rename learns here that it was for nobody.
        self.still_first()?;
        Ok(written)
    }

    fn still_first(&self) -> Result<(), WriteError> {
        match self.layout.epochs()?.first() {
            Some(first) if *first > self.epoch => Err(WriteError::Fenced(*first)),
            _ => Ok(()),
        }
    }

    fn new_folder(&self) -> std::path::PathBuf {
        self.layout.epoch(self.epoch).join("new")
    }

    /// Everything beside what is current, flushed; then two renames, of which the second makes it so.
    fn lay(&self, generation: &SealedSnapshot) -> io::Result<WrittenSnapshot> {
        let (own, new) = (self.layout.epoch(self.epoch), self.new_folder());
        match fs::remove_dir_all(&new) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
            _ => {}
        }
        fs::create_dir(&new)?;
        let before = self.layout.generation(self.epoch, self.version);
        let mut written =
            WrittenSnapshot { epoch: self.epoch, version: generation.version, ..WrittenSnapshot::default() };
        let mut files: Vec<(&str, &[u8])> = vec![(MANIFEST, &generation.manifest)];
        for (name, member) in &generation.members {
            if self.last.get(name) == Some(&member.digest) {
                fs::hard_link(before.join(name), new.join(name))?;
                written.linked += 1;
            } else {
                files.push((name, &member.bytes));
            }
        }
        write_all(&new, &files)?;
        flush(&new)?;
        let place = self.layout.generation(self.epoch, generation.version);
        fs::rename(&new, &place)?;
        let link = own.join("current.new");
        match fs::remove_file(&link) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
            _ => {}
        }
        symlink(format!("g{}", generation.version), &link)?;
        flush(&own)?;
        fs::rename(&link, self.layout.current(self.epoch))?;
        flush(&own)?;
        written.files = files.len();
        written.bytes = files.iter().map(|(_, bytes)| bytes.len() as u64).sum();
        Ok(written)
    }

    /// What can't be taken away now is tried again with the next generation.
    fn prune(&self, keep: RetentionPolicy) {
        let versions = self.layout.versions(self.epoch).unwrap_or_default();
        let epochs = self.layout.epochs().unwrap_or_default();
        let (versions, epochs) = outdated(keep, self.epoch, self.version, &versions, &epochs);
        for version in versions {
            let _ = fs::remove_dir_all(self.layout.generation(self.epoch, version));
        }
        for epoch in epochs {
            let _ = fs::remove_dir_all(self.layout.epoch(epoch));
        }
    }
}

fn write_all(folder: &Path, files: &[(&str, &[u8])]) -> io::Result<()> {
    let each = files.len().div_ceil(HANDS).max(1);
    std::thread::scope(|scope| {
        let hand = |part| scope.spawn(move || write_some(folder, part));
        let hands: Vec<_> = files.chunks(each).map(hand).collect();
        hands
            .into_iter()
            .try_for_each(|hand| hand.join().unwrap_or_else(|_| Err(io::ErrorKind::Other.into())))
    })
}

fn write_some(folder: &Path, files: &[(&str, &[u8])]) -> io::Result<()> {
    for (name, bytes) in files {
        let mut file = File::create_new(folder.join(name))?;
        file.write_all(bytes)?;
        file.sync_all()?;
    }
    Ok(())
}

/// Names of a folder are on disk when this is over.
fn flush(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

//! The writer of a store: appends entries to a journal, and starts a new snapshot when the journal has become too long.
//!
//! `snapshot-7` contains the complete state at the time when it was written, and `journal-7` the entries since then. A
//! new number (a snapshot and an empty journal) is started at each open, so that nothing is ever appended after a
//! partial write, and when the journal has become too long. The files of the previous complete number are kept until
//! the number after the new one is complete, as a fallback in case the new snapshot turns out to be corrupt.

use std::io;

use crate::codec::{encode_end, encode_entry, encode_header};
use crate::entry::{Entry, State, apply};
use crate::error::RecoveryError;
use crate::file_name::{FileRole, snapshot_or_journal_number};
use crate::frame::{FrameKind, append_frame};
use crate::identity::StoreIdentity;
use crate::recovery::{LoadedState, load};
use crate::storage::Storage;

/// A new number is started once the journal is longer than its snapshot multiplied by this, and longer than
/// [`MIN_JOURNAL_BYTES_TO_ROTATE`].
const MAX_JOURNAL_TO_SNAPSHOT_RATIO: usize = 4;
/// A journal of at most this length is not replaced, so that a small state is not rewritten continually.
const MIN_JOURNAL_BYTES_TO_ROTATE: usize = 64 << 10;

/// The only writer of a persisted state.
pub struct Store<S> {
    storage: S,
    identity: StoreIdentity,
    state: State,
    /// The number that was started last, even if writing its files failed.
    number: u64,
    /// The last number whose snapshot and journal are complete. The next rotation keeps its files as a fallback and
    /// removes those of lower numbers.
    complete_number: u64,
    journal_bytes: usize,
    snapshot_bytes: usize,
    has_unflushed_entries: bool,
    /// True if a write has failed. Nothing may be appended after a partial write, so the next write starts a new
    /// number.
    has_failed_write: bool,
}

impl<S: Storage> Store<S> {
    /// Loads the persisted state and writes it as a new snapshot with an empty journal.
    ///
    /// # Errors
    /// Fails if the state belongs to another controller or fleet, if it is of a later format, or if the storage failed.
    pub fn open(storage: S, identity: StoreIdentity) -> Result<(Self, LoadedState), RecoveryError> {
        let loaded = load(&storage, &identity)?;
        let mut store = Store {
            storage,
            identity,
            state: loaded.state.clone(),
            number: loaded.highest_number,
            // The files of the highest number may be corrupt; only the snapshot that was loaded is known to be
            // complete.
            complete_number: loaded.snapshot_number,
            journal_bytes: 0,
            snapshot_bytes: 0,
            has_unflushed_entries: false,
            has_failed_write: false,
        };
        store.rotate()?;
        Ok((store, loaded))
    }

    /// Returns the state with all loaded and appended entries, including those that are not flushed.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the total length of the current snapshot and its journal, in bytes.
    pub fn bytes(&self) -> usize {
        self.snapshot_bytes + self.journal_bytes
    }

    /// Returns the number of the current snapshot and its journal.
    pub fn snapshot_number(&self) -> u64 {
        self.number
    }

    /// Appends entries to the journal, or starts a new number that includes them. They survive a crash once
    /// [`Store::flush`] has succeeded.
    ///
    /// # Errors
    /// Fails if the storage failed. The entries remain in [`Store::state`] and are written with the next snapshot.
    pub fn append(&mut self, entries: &[Entry]) -> io::Result<()> {
        let mut bytes = Vec::new();
        for entry in entries {
            append_frame(&mut bytes, FrameKind::Entry, &encode_entry(entry));
            apply(&mut self.state, entry.clone());
        }
        if self.has_failed_write || self.is_rotation_due() {
            return self.rotate();
        }
        let written = self.storage.append(&FileRole::Journal.file_name(self.number), &bytes);
        self.has_failed_write = written.is_err();
        self.journal_bytes += bytes.len();
        self.has_unflushed_entries = true;
        written
    }

    fn is_rotation_due(&self) -> bool {
        let max_bytes = MIN_JOURNAL_BYTES_TO_ROTATE.max(MAX_JOURNAL_TO_SNAPSHOT_RATIO * self.snapshot_bytes);
        self.journal_bytes > max_bytes
    }

    /// Flushes the journal to disk. All entries that were appended before survive any crash. Blocks until the disk has
    /// acknowledged the write.
    ///
    /// # Errors
    /// Fails if the storage failed. After a failed flush it is unknown which bytes are stored, so the next write starts
    /// a new number.
    pub fn flush(&mut self) -> io::Result<()> {
        if self.has_failed_write {
            return self.rotate();
        }
        if !self.has_unflushed_entries {
            return Ok(());
        }
        self.has_unflushed_entries = false;
        let flushed = self.storage.flush(&FileRole::Journal.file_name(self.number));
        self.has_failed_write = flushed.is_err();
        flushed
    }

    /// Starts a new number: writes a snapshot of the complete state and an empty journal, and flushes both. The files
    /// of the previous complete number are kept; those of earlier ones are removed.
    ///
    /// # Errors
    /// Fails if the storage failed. The files of earlier numbers are unchanged then.
    pub fn rotate(&mut self) -> io::Result<()> {
        self.has_failed_write = true;
        if self.has_unflushed_entries {
            // The previous number is the fallback if the new snapshot turns out to be corrupt, so its journal should be
            // complete. A failure is ignored: the new snapshot contains these entries, too.
            let _ = self.storage.flush(&FileRole::Journal.file_name(self.number));
        }
        // The number is never reused, even if one of the writes below fails.
        self.number += 1;
        let snapshot_bytes = self.write_snapshot()?;
        let journal_bytes = self.create_journal()?;
        self.storage.sync_directory()?;
        self.snapshot_bytes = snapshot_bytes;
        self.journal_bytes = journal_bytes;
        self.has_failed_write = false;
        self.has_unflushed_entries = false;
        let fallback = std::mem::replace(&mut self.complete_number, self.number);
        self.remove_files_before(fallback);
        Ok(())
    }

    /// Writes and flushes the snapshot under the name of an unfinished one and then renames it, so that a crash leaves
    /// no partial snapshot under the final name. Returns its length in bytes.
    fn write_snapshot(&mut self) -> io::Result<usize> {
        let mut bytes = self.encoded_header();
        for (key, (at_ms, value)) in &self.state {
            let entry = Entry { at_ms: *at_ms, key: key.clone(), value: value.clone() };
            append_frame(&mut bytes, FrameKind::Entry, &encode_entry(&entry));
        }
        append_frame(&mut bytes, FrameKind::End, &encode_end(self.state.len()));
        let unfinished = self.unused_unfinished_name()?;
        self.storage.append(&unfinished, &bytes)?;
        self.storage.flush(&unfinished)?;
        self.storage.rename(&unfinished, &FileRole::Snapshot.file_name(self.number))?;
        Ok(bytes.len())
    }

    /// Returns a name for an unfinished snapshot under which no file exists. A killed writer may have left a partial
    /// snapshot, and appending to it would leave that part at the start of the new one. Removing the partial file first
    /// is not safe: a crash may undo the removal but keep the later rename, so that the partial file would be found
    /// under the final name of the snapshot.
    fn unused_unfinished_name(&self) -> io::Result<String> {
        let existing = FileRole::Unfinished.numbers_in(&self.storage.list()?);
        let number = existing.last().map_or(self.number, |last| self.number.max(last + 1));
        Ok(FileRole::Unfinished.file_name(number))
    }

    /// Creates and flushes a journal without entries, and returns its length in bytes. Its number is higher than those
    /// of all existing snapshots and journals, so no file of that name exists.
    fn create_journal(&mut self) -> io::Result<usize> {
        let header = self.encoded_header();
        let journal = FileRole::Journal.file_name(self.number);
        self.storage.append(&journal, &header)?;
        self.storage.flush(&journal)?;
        Ok(header.len())
    }

    fn encoded_header(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        append_frame(&mut bytes, FrameKind::Header, &encode_header(&self.identity, self.number));
        bytes
    }

    /// Removes files of lower numbers and unfinished snapshots. Failures are ignored: the next rotation tries again.
    fn remove_files_before(&mut self, first_kept: u64) {
        let names = self.storage.list().unwrap_or_default();
        let is_obsolete = |name: &&String| {
            let is_before = snapshot_or_journal_number(name).is_some_and(|number| number < first_kept);
            is_before || FileRole::Unfinished.number_of(name).is_some()
        };
        for name in names.iter().filter(is_obsolete) {
            let _ = self.storage.remove(name);
        }
    }
}

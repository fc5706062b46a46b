//! The writer of a store: appends entries to a journal and starts a new snapshot when one is due.
//!
//! `snapshot-7` is everything that was known when it was made, `journal-7` what was learned since. A new number is
//! started at every open, so that nothing is ever appended after a torn end, and when the journal has grown. The number
//! before it stays until the next one is complete, in case the new snapshot turns out to be broken.

use std::io;

use crate::codec::{encode_end, encode_entry, encode_header};
use crate::entry::{Entry, State, apply};
use crate::error::RecoveryError;
use crate::file_name::{FileRole, snapshot_or_journal_number};
use crate::frame::{FrameKind, append_frame};
use crate::identity::StoreIdentity;
use crate::recovery::{LoadedState, load};
use crate::storage::Storage;

/// A new number is due once the journal is longer than this many times its snapshot …
const MAX_JOURNAL_TO_SNAPSHOT_RATIO: usize = 4;
/// … and longer than this, so that a small state is not rewritten all the time.
const MIN_JOURNAL_BYTES_TO_ROTATE: usize = 64 << 10;

/// The one writer of a stored state.
pub struct Store<S> {
    storage: S,
    identity: StoreIdentity,
    state: State,
    number: u64,
    /// The last number whose snapshot and journal are complete; it stays until a later one is.
    complete_number: u64,
    journal_bytes: usize,
    snapshot_bytes: usize,
    has_unflushed_entries: bool,
    /// A write failed: nothing may be appended after it, and the next write starts a new number.
    is_journal_broken: bool,
}

impl<S: Storage> Store<S> {
    /// Loads the stored state and starts a new number with it.
    ///
    /// # Errors
    /// The state belongs to another controller or fleet, a later program wrote it, or the storage failed.
    pub fn open(storage: S, identity: StoreIdentity) -> Result<(Self, LoadedState), RecoveryError> {
        let loaded = load(&storage, &identity)?;
        let mut store = Store {
            storage,
            identity,
            state: loaded.state.clone(),
            number: loaded.highest_number,
            // The highest number may be broken: only the one that was loaded is known to be complete.
            complete_number: loaded.snapshot_number,
            journal_bytes: 0,
            snapshot_bytes: 0,
            has_unflushed_entries: false,
            is_journal_broken: false,
        };
        store.rotate()?;
        Ok((store, loaded))
    }

    /// Everything that was appended or loaded, flushed or not.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Bytes of the current snapshot and its journal.
    pub fn bytes(&self) -> usize {
        self.snapshot_bytes + self.journal_bytes
    }

    /// The number of the current snapshot and its journal.
    pub fn snapshot_number(&self) -> u64 {
        self.number
    }

    /// Appends entries to the journal. They survive a crash once [`Store::flush`] has succeeded.
    ///
    /// # Errors
    /// The storage failed. The entries stay in [`Store::state`] and go into the next snapshot.
    pub fn append(&mut self, entries: &[Entry]) -> io::Result<()> {
        let mut bytes = Vec::new();
        for entry in entries {
            append_frame(&mut bytes, FrameKind::Entry, &encode_entry(entry));
            apply(&mut self.state, entry.clone());
        }
        if self.is_journal_broken || self.is_rotation_due() {
            return self.rotate();
        }
        let written = self.storage.append(&FileRole::Journal.file_name(self.number), &bytes);
        self.is_journal_broken = written.is_err();
        self.journal_bytes += bytes.len();
        self.has_unflushed_entries = true;
        written
    }

    fn is_rotation_due(&self) -> bool {
        let max_bytes = MIN_JOURNAL_BYTES_TO_ROTATE.max(MAX_JOURNAL_TO_SNAPSHOT_RATIO * self.snapshot_bytes);
        self.journal_bytes > max_bytes
    }

    /// Flushes the journal: everything that was appended before survives any crash.
    ///
    /// # Errors
    /// The storage failed. After a failed flush nobody knows which bytes are stored, so the next write starts a new
    /// number.
    pub fn flush(&mut self) -> io::Result<()> {
        if self.is_journal_broken {
            return self.rotate();
        }
        if !self.has_unflushed_entries {
            return Ok(());
        }
        self.has_unflushed_entries = false;
        let flushed = self.storage.flush(&FileRole::Journal.file_name(self.number));
        self.is_journal_broken = flushed.is_err();
        flushed
    }

    /// Starts a new number: a snapshot of the whole state and an empty journal. The last complete number stays, and
    /// files of earlier ones are removed.
    ///
    /// # Errors
    /// The storage failed. The files of earlier numbers are unchanged.
    pub fn rotate(&mut self) -> io::Result<()> {
        self.is_journal_broken = true;
        if self.has_unflushed_entries {
            // The number before is the fallback for a broken snapshot, so its journal should be whole. A failure
            // is ignored: the new snapshot has these entries too.
            let _ = self.storage.flush(&FileRole::Journal.file_name(self.number));
        }
        // The number is used up even if one of the writes below fails.
        self.number += 1;
        let snapshot_bytes = self.write_snapshot()?;
        let journal_bytes = self.create_journal()?;
        self.storage.sync_directory()?;
        self.snapshot_bytes = snapshot_bytes;
        self.journal_bytes = journal_bytes;
        self.is_journal_broken = false;
        self.has_unflushed_entries = false;
        let fallback = std::mem::replace(&mut self.complete_number, self.number);
        self.remove_files_before(fallback);
        Ok(())
    }

    /// Writes the snapshot beside the others and renames it when it is flushed; returns its length in bytes.
    fn write_snapshot(&mut self) -> io::Result<usize> {
        let mut bytes = self.encoded_header();
        for (key, (at_ms, what)) in &self.state {
            let entry = Entry { at_ms: *at_ms, key: key.clone(), value: what.clone() };
            append_frame(&mut bytes, FrameKind::Entry, &encode_entry(&entry));
        }
        append_frame(&mut bytes, FrameKind::End, &encode_end(self.state.len()));
        let unfinished = self.unused_unfinished_name()?;
        self.storage.append(&unfinished, &bytes)?;
        self.storage.flush(&unfinished)?;
        self.storage.rename(&unfinished, &FileRole::Snapshot.file_name(self.number))?;
        Ok(bytes.len())
    }

    /// A name that no killed writer has left a part of a snapshot under: appended to, that part would come first. To
    /// remove it would not do, as after a crash the old file may be there under the new name.
    fn unused_unfinished_name(&self) -> io::Result<String> {
        let left = FileRole::Unfinished.numbers_in(&self.storage.list()?);
        let number = left.last().map_or(self.number, |last| self.number.max(last + 1));
        Ok(FileRole::Unfinished.file_name(number))
    }

    /// Creates a journal without entries; returns its length in bytes. Its number is above that of any file found, so
    /// there is none of that name.
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

    /// Removes files of lower numbers and unfinished snapshots. A failure is ignored: the next rotation tries again.
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

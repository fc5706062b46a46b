//! Loads a persisted state: the valid snapshot with the highest number, then all journals from this number on.

use std::io;

use crate::codec::{decode_end, decode_entry, decode_header};
use crate::entry::{State, apply};
use crate::error::{OpenError, RecoveryError};
use crate::file_name::{FileRole, snapshot_or_journal_number};
use crate::frame::{FORMAT_VERSION, FrameKind, FrameReader};
use crate::identity::StoreIdentity;
use crate::storage::Storage;

/// The state that was loaded from a directory, with facts about its files.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadedState {
    /// The last complete entry of each key.
    pub state: State,
    /// Human-readable descriptions of the snapshots that were skipped and the journals that were truncated.
    pub warnings: Vec<String>,
    /// Highest number of all snapshots and journals, including invalid ones; 0 if there are none.
    pub highest_number: u64,
    /// Number of the snapshot that was loaded; 0 if there is no valid one.
    pub snapshot_number: u64,
    /// Number of files in the directory, excluding the lock file.
    pub files: usize,
    /// Total length of the files that were read, in bytes.
    pub bytes: u64,
}

/// Result of reading the header of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeaderCheck {
    Accepted,
    Unreadable,
}

/// Reads the header of a file. Fails if the file belongs to another controller or fleet, or is of a later format.
fn check_header(
    file: &str,
    frames: &mut FrameReader,
    identity: &StoreIdentity,
) -> Result<HeaderCheck, OpenError> {
    let header = frames.next().and_then(|frame| decode_header(frame.kind, frame.payload));
    let Some(header) = header else { return Ok(HeaderCheck::Unreadable) };
    let file = file.to_string();
    if header.format > FORMAT_VERSION {
        return Err(OpenError::UnsupportedFormat { file, format: header.format });
    }
    if header.identity.controller != identity.controller {
        return Err(OpenError::OtherController { file, controller: header.identity.controller });
    }
    if header.identity.fleet_digest != identity.fleet_digest {
        return Err(OpenError::OtherFleet { file });
    }
    Ok(HeaderCheck::Accepted)
}

/// Reads the identity from the file with the highest number that has a valid header; `None` if there is no such file.
///
/// # Errors
/// Fails if the storage can't be listed or read.
pub fn read_identity(storage: &impl Storage) -> io::Result<Option<StoreIdentity>> {
    let names = storage.list()?;
    let numbered = names.iter().filter_map(|name| Some((snapshot_or_journal_number(name)?, name)));
    let mut numbered: Vec<(u64, &String)> = numbered.collect();
    numbered.sort_unstable();
    for (_, name) in numbered.into_iter().rev() {
        let bytes = storage.read(name)?;
        let first_frame = FrameReader::new(&bytes).next();
        if let Some(header) = first_frame.and_then(|frame| decode_header(frame.kind, frame.payload)) {
            return Ok(Some(header.identity));
        }
    }
    Ok(None)
}

/// Numbers of entries that were found in a file.
struct ReplayedEntries {
    /// Number of frames before the end frame, including those of unknown kinds.
    count: u64,
    /// Number of entries that the end frame states, if there is a valid one.
    stated_count: Option<u64>,
}

/// Applies the entries of a file up to its end frame or its last complete frame. Frames and entries of unknown kinds
/// are skipped.
fn replay_entries(frames: &mut FrameReader, state: &mut State) -> ReplayedEntries {
    let mut replayed = ReplayedEntries { count: 0, stated_count: None };
    for frame in frames.by_ref() {
        if frame.kind == FrameKind::End as u8 {
            replayed.stated_count = decode_end(frame.payload);
            break;
        }
        if let Some(entry) = decode_entry(frame.kind, frame.payload) {
            apply(state, entry);
        }
        replayed.count += 1;
    }
    replayed
}

/// Loads the state in a directory. Needs no lock, so that a writer may have the directory open.
///
/// # Errors
/// Fails if the state belongs to another controller or fleet, if it is of a later format, or if the storage failed. A
/// file that can't be read is an error and is not treated as missing, because the storage may work again later.
pub fn load(storage: &impl Storage, identity: &StoreIdentity) -> Result<LoadedState, RecoveryError> {
    let names = storage.list()?;
    let journals = FileRole::Journal.numbers_in(&names);
    let snapshots = FileRole::Snapshot.numbers_in(&names);
    let mut loaded = LoadedState { files: names.len(), ..LoadedState::default() };
    loaded.highest_number = journals.iter().chain(&snapshots).copied().max().unwrap_or(0);
    let snapshot_number = load_newest_valid_snapshot(storage, identity, &snapshots, &mut loaded)?;
    loaded.snapshot_number = snapshot_number.unwrap_or(0);
    // Without a valid snapshot, all journals are replayed.
    let first_journal = loaded.snapshot_number;
    for number in journals.into_iter().filter(|number| *number >= first_journal) {
        load_journal(storage, identity, number, &mut loaded)?;
    }
    Ok(loaded)
}

/// Loads the state from the complete snapshot with the highest number, and returns this number.
fn load_newest_valid_snapshot(
    storage: &impl Storage,
    identity: &StoreIdentity,
    numbers: &[u64],
    loaded: &mut LoadedState,
) -> Result<Option<u64>, RecoveryError> {
    for number in numbers.iter().copied().rev() {
        let name = FileRole::Snapshot.file_name(number);
        let bytes = storage.read(&name)?;
        loaded.bytes += bytes.len() as u64;
        let mut frames = FrameReader::new(&bytes);
        let mut state = State::new();
        let header = check_header(&name, &mut frames, identity)?;
        let replayed = replay_entries(&mut frames, &mut state);
        let is_complete = replayed.stated_count == Some(replayed.count) && !frames.has_remainder();
        if header == HeaderCheck::Accepted && is_complete {
            loaded.state = state;
            return Ok(Some(number));
        }
        loaded.warnings.push(format!("{name}: incomplete or corrupt, falling back to the previous snapshot"));
    }
    Ok(None)
}

/// Applies the entries of a journal up to its last complete frame.
fn load_journal(
    storage: &impl Storage,
    identity: &StoreIdentity,
    number: u64,
    loaded: &mut LoadedState,
) -> Result<(), RecoveryError> {
    let name = FileRole::Journal.file_name(number);
    let bytes = storage.read(&name)?;
    loaded.bytes += bytes.len() as u64;
    let mut frames = FrameReader::new(&bytes);
    let header = check_header(&name, &mut frames, identity)?;
    if header == HeaderCheck::Accepted {
        replay_entries(&mut frames, &mut loaded.state);
    }
    if header == HeaderCheck::Unreadable || frames.has_remainder() {
        let (position, length) = (frames.position(), bytes.len());
        loaded
            .warnings
            .push(format!("{name}: incomplete or corrupt, truncated at {position} of {length} bytes"));
    }
    Ok(())
}

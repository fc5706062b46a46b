//! Reads a stored state: the highest sound snapshot, then every journal from its number on.

use std::io;

use crate::codec::{decode_end, decode_entry, decode_header};
use crate::entry::{State, apply};
use crate::error::{OpenError, RecoveryError};
use crate::file_name::{FileRole, snapshot_or_journal_number};
use crate::frame::{FORMAT_VERSION, FrameKind, FrameReader};
use crate::identity::StoreIdentity;
use crate::storage::Storage;

/// What a directory holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadedState {
    /// The last whole entry of each key.
    pub state: State,
    /// What was skipped or cut, as texts for people.
    pub warnings: Vec<String>,
    /// The highest number of a snapshot or journal, sound or not; 0 for none.
    pub highest_number: u64,
    /// The number of the snapshot that was read; 0 for none.
    pub snapshot_number: u64,
    /// How many files there are.
    pub files: usize,
    /// Bytes of the files that were read.
    pub bytes: u64,
}

/// Whether a file starts with a header that can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeaderCheck {
    Accepted,
    Unreadable,
}

/// Reads a file's header and refuses a file of another controller, another fleet or a later format.
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

/// Reads the identity in the newest file that has a readable header; `None` if there is no such file.
///
/// # Errors
/// The storage can't be listed or read.
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

/// The entries that a file added to a state.
struct ReplayedEntries {
    /// Frames before the end, whether their entries are known here or not.
    count: u64,
    /// The count that the file's last frame states, if it has one.
    stated_count: Option<u64>,
}

/// Applies a file's entries until there are no more whole frames. Frames and entries of unknown kind are skipped.
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

/// Reads what a directory holds, whether or not a writer has it open.
///
/// # Errors
/// The state belongs to another controller or fleet, a later program wrote it, or the storage failed. A file that
/// can't be read is an error and not taken for a missing one, because the storage may work again later.
pub fn load(storage: &impl Storage, identity: &StoreIdentity) -> Result<LoadedState, RecoveryError> {
    let names = storage.list()?;
    let journals = FileRole::Journal.numbers_in(&names);
    let snapshots = FileRole::Snapshot.numbers_in(&names);
    let mut loaded = LoadedState { files: names.len(), ..LoadedState::default() };
    loaded.highest_number = journals.iter().chain(&snapshots).copied().max().unwrap_or(0);
    let snapshot_number = load_newest_sound_snapshot(storage, identity, &snapshots, &mut loaded)?;
    loaded.snapshot_number = snapshot_number.unwrap_or(0);
    // Without a sound snapshot every journal counts.
    let first_journal = loaded.snapshot_number;
    for number in journals.into_iter().filter(|number| *number >= first_journal) {
        load_journal(storage, identity, number, &mut loaded)?;
    }
    Ok(loaded)
}

/// Takes the state from the highest snapshot whose entries are all there, and returns its number.
fn load_newest_sound_snapshot(
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
        loaded.warnings.push(format!("{name}: broken, the one before is taken"));
    }
    Ok(None)
}

/// Applies a journal's entries up to its last whole frame.
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
        loaded.warnings.push(format!("{name}: cut at {} of {} bytes", frames.position(), bytes.len()));
    }
    Ok(())
}

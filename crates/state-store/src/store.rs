//! The store: numbered snapshots, each with the journal of what came after it.
//!
//! `snapshot-7` is all that was known when it was made, `journal-7` what was learned since. A new number is begun at
//! every start, so that nothing is ever put behind a torn end, and when the journal has grown; the number before stays
//! until the next, for a snapshot that turns out broken.

use std::fmt;
use std::io;

use protobuf::Message;

use crate::disk::Storage;
use crate::frame::{FORMAT, Frames, Kind, put};
use crate::proto;
use crate::state::{Entry, State, StoreIdentity, take};

/// A journal is closed once it is so many times as long as its snapshot, and this long at least.
const GROWN: usize = 4;
const GROWN_LEAST: usize = 64 << 10;

/// Why a folder's memory is left alone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// File, its format: of a later program.
    Newer(String, u32),
    /// File, the pilot whose it is.
    Foreign(String, String),
    /// File: of a fleet with other zones, kinds or classes.
    OtherFleet(String),
}

impl fmt::Display for OpenError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            OpenError::Newer(file, format) => {
                write!(out, "{file}: format {format}, up to {FORMAT} is read here")
            }
            OpenError::Foreign(file, pilot) => write!(out, "{file}: the memory of pilot {pilot:?}"),
            OpenError::OtherFleet(file) => {
                write!(out, "{file}: of a fleet with other zones, kinds or classes")
            }
        }
    }
}

#[derive(Debug)]
pub enum RecoveryError {
    Open(OpenError),
    Io(io::Error),
}

impl fmt::Display for RecoveryError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RecoveryError::Open(refused) => write!(out, "{refused}"),
            RecoveryError::Io(error) => write!(out, "{error}"),
        }
    }
}

impl std::error::Error for RecoveryError {}

impl From<io::Error> for RecoveryError {
    fn from(error: io::Error) -> Self {
        RecoveryError::Io(error)
    }
}

/// What a folder holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadedState {
    pub state: State,
    /// What was passed over or cut, for people.
    pub remarks: Vec<String>,
    /// The highest number met, sound or not, and that of the snapshot that was read; 0 for none.
    pub number: u64,
    pub from: u64,
    /// Numbers of snapshots and journals that there are.
    pub files: usize,
    pub bytes: u64,
}

fn number(name: &str, what: &str) -> Option<u64> {
    name.strip_prefix(what)?.strip_prefix('-')?.parse().ok()
}

/// Whether the file is this owner's and of a format that is read here; none if there is no telling.
fn own(name: &str, frames: &mut Frames, owner: &StoreIdentity) -> Result<bool, OpenError> {
    let header = frames.next().filter(|(kind, _)| *kind == Kind::Header as u8);
    let header = header.and_then(|(_, payload)| proto::Header::parse_from_bytes(payload).ok());
    let Some(header) = header else { return Ok(false) };
    if header.format > FORMAT {
        return Err(OpenError::Newer(name.into(), header.format));
    }
    if header.pilot != owner.pilot {
        return Err(OpenError::Foreign(name.into(), header.pilot));
    }
    if header.fleet != owner.fleet {
        return Err(OpenError::OtherFleet(name.into()));
    }
    Ok(true)
}

/// Whose a folder's newest readable file is; none where there is none.
///
/// # Errors
/// As the file system says.
pub fn owner_of(disk: &impl Storage) -> io::Result<Option<StoreIdentity>> {
    let names = disk.list()?;
    let numbered = names.iter().filter_map(|name| {
        let number = number(name, "snapshot").or_else(|| number(name, "journal"))?;
        Some((number, name))
    });
    let mut numbered: Vec<(u64, &String)> = numbered.collect();
    numbered.sort_unstable();
    for (_, name) in numbered.into_iter().rev() {
        let bytes = disk.read(name)?;
        let first = Frames::new(&bytes).next().filter(|(kind, _)| *kind == Kind::Header as u8);
        if let Some(header) = first.and_then(|(_, payload)| proto::Header::parse_from_bytes(payload).ok()) {
            return Ok(Some(StoreIdentity { pilot: header.pilot, fleet: header.fleet }));
        }
    }
    Ok(None)
}

/// Takes entries in until there is none, or one that is not whole; how many.
fn entries(frames: &mut Frames, state: &mut State, end: &mut Option<u64>) -> u64 {
    let mut count = 0;
    for (kind, payload) in frames.by_ref() {
        if kind == Kind::End as u8 {
            *end = proto::End::parse_from_bytes(payload).ok().map(|end| end.entries);
            break;
        }
        // A kind or an entry of which nothing is known here is passed over.
        let entry =
            (kind == Kind::Entry as u8).then(|| proto::Entry::parse_from_bytes(payload).ok()).flatten();
        entry.and_then(Entry::read).into_iter().for_each(|entry| take(state, entry));
        count += 1;
    }
    count
}

/// Reads what a folder holds, whoever writes in it.
///
/// # Errors
/// It is another's or a later program's, or as the file system says. A file that can't be read is an error, not a
/// loss: the disk may be well again.
pub fn load(disk: &impl Storage, owner: &StoreIdentity) -> Result<LoadedState, RecoveryError> {
    let names = disk.list()?;
    let mut loaded = LoadedState { files: names.len(), ..LoadedState::default() };
    let mut journals: Vec<u64> = names.iter().filter_map(|name| number(name, "journal")).collect();
    let mut snapshots: Vec<u64> = names.iter().filter_map(|name| number(name, "snapshot")).collect();
    journals.sort_unstable();
    snapshots.sort_unstable();
    loaded.number = journals.iter().chain(&snapshots).copied().max().unwrap_or(0);
    let mut from = None;
    for snapshot in snapshots.into_iter().rev() {
        let name = format!("snapshot-{snapshot}");
        let bytes = disk.read(&name)?;
        loaded.bytes += bytes.len() as u64;
        let (mut frames, mut state, mut end) = (Frames::new(&bytes), State::new(), None);
        let sound = own(&name, &mut frames, owner).map_err(RecoveryError::Open)?;
        let count = entries(&mut frames, &mut state, &mut end);
        if sound && end == Some(count) && !frames.torn() {
            (loaded.state, loaded.from, from) = (state, snapshot, Some(snapshot));
            break;
        }
        loaded.remarks.push(format!("{name}: broken, the one before is taken"));
    }
    for journal in journals.into_iter().filter(|journal| from.is_none_or(|from| *journal >= from)) {
        let name = format!("journal-{journal}");
        let bytes = disk.read(&name)?;
        loaded.bytes += bytes.len() as u64;
        let (mut frames, mut end) = (Frames::new(&bytes), None);
        let sound = own(&name, &mut frames, owner).map_err(RecoveryError::Open)?;
        if sound {
            entries(&mut frames, &mut loaded.state, &mut end);
        }
        if !sound || frames.torn() {
            loaded.remarks.push(format!("{name}: cut at {} of {} bytes", frames.read(), bytes.len()));
        }
    }
    Ok(loaded)
}

/// The one writer.
pub struct Store<D> {
    disk: D,
    owner: StoreIdentity,
    state: State,
    number: u64,
    /// The last number that was begun to its end, which stays until another is.
    sound: u64,
    journal_bytes: usize,
    snapshot_bytes: usize,
    unflushed: bool,
    /// A write failed: nothing may be put behind it, and the next one begins a new number.
    spoilt: bool,
}

impl<D: Storage> Store<D> {
    /// Loads what is there, and begins a new number with it.
    ///
    /// # Errors
    /// It is another's or a later program's, or as the file system says.
    pub fn open(disk: D, owner: StoreIdentity) -> Result<(Self, LoadedState), RecoveryError> {
        let loaded = load(&disk, &owner)?;
        let mut store = Store {
            disk,
            owner,
            state: loaded.state.clone(),
            number: loaded.number,
            // What was loaded may have come from the number before its highest.
            sound: loaded.from,
            journal_bytes: 0,
            snapshot_bytes: 0,
            unflushed: false,
            spoilt: false,
        };
        store.begin()?;
        Ok((store, loaded))
    }

    pub fn state(&self) -> &State {
        &self.state
    }

    /// Bytes that are in use: of the last snapshot and its journal.
    pub fn bytes(&self) -> usize {
        self.snapshot_bytes + self.journal_bytes
    }

    pub fn number(&self) -> u64 {
        self.number
    }

    /// Puts entries into the journal. They are safe once [`Store::flush`] says so.
    ///
    /// # Errors
    /// As the file system says: what is known stays known here, and goes with the next snapshot.
    pub fn append(&mut self, entries: &[Entry]) -> io::Result<()> {
        let mut bytes = Vec::new();
        for entry in entries {
            put(&mut bytes, Kind::Entry, &entry.message());
            take(&mut self.state, entry.clone());
        }
        if self.spoilt || self.journal_bytes > GROWN_LEAST.max(GROWN * self.snapshot_bytes) {
            return self.begin();
        }
        let written = self.disk.append(&journal(self.number), &bytes);
        self.spoilt = written.is_err();
        self.journal_bytes += bytes.len();
        self.unflushed = true;
        written
    }

    /// What was appended before this is there after any crash.
    ///
    /// # Errors
    /// As the file system says: after a flush that failed nobody knows what is there, and a new number is begun
    /// with the next entries.
    pub fn flush(&mut self) -> io::Result<()> {
        if self.spoilt {
            return self.begin();
        }
        if std::mem::take(&mut self.unflushed) {
            let flushed = self.disk.flush(&journal(self.number));
            self.spoilt = flushed.is_err();
            return flushed;
        }
        Ok(())
    }

    /// Begins a new number: a snapshot of all that is known, and an empty journal. The last number stays, and what is
    /// before it goes.
    ///
    /// # Errors
    /// As the file system says: the numbers before are as they were.
    pub fn begin(&mut self) -> io::Result<()> {
        self.spoilt = true;
        // What the number before has to offer, should this snapshot break, is all there.
        if self.unflushed {
            let _ = self.disk.flush(&journal(self.number));
        }
        let next = self.number + 1;
        let mut bytes = self.header(next);
        for (key, (at_ms, what)) in &self.state {
            let entry = Entry { at_ms: *at_ms, key: key.clone(), what: what.clone() };
            put(&mut bytes, Kind::Entry, &entry.message());
        }
        put(&mut bytes, Kind::End, &proto::End { entries: self.state.len() as u64, ..Default::default() });
        // Its number is spent, whatever becomes of it.
        self.number = next;
        let beside = format!("new-{next}");
        self.disk.append(&beside, &bytes)?;
        self.disk.flush(&beside)?;
        self.disk.rename(&beside, &snapshot(next))?;
        let header = self.header(next);
        self.disk.append(&journal(next), &header)?;
        self.disk.flush(&journal(next))?;
        self.disk.flush_names()?;
        (self.snapshot_bytes, self.journal_bytes) = (bytes.len(), header.len());
        (self.spoilt, self.unflushed) = (false, false);
        let last = std::mem::replace(&mut self.sound, next);
        self.clear(last);
        Ok(())
    }

    fn header(&self, number: u64) -> Vec<u8> {
        let header = proto::Header {
            format: FORMAT,
            pilot: self.owner.pilot.clone(),
            fleet: self.owner.fleet,
            number,
            ..Default::default()
        };
        let mut bytes = Vec::new();
        put(&mut bytes, Kind::Header, &header);
        bytes
    }

    /// Files of numbers before this one, and what a crash left beside them; what can't be taken away is tried again.
    fn clear(&mut self, last: u64) {
        let names = self.disk.list().unwrap_or_default();
        let old = |name: &&String| {
            let kept = ["snapshot", "journal"].iter().find_map(|what| number(name, what));
            kept.is_some_and(|number| number < last) || number(name, "new").is_some()
        };
        for name in names.iter().filter(old) {
            let _ = self.disk.remove(name);
        }
    }
}

fn journal(number: u64) -> String {
    format!("journal-{number}")
}

fn snapshot(number: u64) -> String {
    format!("snapshot-{number}")
}

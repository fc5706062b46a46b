//! Entries, and the last of each kind.

use std::collections::BTreeMap;

use crate::proto;

/// Whose memory it is: nothing of another pilot or another fleet is believed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreIdentity {
    pub pilot: String,
    /// Digest of the names of zones, kinds and classes.
    pub fleet: u64,
}

impl StoreIdentity {
    /// From the fleet's names, in the order stated: zones, kinds, classes.
    pub fn of<'a>(pilot: &str, names: impl Iterator<Item = &'a str>) -> Self {
        let mut sum = crc32fast::Hasher::new();
        for name in names {
            sum.update(name.as_bytes());
            sum.update(&[0]);
        }
        StoreIdentity { pilot: pilot.into(), fleet: u64::from(sum.finalize()) }
    }
}

/// What an entry is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    Server(String),
    /// Class and table.
    Level(String, u32),
    Size(String),
}

/// What was known of a server. Times in milliseconds of the wall's clock, 0 for none.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointNote {
    pub zone: String,
    pub kind: String,
    pub gone: bool,
    pub draining: bool,
    pub counter: Option<u32>,
    pub doubted_until_ms: u64,
    pub started_ms: u64,
    pub warm_ms: u64,
    pub relief: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum EntryValue {
    Server(EndpointNote),
    Level(f64),
    /// Cores.
    Size(f64),
}

/// One thing that was learned, and when, in milliseconds of the wall's clock.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub at_ms: u64,
    pub key: Key,
    pub what: EntryValue,
}

/// The last entry of each key.
pub type State = BTreeMap<Key, (u64, EntryValue)>;

impl Entry {
    pub(crate) fn message(&self) -> proto::Entry {
        let what = match (&self.key, &self.what) {
            (Key::Server(name), EntryValue::Server(note)) => proto::entry::What::Server(proto::Server {
                name: name.clone(),
                zone: note.zone.clone(),
                kind: note.kind.clone(),
                gone: note.gone,
                draining: note.draining,
                counter: note.counter.map_or(0, |counter| counter + 1),
                doubted_until_ms: note.doubted_until_ms,
                started_ms: note.started_ms,
                warm_ms: note.warm_ms,
                relief: note.relief,
                ..Default::default()
            }),
            (Key::Level(class, table), EntryValue::Level(level)) => proto::entry::What::Level(proto::Level {
                class: class.clone(),
                table: *table,
                level: *level,
                ..Default::default()
            }),
            (Key::Size(server), EntryValue::Size(cores)) => proto::entry::What::Size(proto::Size {
                server: server.clone(),
                cores: *cores,
                ..Default::default()
            }),
            (key, what) => unreachable!("{key:?} is not {what:?}"),
        };
        proto::Entry { at_ms: self.at_ms, what: Some(what), ..Default::default() }
    }

    /// None for what only a later program knows, or what makes no sense.
    pub(crate) fn read(message: proto::Entry) -> Option<Self> {
        let share = |value: f64| (0.0..=1.0).contains(&value).then_some(value);
        let (key, what) = match message.what? {
            proto::entry::What::Server(server) => {
                let note = EndpointNote {
                    zone: server.zone,
                    kind: server.kind,
                    gone: server.gone,
                    draining: server.draining,
                    counter: server.counter.checked_sub(1),
                    doubted_until_ms: server.doubted_until_ms,
                    started_ms: server.started_ms,
                    warm_ms: server.warm_ms,
                    relief: share(server.relief)?,
                };
                (Key::Server(server.name), EntryValue::Server(note))
            }
            proto::entry::What::Level(level) => {
                (Key::Level(level.class, level.table), EntryValue::Level(share(level.level)?))
            }
            proto::entry::What::Size(size) => {
                let cores = Some(size.cores).filter(|cores| cores.is_finite() && *cores > 0.0)?;
                (Key::Size(size.server), EntryValue::Size(cores))
            }
        };
        Some(Entry { at_ms: message.at_ms, key, what })
    }
}

/// Takes an entry in.
pub(crate) fn take(state: &mut State, entry: Entry) {
    state.insert(entry.key, (entry.at_ms, entry.what));
}

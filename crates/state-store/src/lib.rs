//! What a pilot learned, kept across restarts. [`Store`] is a journal of entries with snapshots in one folder: what was
//! flushed is there after any crash, a torn end is cut at the last whole entry, and a broken snapshot falls back to
//! the one before. [`age`] says what of it is still good, without I/O or clock.

mod age;
mod disk;
mod frame;
mod state;
mod store;

/// Messages as they are kept.
pub mod proto {
    include!(concat!(env!("OUT_DIR"), "/proto/mod.rs"));
    pub use memory::*;
}

pub use age::{AgeingRules, RecoveredEndpoint, RecoveredState, age};
pub use disk::{DirectoryStorage, Storage};
pub use frame::FORMAT;
pub use state::{EndpointNote, Entry, EntryValue, Key, State, StoreIdentity};
pub use store::{LoadedState, OpenError, RecoveryError, Store, load, owner_of};

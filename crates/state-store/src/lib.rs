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

pub use age::{Recalled, RecalledServer, Rules, age};
pub use disk::{Disk, Folder};
pub use frame::FORMAT;
pub use state::{Entry, Key, Owner, ServerNote, State, What};
pub use store::{Loaded, Refused, Store, Trouble, load, owner_of};

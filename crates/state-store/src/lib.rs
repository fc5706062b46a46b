//! Persists what a controller has learned across restarts.
//!
//! [`Store`] is a write-ahead journal of entries with snapshots in one directory, as databases keep it: entries that
//! were flushed survive any crash, a torn end of a journal is cut at the last whole entry, and a broken snapshot falls
//! back to the one before it. [`recover_state`] decides how much of the loaded [`State`] is still valid, without I/O or clock.
//!
//! The protobuf messages on disk keep their own field names; `codec` is the only module that maps them.

#![warn(missing_docs)]

mod ageing;
mod codec;
mod entry;
mod error;
mod file_name;
mod frame;
mod identity;
mod recovery;
mod storage;
mod store;

/// The stored messages, generated from `proto/memory.proto`.
#[allow(missing_docs)]
pub mod proto {
    include!(concat!(env!("OUT_DIR"), "/proto/mod.rs"));
    pub use memory::*;
}

pub use ageing::{RecoveredEndpoint, RecoveredState, RecoverySettings, recover_state};
pub use entry::{Entry, EntryKey, EntryValue, RecordedEndpoint, State};
pub use error::{OpenError, RecoveryError};
pub use frame::FORMAT_VERSION;
pub use identity::StoreIdentity;
pub use recovery::{LoadedState, load, read_identity};
pub use storage::{DirectoryStorage, Storage};
pub use store::Store;

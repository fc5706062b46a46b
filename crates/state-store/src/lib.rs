//! Persists the learned state of a controller across restarts.
//!
//! [`Store`] is a write-ahead journal of entries with snapshots, in one directory. Entries that were flushed survive
//! any crash, a partial write at the end of a journal is ignored after the last complete entry, and recovery falls back
//! to the previous snapshot if the newest one is corrupt. [`recover_state`] decides how much of the loaded [`State`] is
//! still valid, without I/O or a clock.
//!
//! The stored protobuf messages keep their own field names; `codec` is the only module that uses them.

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

/// Stored messages, generated from `proto/memory.proto`.
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

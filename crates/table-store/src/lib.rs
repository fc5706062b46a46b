//! Generations of table files in a folder. A pilot takes an epoch by making its folder, which nobody else can then
//! make, and writes whole generations into it; one rename makes the next one current. Proxies take the highest
//! epoch that is sound, and nothing older than what they have laid. What of it is believed and what is kept is decided in
//! `follow` and `keep`, without I/O; the rest carries it out.
//!
//! ```text
//! DIR/e7/                 the epoch of a pilot
//! DIR/e7/g41/manifest     a generation: the sealed manifest, and its members
//! DIR/e7/g41/table-3
//! DIR/e7/current -> g41   swapped by rename
//! DIR/status/NAME         what the proxy of this name has laid, written by it
//! ```

mod find;
mod follow;
mod keep;
mod keyfile;
mod layout;
mod reader;
mod status;
mod writer;

pub use find::{LoadedSnapshot, find};
pub use follow::{SnapshotDecision, SnapshotSelector};
pub use keep::{RetentionPolicy, outdated};
pub use keyfile::read_keys;
pub use layout::{Epoch, StoreLayout, Version};
pub use reader::{AppliedSnapshot, RejectedSnapshot, ScanResult, SnapshotReader};
pub use status::{StatusReader, write_status};
pub use writer::{SnapshotWriter, WriteError, WrittenSnapshot};

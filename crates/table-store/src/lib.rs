//! Versioned snapshots of table files in a directory, with fencing of writers.
//!
//! A controller acquires an epoch by creating its directory, which succeeds for one process only, and writes complete
//! snapshots into it; an atomic rename makes the next snapshot current. Proxies read the highest epoch that has a valid
//! snapshot and apply nothing older than the snapshot they applied last. The epoch is the fencing token: a controller
//! that was paused while another one took over continues to write into a directory that is no longer read.
//! `snapshot_selector` decides which snapshots are applied and `retention` which ones are kept, both without I/O; the
//! other modules carry out these decisions.
//!
//! ```text
//! DIR/e7/                 epoch 7
//! DIR/e7/g41/manifest     snapshot version 41: the sealed manifest and the members
//! DIR/e7/g41/table-3
//! DIR/e7/current -> g41   link to the current snapshot, replaced by rename
//! DIR/status/NAME         status of the proxy of this name, written by the proxy
//! ```
//!
//! Unlike the state store, where a writer holds a file lock and further writers are refused, this store has no lock: a
//! new writer always succeeds and fences the previous one.

#![warn(missing_docs)]

mod bounded_read;
mod error;
mod key_file;
mod layout;
mod loaded_snapshot;
mod proxy_view;
mod reader;
mod retention;
mod snapshot_files;
mod snapshot_selector;
mod status;
mod writer;

pub use error::{ReadError, WriteError};
pub use key_file::{KeyFileError, read_keys};
pub use layout::{Epoch, SnapshotId, StoreLayout, Version};
pub use loaded_snapshot::{LoadedSnapshot, load_snapshot};
pub use proxy_view::ProxySnapshot;
pub use reader::{RejectedSnapshot, ScanResult, SnapshotReader};
pub use retention::{OutdatedSnapshots, RetentionPolicy};
pub use snapshot_selector::{SnapshotDecision, SnapshotSelector};
pub use status::{StatusReader, write_status};
pub use writer::{SnapshotWriter, WrittenSnapshot};

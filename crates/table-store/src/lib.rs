//! Versioned snapshots of table files in a directory, with fencing of writers.
//!
//! A controller acquires an epoch by creating its directory, which only one process can do, and writes whole snapshots
//! into it; one rename makes the next snapshot current. Proxies read the highest epoch with a sound snapshot and apply
//! nothing older than what they have applied. The epoch is the fencing token: a controller that was paused while another
//! one took over goes on in a directory that nobody reads any more. `snapshot_selector` decides which snapshots are
//! applied and `retention` which ones are kept, without I/O; the other modules carry that out.
//!
//! ```text
//! DIR/e7/                 an epoch
//! DIR/e7/g41/manifest     a snapshot: the sealed manifest, and its members
//! DIR/e7/g41/table-3
//! DIR/e7/current -> g41   replaced by rename
//! DIR/status/NAME         what the proxy of this name has applied, written by it
//! ```
//!
//! This has no lock to share with the state store: there, one process holds a file lock and others are refused; here a
//! new writer always succeeds and fences the one before it.

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

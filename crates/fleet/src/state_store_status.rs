//! Status of the store of learned state.

use std::time::Duration;

/// The status of the store of learned state, for `show memory`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StateStoreStatus {
    /// The number of stored entries.
    pub entries: usize,
    /// The size of the journal in bytes.
    pub bytes: usize,
    /// The number of the snapshot in use.
    pub snapshot_number: u64,
    /// The duration of the last flush.
    pub last_flush: Duration,
    /// The error that currently prevents state from being persisted, if any.
    pub error: Option<String>,
}

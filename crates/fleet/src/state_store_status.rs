//! How the store of learned state fares.

use std::time::Duration;

/// How the store of learned state fares, for `show memory`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StateStoreStatus {
    /// How many entries it holds.
    pub entries: usize,
    /// The size of its journal in bytes.
    pub bytes: usize,
    /// The number of the snapshot in use.
    pub snapshot_number: u64,
    /// How long the last flush took.
    pub last_flush: Duration,
    /// Why nothing is persisted for now.
    pub error: Option<String>,
}

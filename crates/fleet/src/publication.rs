//! A snapshot of table files on its way out, and what proxies report of the ones they read.

use std::time::Duration;

use lockcroft_table_format::SnapshotContent;
use lockcroft_table_store::{Epoch, RetentionPolicy, Version};

/// A snapshot to be written.
#[derive(Clone, Debug, PartialEq)]
pub struct Publication {
    /// The tables, and who uses them.
    pub content: SnapshotContent,
    /// Which earlier snapshots stay.
    pub keep: RetentionPolicy,
}

/// A snapshot that a proxy has applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppliedVersion {
    /// The epoch of the controller that wrote it.
    pub epoch: Epoch,
    /// The version within the epoch.
    pub version: Version,
    /// When the proxy applied it, on the controller's clock.
    pub applied_at: Duration,
}

/// A snapshot that a proxy refuses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedVersion {
    /// The epoch of the controller that wrote it.
    pub epoch: Epoch,
    /// The version within the epoch.
    pub version: Version,
    /// Why, in the proxy's words.
    pub reason: String,
}

/// What a proxy reports of itself in its status file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AppliedReport {
    /// The proxy's name.
    pub proxy: String,
    /// The last snapshot that it has applied.
    pub applied: Option<AppliedVersion>,
    /// The last that it refused.
    pub rejected: Option<RejectedVersion>,
}

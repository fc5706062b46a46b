//! Snapshots of table files to be written, and the reports of proxies that read them.

use std::time::Duration;

use lockcroft_table_format::SnapshotContent;
use lockcroft_table_store::{Epoch, RetentionPolicy, Version};

/// A snapshot to be written.
#[derive(Clone, Debug, PartialEq)]
pub struct Publication {
    /// The tables, and the proxies to which they are assigned.
    pub content: SnapshotContent,
    /// The earlier snapshots that are kept.
    pub retention: RetentionPolicy,
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

/// A snapshot that a proxy rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedVersion {
    /// The epoch of the controller that wrote it.
    pub epoch: Epoch,
    /// The version within the epoch.
    pub version: Version,
    /// The reason that the proxy reported.
    pub reason: String,
}

/// The report of a proxy from its status file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SnapshotReport {
    /// The proxy's name.
    pub proxy: String,
    /// The last snapshot that the proxy applied.
    pub applied: Option<AppliedVersion>,
    /// The last snapshot that the proxy rejected, if any.
    pub rejected: Option<RejectedVersion>,
}

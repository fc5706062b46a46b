//! Decides which snapshots and epochs are removed from the store.

use crate::layout::{Epoch, Version};

/// Minimum number of snapshots to keep: readers may still be reading the one before the current one.
const MIN_SNAPSHOTS: usize = 2;

/// Rules for the snapshots and epochs that are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionPolicy {
    /// Maximum number of snapshots to keep in the writer's epoch, including the current one. Values below 2 count as 2.
    pub max_snapshots: usize,
    /// True if earlier epochs are kept. They may be removed once the current snapshot assigns tables to every proxy;
    /// until then, a proxy that starts takes its tables from an earlier epoch.
    pub keep_earlier_epochs: bool,
}

/// Snapshots and epochs that may be removed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OutdatedSnapshots {
    /// Snapshots of the writer's own epoch, the newest first.
    pub versions: Vec<Version>,
    /// Epochs to remove with all of their snapshots.
    pub epochs: Vec<Epoch>,
}

impl RetentionPolicy {
    /// Selects what may be removed, given all versions in the writer's epoch and all epochs. Later epochs belong to
    /// writers that have fenced this one and are always kept.
    #[must_use]
    pub fn outdated(
        &self,
        own_epoch: Epoch,
        current: Version,
        versions: &[Version],
        epochs: &[Epoch],
    ) -> OutdatedSnapshots {
        let mut older: Vec<Version> = versions.iter().copied().filter(|version| *version < current).collect();
        older.sort_unstable_by(|a, b| b.cmp(a));
        let max_older = self.max_snapshots.max(MIN_SNAPSHOTS) - 1;
        let outdated_versions = older.split_off(older.len().min(max_older));
        let is_outdated = |epoch: &Epoch| !self.keep_earlier_epochs && *epoch < own_epoch;
        OutdatedSnapshots {
            versions: outdated_versions,
            epochs: epochs.iter().copied().filter(is_outdated).collect(),
        }
    }
}

//! Decides which snapshots and epochs are removed from the directory.

use crate::layout::{Epoch, Version};

/// The fewest snapshots that stay: readers may still be reading the one before the current one.
const MIN_SNAPSHOTS: usize = 2;

/// How much stays in the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionPolicy {
    /// How many snapshots of the writer's epoch stay, the current one included; 2 at least.
    pub max_snapshots: usize,
    /// Whether earlier epochs stay. They may go once the current snapshot assigns tables to every proxy, so that none
    /// has to take its tables from an earlier epoch.
    pub keep_earlier_epochs: bool,
}

/// What may be removed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OutdatedSnapshots {
    /// Snapshots of the writer's own epoch, the newest first.
    pub versions: Vec<Version>,
    /// Whole epochs.
    pub epochs: Vec<Epoch>,
}

impl RetentionPolicy {
    /// What may be removed, given all versions of the writer's epoch and all epochs. A later epoch is not this writer's
    /// to judge and stays.
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

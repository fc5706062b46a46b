//! Decides which sound snapshots a proxy applies.
//!
//! This guards against a controller that was paused and goes on writing after another one has taken over, and against an
//! old snapshot in the place of a new one. Epochs that somebody made up are no danger: a snapshot without a valid seal
//! is never considered, whatever its number.

use std::cmp::Ordering;

use crate::layout::SnapshotId;

/// What a proxy has applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SnapshotSelector {
    /// The newest snapshot that it has applied; after a start, the one in its status file.
    floor: SnapshotId,
    has_applied: bool,
}

/// What to do with a sound snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotDecision {
    /// It is to be applied.
    Apply,
    /// It is applied already.
    AlreadyApplied,
    /// A newer one was applied.
    Older,
}

impl SnapshotSelector {
    /// The selector after a start: nothing is applied yet, and nothing older than the floor is to be.
    #[must_use]
    pub fn with_min_snapshot(floor: Option<SnapshotId>) -> Self {
        SnapshotSelector { floor: floor.unwrap_or_default(), has_applied: false }
    }

    /// What to do with this snapshot.
    #[must_use]
    pub fn decide(&self, id: SnapshotId) -> SnapshotDecision {
        match id.cmp(&self.floor) {
            Ordering::Greater => SnapshotDecision::Apply,
            Ordering::Equal if self.has_applied => SnapshotDecision::AlreadyApplied,
            Ordering::Equal => SnapshotDecision::Apply,
            Ordering::Less => SnapshotDecision::Older,
        }
    }

    /// Records that a snapshot was applied. Only the first one after a start may be older than the floor, where nothing
    /// newer is left.
    pub fn record_applied(&mut self, id: SnapshotId) {
        debug_assert!(!self.has_applied || id >= self.floor, "a proxy goes back");
        self.floor = id;
        self.has_applied = true;
    }

    /// The reason to state where an older snapshot is rejected.
    #[must_use]
    pub fn older_reason(&self) -> String {
        format!("older than epoch {}, version {}, which was laid", self.floor.epoch, self.floor.version)
    }

    /// Whether anything was applied since the start.
    #[must_use]
    pub fn has_applied(&self) -> bool {
        self.has_applied
    }
}

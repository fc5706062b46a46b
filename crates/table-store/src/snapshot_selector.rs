//! Decides which of the valid snapshots a proxy applies.
//!
//! This guards against a controller that was paused and continues to write after another one has taken over, and
//! against an old snapshot that is put in place of a newer one. Forged epochs need no check here: a snapshot without a
//! valid seal is rejected before this decision, whatever its epoch.

use std::cmp::Ordering;

use crate::layout::SnapshotId;

/// The newest snapshot that a proxy has applied, with which others are compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SnapshotSelector {
    /// The snapshot that was applied last; after a start, the last one in the proxy's status file.
    min_snapshot: SnapshotId,
    /// True if a snapshot has been applied since the start.
    has_applied: bool,
}

/// The decision about a valid snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotDecision {
    /// The snapshot has to be applied.
    Apply,
    /// The snapshot is the one that was applied last.
    AlreadyApplied,
    /// A newer snapshot has been applied.
    Older,
}

impl SnapshotSelector {
    /// Returns the selector of a proxy that has applied nothing since its start and had applied this snapshot before
    /// it.
    #[must_use]
    pub fn with_min_snapshot(min_snapshot: Option<SnapshotId>) -> Self {
        SnapshotSelector { min_snapshot: min_snapshot.unwrap_or_default(), has_applied: false }
    }

    /// Decides about a snapshot. The minimum itself has to be applied once after a start.
    #[must_use]
    pub fn decide(&self, id: SnapshotId) -> SnapshotDecision {
        match id.cmp(&self.min_snapshot) {
            Ordering::Greater => SnapshotDecision::Apply,
            Ordering::Equal if self.has_applied => SnapshotDecision::AlreadyApplied,
            Ordering::Equal => SnapshotDecision::Apply,
            Ordering::Less => SnapshotDecision::Older,
        }
    }

    /// Records that a snapshot was applied. Only the first one after a start may be older than the minimum, if there is
    /// no newer valid one. Debug builds panic if a later one is older.
    pub fn record_applied(&mut self, id: SnapshotId) {
        debug_assert!(
            !self.has_applied || id >= self.min_snapshot,
            "snapshot older than the one applied last"
        );
        self.min_snapshot = id;
        self.has_applied = true;
    }

    /// Returns the reason for rejecting a snapshot as [`SnapshotDecision::Older`].
    #[must_use]
    pub fn older_reason(&self) -> String {
        let SnapshotId { epoch, version } = self.min_snapshot;
        format!("older than epoch {epoch}, version {version}, which was applied")
    }

    /// Returns true if a snapshot has been applied since the start.
    #[must_use]
    pub fn has_applied(&self) -> bool {
        self.has_applied
    }
}

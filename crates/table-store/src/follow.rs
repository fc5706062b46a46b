//! Which of the generations that are seen a proxy lays. Guards against a pilot that was paused and writes on after
//! another has taken over, against an old generation put in the place of a new one, and against epochs that
//! somebody made up: what is not sealed counts for nothing, whatever number it bears.

use crate::layout::{Epoch, Version};

/// What a proxy has laid, by its own account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SnapshotSelector {
    /// The newest that it has laid; after a start, by what it wrote down.
    floor: (Epoch, Version),
    /// Whether anything was laid since the start.
    laid: bool,
}

/// What to do with a generation that is sound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotDecision {
    Lay,
    /// It is laid already.
    Stands,
    /// Something newer was laid.
    Old,
}

impl SnapshotSelector {
    /// After a start: nothing is laid, and nothing older than this will be.
    pub fn from(floor: Option<(Epoch, Version)>) -> Self {
        SnapshotSelector { floor: floor.unwrap_or_default(), laid: false }
    }

    pub fn consider(&self, epoch: Epoch, version: Version) -> SnapshotDecision {
        match (epoch, version).cmp(&self.floor) {
            std::cmp::Ordering::Greater => SnapshotDecision::Lay,
            std::cmp::Ordering::Equal if self.laid => SnapshotDecision::Stands,
            std::cmp::Ordering::Equal => SnapshotDecision::Lay,
            std::cmp::Ordering::Less => SnapshotDecision::Old,
        }
    }

    /// Something was laid; only after a start, with nothing newer left, may it be older than what was laid before.
    pub fn laid(&mut self, epoch: Epoch, version: Version) {
        debug_assert!(!self.laid || (epoch, version) >= self.floor, "a proxy goes back");
        (self.floor, self.laid) = ((epoch, version), true);
    }

    /// Why something older is not laid.
    pub fn older(&self) -> String {
        format!("older than epoch {}, version {}, which was laid", self.floor.0, self.floor.1)
    }

    /// Whether anything was laid since the start.
    pub fn stands(&self) -> bool {
        self.laid
    }
}

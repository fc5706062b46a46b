//! What stays in the folder.

use crate::layout::{Epoch, Version};

/// How much stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionPolicy {
    /// Generations of the writer's own epoch, the current one among them; 2 at least, as readers may be in
    /// the midst of the one before.
    pub generations: usize,
    /// Epochs before it go: every proxy is named in the current generation, so that none has to look for its
    /// tables there.
    pub earlier_epochs: bool,
}

/// What may go, of what there is in the writer's epoch and before it: generations of its own, and whole epochs.
/// What is not this writer's to judge, a later epoch, stays.
pub fn outdated(
    keep: RetentionPolicy,
    epoch: Epoch,
    current: Version,
    versions: &[Version],
    epochs: &[Epoch],
) -> (Vec<Version>, Vec<Epoch>) {
    let mut older: Vec<Version> = versions.iter().copied().filter(|version| *version < current).collect();
    older.sort_unstable_by(|a, b| b.cmp(a));
    let generations = older.split_off(older.len().min(keep.generations.max(2) - 1));
    let gone = |other: &Epoch| !keep.earlier_epochs && *other < epoch;
    (generations, epochs.iter().copied().filter(gone).collect())
}

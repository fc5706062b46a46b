//! Scans a store for the snapshots that a proxy has to apply.

use std::io;
use std::path::Path;

use lockcroft_table_format::KeyRing;

use crate::error::ReadError;
use crate::layout::{Epoch, SnapshotId, StoreLayout, Version};
use crate::proxy_view::{ProxySnapshot, ProxyView};
use crate::snapshot_files::SnapshotFiles;
use crate::snapshot_selector::{SnapshotDecision, SnapshotSelector};

/// A snapshot that was rejected, because it is invalid or older than the one that was applied last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedSnapshot {
    /// Epoch of the writer.
    pub epoch: Epoch,
    /// Version of the snapshot within its epoch.
    pub version: Version,
    /// Human-readable reason.
    pub reason: String,
}

impl RejectedSnapshot {
    fn new(id: SnapshotId, reason: String) -> Self {
        RejectedSnapshot { epoch: id.epoch, version: id.version, reason }
    }
}

/// Result of one scan of the directory.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ScanResult {
    /// Snapshots to apply, in this order. After a start there may be two: one with the tables of an earlier epoch,
    /// followed by the newest one, which has ejections but no tables for the proxy yet.
    pub to_apply: Vec<ProxySnapshot>,
    /// Snapshots that were examined and rejected.
    pub rejected: Vec<RejectedSnapshot>,
}

/// A verified snapshot and the decision about it.
struct Candidate {
    snapshot: ProxySnapshot,
    decision: SnapshotDecision,
}

/// Reads the snapshots of a store for one proxy.
pub struct SnapshotReader {
    layout: StoreLayout,
    keys: KeyRing,
    selector: SnapshotSelector,
    /// The snapshot that was returned last for application; a scan does not read it again.
    last_applied: Option<SnapshotId>,
    view: ProxyView,
}

impl SnapshotReader {
    /// Returns a reader for this proxy that has applied nothing yet.
    ///
    /// `min_snapshot` is the epoch and version that the proxy applied last before it was restarted. An older snapshot
    /// is applied only at the start, and only if there is no other valid one.
    #[must_use]
    pub fn new(directory: &Path, proxy: &str, keys: KeyRing, min_snapshot: Option<(Epoch, Version)>) -> Self {
        SnapshotReader {
            layout: StoreLayout::new(directory),
            keys,
            selector: SnapshotSelector::with_min_snapshot(min_snapshot.map(SnapshotId::from)),
            last_applied: None,
            view: ProxyView::new(proxy),
        }
    }

    /// Replaces the keys, for use after a key rotation.
    pub fn replace_keys(&mut self, keys: KeyRing) {
        self.keys = keys;
    }

    /// Scans the directory for snapshots to apply. All returned snapshots count as applied.
    ///
    /// Blocks on file I/O. If there is nothing new, it only lists the directory and reads links.
    ///
    /// # Errors
    /// Fails if the directory can't be listed.
    pub fn scan(&mut self) -> io::Result<ScanResult> {
        let epochs = self.layout.epochs()?;
        let result = if self.selector.has_applied() {
            self.scan_for_newer(&epochs)
        } else {
            self.scan_at_start(&epochs)
        };
        if let Some(last) = result.to_apply.last() {
            self.selector.record_applied(last.id());
            self.last_applied = Some(last.id());
        }
        Ok(result)
    }

    /// Examines the current snapshots from the highest epoch down to the first valid one. Lower epochs are not read
    /// after that, because the tables that the proxy has applied are newer than theirs.
    fn scan_for_newer(&mut self, epochs: &[Epoch]) -> ScanResult {
        let mut result = ScanResult::default();
        for epoch in epochs.iter().copied() {
            let Some(version) = self.layout.current_version(epoch) else { continue };
            let id = SnapshotId { epoch, version };
            if self.last_applied == Some(id) {
                break;
            }
            let Some(candidate) = self.examine_or_reject(id, &mut result) else { continue };
            match candidate.decision {
                SnapshotDecision::Apply => result.to_apply.push(candidate.snapshot),
                // Only reported if no newer snapshot was rejected: the first reason is that of the newest snapshot.
                SnapshotDecision::Older if result.rejected.is_empty() => {
                    result.rejected.push(RejectedSnapshot::new(id, self.selector.older_reason()));
                }
                SnapshotDecision::Older | SnapshotDecision::AlreadyApplied => {}
            }
            break;
        }
        result
    }

    /// Selects the snapshot to apply after a start: the first valid one in the order of [`Self::snapshots_of`], even if
    /// its epoch's link leads to another one. A snapshot older than the minimum is selected only if there is no other
    /// valid one.
    fn scan_at_start(&mut self, epochs: &[Epoch]) -> ScanResult {
        let mut result = ScanResult::default();
        let mut newest_below_min = None;
        for id in self.snapshots_of(epochs) {
            let Some(candidate) = self.examine_or_reject(id, &mut result) else { continue };
            match candidate.decision {
                SnapshotDecision::Apply | SnapshotDecision::AlreadyApplied => {
                    self.apply_first(candidate.snapshot, &mut result);
                    return result;
                }
                SnapshotDecision::Older => {
                    result.rejected.push(RejectedSnapshot::new(id, self.selector.older_reason()));
                    newest_below_min.get_or_insert(candidate.snapshot);
                }
            }
        }
        if let Some(snapshot) = newest_below_min {
            self.apply_first(snapshot, &mut result);
        }
        result
    }

    /// Iterates over all snapshots in the order of the epochs; for each epoch, the current snapshot comes first,
    /// followed by the others from the newest to the oldest. An epoch without a current snapshot is skipped.
    fn snapshots_of<'a>(&self, epochs: &'a [Epoch]) -> impl Iterator<Item = SnapshotId> + use<'a> {
        let layout = self.layout.clone();
        epochs.iter().copied().flat_map(move |epoch| {
            let current = layout.current_version(epoch);
            let versions = match current {
                Some(_) => layout.versions(epoch).unwrap_or_default(),
                None => Vec::new(),
            };
            let others = versions.into_iter().filter(move |version| Some(*version) != current);
            current.into_iter().chain(others).map(move |version| SnapshotId { epoch, version })
        })
    }

    /// Examines a snapshot. Adds an invalid one to the rejected snapshots and returns `None`.
    fn examine_or_reject(&mut self, id: SnapshotId, result: &mut ScanResult) -> Option<Candidate> {
        let examined = self.examine(id);
        examined.map_err(|error| result.rejected.push(RejectedSnapshot::new(id, error.to_string()))).ok()
    }

    fn examine(&mut self, id: SnapshotId) -> Result<Candidate, ReadError> {
        let snapshot = self.read(id)?;
        Ok(Candidate { snapshot, decision: self.selector.decide(id) })
    }

    fn read(&mut self, id: SnapshotId) -> Result<ProxySnapshot, ReadError> {
        let files = SnapshotFiles::open(&self.layout, id, &self.keys)?;
        self.view.read(&files)
    }

    /// Adds the first snapshot after a start. If it assigns no table to the proxy, a snapshot with the tables of an
    /// earlier epoch is added before it.
    fn apply_first(&mut self, snapshot: ProxySnapshot, result: &mut ScanResult) {
        if snapshot.assignments.is_empty() {
            result.to_apply.extend(self.find_earlier_tables(&snapshot));
        }
        result.to_apply.push(snapshot);
    }

    /// Returns the current snapshot of the highest earlier epoch that assigns tables to the proxy, with the newer
    /// ejections added. Needed while the controller that took over has not assigned tables to all proxies yet.
    fn find_earlier_tables(&mut self, newer: &ProxySnapshot) -> Option<ProxySnapshot> {
        let epochs = self.layout.epochs().unwrap_or_default();
        for epoch in epochs.into_iter().filter(|epoch| *epoch < newer.epoch) {
            let Some(version) = self.layout.current_version(epoch) else { continue };
            let Ok(mut earlier) = self.read(SnapshotId { epoch, version }) else { continue };
            if !earlier.assignments.is_empty() {
                earlier.ejected.extend(newer.ejected.iter().cloned());
                return Some(earlier);
            }
        }
        None
    }
}

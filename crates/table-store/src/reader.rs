//! Follows a store for one proxy: finds the snapshots that it is to apply.

use std::io;
use std::path::Path;

use lockcroft_table_format::KeyRing;

use crate::error::ReadError;
use crate::layout::{Epoch, SnapshotId, StoreLayout, Version};
use crate::proxy_view::{ProxySnapshot, ProxyView};
use crate::snapshot_files::SnapshotFiles;
use crate::snapshot_selector::{SnapshotDecision, SnapshotSelector};

/// A snapshot that is not applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedSnapshot {
    /// Epoch of its writer.
    pub epoch: Epoch,
    /// Its number within the epoch.
    pub version: Version,
    /// The reason, as a text for people.
    pub reason: String,
}

impl RejectedSnapshot {
    fn new(id: SnapshotId, reason: String) -> Self {
        RejectedSnapshot { epoch: id.epoch, version: id.version, reason }
    }
}

/// What one scan of the directory found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ScanResult {
    /// The snapshots to apply, in this order: after a start, tables of an earlier epoch may come before the ejections of
    /// the current one.
    pub to_apply: Vec<ProxySnapshot>,
    /// The snapshots that were rejected on the way.
    pub rejected: Vec<RejectedSnapshot>,
}

/// A sound snapshot, and what to do with it.
struct Candidate {
    snapshot: ProxySnapshot,
    decision: SnapshotDecision,
}

/// Follows a store for one proxy.
pub struct SnapshotReader {
    layout: StoreLayout,
    keys: KeyRing,
    selector: SnapshotSelector,
    /// The snapshot that the last scan applied: it need not be read again.
    last_applied: Option<SnapshotId>,
    view: ProxyView,
}

impl SnapshotReader {
    /// A reader for this proxy. Nothing older than the floor, which is an epoch and a version, is applied unless nothing
    /// else is left.
    #[must_use]
    pub fn new(directory: &Path, proxy: &str, keys: KeyRing, floor: Option<(Epoch, Version)>) -> Self {
        SnapshotReader {
            layout: StoreLayout::new(directory),
            keys,
            selector: SnapshotSelector::with_min_snapshot(floor.map(SnapshotId::from)),
            last_applied: None,
            view: ProxyView::new(proxy),
        }
    }

    /// Replaces the keys, after they were rotated.
    pub fn replace_keys(&mut self, keys: KeyRing) {
        self.keys = keys;
    }

    /// Scans the directory for snapshots to apply. Where nothing is new this reads one link.
    ///
    /// # Errors
    /// The directory can't be read.
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

    /// Takes the first sound snapshot from the highest epoch down. Lower epochs are not read then: the tables that the
    /// proxy holds are better than older ones.
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
                // One reason is enough, that of the snapshot which would have been the newest.
                SnapshotDecision::Older if result.rejected.is_empty() => {
                    result.rejected.push(RejectedSnapshot::new(id, self.selector.older_reason()));
                }
                SnapshotDecision::Older | SnapshotDecision::AlreadyApplied => {}
            }
            break;
        }
        result
    }

    /// Takes the newest sound snapshot after a start, wherever its epoch's link leads; one that is older than the floor
    /// only if there is no other.
    fn scan_at_start(&mut self, epochs: &[Epoch]) -> ScanResult {
        let mut result = ScanResult::default();
        let mut newest_below_floor = None;
        for id in self.snapshots_of(epochs) {
            let Some(candidate) = self.examine_or_reject(id, &mut result) else { continue };
            match candidate.decision {
                SnapshotDecision::Apply | SnapshotDecision::AlreadyApplied => {
                    self.apply_first(candidate.snapshot, &mut result);
                    return result;
                }
                SnapshotDecision::Older => {
                    result.rejected.push(RejectedSnapshot::new(id, self.selector.older_reason()));
                    newest_below_floor.get_or_insert(candidate.snapshot);
                }
            }
        }
        if let Some(snapshot) = newest_below_floor {
            self.apply_first(snapshot, &mut result);
        }
        result
    }

    /// All snapshots by epoch, of each epoch the current one first and then the others from the newest. An epoch without
    /// a current snapshot is skipped.
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

    /// Examines a snapshot; one that is not sound is noted as rejected.
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

    /// Adds the first snapshot after a start. If it assigns no table to the proxy, those of an earlier epoch come first.
    fn apply_first(&mut self, snapshot: ProxySnapshot, result: &mut ScanResult) {
        if snapshot.assignments.is_empty() {
            result.to_apply.extend(self.find_earlier_tables(&snapshot));
        }
        result.to_apply.push(snapshot);
    }

    /// The current snapshot of the highest earlier epoch that assigns tables to the proxy, with the newer ejections
    /// added: the controller that took over has not assigned any yet.
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

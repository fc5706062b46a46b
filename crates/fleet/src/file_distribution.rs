//! Distribution of tables to proxies that read files. The tables of all these proxies form one content, which is
//! written as a snapshot whenever it differs from the last one; proxies with the same table share its file. One
//! snapshot is written at a time; changes made meanwhile are part of the next.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use lockcroft::{ClassId, EndpointId, ProxyId, TableId};
use lockcroft_table_format::SnapshotContent;
use lockcroft_table_store::{Epoch, RetentionPolicy, Version, WrittenSnapshot};

use crate::error::PublishError;
use crate::publication::{AppliedVersion, Publication, RejectedVersion, SnapshotReport};
use crate::snapshot_content::{Assignments, snapshot_content};
use crate::update_context::UpdateContext;

/// The delay before writing is retried after the first failure; it doubles with each further failure.
const MIN_RETRY_BACKOFF: Duration = Duration::from_millis(200);
const MAX_RETRY_BACKOFF: Duration = Duration::from_secs(5);
/// The number of snapshots whose decision time is kept, to compute the latency when proxies apply them.
const MAX_TRACKED_SNAPSHOTS: usize = 64;
/// The longest latency that is recorded, in microseconds.
pub const MAX_LATENCY_US: u64 = 600_000_000;

/// An object that may differ from the last snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PendingEntry {
    Entry(TableId, EndpointId),
    Admission(TableId, ClassId),
    Assignment(ProxyId),
    Ejection(EndpointId),
}

/// A proxy that reads files.
#[derive(Default)]
struct FileReader {
    name: String,
    assigned: Assignments,
    report: SnapshotReport,
}

/// A snapshot that is being written.
struct PublicationInFlight {
    publication: Arc<Publication>,
    entries: BTreeSet<PendingEntry>,
    /// The time of the oldest decision in it.
    since: Duration,
}

/// Counters for `show info`.
#[derive(Clone, Copy, Default)]
pub struct PublicationTotals {
    pub snapshots: u64,
    pub failures: u64,
    pub files: u64,
    pub bytes: u64,
}

/// The tables of the proxies that read files, and the snapshots written of them.
pub struct FileDistribution {
    readers: BTreeMap<ProxyId, FileReader>,
    reader_ids: BTreeMap<String, ProxyId>,
    retained_snapshots: usize,
    pending: BTreeSet<PendingEntry>,
    /// The time of the oldest decision among the pending entries.
    pending_since: Duration,
    last_content: Option<SnapshotContent>,
    pub last_snapshot: Option<WrittenSnapshot>,
    in_flight: Option<PublicationInFlight>,
    /// The delay after the last failure; zero after a success.
    backoff: Duration,
    /// The time before which nothing is written.
    retry_at: Duration,
    /// The epoch of the controller that has taken over the folder. If set, nothing is written any more.
    pub fenced_by: Option<Epoch>,
    /// The error of the last attempt to write, if it failed.
    pub last_error: Option<String>,
    /// The time of the oldest decision in each recent snapshot.
    decided_at: BTreeMap<Version, Duration>,
    pub totals: PublicationTotals,
    /// The time from a decision until a proxy applied it, in microseconds.
    pub apply_latency: Histogram<u64>,
}

impl FileDistribution {
    /// Creates the distribution for these proxies, which read files.
    ///
    /// # Panics
    /// Does not panic: the bounds of the histogram are valid constants.
    pub fn new(retained_snapshots: usize, proxies: impl Iterator<Item = (ProxyId, String)>) -> Self {
        let reader = |(proxy, name): (ProxyId, String)| (proxy, FileReader { name, ..FileReader::default() });
        let readers: BTreeMap<ProxyId, FileReader> = proxies.map(reader).collect();
        FileDistribution {
            reader_ids: readers.iter().map(|(proxy, reader)| (reader.name.clone(), *proxy)).collect(),
            readers,
            retained_snapshots,
            pending: BTreeSet::new(),
            pending_since: Duration::ZERO,
            last_content: None,
            last_snapshot: None,
            in_flight: None,
            backoff: Duration::ZERO,
            retry_at: Duration::ZERO,
            fenced_by: None,
            last_error: None,
            decided_at: BTreeMap::new(),
            totals: PublicationTotals::default(),
            apply_latency: Histogram::new_with_bounds(1, MAX_LATENCY_US, 2).expect("bounds are in order"),
        }
    }

    /// Returns true if any proxy reads files.
    pub fn has_readers(&self) -> bool {
        !self.readers.is_empty()
    }

    /// Returns true if this proxy reads files.
    pub fn is_reader(&self, proxy: ProxyId) -> bool {
        self.readers.contains_key(&proxy)
    }

    fn mark(&mut self, now: Duration, entry: PendingEntry) {
        if self.pending.is_empty() {
            self.pending_since = now;
        }
        self.pending.insert(entry);
    }

    fn is_assigned(&self, table: TableId) -> bool {
        self.readers.values().any(|reader| reader.assigned.values().any(|assigned| *assigned == table))
    }

    /// Marks an entry of a table as changed, if the table is assigned to a reader.
    pub fn mark_entry(&mut self, now: Duration, table: TableId, endpoint: EndpointId) {
        if self.is_assigned(table) {
            self.mark(now, PendingEntry::Entry(table, endpoint));
        }
    }

    /// Marks the admission of a class in a table as changed, if the table is assigned to a reader.
    pub fn mark_admission(&mut self, now: Duration, table: TableId, class: ClassId) {
        if self.is_assigned(table) {
            self.mark(now, PendingEntry::Admission(table, class));
        }
    }

    /// Marks an endpoint as ejected or restored. Ejections apply to all readers, whatever their tables, and whether
    /// or not they are attached.
    pub fn mark_ejection(&mut self, now: Duration, endpoint: EndpointId) {
        if self.has_readers() {
            self.mark(now, PendingEntry::Ejection(endpoint));
        }
    }

    /// Assigns a table to a reader for these classes. The assignment stays in effect until the next one, also while
    /// the proxy is disconnected, because it can still read files.
    pub fn assign_table(&mut self, now: Duration, proxy: ProxyId, table: TableId, classes: &[ClassId]) {
        let Some(reader) = self.readers.get_mut(&proxy) else { return };
        let mut changed = false;
        for class in classes {
            changed |= reader.assigned.insert(*class, table) != Some(table);
        }
        if changed {
            self.mark(now, PendingEntry::Assignment(proxy));
        }
    }

    /// Returns the number of entries that are pending or being written.
    pub fn queued_entries(&self) -> usize {
        self.pending.len() + self.in_flight.as_ref().map_or(0, |in_flight| in_flight.entries.len())
    }

    /// Returns the time at which [`FileDistribution::next_publication`] is due; `Duration::MAX` if nothing is
    /// pending, a snapshot is being written, or another controller has taken over.
    pub fn next_due(&self) -> Duration {
        let is_idle = self.pending.is_empty() || self.in_flight.is_some() || self.fenced_by.is_some();
        if is_idle { Duration::MAX } else { self.retry_at }
    }

    /// Returns the next snapshot if one is due and its content differs from the last one.
    pub fn next_publication(&mut self, now: Duration, context: &UpdateContext) -> Option<Arc<Publication>> {
        if now < self.next_due() {
            return None;
        }
        let entries = std::mem::take(&mut self.pending);
        let readers = self.readers.values().map(|reader| (reader.name.as_str(), &reader.assigned));
        let content = snapshot_content(readers, context);
        if self.last_content.as_ref() == Some(&content) {
            return None;
        }
        // A reader without a table of this epoch continues to use those of an earlier epoch.
        let keep_earlier_epochs = self.readers.values().any(|reader| reader.assigned.is_empty());
        let retention = RetentionPolicy { max_snapshots: self.retained_snapshots, keep_earlier_epochs };
        let publication = Arc::new(Publication { content, retention });
        self.in_flight = Some(PublicationInFlight {
            publication: publication.clone(),
            entries,
            since: self.pending_since,
        });
        Some(publication)
    }

    /// Records the result of writing the snapshot in flight, and returns it.
    ///
    /// # Errors
    /// Returns the error of the result, or [`PublishError::Unexpected`] if no snapshot is in flight.
    pub fn publication_finished(
        &mut self,
        now: Duration,
        result: Result<WrittenSnapshot, PublishError>,
    ) -> Result<WrittenSnapshot, PublishError> {
        let in_flight = self.in_flight.take().ok_or(PublishError::Unexpected)?;
        match result {
            Ok(written) => {
                self.record_written(written, in_flight);
                Ok(written)
            }
            Err(error) => {
                self.retry_later(now, in_flight);
                if let PublishError::Fenced(epoch) = error {
                    self.fenced_by = Some(epoch);
                }
                self.last_error = Some(error.to_string());
                Err(error)
            }
        }
    }

    fn record_written(&mut self, written: WrittenSnapshot, in_flight: PublicationInFlight) {
        self.last_content = Some(in_flight.publication.content.clone());
        self.decided_at.insert(written.version, in_flight.since);
        while self.decided_at.len() > MAX_TRACKED_SNAPSHOTS {
            self.decided_at.pop_first();
        }
        self.totals.snapshots += 1;
        self.totals.files += written.files as u64;
        self.totals.bytes += written.bytes;
        self.last_snapshot = Some(written);
        self.backoff = Duration::ZERO;
        self.last_error = None;
    }

    /// Makes the entries of a failed snapshot pending again, and sets the time of the next attempt.
    fn retry_later(&mut self, now: Duration, in_flight: PublicationInFlight) {
        self.totals.failures += 1;
        self.pending_since = match self.pending.is_empty() {
            true => in_flight.since,
            false => self.pending_since.min(in_flight.since),
        };
        self.pending.extend(in_flight.entries);
        self.backoff = (self.backoff * 2).clamp(MIN_RETRY_BACKOFF, MAX_RETRY_BACKOFF);
        self.retry_at = now + self.backoff;
    }

    /// Records the report of a proxy, and returns the text of an event if the proxy newly rejects a snapshot.
    pub fn record_report(&mut self, report: SnapshotReport) -> Option<String> {
        let epoch = self.last_snapshot.map(|snapshot| snapshot.epoch);
        let reader = self.readers.get_mut(self.reader_ids.get(&report.proxy)?)?;
        let applied_in_epoch =
            |report: &SnapshotReport| report.applied.filter(|applied| Some(applied.epoch) == epoch);
        if let Some(AppliedVersion { version, applied_at, .. }) = applied_in_epoch(&report) {
            let earlier = applied_in_epoch(&reader.report).map_or(0, |applied| applied.version);
            // After a restart of the proxy, `version` may be less than `earlier`; then nothing is recorded.
            let newly_applied = |snapshot: Version| snapshot > earlier && snapshot <= version;
            for (_, decided_at) in self.decided_at.iter().filter(|(snapshot, _)| newly_applied(**snapshot)) {
                let latency = applied_at.saturating_sub(*decided_at);
                self.apply_latency.saturating_record(latency.as_micros() as u64);
            }
        }
        let rejected =
            report.rejected.clone().filter(|rejected| reader.report.rejected.as_ref() != Some(rejected));
        reader.report = report;
        let RejectedVersion { epoch, version, reason } = rejected?;
        Some(format!("{} rejects snapshot e{epoch} g{version}: {reason}", reader.name))
    }

    /// Returns the last report of a proxy, which is empty before the first one, or `None` if the proxy reads no
    /// files.
    pub fn report(&self, proxy: ProxyId) -> Option<&SnapshotReport> {
        self.readers.get(&proxy).map(|reader| &reader.report)
    }

    /// Returns the tables that are assigned to a proxy; none if the proxy reads no files.
    pub fn tables(&self, proxy: ProxyId) -> BTreeSet<TableId> {
        let assigned = self.readers.get(&proxy).map(|reader| reader.assigned.values().copied());
        assigned.into_iter().flatten().collect()
    }
}

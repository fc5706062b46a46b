//! Distribution of tables to proxies that read files. What the decisions assign to them is gathered into one content,
//! which goes out as a snapshot whenever it differs from the last: one file serves all proxies on a table. One
//! snapshot is written at a time; what changes meanwhile goes with the next. Nothing is decided here about what
//! stands in a table.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use lockcroft::{ClassId, EndpointId, ProxyId, TableId};
use lockcroft_table_format::SnapshotContent;
use lockcroft_table_store::{Epoch, RetentionPolicy, Version, WrittenSnapshot};

use crate::error::PublishError;
use crate::publication::{AppliedReport, AppliedVersion, Publication, RejectedVersion};
use crate::snapshot_content::{Assignments, snapshot_content};
use crate::update_context::UpdateContext;

/// After a snapshot that could not be written the next attempt waits for so long, and twice as long each time.
const MIN_RETRY_BACKOFF: Duration = Duration::from_millis(200);
const MAX_RETRY_BACKOFF: Duration = Duration::from_secs(5);
/// The decision times of so many snapshots are kept for proxies that are still to apply them.
const MAX_TRACKED_SNAPSHOTS: usize = 64;
/// The longest latency that is recorded, in microseconds.
pub const MAX_LATENCY_US: u64 = 600_000_000;

/// What differs from what was written last, as far as is known before the content is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PendingEntry {
    Entry(TableId, EndpointId),
    Admission(TableId, ClassId),
    Assignment(ProxyId),
    Ejection(EndpointId),
}

/// A proxy that reads files.
#[derive(Default)]
struct Reader {
    name: String,
    assigned: Assignments,
    report: AppliedReport,
}

/// A snapshot that is being written.
struct PublicationInFlight {
    publication: Arc<Publication>,
    entries: BTreeSet<PendingEntry>,
    since: Duration,
}

/// Counts for `show info`.
#[derive(Clone, Copy, Default)]
pub struct PublicationTotals {
    pub snapshots: u64,
    pub failures: u64,
    pub files: u64,
    pub bytes: u64,
}

pub struct FileDistribution {
    readers: BTreeMap<ProxyId, Reader>,
    reader_ids: BTreeMap<String, ProxyId>,
    retained_snapshots: usize,
    pending: BTreeSet<PendingEntry>,
    /// When the oldest pending entry was decided.
    pending_since: Duration,
    last_content: Option<SnapshotContent>,
    pub last_snapshot: Option<WrittenSnapshot>,
    in_flight: Option<PublicationInFlight>,
    backoff: Duration,
    retry_at: Duration,
    /// The epoch that fences this controller off, so that nothing is written any more.
    pub fenced_by: Option<Epoch>,
    /// What went wrong last.
    pub last_error: Option<String>,
    /// When the content of each snapshot was decided.
    decided_at: BTreeMap<Version, Duration>,
    pub totals: PublicationTotals,
    /// Microseconds from a decision to a proxy that has applied it.
    pub apply_latency: Histogram<u64>,
}

impl FileDistribution {
    /// For these proxies, which read files.
    ///
    /// # Panics
    /// Never: the histogram's bounds are constants.
    pub fn new(retained_snapshots: usize, proxies: impl Iterator<Item = (ProxyId, String)>) -> Self {
        let reader = |(proxy, name): (ProxyId, String)| (proxy, Reader { name, ..Reader::default() });
        let readers: BTreeMap<ProxyId, Reader> = proxies.map(reader).collect();
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

    /// Whether any proxy reads files.
    pub fn is_used(&self) -> bool {
        !self.readers.is_empty()
    }

    /// Whether this proxy reads files.
    pub fn serves(&self, proxy: ProxyId) -> bool {
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

    /// An entry of a table changed.
    pub fn mark_entry(&mut self, now: Duration, table: TableId, endpoint: EndpointId) {
        if self.is_assigned(table) {
            self.mark(now, PendingEntry::Entry(table, endpoint));
        }
    }

    /// Admission of a class changed in a table.
    pub fn mark_admission(&mut self, now: Duration, table: TableId, class: ClassId) {
        if self.is_assigned(table) {
            self.mark(now, PendingEntry::Admission(table, class));
        }
    }

    /// An endpoint was ejected or restored. It reaches all readers, whatever tables they hold, and whether they are
    /// connected or not.
    pub fn mark_ejection(&mut self, now: Duration, endpoint: EndpointId) {
        if self.is_used() {
            self.mark(now, PendingEntry::Ejection(endpoint));
        }
    }

    /// The proxy stays on a table until it is assigned another, also while it is disconnected: the files reach it.
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

    /// Entries that wait to be written.
    pub fn queued_entries(&self) -> usize {
        self.pending.len() + self.in_flight.as_ref().map_or(0, |in_flight| in_flight.entries.len())
    }

    /// When [`FileDistribution::next_publication`] may have something to give.
    pub fn next_due(&self) -> Duration {
        let is_idle = self.pending.is_empty() || self.in_flight.is_some() || self.fenced_by.is_some();
        if is_idle { Duration::MAX } else { self.retry_at }
    }

    /// The next snapshot, if anything differs and none is being written.
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
        // A reader without a table of this epoch has to find those of the epoch before.
        let earlier_epochs = self.readers.values().any(|reader| reader.assigned.is_empty());
        let keep =
            RetentionPolicy { max_snapshots: self.retained_snapshots, keep_earlier_epochs: earlier_epochs };
        let publication = Arc::new(Publication { content, keep });
        self.in_flight = Some(PublicationInFlight {
            publication: publication.clone(),
            entries,
            since: self.pending_since,
        });
        Some(publication)
    }

    /// How the writing of the snapshot in flight ended.
    ///
    /// # Errors
    /// Why it did not go out, for the people on call; the last one stands.
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

    /// What did not go out waits again, with what came meanwhile.
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

    /// Takes in what a proxy reports. Gives the text of an event for a snapshot that it newly refuses.
    pub fn record_report(&mut self, report: AppliedReport) -> Option<String> {
        let epoch = self.last_snapshot.map(|snapshot| snapshot.epoch);
        let reader = self.readers.get_mut(self.reader_ids.get(&report.proxy)?)?;
        let of_epoch = |report: &AppliedReport| report.applied.filter(|applied| Some(applied.epoch) == epoch);
        if let Some(AppliedVersion { version, applied_at, .. }) = of_epoch(&report) {
            let earlier = of_epoch(&reader.report).map_or(0, |applied| applied.version);
            // A proxy that was started anew may report less than before.
            for (_, since) in self.decided_at.iter().filter(|(of, _)| **of > earlier && **of <= version) {
                let latency = applied_at.saturating_sub(*since);
                self.apply_latency.saturating_record(latency.as_micros() as u64);
            }
        }
        let rejected =
            report.rejected.clone().filter(|rejected| reader.report.rejected.as_ref() != Some(rejected));
        reader.report = report;
        let RejectedVersion { epoch, version, reason } = rejected?;
        Some(format!("{} refuses e{epoch} g{version}: {reason}", reader.name))
    }

    /// What a proxy reported last; none for one that reads no files.
    pub fn report(&self, proxy: ProxyId) -> Option<&AppliedReport> {
        self.readers.get(&proxy).map(|reader| &reader.report)
    }

    /// The tables that are assigned to a proxy that reads files.
    pub fn tables(&self, proxy: ProxyId) -> BTreeSet<TableId> {
        let assigned = self.readers.get(&proxy).map(|reader| reader.assigned.values().copied());
        assigned.into_iter().flatten().collect()
    }
}

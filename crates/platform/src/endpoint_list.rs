//! The endpoint list as discovery reports it: versions, names, addresses, and the age of each endpoint's process.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use lockcroft::{EndpointId, EndpointRecord, EndpointStatus};
use lockcroft_host::{NameIndex, NameInterner};
use serde_json::Value;

use crate::list_message::{EntryError, ListEntry, ListError, ListMessage};

/// Discovery reports a change at the latest this long after it (the protocol's page). Until then a whole list older
/// than the one that is held is a late one; after that, discovery has begun to count anew.
const MAX_DISCOVERY_DELAY: Duration = Duration::from_secs(6);

/// What a message of discovery changes.
pub struct ListUpdate {
    /// The records are the whole list.
    pub is_complete: bool,
    /// The version of the list after this update.
    pub version: u64,
    pub records: Vec<EndpointRecord>,
    /// Why entries could not be used; the others count.
    pub errors: Vec<EntryError>,
}

/// The two clocks at one instant.
#[derive(Clone, Copy)]
pub struct Now {
    /// Time since the start of this controller.
    pub elapsed: Duration,
    /// Unix milliseconds, as all machines read them.
    pub unix_ms: u64,
}

/// When a process started, as discovery says, and how old it was when that start was first reported.
#[derive(Clone)]
struct ProcessStart {
    started_unix_ms: u64,
    age_when_reported: Duration,
    reported_at: Duration,
}

/// The endpoint list that is held.
#[derive(Default)]
pub struct EndpointList {
    names: NameInterner,
    addresses: BTreeMap<EndpointId, SocketAddr>,
    starts: BTreeMap<EndpointId, ProcessStart>,
    /// Endpoints that drained, were removed or started since this controller runs: some controller may have ejected
    /// them.
    ever_changed: BTreeSet<EndpointId>,
    /// Endpoints on the list now.
    listed: BTreeSet<EndpointId>,
    version: Option<u64>,
    /// Since when only whole lists older than the one that is held came.
    stale_since: Option<Duration>,
}

impl EndpointList {
    /// The name of an endpoint that was listed at some time.
    pub fn name(&self, endpoint: EndpointId) -> &str {
        self.names.name(endpoint)
    }

    /// The endpoint of this name, if it was listed at some time.
    pub fn find(&self, name: &str) -> Option<EndpointId> {
        self.names.find(name)
    }

    /// Where the endpoint listens, as last listed.
    pub fn address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        self.addresses.get(&endpoint).copied()
    }

    /// How many endpoints are on the list.
    pub fn len(&self) -> usize {
        self.listed.len()
    }

    /// Whether some controller may have ejected it at a proxy that still keeps the ejection.
    pub fn may_be_ejected(&self, endpoint: EndpointId) -> bool {
        self.ever_changed.contains(&endpoint)
    }

    /// The version that is held, to ask for changes since.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Applies a message of discovery.
    ///
    /// # Errors
    /// It can't be used as a whole; the list stays as it was.
    pub fn apply(&mut self, now: Now, message: &Value, names: &NameIndex) -> Result<ListUpdate, ListError> {
        let message = ListMessage::parse(message)?;
        self.check_version(now, &message)?;
        let update = self.read_entries(now, &message, names);
        // A list of which nothing can be used must not take away all that is held.
        if update.is_complete && update.records.is_empty() && !self.listed.is_empty() {
            return Err(ListError::NoUsableEntry { rejected: update.errors.len() });
        }
        if update.is_complete {
            self.remove_unlisted(&update.records);
        }
        update.records.iter().for_each(|record| self.apply_record(record));
        self.version = Some(update.version);
        self.stale_since = None;
        Ok(update)
    }

    fn check_version(&mut self, now: Now, message: &ListMessage) -> Result<(), ListError> {
        let version = message.version;
        let held = self.version;
        if !message.is_complete && held.is_none_or(|held| version < held) {
            return Err(ListError::ChangesWithoutBase { version, current: held });
        }
        if held.is_some_and(|held| version < held) {
            let stale_since = *self.stale_since.get_or_insert(now.elapsed);
            if now.elapsed < stale_since + MAX_DISCOVERY_DELAY {
                return Err(ListError::Stale { version, current: held });
            }
        }
        Ok(())
    }

    fn read_entries(&mut self, now: Now, message: &ListMessage, names: &NameIndex) -> ListUpdate {
        let mut update = ListUpdate {
            is_complete: message.is_complete,
            version: message.version,
            records: Vec::new(),
            errors: Vec::new(),
        };
        for entry in message.entries {
            match ListEntry::parse(entry, names) {
                Ok(entry) => update.records.push(self.record(now, &entry)),
                Err(error) => update.errors.push(error),
            }
        }
        update
    }

    fn record(&mut self, now: Now, entry: &ListEntry) -> EndpointRecord {
        let endpoint = self.names.intern(entry.name);
        self.addresses.insert(endpoint, entry.address);
        let age = entry.started_unix_ms.map(|started_unix_ms| self.age(now, endpoint, started_unix_ms));
        EndpointRecord {
            endpoint,
            zone: entry.zone,
            machine_type: entry.machine_type,
            status: entry.status,
            weight: entry.weight,
            age,
        }
    }

    /// How long ago the process started. A start that was reported before keeps its age on the controller's clock, so
    /// that two reports of one start never look like two starts.
    fn age(&mut self, now: Now, endpoint: EndpointId, started_unix_ms: u64) -> Duration {
        let reported = ProcessStart {
            started_unix_ms,
            age_when_reported: Duration::from_millis(now.unix_ms.saturating_sub(started_unix_ms)),
            reported_at: now.elapsed,
        };
        let start = self.starts.entry(endpoint).or_insert_with(|| reported.clone());
        if start.started_unix_ms != started_unix_ms {
            *start = reported;
        }
        start.age_when_reported + now.elapsed.saturating_sub(start.reported_at)
    }

    fn remove_unlisted(&mut self, records: &[EndpointRecord]) {
        let remaining: BTreeSet<EndpointId> = records.iter().map(|record| record.endpoint).collect();
        self.ever_changed.extend(self.listed.difference(&remaining));
        self.listed.clear();
    }

    fn apply_record(&mut self, record: &EndpointRecord) {
        let endpoint = record.endpoint;
        if record.status == EndpointStatus::Removed {
            self.listed.remove(&endpoint);
        } else {
            self.listed.insert(endpoint);
        }
        if record.status != EndpointStatus::Ready || self.starts.contains_key(&endpoint) {
            self.ever_changed.insert(endpoint);
        }
    }
}

//! The endpoint list as reported by discovery: its version, and the name, address and process age of each endpoint.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use lockcroft::{EndpointId, EndpointRecord, EndpointStatus};
use lockcroft_host::{NameIndex, NameInterner};
use serde_json::Value;

use crate::list_message::{EntryError, ListEntry, ListError, ListMessage};

/// The maximum time from a change to its report by discovery, as the protocol states. For this time, complete lists
/// with a lower version than the current one are treated as late; if they still arrive after it, discovery has
/// restarted its version numbers.
const MAX_DISCOVERY_DELAY: Duration = Duration::from_secs(6);

/// The content of a discovery message.
pub struct ListUpdate {
    /// True if the records are the complete list, false if they are changes.
    pub is_complete: bool,
    /// The version of the list after this update.
    pub version: u64,
    pub records: Vec<EndpointRecord>,
    /// Errors of invalid entries, which are skipped.
    pub errors: Vec<EntryError>,
}

/// The current time on both clocks.
#[derive(Clone, Copy)]
pub struct Now {
    /// The time since this controller started, on a monotonic clock.
    pub elapsed: Duration,
    /// The wall clock time in Unix milliseconds.
    pub unix_ms: u64,
}

/// The start time of an endpoint's process, and its age when discovery first reported this start.
#[derive(Clone)]
struct ProcessStart {
    started_unix_ms: u64,
    age_when_reported: Duration,
    /// When this start was first reported, since the controller started.
    reported_at: Duration,
}

/// The current endpoint list.
#[derive(Default)]
pub struct EndpointList {
    names: NameInterner,
    addresses: BTreeMap<EndpointId, SocketAddr>,
    starts: BTreeMap<EndpointId, ProcessStart>,
    /// Endpoints that are currently on the list.
    listed: BTreeSet<EndpointId>,
    version: Option<u64>,
    /// When a complete list with a lower version than the current one was first rejected since the last applied
    /// message.
    stale_since: Option<Duration>,
}

impl EndpointList {
    /// Returns the name of an endpoint that was ever listed.
    ///
    /// # Panics
    /// Panics if no endpoint has this id.
    pub fn name(&self, endpoint: EndpointId) -> &str {
        self.names.name(endpoint)
    }

    /// Returns the endpoint with this name, if it was ever listed.
    pub fn find(&self, name: &str) -> Option<EndpointId> {
        self.names.find(name)
    }

    /// Returns the last listed address of an endpoint.
    pub fn address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        self.addresses.get(&endpoint).copied()
    }

    /// Returns the number of endpoints on the list.
    pub fn len(&self) -> usize {
        self.listed.len()
    }

    /// Returns the current version; `None` before the first list.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Applies a discovery message and returns its valid entries.
    ///
    /// # Errors
    /// Returns an error and leaves the list unchanged if the message as a whole is invalid or stale.
    pub fn apply(&mut self, now: Now, message: &Value, names: &NameIndex) -> Result<ListUpdate, ListError> {
        let message = ListMessage::parse(message)?;
        self.check_version(now, &message)?;
        let update = self.read_entries(now, &message, names);
        // A complete list without a valid entry must not remove all endpoints.
        if update.is_complete && update.records.is_empty() && !self.listed.is_empty() {
            return Err(ListError::NoUsableEntry { rejected: update.errors.len() });
        }
        if update.is_complete {
            self.listed.clear();
        }
        update.records.iter().for_each(|record| self.apply_record(record));
        self.version = Some(update.version);
        self.stale_since = None;
        Ok(update)
    }

    fn check_version(&mut self, now: Now, message: &ListMessage) -> Result<(), ListError> {
        let version = message.version;
        let current = self.version;
        if !message.is_complete && current.is_none_or(|current| version < current) {
            return Err(ListError::ChangesWithoutBase { version, current });
        }
        if current.is_some_and(|current| version < current) {
            let stale_since = *self.stale_since.get_or_insert(now.elapsed);
            if now.elapsed < stale_since + MAX_DISCOVERY_DELAY {
                return Err(ListError::Stale { version, current });
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
                Ok(entry) => update.records.push(self.record_of(now, &entry)),
                Err(error) => update.errors.push(error),
            }
        }
        update
    }

    fn record_of(&mut self, now: Now, entry: &ListEntry) -> EndpointRecord {
        let endpoint = self.names.intern(entry.name);
        self.addresses.insert(endpoint, entry.address);
        let age =
            entry.started_unix_ms.map(|started_unix_ms| self.process_age(now, endpoint, started_unix_ms));
        EndpointRecord {
            endpoint,
            zone: entry.zone,
            machine_type: entry.machine_type,
            status: entry.status,
            weight: entry.weight,
            age,
        }
    }

    /// Returns the time since the endpoint's process started. The age of a start that was reported before advances with
    /// the controller's monotonic clock, so that two reports of the same start are never treated as two starts.
    fn process_age(&mut self, now: Now, endpoint: EndpointId, started_unix_ms: u64) -> Duration {
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

    fn apply_record(&mut self, record: &EndpointRecord) {
        let endpoint = record.endpoint;
        if record.status == EndpointStatus::Removed {
            self.listed.remove(&endpoint);
        } else {
            self.listed.insert(endpoint);
        }
    }
}

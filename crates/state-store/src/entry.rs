//! Entries of the store, and the state that they add up to.

use std::collections::BTreeMap;

/// What an entry is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EntryKey {
    /// An endpoint, by name.
    Endpoint(String),
    /// The admission rate of a class at a routing table.
    AdmissionRate(String, u32),
    /// The measured capacity of an endpoint, by its name.
    Capacity(String),
}

/// What was known of an endpoint. Times are milliseconds of the wall clock, 0 for none.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecordedEndpoint {
    /// Name of its zone.
    pub zone: String,
    /// Name of its machine type.
    pub machine_type: String,
    /// The endpoint list no longer had it, or reported it as removed.
    pub removed: bool,
    /// The endpoint list reported it as draining.
    pub draining: bool,
    /// The rise/fall counter of its health checks; `None` if unknown.
    pub health_counter: Option<u32>,
    /// Until when it counts as an outlier.
    pub outlier_until_ms: u64,
    /// When its process started.
    pub started_ms: u64,
    /// When its slow start ends.
    pub slow_start_until_ms: u64,
    /// Fraction of its full weight, from 0 to 1, that load-based weight reduction left.
    pub weight_factor: f64,
}

/// What was learned; its variant is that of the entry's [`EntryKey`].
#[derive(Clone, Debug, PartialEq)]
pub enum EntryValue {
    /// Figures of an endpoint.
    Endpoint(RecordedEndpoint),
    /// Admission rate, from 0 to 1.
    AdmissionRate(f64),
    /// Capacity in cores.
    Capacity(f64),
}

/// One thing that was learned, and when.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// When it was so, in milliseconds of the wall clock.
    pub at_ms: u64,
    /// What it is about.
    pub key: EntryKey,
    /// What was learned.
    pub value: EntryValue,
}

/// The last entry of each key: its time in milliseconds of the wall clock, and its value.
pub type State = BTreeMap<EntryKey, (u64, EntryValue)>;

/// Replaces what the state had for the entry's key.
pub(crate) fn apply(state: &mut State, entry: Entry) {
    state.insert(entry.key, (entry.at_ms, entry.value));
}

//! Entries of the store, and the state that results from applying them in order.

use std::collections::BTreeMap;

/// Identifies the object to which an entry applies.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EntryKey {
    /// An endpoint, by name.
    Endpoint(String),
    /// The admission rate of a class, by its name, at a routing table, by its number.
    AdmissionRate(String, u32),
    /// The measured capacity of an endpoint, by the endpoint's name.
    Capacity(String),
}

/// The persisted state of an endpoint. Times are in milliseconds of the wall clock; 0 means none.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecordedEndpoint {
    /// Name of the endpoint's zone.
    pub zone: String,
    /// Name of the endpoint's machine type.
    pub machine_type: String,
    /// True if the endpoint list no longer contained the endpoint, or reported it as removed.
    pub removed: bool,
    /// True if the endpoint list reported the endpoint as draining.
    pub draining: bool,
    /// Rise/fall counter of the endpoint's health checks; `None` if unknown.
    pub health_counter: Option<u32>,
    /// Time until which the endpoint counts as an outlier.
    pub outlier_until_ms: u64,
    /// Start time of the endpoint's process.
    pub started_ms: u64,
    /// End time of the endpoint's slow start.
    pub slow_start_until_ms: u64,
    /// Fraction of the endpoint's full weight, from 0 to 1, that remains after load-based weight reduction.
    pub weight_factor: f64,
}

/// The learned value of an entry. Its variant has to be the same as that of the entry's [`EntryKey`].
#[derive(Clone, Debug, PartialEq)]
pub enum EntryValue {
    /// State of an endpoint.
    Endpoint(RecordedEndpoint),
    /// Admission rate, from 0 to 1.
    AdmissionRate(f64),
    /// Capacity in cores.
    Capacity(f64),
}

/// A learned value, with its key and time.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Time at which the value was observed, in milliseconds of the wall clock.
    pub at_ms: u64,
    /// Key of the entry; a later entry with the same key replaces this one.
    pub key: EntryKey,
    /// The learned value.
    pub value: EntryValue,
}

/// The last entry of each key: its time, in milliseconds of the wall clock, and its value.
pub type State = BTreeMap<EntryKey, (u64, EntryValue)>;

/// Replaces the state's entry of the same key.
pub(crate) fn apply(state: &mut State, entry: Entry) {
    state.insert(entry.key, (entry.at_ms, entry.value));
}

//! Parses messages of discovery: JSON objects with the complete endpoint list or with changes to it. The field names of
//! these messages appear only in this module.

use std::net::SocketAddr;

use lockcroft::{EndpointStatus, MachineTypeId, ZoneId};
use lockcroft_host::{NameIndex, UnknownName};
use serde_json::Value;
use thiserror::Error;

/// An error that makes a discovery message unusable as a whole.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ListError {
    /// The version is missing or invalid.
    #[error("index is missing or not a whole number")]
    MissingVersion,
    /// The flag that distinguishes a complete list from changes is missing or invalid.
    #[error("snapshot is missing or not a boolean")]
    MissingSnapshotFlag,
    /// The array of entries is missing or invalid.
    #[error("endpoints is missing or not an array")]
    MissingEntries,
    /// The message has changes, but no list was received yet, or the current list has a higher version.
    #[error("changes to version {version} don't apply to current version {current:?}")]
    ChangesWithoutBase {
        /// The version of the changes.
        version: u64,
        /// The version of the current list.
        current: Option<u64>,
    },
    /// The message has a complete list with a lower version than the current one.
    #[error("complete list of version {version} is older than current version {current:?}")]
    Stale {
        /// The version of the complete list.
        version: u64,
        /// The version of the current list.
        current: Option<u64>,
    },
    /// The message has a complete list without a valid entry, while the current list has endpoints.
    #[error("complete list has no valid entry, {rejected} rejected")]
    NoUsableEntry {
        /// The number of invalid entries.
        rejected: usize,
    },
}

/// An error that makes an entry of the list unusable.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum EntryError {
    /// A field is missing or not a string.
    #[error("{field} of {entry} is missing or not a string")]
    NotText {
        /// The name of the field.
        field: &'static str,
        /// The entry.
        entry: Value,
    },
    /// The status is not one of the protocol.
    #[error("status of {name}: {status:?}; allowed: up, draining, removed")]
    UnknownStatus {
        /// The name of the endpoint.
        name: String,
        /// The status that was found.
        status: String,
    },
    /// The settings don't define its zone or machine type.
    #[error(transparent)]
    UnknownName(#[from] UnknownName),
    /// The weight is negative.
    #[error("weight of {name}: {weight}; allowed: 0 or more")]
    InvalidWeight {
        /// The name of the endpoint.
        name: String,
        /// The weight that was found.
        weight: f64,
    },
    /// The address is invalid.
    #[error("address of {name}: {address:?}; allowed: an IP address and a port")]
    InvalidAddress {
        /// The name of the endpoint.
        name: String,
        /// The address that was found.
        address: String,
    },
}

/// A discovery message whose entries are not parsed yet.
pub struct ListMessage<'a> {
    pub version: u64,
    /// True if the entries are the complete list, false if they are changes.
    pub is_complete: bool,
    pub entries: &'a [Value],
}

impl<'a> ListMessage<'a> {
    /// Parses a message except for its entries.
    ///
    /// # Errors
    /// Returns an error if a field of the message is missing or invalid.
    pub fn parse(message: &'a Value) -> Result<Self, ListError> {
        let version = message["index"].as_u64().ok_or(ListError::MissingVersion)?;
        let is_complete = message["snapshot"].as_bool().ok_or(ListError::MissingSnapshotFlag)?;
        let entries = message["endpoints"].as_array().ok_or(ListError::MissingEntries)?;
        Ok(ListMessage { version, is_complete, entries })
    }
}

/// An entry of the endpoint list.
pub struct ListEntry<'a> {
    pub name: &'a str,
    pub address: SocketAddr,
    pub zone: ZoneId,
    pub machine_type: MachineTypeId,
    pub status: EndpointStatus,
    pub weight: f64,
    /// The start time of the endpoint's process in Unix milliseconds; `None` if it started long ago.
    pub started_unix_ms: Option<u64>,
}

impl<'a> ListEntry<'a> {
    /// Parses an entry. A weight that is missing or not a number counts as 1.
    ///
    /// # Errors
    /// Returns an error if a field is missing or invalid, or if the settings don't define its zone or machine type.
    pub fn parse(entry: &'a Value, names: &NameIndex) -> Result<Self, EntryError> {
        let name = string_field(entry, "name")?;
        let status = status(name, string_field(entry, "status")?)?;
        let zone = names.zone(string_field(entry, "zone")?)?;
        let machine_type = names.machine_type(string_field(entry, "type")?)?;
        let weight = entry["weight"].as_f64().unwrap_or(1.0);
        if !(weight >= 0.0 && weight.is_finite()) {
            return Err(EntryError::InvalidWeight { name: name.into(), weight });
        }
        let address = address(name, string_field(entry, "address")?)?;
        let started_unix_ms = entry["since_ms"].as_u64().filter(|started| *started != 0);
        Ok(ListEntry { name, address, zone, machine_type, status, weight, started_unix_ms })
    }
}

fn string_field<'a>(entry: &'a Value, field: &'static str) -> Result<&'a str, EntryError> {
    entry[field].as_str().ok_or_else(|| EntryError::NotText { field, entry: entry.clone() })
}

fn status(name: &str, status: &str) -> Result<EndpointStatus, EntryError> {
    match status {
        "up" => Ok(EndpointStatus::Ready),
        "draining" => Ok(EndpointStatus::Draining),
        "removed" => Ok(EndpointStatus::Removed),
        other => Err(EntryError::UnknownStatus { name: name.into(), status: other.into() }),
    }
}

fn address(name: &str, address: &str) -> Result<SocketAddr, EntryError> {
    address.parse().map_err(|_| EntryError::InvalidAddress { name: name.into(), address: address.into() })
}

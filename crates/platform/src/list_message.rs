//! Messages of discovery: a JSON object with the whole endpoint list or its changes. This is the only place with the
//! names of its fields.

use std::net::SocketAddr;

use lockcroft::{EndpointStatus, MachineTypeId, ZoneId};
use lockcroft_host::{NameIndex, UnknownName};
use serde_json::Value;
use thiserror::Error;

/// Why a message of discovery changes nothing.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ListError {
    /// The version is missing.
    #[error("index: not a whole number")]
    MissingVersion,
    /// It does not say whether it is the whole list.
    #[error("snapshot: neither true nor false")]
    MissingSnapshotFlag,
    /// There is no list of entries.
    #[error("endpoints: not a list")]
    MissingEntries,
    /// Changes that do not continue the list that is held.
    #[error("changes to version {version} on top of {current:?}")]
    ChangesWithoutBase {
        /// The version of the changes.
        version: u64,
        /// The version that is held.
        current: Option<u64>,
    },
    /// A whole list that is older than the one that is held.
    #[error("a whole list of version {version}, older than {current:?}")]
    Stale {
        /// The version of the whole list.
        version: u64,
        /// The version that is held.
        current: Option<u64>,
    },
    /// A whole list of which nothing can be used, while endpoints are held.
    #[error("a whole list without a usable entry, {rejected} faults")]
    NoUsableEntry {
        /// How many entries could not be used.
        rejected: usize,
    },
}

/// Why one entry of the list can't be used.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum EntryError {
    /// A field is missing, or no text.
    #[error("{field} of {entry}: not a text")]
    NotText {
        /// The name of the field.
        field: &'static str,
        /// The whole entry.
        entry: Value,
    },
    /// The status is none of the protocol's.
    #[error("status of {name}: {status:?}; allowed: up, draining, removed")]
    UnknownStatus {
        /// The name of the endpoint.
        name: String,
        /// The status that stands there.
        status: String,
    },
    /// The settings do not state its zone or machine type.
    #[error(transparent)]
    UnknownName(#[from] UnknownName),
    /// The weight is below 0.
    #[error("weight of {name}: {weight}; allowed: 0 or more")]
    InvalidWeight {
        /// The name of the endpoint.
        name: String,
        /// The weight that stands there.
        weight: f64,
    },
    /// The address can't be read.
    #[error("address of {name}: {address:?}")]
    InvalidAddress {
        /// The name of the endpoint.
        name: String,
        /// The address that stands there.
        address: String,
    },
}

/// A message of discovery, with its entries not read yet.
pub struct ListMessage<'a> {
    pub version: u64,
    /// The entries are the whole list; else they are changes.
    pub is_complete: bool,
    pub entries: &'a [Value],
}

impl<'a> ListMessage<'a> {
    /// # Errors
    /// The message as a whole can't be used.
    pub fn parse(message: &'a Value) -> Result<Self, ListError> {
        let version = message["index"].as_u64().ok_or(ListError::MissingVersion)?;
        let is_complete = message["snapshot"].as_bool().ok_or(ListError::MissingSnapshotFlag)?;
        let entries = message["endpoints"].as_array().ok_or(ListError::MissingEntries)?;
        Ok(ListMessage { version, is_complete, entries })
    }
}

/// One entry of the list.
pub struct ListEntry<'a> {
    pub name: &'a str,
    pub address: SocketAddr,
    pub zone: ZoneId,
    pub machine_type: MachineTypeId,
    pub status: EndpointStatus,
    pub weight: f64,
    /// When its process last started, in Unix milliseconds; `None` for long ago.
    pub started_unix_ms: Option<u64>,
}

impl<'a> ListEntry<'a> {
    /// # Errors
    /// The entry can't be used.
    pub fn parse(entry: &'a Value, names: &NameIndex) -> Result<Self, EntryError> {
        let name = text(entry, "name")?;
        let status = status(name, text(entry, "status")?)?;
        let zone = names.zone(text(entry, "zone")?)?;
        let machine_type = names.machine_type(text(entry, "type")?)?;
        let weight = entry["weight"].as_f64().unwrap_or(1.0);
        if !(weight >= 0.0 && weight.is_finite()) {
            return Err(EntryError::InvalidWeight { name: name.into(), weight });
        }
        let address = address(name, text(entry, "address")?)?;
        let started_unix_ms = entry["since_ms"].as_u64().filter(|started| *started != 0);
        Ok(ListEntry { name, address, zone, machine_type, status, weight, started_unix_ms })
    }
}

fn text<'a>(entry: &'a Value, field: &'static str) -> Result<&'a str, EntryError> {
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

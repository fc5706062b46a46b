//! Converts tables, proxy groups and ejected endpoints to their stored messages and back.

use std::collections::{BTreeMap, BTreeSet};

use protobuf::Message;

use crate::content::{ProxyAssignment, ProxyGroup, Table, TableEntry};
use crate::error::FormatError;
use crate::{EJECTED_MEMBER, MAX_ADMISSION_PER_MILLE, MAX_WEIGHT, proto};

/// A table with the number that is stored in its file.
#[derive(Clone, Debug, PartialEq)]
pub struct NumberedTable {
    /// Number of the table.
    pub number: u32,
    /// The table.
    pub table: Table,
}

pub(crate) fn encode_table(number: u32, table: &Table) -> Vec<u8> {
    let entry = |(endpoint, entry): (&String, &TableEntry)| proto::Line {
        server: endpoint.clone(),
        address: entry.address.to_string(),
        weight: entry.weight,
        ..Default::default()
    };
    let entries = table.entries.iter().map(entry).collect();
    encode(&proto::Table { number, lines: entries, ..Default::default() })
}

pub(crate) fn encode_group(group: &ProxyGroup) -> Vec<u8> {
    let assignment = |(class, assignment): (&String, &ProxyAssignment)| proto::Bound {
        class: class.clone(),
        table: assignment.table,
        level: assignment.admission_per_mille,
        again: assignment.allows_retries,
        ..Default::default()
    };
    encode(&proto::Group {
        proxies: group.proxies.iter().cloned().collect(),
        bound: group.assignments.iter().map(assignment).collect(),
        ..Default::default()
    })
}

pub(crate) fn encode_ejected(endpoints: &BTreeSet<String>) -> Vec<u8> {
    encode(&proto::Withdrawn { servers: endpoints.iter().cloned().collect(), ..Default::default() })
}

/// Decodes the bytes of the named member as a table. The name is used in errors only.
///
/// # Errors
/// Fails if the bytes are not a table, if an address or weight is invalid, or if an endpoint is listed twice.
pub fn decode_table(member: &str, bytes: &[u8]) -> Result<NumberedTable, FormatError> {
    let message: proto::Table = decode(member, bytes)?;
    let mut table = Table::default();
    for stored in message.lines {
        let out_of_range = |value: String, limit: &str| FormatError::OutOfRange {
            location: format!("{member}, {}", stored.server),
            value,
            limit: limit.into(),
        };
        let Ok(address) = stored.address.parse() else {
            return Err(out_of_range(format!("address {:?}", stored.address), "IP:PORT"));
        };
        if !(1..=MAX_WEIGHT).contains(&stored.weight) {
            return Err(out_of_range(format!("weight {}", stored.weight), "1 to 256"));
        }
        let entry = TableEntry { address, weight: stored.weight };
        if table.entries.insert(stored.server.clone(), entry).is_some() {
            return Err(out_of_range("listed more than once".into(), "one entry per endpoint"));
        }
    }
    Ok(NumberedTable { number: message.number, table })
}

/// Decodes the bytes of the named member as a proxy group. The name is used in errors only.
///
/// # Errors
/// Fails if the bytes are not a proxy group, or if an admission rate is out of range.
pub fn decode_group(member: &str, bytes: &[u8]) -> Result<ProxyGroup, FormatError> {
    let message: proto::Group = decode(member, bytes)?;
    let mut assignments = BTreeMap::new();
    for stored in message.bound {
        if stored.level > MAX_ADMISSION_PER_MILLE {
            return Err(FormatError::OutOfRange {
                location: format!("{member}, {}", stored.class),
                value: format!("admission rate {}", stored.level),
                limit: "0 to 1000".into(),
            });
        }
        let assignment = ProxyAssignment {
            table: stored.table,
            admission_per_mille: stored.level,
            allows_retries: stored.again,
        };
        assignments.insert(stored.class, assignment);
    }
    Ok(ProxyGroup { proxies: message.proxies.into_iter().collect(), assignments })
}

/// Decodes the bytes of the member [`EJECTED_MEMBER`] and returns the names of the ejected endpoints.
///
/// # Errors
/// Fails if the bytes are not a list of endpoint names.
pub fn decode_ejected(bytes: &[u8]) -> Result<BTreeSet<String>, FormatError> {
    let message: proto::Withdrawn = decode(EJECTED_MEMBER, bytes)?;
    Ok(message.servers.into_iter().collect())
}

pub(crate) fn encode(message: &impl Message) -> Vec<u8> {
    message
        .write_to_bytes()
        .expect("encoding to memory fails only for missing required fields, and there are none")
}

/// Decodes a message; `file` names it in errors. The protobuf library checks each length field against the number of
/// remaining bytes before it allocates, so a false length can't exhaust memory.
pub(crate) fn decode<M: Message>(file: &str, bytes: &[u8]) -> Result<M, FormatError> {
    M::parse_from_bytes(bytes)
        .map_err(|error| FormatError::Malformed { file: file.into(), reason: error.to_string() })
}

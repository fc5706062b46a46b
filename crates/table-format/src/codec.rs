//! Maps tables, proxy groups and ejected endpoints to their stored messages and back.

use std::collections::{BTreeMap, BTreeSet};

use protobuf::Message;

use crate::content::{ProxyAssignment, ProxyGroup, Table, TableEntry};
use crate::error::FormatError;
use crate::{EJECTED_MEMBER, MAX_ADMISSION_PER_MILLE, MAX_WEIGHT, proto};

/// A table with the number that its file states.
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

/// Decodes the member of this name as a table.
///
/// # Errors
/// The bytes are no table, or a value in it is out of its range.
pub fn decode_table(member: &str, bytes: &[u8]) -> Result<NumberedTable, FormatError> {
    let message: proto::Table = decode(member, bytes)?;
    let mut table = Table::default();
    for line in message.lines {
        let out_of_range = |value: String, limit: &str| FormatError::OutOfRange {
            location: format!("{member}, {}", line.server),
            value,
            limit: limit.into(),
        };
        let Ok(address) = line.address.parse() else {
            return Err(out_of_range(format!("address {:?}", line.address), "IP:PORT"));
        };
        if !(1..=MAX_WEIGHT).contains(&line.weight) {
            return Err(out_of_range(format!("weight {}", line.weight), "1 to 256"));
        }
        let entry = TableEntry { address, weight: line.weight };
        if table.entries.insert(line.server.clone(), entry).is_some() {
            return Err(out_of_range("stands twice".into(), "each server once"));
        }
    }
    Ok(NumberedTable { number: message.number, table })
}

/// Decodes the member of this name as a proxy group.
///
/// # Errors
/// The bytes are no group, or an admission rate is out of its range.
pub fn decode_group(member: &str, bytes: &[u8]) -> Result<ProxyGroup, FormatError> {
    let message: proto::Group = decode(member, bytes)?;
    let mut assignments = BTreeMap::new();
    for bound in message.bound {
        if bound.level > MAX_ADMISSION_PER_MILLE {
            return Err(FormatError::OutOfRange {
                location: format!("{member}, {}", bound.class),
                value: format!("level {}", bound.level),
                limit: "0 to 1000".into(),
            });
        }
        let assignment = ProxyAssignment {
            table: bound.table,
            admission_per_mille: bound.level,
            allows_retries: bound.again,
        };
        assignments.insert(bound.class, assignment);
    }
    Ok(ProxyGroup { proxies: message.proxies.into_iter().collect(), assignments })
}

/// Decodes the member [`EJECTED_MEMBER`]: the names of the ejected endpoints.
///
/// # Errors
/// The bytes are no list of endpoints.
pub fn decode_ejected(bytes: &[u8]) -> Result<BTreeSet<String>, FormatError> {
    let message: proto::Withdrawn = decode(EJECTED_MEMBER, bytes)?;
    Ok(message.servers.into_iter().collect())
}

/// Encodes a message.
pub(crate) fn encode(message: &impl Message) -> Vec<u8> {
    message.write_to_bytes().expect("messages without required fields are written to memory")
}

/// Decodes a message. The library checks every length inside against the bytes that are there before it allocates.
pub(crate) fn decode<M: Message>(what: &str, bytes: &[u8]) -> Result<M, FormatError> {
    M::parse_from_bytes(bytes)
        .map_err(|error| FormatError::Malformed { what: what.into(), reason: error.to_string() })
}

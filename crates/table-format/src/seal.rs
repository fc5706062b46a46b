//! From content to the bytes of a generation.

use std::collections::BTreeMap;

use protobuf::{Message, MessageField};
use sha2::{Digest, Sha256};

use crate::content::{ProxyGroup, SnapshotContent, Table};
use crate::keys::KeyRing;
use crate::{FORMAT, WITHDRAWN, proto};

/// A file of a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    pub digest: [u8; 32],
    pub bytes: Vec<u8>,
}

/// All files of a generation, by name, and the sealed manifest over them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SealedSnapshot {
    pub epoch: u64,
    pub version: u64,
    pub members: BTreeMap<String, Member>,
    pub manifest: Vec<u8>,
}

/// The files that say this; the same content gives the same bytes.
pub fn seal(
    pilot: &str,
    epoch: u64,
    version: u64,
    content: &SnapshotContent,
    keys: &KeyRing,
) -> SealedSnapshot {
    let mut members = BTreeMap::new();
    for (number, table) in &content.tables {
        members.insert(format!("table-{number}"), member(&table_message(*number, table)));
    }
    for (number, group) in &content.groups {
        members.insert(format!("group-{number}"), member(&group_message(group)));
    }
    let servers = content.withdrawn.iter().cloned().collect();
    members.insert(WITHDRAWN.into(), member(&proto::Withdrawn { servers, ..Default::default() }));
    let listed = members.iter().map(|(name, member)| proto::Member {
        name: name.clone(),
        bytes: member.bytes.len() as u64,
        digest: member.digest.into(),
        ..Default::default()
    });
    let manifest = proto::Manifest {
        format: FORMAT,
        epoch,
        version,
        pilot: pilot.into(),
        members: listed.collect(),
        ..Default::default()
    };
    let manifest = bytes(&manifest);
    let seal = |key: &crate::Key| (key.name.clone(), key.sign(&manifest)).into();
    let seals = keys.0.iter().map(seal).collect();
    let manifest = bytes(&proto::Sealed { manifest: manifest.clone(), seals, ..Default::default() });
    SealedSnapshot { epoch, version, members, manifest }
}

/// A proxy's status, as bytes with their sum.
pub fn write_status(status: &proto::Status) -> Vec<u8> {
    bytes(&proto::Status { sum: status_sum(status), ..status.clone() })
}

/// Tells a status that was read in the midst of a write.
pub(crate) fn status_sum(status: &proto::Status) -> u32 {
    let digest = Sha256::digest(bytes(&proto::Status { sum: 0, ..status.clone() }));
    u32::from_le_bytes([digest[0], digest[1], digest[2], digest[3]])
}

fn table_message(number: u32, table: &Table) -> proto::Table {
    let line = |(server, line): (&String, &crate::TableEntry)| proto::Line {
        server: server.clone(),
        address: line.address.to_string(),
        weight: line.weight,
        ..Default::default()
    };
    proto::Table { number, lines: table.lines.iter().map(line).collect(), ..Default::default() }
}

fn group_message(group: &ProxyGroup) -> proto::Group {
    let bound = |(class, bound): (&String, &crate::ProxyAssignment)| proto::Bound {
        class: class.clone(),
        table: bound.table,
        level: bound.level,
        again: bound.again,
        ..Default::default()
    };
    proto::Group {
        proxies: group.proxies.iter().cloned().collect(),
        bound: group.bound.iter().map(bound).collect(),
        ..Default::default()
    }
}

fn member(message: &impl Message) -> Member {
    let bytes = bytes(message);
    Member { digest: Sha256::digest(&bytes).into(), bytes }
}

fn bytes(message: &impl Message) -> Vec<u8> {
    message.write_to_bytes().expect("messages without required fields are written to memory")
}

impl From<(String, Vec<u8>)> for proto::Seal {
    fn from((key, mac): (String, Vec<u8>)) -> Self {
        proto::Seal { key, mac, ..Default::default() }
    }
}

impl From<(u64, u64, String)> for proto::Refused {
    fn from((epoch, version, why): (u64, u64, String)) -> Self {
        proto::Refused { epoch, version, why, ..Default::default() }
    }
}

impl proto::Status {
    /// A status of a proxy that has laid nothing yet.
    pub fn of(proxy: &str) -> Self {
        proto::Status { proxy: proxy.into(), refused: MessageField::none(), ..Default::default() }
    }
}

//! Encodes the content of a snapshot into the bytes of its files.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};

use crate::codec::{encode, encode_ejected, encode_group, encode_table};
use crate::content::SnapshotContent;
use crate::keys::KeyRing;
use crate::manifest::encode_seal;
use crate::{EJECTED_MEMBER, FORMAT_VERSION, Sha256Digest, group_member_name, proto, table_member_name};

/// A member file of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// SHA-256 digest of the bytes.
    pub digest: Sha256Digest,
    /// Content of the file.
    pub bytes: Vec<u8>,
}

impl Member {
    fn new(bytes: Vec<u8>) -> Self {
        Member { digest: Sha256::digest(&bytes).into(), bytes }
    }
}

/// The bytes of all files of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SealedSnapshot {
    /// Epoch (fencing token) of the writer.
    pub epoch: u64,
    /// Version of the snapshot within its epoch.
    pub version: u64,
    /// Members by name.
    pub members: BTreeMap<String, Member>,
    /// Content of the file with the sealed manifest.
    pub manifest: Vec<u8>,
}

/// Encodes a snapshot and seals it with each key. The output is deterministic: equal arguments produce equal bytes.
#[must_use]
pub fn seal(
    controller: &str,
    epoch: u64,
    version: u64,
    content: &SnapshotContent,
    keys: &KeyRing,
) -> SealedSnapshot {
    let members = encode_members(content);
    let listed = members.iter().map(|(name, member)| proto::Member {
        name: name.clone(),
        bytes: member.bytes.len() as u64,
        digest: member.digest.into(),
        ..Default::default()
    });
    let manifest = encode(&proto::Manifest {
        format: FORMAT_VERSION,
        epoch,
        version,
        pilot: controller.into(),
        members: listed.collect(),
        ..Default::default()
    });
    let seals = keys.0.iter().map(|key| encode_seal(&key.name, key.sign(&manifest))).collect();
    let manifest = encode(&proto::Sealed { manifest, seals, ..Default::default() });
    SealedSnapshot { epoch, version, members, manifest }
}

fn encode_members(content: &SnapshotContent) -> BTreeMap<String, Member> {
    let mut members = BTreeMap::new();
    for (number, table) in &content.tables {
        members.insert(table_member_name(*number), Member::new(encode_table(*number, table)));
    }
    for (number, group) in &content.groups {
        members.insert(group_member_name(*number), Member::new(encode_group(group)));
    }
    members.insert(EJECTED_MEMBER.into(), Member::new(encode_ejected(&content.ejected)));
    members
}

//! Loads complete snapshots, for commands that show, compare or republish them.

use lockcroft_table_format::{
    EJECTED_MEMBER, GROUP_MEMBER_PREFIX, KeyRing, SnapshotContent, TABLE_MEMBER_PREFIX, decode_ejected,
    decode_group, decode_table,
};

use crate::error::ReadError;
use crate::layout::{Epoch, SnapshotId, StoreLayout, Version};
use crate::snapshot_files::SnapshotFiles;

/// A verified snapshot with the content of all its members.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadedSnapshot {
    /// Decoded content of all members.
    pub content: SnapshotContent,
    /// Name of the controller that wrote the snapshot.
    pub controller: String,
    /// Name of the first known key that seals the snapshot.
    pub key: String,
    /// Total length of the manifest and all members, in bytes.
    pub bytes: u64,
}

/// Loads a snapshot and verifies all of its members.
///
/// # Errors
/// Fails if a file is missing or can't be read, or if it is invalid.
pub fn load_snapshot(
    layout: &StoreLayout,
    epoch: Epoch,
    version: Version,
    keys: &KeyRing,
) -> Result<LoadedSnapshot, ReadError> {
    let files = SnapshotFiles::open(layout, SnapshotId { epoch, version }, keys)?;
    let mut content = SnapshotContent::default();
    let mut total_bytes = files.manifest_bytes;
    for name in files.manifest.members.keys() {
        let bytes = files.read_member(name)?;
        total_bytes += bytes.len() as u64;
        decode_member(name, &bytes, &mut content)?;
    }
    let manifest = files.manifest;
    Ok(LoadedSnapshot { content, controller: manifest.controller, key: manifest.key, bytes: total_bytes })
}

/// Adds a member to the content. Members of unknown names are skipped: a newer version of the writer may add some.
fn decode_member(name: &str, bytes: &[u8], content: &mut SnapshotContent) -> Result<(), ReadError> {
    let group_number = name.strip_prefix(GROUP_MEMBER_PREFIX).and_then(|number| number.parse().ok());
    if name == EJECTED_MEMBER {
        content.ejected = decode_ejected(bytes)?;
    } else if let Some(number) = group_number {
        content.groups.insert(number, decode_group(name, bytes)?);
    } else if name.starts_with(TABLE_MEMBER_PREFIX) {
        let numbered = decode_table(name, bytes)?;
        content.tables.insert(numbered.number, numbered.table);
    }
    Ok(())
}

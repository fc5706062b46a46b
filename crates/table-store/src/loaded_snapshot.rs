//! Loads a whole snapshot, for programs that show, compare or publish it again.

use lockcroft_table_format::{
    EJECTED_MEMBER, GROUP_MEMBER_PREFIX, KeyRing, SnapshotContent, TABLE_MEMBER_PREFIX, decode_ejected,
    decode_group, decode_table,
};

use crate::error::ReadError;
use crate::layout::{Epoch, SnapshotId, StoreLayout, Version};
use crate::snapshot_files::SnapshotFiles;

/// A sound snapshot with all its members.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadedSnapshot {
    /// What it says.
    pub content: SnapshotContent,
    /// Name of the controller that wrote it.
    pub controller: String,
    /// Name of the key that seals it.
    pub key: String,
    /// Length of all its files.
    pub bytes: u64,
}

/// Loads a snapshot and checks every member.
///
/// # Errors
/// A file is missing or not sound.
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

/// Adds a member to the content. Members of unknown names are of a later program and skipped.
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

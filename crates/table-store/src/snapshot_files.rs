//! The files of one snapshot, each verified against the sealed manifest when it is read.

use std::path::PathBuf;

use lockcroft_table_format::{
    KeyRing, MANIFEST_FILE, MAX_MANIFEST_BYTES, MAX_MEMBER_BYTES, OpenedManifest, open_manifest,
};

use crate::bounded_read::read_bounded;
use crate::error::ReadError;
use crate::layout::{SnapshotId, StoreLayout};

/// A snapshot whose manifest has been verified and matches its directory.
pub(crate) struct SnapshotFiles {
    directory: PathBuf,
    pub manifest: OpenedManifest,
    /// Length of the manifest file, in bytes.
    pub manifest_bytes: u64,
}

impl SnapshotFiles {
    /// Reads and verifies the manifest of a snapshot. Fails if the manifest states another epoch or version.
    pub fn open(layout: &StoreLayout, id: SnapshotId, keys: &KeyRing) -> Result<Self, ReadError> {
        let directory = layout.snapshot(id);
        let bytes = read_bounded(&directory.join(MANIFEST_FILE), MAX_MANIFEST_BYTES)?;
        let manifest = open_manifest(&bytes, keys)?;
        let stated = SnapshotId { epoch: manifest.epoch, version: manifest.version };
        if stated != id {
            return Err(ReadError::Misplaced { stated });
        }
        Ok(SnapshotFiles { directory, manifest, manifest_bytes: bytes.len() as u64 })
    }

    /// Reads a member and verifies its length and digest.
    pub fn read_member(&self, name: &str) -> Result<Vec<u8>, ReadError> {
        let bytes = read_bounded(&self.directory.join(name), MAX_MEMBER_BYTES)?;
        self.manifest.verify_member(name, &bytes)?;
        Ok(bytes)
    }
}

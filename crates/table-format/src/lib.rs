//! The file format of published tables, free of I/O and clock.
//!
//! A snapshot is a set of member files (tables, proxy groups, ejected endpoints) and a manifest that lists them with
//! their digests and is sealed with a shared key. Bytes that come from outside are checked in a fixed order: the length of
//! the manifest file, the seal, the manifest, the length and digest of a member, the member itself. Nothing is used
//! before the check that covers it.
//!
//! The messages stand in `proto/tables.proto` and keep their own field names; `codec`, `manifest` and `status` map them
//! to the names used here. `docs/table-files.md` describes the format with a worked example.

#![warn(missing_docs)]

mod codec;
mod content;
mod error;
mod keys;
mod manifest;
mod seal;
mod status;

/// The stored messages, generated from `proto/tables.proto`.
#[allow(missing_docs)]
pub mod proto {
    include!(concat!(env!("OUT_DIR"), "/proto/mod.rs"));
    pub use tables::*;
}

pub use codec::{NumberedTable, decode_ejected, decode_group, decode_table};
pub use content::{ProxyAssignment, ProxyGroup, SnapshotContent, Table, TableEntry};
pub use error::{FormatError, KeyError, KeyRingError};
pub use keys::{Key, KeyRing};
pub use manifest::{MemberInfo, OpenedManifest, open_manifest};
pub use seal::{Member, SealedSnapshot, seal};
pub use status::{decode_status, encode_status};

/// The format that is written, and the only one that is read.
pub const FORMAT_VERSION: u32 = 1;
/// The longest manifest file that is read, in bytes.
pub const MAX_MANIFEST_BYTES: u64 = 4 << 20;
/// The longest member file that is read, in bytes.
pub const MAX_MEMBER_BYTES: u64 = 16 << 20;
/// The most members that a snapshot may have.
pub const MAX_MEMBERS: usize = 8192;
/// The greatest weight of a table entry; the least is 1.
pub const MAX_WEIGHT: u32 = 256;
/// The greatest admission rate, in thousandths.
pub const MAX_ADMISSION_PER_MILLE: u32 = 1000;
/// The shortest secret of a key, in bytes: as long as the output of the hash function.
pub const MIN_KEY_BYTES: usize = 32;
/// The most keys that a key file may have.
pub const MAX_KEYS: usize = 8;

/// Name of the member that lists the ejected endpoints.
pub const EJECTED_MEMBER: &str = "withdrawn";
/// Name of the file with the sealed manifest.
pub const MANIFEST_FILE: &str = "manifest";
/// A SHA-256 digest.
pub type Sha256Digest = [u8; 32];

/// The name of the member with this table.
#[must_use]
pub fn table_member_name(number: u32) -> String {
    format!("{TABLE_MEMBER_PREFIX}{number}")
}

/// The name of the member with this proxy group.
#[must_use]
pub fn group_member_name(number: u32) -> String {
    format!("{GROUP_MEMBER_PREFIX}{number}")
}

/// How names of members with tables start.
pub const TABLE_MEMBER_PREFIX: &str = "table-";
/// How names of members with proxy groups start.
pub const GROUP_MEMBER_PREFIX: &str = "group-";

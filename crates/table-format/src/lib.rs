//! The file format of published routing tables, without I/O or a clock.
//!
//! A snapshot consists of member files (tables, proxy groups, ejected endpoints) and a manifest that lists them with
//! their digests and is sealed with shared keys. Untrusted bytes are checked in a fixed order: the length of the
//! manifest file, the seals, the manifest, the length and digest of a member, the member itself. Nothing is used before
//! the check that covers it has passed.
//!
//! The stored messages are defined in `proto/tables.proto` and keep their own field names; `codec`, `manifest`, `seal`
//! and `status` map them to the names used here. `docs/table-files.md` describes the format with a worked example.

#![warn(missing_docs)]

mod codec;
mod content;
mod error;
mod keys;
mod manifest;
mod seal;
mod status;

/// Stored messages, generated from `proto/tables.proto`.
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

/// Version of the format that is written, and the only one that is read.
pub const FORMAT_VERSION: u32 = 1;
/// Maximum length of a manifest file, in bytes; a longer one is rejected.
pub const MAX_MANIFEST_BYTES: u64 = 4 << 20;
/// Maximum length of a member file, in bytes; a longer one is rejected.
pub const MAX_MEMBER_BYTES: u64 = 16 << 20;
/// Maximum number of members of a snapshot.
pub const MAX_MEMBERS: usize = 8192;
/// Maximum weight of a table entry; the minimum is 1.
pub const MAX_WEIGHT: u32 = 256;
/// Maximum admission rate, in thousandths: all requests are admitted.
pub const MAX_ADMISSION_PER_MILLE: u32 = 1000;
/// Minimum length of a key's secret, in bytes: the output length of the hash function.
pub const MIN_KEY_BYTES: usize = 32;
/// Maximum number of keys in a key file.
pub const MAX_KEYS: usize = 8;

/// Name of the member that lists the ejected endpoints.
pub const EJECTED_MEMBER: &str = "withdrawn";
/// Name of the file that contains the sealed manifest.
pub const MANIFEST_FILE: &str = "manifest";
/// A SHA-256 digest.
pub type Sha256Digest = [u8; 32];

/// Returns the name of the member that contains the table of this number.
#[must_use]
pub fn table_member_name(number: u32) -> String {
    format!("{TABLE_MEMBER_PREFIX}{number}")
}

/// Returns the name of the member that contains the proxy group of this number.
#[must_use]
pub fn group_member_name(number: u32) -> String {
    format!("{GROUP_MEMBER_PREFIX}{number}")
}

/// Prefix of the names of members that contain a table.
pub const TABLE_MEMBER_PREFIX: &str = "table-";
/// Prefix of the names of members that contain a proxy group.
pub const GROUP_MEMBER_PREFIX: &str = "group-";

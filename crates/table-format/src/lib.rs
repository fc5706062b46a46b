//! Tables of servers as files. The format stands in `proto/tables.proto`; here bytes become messages and back,
//! a generation's members are named with their digests in its manifest, and the manifest is sealed. Nothing
//! here touches a file or a clock. Bytes from outside are believed in this order and no other: the length of
//! the whole, the seal over the manifest, the manifest, the length and digest of a member, the member.

mod content;
mod keys;
mod open;
mod seal;

/// Messages as the protocol has them.
pub mod proto {
    include!(concat!(env!("OUT_DIR"), "/proto/mod.rs"));
    pub use tables::*;
}

pub use content::{ProxyAssignment, ProxyGroup, SnapshotContent, Table, TableEntry};
pub use keys::{Key, KeyRing};
pub use open::{FormatError, OpenedManifest, open, read_group, read_status, read_table, read_withdrawn};
pub use seal::{Member, SealedSnapshot, seal, write_status};

/// The format that this code writes, and the only one that it reads.
pub const FORMAT: u32 = 1;
/// Bytes of a manifest, and of any other member, at most: a longer one is not read.
pub const MAX_MANIFEST_BYTES: u64 = 4 << 20;
pub const MAX_MEMBER_BYTES: u64 = 16 << 20;
/// Members of a generation at most.
pub const MEMBERS_MOST: usize = 8192;
/// Greatest weight of a line, and greatest level.
pub const WEIGHT_MOST: u32 = 256;
pub const LEVEL_MOST: u32 = 1000;

/// The member that lists withdrawn servers.
pub const WITHDRAWN: &str = "withdrawn";
/// The file that holds the sealed manifest.
pub const MANIFEST: &str = "manifest";

//! The status file of a proxy: the snapshots that it has applied, and the last one that it has rejected.
//!
//! The file is overwritten in place, so a reader may see a partial write. The checksum in the file detects that.

use protobuf::MessageField;
use sha2::{Digest, Sha256};

use crate::codec::{decode, encode};
use crate::error::FormatError;
use crate::proto;

/// Name of the file in errors.
const STATUS_FILE: &str = "status";

/// Encodes a status with its checksum; the checksum in the argument is ignored.
#[must_use]
pub fn encode_status(status: &proto::Status) -> Vec<u8> {
    encode(&proto::Status { sum: checksum(status), ..status.clone() })
}

/// Decodes a status and verifies its checksum. The checksum in the result is 0.
///
/// # Errors
/// Fails if the bytes are not a status, or if the checksum is wrong, for example because a write is in progress.
pub fn decode_status(bytes: &[u8]) -> Result<proto::Status, FormatError> {
    let status: proto::Status = decode(STATUS_FILE, bytes)?;
    if status.sum != checksum(&status) {
        return Err(FormatError::DigestMismatch(STATUS_FILE.into()));
    }
    Ok(proto::Status { sum: 0, ..status })
}

/// Returns the first four bytes, in little-endian order, of the SHA-256 digest of the message with a checksum of 0.
fn checksum(status: &proto::Status) -> u32 {
    let digest = Sha256::digest(encode(&proto::Status { sum: 0, ..status.clone() }));
    u32::from_le_bytes([digest[0], digest[1], digest[2], digest[3]])
}

/// Converts the epoch, version and rejection reason of a snapshot.
impl From<(u64, u64, String)> for proto::Refused {
    fn from((epoch, version, why): (u64, u64, String)) -> Self {
        proto::Refused { epoch, version, why, ..Default::default() }
    }
}

impl proto::Status {
    /// Returns the status of a proxy that has neither applied nor rejected a snapshot.
    #[must_use]
    pub fn for_proxy(proxy: &str) -> Self {
        proto::Status { proxy: proxy.into(), refused: MessageField::none(), ..Default::default() }
    }
}

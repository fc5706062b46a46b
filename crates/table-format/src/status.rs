//! The status file of a proxy: which snapshots it applied, and which one it rejected last.
//!
//! The file is overwritten in place, so a checksum in it tells a reader that it met a write in progress.

use protobuf::MessageField;
use sha2::{Digest, Sha256};

use crate::codec::{decode, encode};
use crate::error::FormatError;
use crate::proto;

/// What errors call the file.
const STATUS_FILE: &str = "status";

/// Encodes a status with its checksum.
#[must_use]
pub fn encode_status(status: &proto::Status) -> Vec<u8> {
    encode(&proto::Status { sum: checksum(status), ..status.clone() })
}

/// Decodes a status; the checksum in the result is 0.
///
/// # Errors
/// The bytes are no status, or the checksum is wrong because a write is in progress.
pub fn decode_status(bytes: &[u8]) -> Result<proto::Status, FormatError> {
    let status: proto::Status = decode(STATUS_FILE, bytes)?;
    if status.sum != checksum(&status) {
        return Err(FormatError::DigestMismatch(STATUS_FILE.into()));
    }
    Ok(proto::Status { sum: 0, ..status })
}

/// The first four bytes of the SHA-256 of the message with a checksum of 0.
fn checksum(status: &proto::Status) -> u32 {
    let digest = Sha256::digest(encode(&proto::Status { sum: 0, ..status.clone() }));
    u32::from_le_bytes([digest[0], digest[1], digest[2], digest[3]])
}

/// Epoch, version and reason of a rejected snapshot.
impl From<(u64, u64, String)> for proto::Refused {
    fn from((epoch, version, why): (u64, u64, String)) -> Self {
        proto::Refused { epoch, version, why, ..Default::default() }
    }
}

impl proto::Status {
    /// The status of a proxy that has not applied any snapshot.
    #[must_use]
    pub fn for_proxy(proxy: &str) -> Self {
        proto::Status { proxy: proxy.into(), refused: MessageField::none(), ..Default::default() }
    }
}

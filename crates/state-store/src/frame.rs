//! Frames of a file, each consisting of payload length, kind, checksum and payload. Reading ends at the first frame
//! that is incomplete or does not match its checksum.

use protobuf::Message;

/// Version of the format that is written, and the newest one that is read.
pub const FORMAT_VERSION: u32 = 1;

/// Length of a frame's header: payload length (4 bytes, little-endian), kind (1), CRC-32 of kind and payload (4,
/// little-endian).
const FRAME_HEADER_BYTES: usize = 9;
/// Maximum length of a payload. A greater stated length is treated as corrupt.
const MAX_PAYLOAD_BYTES: usize = 1 << 20;

/// The kind of a frame's payload. Readers skip frames of unknown kinds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FrameKind {
    Header = 1,
    Entry = 2,
    End = 3,
}

/// Appends a frame with this message as its payload. Debug builds panic if the payload is too long.
pub(crate) fn append_frame(out: &mut Vec<u8>, kind: FrameKind, message: &impl Message) {
    let payload = message
        .write_to_bytes()
        .expect("encoding to memory fails only for missing required fields, and there are none");
    debug_assert!(payload.len() <= MAX_PAYLOAD_BYTES, "payload of {} bytes", payload.len());
    out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    out.push(kind as u8);
    out.extend_from_slice(&checksum(kind as u8, &payload).to_le_bytes());
    out.extend_from_slice(&payload);
}

fn checksum(kind: u8, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&[kind]);
    hasher.update(payload);
    hasher.finalize()
}

/// A complete frame whose checksum has been verified.
pub(crate) struct Frame<'a> {
    /// Number of its [`FrameKind`], or of a kind that is not known to this version.
    pub kind: u8,
    pub payload: &'a [u8],
}

/// Iterates over the frames of a file up to the first one that is incomplete or corrupt.
pub(crate) struct FrameReader<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl<'a> FrameReader<'a> {
    pub fn new(bytes: &'a [u8]) -> Self {
        FrameReader { bytes, position: 0 }
    }

    /// Returns the total length of the frames that were read, in bytes.
    pub fn position(&self) -> usize {
        self.position
    }

    /// Returns true if there are bytes after the frames that were read.
    pub fn has_remainder(&self) -> bool {
        self.position < self.bytes.len()
    }
}

impl<'a> Iterator for FrameReader<'a> {
    type Item = Frame<'a>;

    fn next(&mut self) -> Option<Self::Item> {
        let remainder = &self.bytes[self.position..];
        let header: &[u8; FRAME_HEADER_BYTES] = remainder.first_chunk()?;
        let payload_len = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
        let kind = header[4];
        let stated_checksum = u32::from_le_bytes([header[5], header[6], header[7], header[8]]);
        if payload_len > MAX_PAYLOAD_BYTES {
            return None;
        }
        let frame_len = FRAME_HEADER_BYTES + payload_len;
        let payload = remainder.get(FRAME_HEADER_BYTES..frame_len)?;
        if checksum(kind, payload) != stated_checksum {
            return None;
        }
        self.position += frame_len;
        Some(Frame { kind, payload })
    }
}

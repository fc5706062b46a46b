//! Frames: length, kind, checksum, payload. A frame that is not whole, or not as its checksum has it, ends a file.

use protobuf::Message;

/// The format that is written, and the newest that is read.
pub const FORMAT: u32 = 1;

/// Bytes before a payload: length (4, little end first), kind (1), CRC-32 of kind and payload (4).
const HEAD: usize = 9;
/// Payloads are no longer than this.
const MOST: usize = 1 << 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Header = 1,
    Entry = 2,
    End = 3,
}

/// Puts a frame behind what is there.
pub fn put(out: &mut Vec<u8>, kind: Kind, message: &impl Message) {
    let payload = message.write_to_bytes().expect("messages without required fields are written to memory");
    debug_assert!(payload.len() <= MOST, "an entry of {} bytes", payload.len());
    out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    out.push(kind as u8);
    out.extend_from_slice(&checksum(kind as u8, &payload).to_le_bytes());
    out.extend_from_slice(&payload);
}

fn checksum(kind: u8, payload: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(&[kind]);
    sum.update(payload);
    sum.finalize()
}

/// Frames from the front of some bytes, until one is not whole.
pub struct Frames<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Frames<'a> {
    pub fn new(bytes: &'a [u8]) -> Self {
        Frames { bytes, at: 0 }
    }

    /// Bytes that were whole frames.
    pub fn read(&self) -> usize {
        self.at
    }

    /// Whether there are bytes behind the last whole frame.
    pub fn torn(&self) -> bool {
        self.at < self.bytes.len()
    }
}

impl<'a> Iterator for Frames<'a> {
    /// Kind and payload.
    type Item = (u8, &'a [u8]);

    fn next(&mut self) -> Option<Self::Item> {
        let rest = &self.bytes[self.at..];
        let head: &[u8; HEAD] = rest.first_chunk()?;
        let long = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
        let sum = u32::from_le_bytes([head[5], head[6], head[7], head[8]]);
        let payload = rest.get(HEAD..HEAD.checked_add(long).filter(|_| long <= MOST)?)?;
        if checksum(head[4], payload) != sum {
            return None;
        }
        self.at += HEAD + long;
        Some((head[4], payload))
    }
}

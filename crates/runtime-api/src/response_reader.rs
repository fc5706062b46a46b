//! The client's end: bytes to answers. Each ends with an empty line; a prompt may stand before it.

use bytes::{Buf, BytesMut};

use crate::line_buffer::READ_BYTES;

const PROMPT: &[u8] = b"> ";

/// Collects bytes and gives out whole answers.
#[derive(Default)]
pub struct ResponseReader {
    buffer: BytesMut,
    /// How much of the buffer was searched for an empty line, so that no byte is searched twice.
    searched: usize,
}

impl ResponseReader {
    /// Where to read into, with room for one read off a socket.
    pub fn buffer(&mut self) -> &mut BytesMut {
        self.buffer.reserve(READ_BYTES);
        &mut self.buffer
    }

    /// Adds bytes that were read elsewhere.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Bytes that wait for the rest of their answer.
    #[must_use]
    pub fn pending_len(&self) -> usize {
        self.buffer.len()
    }

    /// The next whole answer without its empty line; `None` until there is one.
    pub fn next_response(&mut self) -> Option<String> {
        if self.buffer.starts_with(PROMPT) {
            self.buffer.advance(PROMPT.len());
            self.searched = self.searched.saturating_sub(PROMPT.len());
        }
        if self.buffer.first() == Some(&b'\n') {
            self.buffer.advance(1);
            self.searched = 0;
            return Some(String::new());
        }
        // An end of line that was searched already may be the first of the two.
        let from = self.searched.saturating_sub(1);
        let Some(offset) = self.buffer[from..].windows(2).position(|two| two == b"\n\n") else {
            self.searched = self.buffer.len();
            return None;
        };
        let end = from + offset;
        let text = String::from_utf8_lossy(&self.buffer[..end + 1]).into_owned();
        self.buffer.advance(end + 2);
        self.searched = 0;
        Some(text)
    }
}

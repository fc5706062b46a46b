//! The client side of the codec: decodes responses. Each ends with an empty line; a prompt may precede it.

use bytes::{Buf, BytesMut};

use crate::line_buffer::READ_BYTES;

const PROMPT: &[u8] = b"> ";

/// Buffers received bytes and returns complete responses.
#[derive(Default)]
pub struct ResponseReader {
    buffer: BytesMut,
    /// The number of bytes that were searched for an empty line already, so that none is searched twice.
    searched: usize,
}

impl ResponseReader {
    /// Returns the buffer to read into. It has spare capacity for one read from a socket.
    pub fn buffer(&mut self) -> &mut BytesMut {
        self.buffer.reserve(READ_BYTES);
        &mut self.buffer
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the number of bytes that are not part of a returned response.
    #[must_use]
    pub fn pending_len(&self) -> usize {
        self.buffer.len()
    }

    /// Removes the next complete response and returns it without a prompt and the empty line. Returns `None` if more
    /// bytes are needed.
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
        // The last byte that was searched may be the first of the two line feeds.
        let start = self.searched.saturating_sub(1);
        let Some(offset) = self.buffer[start..].windows(2).position(|pair| pair == b"\n\n") else {
            self.searched = self.buffer.len();
            return None;
        };
        let end = start + offset;
        let text = String::from_utf8_lossy(&self.buffer[..end + 1]).into_owned();
        self.buffer.advance(end + 2);
        self.searched = 0;
        Some(text)
    }
}

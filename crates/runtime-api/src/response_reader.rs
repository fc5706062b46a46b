//! The client's end: bytes to answers. Each ends with an empty line; a prompt may stand before it.

use bytes::{Buf, BytesMut};

use crate::line_buffer::PIECE;

/// Collects bytes, gives out whole answers.
#[derive(Default)]
pub struct ResponseReader {
    buffer: BytesMut,
    /// What was looked through already without an empty line.
    seen: usize,
}

impl ResponseReader {
    pub fn buffer(&mut self) -> &mut BytesMut {
        self.buffer.reserve(PIECE);
        &mut self.buffer
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Bytes that wait for the rest of their answer.
    pub fn held(&self) -> usize {
        self.buffer.len()
    }

    /// The next whole answer without its empty line, `None` until there is one.
    pub fn next_answer(&mut self) -> Option<String> {
        if self.buffer.starts_with(b"> ") {
            self.buffer.advance(2);
            self.seen = self.seen.saturating_sub(2);
        }
        if self.buffer.first() == Some(&b'\n') {
            self.buffer.advance(1);
            self.seen = 0;
            return Some(String::new());
        }
        let from = self.seen.saturating_sub(1);
        let end = self.buffer[from..].windows(2).position(|two| two == b"\n\n");
        let Some(end) = end.map(|end| end + from) else {
            self.seen = self.buffer.len();
            return None;
        };
        let text = String::from_utf8_lossy(&self.buffer[..end + 1]).into_owned();
        self.buffer.advance(end + 2);
        self.seen = 0;
        Some(text)
    }
}

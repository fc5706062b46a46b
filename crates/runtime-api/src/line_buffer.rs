//! Whole lines out of bytes that come off a socket in pieces of any size.

use bytes::{Buf, BytesMut};

/// What is read off a socket at a time.
pub const PIECE: usize = 4096;

/// Collects bytes, gives out whole lines.
#[derive(Default)]
pub struct LineBuffer {
    buffer: BytesMut,
    /// What was looked through already without an end of line.
    seen: usize,
}

impl LineBuffer {
    /// Where to read into, with room for what a socket has at a time.
    pub fn buffer(&mut self) -> &mut BytesMut {
        self.buffer.reserve(PIECE);
        &mut self.buffer
    }

    /// Bytes that were not given out yet.
    pub fn waiting(&self) -> &[u8] {
        &self.buffer
    }

    /// How long the next whole line is; `None` until there is one.
    pub fn next_len(&mut self) -> Option<usize> {
        let end = self.buffer[self.seen..].iter().position(|byte| *byte == b'\n');
        let end = end.map(|end| end + self.seen);
        self.seen = end.unwrap_or(self.buffer.len());
        end
    }

    /// Takes the next whole line, without its end; `None` until there is one.
    pub fn next_line<T>(&mut self, take: impl FnOnce(&[u8]) -> T) -> Option<T> {
        let end = self.next_len()?;
        let taken = take(&self.buffer[..end]);
        self.buffer.advance(end + 1);
        self.seen = 0;
        Some(taken)
    }
}

//! Whole lines out of bytes that come off a socket in pieces of any size.

use bytes::{Buf, BytesMut};

/// Room for one read off a socket, in bytes.
pub const READ_BYTES: usize = 4096;

/// Collects bytes and gives out whole lines.
#[derive(Default)]
pub struct LineBuffer {
    buffer: BytesMut,
    /// How much of the buffer was searched for an end of line, so that no byte is searched twice.
    searched: usize,
}

impl LineBuffer {
    /// Where to read into, with room for one read off a socket.
    pub fn buffer(&mut self) -> &mut BytesMut {
        self.buffer.reserve(READ_BYTES);
        &mut self.buffer
    }

    /// Bytes that were not given out yet.
    #[must_use]
    pub fn pending(&self) -> &[u8] {
        &self.buffer
    }

    /// The length of the next whole line in bytes, without its end; `None` until there is one.
    pub fn next_line_len(&mut self) -> Option<usize> {
        let end = self.buffer[self.searched..].iter().position(|byte| *byte == b'\n');
        let end = end.map(|end| end + self.searched);
        self.searched = end.unwrap_or(self.buffer.len());
        end
    }

    /// Takes the next whole line, without its end; `None` until there is one.
    pub fn next_line<T>(&mut self, convert: impl FnOnce(&[u8]) -> T) -> Option<T> {
        let end = self.next_line_len()?;
        let line = convert(&self.buffer[..end]);
        self.buffer.advance(end + 1);
        self.searched = 0;
        Some(line)
    }
}

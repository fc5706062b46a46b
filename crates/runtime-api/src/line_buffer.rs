//! A buffer that splits bytes received in chunks of any size into lines.

use bytes::{Buf, BytesMut};

/// The spare capacity of a buffer for one read from a socket, in bytes.
pub const READ_BYTES: usize = 4096;

/// Buffers received bytes and returns complete lines.
#[derive(Default)]
pub struct LineBuffer {
    buffer: BytesMut,
    /// The number of bytes that were searched for a line feed already, so that none is searched twice.
    searched: usize,
    /// The size of the allocation, of which `buffer` may be only the rear part.
    allocated: usize,
}

impl LineBuffer {
    /// Returns the buffer to read into. It has spare capacity for one read from a socket.
    pub fn buffer(&mut self) -> &mut BytesMut {
        self.buffer.reserve(READ_BYTES);
        self.allocated = self.allocated.max(self.buffer.capacity());
        &mut self.buffer
    }

    /// Returns the number of bytes that the buffer occupies, as of the last call of [`LineBuffer::buffer`].
    #[must_use]
    pub fn allocated_bytes(&self) -> usize {
        self.allocated
    }

    /// Frees the space of returned lines if the buffer occupies more than `max_retained` bytes and is mostly unused.
    pub fn release_unused(&mut self, max_retained: usize) {
        if self.allocated > max_retained && self.buffer.len() < self.allocated / 4 {
            self.buffer = BytesMut::from(&self.buffer[..]);
            self.allocated = self.buffer.capacity();
        }
    }

    /// Returns the bytes that are not part of a returned line.
    #[must_use]
    pub fn pending(&self) -> &[u8] {
        &self.buffer
    }

    /// Returns the length of the next complete line in bytes, without the line feed; `None` if more bytes are needed.
    pub fn next_line_len(&mut self) -> Option<usize> {
        let end = self.buffer[self.searched..].iter().position(|byte| *byte == b'\n');
        let end = end.map(|end| end + self.searched);
        self.searched = end.unwrap_or(self.buffer.len());
        end
    }

    /// Removes the next complete line and returns the result of `convert`, which receives the line without its line
    /// feed. Returns `None` if more bytes are needed.
    pub fn next_line<T>(&mut self, convert: impl FnOnce(&[u8]) -> T) -> Option<T> {
        let end = self.next_line_len()?;
        let line = convert(&self.buffer[..end]);
        self.buffer.advance(end + 1);
        self.searched = 0;
        Some(line)
    }
}
